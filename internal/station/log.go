package station

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Ring is a log that is kept in memory and written out when something goes wrong, and little else. It is safe for
// concurrent use.
type Ring struct {
	mu    sync.Mutex
	lines [ringLines][]byte
	next  int
	out   io.Writer
	begin time.Time
	last  time.Time // of the last dump
}

const (
	ringLines = 256
	dumpEvery = 2 * time.Second // trouble that repeats is told of once
)

// NewRing makes a ring that is written out to w.
func NewRing(w io.Writer) *Ring { return &Ring{out: w, begin: time.Now()} }

// Log implements go-kit's log.Logger: the record stays in memory.
func (r *Ring) Log(keyvals ...any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b lineBuffer
	fmt.Fprintf(&b, "t=%.3f ", time.Since(r.begin).Seconds())
	if err := log.NewLogfmtLogger(&b).Log(keyvals...); err != nil {
		return err
	}
	r.lines[r.next%ringLines] = b
	r.next++
	return nil
}

// Trouble records and writes out one line, with the ring behind it if that was not done of late.
func (r *Ring) Trouble(keyvals ...any) {
	_ = r.Log(append([]any{"trouble", 1}, keyvals...)...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.last) < dumpEvery {
		_, _ = r.out.Write(r.lines[(r.next-1)%ringLines])
		return
	}
	r.dump()
}

// Say records one line and writes it out alone: a start, a stop, a change of what is in force.
func (r *Ring) Say(keyvals ...any) {
	_ = r.Log(keyvals...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(r.lines[(r.next-1)%ringLines])
}

// Dump writes out all that the ring holds.
func (r *Ring) Dump() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dump()
}

func (r *Ring) dump() {
	r.last = time.Now()
	for i := max(0, r.next-ringLines); i < r.next; i++ {
		if line := r.lines[i%ringLines]; line != nil {
			_, _ = r.out.Write(line)
			r.lines[i%ringLines] = nil
		}
	}
}

type lineBuffer []byte

func (b *lineBuffer) Write(p []byte) (int, error) { *b = append(*b, p...); return len(p), nil }

// Stderr is the ring of a program.
func Stderr() *Ring { return NewRing(os.Stderr) }
