package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"larchrouter/internal/tier/controlnode"
)

// dutiesCommand prints the state of the singleton tasks, which the settings and the API call duties.
type dutiesCommand struct{ target }

func (c dutiesCommand) Run() error {
	body, err := c.call(http.MethodGet, "/api/duties", nil, nil)
	if err != nil {
		return err
	}
	var status controlnode.TaskStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	if c.JSON {
		return printBody(body)
	}
	return writeTaskStatus(os.Stdout, &status)
}

// shownCalls is the number of the newest calls of each task in the table; --json has all calls that the node keeps.
const shownCalls = 5

// writeTaskStatus writes the state of the singleton tasks in tables. The column widths of each table are independent.
func writeTaskStatus(w io.Writer, s *controlnode.TaskStatus) error {
	if _, err := fmt.Fprintln(w, s.Summary()); err != nil {
		return err
	}
	tables := []func(io.Writer, *controlnode.TaskStatus){writeLease, writeTaskCounts, writeWindows, writeScaling, writePlatformCalls}
	for _, table := range tables {
		columns := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		table(columns, s)
		if err := columns.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func writeLease(w io.Writer, s *controlnode.TaskStatus) {
	lease := "not held"
	if s.Held {
		lease = fmt.Sprintf("held by %s, %d ms left unless it is renewed", s.Holder, s.LeftMs)
	}
	fmt.Fprintf(w, "answered by\t%s\nhead\t%s\nepoch\t%d\nlease\t%s\ntoken\t%d\n", s.Node, s.Head, s.Epoch, lease, s.Token)
	fmt.Fprintf(w, "clock\t%+d ms to the tier's time\nlast look\t%d ms ago\n", s.ClockOffsetMs, s.StepAgeMs)
}

func writeTaskCounts(w io.Writer, s *controlnode.TaskStatus) {
	fmt.Fprintln(w, "\nDUTY\tEXPECTED\tACCEPTED\tREFUSED\tBUSY\tINVALID\tNOT SENT\tUNKNOWN")
	line := func(name string, expected bool, n controlnode.PlatformCallCounts) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			name, yesNo(expected), n.Accepted, n.Refused, n.Busy, n.Invalid, n.NotSent, n.Unknown)
	}
	line("usage_report", s.Usage.Expected, s.Usage.Outcomes)
	line("autoscale", s.Scale.Expected, s.Scale.Outcomes)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func writeWindows(w io.Writer, s *controlnode.TaskStatus) {
	if !s.Usage.Expected {
		return
	}
	fmt.Fprintf(w, "\nlast window recorded\t%d\nlast window acknowledged\t%d\n", s.Usage.LastRecorded, s.Usage.LastAcknowledged)
	if len(s.Usage.Unacknowledged) == 0 {
		return
	}
	fmt.Fprintln(w, "\nWINDOW\tENDED\tLATE")
	for _, window := range s.Usage.Unacknowledged {
		fmt.Fprintf(w, "%d\t%d ms ago\t%s\n", window.Window, window.EndedMs, yesNo(window.Late))
	}
}

func writeScaling(w io.Writer, s *controlnode.TaskStatus) {
	if !s.Scale.Expected {
		return
	}
	fmt.Fprintf(w, "\nfronts heard\t%d of %d\n", s.Scale.RecentFronts, s.Scale.KnownFronts)
	if len(s.Scale.Subjects) == 0 {
		return
	}
	fmt.Fprintln(w, "\nSERVICE\tZONE\tIN FORCE\tLISTED\tMIN\tMAX\tIN FLIGHT")
	for _, subject := range s.Scale.Subjects {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\n", subject.Service, subject.Zone, subject.InForce, subject.Listed,
			subject.Min, subject.Max, subject.Concurrency)
	}
}

func writePlatformCalls(w io.Writer, s *controlnode.TaskStatus) {
	if len(s.Usage.Calls)+len(s.Scale.Calls) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCALL\tTIME\tTOKEN\tOUTCOME\tBODY")
	for _, calls := range [][]controlnode.PlatformCallStatus{s.Usage.Calls, s.Scale.Calls} {
		for _, call := range calls[:min(shownCalls, len(calls))] {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", call.Path, call.Time, call.Token, call.Outcome, call.Body)
		}
	}
}
