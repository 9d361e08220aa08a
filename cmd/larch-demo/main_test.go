package main

import (
	"bytes"
	"context"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/tier/tiertest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// output records the output of the demo, and calls onLine with each line if that is not nil.
type output struct {
	mu     sync.Mutex
	text   bytes.Buffer
	onLine func(line string)
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.onLine != nil {
		o.onLine(string(b))
	}
	return o.text.Write(b)
}

// disksDir makes the folder of a tier's disks, in memory where the system has that: what other programs write and sync on
// this machine must not affect the demo.
func disksDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "larch-demo")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

func TestDemoRunsToItsEndAndUntilCanceled(t *testing.T) {
	programs, err := tiertest.BuildPrograms(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Run("to the end", func(t *testing.T) {
		var out output
		if err := runDemo(t.Context(), &out, programs, disksDir(t), 6*time.Second); err != nil {
			t.Fatalf("%v\n%s", err, out.text.String())
		}
		text := out.text.String()
		for _, want := range []string{
			`core-3 +127\.`, `front-2 +127\.`, `larch-control status --at 127\.`,
			`turn alder-1 +begins +front-\d > i-draft-\d +20 tokens in \d+ ms`,
			`turn alder-4 +after alder-1 `,
			`tool +/write/ +front-\d > i-look-\d`,
			`store-2 is killed`, `store-2 comes back`, `core-\d, the head of the core, is killed`, `version 2 is in force, the chain is core-\d > core-\d; core-\d comes back`,
			`> i-review-\d`, `402: the budget is spent`,
			`programs have ended`, `every rule was kept`,
		} {
			if !regexp.MustCompile(want).MatchString(text) {
				t.Errorf("%s is not in the output:\n%s", want, text)
			}
		}
	})
	t.Run("canceled", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		out := output{onLine: func(line string) {
			if strings.Contains(line, "store-2 is killed") {
				stop()
			}
		}}
		if err := runDemo(ctx, &out, programs, disksDir(t), 3*time.Second); err != nil {
			t.Fatalf("%v\n%s", err, out.text.String())
		}
		if text := out.text.String(); !strings.Contains(text, "every rule was kept") || strings.Contains(text, "store-2 comes back") {
			t.Errorf("it does not end when canceled:\n%s", text)
		}
	})
}
