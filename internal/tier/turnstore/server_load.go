package turnstore

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/budget"
)

// loadLedgers fills the index with the ledgers on disk.
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

// loadTurns fills the index with the turns on disk. How long ago they ended is not known for sure: their time counts from
// now on.
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

// loadFacts reads which placements the store has adopted and swept under.
func (s *Server) loadFacts() error {
	for name, to := range map[string]*int64{factAdopted: &s.persistedGeneration, factSwept: &s.sweptGeneration} {
		v, err := s.disk.Get(tableFacts, []byte(name))
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
