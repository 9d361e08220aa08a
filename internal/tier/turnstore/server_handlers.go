package turnstore

import (
	"context"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/budget"
)

// Handlers returns the RPC handlers of the store by method.
func (s *Server) Handlers() map[rpc.Method]rpc.Handler {
	return map[rpc.Method]rpc.Handler{
		MethodOpen:       handle(s.handleOpen),
		MethodClose:      handle(s.handleClose),
		MethodSettle:     handle(s.handleSettle),
		MethodReadLedger: handle(s.handleReadLedger),
		MethodHistory:    handle(s.handleHistory),
		MethodFindTurn:   handle(s.handleFindTurn),
		MethodDigest:     handle(s.handleDigest),
		MethodListKeys:   handle(s.handleListKeys),
		MethodStates:     handle(s.handleStates),
		MethodBodies:     handle(s.handleBodies),
		MethodRepair:     handle(s.handleRepair),
	}
}

// handle adapts a typed handler to rpc.Handler.
func handle[C, R any](f func(context.Context, *C) R) rpc.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var c C
		if err := rpc.Decode(body, &c); err != nil {
			return nil, err
		}
		return f(ctx, &c), nil
	}
}

// admit adopts the placement in force and returns the status with which a call must be rejected: for another store, or under
// an older placement. s.mu is held.
func (s *Server) admit(h RequestHeader) int {
	if h.Store != s.id {
		return statusWrongStore
	}
	if p := s.Placement(); p != nil && p.Generation > s.adoptedGeneration {
		s.adoptedGeneration = p.Generation
	}
	if h.Generation < s.adoptedGeneration {
		return statusOldPlacement
	}
	return statusOK
}

// authoritative reports whether the store has all that was acknowledged under the placement in force and before, so that it
// may deny that a turn exists. s.mu is held.
func (s *Server) authoritative() bool {
	p := s.Placement()
	if p == nil {
		return false
	}
	for _, o := range p.Old {
		if o.ID == s.id {
			return true
		}
	}
	return s.sweptGeneration == p.Generation && p.Generation > 0
}

// handleOpen adds a reservation to the ledger and replies once it is synced.
func (s *Server) handleOpen(ctx context.Context, c *openCall) *openReply {
	s.mu.Lock()
	now := s.Now()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &openReply{Status: st}
	}
	if !s.index.hasCapacity() || s.full.Load() {
		s.mu.Unlock()
		return &openReply{Status: statusFull}
	}
	// The ledger in memory is ahead of the disk until the sync; it never has less than what was acknowledged.
	e, _ := s.index.joinEntry(c.Program, budget.Entry{Turn: c.Turn, Tokens: c.MaxTokens}, now)
	var rows entryRows
	rows.add(c.Program, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.awaitSync(ctx, wrote); st != statusOK {
		return &openReply{Status: st}
	}
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK { // adopted during the sync: a sweep may have missed the entry
		s.mu.Unlock()
		return &openReply{Status: st}
	}
	r, ids := s.openReply(c, now)
	s.mu.Unlock()
	if len(ids) > 0 {
		history, missing, err := s.readHistory(ctx, c.Program, ids, r.Missing)
		if err != nil {
			return &openReply{Status: statusBusy}
		}
		r.History, r.Missing, r.HasHistory = history, missing, true
	}
	return r
}

// openReply returns the program's ledger and what the store knows of the previous turn. If the history is wanted, ids are the
// turns whose increments make it up. s.mu is held.
func (s *Server) openReply(c *openCall, now time.Time) (r *openReply, ids []string) {
	r = &openReply{Authoritative: s.authoritative()}
	if p := s.index.get(c.Program); p != nil {
		r.Ledger = append(r.Ledger, p.ledger.Entries()...)
	}
	if c.Previous == "" {
		return r, nil
	}
	t := s.index.findTurn(c.Program, c.Previous)
	if t == nil {
		return r, nil
	}
	s.index.extendRetention(c.Program, now)
	r.Found, r.RemainingMs = true, s.remainingMs(t.program)
	r.CacheHost, r.ContextTokens = t.cacheHost, t.contextTokens
	if c.WantHistory {
		ids, r.Missing = s.index.chain(t)
	}
	return r, ids
}

