package controlnode

import (
	"time"

	"larchrouter/internal/tier/view"
)

// NodeSettings are the parameters of NewNode.
type NodeSettings struct {
	Self           view.Member
	Incarnation    int64    // how often this node was started with its disk, this start included
	Seeds          []string // addresses, for a node that knows no view
	FaultTolerance int      // how many members may be lost at once
	ChainLength    int      // members that the chain should have, see ChainLength; 0: all voters
	Timings        Timings
}

// spareChainMembers is how many members a chain has in addition to those without which it may not take writes.
const spareChainMembers = 1

// ChainLength returns how many members a chain should have where a number of machines may be lost at once. What is acknowledged is on
// the disks of all of them, so that FaultTolerance + 1 keep it. One more lets the chain lose a member and go on with the others while a
// learner takes its place. Further members would only make each write wait for further syncs.
func ChainLength(faultTolerance int) int { return faultTolerance + 1 + spareChainMembers }

// Timings are the intervals and time-outs of a node.
type Timings struct {
	HeartbeatInterval time.Duration
	SuspectTimeout    time.Duration // without a message: the member is removed from the chain
	// StartTimeout is the time since this node's own start without a message of a member after which the member is removed from the
	// chain. Machines that get power back together start within 0.3 s, and a dial that hangs is made once more within 0.1 s. It is no
	// evidence of a fault: a member that comes later is a learner and has lost nothing, since a view needs a majority of the voters
	// whatever the time-outs.
	StartTimeout   time.Duration
	FailureTimeout time.Duration // without a message: the voter may lose its vote
	ResendInterval time.Duration // of what is in flight
	MaxPause       time.Duration // a longer pause of this node makes others' missing messages no evidence
}

// DefaultTimings returns timings for links with a delay of some milliseconds and disks whose syncs take a
// little longer.
func DefaultTimings() Timings {
	return Timings{
		HeartbeatInterval: 200 * time.Millisecond,
		SuspectTimeout:    750 * time.Millisecond,
		StartTimeout:      400 * time.Millisecond,
		FailureTimeout:    2 * time.Second,
		ResendInterval:    150 * time.Millisecond,
		MaxPause:          400 * time.Millisecond,
	}
}
