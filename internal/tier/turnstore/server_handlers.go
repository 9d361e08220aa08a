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
		MethodOpen:       handle(s.open),
		MethodClose:      handle(s.close),
		MethodSettle:     handle(s.settle),
		MethodReadLedger: handle(s.peek),
		MethodHistory:    handle(s.history),
		MethodFindTurn:   handle(s.find),
		MethodDigest:     handle(s.digest),
		MethodListKeys:   handle(s.keys),
		MethodStates:     handle(s.states),
		MethodBodies:     handle(s.bodies),
		MethodRepair:     handle(s.takeRepair),
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

// refuse tells why a call is not for this store under its placement; the mutex is held.
func (s *Server) refuse(h RequestHeader) int {
	if h.Store != s.id {
		return statusWrongStore
	}
	if p := s.Placement(); p != nil && p.Generation > s.adopted {
		s.adopted = p.Generation
	}
	if h.Generation < s.adopted {
		return statusOldPlacement
	}
	return statusOK
}

// valid tells whether the store has all that was promised under a placement, so that it may say what does not exist.
// The mutex is held.
func (s *Server) valid() bool {
	p := s.Placement()
	if p == nil {
		return false
	}
	for _, o := range p.Old {
		if o.ID == s.id {
			return true
		}
	}
	return s.swept == p.Generation && p.Generation > 0
}

// open reserves a turn and answers once the reservation is synced.
func (s *Server) open(ctx context.Context, c *openCall) *openReply {
	s.mu.Lock()
	now := s.Now()
	if st := s.refuse(c.To); st != statusOK {
		s.mu.Unlock()
		return &openReply{Status: st}
	}
	if !s.index.room() || s.full.Load() {
		s.mu.Unlock()
		return &openReply{Status: statusFull}
	}
	// The ledger in memory may be ahead of the disk for a moment: it never says less than what was promised.
	e, _ := s.index.join(c.Program, budget.Entry{Turn: c.Turn, Tokens: c.Need}, now)
	var rows entryRows
	rows.add(c.Program, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.wait(ctx, wrote); st != statusOK {
		return &openReply{Status: st}
	}
	s.mu.Lock()
	if st := s.refuse(c.To); st != statusOK { // adopted meanwhile: a sweep may have missed the entry
		s.mu.Unlock()
		return &openReply{Status: st}
	}
	r, ids := s.openAnswer(c, now)
	s.mu.Unlock()
	if len(ids) > 0 {
		r.History, r.Missing, r.Got = s.read(c.Program, ids, r.Missing)
	}
	return r
}

// openAnswer tells of a program's ledger and of the previous turn; ids are the turns that make the history, if it is wanted.
// The mutex is held.
func (s *Server) openAnswer(c *openCall, now time.Time) (r *openReply, ids []string) {
	r = &openReply{Valid: s.valid()}
	if p := s.index.get(c.Program); p != nil {
		r.Ledger = append(r.Ledger, p.ledger.Entries()...)
	}
	if c.Previous == "" {
		return r, nil
	}
	t := s.index.find(c.Program, c.Previous)
	if t == nil {
		return r, nil
	}
	s.index.open(c.Program, now)
	r.Known, r.LeftMs = true, s.left(t.program)
	r.Home, r.Context = t.home, t.context
	if c.History {
		ids, r.Missing = s.index.chain(t)
	}
	return r, ids
}

// left is for how long the turns of a program are kept at least, in ms; the mutex is held.
func (s *Server) left(p *program) int { return int(max(0, p.until.Sub(s.Now()).Milliseconds())) }

// close keeps a turn, settles its entry, and answers once both are synced.
func (s *Server) close(ctx context.Context, c *closeCall) *plainReply {
	t := &c.Turn
	s.mu.Lock()
	if st := s.refuse(c.To); st != statusOK {
		s.mu.Unlock()
		return &plainReply{st}
	}
	e, _ := s.index.join(t.Key, budget.Entry{Turn: t.ID, Tokens: c.Used, Settled: true}, s.Now())
	s.index.open(t.Key, s.Now()) // its chain is kept from here on
	rows := entryRows{writes: turnWrites(t)}
	rows.add(t.Key, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.wait(ctx, wrote); st != statusOK {
		return &plainReply{st}
	}
	s.pieces.put(&piece{key: t.Key, id: t.ID, bytes: nonNil(t.Increment)})
	s.mu.Lock()
	s.index.add(t.Key, t.ID, indexRow{Previous: t.Previous, Root: t.Root, Retain: t.RetainSeconds}, -1, s.Now())
	s.index.hint(t.ID, t.CacheHost, t.ContextTokens)
	st := s.refuse(c.To) // adopted meanwhile: a sweep may have missed the turn
	s.mu.Unlock()
	return &plainReply{st}
}

func (s *Server) settle(ctx context.Context, c *settleCall) *plainReply {
	s.mu.Lock()
	if st := s.refuse(c.To); st != statusOK {
		s.mu.Unlock()
		return &plainReply{st}
	}
	e, _ := s.index.join(c.Program, budget.Entry{Turn: c.Turn, Tokens: c.Used, Settled: true}, s.Now())
	var rows entryRows
	rows.add(c.Program, e)
	wrote := s.submit(rows)
	s.mu.Unlock()
	if st := s.wait(ctx, wrote); st != statusOK {
		return &plainReply{st}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &plainReply{s.refuse(c.To)}
}

func (s *Server) peek(_ context.Context, c *peekCall) *peekReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.refuse(c.To); st != statusOK {
		return &peekReply{Status: st}
	}
	r := &peekReply{}
	if p := s.index.get(c.Program); p != nil {
		r.Ledger = append(r.Ledger, p.ledger.Entries()...)
	}
	return r
}

func (s *Server) history(_ context.Context, c *historyCall) *historyReply {
	s.mu.Lock()
	if st := s.refuse(c.To); st != statusOK {
		s.mu.Unlock()
		return &historyReply{Status: st}
	}
	r := &historyReply{Valid: s.valid()}
	t := s.index.find(c.Key, c.Turn)
	if t == nil {
		s.mu.Unlock()
		return r
	}
	s.index.open(c.Key, s.Now())
	ids, missing := s.index.chain(t)
	r.LeftMs = s.left(t.program)
	s.mu.Unlock()
	r.History, r.Missing, r.Known = s.read(c.Key, ids, missing)
	return r
}

func (s *Server) find(_ context.Context, c *findCall) *findReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.refuse(c.To); st != statusOK {
		return &findReply{Status: st}
	}
	r := &findReply{Valid: s.valid()}
	if t := s.index.find("", c.Turn); t != nil {
		r.Known, r.Key = true, t.program.key
	}
	return r
}
