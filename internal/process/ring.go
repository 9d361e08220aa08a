package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	ringLines    = 256
	dumpInterval = 2 * time.Second // between two dumps that errors cause
)

// RingHandler is a slog.Handler that keeps the last 256 lines in memory and writes out few of them:
//
//   - Debug: the line is kept in the ring only.
//   - Info: the line is written out, alone. A start, a stop, a change of what is in force.
//   - Warn: as Info, marked trouble=1. Nothing is broken, an operator has to act.
//   - Error: marked trouble=1 and written out with all lines of the ring that were not written before; if such a dump
//     was made less than two seconds ago, alone.
//
// Lines are logfmt: t, the seconds since the handler was made; trouble=1 from Warn on; msg; the attributes. A line is
// written at most once. Write errors are dropped. A RingHandler is safe for concurrent use, and values are formatted
// without its mutex: a value may log while it is formatted.
type RingHandler struct {
	ring   *ring
	prefix string // of the names of later attributes: the open groups, each followed by a dot
	attrs  []any  // alternating names and values, from WithAttrs
}

// ring has the lines that all handlers derived from one share.
type ring struct {
	now   func() time.Time
	begin time.Time

	mu    sync.Mutex
	out   io.Writer
	lines [ringLines]line
	next  int       // number of lines recorded so far
	last  time.Time // of the last dump
}

type line struct {
	text    []byte
	written bool // no dump writes it again
}

// NewRingHandler returns a handler with an empty ring that writes to w.
func NewRingHandler(w io.Writer) *RingHandler {
	return &RingHandler{ring: &ring{out: w, now: time.Now, begin: time.Now()}}
}

// NewLogger returns a logger with a RingHandler of its own that writes to w.
func NewLogger(w io.Writer) *slog.Logger { return slog.New(NewRingHandler(w)) }

// Enabled implements slog.Handler: everything from Debug on is at least kept.
func (h *RingHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelDebug
}

// Handle implements slog.Handler. It returns nil always.
func (h *RingHandler) Handle(_ context.Context, record slog.Record) error {
	text := h.format(record)
	r := h.ring
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(text)
	switch {
	case record.Level < slog.LevelInfo:
	case record.Level < slog.LevelError, !r.last.IsZero() && r.now().Sub(r.last) < dumpInterval:
		r.write(r.next - 1)
	default:
		r.dump()
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (h *RingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	keyvals := slices.Clip(h.attrs)
	for _, a := range attrs {
		keyvals = appendAttr(keyvals, h.prefix, a)
	}
	return &RingHandler{ring: h.ring, prefix: h.prefix, attrs: keyvals}
}

// WithGroup implements slog.Handler: later attributes are named GROUP.NAME.
func (h *RingHandler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	return &RingHandler{ring: h.ring, prefix: h.prefix + name + ".", attrs: h.attrs}
}

// Dump writes out all lines of the ring that were not written yet.
func (h *RingHandler) Dump() {
	h.ring.mu.Lock()
	defer h.ring.mu.Unlock()
	h.ring.dump()
}

// DumpOn has each arrival of a signal call Dump, until the returned function is called.
func (h *RingHandler) DumpOn(s os.Signal) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, s)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				h.Dump()
			case <-done:
				return
			}
		}
	}()
	return func() { signal.Stop(signals); close(done) }
}

// format returns the line of a record, with its newline.
func (h *RingHandler) format(record slog.Record) []byte {
	keyvals := make([]any, 0, 4+len(h.attrs)+2*record.NumAttrs())
	if record.Level >= slog.LevelWarn {
		keyvals = append(keyvals, "trouble", 1)
	}
	if record.Message != "" {
		keyvals = append(keyvals, slog.MessageKey, record.Message)
	}
	keyvals = append(keyvals, h.attrs...)
	record.Attrs(func(a slog.Attr) bool {
		keyvals = appendAttr(keyvals, h.prefix, a)
		return true
	})
	var b lineBuffer
	fmt.Fprintf(&b, "t=%.3f ", h.ring.now().Sub(h.ring.begin).Seconds())
	stamp := len(b)
	if err := logfmt.NewEncoder(&b).EncodeKeyvals(keyvals...); err != nil {
		b = b[:stamp]
		fmt.Fprintf(&b, "unreadable=%q remedy=\"log names that are not empty\"", fmt.Sprint(keyvals...))
	}
	return append(b, '\n')
}

// appendAttr appends an attribute as name and value, a group as those of its members.
func appendAttr(keyvals []any, prefix string, a slog.Attr) []any {
	if a.Equal(slog.Attr{}) {
		return keyvals
	}
	value := a.Value.Resolve()
	if value.Kind() != slog.KindGroup {
		return append(keyvals, prefix+a.Key, value.Any())
	}
	if a.Key != "" {
		prefix += a.Key + "."
	}
	for _, member := range value.Group() {
		keyvals = appendAttr(keyvals, prefix, member)
	}
	return keyvals
}

// add appends a line and drops the oldest one of a full ring. The caller holds the mutex.
func (r *ring) add(text []byte) {
	r.lines[r.next%ringLines] = line{text: text}
	r.next++
}

// write writes out the line with a number unless that was done before. The caller holds the mutex.
func (r *ring) write(number int) {
	l := &r.lines[number%ringLines]
	if !l.written {
		l.written = true
		_, _ = r.out.Write(l.text)
	}
}

// dump writes out all lines that were not written yet. The caller holds the mutex.
func (r *ring) dump() {
	r.last = r.now()
	for number := max(0, r.next-ringLines); number < r.next; number++ {
		r.write(number)
	}
}

type lineBuffer []byte

func (b *lineBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}
