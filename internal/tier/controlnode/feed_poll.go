package controlnode

import (
	"context"
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
)

// waitingPoll is a poll that has something to answer and waits for a confirmation round that starts after its arrival.
type waitingPoll struct {
	arrival time.Duration
	until   time.Duration // when the poll has ended at the latest
	ready   chan struct{} // closed once the poll is confirmed or has ended
}

// feedSnapshot is the feed after a follower's index, as the event loop read it for one check of a poll.
type feedSnapshot struct {
	confirmed bool              // by a round that started after the poll arrived
	recent    bool              // confirmed within the last SuspectTimeout
	ready     chan struct{}     // closed once the poll is confirmed or has ended; nil if no confirmation was requested
	index     int64             // commit index
	entries   []chain.Entry     // after the index that the follower has
	committed []chain.Entry     // all committed entries for followers
	hosts     []discovery.List  // the complete newest list, if the follower's is older and there is no delta from it
	delta     []discovery.Delta // a single delta from the follower's list to the newest one, if there is one
	coreAddrs []string          // of the voters
}

// hasUpdate reports whether the snapshot has entries or hosts that the follower lacks.
func (f *feedSnapshot) hasUpdate(poll *feed.ChangesRequest) bool {
	return f.index > poll.ReceivedIndex || len(f.hosts)+len(f.delta) > 0
}

// snapshotFeedRequest reads the feed for a poll, and requests a confirmation round if the poll is due for an answer.
type snapshotFeedRequest struct {
	poll     *feed.ChangesRequest
	arrival  time.Duration
	expired  bool // the poll has waited for its WaitMs
	snapshot feedSnapshot
}

func (r *snapshotFeedRequest) handle(s *Server) {
	r.snapshot = s.snapshotFeed(r.poll, r.arrival, r.expired)
}

// recordFollower records the state that a poll reports of its follower.
func (s *Server) recordFollower(poll *feed.ChangesRequest) {
	s.followers.Store(poll.Name, &Follower{
		Name:          poll.Name,
		Class:         poll.Class,
		ActiveVersion: poll.ActiveVersion,
		AppliedIndex:  poll.AppliedIndex,
		LastSeen:      time.Now(),
	})
}

// awaitUpdate waits, for at most the poll's WaitMs, for entries or hosts that the follower lacks, and returns the feed
// then. The snapshot is confirmed by a round that started after the poll arrived; if that takes too long, its confirmed
// field is false.
func (s *Server) awaitUpdate(ctx context.Context, poll *feed.ChangesRequest) (snapshot feedSnapshot, err error) {
	s.recordFollower(poll)
	request := &snapshotFeedRequest{poll: poll, arrival: s.now()}
	wait := time.Duration(poll.WaitMs) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		spent := s.now() - request.arrival
		expired := spent >= wait
		request.expired = expired
		if !s.runOnLoop(request) {
			return feedSnapshot{}, errStopping
		}
		snapshot = request.snapshot
		// This node is partitioned or behind. A follower without any entries keeps waiting until its WaitMs are over; one
		// that has entries gets an unconfirmed answer after pollGrace, and tries another node.
		stale := !snapshot.recent && (expired || poll.ReceivedIndex > 0 && spent >= pollGrace)
		if stale || spent >= wait+pollGrace || snapshot.confirmed && (expired || snapshot.hasUpdate(poll)) {
			return snapshot, nil
		}
		timer.Reset(pollSleep(spent, wait, snapshot.recent))
		select {
		case <-changed:
		case <-snapshot.ready:
		case <-timer.C:
		case <-ctx.Done():
			return snapshot, ctx.Err()
		}
	}
}

// pollSleep returns how long a poll may sleep: until its WaitMs are over, or until it is abandoned.
func pollSleep(spent, wait time.Duration, recent bool) time.Duration {
	switch {
	case !recent && spent < pollGrace && pollGrace < wait:
		return pollGrace - spent
	case spent < wait:
		return wait - spent
	}
	return wait + pollGrace - spent
}

// snapshotFeed reads the feed for a poll, which is due for an answer if there is an update or it has expired. It runs
// on the event loop.
func (s *Server) snapshotFeed(poll *feed.ChangesRequest, arrival time.Duration, expired bool) (f feedSnapshot) {
	replica := s.node.Chain()
	f.index = replica.State().Commit
	behind := f.index < poll.ReceivedIndex // the follower has received newer entries from another node
	f.confirmed = !behind && s.confirmedSince(arrival)
	f.recent = !behind && s.node.Fresh()
	f.committed = feed.FilterForFollowers(replica.Committed(0))
	f.entries = chain.EntriesAfter(f.committed, poll.ReceivedIndex)
	if h := s.node.Hosts(); h != nil && h.Newer(&discovery.List{Term: poll.HostListTerm, Number: poll.HostListNumber}) {
		if d, ok := s.hostListHistory.Since(poll.HostListTerm, poll.HostListNumber); ok && d.Term == h.Term && d.Number == h.Number {
			f.delta = []discovery.Delta{d}
		} else {
			f.hosts = []discovery.List{*h}
		}
	}
	for _, m := range s.node.View().Voters {
		f.coreAddrs = append(f.coreAddrs, m.Addr)
	}
	if !f.confirmed && !behind && (expired || f.hasUpdate(poll)) {
		f.ready = s.registerPoll(arrival, poll)
	}
	return f
}

// registerPoll registers a poll that is due for an answer, and requests a confirmation round. It runs on the event
// loop.
func (s *Server) registerPoll(arrival time.Duration, poll *feed.ChangesRequest) chan struct{} {
	s.mergeReady(s.node.RequestConfirmation(s.now()))
	until := arrival + time.Duration(poll.WaitMs)*time.Millisecond + pollGrace
	w := waitingPoll{arrival: arrival, until: until, ready: make(chan struct{})}
	s.feed.waitingPolls = append(s.feed.waitingPolls, w)
	return w.ready
}

// confirmedSince reports whether this node has everything that was committed before a poll arrived: a majority has
// confirmed the node in a round that started after the arrival. It runs on the event loop.
func (s *Server) confirmedSince(arrival time.Duration) bool { return s.node.ConfirmedSince(arrival) }

// wakeConfirmedPolls wakes and removes the polls that are confirmed or have ended. The event loop calls it after each
// batch.
func (s *Server) wakeConfirmedPolls() {
	if len(s.feed.waitingPolls) == 0 {
		return
	}
	s.feed.waitingPolls = slices.DeleteFunc(s.feed.waitingPolls, func(w waitingPoll) bool {
		if !s.confirmedSince(w.arrival) && s.now() <= w.until {
			return false
		}
		close(w.ready)
		return true
	})
}
