// Package chaostest plays a scenario with real processes: relays of the program, started as the platform starts them, with
// stand-in agents, partners and clients round them and links between them that can be cut. What it counts is what
// partners, agents and clients saw, never what a relay says of itself. Everything is on loopback, bounded in count and
// time, and gone when it ends.
package chaostest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

const (
	sampleEvery = 100 * time.Millisecond
	settle      = 500 * time.Millisecond // beyond what the rules allow, before the books are closed
	warm        = 300 * time.Millisecond // from the last relay that serves to the first message
)

// Options of a trial.
type Options struct {
	Program  string // path of the relay's program
	Relays   int    // 0 for the scenario's
	Seed     uint64 // 0 for the scenario's
	Dir      string // for the relays' folders and logs; they stay
	Plant    string // a fault to switch in (internal/relay/faultinject), in a program that has them
	Progress func(text string)
}

// Run plays a scenario, and returns its books.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*Book, error) {
	if o.Relays == 0 {
		o.Relays = s.Relays
	}
	if o.Relays < 1 || o.Relays > scenario.MaxRelays {
		return nil, fmt.Errorf("%d relays, must be from 1 to %d", o.Relays, scenario.MaxRelays)
	}
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	plan := scenario.NewPlan(s, o.Relays, o.Seed, func(dest int) int {
		if s.Appliances {
			dest = config.Number(s.Partners[dest].Name)
		}
		return fleetlimit.Coordinators(dest, o.Relays)[0]
	})
	t := &trial{plan: plan, options: o, books: newLedger(plan)}
	defer t.close()
	if err := t.raise(ctx); err != nil {
		return nil, err
	}
	err := t.play(ctx)
	t.close()
	t.collect()
	return t.books.book, err
}

// trial is one that is played.
type trial struct {
	plan    scenario.Plan
	options Options
	books   *ledger
	effects *standin.Ledger
	hosts   [][]*standin.Host // by destination
	agents  []*standin.Platform
	links   *links
	fleet   *fleet
	closed  bool
}

// raise starts all that takes part.
func (t *trial) raise(ctx context.Context) error {
	s := t.plan.Scenario
	t.effects = standin.NewLedger(15 * time.Second)
	var servers []standin.Server
	for dest, p := range s.Partners {
		t.hosts = append(t.hosts, nil)
		for _, h := range p.Hosts {
			host, err := standin.NewHost(p.Name+"/"+h.Name, "here", t.effects, standin.Behaviour{Latency: h.Latency}, true)
			if err != nil {
				return err
			}
			l := standin.Limit{Rate: h.Rate, Burst: h.Burst, Debt: h.Debt, AtOnce: h.MaxConcurrent, Wait: h.RetryAfter}
			if h.ColdStart {
				l.ColdFrom, l.Cold, l.Factor, l.Fall = s.Rules.ColdFrom, s.Rules.Cold, s.Rules.OverloadFactor, s.Rules.Fall
			}
			host.SetLimit(l)
			t.hosts[dest] = append(t.hosts[dest], host)
			servers = append(servers, standin.Server{ID: "s-" + p.Name + "-" + h.Name, Addr: host.Addr(), Zone: "here", Kind: "partner", Cell: dest,
				State: "active", Weight: 1})
		}
	}
	var all []*process
	var notes []netip.AddrPort
	net8 := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	for i := range t.plan.Relays {
		listen, at, err := place(net8, i)
		if err != nil {
			return fmt.Errorf("an address for relay %d: %w", i, err)
		}
		agent, err := standin.NewAgent(servers, func(id, status string) { t.told(id, status) })
		if err != nil {
			return err
		}
		t.agents = append(t.agents, agent)
		notes = append(notes, at)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostOpen, IdleConnTimeout: 2 * time.Second,
			DialContext: (&net.Dialer{Timeout: patience}).DialContext}}
		all = append(all, &process{index: i, alone: s.Appliances, program: t.options.Program, plant: t.options.Plant, dir: t.options.Dir, listen: listen, notes: at, agent: agent, books: t.books, client: client})
	}
	var err error
	if t.links, err = newLinks(notes, t.plan.Seed, t.books.now); err != nil {
		return err
	}
	peers := t.links.peers()
	for _, p := range all {
		if err := p.configure(t.plan, peers, servers); err != nil {
			return err
		}
	}
	t.fleet = newFleet(all, t.books)
	return t.fleet.start(ctx, t.plan.InitialRelays())
}

// told writes down a notice.
func (t *trial) told(id, status string) {
	now := t.books.now()
	t.books.write(func(b *Book) {
		if m := b.Messages[id]; m != nil {
			m.Ends = append(m.Ends, End{now, status})
		} else {
			b.Trouble = append(b.Trouble, fmt.Sprintf("a notice %q for message %q, which nobody handed in", status, id))
		}
	})
}

