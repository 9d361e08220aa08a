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
type oneWayFault string

const (
	neverMoves    oneWayFault = "it asks one core node only"
	waitsForever  oneWayFault = "its calls have no time limit"
	staleIsFresh  oneWayFault = "a node that is cut off from the others calls itself fresh"
	membersUntold oneWayFault = "answers name no core nodes"
)

// direction of bytes on a link between a follower and a node.
type direction int

const (
	requests direction = iota
	answers
)

// link is what lies between one follower and one node.
type link struct {
	cut   [2]bool
	known bool      // the follower was told of the node
	since time.Time // it was told, both ways are open, and the node is in touch with the others, since then
}

func (l *link) open() bool { return !l.cut[requests] && !l.cut[answers] }

// oneWayNode is a core node: it answers fresh while it is in touch with the others, and has all that is committed then.
type oneWayNode struct {
	source
	addr    string
	alone   bool
	members []string // as it knew them when it was left alone
}

// oneWayFollower is a real follower, with its links.
type oneWayFollower struct {
	*Follower
	w       *oneWayCourse
	name    string
	started time.Time
	links   map[string]*link
}

type oneWayCourse struct {
	mu        sync.Mutex
	rand      *rand.Rand
	fault     oneWayFault
	h         history
	nodes     []*oneWayNode
	followers []*oneWayFollower
	changed   chan struct{}
	calls     map[string]int // by node
	judged    int
	story     []string
	failures  []string
	began     time.Time
	ctx       context.Context
	wg        sync.WaitGroup
}

func newOneWayCourse(ctx context.Context, seed uint64, nodes int, f oneWayFault) *oneWayCourse {
	w := &oneWayCourse{rand: rand.New(rand.NewPCG(seed, 0)), fault: f, changed: make(chan struct{}), calls: map[string]int{}, began: time.Now(), ctx: ctx}
	for i := range nodes {
		w.nodes = append(w.nodes, &oneWayNode{addr: address(fmt.Sprint("core-", i))})
	}
	w.h.config(fewRoutes, 0)
	w.update()
	return w
}

func (w *oneWayCourse) addrs() (all []string) {
	for _, n := range w.nodes {
		all = append(all, n.addr)
	}
	return all
}

// note keeps a line of the story of the course. It is called with the lock held.
func (w *oneWayCourse) note(format string, args ...any) {
	w.story = append(w.story, fmt.Sprintf("%6d ms ", time.Since(w.began).Milliseconds())+fmt.Sprintf(format, args...))
}

// update gives the nodes that are in touch what is committed, and wakes calls that wait. It is called with the lock held.
func (w *oneWayCourse) update() {
	for _, n := range w.nodes {
		if !n.alone {
			n.commit, n.members = int64(len(w.h.all)), w.addrs()
		}
		for _, f := range w.followers {
			l := f.links[n.addr]
			switch good := l.known && l.open() && !n.alone; {
			case !good:
				l.since = time.Time{}
			case l.since.IsZero():
				l.since = time.Now()
			}
		}
	}
	w.wake()
}

// wake has calls that wait look again. It is called with the lock held.
func (w *oneWayCourse) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// start starts a follower that begins at the seeds.
func (w *oneWayCourse) start(seeds []string) *oneWayFollower {
	f := &oneWayFollower{w: w, name: fmt.Sprint("front-", len(w.followers)), started: time.Now(), links: map[string]*link{}}
	s := settings(seeds)
	s.NodeName = f.name
	f.Follower = newFollower(s, f, process.NewLogger(io.Discard))
	for _, n := range w.nodes {
		f.links[n.addr] = &link{known: slices.Contains(seeds, strings.TrimSuffix(n.addr, ":7000"))}
	}
	w.followers = append(w.followers, f)
	w.note("%s starts at %v", f.name, seeds)
	w.update()
	w.wg.Go(func() { f.Run(w.ctx) })
	w.wg.Go(f.watch)
	return f
}

