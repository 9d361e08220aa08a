package turnstore

import (
	"bytes"
	"context"
	"io"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/budget"
)

// Exports for the model in package turnstore_test, which cannot be in this package as it imports package placement.

type (
	Transport    = transport
	Pending      = pendingWrite
	OpenCall     = openCall
	OpenReply    = openReply
	CloseCall    = closeCall
	HistoryReply = historyReply
	StatesReply  = statesReply
	RepairNotice = repairNotice
	Disk         interface {
		disk
	}
)

const (
	RetainMargin        = retainMargin
	OpenTurnRetention   = openTurnRetention
	AntiEntropyInterval = antiEntropyInterval
	RepairDelay         = repairDelay
	Bodies              = tableBodies
	Entries             = tableEntries
	Facts               = FactsTable
)

// NewServerOn returns a server on a disk and a transport of the model.
func NewServerOn(d Disk, peers Transport, placement func() *Placement, changed func() <-chan struct{}) (*Server, error) {
	return newServer(ServerOptions{Placement: placement, Changed: changed, Log: process.NewLogger(io.Discard)}, d, peers)
}

// NewClientOn returns a client on a transport of the model.
func NewClientOn(stores Transport, placement func() *Placement, zone string) *Client {
	return newClient(placement, stores, zone, process.NewLogger(io.Discard))
}

// Turns returns the IDs of the store's turns by program.
func (s *Server) Turns() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]string{}
	for id, t := range s.index.turns {
		out[t.program.key] = append(out[t.program.key], id)
	}
	return out
}

// Has reports whether the store has a turn.
func (s *Server) Has(turn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.turns[turn] != nil
}

// Ledger returns the store's ledger of a program.
func (s *Server) Ledger(program string) (l budget.Ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.index.get(program); p != nil {
		l.Merge(append([]budget.Entry{}, p.ledger.Entries()...))
	}
	return l
}

// EntriesLacking returns the ledger entries of the store that are not among the rows of a disk.
func (s *Server) EntriesLacking(rows map[string][]byte) (lacking []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bucket := range s.index.programs {
		for _, p := range bucket {
			for _, e := range p.ledger.Entries() {
				w := encodeEntry(p.key, e)
				if !bytes.Equal(rows[string(w.Key)], w.Value) {
					lacking = append(lacking, p.key+"/"+e.Turn)
				}
			}
		}
	}
	return lacking
}

// ForgetExpired plants a fault: expired turns are not remembered.
func (s *Server) ForgetExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.index.expiredDigests[0])
	clear(s.index.expiredDigests[1])
}

// Expire deletes what has expired, as Run does periodically.
func (s *Server) Expire(ctx context.Context) {
	for s.expire(ctx) {
	}
}

// Compare compares the store with all peers, as Run does periodically with one.
func (s *Server) Compare(ctx context.Context) error {
	p := s.Placement()
	for _, o := range p.Stores() {
		if err := s.compare(ctx, p, o); err != nil {
			return err
		}
	}
	return nil
}
