package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/charmbracelet/x/term"
	"github.com/spf13/cobra"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/console"
)

func (a *app) consoleCommand() *cobra.Command {
	return &cobra.Command{Use: "console", Short: "Watch and operate the relay on a full screen", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := onTerminal("status, partners and messages print what it shows"); err != nil {
				return err
			}
			c, err := a.dial()
			if err != nil {
				return err
			}
			defer c.Close()
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			go a.endOnSignal(ctx, cancel)
			if err := console.Run(ctx, c, console.Options{By: who()}); err != nil {
				return coded{err, exitFailed}
			}
			return nil
		}}
}

// onTerminal tells that the console needs a terminal, where there is none.
func onTerminal(instead string) error {
	if term.IsTerminal(os.Stdin.Fd()) && term.IsTerminal(os.Stdout.Fd()) {
		return nil
	}
	return coded{fmt.Errorf("the console needs a terminal; %s", instead), exitUsage}
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Print how the relay is", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return a.print(s, func() {
				fmt.Fprintf(a.out, "%s, up %s, process %d, listening on %s\n", console.Phase(s), console.Span(s.UpMs), s.PID, s.Listen)
				fmt.Fprintf(a.out, "holds %d of %d messages, the oldest for %s; %d of %d calls out\n", s.Held, s.HeldMost, console.Span(s.OldestMs), s.Out, s.Slots)
				t := s.Totals
				fmt.Fprintf(a.out, "since its start: taken on %d, turned away %d, delivered %d, refused %d, failed %d, in %d calls\n",
					t.Taken, t.Turned, t.Delivered, t.Refused, t.Failed, t.Calls)
				fmt.Fprintf(a.out, "%d of %d endpoints are not healthy; %d ends remembered\n", s.Unhealthy, s.Endpoints, s.Ends)
				fmt.Fprintf(a.out, "journal %.1f of %.0f MB in %d segments; durability %s\n", float64(s.DiskBytes)/1e6,
					float64(s.Journal.MostBytes)/1e6, s.Journal.Segments, s.Journal.Durability)
				if s.Journal.Trouble != "" {
					fmt.Fprintf(a.out, "NOTHING NEW IS TAKEN ON: %s\n", s.Journal.Trouble)
				}
				if s.Left != nil {
					fmt.Fprintf(a.out, "left by the drain: %s\n", console.Left(*s.Left))
				}
				for _, d := range s.Drains {
					fmt.Fprintf(a.out, "drained: %s, since %s, by %s\n", d.Target, time.UnixMilli(d.SinceMs).Format(time.DateTime), d.By)
				}
			})
		})
	}}
}

func (a *app) partnersCommand() *cobra.Command {
	return &cobra.Command{Use: "partners", Short: "Print the partners and their endpoints, as the relay sees them", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				all, err := c.Partners(ctx)
				if err != nil {
					return err
				}
				return a.print(all, func() {
					w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
					fmt.Fprintln(w, "PARTNER\tWAITING\tENDPOINT\tADDRESS\tSTATE\tHEALTH\tOUT\tRATE/S\tLATENCY\tREMARK")
					for _, p := range all {
						for i, e := range p.Endpoints {
							name, waiting := p.Name, fmt.Sprint(p.Waiting)
							if i > 0 {
								name, waiting = "", ""
							}
							fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%.0fms\t%s\n", name, waiting, e.ID, e.Address, e.State, e.Health, e.Out,
								e.Rate, e.LatencyMs, console.Remark(e))
						}
					}
					w.Flush()
				})
			})
		}}
}

