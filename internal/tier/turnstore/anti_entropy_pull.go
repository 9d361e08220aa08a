package turnstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
)

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

// pullKeys brings in what another store has, in the given buckets (nil: all).
func (s *Server) pullKeys(ctx context.Context, p *Placement, peer Store, in []int, sweep bool) error {
	c := &listKeysCall{To: RequestHeader{peer.ID, p.Generation}, Requester: s.id, Sweep: sweep, Buckets: in}
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

// fetchPrograms brings in what another store has of some programs.
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
		left := map[string]time.Duration{}
		for _, state := range r.States {
			left[state.Key] = time.Duration(state.RemainingMs) * time.Millisecond
		}
		for len(turns) > 0 {
			n, err := s.fetchTurns(ctx, p, peer, turns[:min(len(turns), maxBodiesPerCall)], left)
			if err != nil {
				return err
			}
			turns = turns[n:]
		}
	}
	return nil
}

// applyStates joins in the ledgers of programs, writes what is new in them, and gives the turns that are lacking here.
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

// fetchTurns brings in turns, and tells with how many of them it is done.
func (s *Server) fetchTurns(ctx context.Context, p *Placement, peer Store, turns []string, left map[string]time.Duration) (int, error) {
	var r bodiesReply
	if err := s.callPeer(ctx, peer, MethodBodies, &bodiesCall{To: RequestHeader{peer.ID, p.Generation}, Turns: turns}, &r, &r.Status); err != nil {
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
		s.index.addTurn(t.Key, t.ID, indexRow{Previous: t.Previous, Root: t.Root, RetainSeconds: t.RetainSeconds}, left[t.Key], s.Now())
	}
	return r.Processed, nil
}
