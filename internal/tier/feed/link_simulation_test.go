package feed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
)

// The simulation checks that a follower applies a change within applyTime, whatever happens on its other links, if it
// could reach some node in both directions for contactTime before the change was committed and ever since.
const (
	contactTime = 3 * time.Second // contact_ms
	applyTime   = 2 * time.Second // config_apply_ms
)

// linkFault is a fault planted around a follower.
type linkFault string

const (
	neverFailsOver      linkFault = "it polls a single core node"
	callsWithoutTimeout linkFault = "calls have no time-out"
	staleIsConfirmed    linkFault = "an isolated node sends confirmed responses"
	membersNotSent      linkFault = "responses name no core nodes"
)

// direction is a direction of a link between a follower and a node.
type direction int

const (
	requests direction = iota
	responses
)

// link is the state of the link between a follower and a node.
type link struct {
	cut         [2]bool
	known       bool      // the follower has the node's address
	usableSince time.Time // since when it is known and open in both directions and the node not isolated; zero otherwise
}

// open reports whether both directions are open.
func (l *link) open() bool { return !l.cut[requests] && !l.cut[responses] }

// simulatedCore is a core node. Unless it is isolated it has all committed entries and its responses are confirmed.
type simulatedCore struct {
	fakeSource
	addr     string
	isolated bool
	members  []string // when it was isolated, the members at that time
}

// simulatedFollower is a real follower with simulated links.
type simulatedFollower struct {
	*Follower
	sim       *linkSimulation
	name      string
	startedAt time.Time
	links     map[string]*link
}

// linkSimulation simulates followers and core nodes with links that can be cut in each direction separately.
type linkSimulation struct {
	mu           sync.Mutex
	rand         *rand.Rand
	fault        linkFault
	log          commitLog
	nodes        []*simulatedCore
	followers    []*simulatedFollower
	changed      chan struct{}
	callCounts   map[string]int // by address
	checkedCount int
	events       []string
	failures     []string
	startedAt    time.Time
	ctx          context.Context
	wg           sync.WaitGroup
}

func newLinkSimulation(ctx context.Context, seed uint64, nodes int, fault linkFault) *linkSimulation {
	sim := &linkSimulation{rand: rand.New(rand.NewPCG(seed, 0)), fault: fault, changed: make(chan struct{}),
		callCounts: map[string]int{}, startedAt: time.Now(), ctx: ctx}
	for i := range nodes {
		sim.nodes = append(sim.nodes, &simulatedCore{addr: addressOf(fmt.Sprint("core-", i))})
	}
	sim.log.commitConfig(fewRoutes, 0)
	sim.updateLocked()
	return sim
}

func (s *linkSimulation) addrs() (all []string) {
	for _, n := range s.nodes {
		all = append(all, n.addr)
	}
	return all
}

// logf adds a line to the event log. The caller holds the lock.
func (s *linkSimulation) logf(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%6d ms ", time.Since(s.startedAt).Milliseconds())+fmt.Sprintf(format, args...))
}

// updateLocked replicates all entries to the nodes that are not isolated, updates the links and wakes waiting calls. The
// caller holds the lock.
func (s *linkSimulation) updateLocked() {
	for _, node := range s.nodes {
		if !node.isolated {
			node.commitIndex, node.members = int64(len(s.log.entries)), s.addrs()
		}
		for _, f := range s.followers {
			l := f.links[node.addr]
			switch usable := l.known && l.open() && !node.isolated; {
			case !usable:
				l.usableSince = time.Time{}
			case l.usableSince.IsZero():
				l.usableSince = time.Now()
			}
		}
	}
	s.wakeLocked()
}

// wakeLocked wakes waiting calls. The caller holds the lock.
func (s *linkSimulation) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// start starts a follower with seeds. The caller holds the lock.
func (s *linkSimulation) start(seeds []string) *simulatedFollower {
	follower := &simulatedFollower{sim: s, name: fmt.Sprint("front-", len(s.followers)), startedAt: time.Now(), links: map[string]*link{}}
	settings := settingsFor(seeds)
	settings.NodeName = follower.name
	follower.Follower = newFollower(settings, follower, process.NewLogger(io.Discard))
	for _, node := range s.nodes {
		follower.links[node.addr] = &link{known: slices.Contains(seeds, strings.TrimSuffix(node.addr, ":7000"))}
	}
	s.followers = append(s.followers, follower)
	s.logf("%s starts at %v", follower.name, seeds)
	s.updateLocked()
	s.wg.Go(func() { follower.Run(s.ctx) })
	s.wg.Go(follower.watch)
	return follower
}

// watch checks all changes of the follower's tables.
func (f *simulatedFollower) watch() {
	old := &Tables{}
	for {
		changed := f.Changed()
		next := f.Tables()
		f.sim.mu.Lock()
		if err := f.sim.log.check(old, next); err != nil {
			f.sim.fail("%s: %v", f.name, err)
		}
		f.sim.mu.Unlock()
		old = next
		select {
		case <-changed:
		case <-f.sim.ctx.Done():
			return
		}
	}
}

