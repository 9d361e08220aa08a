package proxy

import (
	"context"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// A turn is sent again while the end of its first try waits for copies: the tries are turns of their own, with their own
// bytes, and neither ends the other.
func TestTurnAgainWhileItsFirstTryIsEnding(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { return streams(c, event(1, c.id())) })
	f := newFront(t, h)
	f.ledger.history = map[string]string{"t0": "history;"}
	ending, kept := make(chan bool, 1), make(chan error)
	var hold = true
	f.ledger.closing = func(context.Context) error {
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
	first.send(request1("POST", "/turn/x", "t1", turnHeader, "input"))
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
	want(t, "notes", f.ledger.told(), "open p1 t1<-t0 10/100; close t1 2; open p1 t1again<-t0 10/100; close t1again 2")
	for i, id := range []string{"t1", "t1again"} {
		want(t, "kept", f.ledger.kept[i].ID+string(f.ledger.kept[i].Output), id+id+"\n")
	}
}

// A new configuration that drops a route, or moves it to another service, cuts nothing that is under way.
func TestConfigurationCutsNothing(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool {
		if strings.HasPrefix(c.req.URL.Path, "/stream/") {
			c.raw(streamHead(c) + chunk(event(1, "x")))
			<-release
			c.raw(chunk(event(2, "y")) + lastChunk)
			return true
		}
		<-release
		c.answer(200, "", c.id())
		return true
	})
	f := newFront(t, h)
	var under []*conn
	for _, path := range []string{"/order/x", "/tool/x", "/stream/x"} {
		c := f.dial()
		c.send(request1("POST", path, "a", timeLeft, "x"))
		under = append(under, c)
	}
	eventually(t, "calls", func() bool { return h.calls.Load() == 3 })
	for _, change := range []func(c *routing.Config){
		func(c *routing.Config) {
			c.Limits.HeaderTimeout, c.Limits.IdleTimeout, c.Limits.MaxBody = time.Millisecond, time.Millisecond, 1
			c.Version++
		},
	} {
		withConfig(f, change)
	}
	empty, err := routing.Parse([]byte(`{"config_version":9,"route_table":[],"service_table":[],"limits":{"max_header_bytes":6000,"max_body_bytes":100000,"header_timeout_ms":1,"idle_timeout_ms":1}}`))
	if err != nil {
		t.Fatal(err)
	}
	f.source.set(func(tb *feed.Tables) { tb.Config = empty })
	want(t, "status of a route that was dropped", f.do("POST", "/order/x", "b", timeLeft, "x").status, 404)
	close(release)
	for _, c := range under {
		a := c.read()
		want(t, "status of one under way", a.status, 200)
		want(t, "its error", a.err, nil)
	}
}
