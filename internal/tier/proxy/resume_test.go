package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const resumeHeader = timeLeft + "Program: p1\r\nSession: s1\r\nBudget: 100\r\nX-Token-Usage: 50,10\r\n"

// sealedStreamHead is the head of a stream with a seal of its own.
func sealedStreamHead(c *call, seal string) string {
	return strings.Replace(streamHead(c), "X-Host-Seal: seal", "X-Host-Seal: "+seal, 1)
}

// runsInTurn has the first call to any of its hosts answered by the first script, and so on; the last one answers all others.
func runsInTurn(scripts ...func(c *call) bool) func(c *call) bool {
	var calls atomic.Int32
	return func(c *call) bool {
		n := int(calls.Add(1))
		return scripts[min(n, len(scripts))-1](c)
	}
}

// sends writes a stream with a seal as far as text goes, and ends it if complete is set.
func sends(seal, text string, complete bool) func(c *call) bool {
	return func(c *call) bool {
		c.raw(sealedStreamHead(c, seal))
		if text != "" {
			c.raw(chunk(text))
		}
		if complete {
			c.raw(lastChunk)
		}
		return complete
	}
}

func responds(status int, header, body string) func(c *call) bool {
	return func(c *call) bool { c.respond(status, header, body); return true }
}

// events returns events of two tokens each.
func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(event(id, fmt.Sprintf("piece %d", id)))
	}
	return b.String()
}

// A resumable stream that breaks off goes on at another host within the same answer, which keeps the head of the first one. No event
// comes twice, none is missing, and what is no continuation ends the connection. The budget counts what the client got.
func TestResumableStreamGoesOnAtAnotherHost(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(c *call) bool
		body          string
		complete      bool
		lastEventID   string // of the second call
		seal          string // default: that of the first host
	}{
		"between two events":     {sends("one", events(1, 2), false), sends("two", events(3, 5), true), events(1, 5), true, "2", ""},
		"inside an event":        {sends("one", events(1, 2)+"id: 3\nda", false), sends("two", events(3, 5), true), events(1, 5), true, "2", ""},
		"behind the last event":  {sends("one", events(1, 5), false), sends("two", "", true), events(1, 5), true, "5", ""},
		"before the first event": {sends("one", "", false), sends("two", events(1, 2), true), events(1, 2), true, "", "two"},
		"inside the first event": {sends("one", "id: 1", false), sends("two", events(1, 2), true), events(1, 2), true, "", "two"},
		"without an answer":      {func(*call) bool { return false }, sends("two", events(1, 2), true), events(1, 2), true, "", "two"},
		"with a failure":         {responds(500, "", "failed"), sends("two", events(1, 2), true), events(1, 2), true, "", "two"},
		"with half a failure": {func(c *call) bool {
			c.raw("HTTP/1.1 404 X\r\nX-Attempt-Id: t1\r\nContent-Length: 9\r\n\r\nba")
			return false
		}, sends("two", events(1, 2), true), events(1, 2), true, "", "two"},
		"the next breaks, too":    {sends("one", events(1, 2), false), sends("two", events(3, 3), false), events(1, 3), false, "2", ""},
		"the next starts anew":    {sends("one", events(1, 2), false), sends("two", events(1, 5), true), events(1, 2), false, "2", ""},
		"the next leaves one out": {sends("one", events(1, 2), false), sends("two", events(4, 5), true), events(1, 2), false, "2", ""},
		"the next answers 421":    {sends("one", events(1, 2), false), responds(421, "X-Not-Executed: 1\r\n", ""), events(1, 2), false, "2", ""},
		"the next answers 503":    {sends("one", events(1, 2), false), responds(503, "X-Not-Executed: 1\r\n", ""), events(1, 2), false, "2", ""},
		"the next answers 400":    {sends("one", events(1, 2), false), responds(400, "X-Not-Executed: 1\r\n", "bad"), events(1, 2), false, "2", ""},
		"the next fails":          {sends("one", events(1, 2), false), responds(500, "", "failed"), events(1, 2), false, "2", ""},
		"the next has no seal": {sends("one", events(1, 2), false), func(c *call) bool {
			c.raw(strings.Replace(streamHead(c), "X-Host-Seal: seal\r\n", "", 1) + chunk(events(3, 3)) + lastChunk)
			return true
		}, events(1, 2), false, "2", ""},
	} {
		t.Run(name, func(t *testing.T) {
			script := runsInTurn(c.first, c.second)
			one, two := newHost(t, "i-1", script), newHost(t, "i-2", script)
			f := newFront(t, one, two)
			k := f.dial()
			k.send(requestText("POST", "/draft/x", "t1", resumeHeader, "input"))
			resp, err := http.ReadResponse(k.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			want(t, "status", resp.StatusCode, 200)
			want(t, "body", string(body), c.body)
			want(t, "complete", err == nil, c.complete)
			seal := "one"
			if c.seal != "" {
				seal = c.seal
			}
			want(t, "seal", resp.Header.Get("X-Host-Seal"), seal)
			want(t, "calls", one.calls.Load()+two.calls.Load(), 2)
			want(t, "each host is called", one.calls.Load(), 1)
			checkSecondCall(t, one, two, c.lastEventID)
			used := 2 * strings.Count(c.body, "data:")
			eventually(t, "settled", func() bool { return strings.Contains(f.ledger.log(), "settle") })
			want(t, "notes", f.ledger.log(), fmt.Sprintf("open p1 t1<- 10/100; settle p1 t1 %d", used))
			eventually(t, "slots are free", func() bool { return f.inFlightCalls() == 0 })
		})
	}
}

