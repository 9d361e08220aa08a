package adminapi

import (
	"context"
	"log/slog"
	"strings"
	"sync"
)

const (
	maxLines     = 200
	maxLineBytes = 500 // limit of a line
)

// Tail is a slog.Handler that retains the last lines and passes each on to another handler. It is safe for concurrent use.
type Tail struct {
	next   slog.Handler
	attrs  string // of WithAttrs, as text
	group  string
	buffer *lineBuffer
}

// lineBuffer has the last lines, which all handlers derived from one Tail share.
type lineBuffer struct {
	sync.Mutex
	lines []LogLine
	n     uint64
}

// NewTail returns a Tail that passes lines on to next.
func NewTail(next slog.Handler) *Tail { return &Tail{next: next, buffer: &lineBuffer{}} }

// Enabled implements slog.Handler.
func (t *Tail) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelInfo || t.next.Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (t *Tail) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelInfo {
		var b strings.Builder
		b.WriteString(r.Message)
		b.WriteString(t.attrs)
		r.Attrs(func(a slog.Attr) bool { writeAttr(&b, t.group, a); return true })
		t.buffer.add(LogLine{AtMs: r.Time.UnixMilli(), Level: r.Level.String(), Text: sanitize(b.String())})
	}
	if !t.next.Enabled(ctx, r.Level) {
		return nil
	}
	return t.next.Handle(ctx, r)
}

// writeAttr writes an attribute as text.
func writeAttr(b *strings.Builder, group string, a slog.Attr) {
	b.WriteString(" " + group + a.Key + "=" + a.Value.String())
}

// sanitize replaces control characters, which a terminal would interpret, and limits the length of a line.
func sanitize(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return ' '
		}
		return r
	}, s)
	if len(s) > maxLineBytes {
		s = strings.ToValidUTF8(s[:maxLineBytes], "") + "..."
	}
	return s
}

// WithAttrs implements slog.Handler.
func (t *Tail) WithAttrs(attrs []slog.Attr) slog.Handler {
	var b strings.Builder
	for _, a := range attrs {
		writeAttr(&b, t.group, a)
	}
	return &Tail{t.next.WithAttrs(attrs), t.attrs + b.String(), t.group, t.buffer}
}

// WithGroup implements slog.Handler.
func (t *Tail) WithGroup(name string) slog.Handler {
	return &Tail{t.next.WithGroup(name), t.attrs, t.group + name + ".", t.buffer}
}

// add appends a line and drops the oldest one if the buffer is full.
func (m *lineBuffer) add(l LogLine) {
	m.Lock()
	defer m.Unlock()
	m.n++
	l.N = m.n
	if len(m.lines) == maxLines {
		copy(m.lines, m.lines[1:])
		m.lines = m.lines[:maxLines-1]
	}
	m.lines = append(m.lines, l)
}

// After returns the retained lines after the one with number n. A nil Tail has none.
func (t *Tail) After(n uint64) []LogLine {
	all := []LogLine{}
	if t == nil {
		return all
	}
	t.buffer.Lock()
	defer t.buffer.Unlock()
	for _, l := range t.buffer.lines {
		if l.N > n {
			all = append(all, l)
		}
	}
	return all
}
