package tiertest

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// earlySignalDelays are the times between the moment at which a process handles a signal in any way and the signal.
var earlySignalDelays = []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond,
	8 * time.Millisecond, 16 * time.Millisecond, 30 * time.Millisecond}

// startsForEachDelay is how many processes get a signal after each delay.
const startsForEachDelay = 1

// maskOf returns a mask of signals of a process, 0 if the process is gone.
func maskOf(pid int, name string) uint64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, name); ok {
			mask, _ := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
			return mask
		}
	}
	return 0
}

// handles reports whether a process has set the disposition of a signal: /proc/PID/status has masks of caught and ignored signals.
func handles(pid int, signal syscall.Signal) bool {
	return slices.ContainsFunc([]string{"SigCgt:", "SigIgn:"}, func(mask string) bool {
		return maskOf(pid, mask)&(1<<(uint(signal)-1)) != 0
	})
}

// awaitHandler waits until the last process of a machine has set the disposition of a signal.
func awaitHandler(m *Machine, signal syscall.Signal) {
	for m.Running() && !handles(m.ProcessID(), signal) {
	}
}

// signalEarly starts a machine and sends its process a signal as soon as that has set its disposition, and a delay later.
func signalEarly(t *testing.T, m *Machine, signal syscall.Signal, delay time.Duration) *childProcess {
	t.Helper()
	must(t, m.Start())
	process := m.process
	awaitHandler(m, signal)
	time.Sleep(delay)
	process.endRequested.Store(signal == syscall.SIGTERM)
	must(t, m.Signal(signal))
	return process
}

// forEachEarlySignal calls a function for a machine of each class and each delay, with a tier that serves without these machines.
func forEachEarlySignal(t *testing.T, play func(tt *testTier, m *Machine, delay time.Duration)) {
	t.Helper()
	tt := newTestTier(t, 3, 3, 2)
	for _, m := range []*Machine{tt.Class(Core)[1], tt.Class(Store)[1], tt.Class(Front)[1]} {
		tt.terminate(m)
		for _, delay := range earlySignalDelays {
			for range startsForEachDelay {
				play(tt, m, delay)
			}
		}
		must(t, m.Start())
		must(t, tt.awaitServing(m))
	}
	tt.checkNoUnexpectedExit()
}

// SIGHUP soon after a start, as for new settings, ended the process by the signal.
func TestEarlySIGHUPDoesNotEndProcess(t *testing.T) {
	forEachEarlySignal(t, func(tt *testTier, m *Machine, delay time.Duration) {
		signalEarly(t, m, syscall.SIGHUP, delay)
		time.Sleep(earlySignalDelays[len(earlySignalDelays)-1])
		if ends := m.UnexpectedExits(); len(ends) > 0 {
			t.Fatalf("after SIGHUP %v after its first instructions: %v", delay, ends)
		}
		m.Kill()
	})
}

// SIGTERM soon after a start ended the process by the signal, instead of with code 0.
func TestEarlySIGTERMEndsProcessWithCode0(t *testing.T) {
	forEachEarlySignal(t, func(tt *testTier, m *Machine, delay time.Duration) {
		process := signalEarly(t, m, syscall.SIGTERM, delay)
		if code := awaitExit(t, process); code != 0 {
			t.Fatalf("%s exits with %d (%v) after SIGTERM %v after its first instructions", m.Name, code, process.cmd.ProcessState, delay)
		}
	})
}

// An operators' command that is interrupted must not look like one that succeeded, though it is of the same program as the nodes.
func TestInterruptedCommandDoesNotSucceed(t *testing.T) {
	programs, err := buildPrograms()
	must(t, err)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	must(t, err)
	defer silent.Close()
	args := []string{"status", "--at", silent.Addr().String()}
	p, err := startProcess(programs.Control, args, "node.yaml", nil, new(Log))
	must(t, err)
	accepted, err := silent.Accept() // the command waits for an answer now
	must(t, err)
	defer accepted.Close()
	must(t, p.cmd.Process.Signal(syscall.SIGTERM))
	if code := awaitExit(t, p); code == 0 {
		t.Error("the command exits with 0")
	}
}
