package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/turnstore"
)

const (
	pollWait  = 500 * time.Millisecond // a source that has nothing new answers after it
	beginWait = time.Second            // a node that cannot be relied on yet keeps the first question so long
	pollGrace = 450 * time.Millisecond // beyond that a source is silent
	retryWait = 50 * time.Millisecond  // doubled with each failure, with chance, up to retryMost
	retryMost = 800 * time.Millisecond
)

// Caller makes calls to core nodes by address. A call ends with its context.
type Caller interface {
	Call(ctx context.Context, to string, m rpc.Method, body, answer any) error
}

type clients struct{ *rpc.Clients }

func (c clients) Call(ctx context.Context, to string, m rpc.Method, body, answer any) error {
	return c.To(to).Call(ctx, m, body, answer)
}

// Follower follows the feed of one core node at a time, and goes to another when that one is silent, cut off or behind.
// Values that are too large for an answer it fetches in pieces meanwhile. It implements Source.
type Follower struct {
	name, class string
	calls       Caller
	log         *slog.Logger
	tables      atomic.Pointer[Tables]

	mu      sync.Mutex
	changed chan struct{}
	sources *sources

	state    sync.Mutex // held while an answer is taken in
	replica  *replica
	fetchers int       // goroutines that fetch pieces
	homeAt   time.Time // no try to return to the first source before it; of Run alone
	wg       sync.WaitGroup
}

// NewFollower makes a follower that begins at the seeds' core addresses. Run runs it.
func NewFollower(s *process.Settings, calls *rpc.Clients, log *slog.Logger) *Follower {
	return newFollower(s, clients{calls}, log)
}

func newFollower(s *process.Settings, calls Caller, log *slog.Logger) *Follower {
	f := &Follower{name: s.NodeName, class: s.MachineClass, calls: calls, log: log, changed: make(chan struct{}), replica: newReplica()}
	f.tables.Store(f.replica.tables)
	f.sources = newSources(s.NodeName, coreSeeds(s))
	return f
}

func coreSeeds(s *process.Settings) (cores []string) {
	for _, seed := range s.Seeds {
		cores = append(cores, s.PeerAddr(seed, process.CorePort))
	}
	return cores
}

// UpdateSeeds takes in the core nodes that settings name, beside those that are known.
func (f *Follower) UpdateSeeds(s *process.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.reseed(coreSeeds(s))
}

// Tables implements Source.
func (f *Follower) Tables() *Tables { return f.tables.Load() }

// Changed implements Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Placement is that of the tables, nil for none.
func (f *Follower) Placement() *turnstore.Placement { return f.tables.Load().Placement }

// Core is the address of the core node that is followed.
func (f *Follower) Core() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.current()
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.wg.Wait()
	f.begin(ctx)
	wait := pollWait
	for failed := 0; ctx.Err() == nil; {
		if f.poll(ctx, wait) {
			failed, wait = 0, pollWait
			f.goHome(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		wait = 0 // until a source may be relied on, none is asked to wait for news
		f.goOn()
		pause(ctx, backoff(failed+firstRetry, roundMost))
		failed++
	}
}

// goOn goes to the next core node once all that are known have failed, and has the seeds asked as well.
func (f *Follower) goOn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.add(f.sources.seeds)
	f.sources.move()
}

func (f *Follower) request(wait time.Duration) *ChangesRequest {
	f.state.Lock()
	defer f.state.Unlock()
	q := f.replica.request()
	q.Name, q.Class, q.WaitMs = f.name, f.class, wait.Milliseconds()
	return &q
}

// ask makes one call and gives when it was sent: what is heard by it was so then, not when the answer came.
func (f *Follower) ask(ctx context.Context, core string, q *ChangesRequest) (*ChangesResponse, time.Time, error) {
	one, done := context.WithTimeout(ctx, time.Duration(q.WaitMs)*time.Millisecond+pollGrace)
	defer done()
	sent := time.Now()
	a := new(ChangesResponse)
	err := f.calls.Call(one, core, ChangesCall, q, a)
	return a, sent, err
}

// accept takes an answer in, if its source may be relied on. Of others nothing is taken but whom else there is to ask.
func (f *Follower) accept(ctx context.Context, core string, sent time.Time, q *ChangesRequest, a *ChangesResponse) bool {
	if a.Confirmed && f.take(sent, q, a) {
		f.mu.Lock()
		f.sources.replace(a.CoreAddrs, core)
		f.mu.Unlock()
		f.fetch(ctx)
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.add(a.CoreAddrs)
	return false
}

// begin asks all core nodes at once, until the first that may be relied on has answered: where all machines have just
// started, some do not listen yet, and each that says nothing would cost half a second.
func (f *Follower) begin(ctx context.Context) {
	for again := 0; ctx.Err() == nil; again++ {
		if f.askAll(ctx) {
			return
		}
		pause(ctx, backoff(again, retryMost))
	}
}

func (f *Follower) askAll(ctx context.Context) (begun bool) {
	type told struct {
		core string
		sent time.Time
		a    *ChangesResponse
		err  error
	}
	f.mu.Lock()
	cores := slices.Clone(f.sources.cores)
	f.mu.Unlock()
	all, done := context.WithCancel(ctx)
	defer done()
	answers := make(chan told, len(cores))
	q := f.request(beginWait)
	for _, core := range cores {
		go func() {
			a, sent, err := f.ask(all, core, q)
			answers <- told{core, sent, a, err}
		}()
	}
	for range cores {
		t := <-answers
		switch {
		case t.err != nil:
		case !begun && (t.a.Index > 0 || len(t.a.Hosts) > 0) && f.accept(ctx, t.core, t.sent, q, t.a):
			begun = true
			done() // the others need not answer
		default:
			f.mu.Lock()
			f.sources.add(t.a.CoreAddrs)
			f.mu.Unlock()
		}
	}
	return begun
}

// backoff spreads what many relays do after the same event. It gives half of the longest at least once it has grown.
func backoff(again int, longest time.Duration) time.Duration {
	most := min(longest, retryWait<<min(again, 10))
	return most/2 + rand.N(most/2+1)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// take swaps the tables for those that a fresh answer makes of them; false where its source is behind.
func (f *Follower) take(sent time.Time, q *ChangesRequest, a *ChangesResponse) bool {
	f.state.Lock()
	defer f.state.Unlock()
	faults, err := f.replica.take(sent, q, a)
	for _, fault := range faults {
		f.log.Error("an entry of the feed cannot be used", "err", fault)
	}
	if err != nil {
		f.log.Debug("answer not taken", "index", a.Index, "err", err)
		return false
	}
	f.swap()
	return true
}

// swap puts the replica's tables in force.
func (f *Follower) swap() {
	old, next := f.tables.Load(), f.replica.tables
	f.tables.Store(next)
	if !old.complete() && next.complete() {
		f.log.Info("tables complete", "index", next.Index, "version", next.Config.Version, "hosts", len(next.Hosts.Hosts))
	}
	if next.Config != nil && (old.Config == nil || old.Config.Version != next.Config.Version) {
		f.log.Info("acts on", "version", next.Config.Version)
	}
	if next.Index == old.Index && next.Hosts == old.Hosts && next.Config == old.Config && next.Placement == old.Placement {
		return
	}
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}

var _ Source = (*Follower)(nil)
