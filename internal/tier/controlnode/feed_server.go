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
	values    feed.ValueCache
	mu        sync.Mutex
	transfers feed.TransferLimiter
	waiting   []unconfirmed // of the loop
}

// unconfirmed is a poll that has something to answer, and waits for a round of confirmation begun after it came.
type unconfirmed struct {
	arrival time.Duration
	until   time.Duration // the poll has ended by then
	ready   chan struct{} // closed once it is confirmed, or the poll has ended
}

// moment is the feed after an index at one moment.
type moment struct {
	fresh   bool          // confirmed after the poll came
	lately  bool          // confirmed of late
	ready   chan struct{} // closed once what is here is confirmed; nil where nothing waits for it
	index   int64
	entries []chain.Entry // after the index
	kept    []chain.Entry // all that is committed
	hosts   []discovery.List
	delta   []discovery.Delta
	cores   []string
}

// follow answers followers of an earlier version, whole.
func (c *Core) follow(ctx context.Context, body []byte) (any, error) {
	var q feed.FollowRequest
	if err := rpc.Decode(body, &q); err != nil {
		return nil, err
	}
	now, err := c.await(ctx, &feed.ChangesRequest{Name: q.Name, Class: q.Class, AppliedIndex: q.AppliedIndex, ReceivedIndex: q.AppliedIndex, ActiveVersion: q.ActiveVersion, HostListTerm: q.HostListTerm,
		HostListNumber: q.HostListNumber, WaitMs: q.WaitMs})
	if err != nil {
		return nil, err
	}
	return &feed.FollowResponse{Confirmed: now.fresh, Index: now.index, Entries: now.entries, Hosts: now.hosts, Delta: now.delta, CoreAddrs: now.cores}, nil
}

// changes answers followers: short entries whole, long ones as differences or by name.
func (c *Core) changes(ctx context.Context, q *feed.ChangesRequest) (*feed.ChangesResponse, error) {
	now, err := c.await(ctx, q)
	if err != nil {
		return nil, err
	}
	a := &feed.ChangesResponse{Confirmed: now.fresh, Index: now.index, Hosts: now.hosts, Delta: now.delta, CoreAddrs: now.cores}
	if !now.fresh {
		return a, nil // nothing of it is taken
	}
	c.feed.values.Update(now.kept)
	for _, e := range now.entries {
		c.feed.values.Add(a, e, q.BaseValues)
	}
	return a, nil
}

// piece answers with a part of a large value that this node gave by its name, or has committed since.
func (c *Core) piece(_ context.Context, q *feed.ChunkRequest) (*feed.Chunk, error) {
	var kept []chain.Entry
	if !c.do(func() { kept = feed.FilterForFollowers(c.node.Chain().Committed(0)) }) {
		return nil, errStops
	}
	return c.feed.piece(q, kept, c.now()), nil
}

func (s *feedServer) piece(q *feed.ChunkRequest, committed []chain.Entry, now time.Duration) *feed.Chunk {
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

var errStops = errors.New("this node stops: ask another")

// freshSince tells whether followers may rely on what this node has for all that was committed before a poll arrived:
// a majority has confirmed it in a round begun after that. It runs in the loop.
func (c *Core) freshSince(arrival time.Duration) bool { return c.node.ConfirmedSince(arrival) }

// await waits for something that the follower does not have, for as long as it asks, and gives the feed then. What it
// gives is confirmed after the poll came; where that takes too long the answer says that it is not fresh.
func (c *Core) await(ctx context.Context, q *feed.ChangesRequest) (now moment, err error) {
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
		if !c.do(func() { now = c.moment(q, arrival, spent >= wait) }) {
			return now, errStops
		}
		over := spent >= wait
		stale := !now.lately && (over || q.ReceivedIndex > 0 && spent >= followFresh) // one that has nothing yet waits on
		if stale || spent >= wait+followFresh || now.fresh && (over || now.news(q)) {
			return now, nil
		}
		timer.Reset(nextLook(spent, wait, now.lately))
		select {
		case <-changed:
		case <-now.ready:
		case <-timer.C:
		case <-ctx.Done():
			return now, ctx.Err()
		}
	}
}

// nextLook is how long a poll may rest: until it has waited as long as it asked, or until it is given up.
func nextLook(spent, wait time.Duration, lately bool) time.Duration {
	switch {
	case !lately && spent < followFresh && followFresh < wait:
		return followFresh - spent
	case spent < wait:
		return wait - spent
	}
	return wait + followFresh - spent
}

func (m *moment) news(q *feed.ChangesRequest) bool {
	return m.index > q.ReceivedIndex || len(m.hosts)+len(m.delta) > 0
}

// confirmWait registers a poll that is to be answered, and asks for a round. It runs in the loop.
func (c *Core) confirmWait(arrival time.Duration, q *feed.ChangesRequest) chan struct{} {
	c.add(c.node.Refresh(c.now()))
	until := arrival + time.Duration(q.WaitMs)*time.Millisecond + followFresh
	w := unconfirmed{arrival: arrival, until: until, ready: make(chan struct{})}
	c.feed.waiting = append(c.feed.waiting, w)
	return w.ready
}

// wakeConfirmed wakes the polls whose round has ended, and forgets those that have ended themselves. The loop calls it after each batch.
func (c *Core) wakeConfirmed() {
	if len(c.feed.waiting) == 0 {
		return
	}
	c.feed.waiting = slices.DeleteFunc(c.feed.waiting, func(w unconfirmed) bool {
		if !c.freshSince(w.arrival) && c.now() <= w.until {
			return false
		}
		close(w.ready)
		return true
	})
}

// moment reads the feed for a follower, which is to be answered where there is news or its time is over. It runs in the
// loop.
func (c *Core) moment(q *feed.ChangesRequest, arrival time.Duration, over bool) (now moment) {
	state := c.node.Chain()
	now.index = state.State().Commit
	behind := now.index < q.ReceivedIndex // another node gave the follower more: this one lacks it
	now.fresh = !behind && c.freshSince(arrival)
	now.lately = !behind && c.node.Fresh()
	now.kept = feed.FilterForFollowers(state.Committed(0))
	now.entries = chain.EntriesAfter(now.kept, q.ReceivedIndex)
	if h := c.node.Hosts(); h != nil && h.Newer(&discovery.List{Term: q.HostListTerm, Number: q.HostListNumber}) {
		if d, ok := c.history.Since(q.HostListTerm, q.HostListNumber); ok && d.Term == h.Term && d.Number == h.Number {
			now.delta = []discovery.Delta{d}
		} else {
			now.hosts = []discovery.List{*h}
		}
	}
	for _, m := range c.node.View().Voters {
		now.cores = append(now.cores, m.Addr)
	}
	if !now.fresh && !behind && (over || now.news(q)) {
		now.ready = c.confirmWait(arrival, q)
	}
	return now
}
