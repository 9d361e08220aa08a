package process

import (
	"bytes"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// written is what a ring wrote, without times, by line.
func written(b *bytes.Buffer) []string {
	text := regexp.MustCompile(`(?m)^t=\d+\.\d{3} `).ReplaceAllString(b.String(), "")
	b.Reset()
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func sameLines(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("%s: wrote %d lines\n%s\nwant %d\n%s", what, len(got), strings.Join(got, "\n"), len(want), strings.Join(want, "\n"))
	}
}

func TestRingKeepsTheLast(t *testing.T) {
	var out bytes.Buffer
	handler := NewRingHandler(&out)
	log := slog.New(handler)
	for i := range 1000 {
		log.Debug("", "event", i, "text", "two words")
	}
	if out.Len() > 0 {
		t.Fatalf("written without need: %s", out.String())
	}
	handler.Dump()
	var want []string
	for i := 1000 - 256; i < 1000; i++ {
		want = append(want, fmt.Sprintf(`event=%d text="two words"`, i))
	}
	sameLines(t, "dump", written(&out), want...)
	handler.Dump()
	sameLines(t, "dump once more", written(&out), "")
	log.Debug("", "event", "after")
	handler.Dump()
	sameLines(t, "dump of what came since", written(&out), "event=after")
}

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

func TestTroubleThatRepeats(t *testing.T) {
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
		{dumpEvery - 1, "error d", []string{"trouble=1 event=d"}},
		{dumpEvery - 1, "info e", []string{"event=e"}},
		{dumpEvery - 1, "debug f", nil},
		{dumpEvery, "warn w", []string{"trouble=1 event=w"}},
		{dumpEvery, "error g", []string{"event=c", "event=f", "trouble=1 event=g"}},
		{dumpEvery + 1, "error h", []string{"trouble=1 event=h"}},
	} {
		now = begin.Add(step.at)
		level, event, _ := strings.Cut(step.do, " ")
		log.Log(t.Context(), levels[level], "", "event", event)
		if step.want == nil {
			step.want = []string{""}
		}
		sameLines(t, step.do, written(&out), step.want...)
	}
}

func TestLineBearsTheTime(t *testing.T) {
	var out bytes.Buffer
	handler := NewRingHandler(&out)
	handler.ring.now = func() time.Time { return handler.ring.begin.Add(1234567 * time.Microsecond) }
	slog.New(handler).Info("", "event", "start")
	if out.String() != "t=1.235 event=start\n" {
		t.Fatalf("%q", out.String())
	}
}

func TestNamesThatCannotBeWritten(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out)
	log.Info("", slog.Any("", "value"))
	log.Error("", "", 7)
	if got := written(&out); len(got) != 2 || !strings.Contains(got[0], "value") || !strings.Contains(got[1], "7") {
		t.Fatalf("%q", got)
	}
}

type talker struct{ log *slog.Logger }

func (v talker) String() string {
	v.log.Debug("", "event", "inner")
	return "outer"
}

func TestAValueThatLogs(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out)
	log.Error("", "event", talker{log})
	sameLines(t, "error", written(&out), "event=inner", "trouble=1 event=outer")
}

func TestRingFromManyGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	log := NewLogger(&out)
	var all sync.WaitGroup
	for g := range 8 {
		all.Go(func() {
			for i := range 20 {
				log.Debug("", "kind", "debug", "g", g, "i", i)
				log.Info("", "kind", "info", "g", g, "i", i)
				log.Error("", "kind", "error", "g", g, "i", i)
			}
		})
	}
	all.Wait()
	seen := map[string]int{}
	for _, l := range written(&out) {
		seen[l]++
	}
	for g := range 8 {
		for i := range 20 {
			for _, l := range []string{fmt.Sprintf("kind=info g=%d i=%d", g, i), fmt.Sprintf("trouble=1 kind=error g=%d i=%d", g, i)} {
				if seen[l] != 1 {
					t.Errorf("%q was written %d times", l, seen[l])
				}
			}
			if l := fmt.Sprintf("kind=debug g=%d i=%d", g, i); seen[l] > 1 {
				t.Errorf("%q was written %d times", l, seen[l])
			}
		}
	}
}
