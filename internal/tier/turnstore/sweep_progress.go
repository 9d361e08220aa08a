package turnstore

import (
	"slices"
	"time"
)

// sweepProgress is how far a store has come with the sweep of one phase of a placement. It is pure.
type sweepProgress struct {
	generation    int64
	joint  bool
	attempted  map[string]bool      // peers by id, in this round: whether all was pulled from them
	avoidUntil map[string]time.Time // peers that failed a moment ago, until then
}

// begin starts anew with each phase: what was pulled while joint does not count for the stable placement, where fewer
// stores than before may have had a turn then.
func (r *sweepProgress) begin(p *Placement) {
	if joint := len(p.New) > 0; r.attempted == nil || r.generation != p.Generation || r.joint != joint {
		r.generation, r.joint, r.attempted = p.Generation, joint, map[string]bool{}
	}
}

// nextPeer gives the peer to pull from. Those that failed a moment ago come last, and not at all where they are not needed.
func (r *sweepProgress) nextPeer(p *Placement, self string, now time.Time) (Store, bool) {
	needed := r.missed(p, self) > p.FaultTolerance
	for _, silent := range []bool{false, true} {
		i := slices.IndexFunc(p.Old, func(o Store) bool {
			_, tried := r.attempted[o.ID]
			return o.ID != self && !tried && now.Before(r.avoidUntil[o.ID]) == silent && (!silent || needed)
		})
		if i >= 0 {
			return p.Old[i], true
		}
	}
	return Store{}, false
}

// record notes how a pull ended.
func (r *sweepProgress) record(peer string, ok bool, now time.Time) {
	if r.attempted[peer] = ok; ok {
		return
	}
	if r.avoidUntil == nil || len(r.avoidUntil) > 100 {
		r.avoidUntil = map[string]time.Time{}
	}
	r.avoidUntil[peer] = now.Add(peerFailureBackoff)
}

// missed is from how many stores nothing was pulled.
func (r *sweepProgress) missed(p *Placement, self string) (n int) {
	for _, o := range p.Old {
		if o.ID != self && !r.attempted[o.ID] {
			n++
		}
	}
	return n
}

// retryFailed begins another round, in which those that failed are tried once more.
func (r *sweepProgress) retryFailed() {
	for id, ok := range r.attempted {
		if !ok {
			delete(r.attempted, id)
		}
	}
}
