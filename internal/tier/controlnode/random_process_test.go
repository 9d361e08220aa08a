package controlnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/standin/cutproxy"
)

var processSimulations = flag.Int("real", 1, "runs with random faults on core nodes in their own processes, with real sockets and disks")

// nodeFault is a fault of one node, which begins and ends while the other nodes continue.
type nodeFault struct {
	name  string
	begin func(f *fleet, i int)
	end   func(f *fleet, i int, r *rand.Rand)
}

func restartNode(f *fleet, i int, _ *rand.Rand)          { f.start(i, false) }
func restartWithEmptyDisk(f *fleet, i int, _ *rand.Rand) { f.wipe(i); f.start(i, false) }
func healPartition(f *fleet, _ int, r *rand.Rand)        { f.heal(r.IntN(2) == 0) }

// nodeFaults are the faults that the test draws from.
var nodeFaults = []nodeFault{
	{"shuts down gracefully", func(f *fleet, i int) { f.terminate(i) }, restartNode},
	{"shuts down gracefully and loses its disk", func(f *fleet, i int) { f.terminate(i) }, restartWithEmptyDisk},
	{"is killed", (*fleet).kill, restartNode},
	{"is killed and loses its disk", (*fleet).kill, restartWithEmptyDisk},
	{"is partitioned", (*fleet).partition, healPartition},
	{"receives nothing", (*fleet).blockInbound, healPartition},
	{"sends nothing", (*fleet).blockOutbound, healPartition},
	{"cannot connect", (*fleet).refuseConnections, func(f *fleet, i int, _ *rand.Rand) { f.acceptConnections(i) }},
	{"freezes", func(f *fleet, i int) { f.nodes[i].freeze(f.t) }, func(f *fleet, i int, _ *rand.Rand) { f.nodes[i].resume() }},
}

// refuseConnections resets the connections between a node and the others, and refuses new ones until acceptConnections.
func (f *fleet) refuseConnections(i int) {
	f.forEachLink(i, func(mine, theirs *cutproxy.Relay) {
		mine.Refuse(true)
		theirs.Refuse(true)
		mine.Reset()
		theirs.Reset()
	})
}

func (f *fleet) acceptConnections(i int) {
	f.forEachLink(i, func(mine, theirs *cutproxy.Relay) { mine.Refuse(false); theirs.Refuse(false) })
}

// TestRandomFaultsOnProcesses runs core nodes in their own processes and injects random faults into one node at a time,
// while operators race on random nodes and a follower polls. At the end it checks the history of everything that
// callers observed. The next fault occurs as soon as the contract permits it: once all nodes report that the faulty one
// is a caught-up member again, which must be within catch_up_s. TestSecondLossBeforeWipedNodeRejoined covers an earlier
// second loss.
func TestRandomFaultsOnProcesses(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	for i := range *processSimulations {
		t.Run(fmt.Sprint(base+uint64(i)), func(t *testing.T) { t.Parallel(); runRandomFaults(t, base+uint64(i)) })
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	n := 3 + r.IntN(2)
	f := newFleet(t, n, n)
	follower, unfollow := f.startFollower(r.IntN(3), false)
	defer unfollow()
	stop := f.startOperators(seed, f.all()...)
	for range 3 {
		i, fault := r.IntN(n), nodeFaults[r.IntN(len(nodeFaults))]
		t.Logf("%v node %d %s", f.hist.now(), i, fault.name)
		fault.begin(f, i)
		f.requireProgress(allNodesExcept(n, i)...)
		fault.end(f, i, r)
		took := f.within(catchUp, fmt.Sprintf("node %d, which %s, is a caught-up member again", i, fault.name), f.allMembers)
		t.Logf("%v node %d is a member again after %v", f.hist.now(), i, took)
		before, _ := f.hist.newestAcknowledged()
		f.until("the node that returned reads a newer version", func() bool { _, v := f.read(i); return v > before })
	}
	stop()
	f.terminate(f.all()...)
	for i := range n {
		f.start(i, false)
	}
	f.requireCaughtUp(f.all()...)
	f.awaitNewestActive(follower)
}

// allNodesExcept returns the numbers of n nodes except one.
func allNodesExcept(n, without int) (nodes []int) {
	for i := range n {
		if i != without {
			nodes = append(nodes, i)
		}
	}
	return nodes
}
