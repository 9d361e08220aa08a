package chaostest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// Relays of their own (larchrouter run) in place of the platform's: their partners and their fleet come from an operator's
// file, operators talk to them through the control socket, and the ends of messages are asked for.

const (
	commandTimeout = 2 * time.Second // an operator waits for an answer
	maxQueries     = 8               // ends asked of one relay at a time
)

func relayName(i int) string                     { return fmt.Sprintf("r%02d", i) }
func (p *process) controlSocket() string         { return filepath.Join(p.stateDir(), "control.sock") }
func (p *process) dialControl() *adminapi.Client { return adminapi.Dial(p.controlSocket()) }

// operatorsFile is what an operator would write for a relay of a scenario.
func operatorsFile(p *process, plan scenario.Plan, peers []string, servers []standin.Server) string {
	s := plan.Scenario
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("listen = %q\nstate = %q\nstop_within = \"2s\"", p.listen, p.stateDir())
	line("limits {\n held = %d\n slots = %d\n attempts = %d\n memory_mb = 192\n disk_mb = 64\n}", s.MaxPending, s.Slots, s.Attempts)
	line("ends {\n keep = 50000\n}")
	line("rules {\n overload_factor = %g\n fall = %q\n cold_from = %g\n cold = %q\n}", s.Rules.OverloadFactor, s.Rules.Fall, s.Rules.ColdFrom, s.Rules.Cold)
	if len(peers) > 1 && !s.Standalone {
		line("fleet {\n name = %q\n listen = %q", relayName(p.index), p.gossipAddr)
		for i, at := range peers {
			line(" relay %q {\n  address = %q\n }", relayName(i), at)
		}
		line("}")
	}
	for dest, partner := range s.Partners {
		line("partner %q {", partner.Name)
		if l := partner.Limit; l != nil {
			line(" limit {\n  rate = %g\n  burst = %g\n  at_once = %d\n }", l.Rate, l.Burst, l.MaxConcurrent)
		}
		n := 0
		for _, v := range servers {
			if v.Cell == dest {
				line(" endpoint %q {\n  address = %q\n }", partner.Endpoint(partner.Hosts[n]), v.Addr)
				n++
			}
		}
		line("}")
	}
	return b.String()
}

// runCommand has an operator runCommand something at a relay, or at the next one that answers, and writes down when that was acknowledged.
func (t *trial) runCommand(ctx context.Context, do scenario.Said) {
	var err error
	for range t.fleet.all {
		p := t.fleet.all[do.Relay]
		p.mu.Lock()
		runs := p.ready && !p.stopped
		p.mu.Unlock()
		if runs {
			if err = p.sendCommand(ctx, do); err == nil {
				now := t.recorder.now()
				t.recorder.update(func(b *EventLog) { b.Commands = append(b.Commands, AcknowledgedCommand{Said: do, At: now}) })
				return
			}
		}
		do.Relay = (do.Relay + 1) % len(t.fleet.all)
	}
	if ctx.Err() == nil {
		t.recorder.addError(fmt.Sprintf("no relay took in %s %s: %v", do.What, do.Target, err))
	}
}

// sendCommand hands a word to a relay.
func (p *process) sendCommand(ctx context.Context, do scenario.Said) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	c := p.dialControl()
	defer c.Close()
	q := adminapi.DrainRequest{Target: do.Target, By: "operator", Fleet: true, AllowLast: true}
	switch do.What {
	case scenario.CommandDrain:
		_, err = c.Drain(ctx, q)
	case scenario.CommandUndrain:
		_, err = c.Undrain(ctx, q)
	default:
		_, err = c.Gone(ctx, adminapi.GoneRequest{Relay: relayName(do.Of), Back: do.What == scenario.CommandRestore, By: "operator"})
	}
	return err
}

// queryOutcomes asks relays that run how the messages ended that they took on.
func (t *trial) queryOutcomes(ctx context.Context) {
	all := make([][]*Message, len(t.fleet.all))
	t.recorder.update(func(b *EventLog) {
		b.Queried = make([]bool, len(t.fleet.all))
		for _, m := range b.Messages {
			if m.Status == http.StatusAccepted {
				all[m.Relay] = append(all[m.Relay], m)
			}
		}
	})
	var wg sync.WaitGroup
	for i, p := range t.fleet.all {
		p.mu.Lock()
		runs := p.ready && !p.stopped
		p.mu.Unlock()
		if !runs {
			continue
		}
		t.recorder.update(func(b *EventLog) { b.Queried[i] = true })
		next := make(chan *Message)
		wg.Go(func() {
			defer close(next)
			for _, m := range all[i] {
				next <- m
			}
		})
		for range maxQueries {
			wg.Go(func() {
				for m := range next {
					t.queryOutcome(ctx, p, m)
				}
			})
		}
	}
	wg.Wait()
}

func (t *trial) queryOutcome(ctx context.Context, p *process, m *Message) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/api/"+url.PathEscape(m.ID), nil)
	if err != nil {
		return
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return // it counts as one whose end is not told
	}
	defer drainBody(resp.Body)
	var v adminapi.Message
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil && v.EndedMs > 0 {
		at := t.recorder.since(time.UnixMilli(v.EndedMs))
		t.recorder.update(func(*EventLog) { m.Notices = append(m.Notices, Notice{at, v.State}) })
	}
}