// watch judges all changes of the follower's tables: they never go back, and have nothing that was not committed.
func (f *oneWayFollower) watch() {
	old := &Tables{}
	for {
		changed := f.Changed()
		next := f.Tables()
		f.w.mu.Lock()
		if err := f.w.h.judge(old, next); err != nil {
			f.w.fail("%s: %v", f.name, err)
		}
		f.w.mu.Unlock()
		old = next
		select {
		case <-changed:
		case <-f.w.ctx.Done():
			return
		}
	}
}

func (w *oneWayCourse) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
	w.note("FAILED: "+format, args...)
}

// Call implements Caller: a request that is held up is handled once its direction is open again, as bytes in a socket
// are, and so is an answer.
func (f *oneWayFollower) Call(ctx context.Context, to string, m rpc.Method, body, answer any) error {
	w := f.w
	if w.fault == neverMoves {
		to = w.nodes[0].addr
	}
	if w.fault == waitsForever {
		ctx = w.ctx
	}
	n := w.node(to)
	if n == nil {
		return rpc.ErrUnsent
	}
	w.mu.Lock()
	w.calls[to]++
	w.mu.Unlock()
	pause(ctx, linkDelay)
	if !f.pass(ctx, to, requests) {
		return rpc.ErrLost
	}
	given := w.handle(ctx, n, m, body)
	pause(ctx, linkDelay)
	if given == nil || !f.pass(ctx, to, answers) {
		return rpc.ErrLost
	}
	f.told(n)
	return rpc.Decode(given, answer)
}

// told notes that a follower has an answer of a node, and so knows the members that the node knows.
func (f *oneWayFollower) told(n *oneWayNode) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	for _, addr := range n.members {
		f.links[addr].known = true
	}
	f.w.update()
}

