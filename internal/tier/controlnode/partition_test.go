package controlnode

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestFrozenHeadAnswersNothingStaleOnceResumedInIsolation: calls wait in the sockets of a frozen head while the others
// replace it, and no messages from them reach it when it resumes. It must not answer from its stale state. The test
// forces this order of events instead of relying on sleeps.
func TestFrozenHeadAnswersNothingStaleOnceResumedInIsolation(t *testing.T) {
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

// TestFrozenHeadAnswersNothingStaleOnceResumed is the same with working links: the head may read the waiting calls before
// or after the messages of the other nodes.
func TestFrozenHeadAnswersNothingStaleOnceResumed(t *testing.T) {
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

// TestHeadInOneWayPartitionIsReplaced: the head receives nothing, or nothing that it sends arrives. The others continue;
// the head gives no answer that could be stale, and is in the chain again afterwards.
func TestHeadInOneWayPartitionIsReplaced(t *testing.T) {
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

// TestPartitionedTailAnswersNothingStale: reads and orders sent to the partitioned tail end with an unknown outcome within
// a second. Followers that start with it are served by other nodes, even if it is the only one they know. Calls that
// arrive as the partition heals are answered from the current state.
func TestPartitionedTailAnswersNothingStale(t *testing.T) {
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

// TestNewlyPartitionedNodeAnswersNothingStale calls a node immediately after it is partitioned, while it still considers
// itself healthy.
func TestNewlyPartitionedNodeAnswersNothingStale(t *testing.T) {
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

// TestPartitionWithoutMajorityAnswersNothingStale: if neither side of a partition has a majority, neither accepts an order
// or gives an answer that could be stale.
func TestPartitionWithoutMajorityAnswersNothingStale(t *testing.T) {
	t.Parallel()
	_, r := newLoggedSeed(t)
	f := newFleet(t, 4, 4)
	f.change(1, f.all()...)
	f.partitionGroups(0, 1)
	f.awaitMajorityLoss()
	var all sync.WaitGroup
	for _, i := range f.all() {
		all.Go(func() { f.requireOutcomeUnknown(f.sendEachRequestKind(i, i), time.Now()) })
	}
	all.Wait()
	f.heal(r.IntN(2) == 0)
	f.change(2, f.all()...)
	f.requireCaughtUp(f.all()...)
}

// TestClusterRecoversFromEqualHalvesWithLosses partitions four nodes into random halves while operators race, and kills a
// node of each half, which is more than the fault tolerance. The partition heals before or after the nodes have noticed
// it, with one of them still down. Versions must then be acknowledged again, and all nodes become members.
func TestClusterRecoversFromEqualHalvesWithLosses(t *testing.T) {
	t.Parallel()
	seed, r := newLoggedSeed(t)
	f := newFleet(t, 4, 4)
	follower, unfollow := f.startFollower(r.IntN(4), false)
	defer unfollow()
	stop := f.startOperators(seed, f.all()...)
	for round := range 3 {
		order := r.Perm(4)
		f.partitionGroups(order[0], order[1])
		if round != 1 { // in round 1 the partition heals before all nodes have noticed it
			f.awaitMajorityLoss()
		}
		f.kill(order[0])
		f.kill(order[2])
		f.start(order[2], false)
		f.heal(r.IntN(2) == 0)
		f.requireProgress(f.allExcept(order[0])...)
		f.start(order[0], false)
		f.until("all nodes are members", f.allMembers)
	}
	stop()
	f.requireCaughtUp(f.all()...)
	f.awaitNewestActive(follower)
}

// awaitMajorityLoss waits until each node has noticed that it reaches no majority: none considers itself fresh.
func (f *fleet) awaitMajorityLoss() {
	f.t.Helper()
	for _, i := range f.all() {
		f.until("the node knows that it reaches no majority", func() bool { s := f.status(i); return s != nil && !s.Fresh })
	}
}

// TestClusterProgressesWhileNodesArePartitionedInTurn: one node after the other is partitioned while operators race,
// connections are reset, and the head is killed with changes in flight as it is partitioned.
func TestClusterProgressesWhileNodesArePartitionedInTurn(t *testing.T) {
	t.Parallel()
	seed, r := newLoggedSeed(t)
	f := newFleet(t, 3, 3)
	follower, unfollow := f.startFollower(r.IntN(3), false)
	defer unfollow()
	stop := f.startOperators(seed, f.all()...)
	for _, i := range r.Perm(3) {
		f.partition(i)
		f.requireProgress(f.allExcept(i)...)
		f.heal(r.IntN(2) == 0)
	}
	for _, relay := range f.relays {
		relay.Reset()
	}
	f.requireProgress(f.all()...)
	head := f.head(f.all()...)
	f.partition(head)
	f.kill(head)
	f.requireProgress(f.allExcept(head)...)
	f.heal(true)
	f.start(head, false)
	f.requireProgress(f.all()...)
	stop()
	f.requireCaughtUp(f.all()...)
	f.awaitNewestActive(follower)
}

// requireProgress waits until newer versions are acknowledged and read; operators must be running.
func (f *fleet) requireProgress(nodes ...int) {
	f.t.Helper()
	before, _ := f.hist.newestAcknowledged()
	f.until("a newer version is acknowledged", func() bool { now, _ := f.hist.newestAcknowledged(); return now > before })
	f.until("a newer version is read", func() bool { _, v := f.read(nodes[0]); return v > before })
}

// TestLeavingNodeThatReceivesNothingAnswersNothingStale: the others immediately replace a node that announces its
// shutdown, before a time-out could detect it. What the node serves and answers until it stops is not stale.
func TestLeavingNodeThatReceivesNothingAnswersNothingStale(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	tail := f.tail()
	f.blockInbound(tail)
	leaver := f.nodes[tail]
	leaver.signal(syscall.SIGTERM)
	f.change(1, f.allExcept(tail)...)
	newest, body := f.hist.newestAcknowledged()
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

// tail returns the node that is the tail according to node 0.
func (f *fleet) tail() int {
	name := f.status(0).Tail
	return int(name[len(name)-1] - '0')
}
