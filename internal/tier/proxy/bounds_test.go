package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/membudget"
	"larchrouter/internal/tier/eventstream"
	"larchrouter/internal/tier/turnstore"
)

const programHeader = timeLeft + "Program: p1\r\nX-Token-Usage: 50,10\r\n" // of a turn of 5 events, at most

// sendsOn writes a unit again and again, until the connection ends or so many bytes were written.
func sendsOn(c *call, unit string, most int) bool {
	block := strings.Repeat(unit, max(1, (16<<10)/len(unit)))
	for written := 0; written < most; written += len(block) {
		if _, err := io.WriteString(c.Conn, block); err != nil {
			return false
		}
	}
	return false
}

// exceeded returns how many responses exceeded a bound, as the front reports.
func (f *front) exceeded(bound string) int64 {
	f.t.Helper()
	response, err := http.Get("http://" + f.ready + "/api/responses")
	if err != nil {
		f.t.Fatal(err)
	}
	defer http.DefaultClient.CloseIdleConnections()
	defer response.Body.Close()
	var report ResponseReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		f.t.Fatal(err)
	}
	count, ok := report.Exceeded[bound]
	if !ok || report.HeapBytes == 0 {
		f.t.Errorf("no count of %s, or no heap, in %+v", bound, report)
	}
	return count
}

