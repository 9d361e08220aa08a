package relay

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// ordered has payments keep an order.
func ordered(c *Config) {
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Ordered = c.Settings.Classes[i].Name == "payment"
	}
}

// waitHeld asks the loop until it holds just these messages, sorted by id: the ends of all others are recorded or are in what
// the loop records before it ends.
func waitHeld(t *testing.T, r *Relay, ids ...string) {
	t.Helper()
	held, began := make(chan []string, 1), time.Now()
	for {
		r.post(func() { held <- slices.Sorted(maps.Keys(r.pending)) })
		now := wait(t, held, "list of messages held")
		if slices.Equal(now, ids) {
			return
		}
		if time.Since(began) > 30*time.Second {
			t.Fatalf("held are %v, want %v", now, ids)
		}
	}
}

// Messages of one key go one at a time, in the order in which they were taken on, also those that a restart finds: one with
// another key, or of a class that keeps no order, does not wait. It guards against a relay that does not read the key.
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
	waitHeld(t, r, "m2", "m3") // its host has answered m5, but what the relay has not read of that it would try again
	r.stop()                   // with m2 out and m3 waiting
	wait(t, r.loopDone, "end of the loop")
	want(t, "further calls", len(calls), 0)
	second := startRelay(t, p, func(c *Config) { ordered(c); c.State = conf.State })
	status, _ := hand(t, second.Addr(), "m6", "payment", "Cookie", "thread=k1")
	want(t, "status", status, http.StatusAccepted)
	want(t, "end of the second, which may have run", wait(t, p.notices, "notice"), notice{"m2", undeliverable, 0})
	c = wait(t, calls, "call")
	want(t, "next of the key", c.id, "m3")
	hand(t, second.Addr(), "m8", "payment", "Cookie", "thread=k3") // once it is called, m6 would have been as well
	other := wait(t, calls, "call")
	want(t, "call beside it", other.id, "m8")
	other.answer <- 200
	c.answer <- 200
	c = wait(t, calls, "call")
	want(t, "last of the key", c.id, "m6")
	c.answer <- 200
	status, _ = hand(t, second.Addr(), "m7", "payment", "Cookie", "thread="+strings.Repeat("x", maxTokenBytes+1))
	want(t, "status with a malformed key", status, http.StatusBadRequest)
}

// A message is given up while the next of its key waits: that one goes only once the platform has acknowledged the end, as
// until then the first is not over. The acknowledgement is held; meanwhile the notice is repeated.
func TestOrderedMessageWaitsForNotice(t *testing.T) {
	t.Run("it is heard", func(t *testing.T) { nextOfAnOrder(t, false) })
	t.Run("the relay ends meanwhile", func(t *testing.T) { nextOfAnOrder(t, true) }) // the next has not run, and is sent by its successor
}

func nextOfAnOrder(t *testing.T, ends bool) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	posted, held := make(chan bool, 100), make(chan bool)
	plain := p.Config.Handler
	p.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/status" {
			posted <- true
			select {
			case <-held:
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
	want(t, "calls before the end is heard", len(calls), 0)
	if ends {
		r.stop()
		wait(t, r.loopDone, "end of the loop")
		r = startRelay(t, p, func(c *Config) { ordered(c); c.State = conf.State })
	}
	close(held)
	c = wait(t, calls, "call")
	want(t, "second", c.id, "m2")
	want(t, "end of the first", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
	c.answer <- 200
	left := make(chan int, 1)
	r.post(func() { left <- len(r.noticeOrder) + len(r.noticesByOrder) + len(r.blockedCalls) })
	want(t, "orders remembered", wait(t, left, "count"), 0)
}