func (w *oneWayCourse) node(addr string) *oneWayNode {
	for _, n := range w.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// pass waits until a direction of a link is open; false if the call ends before.
func (f *oneWayFollower) pass(ctx context.Context, to string, d direction) bool {
	for {
		f.w.mu.Lock()
		cut, changed := f.links[to].cut[d], f.w.changed
		f.w.mu.Unlock()
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
func (w *oneWayCourse) handle(ctx context.Context, n *oneWayNode, m rpc.Method, body any) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m == ChunkCall {
		n.values.Update(w.h.committed(n.commit))
		return rpc.Encode(n.values.Chunk(body.(*ChunkRequest)))
	}
	q := copied(body.(*ChangesRequest))
	arrived := time.Now()
	for {
		fresh := n.commit >= q.ReceivedIndex && (!n.alone || w.fault == staleIsFresh)
		rest := time.Duration(q.WaitMs) * time.Millisecond
		if !fresh {
			rest = min(rest, 300*time.Millisecond)
		}
		if news := fresh && n.commit > q.ReceivedIndex; news || time.Since(arrived) >= rest {
			a := &ChangesResponse{Index: n.commit}
			if fresh {
				a = n.answer(&w.h, q, true)
			}
			if w.fault != membersUntold {
				a.CoreAddrs = slices.Clone(n.members)
			}
			return rpc.Encode(a)
		}
		changed, timer := w.changed, time.NewTimer(rest-time.Since(arrived))
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
func (w *oneWayCourse) commit() {
	if !slices.ContainsFunc(w.nodes, func(n *oneWayNode) bool { return !n.alone }) {
		return
	}
	e := w.h.config(fewRoutes, 0)
	committed := time.Now()
	w.note("index %d is committed", e.Index)
	w.update()
	w.wg.Go(func() {
		pause(w.ctx, applyTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() != nil {
			return
		}
		for _, f := range w.followers {
			w.judge(f, e.Index, committed)
		}
	})
}

// judge tells whether a follower that was in touch acts on a change.
func (w *oneWayCourse) judge(f *oneWayFollower, index int64, committed time.Time) {
	by := f.inTouch(committed.Add(-contactTime))
	if by == "" {
		return
	}
	w.judged++
	if has := f.Tables().Index; has < index {
		w.fail("%s has index %d, not %d, %v after it was committed, and was in touch with %s", f.name, has, index, applyTime, by)
	}
}

// inTouch is a node with which a follower has been in touch since a moment, empty for none.
func (f *oneWayFollower) inTouch(since time.Time) string {
	if f.started.After(since) {
		return ""
	}
	for _, n := range f.w.nodes {
		if l := f.links[n.addr]; !l.since.IsZero() && !l.since.After(since) {
			return n.addr
		}
	}
	return ""
}

// set cuts or opens directions of a link. It is called with the lock held.
func (f *oneWayFollower) set(addr string, cut bool, directions ...direction) {
	for _, d := range directions {
		f.links[addr].cut[d] = cut
	}
	f.w.note("%s and %s: requests cut %v, answers cut %v", f.name, addr, f.links[addr].cut[requests], f.links[addr].cut[answers])
}

// drawnDirections are one direction, or both.
func (w *oneWayCourse) drawnDirections() []direction {
	return [][]direction{{requests}, {answers}, {requests, answers}}[w.rand.IntN(3)]
}

// step does one drawn thing. It is called with the lock held.
func (w *oneWayCourse) step() {
	f := w.followers[w.rand.IntN(len(w.followers))]
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	switch w.rand.IntN(9) {
	case 0, 1: // its source, just as a change is committed
		f.set(f.Core(), true, w.drawnDirections()...)
		w.update()
		w.commit()
	case 2: // all links but one
		ds := w.drawnDirections()
		for _, other := range w.nodes {
			f.set(other.addr, other != n, ds...)
		}
		f.set(n.addr, false, requests, answers)
	case 3: // all links
		for _, other := range w.nodes {
			f.set(other.addr, true, w.drawnDirections()...)
		}
	case 4: // the cut moves from its source to the next
		next := f.next()
		f.set(f.Core(), true, w.drawnDirections()...)
		f.set(next, false, requests, answers)
	case 5: // a cut ends just as a change is committed
		for _, other := range w.nodes {
			f.set(other.addr, false, requests, answers)
		}
		w.update()
		w.commit()
	case 6: // a node is cut off from the others, or joins them again
		n.alone = !n.alone
		w.note("%s alone: %v", n.addr, n.alone)
		w.update()
	case 7: // a follower starts, and knows some nodes only
		if len(w.followers) < 6 {
			w.start(w.drawnSeeds())
		}
	case 8:
		w.commit()
	}
	w.update()
}

// next is a node behind the one that a follower follows.
func (f *oneWayFollower) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.after(f.sources.current())
}

// drawnSeeds are some nodes; those that are alone first, now and then.
func (w *oneWayCourse) drawnSeeds() (seeds []string) {
	for _, n := range w.nodes {
		if n.alone {
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
func playOneWay(t *testing.T, seed uint64, steps int, fault oneWayFault) (w *oneWayCourse) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		r := rand.New(rand.NewPCG(seed, 1))
		w = newOneWayCourse(ctx, seed, 3+r.IntN(6), fault)
		w.mu.Lock()
		for range 2 {
			w.start(w.drawnSeeds())
		}
		w.mu.Unlock()
		for range steps {
			time.Sleep([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}[r.IntN(3)] + time.Duration(r.IntN(500))*time.Millisecond)
			w.mu.Lock()
			w.step()
			w.mu.Unlock()
		}
		time.Sleep(applyTime + time.Second)
		stop()
		w.wg.Wait()
	})
	return w
}

const (
	oneWaySteps   = 40
	oneWayPlanted = 200 // courses at most until a planted fault shows
)

var oneWayCourses = flag.Uint64("oneway", 40, "drawn courses of followers whose links are cut in one way")

func TestFollowersWhoseLinksAreCutInOneWay(t *testing.T) {
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	judged := 0
	for seed := base; seed < base+*oneWayCourses; seed++ {
		w := playOneWay(t, seed, oneWaySteps, "")
		judged += w.judged
		if len(w.failures) > 0 {
			t.Fatalf("seed %d, %d nodes: %s\n%s", seed, len(w.nodes), w.failures[0], strings.Join(w.story, "\n"))
		}
	}
	t.Logf("%d courses, %d times a follower in touch acted on a change in time", *oneWayCourses, judged)
	if judged < int(*oneWayCourses)*10 {
		t.Errorf("only %d times a follower was in touch", judged)
	}
}

func TestOneWayCutsFindPlantedFaults(t *testing.T) {
	for _, f := range []oneWayFault{neverMoves, waitsForever, staleIsFresh, membersUntold} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(oneWayPlanted) {
				if w := playOneWay(t, seed, oneWaySteps, f); len(w.failures) > 0 {
					t.Logf("seed %d: %s", seed, w.failures[0])
					return
				}
			}
			t.Fatalf("not found in %d courses", oneWayPlanted)
		})
	}
}

const (
	crowd      = 60
	crowdNodes = 5
)

// most is the largest number of followers of one node.
func (w *oneWayCourse) most() (most int, by map[string]int) {
	by = map[string]int{}
	for _, f := range w.followers {
		by[f.Core()]++
	}
	for _, n := range by {
		most = max(most, n)
	}
	return most, by
}

// TestFollowersSpreadWhereverACutDrivesThem: followers that start together, those of a node that is cut off from them, and
// those that one node had to take alone, are never long on one node while others can be reached; and none is flooded with
// calls.
func TestFollowersSpreadWhereverACutDrivesThem(t *testing.T) {
	for name, directions := range map[string][]direction{
		"followers are heard and hear nothing":  {answers},
		"followers hear and are not heard":      {requests},
		"nothing passes between them and nodes": {requests, answers},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				w := newOneWayCourse(ctx, 1, crowdNodes, "")
				w.crowd()
				time.Sleep(time.Second)
				w.spread(t, "at the start", crowdNodes)
				w.rests(t)
				w.cut(directions, w.nodes[0])
				time.Sleep(applyTime)
				w.spread(t, "without one node", crowdNodes-1)
				w.cut(directions, w.nodes[1:]...)
				w.takeCalls()
				time.Sleep(10 * time.Second)
				for addr, n := range w.takeCalls() {
					if most := crowd * 10 * 3; n > most {
						t.Errorf("%s was called %d times in 10 s by %d followers, wanted %d at most", addr, n, crowd, most)
					}
				}
				w.cut(directions, w.nodes[:4]...)
				time.Sleep(contactTime + applyTime)
				if most, by := w.most(); most != crowd {
					t.Errorf("the only node that can be reached has %d of %d followers: %v", by[w.nodes[4].addr], crowd, by)
				}
				w.cut(directions)
				time.Sleep(2*homeWait + time.Second)
				w.spread(t, "once all can be reached again", crowdNodes)
				stop()
				w.wg.Wait()
			})
		})
	}
}

