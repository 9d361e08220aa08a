package feed

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
)

// A one-way course plays followers and core nodes between which each direction of each link may be cut on its own. A
// follower that was in touch with some node, both ways, for contactTime before a change was committed, and stays so, must
// act on it within applyTime, whatever happens on its other links.
const (
	contactTime = 3 * time.Second // contact_ms
	applyTime   = 2 * time.Second // config_apply_ms
)

// oneWayFault is one that is planted around a follower.
type linkFault string

const (
	neverFailsOver      linkFault = "it asks one core node only"
	callsWithoutTimeout linkFault = "its calls have no time limit"
	staleIsConfirmed    linkFault = "a node that is cut off from the others calls itself fresh"
	membersNotSent      linkFault = "answers name no core nodes"
)

// direction of bytes on a link between a follower and a node.
type direction int

const (
	requests direction = iota
	responses
)

// link is what lies between one follower and one node.
type link struct {
	cut   [2]bool
	known bool      // the follower was told of the node
	since time.Time // it was told, both ways are open, and the node is in touch with the others, since then
}

func (l *link) open() bool { return !l.cut[requests] && !l.cut[responses] }

// oneWayNode is a core node: it answers fresh while it is in touch with the others, and has all that is committed then.
type simulatedCore struct {
	fakeSource
	addr     string
	isolated bool
	members  []string // as it knew them when it was left alone
}

// oneWayFollower is a real follower, with its links.
type simulatedFollower struct {
	*Follower
	sim       *linkSimulation
	name      string
	startedAt time.Time
	links     map[string]*link
}

type linkSimulation struct {
	mu           sync.Mutex
	rand         *rand.Rand
	fault        linkFault
	log          commitLog
	nodes        []*simulatedCore
	followers    []*simulatedFollower
	changed      chan struct{}
	callCounts   map[string]int // by node
	checkedCount int
	events       []string
	failures     []string
	startedAt    time.Time
	ctx          context.Context
	wg           sync.WaitGroup
}

func newLinkSimulation(ctx context.Context, seed uint64, nodes int, fault linkFault) *linkSimulation {
	sim := &linkSimulation{rand: rand.New(rand.NewPCG(seed, 0)), fault: fault, changed: make(chan struct{}), callCounts: map[string]int{}, startedAt: time.Now(), ctx: ctx}
	for i := range nodes {
		sim.nodes = append(sim.nodes, &simulatedCore{addr: addressOf(fmt.Sprint("core-", i))})
	}
	sim.log.commitConfig(fewRoutes, 0)
	sim.updateLocked()
	return sim
}

func (w *linkSimulation) addrs() (all []string) {
	for _, n := range w.nodes {
		all = append(all, n.addr)
	}
	return all
}

// note keeps a line of the story of the course. It is called with the lock held.
func (w *linkSimulation) logf(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf("%6d ms ", time.Since(w.startedAt).Milliseconds())+fmt.Sprintf(format, args...))
}

// update gives the nodes that are in touch what is committed, and wakes calls that wait. It is called with the lock held.
func (w *linkSimulation) updateLocked() {
	for _, n := range w.nodes {
		if !n.isolated {
			n.commitIndex, n.members = int64(len(w.log.entries)), w.addrs()
		}
		for _, f := range w.followers {
			l := f.links[n.addr]
			switch usable := l.known && l.open() && !n.isolated; {
			case !usable:
				l.since = time.Time{}
			case l.since.IsZero():
				l.since = time.Now()
			}
		}
	}
	w.wakeLocked()
}

// wake has calls that wait look again. It is called with the lock held.
func (w *linkSimulation) wakeLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// start starts a follower that begins at the seeds.
func (w *linkSimulation) start(seeds []string) *simulatedFollower {
	f := &simulatedFollower{sim: w, name: fmt.Sprint("front-", len(w.followers)), startedAt: time.Now(), links: map[string]*link{}}
	s := settingsFor(seeds)
	s.NodeName = f.name
	f.Follower = newFollower(s, f, process.NewRing(io.Discard))
	for _, n := range w.nodes {
		f.links[n.addr] = &link{known: slices.Contains(seeds, strings.TrimSuffix(n.addr, ":7000"))}
	}
	w.followers = append(w.followers, f)
	w.logf("%s starts at %v", f.name, seeds)
	w.updateLocked()
	w.wg.Go(func() { f.Run(w.ctx) })
	w.wg.Go(f.watch)
	return f
}

