package process

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// takeLines empties a buffer and returns the lines that a handler wrote to it, without their times.
func takeLines(b *bytes.Buffer) []string {
	text := regexp.MustCompile(`(?m)^t=\d+\.\d{3} `).ReplaceAllString(b.String(), "")
	b.Reset()
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// wantLines fails the test unless a step wrote these lines.
func wantLines(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("%s: wrote %d lines\n%s\nwant %d\n%s", what, len(got), strings.Join(got, "\n"), len(want), strings.Join(want, "\n"))
	}
}

func TestRingKeepsLastLines(t *testing.T) {
	var out bytes.Buffer
	handler := NewRingHandler(&out)
	log := slog.New(handler)
	for i := range 1000 {
		log.Debug("", "event", i, "text", "two words")
	}
	if out.Len() > 0 {
		t.Fatalf("debug lines were written: %s", out.String())
	}
	handler.Dump()
	var want []string
	for i := 1000 - 256; i < 1000; i++ {
		want = append(want, fmt.Sprintf(`event=%d text="two words"`, i))
	}
	wantLines(t, "dump", takeLines(&out), want...)
	handler.Dump()
	wantLines(t, "second dump", takeLines(&out), "")
	log.Debug("", "event", "after")
	handler.Dump()
	wantLines(t, "dump after one more line", takeLines(&out), "event=after")
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

func TestRepeatedErrorsDoNotDumpAgain(t *testing.T) {
	var out bytes.Buffer
	handler := NewRingHandler(&out)
	log := slog.New(handler)
	begin := time.Unix(100, 0)
	now := begin
	handler.ring.now = func() time.Time { return now }
	handler.ring.begin = begin
	for _, step := range []struct {
		at   time.Duration
		do   string
		want []string
	}{
		{0, "debug a", nil},
		{0, "error b", []string{"event=a", "trouble=1 event=b"}},
		{0, "debug c", nil},
		{dumpInterval - 1, "error d", []string{"trouble=1 event=d"}},
		{dumpInterval - 1, "info e", []string{"event=e"}},
		{dumpInterval - 1, "debug f", nil},
		{dumpInterval, "warn w", []string{"trouble=1 event=w"}},
		{dumpInterval, "error g", []string{"event=c", "event=f", "trouble=1 event=g"}},
		{dumpInterval + 1, "error h", []string{"trouble=1 event=h"}},
	} {
		now = begin.Add(step.at)
		level, event, _ := strings.Cut(step.do, " ")
		log.Log(t.Context(), levels[level], "", "event", event)
		if step.want == nil {
			step.want = []string{""}
		}
		wantLines(t, step.do, takeLines(&out), step.want...)
	}
}

func TestLineBeginsWithElapsedSeconds(t *testing.T) {
	var out bytes.Buffer
	handler := NewRingHandler(&out)
	handler.ring.now = func() time.Time { return handler.ring.begin.Add(1234567 * time.Microsecond) }
	slog.New(handler).Info("", "event", "start")
	if out.String() != "t=1.235 event=start\n" {
		t.Fatalf("%q", out.String())
	}
}

func TestInvalidAttributeNames(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out)
	log.Info("", slog.Any("", "value"))
	log.Error("", "", 7)
	if got := takeLines(&out); len(got) != 2 || !strings.Contains(got[0], "value") || !strings.Contains(got[1], "7") {
		t.Fatalf("%q", got)
	}
}

// loggingValue logs while it is formatted.
type loggingValue struct{ log *slog.Logger }

func (v loggingValue) String() string {
	v.log.Debug("", "event", "inner")
	return "outer"
}

func TestValueLogsWhileFormatted(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out)
	log.Error("", "event", loggingValue{log})
	wantLines(t, "error", takeLines(&out), "event=inner", "trouble=1 event=outer")
}

func TestConcurrentLogging(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	log := NewLogger(&out)
	var all sync.WaitGroup
	for worker := range 8 {
		all.Go(func() {
			for i := range 20 {
				log.Debug("", "kind", "debug", "worker", worker, "i", i)
				log.Info("", "kind", "info", "worker", worker, "i", i)
				log.Error("", "kind", "error", "worker", worker, "i", i)
			}
		})
	}
	all.Wait()
	seen := map[string]int{}
	for _, line := range takeLines(&out) {
		seen[line]++
	}
	for worker := range 8 {
		for i := range 20 {
			from := fmt.Sprintf("worker=%d i=%d", worker, i)
			for _, line := range []string{"kind=info " + from, "trouble=1 kind=error " + from} {
				if seen[line] != 1 {
					t.Errorf("%q was written %d times", line, seen[line])
				}
			}
			if line := "kind=debug " + from; seen[line] > 1 {
				t.Errorf("%q was written %d times", line, seen[line])
			}
		}
	}
}

// notifyingWriter passes on what is written.
type notifyingWriter chan string

func (w notifyingWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

func TestDumpOnSignal(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	lines := make(notifyingWriter, 1)
	handler := NewRingHandler(lines)
	stop := handler.DumpOn(syscall.SIGUSR2)
	defer stop()
	slog.New(handler).Debug("kept")
	if err := syscall.Kill(os.Getpid(), syscall.SIGUSR2); err != nil {
		t.Fatal(err)
	}
	select {
	case line := <-lines:
		if !strings.HasSuffix(line, " msg=kept\n") {
			t.Errorf("wrote %q", line)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was written")
	}
}
