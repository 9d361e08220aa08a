package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/turnstore"
)

const turnHeader = timeLeft + "Program: p1\r\nSession: s1\r\nBudget: 100\r\nX-Token-Usage: 50,10\r\nPrevious: t0\r\n"

func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

func streamHead(c *call) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + c.id() + "\r\nX-Host-Seal: seal\r\nVersions: 3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// streams responds with events.
func streams(c *call, events ...string) bool {
	c.raw(streamHead(c))
	for _, e := range events {
		c.raw(chunk(e))
	}
	c.raw(lastChunk)
	return true
}

// readPiece reads the next piece of a stream, which has to be text.
func readPiece(t *testing.T, r io.Reader, text string) {
	t.Helper()
	b := make([]byte, len(text))
	if _, err := io.ReadFull(r, b); err != nil {
		t.Fatalf("the stream ends with %v after %q", err, b)
	}
	want(t, "piece", string(b), text)
}

// The host gets the history and the new input of a turn; events are passed on as they come, and the end once the turn is
// recorded.
func TestTurnIsRecordedBeforeStreamEnds(t *testing.T) {
	next := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool {
		c.raw(streamHead(c) + chunk(event(1, "one")))
		<-next
		c.raw(chunk("id: 2\nda") + chunk("ta: two\n\nversions: 4\nid: 3\ndata: th\ndata: ree\n\n"))
		c.raw(lastChunk)
		return true
	})
	f := newFront(t, h)
	closing, kept := make(chan bool), make(chan error)
	f.ledger.history = map[string]string{"t0": "history;"}
	f.ledger.onClose = func(context.Context) error { closing <- true; return <-kept }
	c := f.dial()
	c.send(requestText("POST", "/turn/x", "t1", turnHeader, "input"))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "status", resp.StatusCode, 200)
	want(t, "seal", resp.Header.Get("X-Host-Seal"), "seal")
	want(t, "version", resp.Header.Get("Versions"), "3")
	readPiece(t, resp.Body, event(1, "one")) // the host is still decoding
	close(next)
	readPiece(t, resp.Body, event(2, "two")+"versions: 4\nid: 3\ndata: th\ndata: ree\n\n")
	wait(t, closing, "close")
	ended := make(chan error, 1)
	go func() { _, err := resp.Body.Read(make([]byte, 1)); ended <- err }()
	select {
	case err := <-ended:
		t.Fatalf("the stream ends with %v before the turn is recorded", err)
	case <-time.After(20 * time.Millisecond):
	}
	kept <- nil
	want(t, "end", wait(t, ended, "end"), io.EOF)
	if got := h.lastRequest(); !strings.HasSuffix(got, "\r\n\r\nhistory;input") || !strings.Contains(got, "\r\nPrevious: t0\r\n") ||
		!strings.Contains(got, "\r\nContent-Length: 13\r\n") || !strings.Contains(got, "\r\nX-Target-Instance: i-1-e\r\n") {
		t.Errorf("the host got %q", got)
	}
	want(t, "notes", f.ledger.log(), "open p1 t1<-t0 10/100; close t1 6")
	k := f.ledger.recorded[0]
	want(t, "key", k.Key, "p1")
	want(t, "previous", k.Previous, "t0")
	want(t, "input", string(k.Input), "input")
	want(t, "output", string(k.Output), "one\ntwo\nth\nree\n")
	want(t, "base", k.Base == nil, true)
	want(t, "retained", k.RetainSeconds, 60)
	// The connection is kept alive.
	f.ledger.onClose = nil
	c.send(requestText("POST", "/tool/x", "a", timeLeft, "x"))
	want(t, "id of the next answer", c.read().header.Get("X-Attempt-Id"), "a")
}

func TestTurnOfAnotherProgramRecordsBase(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", func(c *call) bool { return streams(c, event(1, "x")) }))
	f.ledger.history, f.ledger.base = map[string]string{"t0": "history;"}, true
	a := f.do("POST", "/turn/x", "t1", turnHeader, "input")
	want(t, "body", a.body, event(1, "x"))
	want(t, "error", a.err, nil)
	want(t, "base", string(f.ledger.recorded[0].Base), "history;")
}