// Whole events without end were passed on and kept until the deadline. A stream ends with its connection once it has more events than
// the request permits; its tokens are settled once, at the most that it may have used, and its host counts as broken.
func TestStreamWithTooManyEventsEnds(t *testing.T) {
	for _, path := range []string{"/turn/x", "/draft/x", "/chat/x"} {
		t.Run(path, func(t *testing.T) {
			goOn := make(chan struct{})
			h := newHost(t, "i-1", func(c *call) bool {
				c.raw(streamHead(c))
				for id := range 5 {
					c.raw(chunk(event(id+1, "x")))
				}
				<-goOn
				return sendsOn(c, chunk(event(6, "x")), 1<<30)
			})
			f := newFront(t, h)
			c := f.dial()
			c.send(requestText("POST", path, "t1", programHeader+"Budget: 100\r\n", "input"))
			response, err := http.ReadResponse(c.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			for id := range 5 {
				readPiece(t, response.Body, event(id+1, "x"))
			}
			close(goOn)
			if rest, err := io.ReadAll(response.Body); err == nil || len(rest) > 0 {
				t.Errorf("behind the last event come %d bytes, err=%v", len(rest), err)
			}
			eventually(t, "settled", func() bool { return strings.HasSuffix(f.ledger.log(), "settle p1 t1 10") })
			want(t, "settlements", strings.Count(f.ledger.log(), "settle"), 1)
			want(t, "streams with too many events", f.exceeded("events"), 1)
			want(t, "calls to the host", int(h.calls.Load()), 1)
			if outcome := f.lastOutcome("i-1-e"); outcome != "failed" {
				t.Errorf("the host counts as one that %s", outcome)
			}
		})
	}
}

// lastOutcome returns how the health reporter has counted a host since its last report.
func (f *front) lastOutcome(host string) string {
	f.dispatcher.health.mu.Lock()
	defer f.dispatcher.health.mu.Unlock()
	if w := f.dispatcher.health.watched[host]; w != nil && time.Now().Before(w.until) {
		return "failed"
	}
	return "did not fail"
}

// Bytes that complete no event were passed on and kept until the deadline. Such a stream ends, is retried where the rules permit it, and
// its host counts as broken.
func TestStreamWithoutEventsEnds(t *testing.T) {
	for name, unit := range map[string]string{"one line": "data: " + strings.Repeat("x", 500), "data lines": "data: x\n", "comments": ": x\n\n",
		"empty lines": "\n", "events without data": "id: 1\n\n"} {
		for _, path := range []string{"/turn/x", "/draft/x", "/chat/x"} {
			t.Run(name+path, func(t *testing.T) {
				h := newHost(t, "i-1", func(c *call) bool {
					c.raw(streamHead(c))
					return sendsOn(c, chunk(strings.Repeat(unit, 8)), 64<<20)
				})
				f := newFront(t, h)
				began := time.Now()
				a := f.do("POST", path, "t1", programHeader, "input")
				if a.err == nil && a.status == http.StatusOK || len(a.body) > 2*eventstream.MaxEventBytes {
					t.Errorf("status %d, %d bytes, err=%v", a.status, len(a.body), a.err)
				}
				if took := time.Since(began); took > 4*time.Second { // half of the deadline
					t.Errorf("it ended after %v", took)
				}
				if f.exceeded("event_bytes") == 0 {
					t.Error("no response exceeded the bound")
				}
				if outcome := f.lastOutcome("i-1-e"); outcome != "failed" {
					t.Errorf("the host counts as one that %s", outcome)
				}
			})
		}
	}
}

// Slow, silent and long streams of proper hosts are passed on as they were: comments between events, events of many sizes, and more bytes
// in all than an event may have.
func TestHonestStreamsPass(t *testing.T) {
	long := strings.Repeat("z", eventstream.MaxEventBytes/2)
	for name, parts := range map[string][]string{
		"comments between events": {event(1, "a"), strings.Repeat(": wait\n\n", 1000), event(2, "b"), strings.Repeat(": wait\n\n", 1000), event(3, "c")},
		"long events":             {event(1, long), event(2, long), event(3, long), event(4, long)},
		"as many as permitted":    {event(1, "a"), event(2, "b"), event(3, "c"), event(4, "d"), event(5, "e")},
	} {
		for _, path := range []string{"/turn/x", "/draft/x", "/chat/x"} {
			t.Run(name+path, func(t *testing.T) {
				f := newFront(t, newHost(t, "i-1", func(c *call) bool {
					c.raw(streamHead(c))
					for _, part := range parts {
						c.raw(chunk(part))
						time.Sleep(5 * time.Millisecond)
					}
					c.raw(lastChunk)
					return true
				}))
				a := f.do("POST", path, "t1", programHeader, "input")
				if a.status != http.StatusOK || a.err != nil || a.body != strings.Join(parts, "") {
					t.Errorf("status %d, %d bytes, err=%v", a.status, len(a.body), a.err)
				}
			})
		}
	}
}

// A turn whose output is longer than the stores keep was refused behind its last byte, after copies of it were made at each. It ends as
// soon as its output is too long.
func TestTurnWithTooLongOutputEnds(t *testing.T) {
	received := 0
	f := newFront(t, newHost(t, "i-1", func(c *call) bool {
		c.raw(streamHead(c))
		unit := chunk(event(1, strings.Repeat("x", 64<<10)))
		for received = 0; received < 4*turnstore.MaxIncrementBytes; received += len(unit) {
			if _, err := io.WriteString(c.Conn, unit); err != nil {
				return false
			}
		}
		c.raw(lastChunk)
		return true
	}))
	a := f.do("POST", "/turn/x", "t1", timeLeft+"Program: p1\r\n", "input")
	if a.err == nil || len(a.body) > turnstore.MaxIncrementBytes+1<<20 {
		t.Errorf("%d bytes came, err=%v", len(a.body), a.err)
	}
	if strings.Contains(f.ledger.log(), "close") {
		t.Error("it was passed to the stores")
	}
	want(t, "turns with too long an output", f.exceeded("output_bytes"), 1)
}

// A response whose announced length the link cannot carry in time was passed on until its deadline. It is a broken one from its head on:
// an idempotent request goes to another host.
func TestHugeAnnouncedLengthIsBroken(t *testing.T) {
	huge := func(c *call) bool {
		c.raw(fmt.Sprintf("HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Host-Seal: seal\r\nContent-Length: %d\r\n\r\n", c.id(), 1<<40))
		return sendsOn(c, strings.Repeat("x", 1000), 64<<20)
	}
	for path, status := range map[string]int{"/tool/x": http.StatusOK, "/order/x": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			var calls atomic.Int32
			script := func(c *call) bool {
				if calls.Add(1) == 1 {
					return huge(c)
				}
				return respondsOK("yes")(c)
			}
			f := newFrontWithOptions(t, Options{Ledger: &ledger{}, LinkBytesPerSecond: 125e6}, newHost(t, "i-1", script), newHost(t, "i-2", script))
			want(t, "status", f.do("GET", path, "a", timeLeft, "").status, status)
			if f.exceeded("length") == 0 {
				t.Error("no response exceeded the bound")
			}
		})
	}
}

// A rejection with a body that never ends counts as a broken response, and its body is not kept.
func TestEndlessRejectionIsBroken(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := newFront(t, newHost(t, "i-1", func(c *call) bool {
				c.raw(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", status, c.id()))
				return sendsOn(c, chunk(strings.Repeat("x", 1000)), 64<<20)
			}))
			want(t, "status", f.do("POST", "/order/x", "a", timeLeft, "x").status, http.StatusServiceUnavailable)
			if f.exceeded("rejection_bytes") == 0 {
				t.Error("no response exceeded the bound")
			}
			if outcome := f.lastOutcome("i-1"); outcome != "failed" {
				t.Errorf("the host counts as one that %s", outcome)
			}
		})
	}
}

