package console

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/rig"
	"larchrouter/internal/standin"
)

// The long campaign: go test ./internal/relay/console -run Sessions -v -held 20000 -rate 2000 -rounds 50
var (
	heldMessages = flag.Int("held", 300, "pending messages while consoles are used")
	rate         = flag.Float64("rate", 50, "messages per second meanwhile")
	rounds       = flag.Int("rounds", 3, "rounds of a scripted session")
)

// Scripted sessions against a relay with many messages: each screen and action, timed from the key to the answer on the
// screen. The targets are 50 ms and 200 ms in the median; the test fails only at far larger times.
func TestSessions(t *testing.T) {
	s, l := newRelay(t, func(f *config.File) {
		f.Limits.Held = *heldMessages*2 + 1000
		f.Limits.DiskMB = 4096
		f.Limits.MemoryMB = 2048
		f.Ends.Keep = 50_000
	})
	s.Hosts["courier-1"].Set(standin.Behaviour{Refuse: true, RetryAfter: time.Hour})
	l.Deadline = time.Hour
	var wg sync.WaitGroup
	room := make(chan struct{}, 64)
	for i := range *heldMessages {
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			if got, err := l.Submit(context.Background(),
				rig.Message{ID: fmt.Sprint("held", i), Class: "status-update", Partner: "courier"}); got != 202 {
				t.Errorf("status %d, %v", got, err)
			}
		})
	}
	wg.Wait()
	others := rig.Bureau()
	l.Partners = []rig.Partner{others[0], others[2], others[3]}
	stop := runLoad(t, l, *rate)
	d := startConsole(t, s.Control)
	d.waitFor("serving on")
	took := map[string][]time.Duration{}
	note := func(what string, one time.Duration) {
		took[what] = append(took[what], one)
		time.Sleep(30 * time.Millisecond) // no operator types faster, and the rate of requests of a client is limited
	}
	for range *rounds {
		for _, key := range []struct{ key, what string }{{"1", "screen: overview"}, {"2", "screen: partners"},
			{"3", "screen: messages"}} {
			d.press(key.key)
			note(key.what, d.waitForAnswer())
		}
		d.press("s")
		note("screen: messages, newest first", d.waitForAnswer())
		d.press("n")
		note("screen: messages, next page", d.waitForAnswer())
		d.press("s", "s", "s", "e")
		note("screen: messages, ended", d.waitForAnswer())
		d.press("e")
		d.waitForAnswer()
		d.press("/")
		for _, k := range strings.Split("class=payment", "") {
			d.press(k)
		}
		d.press("enter")
		note("screen: messages, a filter that lets few through", d.waitForAnswer())
		d.press("/")
		for range 20 {
			d.press("backspace")
		}
		d.press("enter")
		d.waitForAnswer()
		d.press("home", "enter")
		note("screen: one message", d.waitForAnswer())
		d.press("esc")
		d.waitForAnswer()
		d.press("2")
		d.waitForAnswer()
		d.press("home", "down")
		for _, key := range []string{"d", "u"} {
			begin := time.Now()
			d.press(key)
			d.waitFor("y: do it")
			note("action: consequences", time.Since(begin))
			begin = time.Now()
			d.press("y")
			for !strings.Contains(d.text(), "pay-1: drained") && !strings.Contains(d.text(), "pay-1: undrained") {
				d.send(<-d.inbox)
			}
			note("action: done ("+key+")", time.Since(begin))
		}
	}
	stop()
	q, n := l.Latency(*heldMessages, 0.5, 0.99, 1)
	t.Logf("%d held, %g/s, %d rounds; 202: median %v, p99 %v, worst %v of %d", *heldMessages, *rate, *rounds, q[0], q[1],
		q[2], n)
	var names []string
	for what := range took {
		names = append(names, what)
	}
	slices.Sort(names)
	for _, what := range names {
		all := took[what]
		slices.Sort(all)
		t.Logf("%-50s median %8v  worst %8v  of %d", what, all[len(all)/2].Round(10*time.Microsecond),
			all[len(all)-1].Round(10*time.Microsecond), len(all))
		if all[len(all)/2] > 2*time.Second {
			t.Errorf("%s took %v in the median", what, all[len(all)/2])
		}
	}
	s.Hosts["courier-1"].Set(standin.Behaviour{})
}
