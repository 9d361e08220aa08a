package controlnode

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestFrozenHeadWakesIsolated forces an order of events that a sleep would only hope for: calls wait in the
// sockets of a frozen head while the others go on without it, and when it wakes no message of theirs reaches
// it.
func TestFrozenHeadWakesIsolated(t *testing.T) {
	t.Parallel()
	_, r := newLoggedSeed(t)
	f := newFleet(t, 3, 3)
	head := f.head(f.all()...)
	rest := f.allExcept(head)
	f.change(1, rest...)
	f.blockInbound(head)
	f.nodes[head].freeze(t)
	for range 3 {
		f.change(2, rest...)
	}
	calls := f.sendEachRequestKind(head, 0)
	f.nodes[head].resume()
	woke := time.Now()
	var first sync.WaitGroup
	first.Go(func() { f.requireOutcomeUnknown(calls, woke) })
	follower, stop := f.startFollower(head, false)
	defer stop()
	f.requireOutcomeUnknownWhilePartitioned(head)
	first.Wait()
	f.change(1, rest...)
	f.awaitNewestActive(follower)
	f.heal(r.IntN(2) == 0)
	f.requireCaughtUp(f.all()...)
}

// TestFrozenHeadWakesConnected is the same with links that work: what waits in its sockets it may read first or not.
func TestFrozenHeadWakesConnected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	head := f.head(f.all()...)
	rest := f.allExcept(head)
	f.nodes[head].freeze(t)
	for range 2 {
		f.change(2, rest...)
	}
	calls := f.sendEachRequestKind(head, 0)
	f.nodes[head].resume()
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() { c.awaitResponse(f.hist, 2*maxResponseTime) })
	}
	all.Go(func() { f.readFeed(head) })
	all.Wait()
	f.requireCaughtUp(f.all()...)
}

// TestHeadInOneWayPartition: it receives nothing, or nothing that it sends arrives. Others go on; it answers nothing that
// could be old, and is in the chain again afterwards.
func TestHeadInOneWayPartition(t *testing.T) {
	t.Parallel()
	for name, hold := range map[string]func(f *fleet, i int){
		"it receives nothing":           (*fleet).blockInbound,
		"nothing that it sends arrives": (*fleet).blockOutbound,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, r := newLoggedSeed(t)
			f := newFleet(t, 3, 3)
			head := f.head(f.all()...)
			hold(f, head)
			f.change(1, f.allExcept(head)...)
			f.change(2, f.allExcept(head)...)
			f.requireOutcomeUnknownWhilePartitioned(head)
			f.heal(r.IntN(2) == 0)
			f.requireCaughtUp(f.all()...)
		})
	}
}

// TestTailPartitioned: reads and orders sent to it are unclear within a second, followers that begin with it are fed by
// others, be it the only one that they know, and whatever comes as the partition ends is answered by what is in force.
func TestTailPartitioned(t *testing.T) {
	t.Parallel()
	_, r := newLoggedSeed(t)
	f := newFleet(t, 3, 3)
	tail := f.tail()
	rest := f.allExcept(tail)
	f.partition(tail)
	f.change(1, rest...)
	follower, stop := f.startFollower(tail, false)
	defer stop()
	seeded, stopSeeded := f.startFollower(tail, true)
	defer stopSeeded()
	f.requireOutcomeUnknownWhilePartitioned(tail)
	f.awaitNewestActive(follower)
	f.awaitNewestActive(seeded)
	calls := f.sendEachRequestKind(tail, 0)
	f.heal(r.IntN(2) == 0)
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() { c.awaitResponse(f.hist, 2*maxResponseTime) })
	}
	all.Go(func() { f.readFeed(tail) })
	all.Wait()
	f.requireCaughtUp(f.all()...)
	f.change(2, f.all()...)
	f.awaitNewestActive(follower)
}

// TestNewlyPartitionedNode calls a node at once when no message reaches it any more: it still takes itself
// for healthy.
func TestNewlyPartitionedNode(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	f.change(1, f.all()...)
	for i := range 3 {
		f.partition(i)
		calls, since := f.sendEachRequestKind(i, i), time.Now()
		var all sync.WaitGroup
		all.Go(func() { f.requireOutcomeUnknown(calls, since) })
		all.Go(func() { f.readFeed(i) })
		f.change(2, f.allExcept(i)...)
		f.readFeed(i)
		all.Wait()
		f.heal(true)
		f.until("all nodes are members", f.allMembers)
	}
	f.requireCaughtUp(f.all()...)
}