func (a *app) messagesCommand() *cobra.Command {
	var q adminapi.Query
	c := &cobra.Command{Use: "messages [ID]", Short: "List messages, or print one with all its attempts", Args: cobra.MaximumNArgs(1),
		Long: `List messages that are held, the oldest first; with --ended, or a state of those, how messages ended,
the newest first. With an id, print that message with all its attempts.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				if len(args) == 1 {
					m, err := c.Message(ctx, args[0])
					if err != nil {
						return err
					}
					return a.print(m, func() { fmt.Fprintln(a.out, strings.Join(console.Describe(m, time.Now()), "\n")) })
				}
				p, err := c.Messages(ctx, q)
				if err != nil {
					return err
				}
				return a.print(p, func() {
					w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
					fmt.Fprintln(w, "ID\tCLASS\tPARTNER\tSTATE\tTRIES\tAGE\tREMARK")
					for _, m := range p.Messages {
						fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.ID, m.Class, m.Partner, m.State, m.Tries,
							console.Span(time.Now().UnixMilli()-m.TakenMs), console.Why(m, time.Now().UnixMilli()))
					}
					w.Flush()
					if p.Next != "" {
						fmt.Fprintf(a.out, "more: --cursor %s\n", p.Next)
					}
				})
			})
		}}
	c.Flags().StringVar(&q.Partner, "partner", "", "only those for this partner")
	c.Flags().StringVar(&q.Class, "class", "", "only those of this class")
	c.Flags().StringVar(&q.State, "state", "", "only those in this state: "+strings.Join(adminapi.States, ", "))
	c.Flags().BoolVar(&q.Ended, "ended", false, "those that have ended")
	c.Flags().DurationVar(&q.Older, "older", 0, "only those held, or ended, for longer than this")
	c.Flags().BoolVar(&q.Newest, "newest", false, "the newest first, of those held")
	c.Flags().IntVar(&q.Limit, "limit", adminapi.PageDefault, fmt.Sprintf("so many at most, up to %d", adminapi.PageMost))
	c.Flags().StringVar(&q.Cursor, "cursor", "", "go on from where the page before ended")
	c.Flags().StringVar(&q.IDPrefix, "id", "", "only ids that begin so")
	return c
}

const targetHelp = `The target is relay, partner:NAME or endpoint:NAME; a plain NAME is an endpoint's.`

// target reads an argument.
func target(arg string) string {
	if arg == "relay" || strings.Contains(arg, ":") {
		return arg
	}
	return "endpoint:" + arg
}

func (a *app) drainCommand() *cobra.Command {
	q := adminapi.DrainRequest{}
	var within time.Duration
	var wait bool
	c := &cobra.Command{Use: "drain TARGET", Short: "Have nothing new go to an endpoint or a partner, or take nothing new on", Args: cobra.ExactArgs(1),
		Long: `Have nothing new go to an endpoint or a partner: calls out are finished, messages for it wait, each until
its own time is up. Or drain the relay: it takes nothing on, and delivers what it holds for no longer than
--within; then it may be stopped, and names what is left. A drain outlasts a restart, and "undrain" ends it.

` + targetHelp, RunE: func(cmd *cobra.Command, args []string) error {
			q.Target, q.By, q.WithinMs = target(args[0]), who(), within.Milliseconds()
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				d, err := c.Drain(ctx, q)
				if err != nil {
					return err
				}
				if wait && q.Fleet && !q.DryRun {
					if err := a.waitHeeded(ctx, c, q.Target); err != nil {
						return err
					}
					d.Fleet = nil // as it was before
				}
				if wait && !q.DryRun {
					if err := a.waitDrained(cmd.Context(), c, q.Target); err != nil {
						return err
					}
				}
				return a.print(d, func() { fmt.Fprintln(a.out, strings.Join(console.Consequences(d, false), "\n")) })
			})
		}}
	c.Flags().BoolVar(&q.AllowLast, "allow-last", false, "also the last open endpoint of a partner: its messages will wait")
	c.Flags().BoolVar(&q.DryRun, "dry-run", false, "say what it would mean, and do nothing")
	c.Flags().BoolVar(&wait, "wait", false, "wait until no call is out there, or the drain of the relay is over; with --fleet until all relays have heeded it")
	c.Flags().BoolVar(&q.Fleet, "fleet", false, "at all relays of the fleet, whenever they hear of it, and until undrain --fleet")
	c.Flags().DurationVar(&within, "within", 0, "time for a drain of the relay, 1s to 24h (default 30s)")
	return c
}

// poll asks again and again until what is asked for holds.
func poll(ctx context.Context, every time.Duration, holds func() (bool, error)) error {
	for {
		if is, err := holds(); is || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(every):
		}
	}
}

// waitDrained returns when what was drained is quiet.
func (a *app) waitDrained(ctx context.Context, c *adminapi.Client, target string) error {
	scope, name, _ := strings.Cut(target, ":")
	return poll(ctx, 200*time.Millisecond, func() (bool, error) {
		if scope == "relay" {
			s, err := c.Status(ctx)
			return s.Phase != "draining", err
		}
		all, err := c.Partners(ctx)
		for _, p := range all {
			for _, e := range p.Endpoints {
				if e.Out > 0 && (scope == "partner" && p.Name == name || scope == "endpoint" && e.ID == name) {
					return false, err
				}
			}
		}
		return true, err
	})
}

func (a *app) undrainCommand() *cobra.Command {
	q := adminapi.DrainRequest{}
	c := &cobra.Command{Use: "undrain TARGET", Short: "End a drain", Args: cobra.ExactArgs(1),
		Long: "End a drain, also one under way.\n\n" + targetHelp, RunE: func(cmd *cobra.Command, args []string) error {
			q.Target, q.By = target(args[0]), who()
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				d, err := c.Undrain(ctx, q)
				if err != nil {
					return err
				}
				return a.print(d, func() { fmt.Fprintln(a.out, strings.Join(console.Consequences(d, true), "\n")) })
			})
		}}
	c.Flags().BoolVar(&q.DryRun, "dry-run", false, "say what it would mean, and do nothing")
	c.Flags().BoolVar(&q.Fleet, "fleet", false, "take back a drain --fleet")
	return c
}

func (a *app) stopCommand() *cobra.Command {
	q := adminapi.StopRequest{}
	var within time.Duration
	var wait bool
	c := &cobra.Command{Use: "stop", Short: "Stop the relay in order", Args: cobra.NoArgs,
		Long: `Stop the relay in order: it takes nothing on, delivers what it holds for no longer than --within, lets
calls out finish, and leaves the rest to its next start.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q.By, q.WithinMs = who(), within.Milliseconds()
			return a.with(cmd.Context(), func(ctx context.Context, c *adminapi.Client) error {
				s, err := c.Stop(ctx, q)
				if err != nil {
					return err
				}
				for until := time.UnixMilli(s.UntilMs).Add(patience); wait && !q.DryRun; {
					if _, err := c.Status(cmd.Context()); err != nil {
						break
					}
					if time.Now().After(until) {
						return fmt.Errorf("it should have ended by %s, and still answers", time.UnixMilli(s.UntilMs).Format(time.TimeOnly))
					}
					time.Sleep(100 * time.Millisecond)
				}
				return a.print(s, func() { fmt.Fprintln(a.out, console.Stopping(s)) })
			})
		}}
	c.Flags().DurationVar(&within, "within", 0, "deliver for no longer than this, 1s to 24h (default what the file says)")
	c.Flags().BoolVar(&q.DryRun, "dry-run", false, "say what is held now, and do nothing")
	c.Flags().BoolVar(&wait, "wait", false, "wait for its end")
	return c
}
