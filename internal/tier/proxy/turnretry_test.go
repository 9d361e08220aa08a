package proxy

import (
	"context"
	"testing"
)

// A turn is retried by its client while the first attempt waits for its record: the attempts are turns of their own, with their
// own bytes, and neither ends the other.
func TestTurnRetryDuringClose(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { return streams(c, event(1, c.id())) })
	f := newFront(t, h)
	f.ledger.history = map[string]string{"t0": "history;"}
	ending, kept := make(chan bool, 1), make(chan error)
	var hold = true
	f.ledger.onClose = func(context.Context) error {
		if f.ledger.mu.Lock(); !hold {
			f.ledger.mu.Unlock()
			return nil
		}
		hold = false
		f.ledger.mu.Unlock()
		ending <- true
		return <-kept
	}
	first := f.dial()
	first.send(requestText("POST", "/turn/x", "t1", turnHeader, "input"))
	wait(t, ending, "end of the first try")
	a := f.do("POST", "/turn/x", "t1again", turnHeader, "input")
	want(t, "body of the second", a.body, event(1, "t1again"))
	want(t, "error of the second", a.err, nil)
	want(t, "status of the second", a.status, 200)
	kept <- nil
	b := first.read()
	want(t, "body of the first", b.body, event(1, "t1"))
	want(t, "error of the first", b.err, nil)
	want(t, "id of the first", b.header.Get("X-Attempt-Id"), "t1")
	want(t, "notes", f.ledger.log(), "open p1 t1<-t0 10/100; close t1 2; open p1 t1again<-t0 10/100; close t1again 2")
	for i, id := range []string{"t1", "t1again"} {
		want(t, "kept", f.ledger.recorded[i].ID+string(f.ledger.recorded[i].Output), id+id+"\n")
	}
}
