package httpcall

import (
	"sync/atomic"
	"time"
)

// Waits is what the hosts that share it have been told to wait. It is known from the instant at which an answer's
// head was read: a call that was decided before, and then waited for its connection or for the processor, must
// not go out within it. The zero value is of hosts that were told nothing.
type Waits struct{ until atomic.Int64 } // since began

var processStart = time.Now()

// Tell lengthens the wait to so long from now.
func (w *Waits) Tell(wait time.Duration) {
	for at := int64(time.Since(processStart) + wait); ; {
		old := w.until.Load()
		if old >= at || w.until.CompareAndSwap(old, at) {
			return
		}
	}
}

// Left is what is left of it; 0 for none.
func (w *Waits) Left() time.Duration {
	return max(0, time.Duration(w.until.Load())-time.Since(processStart))
}
