package relay

import (
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/settings"
)

// retuned returns the test's settings with some text replaced.
func retuned(t *testing.T, pairs ...string) settings.Settings {
	t.Helper()
	s, err := settings.Parse([]byte(strings.NewReplacer(pairs...).Replace(testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A class that appears is admitted, one that vanishes is not, a message under way keeps its effect; a lower limit of
// attempts binds pending messages.
func TestReloadSettings(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	r := startRelay(t, p, nil)
	status, _ := hand(t, r.Addr(), "early", "parcel")
	want(t, "status of a class to come", status, 400)
	status, _ = hand(t, r.Addr(), "safe", "status-update")
	want(t, "status", status, 202)
	safe := wait(t, calls, "call")

	// status-update becomes at_most_once, job-order vanishes, parcel appears.
	r.ReloadSettings(retuned(t, "status-update", "parcel", "job-order", "status-update", `"deduplicated"`, `"at_most_once"`))
	status, _ = hand(t, r.Addr(), "gone", "job-order")
	want(t, "status of a class that vanished", status, 400)
	status, _ = hand(t, r.Addr(), "new", "parcel")
	want(t, "status of a class that appeared", status, 202)
	wait(t, calls, "call").answer <- 200
	status, _ = hand(t, r.Addr(), "strict", "status-update")
	want(t, "status of a class that became strict", status, 202)
	strict := wait(t, calls, "call")
	want(t, "id", strict.id, "strict")
	strict.answer <- 500
	want(t, "notice", wait(t, p.notices, "notice"), notice{"strict", undeliverable, 0})
	safe.answer <- 500 // it was admitted as repeatable
	again := wait(t, calls, "second try")
	want(t, "id", again.id, "safe")

	r.ReloadSettings(retuned(t, `"max-attempts":6`, `"max-attempts":2`))
	again.answer <- 500
	n := wait(t, p.notices, "notice")
	want(t, "id of what has used its attempts up", n.ID, "safe")
	want(t, "its status", n.Status, deferred)
	status, _ = hand(t, r.Addr(), "back", "job-order")
	want(t, "status of a class that came back", status, 202)
	wait(t, calls, "call").answer <- 200
	got := make(chan int, 1)
	r.post(func() { got <- len(r.settings.Classes) })
	want(t, "classes known", wait(t, got, "number"), 5) // three, parcel, and the strict status-update
}

// A message of an earlier process keeps its effect, also if its class has another one, or does not exist, now.
func TestRestoreKeepsEffects(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		effect choice.Effect
		again  bool
	}{
		"became looser":   {"status-update", choice.Unsafe, false},
		"became stricter": {"payment", choice.Safe, true},
		"vanished":        {"letter", choice.Safe, true},
		"vanished strict": {"letter", choice.Unsafe, false},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
			startRelay(t, p, func(conf *Config) {
				j, err := journal.Open(conf.State, journal.Options{Budget: 3e6})
				if err != nil {
					t.Fatal(err)
				}
				defer j.Close()
				due := journal.Record{Op: journal.OpTaken, Entry: &journal.Entry{ID: "m1", Class: c.class, Dest: 7,
					Effect: 1 + int(c.effect), Due: time.Now().Add(15 * time.Second).UnixMilli()}}
				if err := j.Append(due, journal.Record{Op: journal.OpTry, ID: "m1", At: time.Now().UnixMilli()}); err != nil {
					t.Fatal(err)
				}
			})
			if !c.again {
				want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
				return
			}
			call := wait(t, calls, "call")
			want(t, "id", call.id, "m1")
			call.answer <- 200
		})
	}
}

func TestClassesAreBounded(t *testing.T) {
	c := newClasses([]choice.Class{{Name: "a"}})
	for i := range 2 * maxClasses {
		n, err := c.withCurrent([]choice.Class{{Name: "a", Worth: float64(i)}})
		if (err != nil) != (i >= maxClasses) {
			t.Fatalf("after %d: %v", i, err)
		}
		if err == nil {
			c = n
		}
	}
	if n, err := c.withCurrent([]choice.Class{{Name: "a", Worth: 7}}); err != nil || n.current["a"] != 7 {
		t.Errorf("one known before: %v", err)
	}
}
