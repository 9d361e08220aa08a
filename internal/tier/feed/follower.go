package feed

import (
	"context"
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
	pollWait        = 500 * time.Millisecond // a source that has nothing new answers after it
	initialPollWait = time.Second            // a node that cannot be relied on yet keeps the first question so long
	pollGrace       = 450 * time.Millisecond // beyond that a source is silent
	initialBackoff  = 50 * time.Millisecond  // doubled with each failure, with chance, up to retryMost
	maxBackoff      = 800 * time.Millisecond
)

// Caller makes calls to core nodes by address. A call ends with its context.
type Caller interface {
	Call(ctx context.Context, to string, m rpc.Method, body, answer any) error
}

type rpcCaller struct{ *rpc.Clients }

func (c rpcCaller) Call(ctx context.Context, to string, m rpc.Method, body, answer any) error {
	return c.To(to).Call(ctx, m, body, answer)
}

// Follower follows the feed of one core node at a time, and goes to another when that one is silent, cut off or behind.
// Values that are too large for an answer it fetches in pieces meanwhile. It implements Source.
type Follower struct {
	name, class string
	calls       Caller
	log         *process.Ring
	tables      atomic.Pointer[Tables]

	mu      sync.Mutex
	changed chan struct{}
	sources *sources

	replicaMu    sync.Mutex // held while an answer is taken in
	replica      *replica
	fetchers     int       // goroutines that fetch pieces
	nextFailback time.Time // no try to return to the first source before it; of Run alone
	wg           sync.WaitGroup
}

// NewFollower makes a follower that begins at the seeds' core addresses. Run runs it.
func NewFollower(s *process.Settings, calls *rpc.Clients, log *process.Ring) *Follower {
	return newFollower(s, rpcCaller{calls}, log)
}

func newFollower(s *process.Settings, calls Caller, log *process.Ring) *Follower {
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
	f.sources.setSeeds(coreSeeds(s))
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
	f.bootstrap(ctx)
	wait := pollWait
	for failures := 0; ctx.Err() == nil; {
		if f.poll(ctx, wait) {
			failures, wait = 0, pollWait
			f.failback(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		wait = 0 // until a source may be relied on, none is asked to wait for news
		f.failover()
		sleep(ctx, backoff(failures+firstPollBackoffStep, maxPollBackoff))
		failures++
	}
}

// goOn goes to the next core node once all that are known have failed, and has the seeds asked as well.
func (f *Follower) failover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.add(f.sources.seeds)
	f.sources.advance()
}

func (f *Follower) newRequest(wait time.Duration) *ChangesRequest {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	request := f.replica.nextRequest()
	request.Name, request.Class, request.WaitMs = f.name, f.class, wait.Milliseconds()
	return &request
}

// ask makes one call and gives when it was sent: what is heard by it was so then, not when the answer came.
func (f *Follower) sendPoll(ctx context.Context, core string, request *ChangesRequest) (*ChangesResponse, time.Time, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+pollGrace)
	defer cancel()
	sent := time.Now()
	response := new(ChangesResponse)
	err := f.calls.Call(callCtx, core, ChangesCall, request, response)
	return response, sent, err
}

// accept takes an answer in, if its source may be relied on. Of others nothing is taken but whom else there is to ask.
func (f *Follower) handleResponse(ctx context.Context, core string, sent time.Time, request *ChangesRequest, response *ChangesResponse) bool {
	if response.Confirmed && f.applyResponse(sent, request, response) {
		f.mu.Lock()
		f.sources.replace(response.CoreAddrs, core)
		f.mu.Unlock()
		f.startFetchers(ctx)
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.add(response.CoreAddrs)
	return false
}

// begin asks all core nodes at once, until the first that may be relied on has answered: where all machines have just
// started, some do not listen yet, and each that says nothing would cost half a second.
func (f *Follower) bootstrap(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if f.pollAllSources(ctx) {
			return
		}
		sleep(ctx, backoff(attempt, maxBackoff))
	}
}

func (f *Follower) pollAllSources(ctx context.Context) (accepted bool) {
	type told struct {
		core string
		sent time.Time
		a    *ChangesResponse
		err  error
	}
	f.mu.Lock()
	cores := slices.Clone(f.sources.cores)
	f.mu.Unlock()
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan told, len(cores))
	request := f.newRequest(initialPollWait)
	for _, core := range cores {
		go func() {
			a, sent, err := f.sendPoll(pollCtx, core, request)
			results <- told{core, sent, a, err}
		}()
	}
	for range cores {
		result := <-results
		switch {
		case result.err != nil:
		case !accepted && (result.a.Index > 0 || len(result.a.Hosts) > 0) && f.handleResponse(ctx, result.core, result.sent, request, result.a):
			accepted = true
			cancel() // the others need not answer
		default:
			f.mu.Lock()
			f.sources.add(result.a.CoreAddrs)
			f.mu.Unlock()
		}
	}
	return accepted
}

// backoff spreads what many relays do after the same event. It gives half of the longest at least once it has grown.
func backoff(step int, longest time.Duration) time.Duration {
	longestNow := min(longest, initialBackoff<<min(step, 10))
	return longestNow/2 + rand.N(longestNow/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// take swaps the tables for those that a fresh answer makes of them; false where its source is behind.
func (f *Follower) applyResponse(sent time.Time, request *ChangesRequest, response *ChangesResponse) bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	faults, err := f.replica.handleResponse(sent, request, response)
	for _, fault := range faults {
		f.log.Trouble("msg", "an entry of the feed cannot be used", "err", fault)
	}
	if err != nil {
		_ = f.log.Log("msg", "answer not taken", "place", response.Index, "err", err)
		return false
	}
	f.publishTables()
	return true
}

// swap puts the replica's tables in force.
func (f *Follower) publishTables() {
	old, next := f.tables.Load(), f.replica.tables
	f.tables.Store(next)
	if !old.complete() && next.complete() {
		f.log.Say("msg", "tables complete", "place", next.Index, "version", next.Config.Version, "hosts", len(next.Hosts.Hosts))
	}
	if next.Config != nil && (old.Config == nil || old.Config.Version != next.Config.Version) {
		f.log.Say("msg", "acts on", "version", next.Config.Version)
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