// A host whose response took all that it may and did not end by its deadline stayed in use. One that merely was slow stays so.
func TestResponseWithoutEndIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  string
	}{"as fast as it can": {0, "failed"}, "slow": {20 * time.Millisecond, "did not fail"}} {
		t.Run(name, func(t *testing.T) {
			f := newFrontWithOptions(t, Options{Ledger: &ledger{}, LinkBytesPerSecond: 8 << 20}, newHost(t, "i-1", func(k *call) bool {
				k.raw(fmt.Sprintf("HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Host-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n", k.id()))
				for {
					if _, err := io.WriteString(k.Conn, chunk(strings.Repeat("x", 16<<10))); err != nil {
						return false
					}
					time.Sleep(c.pause)
				}
			}))
			a := f.do("POST", "/order/x", "a", "X-Time-Left-Ms: 1000\r\n", "x")
			if a.err == nil {
				t.Errorf("it looks complete: status %d, %d bytes", a.status, len(a.body))
			}
			want(t, "the host counts as one that", f.lastOutcome("i-1"), c.want)
		})
	}
}

// heldSlack is what a front may hold of one response beyond what is drawn from the budget: buffers of its connections, the first part of a
// response, and what the runtime needs.
const heldSlack = 80 << 10

// What a front kept of a stream was in no budget. All that it keeps of a response, by whatever holder, is drawn from the budget: a holder
// that draws nothing shows as heap.
func TestAllThatIsHeldOfResponsesIsDrawn(t *testing.T) {
	const much = 768 << 10
	for name, response := range map[string]func(c *call){
		"one line":   func(c *call) { c.raw(streamHead(c) + chunk("id: 1\ndata: "+strings.Repeat("x", much))) },
		"data lines": func(c *call) { c.raw(streamHead(c) + chunk("id: 1\n"+strings.Repeat("data: x\n", much/8))) },
		"events": func(c *call) {
			c.raw(streamHead(c) + chunk(strings.Repeat(event(1, strings.Repeat("x", 1000)), much/1000)))
		},
		"held back":    func(c *call) { c.raw(streamHead(c) + chunk("id: 1\ndata: "+strings.Repeat("x", 200<<10))) },
		"a plain body": func(c *call) { c.raw(streamHead(c) + chunk(strings.Repeat("x", much))) },
		"a long head": func(c *call) {
			c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + c.id() + "\r\n" + strings.Repeat("X-Long: "+strings.Repeat("y", 80)+"\r\n", 300) +
				"Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1, "x")))
		},
	} {
		for _, path := range []string{"/turn/x", "/draft/x", "/chat/x", "/tool/x", "/order/x"} {
			t.Run(name+path, func(t *testing.T) {
				const clients = 6
				leave := make(chan struct{})
				h := newHost(t, "i-1", func(c *call) bool {
					response(c)
					<-leave
					return false
				})
				t.Cleanup(sync.OnceFunc(func() { close(leave) })) // before the host is closed
				h.capacity = 2 * clients
				f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: membudget.New(membudget.Options{Limit: 1 << 30})}, h)
				before := liveHeap()
				for i := range clients {
					c := f.dial()
					c.send(requestText("POST", path, fmt.Sprint("t", i), timeLeft+"Program: p1\r\n", "input"))
					go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
				}
				eventually(t, "the host is called", func() bool { return h.calls.Load() == clients })
				f.awaitQuiet()
				held, drawn := liveHeap()-before, f.options.Memory.Usage().Used
				if held > drawn+clients*heldSlack {
					t.Errorf("for %d responses the heap has grown by %d bytes, of which %d are drawn", clients, held, drawn)
				}
			})
		}
	}
}

// awaitQuiet waits until what the front holds has not changed for a time.
func (f *front) awaitQuiet() {
	const quiet, poll = 10, 10 * time.Millisecond
	last, same := int64(-1), 0
	eventually(f.t, "all that has come is read", func() bool {
		time.Sleep(poll)
		used := f.options.Memory.Usage().Used
		if same++; used != last {
			last, same = used, 0
		}
		return same == quiet
	})
}

// liveHeap returns the bytes of live objects in the heap.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Bytes without end behind a proper response, or behind the response to HEAD, belong to no request: the next one goes out on another
// connection.
func TestEndlessBytesBehindResponse(t *testing.T) {
	for _, method := range []string{"GET", "HEAD"} {
		t.Run(method, func(t *testing.T) {
			junkSent := make(chan struct{})
			f := newFront(t, newHost(t, "i-1", func(c *call) bool {
				if c.id() != "a" {
					return respondsOK("yes")(c)
				}
				if method == "HEAD" {
					c.raw("HTTP/1.1 200 X\r\nX-Attempt-Id: a\r\nX-Host-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n")
				} else {
					c.respond(http.StatusOK, "X-Host-Seal: seal\r\n", "yes")
				}
				c.raw("junk")
				close(junkSent)
				return sendsOn(c, "junk", 16<<20)
			}))
			a := f.do(method, "/order/x", "a", timeLeft+"Connection: close\r\n", "")
			want(t, "status", a.status, http.StatusOK)
			<-junkSent // what crosses the next request may be taken for the response to it, which then may have run
			for i := range 4 {
				want(t, "status of the next", f.do("GET", "/order/x", fmt.Sprint("b", i), timeLeft, "").status, http.StatusOK)
			}
		})
	}
}
