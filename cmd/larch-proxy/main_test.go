package main

import (
	"testing"
	"time"

	"larchrouter/internal/process"
)

func TestRevocationBound(t *testing.T) {
	for name, c := range map[string]struct {
		bounds process.TimingBounds
		want   time.Duration
	}{
		"no bounds":                        {nil, 0},
		"revocation absent":                {process.TimingBounds{"revoke_max_ms": 5000}, 0},
		"revocation false":                 {process.TimingBounds{"revocation": 0, "revoke_max_ms": 5000}, 0},
		"revocation true":                  {process.TimingBounds{"revocation": 1, "revoke_max_ms": 5000}, 5 * time.Second},
		"revocation true, part of a ms":    {process.TimingBounds{"revocation": 1, "revoke_max_ms": 1500.5}, 1500500 * time.Microsecond},
		"revocation true, no time":         {process.TimingBounds{"revocation": 1}, 0},
		"revocation true, time below zero": {process.TimingBounds{"revocation": 1, "revoke_max_ms": -1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := revocationBound(&process.Settings{Bounds: c.bounds}); got != c.want {
				t.Errorf("bound %v, want %v", got, c.want)
			}
		})
	}
}
