package controlnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
)

// Follower is what a core node knows of one of its followers.
type Follower struct {
	Name          string
	Class         string
	ActiveVersion int64 // version acted on
	AppliedIndex  int64
	LastSeen      time.Time
}

// feedServer is what a core node keeps for its followers. The zero feedServer is ready for use.
type feedServer struct {
	values       feed.ValueCache
	mu           sync.Mutex
	transfers    feed.TransferLimiter
	waitingPolls []waitingPoll // of the loop
}

// waitingPoll is a poll that has something to answer, and waits for a round of confirmation begun after it came.
type waitingPoll struct {
	arrival time.Duration
	until   time.Duration // the poll has ended by then
	ready   chan struct{} // closed once it is confirmed, or the poll has ended
}

// feedSnapshot is the feed after an index at one feedSnapshot.
type feedSnapshot struct {
	confirmed bool          // confirmed after the poll came
	recent    bool          // confirmed of late
	ready     chan struct{} // closed once what is here is confirmed; nil where nothing waits for it
	index     int64
	entries   []chain.Entry // after the index
	committed []chain.Entry // all that is committed
	hosts     []discovery.List
	delta     []discovery.Delta
	coreAddrs []string
}

// handleFollow answers followers of an earlier version, whole.
func (c *Server) handleFollow(ctx context.Context, body []byte) (any, error) {
	var q feed.FollowRequest
	if err := rpc.Decode(body, &q); err != nil {
		return nil, err
	}
	now, err := c.awaitUpdate(ctx, &feed.ChangesRequest{Name: q.Name, Class: q.Class, AppliedIndex: q.AppliedIndex, ReceivedIndex: q.AppliedIndex, ActiveVersion: q.ActiveVersion, HostListTerm: q.HostListTerm,
		HostListNumber: q.HostListNumber, WaitMs: q.WaitMs})
	if err != nil {
		return nil, err
	}
	return &feed.FollowResponse{Confirmed: now.confirmed, Index: now.index, Entries: now.entries, Hosts: now.hosts, Delta: now.delta, CoreAddrs: now.coreAddrs}, nil
}

// handleChanges answers followers: short entries whole, long ones as differences or by name.
func (c *Server) handleChanges(ctx context.Context, q *feed.ChangesRequest) (*feed.ChangesResponse, error) {
	now, err := c.awaitUpdate(ctx, q)
	if err != nil {
		return nil, err
	}
	a := &feed.ChangesResponse{Confirmed: now.confirmed, Index: now.index, Hosts: now.hosts, Delta: now.delta, CoreAddrs: now.coreAddrs}
	if !now.confirmed {
		return a, nil // nothing of it is taken
	}
	c.feed.values.Update(now.committed)
	for _, e := range now.entries {
		c.feed.values.Add(a, e, q.BaseValues)
	}
	return a, nil
}

// handleChunk answers with a part of a large value that this node gave by its name, or has committed since.
func (c *Server) handleChunk(_ context.Context, q *feed.ChunkRequest) (*feed.Chunk, error) {
	var kept []chain.Entry
	if !c.runOnLoop(func() { kept = feed.FilterForFollowers(c.node.Chain().Committed(0)) }) {
		return nil, errStopping
	}
	return c.feed.serveChunk(q, kept, c.now()), nil
}

