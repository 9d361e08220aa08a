package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/journal"
)

// pair is a relay and the means to have another replace it in the same process.
type pair struct {
	t     *testing.T
	p     *platform
	conf  Config
	first *Relay
	done  chan struct{} // closed once the first has ended
}

func newPair(t *testing.T, p *platform) *pair {
	t.Helper()
	s := &pair{t: t, p: p, done: make(chan struct{})}
	s.first = startRelay(t, p, func(c *Config) { s.conf = *c })
	s.listen(s.first)
	go func() { <-s.first.quit; close(s.done) }()
	return s
}

func (s *pair) listen(r *Relay) {
	next, err := handover.Listen(s.conf.State, r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(next.Close)
}

func (s *pair) ask() *handover.Successor {
	ctx, cancel := context.WithTimeout(s.t.Context(), 30*time.Second)
	defer cancel()
	h, err := handover.Request(ctx, s.conf.State)
	if err != nil || h == nil {
		s.t.Fatal(h, err)
	}
	return h
}

// succeed has a second relay take over from the first.
func (s *pair) succeed() *Relay {
	s.t.Helper()
	h := s.ask()
	second := startRelay(s.t, s.p, func(c *Config) { c.State, c.Successor = s.conf.State, h })
	s.listen(second)
	ctx, cancel := context.WithCancel(s.t.Context())
	s.t.Cleanup(cancel)
	go func() {
		h.ReceiveOutcomes(ctx, second.AcceptOutcome)
		second.PredecessorLost()
	}()
	return second
}

// A message in flight at the predecessor is not sent by the successor before that call has ended, and then as its outcome
// allows.
func TestOutcomeReachesSuccessor(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		status int    // of the first answer
		again  bool   // a second call comes
		notice string // or a notice with this status
	}{
		"delivered":                       {"payment", 200, false, ""},
		"over":                            {"payment", 410, false, ""},
		"a payment that may have run":     {"payment", 500, false, undeliverable},
		"a payment that never ran":        {"payment", 503, true, ""},
		"a payment with Retry-After":      {"payment", 429, true, ""},
		"a status update may be repeated": {"status-update", 500, true, ""},
		"a job order in its window":       {"job-order", 500, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
			s := newPair(t, p)
			status, _ := hand(t, s.first.Addr(), "m1", c.class)
			want(t, "status", status, 202)
			out := wait(t, calls, "call")
			second := s.succeed()
			for _, r := range []*Relay{s.first, second} { // also on a connection to the first
				status, _ = hand(t, r.Addr(), "m1", c.class)
				want(t, "status of the same message again", status, 202)
			}
			status, _ = hand(t, second.Addr(), "m2", "payment")
			want(t, "status of the next message", status, 202)
			next := wait(t, calls, "call of the next message")
			want(t, "id", next.id, "m2")
			next.answer <- 200
			want(t, "calls before the first has ended", len(calls), 0)
			out.answer <- c.status
			answered := time.Now()
			switch {
			case c.again:
				again := wait(t, calls, "second call")
				want(t, "id", again.id, "m1")
				if elapsed := time.Since(answered); c.status == 429 && elapsed < 290*time.Millisecond {
					t.Errorf("sent again %v after a Retry-After of 300 ms", elapsed)
				}
				again.answer <- 200
			case c.notice != "":
				want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", c.notice, 0})
			}
			wait(t, s.done, "end of the first")
			want(t, "first is orphaned", s.first.Orphaned(), false)
			status, _ = hand(t, second.Addr(), "m1", c.class)
			want(t, "status of the same message once more", status, 202)
			want(t, "further calls", len(calls), 0)
			want(t, "further notices", len(p.notices), 0)
		})
	}
}

// What the predecessor has not reported when it dies counts as after a crash.
func TestPredecessorDiesBeforeItReports(t *testing.T) {
	for class, again := range map[string]bool{"payment": false, "status-update": true} {
		t.Run(class, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
			s := newPair(t, p)
			hand(t, s.first.Addr(), "m1", class)
			wait(t, calls, "call")
			s.succeed()
			s.first.stop()
			s.first.successor.Load().close()
			if !again {
				want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
				return
			}
			c := wait(t, calls, "second call")
			want(t, "id", c.id, "m1")
			c.answer <- 200
		})
	}
}

// A message in flight at a predecessor that reports nothing ends at its deadline.
func TestPredecessorNeverReports(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	s := newPair(t, p)
	begin := time.Now()
	hand(t, s.first.Addr(), "m1", "payment", "X-Deadline-Ms", "700")
	wait(t, calls, "call")
	h := s.ask()
	startRelay(t, p, func(c *Config) { c.State, c.Successor = s.conf.State, h }) // and nobody receives outcomes of the first
	want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
	if late := time.Since(begin) - 700*time.Millisecond; late < 0 || late > 5*time.Second {
		t.Errorf("notified %v after its deadline", late)
	}
	h.Close()
}

// A Retry-After that the predecessor received binds the successor, which also knows the ids that have ended.
func TestSuccessorInheritsWaitsAndEndedIDs(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	s := newPair(t, p)
	hand(t, s.first.Addr(), "m1", "payment")
	wait(t, calls, "call").answer <- 200
	hand(t, s.first.Addr(), "m2", "payment")
	wait(t, calls, "call").answer <- 429 // Retry-After 0.3
	answeredAt := time.Now()
	for waits := 0; waits == 0; { // until the first has applied it
		n := make(chan int, 1)
		s.first.post(func() {
			k := 0
			for _, d := range s.first.chooser.Views() {
				for _, h := range d.Hosts {
					if h.Wait > 0 {
						k++
					}
				}
			}
			n <- k
		})
		waits = wait(t, n, "view")
	}
	second := s.succeed()
	status, _ := hand(t, second.Addr(), "m1", "payment")
	want(t, "status of what was delivered before", status, 202)
	pending := make(chan bool, 1)
	second.post(func() { pending <- second.pending["m1"] != nil })
	want(t, "it is admitted again", wait(t, pending, "look"), false)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	if elapsed := time.Since(answeredAt); elapsed < 290*time.Millisecond {
		t.Errorf("sent %v after a Retry-After of 300 ms", elapsed)
	}
	c.answer <- 200
}

// If the successor leaves before it serves, the predecessor ends as one to start again, with everything in the journal, and
// rejects a client whose request it could not forward.
func TestSuccessorNeverServes(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	s := newPair(t, p)
	kept := dial(t, s.first.Addr())
	kept.Write([]byte(request("m1", "Content-Length: 1\r\n", "x")))
	status, _, _ := answered(t, kept)
	want(t, "status", status, 202)
	wait(t, calls, "call").answer <- 429
	h := s.ask()
	kept.Write([]byte(request("m2", "Content-Length: 1\r\n", "x")))
	status, header, _ := answered(t, kept)
	want(t, "status without a successor", status, http.StatusServiceUnavailable)
	want(t, "Retry-After", header.Get("Retry-After"), "1")
	h.Close()
	wait(t, s.done, "end of the first")
	want(t, "orphaned", s.first.Orphaned(), true)
	j, err := journal.Open(s.conf.State, journal.Options{Budget: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if e := j.Entries["m1"]; len(j.Entries) != 1 || e == nil || e.Tries == 0 {
		t.Errorf("the journal has %v", j.Entries)
	}
}