// remainingMs returns for how many milliseconds the turns of a program are retained at least. s.mu is held.
func (s *Server) remainingMs(p *program) int {
	return int(max(0, p.retainedUntil.Sub(s.Now()).Milliseconds()))
}

// handleClose stores a turn, settles its entry, and replies once both are synced.
func (s *Server) handleClose(ctx context.Context, c *closeCall) *statusReply {
	t := &c.Turn
	if len(t.Increment) > MaxIncrementBytes {
		return &statusReply{statusTooLong}
	}
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &statusReply{st}
	}
	e, _ := s.index.joinEntry(t.Key, budget.Entry{Turn: t.ID, Tokens: c.UsedTokens, Settled: true}, s.Now())
	s.index.extendRetention(t.Key, s.Now()) // its chain is retained from now on
	rows := entryRows{writes: encodeTurn(t)}
	rows.add(t.Key, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.awaitSync(ctx, wrote); st != statusOK {
		return &statusReply{st}
	}
	s.cache.put(&cachedIncrement{key: t.Key, id: t.ID, bytes: nonNil(t.Increment)})
	s.mu.Lock()
	row := indexRow{Previous: t.Previous, Root: t.Root, RetainSeconds: t.RetainSeconds}
	s.index.addTurn(t.Key, t.ID, row, -1, s.Now())
	s.index.setCacheHost(t.ID, t.CacheHost, t.ContextTokens)
	st := s.admit(c.To) // adopted during the sync: a sweep may have missed the turn
	s.mu.Unlock()
	return &statusReply{st}
}

// handleSettle settles an entry, and replies once it is synced.
func (s *Server) handleSettle(ctx context.Context, c *settleCall) *statusReply {
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &statusReply{st}
	}
	e, _ := s.index.joinEntry(c.Program, budget.Entry{Turn: c.Turn, Tokens: c.UsedTokens, Settled: true}, s.Now())
	var rows entryRows
	rows.add(c.Program, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.awaitSync(ctx, wrote); st != statusOK {
		return &statusReply{st}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &statusReply{s.admit(c.To)}
}

// handleReadLedger returns a program's ledger. It may include entries whose sync is pending.
func (s *Server) handleReadLedger(_ context.Context, c *readLedgerCall) *readLedgerReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.admit(c.To); st != statusOK {
		return &readLedgerReply{Status: st}
	}
	r := &readLedgerReply{}
	if p := s.index.get(c.Program); p != nil {
		r.Ledger = append(r.Ledger, p.ledger.Entries()...)
	}
	return r
}

// handleHistory returns the history of a turn as far as this store has its chain.
func (s *Server) handleHistory(ctx context.Context, c *historyCall) *historyReply {
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &historyReply{Status: st}
	}
	r := &historyReply{Authoritative: s.authoritative()}
	t := s.index.findTurn(c.Key, c.Turn)
	if t == nil {
		s.mu.Unlock()
		return r
	}
	s.index.extendRetention(c.Key, s.Now())
	ids, missing := s.index.chain(t)
	r.RemainingMs = s.remainingMs(t.program)
	s.mu.Unlock()
	history, missing, err := s.readHistory(ctx, c.Key, ids, missing)
	if err != nil {
		return &historyReply{Status: statusBusy}
	}
	r.History, r.Missing, r.Found = history, missing, true
	return r
}

// handleFindTurn returns the program of a turn.
func (s *Server) handleFindTurn(_ context.Context, c *findTurnCall) *findTurnReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.admit(c.To); st != statusOK {
		return &findTurnReply{Status: st}
	}
	r := &findTurnReply{Authoritative: s.authoritative()}
	if t := s.index.findTurn("", c.Turn); t != nil {
		r.Found, r.Key = true, t.program.key
	}
	return r
}
