package controlnode

import (
	"flag"
	"slices"
	"syscall"
	"testing"
	"time"
)

var rejoinCount = flag.Int("admissions", 1, "wiped core nodes whose time until they are members again is measured")

// TestWipedNodeRejoinsInTime measures the time from the start of a process with an empty disk until it reports that it
// is a caught-up member. The contract counts the node as lost for catch_up_s; the next loss may occur immediately
// after.
func TestWipedNodeRejoinsInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	var took []time.Duration
	for k := range *rejoinCount {
		i := k % 3
		f.kill(i)
		f.wipe(i)
		f.change(1, f.all()...)
		f.start(i, false)
		took = append(took, f.within(catchUp, "the wiped node is a caught-up member", func() bool { return f.isMember(i) }))
		f.requireCaughtUp(i)
	}
	slices.Sort(took)
	t.Logf("%d rejoins: median %v, maximum %v, limit %v", len(took), took[len(took)/2], took[len(took)-1], catchUp)
}

// TestSecondLossAfterWipedNodeRejoined checks that another node may be lost as soon as a wiped node reports that it is
// a member, even if the remaining node was wiped before as well.
func TestSecondLossAfterWipedNodeRejoined(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	for i := range 2 {
		f.kill(i)
		f.wipe(i)
		f.start(i, false)
		f.within(catchUp, "the wiped node is a caught-up member", func() bool { return f.isMember(i) })
	}
	f.kill(2)
	f.change(1, 0, 1)
	f.requireCaughtUp(0, 1)
	f.start(2, false)
	f.requireCaughtUp(2)
}

// TestSecondLossBeforeWipedNodeRejoined loses a second node earlier than the contract permits. The remaining nodes must
// not decide anything until the second node returns, and continue as soon as it does, with no write lost. A partition
// delays the wiped node's admission.
func TestSecondLossBeforeWipedNodeRejoined(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3)
	f.change(1, f.all()...)
	f.kill(1)
	f.wipe(1)
	f.partition(1)
	f.start(1, false)
	f.change(2, 0, 2)
	f.kill(2)
	f.heal(false)
	f.until("the remaining node reports that it reaches no majority", func() bool { s := f.status(0); return s != nil && !s.Fresh })
	f.requireOutcomeUnknown(f.sendEachRequestKind(0, 0), time.Now())
	f.requireOutcomeUnknown(f.sendEachRequestKind(1, 1), time.Now())
	f.start(2, false)
	f.within(catchUp, "a change is acknowledged after the second node has returned", func() bool {
		on, _ := f.hist.newestAcknowledged()
		return f.put(0, on, variant(on+1, 3)) == 200
	})
	f.requireCaughtUp(f.all()...)
}

// TestStateSurvivesRestartOfAllNodes kills and restarts all nodes, once with all disks and once with one disk lost.
func TestStateSurvivesRestartOfAllNodes(t *testing.T) {
	t.Parallel()
	_, r := newLoggedSeed(t)
	f := newFleet(t, 3, 3)
	for round := range 2 {
		f.change(1+round, f.all()...)
		for _, c := range f.nodes {
			c.signal(syscall.SIGKILL)
		}
		for i := range f.nodes {
			f.kill(i)
		}
		if round == 1 {
			f.wipe(r.IntN(3))
		}
		for i := range f.nodes {
			f.start(i, false)
		}
		f.requireCaughtUp(f.all()...)
	}
	f.change(3, f.all()...)
}

// TestLossAfterPlannedReplacement starts the successor of a node, then stops the old node by SIGTERM and kills another
// one as soon as it has exited: a node that has shut down gracefully does not count as lost.
func TestLossAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 4)
	f.start(3, false)
	f.within(catchUp, "the successor is a caught-up member", func() bool { return f.isMember(3) })
	f.change(1, f.all()...)
	f.terminate(0)
	f.kill(1)
	f.change(2, f.all()...)
	f.requireCaughtUp(f.all()...)
	f.start(1, false)
	f.requireCaughtUp(f.all()...)
}

// TestLossAfterReplacementOfLostNode checks that the successor of a node that is lost for good replaces it among the
// voters within catch_up_s, and that another loss immediately after is tolerated.
func TestLossAfterReplacementOfLostNode(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 4)
	f.kill(0)
	f.change(1, f.all()...)
	f.start(3, false)
	f.within(catchUp, "the successor is a voter instead of the lost node", func() bool {
		names := f.voters(3)
		return f.allMembers() && slices.Contains(names, "core-3") && !slices.Contains(names, "core-0")
	})
	f.kill(1)
	f.change(2, f.all()...)
	f.requireCaughtUp(f.all()...)
}

// TestRepeatedDoubleLosses runs five nodes that tolerate two losses. Two nodes lose their disks at once, and two others
// as soon as the first are members again; then all nodes are killed at the same instant, and two more disks are lost.
func TestRepeatedDoubleLosses(t *testing.T) {
	t.Parallel()
	_, r := newLoggedSeed(t)
	f := newFleet(t, 5, 5)
	lose := func(nodes ...int) {
		for _, i := range nodes {
			f.nodes[i].signal(syscall.SIGKILL)
		}
		for _, i := range nodes {
			f.kill(i)
		}
	}
	order := r.Perm(5)
	for _, two := range [][]int{order[:2], order[2:4]} {
		lose(two...)
		f.change(1, f.all()...)
		for _, i := range two {
			f.wipe(i)
			f.start(i, false)
		}
		f.within(catchUp, "all five are members again", f.allMembers)
	}
	f.change(2, f.all()...)
	lose(f.all()...)
	for i := range 5 {
		if i == order[0] || i == order[4] {
			f.wipe(i)
		}
		f.start(i, false)
	}
	f.until("all five are members again", f.allMembers)
	f.requireCaughtUp(f.all()...)
}
