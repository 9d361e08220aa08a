package relay

import (
	"strings"
	"testing"
)

// looked waits until a full list has been requested and applied from now on.
func looked(t *testing.T, p *platform) {
	t.Helper()
	for len(p.asked) > 0 {
		<-p.asked
	}
	for n := 0; n < 3; { // the first may have been answered before, the third comes once the second is applied
		if wait(t, p.asked, "look") == "" {
			n++
		}
	}
}

// Nothing is sent to an endpoint that the agent reported as draining, by a relay whose turn to watch has not come, whose
// watches discovery rejects, or whose discovery has moved.
func TestDrainIsSeenWithoutWatch(t *testing.T) {
	for name, c := range map[string]struct {
		index int
		deny  bool
		moved bool
	}{
		"before its turn":            {index: 299},
		"turned away":                {deny: true},
		"before its turn, elsewhere": {index: 299, moved: true},
		"turned away elsewhere":      {deny: true, moved: true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := at("s-1", "127.0.0.1:1", "taller"), at("s-2", "127.0.0.1:2", "oficinas")
			first := newPlatform(t, a, b)
			first.deny = c.deny
			r := startRelay(t, first, func(conf *Config) { conf.Settings.Fleet, conf.Settings.Index = 300, c.index })
			p := first
			if c.moved {
				p = newPlatform(t, a, b)
				p.deny = c.deny
				r.Rediscover([]string{p.addr()})
			}
			gone := a
			gone.State = "leaving"
			p.publish(2, true, gone, b)
			looked(t, p)
			closed := make(chan [2]bool, 1)
			r.post(func() { closed <- [2]bool{r.hosts["s-1"].Closed(), r.hosts["s-2"].Closed()} })
			want(t, "closed to new calls", wait(t, closed, "answer"), [2]bool{true, false})
		})
	}
}

// An unresponsive agent is polled at once, so that its return is noticed soon.
func TestUnresponsiveAgentIsPolled(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	r := startRelay(t, p, func(c *Config) {
		c.Known = hostList{}
		p.mu.Lock() // nothing is answered
	})
	for range 3 {
		want(t, "question", wait(t, p.asked, "look"), "")
	}
	p.mu.Unlock()
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = wait(t, p.asked, "watch")
	}
	status, _ := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, 202)
	wait(t, calls, "call").answer <- 200
}