// watch judges all changes of the follower's tables: they never go back, and have nothing that was not committed.
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

func (w *linkSimulation) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
	w.logf("FAILED: "+format, args...)
}

// Call implements Caller: a request that is held up is handled once its direction is open again, as bytes in a socket
// are, and so is an answer.
func (f *simulatedFollower) Call(ctx context.Context, to string, m rpc.Method, body, answer any) error {
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
	sleep(ctx, linkDelay)
	if !f.awaitOpen(ctx, to, requests) {
		return rpc.ErrLost
	}
	encoded := sim.handle(ctx, node, m, body)
	sleep(ctx, linkDelay)
	if encoded == nil || !f.awaitOpen(ctx, to, responses) {
		return rpc.ErrLost
	}
	f.learnMembers(node)
	return rpc.Decode(encoded, answer)
}

// told notes that a follower has an answer of a node, and so knows the members that the node knows.
func (f *simulatedFollower) learnMembers(n *simulatedCore) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	for _, addr := range n.members {
		f.links[addr].known = true
	}
	f.sim.updateLocked()
}

func (w *linkSimulation) node(addr string) *simulatedCore {
	for _, n := range w.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// pass waits until a direction of a link is open; false if the call ends before.
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

// handle gives a node's answer; a poll without news rests for as long as it asks, and 300 ms at a node that is alone.
func (w *linkSimulation) handle(ctx context.Context, n *simulatedCore, m rpc.Method, body any) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m == ChunkCall {
		n.values.Update(w.log.latest(n.commitIndex))
		return rpc.Encode(n.values.Chunk(body.(*ChunkRequest)))
	}
	request := wireCopy(body.(*ChangesRequest))
	arrived := time.Now()
	for {
		confirmed := n.commitIndex >= request.ReceivedIndex && (!n.isolated || w.fault == staleIsConfirmed)
		wait := time.Duration(request.WaitMs) * time.Millisecond
		if !confirmed {
			wait = min(wait, 300*time.Millisecond)
		}
		if hasUpdate := confirmed && n.commitIndex > request.ReceivedIndex; hasUpdate || time.Since(arrived) >= wait {
			response := &ChangesResponse{Index: n.commitIndex}
			if confirmed {
				response = n.respond(&w.log, request, true)
			}
			if w.fault != membersNotSent {
				response.CoreAddrs = slices.Clone(n.members)
			}
			return rpc.Encode(response)
		}
		changed, timer := w.changed, time.NewTimer(wait-time.Since(arrived))
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		w.mu.Lock()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// commit commits a change, and has it judged once followers must act on it. It is called with the lock held.
func (w *linkSimulation) commitLocked() {
	if !slices.ContainsFunc(w.nodes, func(n *simulatedCore) bool { return !n.isolated }) {
		return
	}
	e := w.log.commitConfig(fewRoutes, 0)
	committed := time.Now()
	w.logf("index %d is committed", e.Index)
	w.updateLocked()
	w.wg.Go(func() {
		sleep(w.ctx, applyTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() != nil {
			return
		}
		for _, f := range w.followers {
			w.checkApplied(f, e.Index, committed)
		}
	})
}

// judge tells whether a follower that was in touch acts on a change.
func (w *linkSimulation) checkApplied(f *simulatedFollower, index int64, committed time.Time) {
	source := f.reachableSince(committed.Add(-contactTime))
	if source == "" {
		return
	}
	w.checkedCount++
	if appliedIndex := f.Tables().Index; appliedIndex < index {
		w.fail("%s has index %d, not %d, %v after it was committed, and was in touch with %s", f.name, appliedIndex, index, applyTime, source)
	}
}

// inTouch is a node with which a follower has been in touch since a moment, empty for none.
func (f *simulatedFollower) reachableSince(since time.Time) string {
	if f.startedAt.After(since) {
		return ""
	}
	for _, n := range f.sim.nodes {
		if l := f.links[n.addr]; !l.since.IsZero() && !l.since.After(since) {
			return n.addr
		}
	}
	return ""
}

// set cuts or opens directions of a link. It is called with the lock held.
func (f *simulatedFollower) setLink(addr string, cut bool, directions ...direction) {
	for _, d := range directions {
		f.links[addr].cut[d] = cut
	}
	f.sim.logf("%s and %s: requests cut %v, answers cut %v", f.name, addr, f.links[addr].cut[requests], f.links[addr].cut[responses])
}

// drawnDirections are one direction, or both.
func (w *linkSimulation) randomDirections() []direction {
	return [][]direction{{requests}, {responses}, {requests, responses}}[w.rand.IntN(3)]
}

// step does one drawn thing. It is called with the lock held.
func (w *linkSimulation) randomStep() {
	f := w.followers[w.rand.IntN(len(w.followers))]
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	switch w.rand.IntN(9) {
	case 0, 1: // its source, just as a change is committed
		f.setLink(f.Core(), true, w.randomDirections()...)
		w.updateLocked()
		w.commitLocked()
	case 2: // all links but one
		ds := w.randomDirections()
		for _, other := range w.nodes {
			f.setLink(other.addr, other != n, ds...)
		}
		f.setLink(n.addr, false, requests, responses)
	case 3: // all links
		for _, other := range w.nodes {
			f.setLink(other.addr, true, w.randomDirections()...)
		}
	case 4: // the cut moves from its source to the next
		next := f.nextSource()
		f.setLink(f.Core(), true, w.randomDirections()...)
		f.setLink(next, false, requests, responses)
	case 5: // a cut ends just as a change is committed
		for _, other := range w.nodes {
			f.setLink(other.addr, false, requests, responses)
		}
		w.updateLocked()
		w.commitLocked()
	case 6: // a node is cut off from the others, or joins them again
		n.isolated = !n.isolated
		w.logf("%s alone: %v", n.addr, n.isolated)
		w.updateLocked()
	case 7: // a follower starts, and knows some nodes only
		if len(w.followers) < 6 {
			w.start(w.randomSeeds())
		}
	case 8:
		w.commitLocked()
	}
	w.updateLocked()
}

// next is a node behind the one that a follower follows.
func (f *simulatedFollower) nextSource() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.next(f.sources.current())
}

// drawnSeeds are some nodes; those that are alone first, now and then.
func (w *linkSimulation) randomSeeds() (seeds []string) {
	for _, n := range w.nodes {
		if n.isolated {
			seeds = append(seeds, strings.TrimSuffix(n.addr, ":7000"))
		}
	}
	if len(seeds) > 0 && w.rand.IntN(2) == 0 {
		return seeds
	}
	seeds = nil
	for _, i := range w.rand.Perm(len(w.nodes))[:min(3, len(w.nodes))] {
		seeds = append(seeds, strings.TrimSuffix(w.nodes[i].addr, ":7000"))
	}
	return seeds
}

// playOneWay plays a course of so many steps, and gives what it has shown.
func runLinkSimulation(t *testing.T, seed uint64, steps int, fault linkFault) (sim *linkSimulation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		r := rand.New(rand.NewPCG(seed, 1))
		sim = newLinkSimulation(ctx, seed, 3+r.IntN(6), fault)
		sim.mu.Lock()
		for range 2 {
			sim.start(sim.randomSeeds())
		}
		sim.mu.Unlock()
		for range steps {
			time.Sleep([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}[r.IntN(3)] + time.Duration(r.IntN(500))*time.Millisecond)
			sim.mu.Lock()
			sim.randomStep()
			sim.mu.Unlock()
		}
		time.Sleep(applyTime + time.Second)
		stop()
		sim.wg.Wait()
	})
	return sim
}

