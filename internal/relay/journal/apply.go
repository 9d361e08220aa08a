package journal

// apply updates the state with a record of n bytes that is stored in a segment.
func (s *state) apply(seq uint64, r *Record, segment uint64, n int64) {
	s.seq = seq
	switch r.Op {
	case OpTaken, opRewritten:
		s.acceptEntry(r, segment, n)
	case OpHealth:
		s.setStatus(outageKind, s.Unhealthy, r, segment)
	case OpDrain:
		s.setStatus(drainKind, s.Drains, r, segment)
	case OpOverride:
		s.setStatus(overrideKind, s.Overrides, r, segment)
	case opCompleted:
		s.retain(CompletedID{ID: r.ID, Sum: r.Sum, At: r.At}, segment)
	default:
		s.applyToEntry(s.Entries[r.ID], r, segment)
	}
}

// setStatus updates an outage, a drain or an override.
func (s *state) setStatus(kind itemKind, table map[string]Record, r *Record, segment uint64) {
	key := statusKey{kind, r.ID}
	if _, ok := table[r.ID]; ok {
		s.live -= entryGrowthReserve
		delete(table, r.ID)
		delete(s.statusPositions, key)
	}
	if r.Ran || kind == overrideKind {
		s.live += entryGrowthReserve
		table[r.ID] = *r
		s.statusPositions[key] = s.appendItem(kind, r.ID, segment)
	}
}

// acceptEntry adds a newly accepted entry, or the complete state of one that was rewritten.
func (s *state) acceptEntry(r *Record, segment uint64, n int64) {
	e := r.Entry
	previous := s.Entries[e.ID]
	if previous == e { // rewritten by this process: only its position changes
		e.position = s.appendItem(entryKind, e.ID, segment)
		return
	}
	if previous != nil && r.Op == OpTaken {
		return
	}
	if previous != nil {
		s.live -= previous.size
	}
	if e.acceptedSeq == 0 {
		e.acceptedSeq = s.seq
	}
	if e.size = n; e.Status == "" {
		e.size += entryGrowthReserve
	}
	s.live += e.size
	e.position = s.appendItem(entryKind, e.ID, segment)
	s.Entries[e.ID] = e
	s.dropCompleted(e.ID)
	if s.replaying {
		s.dropDeadItems()
	}
	delete(s.suspects, e.ID)
	delete(s.orphans, e.ID)
}

// applyToEntry updates an entry with a later record; the entry is nil if it is not known.
func (s *state) applyToEntry(e *Entry, r *Record, segment uint64) {
	completes := r.Op == OpEnd || r.Op == OpForget
	switch {
	case e == nil && completes:
		delete(s.orphans, r.ID)
		if r.Sum != 0 { // the records before it were compacted away
			s.retain(CompletedID{ID: r.ID, Sum: r.Sum, At: r.At}, segment)
		}
	case e == nil:
		if s.damaged {
			s.orphans[r.ID] = true
		}
	case completes:
		s.completeEntry(e, r, segment)
	case r.Op == OpTry:
		e.Tries++
		e.Out, e.OutAt, e.OutTo, e.Wait = true, r.At, r.Zone, r.Wait
		if r.Host != "" {
			e.Log = append(e.Log, Attempt{Host: r.Host, At: r.At})
			s.growEntry(e, r.liveGrowth(0))
		}
	case r.Op == OpOutcome && e.Out:
		e.Out = false
		if r.Ran && !e.Ran {
			e.Ran, e.RanAt, e.Zone = true, e.OutAt, e.OutTo
		}
		e.closeAttempt(r)
	case r.Op == OpNotice:
		if e.Sum = r.Sum; e.Sum == 0 {
			e.Sum = e.Checksum()
		}
		s.growEntry(e, int64(len(r.Why)-len(e.Body)))
		e.Status, e.Again, e.Body, e.Out = r.Status, r.Again, nil, false
		e.EndAt, e.Why = r.At, r.Why
	}
}

// growEntry changes the size of an entry's rewritten record by some bytes, which may be negative.
func (s *state) growEntry(e *Entry, bytes int64) { e.size, s.live = e.size+bytes, s.live+bytes }

// completeEntry removes an entry, and retains its id unless that may be reused.
func (s *state) completeEntry(e *Entry, r *Record, segment uint64) {
	s.live -= e.size
	delete(s.Entries, r.ID)
	delete(s.suspects, r.ID)
	if r.Op == OpEnd {
		sum := r.Sum
		if sum == 0 {
			sum = e.Checksum()
		}
		s.retain(CompletedID{ID: r.ID, Sum: sum, At: r.At}, segment)
	} else if s.replaying {
		s.forgottenAt[r.ID] = s.lastPosition
	}
}
