package turnstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
)

// callPeer calls a peer and returns the error of the call or of the reply's status, which status points to.
func (s *Server) callPeer(ctx context.Context, peer Store, m rpc.Method, call, reply any, status *int) error {
	limit := sweepCallTimeout
	if m == MethodBodies || m == MethodStates {
		limit = bodiesCallTimeout
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	if err := s.peers.Call(ctx, peer.Addr, m, call, reply); err != nil {
		return err
	}
	return statusError(*status)
}

// pullKeys fetches from a peer the programs whose digests differ, in the given buckets (nil: all). With sweep these are all
// programs that have this store as a replica, and the peer adopts the generation durably before it replies; else those that
// have both stores.
func (s *Server) pullKeys(ctx context.Context, p *Placement, peer Store, buckets []int, sweep bool) error {
	c := &listKeysCall{To: RequestHeader{peer.ID, p.Generation}, Requester: s.id, Sweep: sweep, Buckets: buckets}
	for {
		var r listKeysReply
		if err := s.callPeer(ctx, peer, MethodListKeys, c, &r, &r.Status); err != nil {
			return err
		}
		var want []string
		s.mu.Lock()
		for _, d := range r.Keys {
			if s.index.needsFetch(d) {
				want = append(want, d.Key)
			}
		}
		s.mu.Unlock()
		if err := s.fetchPrograms(ctx, p, peer, want); err != nil {
			return err
		}
		if !r.More {
			return nil
		}
		c.Bucket, c.After = r.Bucket, r.After
	}
}

// fetchPrograms joins a peer's ledgers of some programs and fetches the turns that this store lacks.
func (s *Server) fetchPrograms(ctx context.Context, p *Placement, peer Store, keys []string) error {
	for len(keys) > 0 {
		var r statesReply
		c := &statesCall{To: RequestHeader{peer.ID, p.Generation}, Keys: keys[:min(len(keys), maxStatesPerCall)]}
		if err := s.callPeer(ctx, peer, MethodStates, c, &r, &r.Status); err != nil {
			return err
		}
		if len(r.States) == 0 || len(r.States) > len(keys) {
			return errors.Newf("%d states for %d keys: the two sides differ in version", len(r.States), len(keys))
		}
		keys = keys[len(r.States):]
		turns, err := s.applyStates(ctx, r.States)
		if err != nil {
			return err
		}
		remaining := map[string]time.Duration{}
		for _, state := range r.States {
			remaining[state.Key] = time.Duration(state.RemainingMs) * time.Millisecond
		}
		for len(turns) > 0 {
			n, err := s.fetchTurns(ctx, p, peer, turns[:min(len(turns), maxBodiesPerCall)], remaining)
			if err != nil {
				return err
			}
			turns = turns[n:]
		}
	}
	return nil
}

// applyStates joins the ledgers of programs and returns the turns that this store lacks, once the entries that changed are
// synced.
func (s *Server) applyStates(ctx context.Context, states []keyState) (lacking []string, err error) {
	var rows entryRows
	s.mu.Lock()
	now := s.Now()
	for _, state := range states {
		for _, e := range state.Ledger {
			if !s.index.hasCapacity() {
				break
			}
			if e, changed := s.index.joinEntry(state.Key, e, now); changed {
				rows.add(state.Key, e)
			}
		}
		if s.index.rejectsRefetch(state.Key, time.Duration(state.ConfirmedMs)*time.Millisecond, digestOfTurns(state.Turns)) {
			continue
		}
		for _, id := range state.Turns {
			if s.index.findTurn("", id) == nil {
				lacking = append(lacking, id)
			}
		}
	}
	full := !s.index.hasCapacity()
	wrote := s.submit(rows)
	s.mu.Unlock()
	if err := wrote.Wait(ctx); err != nil {
		s.noteWriteError(err)
		return nil, err
	}
	if full {
		return nil, ErrFull
	}
	return lacking, nil
}

// fetchTurns fetches turns from a peer and returns how many of them, from the first on, it has processed. remaining is for how
// long the peer retains them, by program.
func (s *Server) fetchTurns(ctx context.Context, p *Placement, peer Store, turns []string,
	remaining map[string]time.Duration) (processed int, err error) {
	var r bodiesReply
	c := &bodiesCall{To: RequestHeader{peer.ID, p.Generation}, Turns: turns}
	if err := s.callPeer(ctx, peer, MethodBodies, c, &r, &r.Status); err != nil {
		return 0, err
	}
	if r.Processed <= 0 || r.Processed > len(turns) {
		return 0, errors.Newf("%d of %d turns done: the two sides differ in version", r.Processed, len(turns))
	}
	var writes []sqlitelog.Write
	for i := range r.Turns {
		writes = append(writes, encodeTurn(&r.Turns[i])...)
	}
	if err := s.disk.Commit(ctx, writes); err != nil {
		s.noteWriteError(err)
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range r.Turns {
		row := indexRow{Previous: t.Previous, Root: t.Root, RetainSeconds: t.RetainSeconds}
		s.index.addTurn(t.Key, t.ID, row, remaining[t.Key], s.Now())
	}
	return r.Processed, nil
}