const (
	linkSimulationSteps     = 40
	maxLinkFaultSimulations = 200 // courses at most until a planted fault shows
)

var linkSimulations = flag.Uint64("oneway", 40, "drawn courses of followers whose links are cut in one way")

func TestFollowersWithOneWayPartitions(t *testing.T) {
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	judged := 0
	for seed := base; seed < base+*linkSimulations; seed++ {
		w := runLinkSimulation(t, seed, linkSimulationSteps, "")
		judged += w.checkedCount
		if len(w.failures) > 0 {
			t.Fatalf("seed %d, %d nodes: %s\n%s", seed, len(w.nodes), w.failures[0], strings.Join(w.events, "\n"))
		}
	}
	t.Logf("%d courses, %d times a follower in touch acted on a change in time", *linkSimulations, judged)
	if judged < int(*linkSimulations)*10 {
		t.Errorf("only %d times a follower was in touch", judged)
	}
}

func TestOneWayPartitionsFindPlantedFaults(t *testing.T) {
	for _, f := range []linkFault{neverFailsOver, callsWithoutTimeout, staleIsConfirmed, membersNotSent} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(maxLinkFaultSimulations) {
				if w := runLinkSimulation(t, seed, linkSimulationSteps, f); len(w.failures) > 0 {
					t.Logf("seed %d: %s", seed, w.failures[0])
					return
				}
			}
			t.Fatalf("not found in %d courses", maxLinkFaultSimulations)
		})
	}
}

