package turnstore

import (
	"bytes"
	"context"
	"io"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/budget"
)

// What the model in package turnstore_test sees: it needs package placement, which needs this one.

type (
	Network     = network
	Pending     = pending
	OpenCall    = openCall
	OpenReply   = openReply
	CloseCall   = closeCall
	PastReply   = historyReply
	StatesReply = statesReply
	Notice      = repairNotice
	Disk        interface {
		disk
	}
)

const (
	KeepMargin  = keepMargin
	OpenKeeps   = openKeeps
	WholeEvery  = wholeEvery
	RepairAfter = repairAfter
	Bodies      = tableBodies
	Entries     = tableEntries
	Facts       = tableFacts
)

// NewStoreOn makes a store of which the model has disk and network.
func NewStoreOn(d Disk, n Network, placement func() *Placement, changed func() <-chan struct{}) (*Server, error) {
	return newStore(ServerOptions{Placement: placement, Changed: changed, Log: process.NewLogger(io.Discard)}, d, n)
}

// NewClientOn makes a client of which the model has the network.
func NewClientOn(n Network, placement func() *Placement, zone string) *Client {
	return newClient(placement, n, zone, process.NewLogger(io.Discard))
}

// Turns are the ids of the turns that the store has, by program.
func (s *Server) Turns() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]string{}
	for id, t := range s.index.turns {
		out[t.program.key] = append(out[t.program.key], id)
	}
	return out
}

// Has tells whether the store has a turn.
func (s *Server) Has(turn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.turns[turn] != nil
}

// Ledger of a program at the store.
func (s *Server) Ledger(program string) (l budget.Ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.index.get(program); p != nil {
		l.Merge(append([]budget.Entry{}, p.ledger.Entries()...))
	}
	return l
}

// EntriesLacking are the entries of ledgers that the store holds and for which a table of rows has none.
func (s *Server) EntriesLacking(rows map[string][]byte) (lacking []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bucket := range s.index.programs {
		for _, p := range bucket {
			for _, e := range p.ledger.Entries() {
				w := entryWrite(p.key, e)
				if !bytes.Equal(rows[string(w.Key)], w.Value) {
					lacking = append(lacking, p.key+"/"+e.Turn)
				}
			}
		}
	}
	return lacking
}

// ForgetGone plants a fault: what has expired is not remembered.
func (s *Server) ForgetGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.index.gone[0])
	clear(s.index.gone[1])
}

// Expire drops what is over now, as Run does now and then.
func (s *Server) Expire(ctx context.Context) {
	for s.expire(ctx) {
	}
}

// Compare brings in what all others have, as Run does now and then with one.
func (s *Server) Compare(ctx context.Context) error {
	p := s.Placement()
	for _, o := range p.Stores() {
		if err := s.compare(ctx, p, o); err != nil {
			return err
		}
	}
	return nil
}
