package turnstore

import (
	"context"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/budget"
)

// Handlers are the calls that the store takes.
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

func handle[C, R any](f func(context.Context, *C) R) rpc.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var c C
		if err := rpc.Decode(body, &c); err != nil {
			return nil, err
		}
		return f(ctx, &c), nil
	}
}

// admit tells why a call is not for this store under its placement; the mutex is held.
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

// authoritative tells whether the store has all that was promised under a placement, so that it may say what does not exist.
// The mutex is held.
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

// handleOpen reserves a turn and answers once the reservation is synced.
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
	// The ledger in memory may be ahead of the disk for a moment: it never says less than what was promised.
	e, _ := s.index.joinEntry(c.Program, budget.Entry{Turn: c.Turn, Tokens: c.MaxTokens}, now)
	var rows entryRows
	rows.add(c.Program, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.awaitSync(ctx, wrote); st != statusOK {
		return &openReply{Status: st}
	}
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK { // adopted meanwhile: a sweep may have missed the entry
		s.mu.Unlock()
		return &openReply{Status: st}
	}
	r, ids := s.openReply(c, now)
	s.mu.Unlock()
	if len(ids) > 0 {
		r.History, r.Missing, r.HasHistory = s.readHistory(c.Program, ids, r.Missing)
	}
	return r
}

// openReply tells of a program's ledger and of the previous turn; ids are the turns that make the history, if it is wanted.
// The mutex is held.
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

// remainingMs is for how long the turns of a program are kept at least, in ms; the mutex is held.
func (s *Server) remainingMs(p *program) int { return int(max(0, p.retainedUntil.Sub(s.Now()).Milliseconds())) }

// handleClose keeps a turn, settles its entry, and answers once both are synced.
func (s *Server) handleClose(ctx context.Context, c *closeCall) *statusReply {
	t := &c.Turn
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &statusReply{st}
	}
	e, _ := s.index.joinEntry(t.Key, budget.Entry{Turn: t.ID, Tokens: c.UsedTokens, Settled: true}, s.Now())
	s.index.extendRetention(t.Key, s.Now()) // its chain is kept from here on
	rows := entryRows{writes: encodeTurn(t)}
	rows.add(t.Key, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.awaitSync(ctx, wrote); st != statusOK {
		return &statusReply{st}
	}
	s.cache.put(&cachedIncrement{key: t.Key, id: t.ID, bytes: nonNil(t.Increment)})
	s.mu.Lock()
	s.index.addTurn(t.Key, t.ID, indexRow{Previous: t.Previous, Root: t.Root, RetainSeconds: t.RetainSeconds}, -1, s.Now())
	s.index.setCacheHost(t.ID, t.CacheHost, t.ContextTokens)
	st := s.admit(c.To) // adopted meanwhile: a sweep may have missed the turn
	s.mu.Unlock()
	return &statusReply{st}
}

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

func (s *Server) handleHistory(_ context.Context, c *historyCall) *historyReply {
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
	r.History, r.Missing, r.Found = s.readHistory(c.Key, ids, missing)
	return r
}

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