// TestPartitionWithoutMajority: of two sides without a majority neither accepts an order nor answers with
// what could be old.
func TestPartitionWithoutMajority(t *testing.T) {
	t.Parallel()
	_, r := newLoggedSeed(t)
	f := newFleet(t, 4, 4)
	f.change(1, f.all()...)
	f.partitionGroups(0, 1)
	f.halvesDecided()
	var all sync.WaitGroup
	for _, i := range f.all() {
		all.Go(func() { f.requireOutcomeUnknown(f.sendEachRequestKind(i, i), time.Now()) })
	}
	all.Wait()
	f.heal(r.IntN(2) == 0)
	f.change(2, f.all()...)
	f.requireCaughtUp(f.all()...)
}

// TestEqualHalvesWithLosses cuts four nodes into drawn halves while operators race, kills a node of each half, so that more are lost than
// may be at once, and heals the cut before or after the nodes know of it, with one of them still down.
func TestEqualHalvesWithLosses(t *testing.T) {
	t.Parallel()
	seed, r := newLoggedSeed(t)
	f := newFleet(t, 4, 4)
	follower, unfollow := f.startFollower(r.IntN(4), false)
	defer unfollow()
	stop := f.startOperators(seed, f.all()...)
	for round := range 3 {
		order := r.Perm(4)
		f.partitionGroups(order[0], order[1])
		if round != 1 { // else the cut ends in the middle of what it began
			f.halvesDecided()
		}
		f.kill(order[0])
		f.kill(order[2])
		f.start(order[2], false)
		f.heal(r.IntN(2) == 0)
		f.goesOn(f.allExcept(order[0])...)
		f.start(order[0], false)
		f.until("all nodes are members", f.allMembers)
	}
	stop()
	f.requireCaughtUp(f.all()...)
	f.awaitNewestActive(follower)
}

// halvesDecided waits until each node knows of its half: none takes itself for fresh.
func (f *fleet) halvesDecided() {
	f.t.Helper()
	for _, i := range f.all() {
		f.until("the node knows that it reaches no majority", func() bool { s := f.status(i); return s != nil && !s.Fresh })
	}
}

// TestMovingPartitions: the cut goes from one node to the next while operators race, connections are reset, and the head is
// killed with a change under way as it is cut off.
func TestMovingPartitions(t *testing.T) {
	t.Parallel()
	seed, r := newLoggedSeed(t)
	f := newFleet(t, 3, 3)
	follower, unfollow := f.startFollower(r.IntN(3), false)
	defer unfollow()
	stop := f.startOperators(seed, f.all()...)
	for _, i := range r.Perm(3) {
		f.partition(i)
		f.goesOn(f.allExcept(i)...)
		f.heal(r.IntN(2) == 0)
	}
	for _, relay := range f.relays {
		relay.Reset()
	}
	f.goesOn(f.all()...)
	head := f.head(f.all()...)
	f.partition(head)
	f.kill(head)
	f.goesOn(f.allExcept(head)...)
	f.heal(true)
	f.start(head, false)
	f.goesOn(f.all()...)
	stop()
	f.requireCaughtUp(f.all()...)
	f.awaitNewestActive(follower)
}

// goesOn waits until versions that were acknowledged go on; operators run.
func (f *fleet) goesOn(nodes ...int) {
	f.t.Helper()
	before, _ := f.hist.newest()
	f.until("versions go on", func() bool { now, _ := f.hist.newest(); return now > before })
	f.until("what was acknowledged is read", func() bool { _, v := f.read(nodes[0]); return v > before })
}

// TestLeavingNodeThatReceivesNothing: the others replace a node that announces that it leaves at once, before
// a time-out could show it. What it feeds and answers until its end is not old.
func TestLeavingNodeThatReceivesNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	tail := f.tail()
	f.blockInbound(tail)
	leaver := f.nodes[tail]
	leaver.signal(syscall.SIGTERM)
	f.change(1, f.allExcept(tail)...)
	newest, body := f.hist.newest()
	var all sync.WaitGroup
	all.Go(func() { f.put(tail, newest-1, body) })
	all.Go(func() { f.put(tail, newest, variant(newest+1, 9)) })
	all.Go(func() { f.read(tail) })
	for range 5 {
		f.readFeed(tail)
	}
	all.Wait()
	<-leaver.done
	f.nodes[tail] = nil
	f.heal(true)
	f.start(tail, false)
	f.requireCaughtUp(f.all()...)
}

// tail is the node that node 0 takes for the tail.
func (f *fleet) tail() int {
	name := f.status(0).Tail
	return int(name[len(name)-1] - '0')
}
