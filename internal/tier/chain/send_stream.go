package chain

// sendStream is the sender's side of a stream of updates. The zero value sends nothing until an acknowledgement reports the
// receiver's position.
type sendStream struct {
	positionKnown      bool
	incarnation        int64    // of the receiver's process
	base               int64    // commit index of the receiver
	acknowledged       Position // position in the last acknowledgement received; these may arrive out of order
	sent               Position // position after everything that was sent
	inTransfer         *Entry   // partially sent entry; retained here because it may be compacted away before it is sent completely
	inTransferChecksum int64
	sentThrough        int64        // Through of the last complete update; below 0 for none
	completeThrough    int64        // the receiver has all entries up to it; below 0 while it is not active
	inFlight           []sentUpdate // updates not acknowledged yet, in order
	inFlightBytes      int          // including fragmentCost

	// Retransmission; see resend.
	progressed           bool // since the last call of resend
	callsWithoutProgress int
	backoff              int // calls of resend without progress after which it retransmits
}

// maxBackoff is the maximum number of calls of resend between two retransmissions. The backoff keeps retransmissions from
// saturating a slow link.
const maxBackoff = 16

type sentUpdate struct {
	after Position // position of the receiver once it has the update
	bytes int
}

// handleAck handles an acknowledgement from the receiver. completeThrough is the index up to which the receiver has all entries,
// below 0 while it is not active. A receiver that was restarted, or whose commit index changed while it was not active, starts
// a new stream.
func (s *sendStream) handleAck(incarnation int64, ack Ack, completeThrough int64) {
	if s.positionKnown && incarnation < s.incarnation {
		return
	}
	if !s.positionKnown || incarnation != s.incarnation || s.base != ack.Commit && completeThrough < 0 {
		*s = sendStream{positionKnown: true, incarnation: incarnation, base: ack.Commit, acknowledged: ack.Received,
			sent: ack.Received, sentThrough: -1, completeThrough: completeThrough, progressed: true, backoff: 1}
		return
	}
	if s.acknowledged.Less(ack.Received) || s.completeThrough < completeThrough {
		s.progressed = true
	}
	s.base, s.acknowledged = ack.Commit, ack.Received
	s.completeThrough = max(s.completeThrough, completeThrough)
	for len(s.inFlight) > 0 && !s.acknowledged.Less(s.inFlight[0].after) {
		s.inFlightBytes -= s.inFlight[0].bytes
		s.inFlight = s.inFlight[1:]
	}
	if s.sent.Less(s.acknowledged) {
		s.rewind()
	}
}

// resend rewinds to the acknowledged position after backoff calls without progress, and doubles the backoff. An idle stream does
// not back off: if the next update on it is lost, the first call retransmits it.
func (s *sendStream) resend() {
	if s.progressed || !s.positionKnown || s.idle() {
		s.progressed, s.callsWithoutProgress, s.backoff = false, 0, 1
		return
	}
	if s.callsWithoutProgress++; s.callsWithoutProgress < s.backoff {
		return
	}
	s.rewind()
	s.callsWithoutProgress, s.backoff = 0, min(2*s.backoff, maxBackoff)
}

// idle reports whether the receiver has acknowledged and applied everything that was sent.
func (s *sendStream) idle() bool {
	return s.sent == s.acknowledged && s.completeThrough >= max(s.sentThrough, 0)
}

// rewind continues the stream after the acknowledged position, which may also be ahead of what was sent.
func (s *sendStream) rewind() {
	s.sent, s.inFlight, s.inFlightBytes, s.sentThrough = s.acknowledged, nil, 0, -1
}

// nextUpdate returns the next update with entries up to the index limit. It returns false if there is none or the window is full.
func (s *sendStream) nextUpdate(entries []Entry, limit int64) (update Update, ok bool) {
	if !s.positionKnown || s.completeThrough >= limit || s.inFlightBytes >= windowSize {
		return Update{}, false
	}
	entry := s.nextEntry(entries, limit) // must precede the read of s.sent: it drops a partial entry that cannot be continued
	update = Update{Base: s.base, After: s.sent}
	remaining := ChunkSize
	for ; entry != nil && remaining > 0; entry = s.nextEntry(entries, limit) {
		fragment := s.nextFragment(entry, remaining)
		remaining -= len(fragment.Data) + fragmentCost
		update.Fragments = append(update.Fragments, fragment)
	}
	if entry == nil && s.sentThrough < limit {
		update.Complete, update.Through, s.sentThrough = true, limit, limit
	}
	if len(update.Fragments) == 0 && !update.Complete {
		return Update{}, false
	}
	size := ChunkSize - remaining
	s.inFlight = append(s.inFlight, sentUpdate{s.sent, size})
	s.inFlightBytes += size
	return update, true
}

// nextEntry returns the entry whose next fragment is to be sent, or nil. If a partially sent entry is no longer available, the
// stream continues with the entry after it, and the receiver drops the part that it has.
func (s *sendStream) nextEntry(entries []Entry, limit int64) *Entry {
	if s.sent.PartialBytes > 0 && s.findInTransfer(entries) {
		return s.inTransfer
	}
	s.sent.PartialIndex, s.sent.PartialBytes = 0, 0
	rest := EntriesAfter(entries, s.sent.LastIndex)
	if len(rest) == 0 || rest[0].Index > limit {
		return nil
	}
	return &rest[0]
}

// findInTransfer sets inTransfer to the entry that was sent partially, possibly by another member. It reports whether there is
// such an entry with bytes left to send.
func (s *sendStream) findInTransfer(entries []Entry) bool {
	if s.inTransfer == nil || s.inTransfer.Index != s.sent.PartialIndex {
		s.inTransfer = nil
		for _, e := range EntriesAfter(entries, s.sent.PartialIndex-1) {
			if e.Index == s.sent.PartialIndex {
				s.inTransfer, s.inTransferChecksum = &e, checksum(e.Value)
				break
			}
		}
	}
	return s.inTransfer != nil && s.sent.PartialBytes < int64(len(s.inTransfer.Value))
}

// nextFragment returns the next fragment of an entry, of at most remaining bytes, and advances the sent position.
func (s *sendStream) nextFragment(entry *Entry, remaining int) Fragment {
	if s.inTransfer != entry {
		copied := *entry
		s.inTransfer, s.inTransferChecksum = &copied, checksum(entry.Value)
	}
	size := int64(len(entry.Value))
	n := min(int64(remaining), size-s.sent.PartialBytes)
	fragment := Fragment{Index: entry.Index, Key: entry.Key, ValueSize: size, Checksum: s.inTransferChecksum,
		Offset: s.sent.PartialBytes, Data: entry.Value[s.sent.PartialBytes : s.sent.PartialBytes+n]}
	if fragment.Offset+n < size {
		s.sent.PartialIndex, s.sent.PartialBytes = entry.Index, fragment.Offset+n
	} else {
		s.inTransfer, s.sent = nil, Position{LastIndex: entry.Index}
	}
	return fragment
}
