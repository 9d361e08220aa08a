package controlnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/standin/cutproxy"
)

var processSimulations = flag.Int("real", 1, "simulations with core nodes as processes, with their sockets and disks")

// nodeFault is a fault of one node: it begins, the others go on, and it ends.
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
	{"ends in order", func(f *fleet, i int) { f.terminate(i) }, restartNode},
	{"ends in order, its disk is lost", func(f *fleet, i int) { f.terminate(i) }, restartWithEmptyDisk},
	{"is killed", (*fleet).kill, restartNode},
	{"is killed, its disk is lost", (*fleet).kill, restartWithEmptyDisk},
	{"is cut off", (*fleet).partition, healPartition},
	{"receives nothing", (*fleet).blockInbound, healPartition},
	{"sends nothing", (*fleet).blockOutbound, healPartition},
	{"cannot connect", (*fleet).refuseConnections, func(f *fleet, i int, _ *rand.Rand) { f.acceptConnections(i) }},
	{"freezes", func(f *fleet, i int) { f.nodes[i].freeze(f.t) }, func(f *fleet, i int, _ *rand.Rand) { f.nodes[i].resume() }},
}

// refuseConnections resets the connections of a node, and every new one, until accept.
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

// TestRandomFaultsOnProcesses plays core nodes as processes: one after the other has a fault, while operators race on any node,
// followers are fed, and a history of all that callers saw is checked in the end. The next fault comes as soon as the
// contract permits it: once all nodes say that the one before is a caught-up member, for which it has catch_up_s.
// A loss before that is the matter of TestSecondLossBeforeWipedNodeRejoined.
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
		f.goesOn(allNodesExcept(n, i)...)
		fault.end(f, i, r)
		took := f.within(catchUp, fmt.Sprintf("node %d, which %s, is a caught-up member again", i, fault.name), f.allMembers)
		t.Logf("%v node %d is a member again after %v", f.hist.now(), i, took)
		before, _ := f.hist.newest()
		f.until("the one that came back reads what is newest", func() bool { _, v := f.read(i); return v > before })
	}
	stop()
	f.terminate(f.all()...)
	for i := range n {
		f.start(i, false)
	}
	f.requireCaughtUp(f.all()...)
	f.awaitNewestActive(follower)
}

// allNodesExcept are the nodes but one.
func allNodesExcept(n, without int) (nodes []int) {
	for i := range n {
		if i != without {
			nodes = append(nodes, i)
		}
	}
	return nodes
}