// checkSecondCall checks the request of the call that continues a stream.
func checkSecondCall(t *testing.T, one, two *host, lastEventID string) {
	t.Helper()
	second := one.lastRequest()
	if strings.Contains(two.lastRequest(), "Last-Event-Id") {
		second = two.lastRequest()
	}
	if lastEventID == "" {
		want(t, "Last-Event-Id", strings.Contains(second, "Last-Event-Id"), false)
		return
	}
	for _, part := range []string{"\r\nLast-Event-Id: " + lastEventID + "\r\n", "\r\nExpect-Version: 3\r\n", "\r\nX-Attempt-Id: t1\r\n", "\r\n\r\ninput"} {
		if !strings.Contains(second, part) {
			t.Errorf("the second host got %q, without %q", second, part)
		}
	}
}

// inFlightCalls returns the number of calls that hold a slot.
func (f *front) inFlightCalls() int {
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	return f.dispatcher.balancer.InFlight("plain") + f.dispatcher.balancer.InFlight("engine")
}

// A change of the weights within the stream is what a continuation has to agree with.
func TestContinuationExpectsLastVersion(t *testing.T) {
	script := runsInTurn(sends("one", events(1, 1)+"versions:4\n"+events(2, 2), false), sends("two", events(3, 3), true))
	one, two := newHost(t, "i-1", script), newHost(t, "i-2", script)
	f := newFront(t, one, two)
	a := f.do("POST", "/draft/x", "t1", resumeHeader, "input")
	want(t, "body", a.body, events(1, 1)+"versions:4\n"+events(2, 3))
	if second := one.lastRequest() + two.lastRequest(); !strings.Contains(second, "\r\nExpect-Version: 4\r\n") {
		t.Errorf("the hosts got %q", second)
	}
}

// awaitHosts waits until the front has applied its host list.
func (f *front) awaitHosts() {
	f.t.Helper()
	eventually(f.t, "hosts are applied", func() bool {
		f.dispatcher.mu.Lock()
		defer f.dispatcher.mu.Unlock()
		return f.dispatcher.hosts == f.source.Tables().Hosts
	})
}

