package proxy

import (
	"context"
	"testing"
	"time"

	"larchrouter/internal/tier/routing"
)

// A host that does not respond, or a ledger that does not confirm a turn, delays a request up to the deadline of its route,
// although its client would wait longer.
func TestRouteDeadline(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for name, c := range map[string]struct {
		path   string
		script func(c *call) bool
		status int // 0 for a stream that must not look complete
	}{
		"no response, non-idempotent": {"/order/x", hangs, 504},
		"no response, idempotent":     {"/tool/x", hangs, 504},
		"no response, stream":         {"/stream/x", hangs, 504},
		"no response, turn":           {"/turn/x", hangs, 504},
		"stall in a stream": {"/turn/x", func(c *call) bool {
			c.raw(streamHead(c) + chunk(event(1, "x")))
			return hangs(c)
		}, 0},
		"turn not confirmed": {"/turn/x", func(c *call) bool { return streams(c, event(1, "x")) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, newHost(t, "i-1", c.script))
			f.ledger.onClose = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
			withConfig(f, func(cfg *routing.Config) {
				cfg.Routes = append([]routing.Route(nil), cfg.Routes...)
				for i := range cfg.Routes {
					cfg.Routes[i].Deadline = deadline
				}
			})
			begin := time.Now()
			a := f.do("POST", c.path, "t1", "X-Time-Left-Ms: 60000\r\n", "x")
			took := time.Since(begin)
			if c.status != 0 {
				want(t, "status", a.status, c.status)
			} else if a.err == nil {
				t.Error("it looks complete")
			}
			if took < deadline/2 || took > testTimeout {
				t.Errorf("the answer came after %v, want %v", took, deadline)
			}
		})
	}
}

// hangs sends nothing until the proxy closes the connection.
func hangs(c *call) bool {
	_, _ = c.in.Peek(1)
	return false
}
