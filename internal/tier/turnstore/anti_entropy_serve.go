package turnstore

import (
	"context"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"larchrouter/internal/sqlitelog"
)

const stateItemBytes = 40 // of a ledger entry or a turn ID in a reply, estimated

// handleDigest returns the digests of all buckets over the programs that have both stores as replicas.
func (s *Server) handleDigest(_ context.Context, c *digestCall) *digestReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.admit(c.To); st != statusOK {
		return &digestReply{Status: st}
	}
	p := s.Placement()
	if p == nil || p.Generation < c.To.Generation {
		return &digestReply{Status: statusBehind}
	}
	digests := s.index.bucketDigests(p, s.id, c.Requester)
	r := &digestReply{Digests: make([]byte, 0, 8*bucketCount)}
	for _, digest := range digests {
		r.Digests = binary.BigEndian.AppendUint64(r.Digests, digest)
	}
	return r
}

// handleListKeys returns a page of digests. For a sweep it first persists the generation that it has adopted.
func (s *Server) handleListKeys(ctx context.Context, c *listKeysCall) *listKeysReply {
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &listKeysReply{Status: st}
	}
	p := s.Placement()
	if p == nil || p.Generation < c.To.Generation {
		s.mu.Unlock()
		return &listKeysReply{Status: statusBehind}
	}
	adopted, persisted := s.adoptedGeneration, s.persistedGeneration
	s.mu.Unlock()
	if c.Sweep && persisted < adopted {
		// After a restart too the store must reject writes under an older placement: the sweep would have missed them.
		err := s.disk.Commit(ctx, []sqlitelog.Write{fact(factAdopted, adopted)})
		if st := s.writeStatus(ctx, err); st != statusOK {
			return &listKeysReply{Status: st}
		}
		s.mu.Lock()
		s.persistedGeneration = max(s.persistedGeneration, adopted)
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &listKeysReply{}
	r.Keys, r.More = s.index.digestPage(c.Buckets, c.Bucket, c.After, maxKeysPerPage, s.Now(), func(candidate *program) bool {
		return candidate.isReplica(p, c.Requester) && (c.Sweep || candidate.isReplica(p, s.id))
	})
	if r.More {
		r.After = r.Keys[len(r.Keys)-1].Key
		r.Bucket = bucketOf(r.After)
	}
	return r
}

// fact returns the write of a number in the table of facts.
func fact(name string, n int64) sqlitelog.Write {
	return sqlitelog.Write{Table: FactsTable, Key: []byte(name), Value: strconv.AppendInt(nil, n, 10)}
}

// handleStates returns the ledgers and turn IDs of the first of the requested programs, up to about maxStateBytes.
func (s *Server) handleStates(_ context.Context, c *statesCall) *statesReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.admit(c.To); st != statusOK {
		return &statesReply{Status: st}
	}
	r := &statesReply{}
	size, now := 0, s.Now()
	for _, key := range c.Keys {
		state := keyState{Key: key}
		if p := s.index.get(key); p != nil {
			state.RemainingMs = s.remainingMs(p)
			state.ConfirmedMs = int(p.confirmedRetention(now).Milliseconds())
			state.Ledger = append(state.Ledger, p.ledger.Entries()...)
			for _, t := range p.turns {
				state.Turns = append(state.Turns, t.id)
			}
		}
		r.States = append(r.States, state)
		if size += stateItemBytes * (len(state.Ledger) + len(state.Turns) + 1); size > maxStateBytes {
			break
		}
	}
	return r
}

// handleBodies returns the records of the first of the requested turns, up to about maxBodyBytes.
func (s *Server) handleBodies(_ context.Context, c *bodiesCall) *bodiesReply {
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &bodiesReply{Status: st}
	}
	r := &bodiesReply{}
	for _, id := range c.Turns {
		if t := s.index.findTurn("", id); t != nil {
			r.Turns = append(r.Turns, Record{Key: t.program.key, ID: id, Previous: t.previous, Root: t.root,
				RetainSeconds: int(t.program.retain / time.Second)})
		}
	}
	s.mu.Unlock()
	rows := make([][]byte, len(r.Turns))
	for i, t := range r.Turns {
		rows[i] = rowKey(t.Key, t.ID)
	}
	values, err := s.disk.GetMany(tableBodies, rows, maxBodyBytes) // not through the cache: that is for turns that are continued
	if err != nil {
		s.logFault("read", err)
		return &bodiesReply{Status: statusFailed}
	}
	r.Processed = len(c.Turns)
	if len(values) < len(rows) {
		r.Processed = slices.Index(c.Turns, r.Turns[len(values)].ID)
	}
	complete := r.Turns[:0]
	for i, v := range values {
		if t := r.Turns[i]; v != nil { // nil: expired since the index was read
			t.Increment = v
			complete = append(complete, t)
		}
	}
	r.Turns = complete
	return r
}

// handleRepair queues a program for repair. Where the queue is full, the notice is dropped.
func (s *Server) handleRepair(_ context.Context, c *repairNotice) *statusReply {
	s.mu.Lock()
	st := s.admit(c.To)
	s.mu.Unlock()
	if st == statusOK {
		select {
		case s.repairs <- c.Key:
		default: // the next comparison with a peer finds the difference
		}
	}
	return &statusReply{st}
}
