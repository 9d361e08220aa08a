// Command larchrouter-trial plays scenarios of load and faults with several real relays. `larchrouter trial` calls it: it
// is a program of its own so that a relay does not carry what draws its plots.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/relay/chaostest"
	"larchrouter/internal/relay/scenario"
)

// The exit codes are those of larchrouter, as far as they apply.
const (
	exitFailed = 1 // a bound did not hold, or the trial could not be played
	exitUsage  = 2
	exitFile   = 3
)

type coded struct {
	error
	code int
}

func (c coded) Unwrap() error { return c.error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	if err := command(os.Stdout).ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code := exitUsage
		if c := (coded{}); errors.As(err, &c) {
			code = c.code
		}
		os.Exit(code)
	}
}

func command(out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "larchrouter-trial", Short: "Play scenarios of load and faults with several real relays",
		Long: `Play scenarios of load and faults with several real relays, on loopback: processes of the program, links between
them that are cut, relays that stop, die and start again, partners that fail. What partners, agents and clients saw is
held against the rules and against what the scenario expects.

Exit codes: 0 every bound held, 1 one did not or the trial could not be played, 2 wrong command line, 3 wrong file.`,
		SilenceErrors: true, SilenceUsage: true}
	root.SetOut(out)
	if os.Args[0] == "larchrouter trial" { // it was called by that
		root.Use, root.Annotations = "trial", map[string]string{cobra.CommandDisplayNameAnnotation: "larchrouter trial"}
	}
	root.AddCommand(listCommand(out), showCommand(out), checkCommand(out), runCommand(out))
	return root
}

func listCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the built-in scenarios", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, name := range chaostest.BuiltIn() {
			s, _, err := read(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(t, "%s\t%d relays\t%v\t%s\n", name, s.Relays, s.Span(), s.Title)
		}
		return t.Flush()
	}}
}

func showCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "show NAME", Short: "Print a built-in scenario, to begin one of your own with", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, data, err := read(args[0])
			if err == nil {
				_, err = out.Write(data)
			}
			return err
		}}
}

func checkCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a scenario, and tell everything that is wrong with it", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, _, err := read(args[0])
			if err == nil {
				fmt.Fprintf(out, "%s is good: %d relays, %d phases, %v\n", args[0], s.Relays, len(s.Phases), s.Span())
			}
			return err
		}}
}

// read reads a scenario: a file, or a built-in one.
func read(name string) (*scenario.Scenario, []byte, error) {
	data, err := chaostest.Scenario(name)
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, nil, coded{fmt.Errorf("%w; built in are: %s", err, strings.Join(chaostest.BuiltIn(), ", ")), exitFile}
		}
	}
	s, err := scenario.Parse(data, name)
	if err != nil {
		return nil, nil, coded{err, exitFile}
	}
	return s, data, nil
}

type options struct {
	program, other, report, keep string
	seed                         uint64
	seeds, nodes                 int
	quiet, json                  bool
}

func runCommand(out io.Writer) *cobra.Command {
	var o options
	c := &cobra.Command{Use: "run FILE|NAME", Short: "Play a scenario, and tell what was seen", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, data, err := read(args[0])
			if err != nil {
				return err
			}
			return o.run(cmd.Context(), out, s, data)
		}}
	f := c.Flags()
	f.StringVar(&o.program, "program", beside(), "the relay's program")
	f.StringVar(&o.other, "other", "", "another build, played first with the same seed, for comparison")
	f.StringVar(&o.report, "report", "", "write a report as one HTML file")
	f.StringVar(&o.keep, "keep", "", "keep the relays' folders and logs in this folder (LARCHROUTER_LOG=debug has them say more)")
	f.Uint64Var(&o.seed, "seed", 0, "for what is drawn; 0 for the scenario's")
	f.IntVar(&o.seeds, "seeds", 1, "play so many seeds, one after the other")
	f.IntVar(&o.nodes, "nodes", 0, fmt.Sprintf("how many relays, at most %d; 0 for the scenario's", scenario.MaxRelays))
	f.BoolVar(&o.quiet, "quiet", false, "no line a second")
	f.BoolVar(&o.json, "json", false, "print the report as JSON")
	return c
}

// beside is the relay's program that stands beside this one.
func beside() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	return filepath.Join(filepath.Dir(self), "larchrouter")
}

func (o *options) run(ctx context.Context, out io.Writer, s *scenario.Scenario, data []byte) error {
	if o.seeds < 1 || o.seeds > 1000 {
		return fmt.Errorf("--seeds is %d, must be from 1 to 1000", o.seeds)
	}
	if o.seed == 0 {
		o.seed = s.Seed
	}
	programs := []string{o.program}
	if o.other != "" {
		programs = []string{o.other, o.program}
	}
	for _, p := range programs {
		if err := chaostest.Program(p); err != nil {
			return coded{fmt.Errorf("%w; give --program PATH", err), exitUsage}
		}
	}
	failed := 0
	for n := range o.seeds {
		seed := o.seed + uint64(n)
		var reports []chaostest.Report
		var book *chaostest.EventLog
		for i, p := range programs {
			var err error
			if book, err = o.one(ctx, out, s, p, seed, i); err != nil {
				return coded{err, exitFailed}
			}
			r := chaostest.Check(book)
			r.Program = p
			reports = append(reports, r)
		}
		last := reports[len(reports)-1]
		if len(last.Findings) > 0 {
			failed++
		}
		if err := o.tell(out, s, data, book.Plan, reports, n); err != nil {
			return coded{err, exitFailed}
		}
	}
	if failed > 0 {
		return coded{fmt.Errorf("bounds did not hold in %d of %d plays", failed, o.seeds), exitFailed}
	}
	return nil
}

// one plays a scenario once.
func (o *options) one(ctx context.Context, out io.Writer, s *scenario.Scenario, program string, seed uint64, i int) (*chaostest.EventLog, error) {
	dir, err := chaostest.TempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	at := dir
	if o.keep != "" {
		if at, err = filepath.Abs(filepath.Join(o.keep, fmt.Sprintf("%d-%d", seed, i+1))); err != nil {
			return nil, err
		}
		if err := os.MkdirAll(at, 0o700); err != nil {
			return nil, err
		}
	}
	progress := func(text string) { fmt.Fprintln(out, text) }
	if o.quiet || o.json {
		progress = nil
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	began := time.Now()
	b, err := chaostest.Run(ctx, s, chaostest.Options{Program: program, Relays: o.nodes, Seed: seed, Dir: at, Progress: progress})
	if err == nil && progress != nil {
		progress(fmt.Sprintf("played in %v", time.Since(began).Round(time.Second)))
	}
	return b, err
}

func (o *options) tell(out io.Writer, s *scenario.Scenario, data []byte, plan scenario.Plan, reports []chaostest.Report, n int) error {
	if o.json {
		if err := json.NewEncoder(out).Encode(reports); err != nil {
			return err
		}
	} else {
		chaostest.Text(out, reports[len(reports)-1], reports[:len(reports)-1]...)
	}
	if o.report == "" {
		return nil
	}
	path := o.report
	if o.seeds > 1 {
		ext := filepath.Ext(path)
		path = fmt.Sprintf("%s-%d%s", strings.TrimSuffix(path, ext), plan.Seed, ext)
	}
	var b bytes.Buffer
	if err := chaostest.Page(&b, s, plan, data, reports...); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
