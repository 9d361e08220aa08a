package turnstore

import (
	"context"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"larchrouter/internal/sqlitelog"
)

func (s *Server) digest(_ context.Context, c *digestCall) *digestReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.refuse(c.To); st != statusOK {
		return &digestReply{Status: st}
	}
	p := s.Placement()
	if p == nil || p.Generation < c.To.Generation {
		return &digestReply{Status: statusBehind}
	}
	sums := s.index.sums(p, s.id, c.Asker)
	r := &digestReply{Sums: make([]byte, 0, 8*buckets)}
	for _, sum := range sums {
		r.Sums = binary.BigEndian.AppendUint64(r.Sums, sum)
	}
	return r
}

func (s *Server) keys(ctx context.Context, c *keysCall) *keysReply {
	s.mu.Lock()
	if st := s.refuse(c.To); st != statusOK {
		s.mu.Unlock()
		return &keysReply{Status: st}
	}
	p := s.Placement()
	if p == nil || p.Generation < c.To.Generation {
		s.mu.Unlock()
		return &keysReply{Status: statusBehind}
	}
	adopted, kept := s.adopted, s.kept
	s.mu.Unlock()
	if c.Sweep && kept < adopted {
		// After a restart too it must take nothing by an older placement: what was swept would not hold it.
		err := s.disk.Commit(ctx, []sqlitelog.Write{fact(factAdopted, adopted)})
		if st := s.writeStatus(ctx, err); st != statusOK {
			return &keysReply{Status: st}
		}
		s.mu.Lock()
		s.kept = max(s.kept, adopted)
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &keysReply{}
	r.Keys, r.More = s.index.page(c.Buckets, c.Bucket, c.After, keysMost, s.Now(), func(one *program) bool {
		return one.holds(p, c.Asker) && (c.Sweep || one.holds(p, s.id))
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

func (s *Server) states(_ context.Context, c *statesCall) *statesReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.refuse(c.To); st != statusOK {
		return &statesReply{Status: st}
	}
	r := &statesReply{}
	size, now := 0, s.Now()
	for _, key := range c.Keys {
		state := keyState{Key: key}
		if p := s.index.get(key); p != nil {
			state.LeftMs = s.left(p)
			state.StaysMs = int(p.stays(now).Milliseconds())
			state.Ledger = append(state.Ledger, p.ledger.Entries()...)
			for _, t := range p.turns {
				state.Turns = append(state.Turns, t.id)
			}
		}
		r.States = append(r.States, state)
		if size += 40 * (len(state.Ledger) + len(state.Turns) + 1); size > stateBytes {
			break
		}
	}
	return r
}

func (s *Server) bodies(_ context.Context, c *bodiesCall) *bodiesReply {
	s.mu.Lock()
	if st := s.refuse(c.To); st != statusOK {
		s.mu.Unlock()
		return &bodiesReply{Status: st}
	}
	r := &bodiesReply{}
	for _, id := range c.Turns {
		if t := s.index.find("", id); t != nil {
			r.Turns = append(r.Turns, Record{Key: t.program.key, ID: id, Previous: t.previous, Root: t.root, RetainSeconds: int(t.program.retain / time.Second)})
		}
	}
	s.mu.Unlock()
	rows := make([][]byte, len(r.Turns))
	for i, t := range r.Turns {
		rows[i] = rowKey(t.Key, t.ID)
	}
	values, err := s.disk.GetMany(tableBodies, rows, bodyBytes) // past the cache: that is for turns that go on
	if err != nil {
		s.trouble("read", err)
		return &bodiesReply{Status: statusFailed}
	}
	r.Done = len(c.Turns)
	if len(values) < len(rows) {
		r.Done = slices.Index(c.Turns, r.Turns[len(values)].ID)
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

func (s *Server) takeRepair(_ context.Context, c *repairNotice) *plainReply {
	s.mu.Lock()
	st := s.refuse(c.To)
	s.mu.Unlock()
	if st == statusOK {
		select {
		case s.repair <- c.Key:
		default: // the next anti-entropy finds it
		}
	}
	return &plainReply{st}
}
