// Package demo runs a relay with stand-in partners into which it injects faults in turn, submits messages, and
// checks at the end that the outcomes that the relay reports agree with what the partners saw.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/rig"
)

// Options are the options of a demo.
type Options struct {
	Out     io.Writer
	JSON    bool                                          // print the result as JSON
	For     time.Duration                                 // messages are submitted; 0 for 30 s, or until the console is closed
	Rate    float64                                       // messages a second, 1 to 5000
	Seed    uint64                                        // of messages and faults; 0 draws one
	Console func(context.Context, *adminapi.Client) error // nil prints lines of progress instead
}

// Result counts the messages of a demo by outcome.
type Result struct {
	Submitted  int `json:"handed"` // accepted and rejected
	Rejected   int `json:"turned_away"`
	Delivered  int `json:"delivered"`
	Refused    int `json:"refused"` // rejected, or given up without having run
	Failed     int `json:"failed"`
	Duplicates int `json:"duplicates"` // payments that took effect more than once
}

// String returns the counts in one line.
func (r Result) String() string {
	return fmt.Sprintf("delivered %d of %d, refused %d, failed %d; duplicates %d",
		r.Delivered, r.Submitted, r.Refused, r.Failed, r.Duplicates)
}

// outcomeTimeout bounds the wait for the outcomes of all messages; their longest deadline is 24 s.
const outcomeTimeout = 40 * time.Second

// setDefaults checks the options and replaces those that are zero.
func (o *Options) setDefaults() error {
	if o.Rate < 1 || o.Rate > 5000 {
		return fmt.Errorf("--rate is %g, must be from 1 to 5000", o.Rate)
	}
	if o.For < 0 {
		return fmt.Errorf("--for is %v, must be above 0", o.For)
	}
	if o.For == 0 && o.Console == nil {
		o.For = 30 * time.Second
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return nil
}

// Run runs a demo until its time is up, the context ends, or the console is closed. Then it ends the faults,
// waits for the outcome of every message, and prints the result. It returns an error if an outcome contradicts
// what the partners saw, or is missing. During a demo the default logger writes to the log lines of the admin
// API.
func Run(ctx context.Context, o Options) error {
	if err := o.setDefaults(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "larch-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	logs, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer logs.Close()
	tail := adminapi.NewTail(slog.NewTextHandler(logs, nil))
	previous := slog.Default()
	slog.SetDefault(slog.New(tail))
	defer slog.SetDefault(previous)

	partners := rig.Bureau()
	site, err := rig.New(rig.Options{Dir: rig.StateDir(dir), Partners: partners, Tail: tail, Change: func(f *config.File) {
		f.Ends.Keep = 200_000
		f.Limits.DiskMB = 1024
		f.Limits.Held = max(f.Limits.Held, int(40*o.Rate))
	}})
	if err != nil {
		return err
	}
	defer site.Close()
	load := rig.NewLoad(site.App.Addr(), partners, o.Seed)
	defer load.Close()
	if o.Console == nil {
		fmt.Fprintf(o.Out, "a relay on %s with %d partners, %g messages a second, seed %d\n",
			site.App.Addr(), len(partners), o.Rate, o.Seed)
		fmt.Fprintf(o.Out, "ask it meanwhile: larchrouter status --socket %s\n", site.App.Socket())
	}
	if err := submitUnderFaults(ctx, o, site, load); err != nil {
		return err
	}
	fmt.Fprintln(o.Out, "every partner is well again; waiting for the messages that are still held")
	result, err := finish(context.WithoutCancel(ctx), site, load)
	if o.JSON {
		json.NewEncoder(o.Out).Encode(result)
	} else {
		fmt.Fprintln(o.Out, result)
	}
	return err
}

// submitUnderFaults submits messages and injects faults until the time is up, the context ends, or the console
// is closed. It returns the error of the console. Afterwards the partners are healthy and every submission has
// its response.
func submitUnderFaults(ctx context.Context, o Options, site *rig.Site, load *rig.Load) (err error) {
	loadCtx, stop := context.WithCancel(ctx)
	if o.For > 0 {
		loadCtx, stop = context.WithTimeout(ctx, o.For)
	}
	defer stop()
	faultsDone := make(chan struct{})
	go func() { defer close(faultsDone); injectFaults(loadCtx, site, o.Seed) }()
	loadDone := make(chan struct{})
	go func() { defer close(loadDone); load.Run(loadCtx, o.Rate) }()
	if o.Console != nil {
		err = o.Console(loadCtx, site.Control)
	} else {
		printProgress(loadCtx, o.Out, site.Control)
	}
	stop()
	<-loadDone
	<-faultsDone
	return err
}

// printProgress prints the relay's counts once a second until the context ends.
func printProgress(ctx context.Context, out io.Writer, c *adminapi.Client) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var last adminapi.Totals
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s, err := c.Status(ctx)
		if err != nil {
			if ctx.Err() == nil {
				fmt.Fprintln(out, "the relay does not answer:", err)
			}
			continue
		}
		t := s.Totals
		fmt.Fprintf(out, "%3ds  in %4d/s  delivered %4d/s  held %4d  calls out %2d  unhealthy endpoints %d  refused %d  failed %d\n",
			n, t.Taken-last.Taken, t.Delivered-last.Delivered, s.Held, s.Out, s.Unhealthy, t.Refused, t.Failed)
		last = t
	}
}

// finish waits until no message is pending, and counts the outcomes. The error says which of them are wrong or
// missing.
func finish(ctx context.Context, s *rig.Site, l *rig.Load) (Result, error) {
	accepted := l.Accepted()
	r := Result{Submitted: len(accepted) + l.Rejected(), Rejected: l.Rejected()}
	for end := time.Now().Add(outcomeTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		st, err := s.Control.Status(ctx)
		if err != nil {
			return r, err
		}
		if st.Held == 0 {
			break
		}
	}
	tally, err := l.Count(ctx, accepted, s.Ledger)
	if err != nil {
		return r, err
	}
	payments := map[string]bool{}
	for _, m := range accepted {
		payments[m.ID] = m.Class == "payment"
	}
	r.Delivered, r.Refused, r.Failed = tally.Delivered, tally.Refused+r.Rejected, tally.Failed
	r.Duplicates = len(s.Ledger.Repeated(func(id string) bool { return payments[id] }))
	switch {
	case r.Duplicates > 0:
		return r, fmt.Errorf("%d payments took effect more than once", r.Duplicates)
	case len(tally.Wrong) > 0:
		return r, fmt.Errorf("%d messages contradict what the partners saw: %s", len(tally.Wrong),
			strings.Join(tally.Wrong[:min(5, len(tally.Wrong))], "; "))
	case tally.Open+tally.Unknown > 0:
		return r, fmt.Errorf("%d messages have no end, and of %d nothing is known", tally.Open, tally.Unknown)
	case len(l.Errors()) > 0:
		return r, errors.Join(l.Errors()[:min(3, len(l.Errors()))]...)
	}
	return r, nil
}
