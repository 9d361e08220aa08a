package controlnode

import (
	"context"
	"sync"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
)

// Follower is the state that a follower reported in its last poll.
type Follower struct {
	Name          string
	Class         string
	ActiveVersion int64 // version of the configuration in use at the follower
	AppliedIndex  int64
	LastSeen      time.Time
}

// feedServer is a control node's state for serving followers. The zero feedServer is ready for use.
type feedServer struct {
	values       feed.ValueCache
	mu           sync.Mutex // guards transfers
	transfers    feed.TransferLimiter
	waitingPolls []waitingPoll // owned by the event loop
}

// handleFollow answers a poll by a follower of an earlier release, with complete values.
func (s *Server) handleFollow(ctx context.Context, body []byte) (any, error) {
	var q feed.FollowRequest
	if err := rpc.Decode(body, &q); err != nil {
		return nil, err
	}
	snapshot, err := s.awaitUpdate(ctx, &feed.ChangesRequest{
		Name:           q.Name,
		Class:          q.Class,
		AppliedIndex:   q.AppliedIndex,
		ReceivedIndex:  q.AppliedIndex,
		ActiveVersion:  q.ActiveVersion,
		HostListTerm:   q.HostListTerm,
		HostListNumber: q.HostListNumber,
		WaitMs:         q.WaitMs,
	})
	if err != nil {
		return nil, err
	}
	return &feed.FollowResponse{
		Confirmed: snapshot.confirmed,
		Index:     snapshot.index,
		Entries:   snapshot.entries,
		Hosts:     snapshot.hosts,
		Delta:     snapshot.delta,
		CoreAddrs: snapshot.coreAddrs,
	}, nil
}

// handleChanges answers a poll by a follower: short values are sent complete, long ones as deltas or by digest.
func (s *Server) handleChanges(ctx context.Context, poll *feed.ChangesRequest) (*feed.ChangesResponse, error) {
	snapshot, err := s.awaitUpdate(ctx, poll)
	if err != nil {
		return nil, err
	}
	response := &feed.ChangesResponse{
		Confirmed: snapshot.confirmed,
		Index:     snapshot.index,
		Hosts:     snapshot.hosts,
		Delta:     snapshot.delta,
		CoreAddrs: snapshot.coreAddrs,
	}
	if !snapshot.confirmed {
		return response, nil // the follower ignores an unconfirmed response
	}
	s.feed.values.Update(snapshot.committed)
	for _, e := range snapshot.entries {
		s.feed.values.Add(response, e, poll.BaseValues)
	}
	return response, nil
}

// committedFeedQuery returns the committed entries that followers may have.
type committedFeedQuery struct{ entries []chain.Entry }

func (q *committedFeedQuery) handle(s *Server) {
	q.entries = feed.FilterForFollowers(s.node.Chain().Committed(0))
}

// handleChunk returns a chunk of a large value that this node announced by its digest, or has committed since.
func (s *Server) handleChunk(_ context.Context, request *feed.ChunkRequest) (*feed.Chunk, error) {
	query := &committedFeedQuery{}
	if !s.runOnLoop(query) {
		return nil, errStopping
	}
	return s.feed.serveChunk(request, query.entries, s.now()), nil
}

// serveChunk returns a chunk of a value, or ChunkBusy while too many followers transfer values.
func (f *feedServer) serveChunk(request *feed.ChunkRequest, committed []chain.Entry, now time.Duration) *feed.Chunk {
	f.values.Update(committed)
	chunk := f.values.Chunk(request)
	if chunk.Status != feed.ChunkServed {
		return chunk
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.transfers.Admit(request.Name, now) {
		return &feed.Chunk{Status: feed.ChunkBusy}
	}
	if chunk.Final {
		f.transfers.Release(request.Name)
	}
	return chunk
}
