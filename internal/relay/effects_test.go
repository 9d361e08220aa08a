package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// effects counts effects of messages at hosts that answer, refuse, fail, break off and hang in turn, in the same way for the
// same message and attempt.
type effects struct {
	mu       sync.Mutex
	ran      map[string]map[string]int // by message and host
	tries    map[string]int
	over     map[string]bool
	progress chan struct{}
	of       int // of so many calls one is refused, one fails, one breaks off, one hangs; the others are answered
}

var effectClasses = []string{"job-order", "status-update", "payment"}

// effectOf returns a message's number and class.
func effectOf(id string) (n int, class string) {
	n, _ = strconv.Atoi(id[1:])
	return n, effectClasses[n%3]
}

func newEffects() *effects {
	return &effects{ran: map[string]map[string]int{}, tries: map[string]int{}, over: map[string]bool{}, progress: make(chan struct{}, 1_000_000), of: 5}
}

// host starts a host and returns its address.
func (f *effects) host(t *testing.T, name string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		n, _ := effectOf(id)
		f.mu.Lock()
		f.tries[id]++
		how := (n/3 + f.tries[id] - 1) % f.of
		if how != 1 {
			if f.ran[id] == nil {
				f.ran[id] = map[string]int{}
			}
			f.ran[id][name]++
		}
		f.over[id] = f.over[id] || how == 0 || how > 4
		f.mu.Unlock()
		f.progress <- struct{}{}
		switch how {
		case 1:
			w.Header().Set("Retry-After", "0.02")
			w.WriteHeader(429)
		case 2:
			w.WriteHeader(500)
		case 3:
			panic(http.ErrAbortHandler)
		case 4:
			<-req.Context().Done()
		}
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// ends waits until each admitted message has been delivered or has a notice.
func (f *effects) ends(t *testing.T, p *platform, admitted map[string]bool) {
	t.Helper()
	for left := true; left; {
		select {
		case n := <-p.notices:
			f.mu.Lock()
			f.over[n.ID] = true
			f.mu.Unlock()
		case <-f.progress:
		case <-time.After(30 * time.Second):
			f.mu.Lock()
			defer f.mu.Unlock()
			for id, ok := range admitted {
				if ok && !f.over[id] {
					t.Errorf("%s has no end after %d tries", id, f.tries[id])
				}
			}
			t.FailNow()
		}
		left = false
		f.mu.Lock()
		for id, ok := range admitted {
			left = left || ok && !f.over[id]
		}
		f.mu.Unlock()
	}
}

// check compares all calls with the rules.
func (f *effects) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, tries := range f.tries {
		_, class := effectOf(id)
		a, b := f.ran[id]["a"], f.ran[id]["b"]
		if class == "payment" && a+b > 1 {
			t.Errorf("payment %s may have run %d times", id, a+b)
		}
		if class == "job-order" && a > 0 && b > 0 {
			t.Errorf("job order %s may have run in both buildings", id)
		}
		if tries > 6 {
			t.Errorf("%s went out %d times, 6 are allowed", id, tries)
		}
	}
}

// Across every kind of failure and two kills, each admitted message ends, and what may not be repeated is not.
func TestNothingLostOrRepeatedAcrossKills(t *testing.T) {
	const messages = 60
	f := newEffects()
	p := newPlatform(t, at("s-1", f.host(t, "a"), "taller"), at("s-2", f.host(t, "b"), "almacen"))
	state := t.TempDir()
	cmd, addr := process(t, p, state)
	admitted := map[string]bool{}
	for n := range messages {
		if n == messages/3 || n == 2*messages/3 {
			wait(t, f.progress, "call")
			cmd.Process.Kill()
			cmd.Wait()
			cmd, addr = process(t, p, state)
		}
		id := fmt.Sprint("m", n)
		_, class := effectOf(id)
		status, _ := hand(t, addr, id, class, "X-Deadline-Ms", "2000")
		admitted[id] = status == 202
	}
	f.ends(t, p, admitted)
	f.check(t)
}