// takeCalls gives how often each node was called since the last time.
func (w *oneWayCourse) takeCalls() (calls map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls, w.calls = w.calls, map[string]int{}
	return calls
}

// rests fails where followers of sources that can be relied on make more calls than polls that rest.
func (w *oneWayCourse) rests(t *testing.T) {
	t.Helper()
	w.takeCalls()
	time.Sleep(10 * time.Second)
	total := 0
	for _, n := range w.takeCalls() {
		total += n
	}
	if polls := int(10 * time.Second / pollWait); total > crowd*(polls+1) {
		t.Errorf("%d followers make %d calls in 10 s of rest, wanted %d each at most", crowd, total, polls+1)
	}
}

// crowd starts many followers at once.
func (w *oneWayCourse) crowd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var seeds []string
	for _, n := range w.nodes {
		seeds = append(seeds, strings.TrimSuffix(n.addr, ":7000"))
	}
	for range crowd {
		w.start(seeds)
	}
}

// cut cuts directions between all followers and some nodes, and opens all others.
func (w *oneWayCourse) cut(directions []direction, nodes ...*oneWayNode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.followers {
		for _, n := range w.nodes {
			f.set(n.addr, false, requests, answers)
			if slices.Contains(nodes, n) {
				f.set(n.addr, true, directions...)
			}
		}
	}
	w.update()
}

// spread fails where a node has more than twice its share of the followers.
func (w *oneWayCourse) spread(t *testing.T, when string, nodes int) {
	t.Helper()
	if most, by := w.most(); most > 2*crowd/nodes {
		t.Errorf("%s one of %d nodes has %d of %d followers: %v", when, nodes, most, crowd, by)
	}
}
