package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Many clients at once, with hosts of many faults: a response is never that of another request and does not look complete if it
// is not, a request that is not idempotent runs once at most, 503 means that it has not run, and no slot leaks.
func TestConcurrentClientsWithFaultyHosts(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	script := func(c *call) bool {
		id := c.id()
		run := func() { mu.Lock(); ran[id]++; mu.Unlock() }
		h := xxhash.Sum64String(fmt.Sprint(id, c.req.Header.Get("X-Target-Instance")))
		stream := strings.HasPrefix(c.req.URL.Path, "/turn/")
		respondCompletely := func() bool {
			if run(); stream {
				return streams(c, event(1, id), event(2, id))
			}
			c.respond(200, "X-Host-Load: 3,0,4\r\n", id)
			return true
		}
		switch h % 16 {
		case 0:
			c.respond(503, "X-Not-Executed: 1\r\n", "full")
			return true
		case 1:
			c.respond(421, "", "")
			return true
		case 2: // the response is lost
			run()
			return false
		case 3:
			run()
			c.raw("no answer at all\r\n\r\n")
			return false
		case 4:
			run()
			c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 99\r\n\r\n" + event(1, id))
			return false
		case 5: // a surplus response first
			c.raw(reply("somebody", 200, "", "not yours"))
			return respondCompletely()
		case 6: // and one behind
			respondCompletely()
			c.raw(reply("somebody", 200, "", "not yours"))
			return true
		case 7:
			run()
			c.respond(500, "", "failed")
			return true
		case 8: // no response: restarted at the latency time-out
			if strings.HasPrefix(c.req.URL.Path, "/tool/") {
				run()
				_, _ = c.in.Peek(1)
				return false
			}
		case 9:
			respondCompletely()
			return false
		}
		return respondCompletely()
	}
	var hosts []*host
	for i := range 5 {
		hosts = append(hosts, newHost(t, fmt.Sprint("i-", i), script))
	}
	f := newFront(t, hosts...)
	f.oracle.timeout = 25 * time.Millisecond
	served := 0
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Go(func() {
			c := f.dial()
			for i := range 40 {
				path := []string{"/tool/x", "/order/x", "/turn/x"}[(n+i)%3]
				id := fmt.Sprintf("a%d.%d", n, i)
				c.send(requestText("POST", path, id, fmt.Sprintf("X-Time-Left-Ms: 1500\r\nProgram: p%d\r\nX-Token-Usage: 9,4\r\n", n), "x"))
				a := c.read()
				mu.Lock()
				n := ran[id]
				if a.status == 200 && a.err == nil {
					served++
				}
				mu.Unlock()
				body := id
				if strings.HasPrefix(path, "/turn/") {
					body = event(1, id) + event(2, id)
				}
				switch {
				case a.err != nil: // broken off
				case a.status == 200 && (a.body != body || a.header.Get("X-Attempt-Id") != id):
					t.Errorf("%s gets %q", id, a.body)
				case a.status == 503 && path != "/tool/x" && n > 0:
					t.Errorf("%s has run and is promised that it did not", id)
				case path != "/tool/x" && n > 1:
					t.Errorf("%s ran %d times", id, n)
				}
				if a.err != nil || a.close || a.status == 0 {
					c.Close()
					c = f.dial()
				}
			}
		})
	}
	wg.Wait()
	for _, h := range hosts {
		h.close() // waits for what runs there
	}
	for id, n := range ran {
		var client, i int
		if _, err := fmt.Sscanf(id, "a%d.%d", &client, &i); err == nil && (client+i)%3 != 0 && n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if served < 24*40/2 {
		t.Errorf("%d of %d were served", served, 24*40)
	}
	eventually(t, "no calls in flight", func() bool {
		f.dispatcher.mu.Lock()
		defer f.dispatcher.mu.Unlock()
		return f.dispatcher.balancer.InFlight("plain") == 0 && f.dispatcher.balancer.InFlight("engine") == 0 && len(f.dispatcher.backlogged) == 0
	})
}

// A call that ended while a new list of hosts was applied read its host's entry without the lock: a data race, which only the race
// detector shows.
func TestCallsEndWhileHostListChanges(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { c.respond(200, "", "ok"); return true })
	f := newFront(t, h)
	done := make(chan struct{})
	var updates sync.WaitGroup
	updates.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				f.setHosts(h)
				time.Sleep(100 * time.Microsecond)
			}
		}
	})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			for i := range 100 {
				f.do("POST", "/tool/x", fmt.Sprintf("c%d.%d", n, i), timeLeft, "x")
			}
		})
	}
	clients.Wait()
	close(done)
	updates.Wait()
}