// The stream of a turn whose host breaks off, or that cannot be recorded, does not look complete, and the tokens that were passed
// on are settled.
func TestIncompleteTurnIsSettled(t *testing.T) {
	for name, c := range map[string]struct {
		script func(c *call) bool
		status int // 0 for a response that must not look complete
		notes  string
		fails  bool // to be recorded
	}{
		"no response":   {func(c *call) bool { return false }, 502, "settle p1 t1 0", false},
		"garbage":       {func(c *call) bool { c.raw("what\r\n\r\n"); return false }, 502, "settle p1 t1 0", false},
		"no event":      {func(c *call) bool { c.raw(streamHead(c)); return false }, 502, "settle p1 t1 0", false},
		"two events":    {func(c *call) bool { c.raw(streamHead(c) + chunk(event(1, "x")+event(2, "y"))); return false }, 0, "settle p1 t1 4", false},
		"half an event": {func(c *call) bool { c.raw(streamHead(c) + chunk(event(1, "x")+"id: 2\nda")); return false }, 0, "settle p1 t1 4", false},
		"a half chunk":  {func(c *call) bool { c.raw(streamHead(c) + "f\r\nid: 1\n"); return false }, 0, "settle p1 t1 2", false},
		"no last chunk": {func(c *call) bool { c.raw(streamHead(c) + chunk(event(1, "x")) + "0\r\n"); return false }, 0, "settle p1 t1 2", false},
		"a short length": {func(c *call) bool {
			c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: t1\r\nContent-Length: 90\r\n\r\n" + event(1, "x"))
			return false
		}, 0, "settle p1 t1 2", false},
		"not recorded":    {func(c *call) bool { return streams(c, event(1, "x"), event(2, "y")) }, 0, "close t1 4; settle p1 t1 4", true},
		"over MaxTokens":  {func(c *call) bool { c.raw(streamHead(c) + chunk(strings.Repeat(event(1, "x"), 9))); return false }, 502, "settle p1 t1 0", false},
		"500":             {func(c *call) bool { c.respond(500, "", "bad"); return true }, 500, "settle p1 t1 0", false},
		"402 by the host": {func(c *call) bool { c.respond(402, "", "bad"); return true }, 502, "settle p1 t1 0", false},
		"half of a 500": {func(c *call) bool {
			c.raw("HTTP/1.1 500 X\r\nX-Attempt-Id: t1\r\nContent-Length: 9\r\n\r\nba")
			return false
		}, 502, "settle p1 t1 0", false},
		"at capacity": {func(c *call) bool { c.respond(503, "X-Not-Executed: 1\r\n", ""); return true }, 503, "settle p1 t1 0", false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, "i-1", c.script)
			f := newFront(t, h, newHost(t, "i-2", c.script))
			if c.fails {
				f.ledger.onClose = func(context.Context) error { return turnstore.ErrUnavailable }
			}
			k := f.dial()
			k.send(requestText("POST", "/turn/x", "t1", turnHeader, "input"))
			var a answer
			if c.status == 0 {
				raw, _ := io.ReadAll(k)
				a = (&conn{in: bufio.NewReader(bytes.NewReader(raw))}).read()
				if a.err == nil || bytes.Count(raw, []byte("HTTP/1.1")) != 1 {
					t.Errorf("it looks complete, or has something behind it: %q", raw)
				}
			} else {
				a = k.read()
				want(t, "status", a.status, c.status)
				want(t, "error", a.err, nil)
			}
			eventually(t, "settled", func() bool { return strings.Contains(f.ledger.log(), "settle") })
			want(t, "notes", f.ledger.log(), "open p1 t1<-t0 10/100; "+c.notes)
			if a.status != 503 {
				want(t, "retry", a.header.Get("Retry-After"), "")
			}
		})
	}
}

// An error of the ledger rejects the turn, and no host gets it.
func TestTurnRejectedByLedger(t *testing.T) {
	for kind, status := range map[error]int{turnstore.ErrBudget: 402, turnstore.ErrNoTurn: 404, turnstore.ErrUnavailable: 503, context.DeadlineExceeded: 503} {
		h := newHost(t, "i-1", respondsOK("ran"))
		f := newFront(t, h)
		f.ledger.openErr = errors.Mark(errors.New("as the test has it"), kind)
		a := f.do("POST", "/turn/x", "t1", turnHeader, "input")
		want(t, "status", a.status, status)
		want(t, "Retry-After", a.header.Get("Retry-After") != "", status == 503)
		want(t, "calls", h.calls.Load(), 0)
	}
}

