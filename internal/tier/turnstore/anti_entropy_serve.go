package turnstore

import (
	"context"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"larchrouter/internal/sqlitelog"
)

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
	sums := s.index.bucketDigests(p, s.id, c.Requester)
	r := &digestReply{Digests: make([]byte, 0, 8*bucketCount)}
	for _, sum := range sums {
		r.Digests = binary.BigEndian.AppendUint64(r.Digests, sum)
	}
	return r
}

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
	adopted, kept := s.adoptedGeneration, s.persistedGeneration
	s.mu.Unlock()
	if c.Sweep && kept < adopted {
		// After a restart too it must take nothing by an older placement: what was swept would not hold it.
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
	r.Keys, r.More = s.index.digestPage(c.Buckets, c.Bucket, c.After, maxKeysPerPage, s.Now(), func(one *program) bool {
		return one.isReplica(p, c.Requester) && (c.Sweep || one.isReplica(p, s.id))
	})
	if r.More {
		r.After = r.Keys[len(r.Keys)-1].Key
		r.Bucket = bucketOf(r.After)
	}
	return r
}

func fact(name string, n int64) sqlitelog.Write {
	return sqlitelog.Write{Table: tableFacts, Key: []byte(name), Value: strconv.AppendInt(nil, n, 10)}
}

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
		if size += 40 * (len(state.Ledger) + len(state.Turns) + 1); size > maxStateBytes {
			break
		}
	}
	return r
}

func (s *Server) handleBodies(_ context.Context, c *bodiesCall) *bodiesReply {
	s.mu.Lock()
	if st := s.admit(c.To); st != statusOK {
		s.mu.Unlock()
		return &bodiesReply{Status: st}
	}
	r := &bodiesReply{}
	for _, id := range c.Turns {
		if t := s.index.findTurn("", id); t != nil {
			r.Turns = append(r.Turns, Record{Key: t.program.key, ID: id, Previous: t.previous, Root: t.root, RetainSeconds: int(t.program.retain / time.Second)})
		}
	}
	s.mu.Unlock()
	rows := make([][]byte, len(r.Turns))
	for i, t := range r.Turns {
		rows[i] = rowKey(t.Key, t.ID)
	}
	values, err := s.disk.GetMany(tableBodies, rows, maxBodyBytes) // past the cache: that is for turns that go on
	if err != nil {
		s.logFault("read", err)
		return &bodiesReply{Status: statusFailed}
	}
	r.Processed = len(c.Turns)
	if len(values) < len(rows) {
		r.Processed = slices.Index(c.Turns, r.Turns[len(values)].ID)
	}
	whole := r.Turns[:0]
	for i, v := range values {
		if t := r.Turns[i]; v != nil { // else expired a moment ago
			t.Increment = v
			whole = append(whole, t)
		}
	}
	r.Turns = whole
	return r
}

func (s *Server) handleRepair(_ context.Context, c *repairNotice) *statusReply {
	s.mu.Lock()
	st := s.admit(c.To)
	s.mu.Unlock()
	if st == statusOK {
		select {
		case s.repairs <- c.Key:
		default: // the next anti-entropy finds it
		}
	}
	return &statusReply{st}
}
