package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
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

// reload applies settings, which are in force then.
func reload(t *testing.T, r *Relay, s settings.Settings) {
	t.Helper()
	if err := r.ReloadSettings(t.Context(), s); err != nil {
		t.Fatal(err)
	}
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
	reload(t, r, retuned(t, "status-update", "parcel", "job-order", "status-update", `"deduplicated"`, `"at_most_once"`))
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

	reload(t, r, retuned(t, `"max-attempts":6`, `"max-attempts":2`))
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

// ReloadSettings returns once the settings are in force: the request that follows is judged by them, however long the loop
// is busy with other things.
func TestReloadSettingsReturnsOnceInForce(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	busy, release := make(chan struct{}), make(chan struct{})
	r.post(func() { close(busy); <-release })
	wait(t, busy, "busy loop")
	returned := make(chan struct{})
	var releasing sync.WaitGroup
	releasing.Go(func() {
		defer close(release)
		for len(r.inbox) == 0 { // the settings are not posted yet
			time.Sleep(time.Millisecond)
		}
		select {
		case <-returned: // too early: the next request is judged while the loop is still busy
			for len(r.admissions) == 0 {
				time.Sleep(time.Millisecond)
			}
		case <-time.After(50 * time.Millisecond):
		}
	})
	defer releasing.Wait()
	reload(t, r, retuned(t, "job-order", "parcel"))
	close(returned)
	status, _ := hand(t, r.Addr(), "gone", "job-order")
	want(t, "status of a class that vanished", status, 400)
}

// Settings with too many classes are refused with a typed error, and those before stay in force.
func TestReloadSettingsRefusesTooManyClasses(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	refused := retuned(t)
	base := refused.Classes[0]
	for i := range 2 * maxClasses {
		class := base
		class.Name, class.Worth = fmt.Sprint("class-", i), float64(i+1)
		refused.Classes = append(refused.Classes, class)
	}
	if err := r.ReloadSettings(t.Context(), refused); !errors.Is(err, ErrTooManyClasses) {
		t.Errorf("refused with %v", err)
	}
	status, _ := hand(t, r.Addr(), "new", "class-1")
	want(t, "status of a class of the refused settings", status, 400)
}

// A reload ends with its context, and with the relay.
func TestReloadSettingsEnds(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	busy, release := make(chan struct{}), make(chan struct{})
	r.post(func() { close(busy); <-release })
	wait(t, busy, "busy loop")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.ReloadSettings(ctx, retuned(t)) }()
	for len(r.inbox) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := wait(t, ended, "end"); !errors.Is(err, context.Canceled) {
		t.Errorf("ends with %v", err)
	}
	close(release)
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