func (s *linkSimulation) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
	s.logf("FAILED: "+format, args...)
}

// Call implements Caller. Like bytes in a socket, a request or response on a cut direction is delivered once that is open
// again.
func (f *simulatedFollower) Call(ctx context.Context, to string, m rpc.Method, body, response any) error {
	sim := f.sim
	if sim.fault == neverFailsOver {
		to = sim.nodes[0].addr
	}
	if sim.fault == callsWithoutTimeout {
		ctx = sim.ctx
	}
	node := sim.node(to)
	if node == nil {
		return rpc.ErrUnsent
	}
	sim.mu.Lock()
	sim.callCounts[to]++
	sim.mu.Unlock()
	ctxtime.Sleep(ctx, linkDelay)
	if !f.awaitOpen(ctx, to, requests) {
		return rpc.ErrLost
	}
	encoded := sim.handle(ctx, node, m, body)
	ctxtime.Sleep(ctx, linkDelay)
	if encoded == nil || !f.awaitOpen(ctx, to, responses) {
		return rpc.ErrLost
	}
	f.learnMembers(node)
	return rpc.Decode(encoded, response)
}

// learnMembers records that a response of a node made its members known to the follower.
func (f *simulatedFollower) learnMembers(node *simulatedCore) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	for _, addr := range node.members {
		f.links[addr].known = true
	}
	f.sim.updateLocked()
}

func (s *linkSimulation) node(addr string) *simulatedCore {
	for _, n := range s.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// awaitOpen waits until a direction of a link is open; false if the call ends before.
func (f *simulatedFollower) awaitOpen(ctx context.Context, to string, d direction) bool {
	for {
		f.sim.mu.Lock()
		cut, changed := f.links[to].cut[d], f.sim.changed
		f.sim.mu.Unlock()
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// handle returns a node's response. A poll without changes waits for as long as it requests, 300 ms at an isolated node.
func (s *linkSimulation) handle(ctx context.Context, node *simulatedCore, m rpc.Method, body any) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == ChunkCall {
		node.values.Update(s.log.latest(node.commitIndex))
		return rpc.Encode(node.values.Chunk(body.(*ChunkRequest)))
	}
	request := wireCopy(body.(*ChangesRequest))
	arrived := time.Now()
	for {
		confirmed := node.commitIndex >= request.ReceivedIndex && (!node.isolated || s.fault == staleIsConfirmed)
		wait := time.Duration(request.WaitMs) * time.Millisecond
		if !confirmed {
			wait = min(wait, 300*time.Millisecond)
		}
		if hasUpdate := confirmed && node.commitIndex > request.ReceivedIndex; hasUpdate || time.Since(arrived) >= wait {
			response := &ChangesResponse{Index: node.commitIndex}
			if confirmed {
				response = node.respond(&s.log, request, true)
			}
			if s.fault != membersNotSent {
				response.CoreAddrs = slices.Clone(node.members)
			}
			return rpc.Encode(response)
		}
		changed, timer := s.changed, time.NewTimer(wait-time.Since(arrived))
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// commitLocked commits a change and checks the followers after applyTime. The caller holds the lock.
func (s *linkSimulation) commitLocked() {
	if !slices.ContainsFunc(s.nodes, func(n *simulatedCore) bool { return !n.isolated }) {
		return
	}
	e := s.log.commitConfig(fewRoutes, 0)
	committed := time.Now()
	s.logf("index %d is committed", e.Index)
	s.updateLocked()
	s.wg.Go(func() {
		ctxtime.Sleep(s.ctx, applyTime)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx.Err() != nil {
			return
		}
		for _, f := range s.followers {
			s.checkApplied(f, e.Index, committed)
		}
	})
}

// checkApplied checks that a follower has applied a change if it could reach a node long enough.
func (s *linkSimulation) checkApplied(f *simulatedFollower, index int64, committed time.Time) {
	source := f.reachableSince(committed.Add(-contactTime))
	if source == "" {
		return
	}
	s.checkedCount++
	if appliedIndex := f.Tables().Index; appliedIndex < index {
		s.fail("%s has index %d, not %d, %v after it was committed, and could reach %s",
			f.name, appliedIndex, index, applyTime, source)
	}
}

// reachableSince returns a node that the follower has been able to reach since a time, empty if there is none.
func (f *simulatedFollower) reachableSince(since time.Time) string {
	if f.startedAt.After(since) {
		return ""
	}
	for _, n := range f.sim.nodes {
		if l := f.links[n.addr]; !l.usableSince.IsZero() && !l.usableSince.After(since) {
			return n.addr
		}
	}
	return ""
}
