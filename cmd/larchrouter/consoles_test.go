package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/creack/pty"

	"larchrouter/internal/relay/rig"
)

// The measurement: go test ./cmd/larchrouter -run Consoles -v -consoles.span 5s -consoles.rounds 8 -consoles.rate 50
var (
	consolesSpan   = flag.Duration("consoles.span", 500*time.Millisecond, "of each round")
	consolesRounds = flag.Int("consoles.rounds", 1, "with no console, one and ten in turn")
	consolesRate   = flag.Float64("consoles.rate", 50, "messages a second")
)

// cpu is what a process has used so far.
func cpu(t testing.TB, pid int) time.Duration {
	t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		t.Fatal("no tasks", err)
	}
	var sum time.Duration
	for _, path := range tasks {
		if data, err := os.ReadFile(path); err == nil {
			n, _ := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
			sum += time.Duration(n)
		}
	}
	return sum
}

// What consoles cost the relay: CPU for each message and the time of the 202, with none, one and ten on its
// overview, in turn. In CI it only shows that consoles work side by side.
func TestConsoles(t *testing.T) {
	s := newSite(t, rig.Bureau(), "")
	l := s.load()
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan struct{})
	go func() { defer close(loaded); l.Run(ctx, *consolesRate) }()
	defer func() { cancel(); <-loaded }()
	time.Sleep(2 * *consolesSpan) // warm: the store of ends fills
	cases := []struct {
		name     string
		consoles int
		used     []float64 // microseconds a message, by round
		latency  []time.Duration
	}{{name: "none"}, {name: "one", consoles: 1}, {name: "ten", consoles: 10},
		{name: "ten that look for another relay, which shows what their own work costs", consoles: 10}, {name: "none again, which shows the noise"}}
	for round := range *consolesRounds {
		for i := range cases {
			c := &cases[(i+round)%len(cases)] // none is always after the same one
			n := c.consoles
			var all []*exec.Cmd
			for range n { // processes of their own, as the load's clients are in this one
				socket := s.control.Path()
				if strings.Contains(c.name, "another relay") {
					socket = filepath.Join(s.dir, "none")
				}
				cmd := exec.Command(built(t), "console", "--socket", socket)
				cmd.Env = env("TERM=xterm-256color")
				screen, err := pty.StartWithSize(cmd, &pty.Winsize{Rows: 24, Cols: 80})
				if err != nil {
					t.Fatal(err)
				}
				go io.Copy(io.Discard, screen)
				all = append(all, cmd)
			}
			end := func() {
				for _, cmd := range all {
					cmd.Process.Kill()
					cmd.Wait()
				}
			}
			t.Cleanup(end)
			time.Sleep(min(*consolesSpan, 1200*time.Millisecond)) // ten programs that start are no consoles yet
			from, before := len(l.Accepted()), cpu(t, s.cmd.Process.Pid)
			time.Sleep(*consolesSpan)
			messages := len(l.Accepted()) - from
			c.used = append(c.used, float64((cpu(t, s.cmd.Process.Pid)-before).Microseconds())/float64(max(1, messages)))
			c.latency = append(c.latency, l.Latencies(from)...)
			end()
			if messages == 0 {
				t.Errorf("with %d consoles no message was taken on", n)
			}
		}
	}
	for i := range cases {
		c := &cases[i]
		slices.Sort(c.used)
		slices.Sort(c.latency)
		median, p99 := c.used[len(c.used)/2], c.latency[len(c.latency)*99/100]
		first, firstP99 := cases[0].used[len(cases[0].used)/2], cases[0].latency[len(cases[0].latency)*99/100]
		t.Logf("consoles: %s, at %g/s: CPU a message %.0f us (ratio %.3f), p99 of the 202 %v of %d (ratio %.3f)", c.name, *consolesRate, median,
			median/first, p99, len(c.latency), float64(p99)/float64(firstP99))
	}
}