func (s *feedServer) serveChunk(q *feed.ChunkRequest, committed []chain.Entry, now time.Duration) *feed.Chunk {
	s.values.Update(committed)
	p := s.values.Chunk(q)
	if p.Status != feed.ChunkServed {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.transfers.Admit(q.Name, now) {
		return &feed.Chunk{Status: feed.ChunkBusy}
	}
	if p.Final {
		s.transfers.Release(q.Name)
	}
	return p
}

var errStopping = errors.New("this node stops: ask another")

// confirmedSince tells whether followers may rely on what this node has for all that was committed before a poll arrived:
// a majority has confirmed it in a round begun after that. It runs in the loop.
func (c *Server) confirmedSince(arrival time.Duration) bool { return c.node.ConfirmedSince(arrival) }

// awaitUpdate waits for something that the follower does not have, for as long as it asks, and gives the feed then. What it
// gives is confirmed after the poll came; where that takes too long the answer says that it is not fresh.
func (c *Server) awaitUpdate(ctx context.Context, q *feed.ChangesRequest) (now feedSnapshot, err error) {
	c.followers.Store(q.Name, &Follower{Name: q.Name, Class: q.Class, ActiveVersion: q.ActiveVersion, AppliedIndex: q.AppliedIndex, LastSeen: time.Now()})
	arrival := c.now()
	wait := time.Duration(q.WaitMs) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		spent := c.now() - arrival
		if !c.runOnLoop(func() { now = c.snapshotFeed(q, arrival, spent >= wait) }) {
			return now, errStopping
		}
		over := spent >= wait
		stale := !now.recent && (over || q.ReceivedIndex > 0 && spent >= pollGrace) // one that has nothing yet waits on
		if stale || spent >= wait+pollGrace || now.confirmed && (over || now.hasUpdate(q)) {
			return now, nil
		}
		timer.Reset(nextCheck(spent, wait, now.recent))
		select {
		case <-changed:
		case <-now.ready:
		case <-timer.C:
		case <-ctx.Done():
			return now, ctx.Err()
		}
	}
}

// nextCheck is how long a poll may rest: until it has waited as long as it asked, or until it is given up.
func nextCheck(spent, wait time.Duration, lately bool) time.Duration {
	switch {
	case !lately && spent < pollGrace && pollGrace < wait:
		return pollGrace - spent
	case spent < wait:
		return wait - spent
	}
	return wait + pollGrace - spent
}

func (m *feedSnapshot) hasUpdate(q *feed.ChangesRequest) bool {
	return m.index > q.ReceivedIndex || len(m.hosts)+len(m.delta) > 0
}

// registerPoll registers a poll that is to be answered, and asks for a round. It runs in the loop.
func (c *Server) registerPoll(arrival time.Duration, q *feed.ChangesRequest) chan struct{} {
	c.mergeReady(c.node.RequestConfirmation(c.now()))
	until := arrival + time.Duration(q.WaitMs)*time.Millisecond + pollGrace
	w := waitingPoll{arrival: arrival, until: until, ready: make(chan struct{})}
	c.feed.waitingPolls = append(c.feed.waitingPolls, w)
	return w.ready
}

// wakeConfirmedPolls wakes the polls whose round has ended, and forgets those that have ended themselves. The loop calls it after each batch.
func (c *Server) wakeConfirmedPolls() {
	if len(c.feed.waitingPolls) == 0 {
		return
	}
	c.feed.waitingPolls = slices.DeleteFunc(c.feed.waitingPolls, func(w waitingPoll) bool {
		if !c.confirmedSince(w.arrival) && c.now() <= w.until {
			return false
		}
		close(w.ready)
		return true
	})
}

// snapshotFeed reads the feed for a follower, which is to be answered where there is news or its time is over. It runs in the
// loop.
func (c *Server) snapshotFeed(q *feed.ChangesRequest, arrival time.Duration, over bool) (now feedSnapshot) {
	state := c.node.Chain()
	now.index = state.State().Commit
	behind := now.index < q.ReceivedIndex // another node gave the follower more: this one lacks it
	now.confirmed = !behind && c.confirmedSince(arrival)
	now.recent = !behind && c.node.Fresh()
	now.committed = feed.FilterForFollowers(state.Committed(0))
	now.entries = chain.EntriesAfter(now.committed, q.ReceivedIndex)
	if h := c.node.Hosts(); h != nil && h.Newer(&discovery.List{Term: q.HostListTerm, Number: q.HostListNumber}) {
		if d, ok := c.hostListHistory.Since(q.HostListTerm, q.HostListNumber); ok && d.Term == h.Term && d.Number == h.Number {
			now.delta = []discovery.Delta{d}
		} else {
			now.hosts = []discovery.List{*h}
		}
	}
	for _, m := range c.node.View().Voters {
		now.coreAddrs = append(now.coreAddrs, m.Addr)
	}
	if !now.confirmed && !behind && (over || now.hasUpdate(q)) {
		now.ready = c.registerPoll(arrival, q)
	}
	return now
}
