package upstream

import (
	"testing"
	"time"
)

// A connection serves a call up to its idle limit, and a call that prefers a new one up to half of it.
func TestIdleConnectionIsUsableByAge(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		limit      time.Duration
		advertised bool
		age        time.Duration
		usable     bool
		preferNew  bool // usable for a call that prefers a new connection
	}{
		{4 * time.Second, true, time.Second, true, true},
		{4 * time.Second, true, 2 * time.Second, true, false},
		{4 * time.Second, true, 4 * time.Second, false, false},
		{defaultIdleLimit, false, preferNewAfter - 1, true, true},
		{defaultIdleLimit, false, preferNewAfter, true, false},
		{defaultIdleLimit, false, defaultIdleLimit, false, false},
		{0, true, 0, false, false},
	} {
		h := NewHost("i", "127.0.0.1:1", 4)
		if h.HasIdle(false, now) {
			t.Fatal("a host without connections has an idle one")
		}
		h.idle = []*conn{{host: h, idleLimit: c.limit, idleLimitAdvertised: c.advertised, idleSince: now.Add(-c.age)}}
		if got := h.HasIdle(false, now); got != c.usable {
			t.Errorf("%+v: usable %v", c, got)
		}
		if got := h.HasIdle(true, now); got != c.preferNew {
			t.Errorf("%+v: usable for a call that prefers a new connection %v", c, got)
		}
	}
}
