// Command larch-demo shows the serving tier at work: it runs a whole tier on this machine, among stand-ins for agent
// programs, hosts, the platform and an operator, and has machines fail. It is a program of its own so that the tier's
// programs do not carry the stand-ins.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/tiertest"
)

type program struct {
	For time.Duration `help:"How long programs are started." default:"9s"`
}

const (
	startBound = 30 * time.Second
	step       = 30 * time.Millisecond // between the events of a stream
	askReady   = 300 * time.Millisecond
	lanes      = 3 // programs at a time
)

func (p program) Run() error {
	if p.For <= 0 {
		return errors.Newf("--for is %v: give more than 0", p.For)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	dir, err := os.MkdirTemp("", "larch-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := programs(ctx, os.Stdout, dir)
	if err != nil {
		return err
	}
	return show(ctx, os.Stdout, bin, dir, p.For)
}

// programs are those beside this one, or else built from the sources.
func programs(ctx context.Context, out io.Writer, dir string) (tiertest.Programs, error) {
	if self, err := os.Executable(); err == nil {
		bin := tiertest.ProgramsIn(filepath.Dir(self))
		if there(bin.Proxy) && there(bin.Control) {
			return bin, nil
		}
	}
	fmt.Fprintln(out, "building larch-proxy and larch-control; the first time takes a minute or two")
	return tiertest.BuildPrograms(ctx, dir)
}

func there(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// display is what is shown, line by line.
type display struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
	turns int
}

func (d *display) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
}

// told shows one try of a program.
func (d *display) told(l *modelhost.RunLog) func(t tiertest.Attempt) {
	return func(t tiertest.Attempt) {
		host := "no host"
		if runs := l.ForAttempt(t.ID); len(runs) > 0 {
			host = runs[0].Host
		}
		switch {
		case t.Kind != tiertest.Streaming:
			d.say("%-8s    tool  %-10s %s > %-10s %s", t.Program, t.Path[:strings.LastIndexByte(t.Path, '/')+1], t.Front, host, outcome(t))
			return
		case t.Complete && t.Status == 200:
			d.mu.Lock()
			d.turns++
			d.mu.Unlock()
		}
		after := "begins"
		if t.Previous != "" {
			after = "after " + t.Previous
		}
		d.say("%-8s turn %-8s %-15s %s > %-10s %s", t.Program, t.ID, after, t.Front, host, outcome(t))
	}
}

func outcome(t tiertest.Attempt) string {
	took := t.Ended.Sub(t.Sent).Milliseconds()
	switch {
	case t.Status == 402:
		return "402: the budget is spent"
	case t.Status == 0:
		return "no answer: " + t.Err
	case !t.Complete:
		return "broke off: " + t.Err
	case t.Status != 200:
		return fmt.Sprintf("%d: %s", t.Status, strings.TrimSpace(string(t.Body)))
	case t.Kind == tiertest.Streaming:
		return fmt.Sprintf("%d tokens in %d ms", len(t.Events)*tiertest.EventTokens, took)
	}
	return fmt.Sprintf("%d ms", took)
}

// show runs a tier, has programs served for so long while machines fail, and tells whether every rule was kept.
func show(ctx context.Context, out io.Writer, bin tiertest.Programs, dir string, span time.Duration) error {
	d := &display{out: out, begin: time.Now()}
	tier, err := tiertest.Start(tiertest.Options{Cores: 3, Stores: 4, Fronts: 2, Programs: bin, Dir: dir, HealthCheckInterval: askReady})
	if err != nil {
		return err
	}
	defer tier.Close()
	if err := ready(ctx, tier); err != nil {
		return explain(tier, err)
	}
	d.say("the tier is ready")
	if err := members(ctx, out, tier); err != nil {
		return err
	}
	client := tiertest.NewClient(tier, tiertest.TurnPath)
	client.OnAttempt = d.told(tier.RunLog)
	spanned, stop := context.WithTimeout(ctx, span)
	defer stop()
	var wg sync.WaitGroup
	for lane := range lanes {
		wg.Go(func() {
			for n := lane; spanned.Err() == nil; n += lanes {
				client.Run(context.Background(), agent(n)) // one that has begun is seen to its end
			}
		})
	}
	err = trouble(spanned, d, tier, span)
	wg.Wait()
	if err != nil {
		return explain(tier, err)
	}
	return verdict(d, tier)
}

func ready(ctx context.Context, t *tiertest.Tier) error {
	ctx, stop := context.WithTimeout(ctx, startBound)
	defer stop()
	if _, err := t.AddHosts(step); err != nil {
		return err
	}
	if err := t.Configure(ctx, tiertest.NewConfig(1, tiertest.DraftService, false)); err != nil {
		return err
	}
	return t.AwaitReady(ctx, t.Class(tiertest.Front)...)
}

// explain adds what the processes said.
func explain(t *tiertest.Tier, err error) error {
	for _, m := range t.Machines {
		if s := strings.TrimSpace(m.Log.String()); s != "" {
			err = errors.Wrapf(err, "%s said: %s\n", m.Name, s)
		}
	}
	return err
}

func members(ctx context.Context, out io.Writer, t *tiertest.Tier) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, m := range t.Machines {
		what, addr := "turns with their histories, budgets", ""
		switch m.Class {
		case tiertest.Core:
			what, addr = "control state, operators' API", m.ControlAddr()
		case tiertest.Front:
			what, addr = "clients' requests", m.FrontAddr()
		}
		fmt.Fprintf(w, "        %s\t%s\t%s\n", m.Name, cmp.Or(addr, m.IP), what)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "        6 stand-in hosts; look inside from another terminal: go run ./cmd/larch-control status --at %s\n", t.Class(tiertest.Core)[1].ControlAddr())
	return nil
}

