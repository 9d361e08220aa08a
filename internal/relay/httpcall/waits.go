package httpcall

import (
	"sync/atomic"
	"time"
)

// Waits holds until when hosts that share it ask for no calls. It is set as soon as the header of a response
// has been read, so that it also stops a call that was decided before and then waited for its connection or for
// CPU. The zero value means that no host has asked. It is safe for concurrent use.
type Waits struct {
	until atomic.Int64 // nanoseconds since processStart
}

// processStart is the origin of the monotonic times in Waits.
var processStart = time.Now()

// Tell extends the wait to the given time from now. It never shortens it.
func (w *Waits) Tell(wait time.Duration) {
	for at := int64(time.Since(processStart) + wait); ; {
		old := w.until.Load()
		if old >= at || w.until.CompareAndSwap(old, at) {
			return
		}
	}
}

// Left returns the remaining wait; 0 for none.
func (w *Waits) Left() time.Duration {
	return max(0, time.Duration(w.until.Load())-time.Since(processStart))
}
