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
	maxKeysPerPage        = 2000                   // digests in one reply
	maxStatesPerCall      = 200                    // keys in one call
	maxStateBytes         = 1 << 20                // in one reply, about
	maxBodiesPerCall      = 1000                   // turns in one call
	maxBodyBytes          = 1 << 20                // in one reply, about
	sweepCallTimeout      = 700 * time.Millisecond // of calls for digests
	bodiesCallTimeout     = 3 * time.Second        // of calls for states and bodies
	peerFailureBackoff    = 10 * time.Second       // for which a sweep avoids a peer that failed
	sweepRetryDelay       = 100 * time.Millisecond // after an incomplete sweep
	catchUpRetryDelay     = 400 * time.Millisecond // after a start, while too few peers respond
	maxCatchUpAttempts    = 20
	placementPollInterval = 100 * time.Millisecond // where ServerOptions.Changed is nil
	antiEntropyInterval   = 10 * time.Second       // between comparisons with one random peer, jittered
	repairDelay           = 250 * time.Millisecond // after a repair notice: the write that was missed may be in flight
)

// antiEntropySchedule is when a store compares itself with its peers.
type antiEntropySchedule struct {
	caughtUp    bool // with what happened before the start
	attempts    int  // to catch up
	nextCompare time.Time
}

// runAntiEntropy brings the replicas together until ctx ends: a sweep under each new generation, a comparison with all
// peers after a start, periodic comparisons with one random peer, and repairs.
func (s *Server) runAntiEntropy(ctx context.Context) {
	var changed <-chan struct{}
	schedule := antiEntropySchedule{nextCompare: s.Now()}
	for ctx.Err() == nil {
		pause := placementPollInterval
		if s.Changed != nil {
			changed = s.Changed()
			pause = antiEntropyInterval
		}
		if p := s.Placement(); s.isPlaced(p) {
			pause = s.synchronize(ctx, p, &schedule, pause)
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

// synchronize does what is due under a placement. It returns the pause until the next call: the given one, or a shorter one
// where an attempt failed or the next comparison is due before.
func (s *Server) synchronize(ctx context.Context, p *Placement, schedule *antiEntropySchedule,
	pause time.Duration) time.Duration {
	switch {
	case s.needsSweep(p):
		if !s.sweep(ctx, p) {
			return sweepRetryDelay
		}
		schedule.caughtUp, schedule.nextCompare = true, s.Now().Add(jitter(antiEntropyInterval))
	case !schedule.caughtUp:
		schedule.attempts++
		if s.compareWithAll(ctx, p) > p.FaultTolerance && schedule.attempts < maxCatchUpAttempts {
			return catchUpRetryDelay
		}
		schedule.caughtUp, schedule.nextCompare = true, s.Now().Add(jitter(antiEntropyInterval))
	default:
		if all := p.Stores(); !s.Now().Before(schedule.nextCompare) {
			_ = s.compare(ctx, p, all[rand.IntN(len(all))])
			schedule.nextCompare = s.Now().Add(jitter(antiEntropyInterval))
		}
		return min(pause, max(schedule.nextCompare.Sub(s.Now()), time.Millisecond))
	}
	return pause
}

// isPlaced reports whether a placement lists this store.
func (s *Server) isPlaced(p *Placement) bool {
	return p != nil && ContainsStore(p.Stores(), s.id)
}

// compareWithAll compares with all peers and returns how many failed.
func (s *Server) compareWithAll(ctx context.Context, p *Placement) (failed int) {
	for _, peer := range p.Stores() {
		if s.compare(ctx, p, peer) != nil {
			failed++
		}
	}
	return failed
}

// jitter returns a random duration of three to five quarters of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// needsSweep reports whether the store must sweep: while joint, all stores of the new list must; while stable, those
// that the change did not wait for, and those whose placement was founded above their generation.
func (s *Server) needsSweep(p *Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := p.New
	if len(list) == 0 && p.Generation > 1 {
		list = p.Old
	}
	return s.sweptGeneration < p.Generation && ContainsStore(list, s.id)
}

// sweep fetches from the stores of the old list all that this store must have as a replica by the new one. It reports
// whether that is complete: all but FaultTolerance peers were pulled from, after they adopted the generation, and all is
// on disk. Peers that were pulled from in an earlier attempt of the same phase are not pulled from again.
func (s *Server) sweep(ctx context.Context, p *Placement) bool {
	s.sweepMu.Lock()
	defer s.sweepMu.Unlock()
	progress := &s.progress
	progress.begin(p)
	for ctx.Err() == nil {
		peer, more := progress.nextPeer(p, s.id, s.Now())
		if !more {
			break
		}
		err := s.pullKeys(ctx, p, peer, nil, true)
		progress.record(peer.ID, err == nil, s.Now())
		if err != nil && !errors.Is(err, ErrPlacementBehind) {
			s.Log.Debug("sweep of a store failed", "store", peer.Name, "gen", p.Generation, "err", err)
		}
	}
	missed := progress.missed(p, s.id)
	progress.retryFailed()
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
	s.Log.Debug("sweep complete", "gen", p.Generation, "missed", missed)
	return true
}

// compare compares digests with a peer and fetches what differs of the programs that have both stores as replicas.
func (s *Server) compare(ctx context.Context, p *Placement, peer Store) error {
	if peer.ID == s.id {
		return nil
	}
	var r digestReply
	c := &digestCall{To: RequestHeader{peer.ID, p.Generation}, Requester: s.id}
	if err := s.callPeer(ctx, peer, MethodDigest, c, &r, &r.Status); err != nil {
		return err
	}
	if len(r.Digests) != 8*bucketCount {
		return errors.Newf("digests of %d bytes: the two sides differ in version", len(r.Digests))
	}
	s.mu.Lock()
	own := s.index.bucketDigests(p, s.id, peer.ID)
	s.mu.Unlock()
	var differing []int
	for bucket, digest := range own {
		if binary.BigEndian.Uint64(r.Digests[8*bucket:]) != digest {
			differing = append(differing, bucket)
		}
	}
	if len(differing) == 0 {
		return nil
	}
	err := s.pullKeys(ctx, p, peer, differing, false)
	if err != nil {
		s.Log.Debug("comparison failed", "store", peer.Name, "err", err)
	}
	return err
}

// repair fetches a program, and others for which notices arrive within repairDelay, from their other replicas.
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
	byPeer := s.keysByPeer(p, keys)
	for _, peer := range p.Stores() {
		if keys := byPeer[peer.ID]; len(keys) > 0 {
			if err := s.fetchPrograms(ctx, p, peer, keys); err != nil {
				s.Log.Debug("repair failed", "store", peer.Name, "err", err)
			}
		}
	}
}

// keysByPeer returns the keys of which each peer is a replica, by the peer's ID.
func (s *Server) keysByPeer(p *Placement, keys []string) map[string][]string {
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
	return byPeer
}
