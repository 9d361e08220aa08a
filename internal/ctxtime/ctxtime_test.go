package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, test := range map[string]struct {
			ends, sleeps, want time.Duration
			ok                 bool
		}{
			"whole":                  {time.Minute, time.Second, time.Second, true},
			"the context ends":       {time.Second, time.Minute, time.Second, false},
			"the context is over":    {0, time.Minute, 0, false},
			"nothing to wait for":    {time.Second, 0, 0, true},
			"less than no time left": {time.Second, -time.Second, 0, true},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), test.ends)
			began := time.Now()
			if ok := Sleep(ctx, test.sleeps); ok != test.ok || time.Since(began) != test.want {
				t.Errorf("%s: %v after %v", name, ok, time.Since(began))
			}
			cancel()
		}
	})
}
