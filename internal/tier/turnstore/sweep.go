package turnstore

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	keysMost     = 2000    // of one page
	statesMost   = 200     // keys asked for at once
	stateBytes   = 1 << 20 // of one answer, about
	bodiesMost   = 1000    // turns asked for at once
	bodyBytes    = 1 << 20 // of one answer, about
	sweepCall    = 700 * time.Millisecond
	bodiesCallIn = 3 * time.Second
	staysSilent  = 10 * time.Second       // a peer that failed is asked last for so long
	sweepAgain   = 100 * time.Millisecond // after a round in which a store did not answer
	catchUpAgain = 400 * time.Millisecond // after a start, while too few answer
	catchUpTries = 20
	lookEvery    = 100 * time.Millisecond // at the placement, where its changes are not told
	wholeEvery   = 10 * time.Second       // anti-entropy with one other store
	repairAfter  = 250 * time.Millisecond // a write may be on its way
)

// keepWhole brings the copies together: a whole sweep for each new placement, repairs, and a look at one other store
// now and then.
func (s *Server) keepWhole(ctx context.Context) {
	var changed <-chan struct{}
	caught, tries := false, 0 // up with what happened before the start
	next := s.Now()
	for ctx.Err() == nil {
		if s.Changed != nil {
			changed = s.Changed()
		}
		p := s.Placement()
		pause := lookEvery
		if s.Changed != nil {
			pause = wholeEvery
		}
		switch {
		case !s.placed(p):
		case s.toSweep(p):
			if s.sweep(ctx, p) {
				caught, next = true, s.Now().Add(jitter(wholeEvery))
			} else {
				pause = sweepAgain
			}
		case !caught:
			if tries++; s.compareAll(ctx, p) > p.FaultTolerance && tries < catchUpTries {
				pause = catchUpAgain
				break
			}
			caught, next = true, s.Now().Add(jitter(wholeEvery))
		default:
			if all := p.Stores(); !s.Now().Before(next) {
				_ = s.compare(ctx, p, all[rand.IntN(len(all))])
				next = s.Now().Add(jitter(wholeEvery))
			}
			pause = min(pause, max(next.Sub(s.Now()), time.Millisecond))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		case key := <-s.repair:
			s.mend(ctx, key)
		}
		timer.Stop()
	}
}

// placed tells whether a placement names this store.
func (s *Server) placed(p *Placement) bool {
	return p != nil && slices.ContainsFunc(p.Stores(), func(o Store) bool { return o.ID == s.id })
}

// compareAll brings in what all other stores have, and tells how many could not be asked.
func (s *Server) compareAll(ctx context.Context, p *Placement) (silent int) {
	for _, peer := range p.Stores() {
		if s.compare(ctx, p, peer) != nil {
			silent++
		}
	}
	return silent
}

func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// toSweep tells whether the store is to sweep: while joint all of the new list; then those that the change did not wait
// for, or whose placement was founded above theirs.
func (s *Server) toSweep(p *Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := p.New
	if len(list) == 0 && p.Generation > 1 {
		list = p.Old
	}
	return s.swept < p.Generation && slices.ContainsFunc(list, func(o Store) bool { return o.ID == s.id })
}

// sweep takes over from the stores of the old list what this store should hold by the new one; it tells whether that
// is complete. What was pulled in a round before is not pulled again.
func (s *Server) sweep(ctx context.Context, p *Placement) bool {
	s.sweeping.Lock()
	defer s.sweeping.Unlock()
	r := &s.rounds
	r.begin(p)
	for ctx.Err() == nil {
		peer, more := r.next(p, s.id, s.Now())
		if !more {
			break
		}
		err := s.pull(ctx, p, peer, nil, true)
		r.pulled(peer.ID, err == nil, s.Now())
		if err != nil && !errors.Is(err, ErrPlacementBehind) {
			s.Log.Debug("sweep of a store failed", "store", peer.Name, "gen", p.Generation, "err", err)
		}
	}
	missed := r.missed(p, s.id)
	r.again()
	if missed > p.FaultTolerance || ctx.Err() != nil {
		return false
	}
	if err := s.commitSwept(ctx, p.Generation); err != nil {
		s.noteWrite(err)
		return false
	}
	s.mu.Lock()
	s.swept = max(s.swept, p.Generation)
	s.mu.Unlock()
	s.Log.Debug("sweep complete", "gen", p.Generation, "missed", missed)
	return true
}

// compare brings in what another store has of the programs that both should hold.
func (s *Server) compare(ctx context.Context, p *Placement, peer Store) error {
	if peer.ID == s.id {
		return nil
	}
	var r digestReply
	if err := s.call(ctx, peer, MethodDigest, &digestCall{To: RequestHeader{peer.ID, p.Generation}, Asker: s.id}, &r, &r.Status); err != nil {
		return err
	}
	if len(r.Sums) != 8*buckets {
		return errors.Newf("sums of %d bytes: the two sides differ in version", len(r.Sums))
	}
	s.mu.Lock()
	mine := s.index.sums(p, s.id, peer.ID)
	s.mu.Unlock()
	var in []int
	for b, sum := range mine {
		if binary.BigEndian.Uint64(r.Sums[8*b:]) != sum {
			in = append(in, b)
		}
	}
	if len(in) == 0 {
		return nil
	}
	err := s.pull(ctx, p, peer, in, false)
	if err != nil {
		s.Log.Debug("comparison failed", "store", peer.Name, "err", err)
	}
	return err
}

// mend brings in programs that a front found not to be whole here.
func (s *Server) mend(ctx context.Context, key string) {
	timer := time.NewTimer(repairAfter)
	defer timer.Stop()
	keys := []string{key}
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			return
		case more := <-s.repair:
			if !slices.Contains(keys, more) {
				keys = append(keys, more)
			}
		case <-timer.C:
			waiting = false
		}
	}
	p := s.Placement()
	if p == nil {
		return
	}
	byPeer := map[string][]string{}
	for _, key := range keys {
		for _, g := range p.ReplicaSets(key) {
			for _, peer := range g {
				if peer.ID != s.id && !slices.Contains(byPeer[peer.ID], key) {
					byPeer[peer.ID] = append(byPeer[peer.ID], key)
				}
			}
		}
	}
	for _, peer := range p.Stores() {
		if keys := byPeer[peer.ID]; len(keys) > 0 {
			if err := s.fetch(ctx, p, peer, keys); err != nil {
				s.Log.Debug("repair failed", "store", peer.Name, "err", err)
			}
		}
	}
}
