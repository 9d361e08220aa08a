package relay

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// ordered makes payments an ordered class.
func ordered(c *Config) {
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Ordered = c.Settings.Classes[i].Name == "payment"
	}
}

// waitPending waits until the loop has just these pending messages, sorted by id: the ends of all others are recorded, or will
// be before the loop ends.
func waitPending(t *testing.T, r *Relay, ids ...string) {
	t.Helper()
	pending, began := make(chan []string, 1), time.Now()
	for {
		r.post(func() { pending <- slices.Sorted(maps.Keys(r.pending)) })
		now := wait(t, pending, "list of pending messages")
		if slices.Equal(now, ids) {
			return
		}
		if time.Since(began) > 30*time.Second {
			t.Fatalf("pending are %v, want %v", now, ids)
		}
	}
}

// Messages of one order key go one at a time in the order of admission, also after a restart. One with another key, or of a
// class that is not ordered, does not wait.
func TestOrderIsKept(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	var conf Config
	r := startRelay(t, p, func(c *Config) { ordered(c); conf = *c })
	for _, m := range [][3]string{{"m1", "payment", "k1"}, {"m2", "payment", "k1"}, {"m3", "payment", "k1"}, {"m4", "payment", "k2"}, {"m5", "status-update", "k1"}} {
		status, _ := hand(t, r.Addr(), m[0], m[1], "Cookie", "thread="+m[2]+"; other=x")
		want(t, "status", status, http.StatusAccepted)
	}
	out := map[string]*seen{}
	for range 3 {
		c := wait(t, calls, "call")
		out[c.id] = c
	}
	for _, id := range []string{"m1", "m4", "m5"} {
		if out[id] == nil {
			t.Fatalf("%s is not out, but %v", id, out)
		}
		if id != "m1" {
			out[id].answer <- 200
		}
	}
	want(t, "further calls", len(calls), 0)
	out["m1"].answer <- 200
	c := wait(t, calls, "call")
	want(t, "second of the key", c.id, "m2")
	waitPending(t, r, "m2", "m3") // its host has answered m5, but the relay would retry what it has not read
	r.stop()                      // with m2 in flight and m3 waiting
	wait(t, r.loopDone, "end of the loop")
	want(t, "further calls", len(calls), 0)
	second := startRelay(t, p, func(c *Config) { ordered(c); c.State = conf.State })
	status, _ := hand(t, second.Addr(), "m6", "payment", "Cookie", "thread=k1")
	want(t, "status", status, http.StatusAccepted)
	want(t, "end of the second, which may have run", wait(t, p.notices, "notice"), notice{"m2", undeliverable, 0})
	c = wait(t, calls, "call")
	want(t, "next of the key", c.id, "m3")
	hand(t, second.Addr(), "m8", "payment", "Cookie", "thread=k3") // once it is called, m6 would have been too
	other := wait(t, calls, "call")
	want(t, "call in parallel", other.id, "m8")
	other.answer <- 200
	c.answer <- 200
	c = wait(t, calls, "call")
	want(t, "last of the key", c.id, "m6")
	c.answer <- 200
	status, _ = hand(t, second.Addr(), "m7", "payment", "Cookie", "thread="+strings.Repeat("x", maxTokenBytes+1))
	want(t, "status with a malformed key", status, http.StatusBadRequest)
}

// A message is given up while the next of its order waits: the next goes only once the platform has acknowledged the notice,
// since the first has not ended until then. The acknowledgement is delayed; meanwhile the notice is repeated.
func TestOrderedMessageWaitsForNotice(t *testing.T) {
	t.Run("the notice is acknowledged", func(t *testing.T) { testOrderedMessageWaits(t, false) })
	// the next has not run, and is sent by the next process
	t.Run("the relay ends meanwhile", func(t *testing.T) { testOrderedMessageWaits(t, true) })
}

func testOrderedMessageWaits(t *testing.T, ends bool) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	posted, acknowledge := make(chan bool, 100), make(chan bool)
	plain := p.Config.Handler
	p.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/status" {
			posted <- true
			select {
			case <-acknowledge:
			case <-req.Context().Done():
				return
			}
		}
		plain.ServeHTTP(w, req)
	})
	var conf Config
	r := startRelay(t, p, func(c *Config) { ordered(c); conf = *c })
	for _, id := range []string{"m1", "m2"} {
		status, _ := hand(t, r.Addr(), id, "payment", "Cookie", "thread=k1")
		want(t, "status", status, http.StatusAccepted)
	}
	c := wait(t, calls, "call")
	want(t, "first", c.id, "m1")
	c.answer <- 500
	for range 3 { // the notice, and again
		wait(t, posted, "notice")
	}
	want(t, "calls before the notice is acknowledged", len(calls), 0)
	if ends {
		r.stop()
		wait(t, r.loopDone, "end of the loop")
		r = startRelay(t, p, func(c *Config) { ordered(c); c.State = conf.State })
	}
	close(acknowledge)
	c = wait(t, calls, "call")
	want(t, "second", c.id, "m2")
	want(t, "end of the first", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
	c.answer <- 200
	left := make(chan int, 1)
	r.post(func() { left <- len(r.noticeOrder) + len(r.noticesByOrder) + len(r.blockedCalls) })
	want(t, "orders remembered", wait(t, left, "count"), 0)
}
