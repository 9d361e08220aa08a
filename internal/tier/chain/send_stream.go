package chain

// sendStream is the sender's side of a stream of updates. The zero value sends nothing before an acknowledgement with the
// receiver's position.
type sendStream struct {
	positionKnown      bool
	incarnation        int64    // of the receiver's process
	base               int64    // commit index of the receiver
	acknowledged       Position // of the last acknowledgement; these may be reordered
	sent               Position // after all that was sent
	inTransfer         *Entry   // the entry that was sent partially: it may be compacted away before it is sent completely
	inTransferChecksum int64
	sentThrough        int64        // Through of the last update that was complete, below 0 for none
	completeThrough    int64        // the receiver has everything up to it; below 0 while it is not active
	inFlight           []sentUpdate // not acknowledged yet, in order
	inFlightBytes      int          // with fragmentCost

	// Retransmission, see resend.
	progressed           bool // since the last call
	callsWithoutProgress int
	backoff              int // calls without progress after which to send again
}

// maxBackoff bounds the calls of resend between two retransmissions: they must not fill a link that is slow.
const maxBackoff = 16

type sentUpdate struct {
	after Position // of the receiver once it has the update
	bytes int
}

// handleAck handles an acknowledgement of the receiver. completeThrough is the index up to which the receiver has everything,
// below 0 while it is not active. A receiver that was restarted, or that has applied a transfer, begins a new stream.
func (o *sendStream) handleAck(incarnation int64, ack Ack, completeThrough int64) {
	if o.positionKnown && incarnation < o.incarnation {
		return
	}
	if !o.positionKnown || incarnation != o.incarnation || o.base != ack.Commit && completeThrough < 0 {
		*o = sendStream{positionKnown: true, incarnation: incarnation, base: ack.Commit, acknowledged: ack.Received,
			sent: ack.Received, sentThrough: -1, completeThrough: completeThrough, progressed: true, backoff: 1}
		return
	}
	if o.acknowledged.Less(ack.Received) || o.completeThrough < completeThrough {
		o.progressed = true
	}
	o.base, o.acknowledged = ack.Commit, ack.Received
	o.completeThrough = max(o.completeThrough, completeThrough)
	for len(o.inFlight) > 0 && !o.acknowledged.Less(o.inFlight[0].after) {
		o.inFlightBytes -= o.inFlight[0].bytes
		o.inFlight = o.inFlight[1:]
	}
	if o.sent.Less(o.acknowledged) {
		o.rewind()
	}
}

// resend goes back to the acknowledged position after backoff calls without progress, and doubles the backoff. An idle
// stream does not back off: what is sent on it next, and lost, is sent again at the first call.
func (o *sendStream) resend() {
	if o.progressed || !o.positionKnown || o.idle() {
		o.progressed, o.callsWithoutProgress, o.backoff = false, 0, 1
		return
	}
	if o.callsWithoutProgress++; o.callsWithoutProgress < o.backoff {
		return
	}
	o.rewind()
	o.callsWithoutProgress, o.backoff = 0, min(2*o.backoff, maxBackoff)
}

// idle reports whether the receiver has acknowledged and applied all that was sent.
func (o *sendStream) idle() bool {
	return o.sent == o.acknowledged && o.completeThrough >= max(o.sentThrough, 0)
}

// rewind continues the stream after the acknowledged position, which may also be ahead of what was sent.
func (o *sendStream) rewind() {
	o.sent, o.inFlight, o.inFlightBytes, o.sentThrough = o.acknowledged, nil, 0, -1
}

// nextUpdate returns the next update of the entries up to a limit. It returns false if there is none or the window is full.
func (o *sendStream) nextUpdate(entries []Entry, limit int64) (update Update, ok bool) {
	if !o.positionKnown || o.completeThrough >= limit || o.inFlightBytes >= windowSize {
		return Update{}, false
	}
	entry := o.nextEntry(entries, limit) // before o.sent is read: it drops a partial entry that cannot be continued
	update = Update{Base: o.base, After: o.sent}
	remaining := ChunkSize
	for ; entry != nil && remaining > 0; entry = o.nextEntry(entries, limit) {
		fragment := o.nextFragment(entry, remaining)
		remaining -= len(fragment.Data) + fragmentCost
		update.Fragments = append(update.Fragments, fragment)
	}
	if entry == nil && o.sentThrough < limit {
		update.Complete, update.Through, o.sentThrough = true, limit, limit
	}
	if len(update.Fragments) == 0 && !update.Complete {
		return Update{}, false
	}
	size := ChunkSize - remaining
	o.inFlight = append(o.inFlight, sentUpdate{o.sent, size})
	o.inFlightBytes += size
	return update, true
}

// nextEntry returns the entry of which the next fragment is sent, or nil. If an entry was sent partially and is not available
// any more, the stream continues with the entry after it, and the receiver drops its part.
func (o *sendStream) nextEntry(entries []Entry, limit int64) *Entry {
	if o.sent.PartialBytes > 0 && o.findInTransfer(entries) {
		return o.inTransfer
	}
	o.sent.PartialIndex, o.sent.PartialBytes = 0, 0
	rest := EntriesAfter(entries, o.sent.LastIndex)
	if len(rest) == 0 || rest[0].Index > limit {
		return nil
	}
	return &rest[0]
}

// findInTransfer sets inTransfer to the entry that was sent partially, perhaps by another member. It reports whether there is
// such an entry with bytes that were not sent.
func (o *sendStream) findInTransfer(entries []Entry) bool {
	if o.inTransfer == nil || o.inTransfer.Index != o.sent.PartialIndex {
		o.inTransfer = nil
		for _, e := range EntriesAfter(entries, o.sent.PartialIndex-1) {
			if e.Index == o.sent.PartialIndex {
				o.inTransfer, o.inTransferChecksum = &e, checksum(e.Value)
				break
			}
		}
	}
	return o.inTransfer != nil && o.sent.PartialBytes < int64(len(o.inTransfer.Value))
}

// nextFragment returns the next fragment of an entry, of at most remaining bytes, and advances the sent position.
func (o *sendStream) nextFragment(entry *Entry, remaining int) Fragment {
	if o.inTransfer != entry {
		copied := *entry
		o.inTransfer, o.inTransferChecksum = &copied, checksum(entry.Value)
	}
	size := int64(len(entry.Value))
	n := min(int64(remaining), size-o.sent.PartialBytes)
	fragment := Fragment{Index: entry.Index, Key: entry.Key, ValueSize: size, Checksum: o.inTransferChecksum,
		Offset: o.sent.PartialBytes, Data: entry.Value[o.sent.PartialBytes : o.sent.PartialBytes+n]}
	if fragment.Offset+n < size {
		o.sent.PartialIndex, o.sent.PartialBytes = entry.Index, fragment.Offset+n
	} else {
		o.inTransfer, o.sent = nil, Position{LastIndex: entry.Index}
	}
	return fragment
}
