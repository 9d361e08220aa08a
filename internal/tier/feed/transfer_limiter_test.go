package feed

import (
	"fmt"
	"testing"
)

func TestTransferLimiterBoundsActiveTransfers(t *testing.T) {
	var limiter TransferLimiter
	for i := range maxTransfers {
		if !limiter.Admit(fmt.Sprint("f", i), 0) {
			t.Fatalf("transfer %d was not admitted", i)
		}
	}
	if limiter.Admit("another", transferIdleTimeout-1) {
		t.Error("one transfer too many was admitted")
	}
	if !limiter.Admit("f3", transferIdleTimeout-1) {
		t.Error("a transfer in progress was rejected")
	}
	if !limiter.Admit("another", transferIdleTimeout) {
		t.Error("none was admitted after the others timed out")
	}
	if !limiter.Admit("f3", transferIdleTimeout) || len(limiter.lastChunkAt) != 2 {
		t.Errorf("%d transfers, want 2", len(limiter.lastChunkAt))
	}
	if limiter.Release("f3"); len(limiter.lastChunkAt) != 1 {
		t.Errorf("%d transfers after the release of one, want 1", len(limiter.lastChunkAt))
	}
}
