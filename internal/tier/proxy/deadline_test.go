package proxy

import (
	"context"
	"testing"
	"time"

	"larchrouter/internal/tier/routing"
)

// A silent host, or copies of a turn that do not come, hold a request up to its route's deadline, though its client would
// wait for longer.
func TestRouteDeadline(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for name, c := range map[string]struct {
		path   string
		script func(c *call) bool
		status int // 0 for a stream that must not look complete
	}{
		"silence, not to be repeated": {"/order/x", hangs, 504},
		"silence, repeatable":         {"/tool/x", hangs, 504},
		"silence, stream":             {"/stream/x", hangs, 504},
		"silence, turn":               {"/turn/x", hangs, 504},
		"silence amid a stream": {"/turn/x", func(c *call) bool {
			c.raw(streamHead(c) + chunk(event(1, "x")))
			return hangs(c)
		}, 0},
		"copies that do not come": {"/turn/x", func(c *call) bool { return streams(c, event(1, "x")) }, 0},
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

// hangs keeps a call until the proxy ends it.
func hangs(c *call) bool {
	_, _ = c.in.Peek(1)
	return false
}
