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
	maxKeysPerPage     = 2000    // of one page
	maxStatesPerCall   = 200     // keys asked for at once
	maxStateBytes   = 1 << 20 // of one answer, about
	maxBodiesPerCall   = 1000    // turns asked for at once
	maxBodyBytes    = 1 << 20 // of one answer, about
	sweepCallTimeout    = 700 * time.Millisecond
	bodiesCallTimeout = 3 * time.Second
	peerFailureBackoff  = 10 * time.Second       // a peer that failed is asked last for so long
	sweepRetryDelay   = 100 * time.Millisecond // after a round in which a store did not answer
	catchUpRetryDelay = 400 * time.Millisecond // after a start, while too few answer
	maxCatchUpAttempts = 20
	placementPollInterval    = 100 * time.Millisecond // at the placement, where its changes are not told
	antiEntropyInterval   = 10 * time.Second       // anti-entropy with one other store
	repairDelay  = 250 * time.Millisecond // a write may be on its way
)

// runAntiEntropy brings the copies together: a whole sweep for each new placement, repairs, and a look at one other store
// now and then.
func (s *Server) runAntiEntropy(ctx context.Context) {
	var changed <-chan struct{}
	caught, tries := false, 0 // up with what happened before the start
	next := s.Now()
	for ctx.Err() == nil {
		if s.Changed != nil {
			changed = s.Changed()
		}
		p := s.Placement()
		pause := placementPollInterval
		if s.Changed != nil {
			pause = antiEntropyInterval
		}
		switch {
		case !s.isPlaced(p):
		case s.needsSweep(p):
			if s.sweep(ctx, p) {
				caught, next = true, s.Now().Add(jitter(antiEntropyInterval))
			} else {
				pause = sweepRetryDelay
			}
		case !caught:
			if tries++; s.compareWithAll(ctx, p) > p.FaultTolerance && tries < maxCatchUpAttempts {
				pause = catchUpRetryDelay
				break
			}
			caught, next = true, s.Now().Add(jitter(antiEntropyInterval))
		default:
			if all := p.Stores(); !s.Now().Before(next) {
				_ = s.compare(ctx, p, all[rand.IntN(len(all))])
				next = s.Now().Add(jitter(antiEntropyInterval))
			}
			pause = min(pause, max(next.Sub(s.Now()), time.Millisecond))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		case key := <-s.repairs:
			s.repair(ctx, key)
		}
		timer.Stop()
	}
}

// isPlaced tells whether a placement names this store.
func (s *Server) isPlaced(p *Placement) bool {
	return p != nil && slices.ContainsFunc(p.Stores(), func(o Store) bool { return o.ID == s.id })
}

// compareWithAll brings in what all other stores have, and tells how many could not be asked.
func (s *Server) compareWithAll(ctx context.Context, p *Placement) (silent int) {
	for _, peer := range p.Stores() {
		if s.compare(ctx, p, peer) != nil {
			silent++
		}
	}
	return silent
}

func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// needsSweep tells whether the store is to sweep: while joint all of the new list; then those that the change did not wait
// for, or whose placement was founded above theirs.
func (s *Server) needsSweep(p *Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := p.New
	if len(list) == 0 && p.Generation > 1 {
		list = p.Old
	}
	return s.sweptGeneration < p.Generation && slices.ContainsFunc(list, func(o Store) bool { return o.ID == s.id })
}

// sweep takes over from the stores of the old list what this store should hold by the new one; it tells whether that
// is complete. What was pulled in a round before is not pulled again.
func (s *Server) sweep(ctx context.Context, p *Placement) bool {
	s.sweepMu.Lock()
	defer s.sweepMu.Unlock()
	r := &s.progress
	r.begin(p)
	for ctx.Err() == nil {
		peer, more := r.nextPeer(p, s.id, s.Now())
		if !more {
			break
		}
		err := s.pullKeys(ctx, p, peer, nil, true)
		r.record(peer.ID, err == nil, s.Now())
		if err != nil && !errors.Is(err, ErrPlacementBehind) {
			_ = s.Log.Log("sweep", peer.Name, "gen", p.Generation, "err", err)
		}
	}
	missed := r.missed(p, s.id)
	r.retryFailed()
	if missed > p.FaultTolerance || ctx.Err() != nil {
		return false
	}
	if err := s.commitSweep(ctx, p.Generation); err != nil {
		s.noteWriteError(err)
		return false
	}
	s.mu.Lock()
	s.sweptGeneration = max(s.sweptGeneration, p.Generation)
	s.mu.Unlock()
	_ = s.Log.Log("swept", p.Generation, "missed", missed)
	return true
}

// compare brings in what another store has of the programs that both should hold.
func (s *Server) compare(ctx context.Context, p *Placement, peer Store) error {
	if peer.ID == s.id {
		return nil
	}
	var r digestReply
	if err := s.callPeer(ctx, peer, MethodDigest, &digestCall{To: RequestHeader{peer.ID, p.Generation}, Requester: s.id}, &r, &r.Status); err != nil {
		return err
	}
	if len(r.Digests) != 8*bucketCount {
		return errors.Newf("sums of %d bytes: the two sides differ in version", len(r.Digests))
	}
	s.mu.Lock()
	mine := s.index.bucketDigests(p, s.id, peer.ID)
	s.mu.Unlock()
	var in []int
	for b, sum := range mine {
		if binary.BigEndian.Uint64(r.Digests[8*b:]) != sum {
			in = append(in, b)
		}
	}
	if len(in) == 0 {
		return nil
	}
	err := s.pullKeys(ctx, p, peer, in, false)
	if err != nil {
		_ = s.Log.Log("compare", peer.Name, "err", err)
	}
	return err
}

// repair brings in programs that a front found not to be whole here.
func (s *Server) repair(ctx context.Context, key string) {
	timer := time.NewTimer(repairDelay)
	defer timer.Stop()
	keys := []string{key}
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			return
		case more := <-s.repairs:
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
			if err := s.fetchPrograms(ctx, p, peer, keys); err != nil {
				_ = s.Log.Log("mend", peer.Name, "err", err)
			}
		}
	}
}
