package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/tiertest"
)

// display prints what happens, one line for each event. Its methods are safe for concurrent use.
type display struct {
	mu             sync.Mutex
	out            io.Writer
	start          time.Time
	completedTurns int
}

// printf prints a line with the time since the start.
func (d *display) printf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// printAttempt prints an attempt of a program, and counts completed turns. The run log has the host that ran it.
func (d *display) printAttempt(runLog *modelhost.RunLog, a tiertest.Attempt) {
	host := "no host"
	if runs := runLog.ForAttempt(a.ID); len(runs) > 0 {
		host = runs[0].Host
	}
	switch {
	case a.Kind != tiertest.Streaming:
		route := a.Path[:strings.LastIndexByte(a.Path, '/')+1]
		d.printf("%-8s    tool  %-10s %s > %-10s %s", a.Program, route, a.Front, host, outcome(a))
		return
	case a.Complete && a.Status == http.StatusOK:
		d.mu.Lock()
		d.completedTurns++
		d.mu.Unlock()
	}
	after := "begins"
	if a.Previous != "" {
		after = "after " + a.Previous
	}
	d.printf("%-8s turn %-8s %-15s %s > %-10s %s", a.Program, a.ID, after, a.Front, host, outcome(a))
}

// outcome describes the answer to an attempt.
func outcome(a tiertest.Attempt) string {
	latency := a.Ended.Sub(a.Sent).Milliseconds()
	switch {
	case a.Status == http.StatusPaymentRequired:
		return "402: the budget is spent"
	case a.Status == 0:
		return "no answer: " + a.Err
	case !a.Complete:
		return "broke off: " + a.Err
	case a.Status != http.StatusOK:
		return fmt.Sprintf("%d: %s", a.Status, strings.TrimSpace(string(a.Body)))
	case a.Kind == tiertest.Streaming:
		return fmt.Sprintf("%d tokens in %d ms", len(a.Events)*tiertest.EventTokens, latency)
	}
	return fmt.Sprintf("%d ms", latency)
}

// printMachines lists the machines with their addresses, and a command to look inside.
func printMachines(out io.Writer, t *tiertest.Tier) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, m := range t.Machines {
		purpose, addr := "turns with their histories, budgets", ""
		switch m.Class {
		case tiertest.Core:
			purpose, addr = "control state, operators' API", m.ControlAddr()
		case tiertest.Front:
			purpose, addr = "clients' requests", m.FrontAddr()
		}
		fmt.Fprintf(w, "        %s\t%s\t%s\n", m.Name, cmp.Or(addr, m.IP), purpose)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "        6 stand-in hosts; look inside from another terminal: go run ./cmd/larch-control status --at %s\n",
		t.Class(tiertest.Core)[1].ControlAddr())
	return nil
}
