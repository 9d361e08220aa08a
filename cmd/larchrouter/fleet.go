package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/console"
)

func (a *app) fleetCommand(client func(*cobra.Command) *cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Look at the fleet that the relay is one of, and tell it what holds for all", GroupID: "ask",
		Long: `Look at the fleet that the relay is one of, as that relay sees it: the other relays, the limits that they share,
and what operators have said for all of them ("drain --fleet", "fleet gone").`}
	show := func(use, short string, lines func(adminapi.Fleet)) *cobra.Command {
		return client(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				f, err := c.Fleet(ctx)
				if err != nil {
					return err
				}
				return a.print(f, func() { lines(f) })
			})
		}})
	}
	gone := func(use, short string, back bool) *cobra.Command {
		return client(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				f, err := c.Gone(ctx, adminapi.GoneRequest{Relay: args[0], Back: back, By: who()})
				if err != nil {
					return err
				}
				return a.print(f, func() { a.printWords(f) })
			})
		}})
	}
	all := []*cobra.Command{
		show("status", "Print the relays of the fleet, and which of them are there", a.printFleet),
		show("limits", "Print the limits that the relay has a part of", a.printLimits),
		show("versions", "Print which relay acts on which version of its file and the program, those that are behind first", a.printVersions),
		show("verdicts", "Print what was said for the whole fleet, who has heeded it, and which relays see what out", a.printWords),
		gone("gone RELAY", "Say that a relay is gone for good: its part of the limits is the others'", false),
		gone("back RELAY", "Take that back", true),
	}
	for _, s := range all {
		s.GroupID = ""
		c.AddCommand(s)
	}
	return c
}

func (a *app) table(head string, rows func(line func(format string, args ...any))) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) })
	w.Flush()
}

func (a *app) printFleet(f adminapi.Fleet) {
	if f.Name == "" {
		fmt.Fprintln(a.out, "this relay is of no fleet: its file has no fleet block")
		return
	}
	fmt.Fprintln(a.out, console.FleetLine(f))
	fmt.Fprintf(a.out, "what is said for all is heeded by all that are there within %s, %s where three notes in ten are lost; one that no link reaches is known to be lost after %s\n",
		console.Span(f.HeedMs), console.Span(f.HeedLossyMs), console.Span(f.LostAfterMs))
	for _, v := range f.Versions {
		if v.BehindMs > 0 {
			fmt.Fprintf(a.out, "%s: %s\n", v.Relay, console.Lag(v, len(f.Relays)))
		}
	}
	a.table("RELAY\tADDRESS\tTHERE\tHEARD OF\tHEARD ITSELF\tREMARK", func(line func(string, ...any)) {
		for _, r := range f.Relays {
			line("%s\t%s\t%s\t%s\t%s\t%s", r.Name, r.Address, console.YesNo(r.There), console.Ago(r.HeardMs, r.Self), console.Ago(r.MetMs, r.Self), console.RelayRemark(r))
		}
	})
}

func (a *app) printLimits(f adminapi.Fleet) {
	a.table("PARTNER\tLIMIT\tOWN PART\tPLEDGED TO\tFOR\tGRANTS HERE\tROUTE\tSTATE\tRATE/S\tUSED/S\tOUT\tAT MOST", func(line func(string, ...any)) {
		for _, l := range f.Limits {
			head := fmt.Sprintf("%s\t%s\t%.3f\t%s\t%s\t%.3f", l.Partner, console.FormatLimit(l), l.Own, dash(l.Steward), console.Span(l.LeftMs), l.Granted)
			for _, r := range l.Routes {
				line("%s\t%s\t%s\t%.1f\t%.1f\t%d\t%.2f", head, dash(r.Route), r.State, r.Rate, r.Used, r.Out, l.Over)
				head = "\t\t\t\t\t"
			}
			if len(l.Routes) == 0 {
				line("%s\t-\t-\t-\t-\t-\t%.2f", head, l.Over)
			}
		}
	})
}

func (a *app) printVersions(f adminapi.Fleet) {
	a.table("RELAY\tOF\tVERSION\tSTATE\tFOR\tHEARD\tREMARK", func(line func(string, ...any)) {
		for _, v := range f.Versions {
			line("%s\t%s\t%s\t%s\t%s\t%s\t%s", v.Relay, v.Kind, console.Version(v), v.State, console.Span(v.ForMs), console.Ago(v.HeardMs, v.Relay == f.Name), dash(console.Lag(v, len(f.Relays))))
		}
	})
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *app) printWords(f adminapi.Fleet) {
	a.table("SUBJECT\tHOLDS\tSAID BY\tAT\tWHEN\tHEEDED BY\tNOT YET", func(line func(string, ...any)) {
		for _, w := range f.Words {
			line("%s\t%s\t%s\t%s\t%s\t%d of %d\t%s", w.Subject, console.YesNo(w.Holds), w.By, w.Origin, time.UnixMilli(w.AtMs).Format(time.DateTime),
				len(w.Heeded), len(w.Heeded)+len(w.Missing), dash(strings.Join(w.Missing, ", ")))
		}
	})
	if len(f.Sights) == 0 {
		return
	}
	fmt.Fprintln(a.out)
	a.table("ENDPOINT	SEEN	BY	FOR	SAID", func(line func(string, ...any)) {
		for _, s := range f.Sights {
			line("%s	%s	%s	%s	%s", strings.TrimPrefix(s.Subject, "endpoint:"), console.FormatSight(s), s.Relay, console.Span(s.ForMs), console.Ago(s.SaidMs, false))
		}
	})
}

// waitHeeded returns when all relays have heeded what was said of a target, or the context ends; then who has not is told.
func (a *app) waitHeeded(ctx context.Context, c *adminapi.Client, target string) error {
	missing := ""
	err := poll(ctx, 50*time.Millisecond, func() (bool, error) {
		f, err := c.Fleet(ctx)
		if err != nil {
			return false, err
		}
		missing = "the relay knows nothing of it"
		for _, w := range f.Words {
			if w.Subject == target {
				missing = strings.Join(w.Missing, ", ")
			}
		}
		return missing == "", nil
	})
	if ctx.Err() != nil {
		fmt.Fprintf(os.Stderr, "not heeded yet by: %s\n", missing)
	}
	return err
}
