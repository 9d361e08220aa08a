package turnstore

import (
	"slices"
	"time"
)

// sweepRounds is how far a store has come with the sweep of one phase of a placement. It is pure.
type sweepRounds struct {
	gen    int64
	joint  bool
	tried  map[string]bool      // peers by id, in this round: whether all was pulled from them
	silent map[string]time.Time // peers that failed a moment ago, until then
}

// begin starts anew with each phase: what was pulled while joint does not count for the stable placement, where fewer
// stores than before may have had a turn then.
func (r *sweepRounds) begin(p *Placement) {
	if joint := len(p.New) > 0; r.tried == nil || r.gen != p.Generation || r.joint != joint {
		r.gen, r.joint, r.tried = p.Generation, joint, map[string]bool{}
	}
}

// next gives the peer to pull from. Those that failed a moment ago come last, and not at all where they are not needed.
func (r *sweepRounds) next(p *Placement, self string, now time.Time) (Store, bool) {
	needed := r.missed(p, self) > p.FaultTolerance
	for _, silent := range []bool{false, true} {
		i := slices.IndexFunc(p.Old, func(o Store) bool {
			_, tried := r.tried[o.ID]
			return o.ID != self && !tried && now.Before(r.silent[o.ID]) == silent && (!silent || needed)
		})
		if i >= 0 {
			return p.Old[i], true
		}
	}
	return Store{}, false
}

// pulled notes how a pull ended.
func (r *sweepRounds) pulled(peer string, ok bool, now time.Time) {
	if r.tried[peer] = ok; ok {
		return
	}
	if r.silent == nil || len(r.silent) > 100 {
		r.silent = map[string]time.Time{}
	}
	r.silent[peer] = now.Add(staysSilent)
}

// missed is from how many stores nothing was pulled.
func (r *sweepRounds) missed(p *Placement, self string) (n int) {
	for _, o := range p.Old {
		if o.ID != self && !r.tried[o.ID] {
			n++
		}
	}
	return n
}

// again begins another round, in which those that failed are tried once more.
func (r *sweepRounds) again() {
	for id, ok := range r.tried {
		if !ok {
			delete(r.tried, id)
		}
	}
}
