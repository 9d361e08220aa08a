package chaostest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes a report for a terminal. Others are reports of the same scenario with other programs, for comparison.
func Text(w io.Writer, r Report, others ...Report) {
	fmt.Fprintf(w, "%s: %d relays, seed %d\n\n", r.Scenario, r.Relays, r.Seed)
	all := append(slices.Clone(others), r)
	writeTable(w, r, all)
	for i, x := range all {
		fmt.Fprintf(w, "\ndelivered of what hosts take, second by second%s\n", mark(i, len(all)))
		for _, p := range x.Phases {
			fmt.Fprintf(w, "  %-18s %s\n", p.Name, strings.Join(seconds(x, p, Summary.Served), " "))
		}
	}
	for i, x := range all {
		x.writeResult(w, i == len(all)-1)
	}
}

// writeTable writes the figures of each phase, of all reports in columns.
func writeTable(w io.Writer, r Report, all []Report) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "phase\tfrom\tfor\ttakes/s\thanded/s\t")
	for i := range all {
		fmt.Fprintf(table, "offered%s\tpeak\trefused\tdelivered\tof possible\t", mark(i, len(all)))
	}
	fmt.Fprintln(table)
	for n, phase := range r.Phases {
		span := (phase.To - phase.From).Seconds()
		fmt.Fprintf(table, "%s\t%v\t%v\t%.0f\t%.0f\t", phase.Name, phase.From, phase.To-phase.From,
			phase.Takes/span, float64(phase.Handed)/span)
		for _, x := range all {
			s := x.Phases[n]
			fmt.Fprintf(table, "%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t",
				s.Offered(), s.Peak, ratio(float64(s.Refused), s.Takes), s.Served(), s.Possible())
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}

// writeResult writes a report's totals, and its findings or, if they are not to be listed, their number.
func (r Report) writeResult(w io.Writer, list bool) {
	fmt.Fprintf(w, "\n%s: %s\n", r.name(), counts(r.Clients))
	fmt.Fprintf(w, "notes for each first try %.1f, bytes %.0f, lost %d; CPU %.2f ms a first try\n",
		ratio(float64(r.Notes), float64(r.Tries)),
		ratio(float64(r.Bytes), float64(r.Tries)), r.Lost, ratio(r.CPU.Seconds()*1000, float64(r.Tries)))
	if at := r.Settled(0.95, r.Phases[0].To); at >= 0 {
		fmt.Fprintf(w, "0.95 of what could be is delivered from %v on in phase %s\n", at, r.Phases[0].Name)
	}
	switch {
	case len(r.Findings) == 0:
		fmt.Fprintln(w, "every bound held")
	case !list:
		fmt.Fprintf(w, "%d findings\n", len(r.Findings))
	default:
		for _, f := range r.Findings {
			fmt.Fprintln(w, "!", f)
		}
	}
}

// name returns the program that was run.
func (r Report) name() string {
	if r.Program == "" {
		return "the program"
	}
	return r.Program
}

// mark returns the suffix that distinguishes columns of several programs.
func mark(i, n int) string {
	if n == 1 {
		return ""
	}
	return fmt.Sprintf(" [%d]", i+1)
}

// seconds returns a figure of each second of a phase.
func seconds(r Report, p Summary, of func(Summary) float64) (all []string) {
	for _, s := range r.Seconds {
		if p.From <= s.From && s.From < p.To {
			all = append(all, fmt.Sprintf("%.2f", of(s)))
		}
	}
	return all
}

// counts formats counts in the order of their names.
func counts(n map[string]int) string {
	var all []string
	for _, k := range slices.Sorted(maps.Keys(n)) {
		all = append(all, fmt.Sprintf("%s %d", k, n[k]))
	}
	return strings.Join(all, ", ")
}

// Settled returns the beginning of the first second from which on, until a time, Possible is at least share in every second;
// below 0 if there is none.
func (r Report) Settled(share float64, until time.Duration) time.Duration {
	at := time.Duration(-1)
	for _, s := range r.Seconds {
		if s.To > until {
			break
		}
		if s.Possible() < share {
			at = -1
		} else if at < 0 {
			at = s.From
		}
	}
	return at
}