const (
	crowdSize  = 60
	crowdCores = 5
)

// most is the largest number of followers of one node.
func (w *linkSimulation) largestGroup() (largest int, bySource map[string]int) {
	bySource = map[string]int{}
	for _, f := range w.followers {
		bySource[f.Core()]++
	}
	for _, n := range bySource {
		largest = max(largest, n)
	}
	return largest, bySource
}

// TestFollowersSpreadWhereverACutDrivesThem: followers that start together, those of a node that is cut off from them, and
// those that one node had to take alone, are never long on one node while others can be reached; and none is flooded with
// calls.
func TestFollowersStayBalancedAfterPartitions(t *testing.T) {
	for name, directions := range map[string][]direction{
		"followers are heard and hear nothing":  {responses},
		"followers hear and are not heard":      {requests},
		"nothing passes between them and nodes": {requests, responses},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				w := newLinkSimulation(ctx, 1, crowdCores, "")
				w.startCrowd()
				time.Sleep(time.Second)
				w.checkBalance(t, "at the start", crowdCores)
				w.checkIdleCalls(t)
				w.setPartition(directions, w.nodes[0])
				time.Sleep(applyTime)
				w.checkBalance(t, "without one node", crowdCores-1)
				w.setPartition(directions, w.nodes[1:]...)
				w.takeCallCounts()
				time.Sleep(10 * time.Second)
				for addr, n := range w.takeCallCounts() {
					if most := crowdSize * 10 * 3; n > most {
						t.Errorf("%s was called %d times in 10 s by %d followers, wanted %d at most", addr, n, crowdSize, most)
					}
				}
				w.setPartition(directions, w.nodes[:4]...)
				time.Sleep(contactTime + applyTime)
				if most, by := w.largestGroup(); most != crowdSize {
					t.Errorf("the only node that can be reached has %d of %d followers: %v", by[w.nodes[4].addr], crowdSize, by)
				}
				w.setPartition(directions)
				time.Sleep(2*failbackInterval + time.Second)
				w.checkBalance(t, "once all can be reached again", crowdCores)
				stop()
				w.wg.Wait()
			})
		})
	}
}

// takeCalls gives how often each node was called since the last time.
func (w *linkSimulation) takeCallCounts() (calls map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls, w.callCounts = w.callCounts, map[string]int{}
	return calls
}

// rests fails where followers of sources that can be relied on make more calls than polls that rest.
func (w *linkSimulation) checkIdleCalls(t *testing.T) {
	t.Helper()
	w.takeCallCounts()
	time.Sleep(10 * time.Second)
	total := 0
	for _, n := range w.takeCallCounts() {
		total += n
	}
	if polls := int(10 * time.Second / pollWait); total > crowdSize*(polls+1) {
		t.Errorf("%d followers make %d calls in 10 s of rest, wanted %d each at most", crowdSize, total, polls+1)
	}
}

// crowd starts many followers at once.
func (w *linkSimulation) startCrowd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var seeds []string
	for _, n := range w.nodes {
		seeds = append(seeds, strings.TrimSuffix(n.addr, ":7000"))
	}
	for range crowdSize {
		w.start(seeds)
	}
}

// cut cuts directions between all followers and some nodes, and opens all others.
func (w *linkSimulation) setPartition(directions []direction, nodes ...*simulatedCore) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.followers {
		for _, n := range w.nodes {
			f.setLink(n.addr, false, requests, responses)
			if slices.Contains(nodes, n) {
				f.setLink(n.addr, true, directions...)
			}
		}
	}
	w.updateLocked()
}

// spread fails where a node has more than twice its share of the followers.
func (w *linkSimulation) checkBalance(t *testing.T, when string, nodes int) {
	t.Helper()
	if largest, bySource := w.largestGroup(); largest > 2*crowdSize/nodes {
		t.Errorf("%s one of %d nodes has %d of %d followers: %v", when, nodes, largest, crowdSize, bySource)
	}
}