// A client that resumes a stream itself gets it from the event on that it names, also if that host breaks off.
func TestClientsLastEventID(t *testing.T) {
	script := runsInTurn(sends("one", events(4, 5), false), sends("two", events(6, 6), true))
	one, two := newHost(t, "i-1", script), newHost(t, "i-2", script)
	f := newFront(t, one, two)
	a := f.do("POST", "/draft/x", "t1", resumeHeader+"Last-Event-Id: 3\r\n", "input")
	want(t, "body", a.body, events(4, 6))
	want(t, "error", a.err, nil)
	for _, id := range []string{"3", "5"} {
		if got := one.lastRequest() + two.lastRequest(); !strings.Contains(got, "\r\nLast-Event-Id: "+id+"\r\n") {
			t.Errorf("no host got Last-Event-Id %s: %q", id, got)
		}
	}
}

// A stream that may not be resumed runs once, wherever it breaks off.
func TestStreamThatIsNotResumableRunsOnce(t *testing.T) {
	for name, first := range map[string]func(c *call) bool{
		"between two events": sends("one", events(1, 2), false),
		"before the first":   sends("one", "", false),
		"failure":            responds(500, "", "failed"),
	} {
		t.Run(name, func(t *testing.T) {
			script := runsInTurn(first, sends("two", events(1, 5), true))
			one, two := newHost(t, "i-1", script), newHost(t, "i-2", script)
			f := newFront(t, one, two)
			a := f.do("POST", "/chat/x", "t1", resumeHeader, "input")
			want(t, "complete success", a.err == nil && a.status == 200, false)
			want(t, "calls", one.calls.Load()+two.calls.Load(), 1)
		})
	}
}

// A client that goes while its stream is continued ends the continuation, and its slot is free.
func TestClientGoesDuringContinuation(t *testing.T) {
	began, gone := make(chan bool, 1), make(chan bool, 1)
	second := func(c *call) bool {
		began <- true
		_, err := c.in.ReadByte()
		gone <- err != nil
		return false
	}
	script := runsInTurn(sends("one", events(1, 2), false), second)
	f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script))
	k := f.dial()
	k.send(requestText("POST", "/draft/x", "t1", resumeHeader, "input"))
	wait(t, began, "continuation")
	k.Close()
	want(t, "the host's connection ends", wait(t, gone, "end of the call"), true)
	eventually(t, "settled", func() bool { return strings.HasSuffix(f.ledger.log(), "settle p1 t1 4") })
	eventually(t, "slots are free", func() bool { return f.inFlightCalls() == 0 })
}

// A front that is draining still continues the streams that it has taken.
func TestDrainDuringContinuation(t *testing.T) {
	began, goOn := make(chan bool, 1), make(chan bool)
	second := func(c *call) bool {
		began <- true
		<-goOn
		return sends("two", events(3, 5), true)(c)
	}
	script := runsInTurn(sends("one", events(1, 2), false), second)
	f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script))
	k := f.dial()
	k.send(requestText("POST", "/draft/x", "t1", resumeHeader, "input"))
	wait(t, began, "continuation")
	drained := make(chan bool, 1)
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
		defer stop()
		f.Drain(ctx)
		drained <- true
	}()
	eventually(t, "draining", f.draining)
	goOn <- true
	raw, err := io.ReadAll(k)
	if err != nil || !bytes.HasSuffix(raw, []byte(lastChunk)) || bytes.Count(raw, []byte("data:")) != 5 {
		t.Errorf("the client got %q, %v", raw, err)
	}
	wait(t, drained, "end of the drain")
}

// A host list without hosts while a stream is continued ends the connection, not the stream as complete.
func TestNoHostContinues(t *testing.T) {
	f := newFront(t)
	broke := make(chan bool, 1)
	h := newHost(t, "i-1", func(c *call) bool {
		c.raw(sealedStreamHead(c, "one") + chunk(events(1, 2)))
		<-broke
		return false
	})
	f.setHosts(h)
	f.awaitHosts()
	k := f.dial()
	k.send(requestText("POST", "/draft/x", "t1", resumeHeader, "input"))
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	readPiece(t, resp.Body, events(1, 2))
	f.setHosts()
	f.awaitHosts()
	broke <- true
	rest, err := io.ReadAll(resp.Body)
	if err == nil || len(rest) > 0 {
		t.Errorf("the stream ends with %q, %v", rest, err)
	}
}