// play plays the plan.
func (t *trial) play(ctx context.Context) error {
	time.Sleep(warm)
	shift := t.books.now()
	t.books.start()
	for _, p := range t.fleet.all { // they began to live before the trial's time
		p.mu.Lock()
		p.since -= shift
		p.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { t.steps(ctx) })
	wg.Go(func() { t.sample(ctx) })
	wg.Go(func() { t.progress(ctx) })
	wg.Go(func() { t.watchRoom(ctx) })
	c := &clients{plan: t.plan, fleet: t.fleet, books: t.books}
	c.run(ctx)
	rest := time.Duration(0) // what is held has until its time is up
	for _, p := range t.plan.Scenario.Partners {
		for _, l := range p.Loads {
			rest = max(rest, l.Timeout)
		}
	}
	sleep(ctx, rest+readyIn+settle)
	if t.plan.Scenario.Appliances {
		t.askEnds(ctx)
	}
	err := ctx.Err()
	cancel()
	wg.Wait()
	return err
}

// sleep waits, unless the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// steps carries the plan out.
func (t *trial) steps(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range t.plan.Steps {
		if !sleep(ctx, s.At-t.books.now()) {
			return
		}
		switch do := s.Action.(type) {
		case scenario.Network:
			do.Since = t.books.now()
			t.links.network.Store(&do)
		case scenario.Stopped:
			t.fleet.do(do.Relay, func(p *process) error { p.stand(do.Paused); return nil })
		case scenario.Killed:
			t.fleet.do(do.Relay, func(p *process) error { p.end(do.Graceful); return nil })
		case scenario.Started:
			t.fleet.do(do.Relay, func(p *process) error {
				if do.EmptyDisk && p.cmd == nil {
					if err := p.empty(); err != nil {
						return err
					}
				}
				return p.start(ctx)
			})
		case scenario.Relisted:
			t.fleet.do(do.Relay, func(p *process) error { return p.relist(do.Size) })
		case scenario.AgentSilent:
			t.agents[do.Relay].Silence(do.Silent)
		case scenario.Said:
			wg.Go(func() { t.say(ctx, do) })
		case scenario.HostSet:
			if err := t.set(do); err != nil {
				t.books.trouble(err.Error())
			}
		}
	}
}

// set has a host be as told.
func (t *trial) set(do scenario.HostSet) error {
	h := t.hosts[do.Partner][do.Host]
	h.Scale(do.Factor)
	h.Set(standin.Behaviour{Latency: t.plan.Scenario.Partners[do.Partner].Hosts[do.Host].Latency, Hang: do.Hang, Refuse: do.Wait > 0, Wait: do.Wait})
	if do.Down {
		h.Down()
		return nil
	}
	return h.Up()
}

// sample writes down what hosts take.
func (t *trial) sample(ctx context.Context) {
	last := t.books.now()
	for sleep(ctx, sampleEvery) {
		now := t.books.now()
		for dest, hosts := range t.hosts {
			k := Taken{Dest: dest, From: last, For: now - last}
			for i, h := range hosts {
				rate, _ := h.Takes()
				if h.Refuses() {
					rate = 0
				}
				k.Calls += rate * k.For.Seconds()
				k.Burst += t.plan.Scenario.Partners[dest].Hosts[i].Burst
			}
			t.books.write(func(b *Book) { b.Took = append(b.Took, k) })
		}
		last = now
	}
}

// progress tells how it goes, every second.
func (t *trial) progress(ctx context.Context) {
	handed, effects := 0, 0
	for n := 1; sleep(ctx, time.Duration(n)*time.Second-t.books.now()); n++ {
		var now int
		t.books.write(func(b *Book) { now = len(b.Messages) })
		done, _ := t.effects.Total()
		t.options.Progress(fmt.Sprintf("%4ds  %-16s handed in %4d  delivered %4d", n, t.plan.Phases[t.plan.PhaseAt(time.Duration(n)*time.Second-1)].Name, now-handed, done-effects))
		handed, effects = now, done
	}
}

// close ends all that runs.
func (t *trial) close() {
	if t.closed {
		return
	}
	t.closed = true
	t.books.write(func(b *Book) { b.End = t.books.now() })
	if t.fleet != nil {
		used := t.fleet.close()
		t.books.write(func(b *Book) { b.CPU = used })
	}
	if t.links != nil {
		t.links.close()
	}
	for _, hosts := range t.hosts {
		for _, h := range hosts {
			h.Close()
		}
	}
	for _, a := range t.agents {
		a.Close()
	}
}

// collect takes the hosts' books over.
func (t *trial) collect() {
	b := t.books.book
	for dest, hosts := range t.hosts {
		for i, h := range hosts {
			_, falls := h.Takes()
			b.Falls += falls
			for _, c := range h.Calls() {
				b.Calls = append(b.Calls, Call{dest, i, c.ID, t.books.at(c.First), t.books.at(c.Last), c.Status, c.Wait, c.Applied})
			}
		}
	}
	b.Notes, b.Bytes, b.Lost = int(t.links.notes.Load()), int(t.links.bytes.Load()), int(t.links.lost.Load())
}

// TempDir makes a folder for a trial, with a path short enough for Unix sockets in it.
func TempDir() (string, error) { return os.MkdirTemp("", "larch-trial") }

// Program tells whether a path is that of a program that can be started.
func Program(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%s cannot be run", path)
	}
	return nil
}
