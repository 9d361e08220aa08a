package adminapi

import (
	"context"
	"log/slog"
	"strings"
	"sync"
)

const (
	tailLines = 200
	tailText  = 500 // bytes of a line
)

// Tail is a slog.Handler that remembers the last lines, and hands each on to another handler.
type Tail struct {
	next  slog.Handler
	attrs string // of With, as text
	group string
	mem   *memory
}

type memory struct {
	sync.Mutex
	lines []LogLine
	n     uint64
}

// NewTail returns one that hands on to next.
func NewTail(next slog.Handler) *Tail { return &Tail{next: next, mem: &memory{}} }

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
		t.mem.add(LogLine{AtMs: r.Time.UnixMilli(), Level: r.Level.String(), Text: clean(b.String())})
	}
	if !t.next.Enabled(ctx, r.Level) {
		return nil
	}
	return t.next.Handle(ctx, r)
}

func writeAttr(b *strings.Builder, group string, a slog.Attr) {
	b.WriteString(" " + group + a.Key + "=" + a.Value.String())
}

// clean keeps what a line says from doing anything to a terminal.
func clean(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return ' '
		}
		return r
	}, s)
	if len(s) > tailText {
		s = strings.ToValidUTF8(s[:tailText], "") + "..."
	}
	return s
}

// WithAttrs implements slog.Handler.
func (t *Tail) WithAttrs(attrs []slog.Attr) slog.Handler {
	var b strings.Builder
	for _, a := range attrs {
		writeAttr(&b, t.group, a)
	}
	return &Tail{t.next.WithAttrs(attrs), t.attrs + b.String(), t.group, t.mem}
}

// WithGroup implements slog.Handler.
func (t *Tail) WithGroup(name string) slog.Handler {
	return &Tail{t.next.WithGroup(name), t.attrs, t.group + name + ".", t.mem}
}

func (m *memory) add(l LogLine) {
	m.Lock()
	defer m.Unlock()
	m.n++
	l.N = m.n
	if len(m.lines) == tailLines {
		copy(m.lines, m.lines[1:])
		m.lines = m.lines[:tailLines-1]
	}
	m.lines = append(m.lines, l)
}

// After returns the lines that are remembered after one with a number.
func (t *Tail) After(n uint64) []LogLine {
	all := []LogLine{}
	if t == nil {
		return all
	}
	t.mem.Lock()
	defer t.mem.Unlock()
	for _, l := range t.mem.lines {
		if l.N > n {
			all = append(all, l)
		}
	}
	return all
}
