package controlnode

import (
	"time"

	"larchrouter/internal/tier/view"
)

// NodeSettings are the parameters of NewNode.
type NodeSettings struct {
	Self           view.Member
	Incarnation    int64    // number of starts of this node with its disk, this one included
	Seeds          []string // addresses, for a node that has no view
	FaultTolerance int      // how many members may be lost at once
	ChainLength    int      // target number of chain members, see the function ChainLength; 0: all voters
	Timings        Timings
}

// spareChainMembers is the number of chain members beyond those without which the chain may not accept writes.
const spareChainMembers = 1

// ChainLength returns the target number of chain members for a fault tolerance. Acknowledged writes are on the disks of
// all members, so that FaultTolerance + 1 members suffice to keep them. The spare member lets the chain lose one and
// continue with the others while a learner replaces it. Further members would only make each write wait for further
// syncs.
func ChainLength(faultTolerance int) int { return faultTolerance + 1 + spareChainMembers }

// Timings are the intervals and time-outs of a node.
type Timings struct {
	HeartbeatInterval time.Duration
	SuspectTimeout    time.Duration // time without a message after which a member is removed from the chain
	// StartTimeout is the time since this node's own start after which a member that has sent no message is removed
	// from the chain. Machines that get power back together start within 0.3 s, and a hanging dial is repeated within
	// 0.1 s. Exceeding it is no evidence of a fault: a member that starts later joins as a learner and loses nothing,
	// since a view needs a majority of the voters whatever the time-outs.
	StartTimeout   time.Duration
	FailureTimeout time.Duration // time without a message after which a voter may lose its vote
	ResendInterval time.Duration // between resends of unacknowledged messages
	MaxPause       time.Duration // after a longer pause of this node, missing messages of others are no evidence of faults
}

// DefaultTimings returns timings for links with a latency of some milliseconds and disks whose syncs take slightly
// longer.
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
