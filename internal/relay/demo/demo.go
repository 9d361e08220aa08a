// Package demo shows a relay at work among stand-in partners that get into trouble in turn.
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
	"larchrouter/internal/standin"
)

// Options of a demo.
type Options struct {
	Out     io.Writer
	JSON    bool                                          // the last line as JSON
	For     time.Duration                                 // messages are handed in for so long; 0 for 30 s, or for as long as the console is open
	Rate    float64                                       // messages a second, 1 to 5000
	Seed    uint64                                        // 0 draws one
	Console func(context.Context, *adminapi.Client) error // nil for lines of progress
}

// Result is how a demo ended.
type Result struct {
	Submitted  int `json:"handed"` // in, all
	Rejected   int `json:"turned_away"`
	Delivered  int `json:"delivered"`
	Refused    int `json:"refused"` // turned away, or given up without having run
	Failed     int `json:"failed"`
	Duplicates int `json:"duplicates"` // payments that took effect more than once
}

// String gives the counts in one line.
func (r Result) String() string {
	return fmt.Sprintf("delivered %d of %d, refused %d, failed %d; duplicates %d", r.Delivered, r.Submitted, r.Refused, r.Failed, r.Duplicates)
}

const (
	faultInterval  = 4 * time.Second
	faultDuration  = 3 * time.Second
	outcomeTimeout = 40 * time.Second // every message has ended by then: the longest deadline is 24 s
)

// Run runs a demo until its time is up, the context ends, or the console is closed; then it waits for the
// end of every message.
func Run(ctx context.Context, o Options) error {
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
	was := slog.Default()
	slog.SetDefault(slog.New(tail))
	defer slog.SetDefault(was)

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
		fmt.Fprintf(o.Out, "a relay on %s with %d partners, %g messages a second, seed %d\n", site.App.Addr(), len(partners), o.Rate, o.Seed)
		fmt.Fprintf(o.Out, "ask it meanwhile: larchrouter status --socket %s\n", site.App.Socket())
	}

	handing, stop := context.WithCancel(ctx)
	if o.For > 0 {
		handing, stop = context.WithTimeout(ctx, o.For)
	}
	defer stop()
	trouble := make(chan struct{})
	go func() { defer close(trouble); injectFaults(handing, site, o.Seed) }()
	loaded := make(chan struct{})
	go func() { defer close(loaded); load.Run(handing, o.Rate) }()
	if o.Console != nil {
		err = o.Console(handing, site.Control)
	} else {
		printProgress(handing, o.Out, site.Control)
	}
	stop()
	<-loaded
	<-trouble
	if err != nil {
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

// injectFaults lets partners get into trouble in turn, until the context ends; then all are well.
func injectFaults(ctx context.Context, s *rig.Site, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	usual := map[string]standin.Behaviour{}
	for _, p := range s.Partners {
		for id := range s.Hosts {
			if strings.HasPrefix(id, p.Name+"-") {
				usual[id] = p.Behaviour
			}
		}
	}
	kinds := []struct {
		name string
		how  func(*standin.Host, standin.Behaviour)
	}{
		{"refuses, and tells how long to wait", func(h *standin.Host, how standin.Behaviour) {
			how.Refuse, how.Wait = true, 800*time.Millisecond
			h.Set(how)
		}},
		{"stalls", func(h *standin.Host, how standin.Behaviour) { how.Latency = 900 * time.Millisecond; h.Set(how) }},
		{"is down", func(h *standin.Host, _ standin.Behaviour) { h.Down() }},
		{"fails after it has applied", func(h *standin.Host, how standin.Behaviour) { how.Fail = true; h.Set(how) }},
		{"hangs", func(h *standin.Host, how standin.Behaviour) { how.Hang = true; h.Set(how) }},
	}
	pause := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	for n := 0; pause(faultInterval - faultDuration); n++ {
		p := s.Partners[rnd.IntN(len(s.Partners))]
		kind := kinds[n%len(kinds)]
		slog.Warn("the stand-in partner "+kind.name, "partner", p.Name)
		for i := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			kind.how(s.Hosts[id], usual[id])
		}
		going := pause(faultDuration)
		for i := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			s.Hosts[id].Set(usual[id])
			if err := s.Hosts[id].Up(); err != nil {
				slog.Error("the stand-in does not come back", "endpoint", id, "err", err)
			}
		}
		slog.Info("the stand-in partner is well again", "partner", p.Name)
		if !going {
			return
		}
	}
}

// printProgress prints a line a second.
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
		fmt.Fprintf(out, "%3ds  in %4d/s  delivered %4d/s  held %4d  calls out %2d  unhealthy endpoints %d  refused %d  failed %d\n", n,
			t.Taken-last.Taken, t.Delivered-last.Delivered, s.Held, s.Out, s.Unhealthy, t.Refused, t.Failed)
		last = t
	}
}

// finish waits for the end of every message, and counts.
func finish(ctx context.Context, s *rig.Site, l *rig.Load) (Result, error) {
	taken := l.Accepted()
	r := Result{Submitted: len(taken) + l.Rejected(), Rejected: l.Rejected()}
	for end := time.Now().Add(outcomeTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		st, err := s.Control.Status(ctx)
		if err != nil {
			return r, err
		}
		if st.Held == 0 {
			break
		}
	}
	tally, err := l.Count(ctx, taken, s.Ledger)
	if err != nil {
		return r, err
	}
	payments := map[string]bool{}
	for _, m := range taken {
		payments[m.ID] = m.Class == "payment"
	}
	r.Delivered, r.Refused, r.Failed = tally.Delivered, tally.Refused+r.Rejected, tally.Failed
	r.Duplicates = len(s.Ledger.Repeated(func(id string) bool { return payments[id] }))
	switch {
	case r.Duplicates > 0:
		return r, fmt.Errorf("%d payments took effect more than once", r.Duplicates)
	case len(tally.Wrong) > 0:
		return r, fmt.Errorf("%d messages contradict what the partners saw: %s", len(tally.Wrong), strings.Join(tally.Wrong[:min(5, len(tally.Wrong))], "; "))
	case tally.Open+tally.Unknown > 0:
		return r, fmt.Errorf("%d messages have no end, and of %d nothing is known", tally.Open, tally.Unknown)
	case len(l.Errors()) > 0:
		return r, errors.Join(l.Errors()[:min(3, len(l.Errors()))]...)
	}
	return r, nil
}