var trees = []string{"alder", "birch", "cedar", "elm", "fir", "hazel", "larch", "maple", "oak", "pine", "rowan", "yew"}

// agent is the nth program: it calls tools, starts sub-agents, or loops until its budget is spent.
func agent(n int) tiertest.Program {
	name := trees[n%len(trees)]
	if round := n / len(trees); round > 0 {
		name = fmt.Sprintf("%s%d", name, round)
	}
	read := []tiertest.Tool{{Path: tiertest.ReadPath, Kind: tiertest.Idempotent}}
	write := []tiertest.Tool{{Path: tiertest.WritePath, Kind: tiertest.NonIdempotent}}
	p := tiertest.Program{Name: name, Budget: 400}
	switch n % 5 {
	case 2:
		sub := tiertest.Conversation{Steps: []tiertest.Step{{MaxTokens: 12}}}
		p.Steps = []tiertest.Step{{MaxTokens: 16, SubAgents: []tiertest.Conversation{sub, sub}}, {MaxTokens: 12}}
	case 4:
		p.Budget, p.Endless, p.Steps = 60, true, []tiertest.Step{{MaxTokens: 20}}
	default:
		p.Steps = []tiertest.Step{{MaxTokens: 20, Tools: slices.Concat(read, write)}, {MaxTokens: 16, Tools: read}, {MaxTokens: 12}}
	}
	return p
}

// trouble has machines fail, spread over a span.
func trouble(ctx context.Context, d *display, t *tiertest.Tier, span time.Duration) error {
	tick := time.NewTicker(max(time.Millisecond, span/6))
	defer tick.Stop()
	var head *tiertest.Machine
	for _, do := range []func() error{
		func() error {
			d.say("--- store-2 is killed")
			t.Machine("store-2").Kill()
			return nil
		},
		func() error {
			d.say("--- store-2 comes back")
			return t.Machine("store-2").Start()
		},
		func() error {
			s, err := t.Class(tiertest.Core)[0].Status(ctx)
			if err != nil {
				return err
			}
			d.say("--- %s, the head of the core, is killed, and the operator moves all turns to another service", s.Head)
			head = t.Machine(s.Head)
			head.Kill()
			return t.Configure(ctx, tiertest.NewConfig(2, tiertest.ReviewService, false))
		},
		func() error {
			s, err := status(ctx, t)
			if err != nil {
				return err
			}
			d.say("--- version %d is in force, the chain is %s; %s comes back", s.Version, strings.Join(s.Chain, " > "), head.Name)
			return head.Start()
		},
	} {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		if err := do(); err != nil && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// status is what a core node tells that has version 2.
func status(ctx context.Context, t *tiertest.Tier) (found *controlnode.Status, err error) {
	err = t.AwaitStatus(ctx, "version 2 is there", func(s *controlnode.Status) bool { found = s; return s.Version == 2 })
	return found, err
}

func verdict(d *display, t *tiertest.Tier) error {
	ctx, stop := context.WithTimeout(context.Background(), startBound)
	defer stop()
	if err := t.RunLog.Wait(ctx, func(runs []modelhost.Run) bool {
		return !slices.ContainsFunc(runs, func(r modelhost.Run) bool { return r.Outcome == modelhost.Running })
	}); err != nil {
		return err
	}
	e := t.EventLog.History(t.RunLog)
	var err error
	if e.ReadBack, err = t.Operator.Config(ctx); err != nil {
		return err
	}
	found := tiertest.Check(e)
	for _, b := range found {
		d.say("broken: %v", b)
	}
	spent := 0
	for _, one := range e.Results {
		if one.Outcome == tiertest.BudgetExhausted {
			spent++
		}
	}
	d.say("%d programs have ended, %d of them as their budget was spent; %d turns were answered whole", len(e.Results), spent, d.turns)
	if len(found) > 0 {
		return errors.Newf("%d rules were broken: the lines above say which", len(found))
	}
	d.say("every rule was kept: no turn lost, none run twice, histories whole, budgets kept")
	return nil
}

func main() {
	var p program
	k := kong.Must(&p, kong.Name("larch-demo"), kong.Description("Show the serving tier at work on this machine, among stand-ins, while machines fail. Ends by itself, or on Ctrl-C."))
	ctx, err := k.Parse(os.Args[1:])
	k.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "larch-demo:", err)
		os.Exit(1)
	}
}
