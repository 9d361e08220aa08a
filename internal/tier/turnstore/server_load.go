package turnstore

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/budget"
)

// loadLedgers adds the ledgers on disk to the index.
func (s *Server) loadLedgers(now time.Time) error {
	return s.disk.Range(tableEntries, nil, nil, func(k, v []byte) error {
		program, turn, err := parseRowKey(k)
		if err != nil {
			return err
		}
		var row entryRow
		if err := rpc.Decode(v, &row); err != nil {
			return err
		}
		s.index.joinEntry(program, budget.Entry{Turn: turn, Tokens: row.Tokens, Settled: row.Settled}, now)
		return nil
	})
}

// loadTurns adds the turns on disk to the index. When they ended is not persisted: their retention time starts anew, and is
// not confirmed to peers.
func (s *Server) loadTurns(now time.Time) error {
	return s.disk.Range(tableTurns, nil, nil, func(k, v []byte) error {
		program, turn, err := parseRowKey(k)
		if err != nil {
			return err
		}
		var row indexRow
		if err := rpc.Decode(v, &row); err != nil {
			return err
		}
		s.index.addTurn(program, turn, row, -1, now)
		s.index.get(program).confirmedUntil = time.Time{}
		return nil
	})
}

// loadFacts reads the generations that the store has adopted and swept.
func (s *Server) loadFacts() error {
	for name, to := range map[string]*int64{factAdopted: &s.persistedGeneration, factSwept: &s.sweptGeneration} {
		v, err := s.disk.Get(FactsTable, []byte(name))
		if err != nil {
			return err
		}
		if v == nil {
			continue
		}
		if *to, err = strconv.ParseInt(string(v), 10, 64); err != nil {
			return errors.Wrapf(err, "fact %s", name)
		}
	}
	return nil
}
