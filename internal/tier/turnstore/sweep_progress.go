package turnstore

import (
	"slices"
	"time"
)

const maxAvoidedPeers = 100

// sweepProgress is the progress of a store's sweep in one phase, joint or stable, of one generation. It is pure.
type sweepProgress struct {
	generation int64
	joint      bool
	attempted  map[string]bool      // peer ID, in this round: whether everything was pulled from it
	avoidUntil map[string]time.Time // peer ID, of those that failed: they are not needed until then
}

// begin starts or continues a round. What was pulled while joint does not count for the stable placement, where a turn
// may be at fewer of the other stores.
func (r *sweepProgress) begin(p *Placement) {
	if joint := len(p.New) > 0; r.attempted == nil || r.generation != p.Generation || r.joint != joint {
		r.generation, r.joint, r.attempted = p.Generation, joint, map[string]bool{}
	}
}

// nextPeer returns the peer to pull from next. Peers that failed recently come last, and only if the sweep is not
// complete without them.
func (r *sweepProgress) nextPeer(p *Placement, self string, now time.Time) (Store, bool) {
	needed := r.missed(p, self) > p.FaultTolerance
	for _, avoided := range []bool{false, true} {
		i := slices.IndexFunc(p.Old, func(o Store) bool {
			_, attempted := r.attempted[o.ID]
			return o.ID != self && !attempted && now.Before(r.avoidUntil[o.ID]) == avoided && (!avoided || needed)
		})
		if i >= 0 {
			return p.Old[i], true
		}
	}
	return Store{}, false
}

// record takes the outcome of a pull.
func (r *sweepProgress) record(peer string, ok bool, now time.Time) {
	if r.attempted[peer] = ok; ok {
		return
	}
	if r.avoidUntil == nil || len(r.avoidUntil) > maxAvoidedPeers {
		r.avoidUntil = map[string]time.Time{}
	}
	r.avoidUntil[peer] = now.Add(peerFailureBackoff)
}

// missed returns how many peers of the old list were not pulled from.
func (r *sweepProgress) missed(p *Placement, self string) (n int) {
	for _, o := range p.Old {
		if o.ID != self && !r.attempted[o.ID] {
			n++
		}
	}
	return n
}

// retryFailed begins another round, in which peers that failed are attempted again.
func (r *sweepProgress) retryFailed() {
	for id, ok := range r.attempted {
		if !ok {
			delete(r.attempted, id)
		}
	}
}
