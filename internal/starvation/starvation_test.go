package starvation

import (
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestParse(t *testing.T) {
	if waited, err := parse("735671 3077922 6\n"); waited != 3077922 || err != nil {
		t.Errorf("%v, %v", waited, err)
	}
	for _, text := range []string{"", "1 2", "1 2 3 4", "1 x 3"} {
		if _, err := parse(text); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}

// A thread that began since counts from nothing, one that has ended not at all.
func TestLongest(t *testing.T) {
	before := Account{"a": 5 * time.Second, "b": time.Second, "ended": 0}
	after := Account{"a": 5*time.Second + 20*time.Millisecond, "b": time.Second + 30*time.Millisecond, "begun": 10 * time.Millisecond}
	if got := after.Longest(before); got != 30*time.Millisecond {
		t.Error(got)
	}
}

// Each thread of this process has an account, where the kernel keeps any.
func TestThreadsOfThisProcessHaveAccounts(t *testing.T) {
	_, err := os.Stat("/proc/self/schedstat")
	all := Read(os.Getpid())
	if kept := err == nil; (len(all) > 0) != kept {
		t.Errorf("%d accounts, kept by the kernel: %v", len(all), kept)
	}
	for path, waited := range all {
		if waited < 0 {
			t.Errorf("%s: %v", path, waited)
		}
	}
}

// A watch counts the time waited between its samples, the last one taken by Stop, and not the time before.
func TestWatch(t *testing.T) {
	samples := 0
	w := Start(func() []int { samples++; return []int{os.Getpid()} })
	if got := w.Stop(); got < 0 || got > time.Minute {
		t.Errorf("waited %v", got)
	}
	if samples != 2 {
		t.Errorf("%d samples, want one at the start and one at the stop", samples)
	}
}
