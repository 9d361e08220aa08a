package tiertest

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Log collects the output of a machine's processes, line by line, over all incarnations. It is safe for concurrent use;
// its zero value is ready.
type Log struct {
	mu      sync.Mutex
	lines   []string
	partial []byte        // of a line without its end
	changed chan struct{} // closed by the next Write; nil if nobody waits
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, p...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			break
		}
		l.lines = append(l.lines, string(l.partial[:i]))
		l.partial = l.partial[i+1:]
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	return len(p), nil
}

// String returns the output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(append(l.lines[:len(l.lines):len(l.lines)], string(l.partial)), "\n")
}

// Len returns the number of complete lines, from which Await can wait for later ones.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines)
}

// Await waits for a line, from an index on, that contains all parts, and returns the first one.
func (l *Log) Await(ctx context.Context, from int, parts ...string) (string, error) {
	for {
		l.mu.Lock()
		for ; from < len(l.lines); from++ {
			if containsAll(l.lines[from], parts) {
				line := l.lines[from]
				l.mu.Unlock()
				return line, nil
			}
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return "", errors.Wrapf(ctx.Err(), "no line with %q", parts)
		}
	}
}

func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}