// A turn is retried on another host only after a proof that it has not run; its reservation stays.
func TestTurnRetryKeepsReservation(t *testing.T) {
	first := make(chan bool, 1)
	first <- true
	script := func(c *call) bool {
		select {
		case <-first:
			c.respond(503, "X-Not-Executed: 1\r\n", "")
			return true
		default:
			return streams(c, event(1, "x"))
		}
	}
	f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script))
	a := f.do("POST", "/turn/x", "t1", turnHeader, "input")
	want(t, "body", a.body, event(1, "x"))
	want(t, "notes", f.ledger.log(), "open p1 t1<-t0 10/100; close t1 2")
}

// A turn goes to the host that ran the turn before, which the ledger has recorded as its cache host.
func TestTurnsGoToCacheHost(t *testing.T) {
	var hosts []*host
	for i := range 5 {
		hosts = append(hosts, newHost(t, fmt.Sprint("i-", i), func(c *call) bool { return streams(c, event(1, "x")) }))
	}
	f := newFront(t, hosts...)
	c := f.dial()
	for i := range 10 {
		head := fmt.Sprintf("Program: p1\r\nX-Token-Usage: %d,10\r\nX-Prompt-Prefix: 5c:800,%x:%d\r\n", 3000+100*i, i+1, 2200+100*i)
		if i > 0 {
			head += fmt.Sprintf("Previous: t%d\r\n", i-1)
		}
		c.send(requestText("POST", "/turn/x", fmt.Sprint("t", i), head, "input"))
		want(t, "status", c.read().status, 200)
	}
	for _, h := range hosts {
		if n := h.calls.Load(); n != 0 && n != 10 {
			t.Errorf("host %s had %d of 10 turns", h.id, n)
		}
	}
}

// A disconnect during a stream closes the connection to the host, and the tokens that were passed on are settled.
func TestDisconnectDuringStream(t *testing.T) {
	ended := make(chan bool, 1)
	h := newHost(t, "i-1", func(c *call) bool {
		c.raw(streamHead(c) + chunk(event(1, "x")))
		_, err := c.in.Peek(1)
		ended <- err != nil
		return false
	})
	f := newFront(t, h)
	c := f.dial()
	c.send(requestText("POST", "/turn/x", "t1", turnHeader, "input"))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	readPiece(t, resp.Body, event(1, "x"))
	c.Close()
	want(t, "end of the host's connection", wait(t, ended, "end"), true)
	eventually(t, "settled", func() bool { return strings.HasSuffix(f.ledger.log(), "settle p1 t1 2") })
	want(t, "kept", len(f.ledger.recorded), 0)
}

// A stream that is no turn needs no ledger. It may be framed by its length.
func TestStreamNeedsNoLedger(t *testing.T) {
	for name, script := range map[string]func(c *call) bool{
		"chunks": func(c *call) bool { return streams(c, event(1, "x"), event(2, "y")) },
		"length": func(c *call) bool { c.respond(200, "", event(1, "x")+event(2, "y")); return true },
	} {
		f := newFront(t, newHost(t, "i-1", script))
		a := f.do("POST", "/stream/x", "a", timeLeft, "x")
		want(t, name, fmt.Sprint(a.status, a.body, a.err), "200"+event(1, "x")+event(2, "y")+"<nil>")
		want(t, "notes", f.ledger.log(), "")
	}
}

func TestTurnHeaderDefaults(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", func(c *call) bool { return streams(c, event(1, "x")) }))
	a := f.do("POST", "/turn/x", "t1", "", "input")
	want(t, "status", a.status, 200)
	want(t, "notes", f.ledger.log(), fmt.Sprintf("open t1 t1<- 0/%d; close t1 2", Unlimited))
}

// A client has few attempts: with stores or hosts down, Retry-After is the time in which a killed process restarts.
func TestRetryAfterCoversRestart(t *testing.T) {
	after := func(f *front) float64 {
		t.Helper()
		a := f.do("POST", "/turn/x", "t1", turnHeader, "input")
		want(t, "status", a.status, 503)
		s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	unsure := newFront(t, newHost(t, "i-1", func(c *call) bool { return streams(c, event(1, "x")) }))
	unsure.ledger.openErr = turnstore.ErrUnavailable
	for name, s := range map[string]float64{"stores down": after(unsure), "no host": after(newFront(t))} {
		if s < 0.5 || s > 1 {
			t.Errorf("%s: Retry-After %v s", name, s)
		}
	}
}
