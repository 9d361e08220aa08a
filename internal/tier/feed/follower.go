package feed

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/hosthealth"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/usage"
)

const (
	pollWait  = 500 * time.Millisecond // how long a source without changes delays its response to a long poll
	pollGrace = 450 * time.Millisecond // time-out of a poll beyond its wait
)

// Follower follows the feed of one core node at a time and fails over to another if that one is unresponsive,
// partitioned or behind. Values that are too large for a response are downloaded in chunks concurrently. It implements
// TablesProvider and is safe for concurrent use.
type Follower struct {
	name, class string // of the machine
	calls       Caller
	log         *slog.Logger
	tables      atomic.Pointer[Tables] // the published tables; never nil

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when changed tables are published; guarded by mu
	sources *sources      // guarded by mu

	replicaMu    sync.Mutex // held while a response or chunk is applied and published
	replica      *replica   // guarded by replicaMu
	fetchers     int        // number of running goroutines that fetch chunks; guarded by replicaMu
	nextFailback time.Time  // no failback before it; used by Run only
	outages      outageLogger
	wg           sync.WaitGroup
}

var _ TablesProvider = (*Follower)(nil)

// NewFollower returns a follower for the machine that the settings name, with their seeds as its core nodes. Run
// starts it.
func NewFollower(s *process.Settings, calls *rpc.Clients, log *slog.Logger) *Follower {
	return newFollower(s, rpcCaller{calls}, log)
}

func newFollower(s *process.Settings, calls Caller, log *slog.Logger) *Follower {
	f := &Follower{name: s.NodeName, class: s.MachineClass, calls: calls, log: log,
		changed: make(chan struct{}), replica: newReplica(), outages: outageLogger{log: log}}
	f.tables.Store(f.replica.tables)
	f.sources = newSources(s.NodeName, coreSeeds(s))
	return f
}

// coreSeeds returns the core-node addresses of the seed machines.
func coreSeeds(s *process.Settings) (cores []string) {
	for _, seed := range s.Seeds {
		cores = append(cores, s.PeerAddr(seed, process.CorePort))
	}
	return cores
}

// UpdateSeeds replaces the seeds with those of new settings, and adds them to the known core nodes.
func (f *Follower) UpdateSeeds(s *process.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.setSeeds(coreSeeds(s))
}

// Tables implements TablesProvider.
func (f *Follower) Tables() *Tables { return f.tables.Load() }

// Changed implements TablesProvider.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Placement returns the placement in the tables, nil if none was received yet.
func (f *Follower) Placement() *turnstore.Placement { return f.tables.Load().Placement }

// Core returns the address of the current source.
func (f *Follower) Core() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.current()
}

// ReportHealth sends this machine's observations of hosts to the current source, which forwards them to the head.
func (f *Follower) ReportHealth(ctx context.Context, observations []hosthealth.Observation) error {
	report := &HealthReport{Name: f.name, Observations: observations}
	return f.calls.Call(ctx, f.Core(), HealthCall, report, new(Empty))
}

// ReportUsage sends a usage report of this machine to the core node at addr, or to the current source if addr is empty.
func (f *Follower) ReportUsage(ctx context.Context, addr string, report usage.Report) (UsageReceipt, error) {
	if addr == "" {
		addr = f.Core()
	}
	message := &UsageReport{Name: f.name, Incarnation: report.Incarnation, Windows: report.Windows, Loads: report.Loads}
	var receipt UsageReceipt
	err := f.calls.Call(ctx, addr, UsageCall, message, &receipt)
	return receipt, err
}

// Run follows the feed until the context ends. It must be called once.
func (f *Follower) Run(ctx context.Context) {
	defer f.wg.Wait()
	f.bootstrap(ctx)
	wait := pollWait
	for failures := 0; ctx.Err() == nil; {
		if f.poll(ctx, wait) {
			f.outages.noteUsable(time.Now())
			failures, wait = 0, pollWait
			f.failback(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.outages.noteUnusable(time.Now(), f.knownCores())
		wait = 0 // no long polls until a response is confirmed
		f.failover()
		ctxtime.Sleep(ctx, backoff(failures+firstPollBackoffStep, maxPollBackoff))
		failures++
	}
}

// knownCores returns the addresses of the known core nodes, in the follower's order.
func (f *Follower) knownCores() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sources.cores)
}

// failover makes the next core node the source after all known ones have failed. It adds the seeds again, since all known
// core nodes may have been replaced.
func (f *Follower) failover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.add(f.sources.seeds)
	f.sources.advance()
}

// newRequest returns the next poll request. A source without changes delays its response by wait.
func (f *Follower) newRequest(wait time.Duration) *ChangesRequest {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	request := f.replica.nextRequest()
	request.Name, request.Class, request.WaitMs = f.name, f.class, wait.Milliseconds()
	return &request
}

// sendPoll sends one poll and waits for its response.
func (f *Follower) sendPoll(ctx context.Context, core string, request *ChangesRequest) pollResult {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+pollGrace)
	defer cancel()
	result := pollResult{core: core, sent: time.Now(), request: request, response: new(ChangesResponse)}
	result.err = f.calls.Call(callCtx, core, ChangesCall, request, result.response)
	return result
}

// handleResponse applies a response and makes its core node the source. It reports false if the response is not
// confirmed or the core node is behind; then it only adds the core addresses to the known ones.
func (f *Follower) handleResponse(ctx context.Context, result pollResult) bool {
	if result.response.Confirmed && f.applyResponse(result) {
		f.mu.Lock()
		f.sources.replace(result.response.CoreAddrs, result.core)
		f.mu.Unlock()
		f.startFetchers(ctx)
		return true
	}
	f.addSources(result.response.CoreAddrs)
	return false
}

// addSources adds the core nodes that a rejected response named.
func (f *Follower) addSources(cores []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.add(cores)
}

// applyResponse applies a confirmed response to the replica and publishes the tables. It reports false if the core node
// is behind.
func (f *Follower) applyResponse(result pollResult) bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	faults, err := f.replica.handleResponse(result.sent, result.request, result.response)
	for _, fault := range faults {
		f.log.Error("feed entry not applied", "err", fault)
	}
	if err != nil {
		f.log.Debug("response rejected", "index", result.response.Index, "err", err)
		return false
	}
	f.publishTables()
	return true
}

// publishTables publishes the replica's tables and notifies the waiters of Changed. The caller holds replicaMu.
func (f *Follower) publishTables() {
	old, next := f.tables.Load(), f.replica.tables
	f.tables.Store(next)
	if !old.complete() && next.complete() {
		f.log.Info("tables complete", "index", next.Index, "version", next.Config.Version, "hosts", len(next.Hosts.Hosts))
	}
	if next.Config != nil && (old.Config == nil || old.Config.Version != next.Config.Version) {
		f.log.Info("configuration applied", "version", next.Config.Version)
	}
	if next.Index == old.Index && next.Hosts == old.Hosts && next.Config == old.Config && next.Placement == old.Placement {
		return
	}
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}
