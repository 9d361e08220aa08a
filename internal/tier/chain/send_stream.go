package chain

// sendStream is the sender's side of a stream. The zero value waits until the receiver has told where it is.
type sendStream struct {
	positionKnown        bool
	incarnation          int64
	base                 int64
	acknowledged         Position // by the receiver, last
	sent                 Position
	inTransfer           *Entry // the one of which a part was sent: it may be compacted away meanwhile
	inTransferChecksum   int64
	sentThrough          int64 // the last Through that was sent, below 0 for none
	completeThrough      int64 // the receiver has all up to here; below 0 while it is not active
	inFlight             []sentUpdate
	inFlightBytes        int // in flight
	progressed           bool
	callsWithoutProgress int // calls of resend since there was progress
	backoff              int // how many of them are waited for
}

const maxBackoff = 16 // a link on which a piece takes long must not be filled with repeats

type sentUpdate struct {
	after Position
	bytes int
}

// handleAck takes the receiver's report; complete is up to where it has all, below 0 for nothing.
func (o *sendStream) handleAck(incarnation int64, ack Ack, completeThrough int64) {
	if o.positionKnown && incarnation < o.incarnation {
		return // said in an earlier life
	}
	if !o.positionKnown || incarnation != o.incarnation || o.base != ack.Commit && completeThrough < 0 {
		*o = sendStream{positionKnown: true, incarnation: incarnation, base: ack.Commit, acknowledged: ack.Received, sent: ack.Received, sentThrough: -1, completeThrough: completeThrough, progressed: true, backoff: 1}
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

// resend goes back to what the receiver has told, if nothing has come of what was sent for some calls. Where nothing is under
// way there is nothing to wait for: what is sent next, and lost, is repeated as soon as on a link that was never idle.
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

// idle tells whether the receiver has told that it has all that was sent, and has taken it in.
func (o *sendStream) idle() bool {
	return o.sent == o.acknowledged && o.completeThrough >= max(o.sentThrough, 0)
}

func (o *sendStream) rewind() {
	o.sent, o.inFlight, o.inFlightBytes, o.sentThrough = o.acknowledged, nil, 0, -1
}

// nextUpdate makes the nextUpdate update from the entries up to a limit.
func (o *sendStream) nextUpdate(entries []Entry, limit int64) (update Update, ok bool) {
	if !o.positionKnown || o.completeThrough >= limit || o.inFlightBytes >= windowSize {
		return Update{}, false
	}
	entry := o.nextEntry(entries, limit) // it gives up a part of an entry that is gone: only then o.sent is what to go on after
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

// nextEntry is the one that is sent next, nil for none. Where a part of one was sent that is neither pinned nor among the
// entries any more, the stream goes on with the nextEntry that follows: the receiver then drops its part.
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

// findInTransfer finds the entry of which a part was sent, perhaps by another member.
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

// nextFragment cuts the next part of an entry off.
func (o *sendStream) nextFragment(entry *Entry, remaining int) Fragment {
	if o.inTransfer != entry {
		copied := *entry
		o.inTransfer, o.inTransferChecksum = &copied, checksum(entry.Value)
	}
	size := int64(len(entry.Value))
	n := min(int64(remaining), size-o.sent.PartialBytes)
	fragment := Fragment{Index: entry.Index, Key: entry.Key, ValueSize: size, Checksum: o.inTransferChecksum, Offset: o.sent.PartialBytes, Data: entry.Value[o.sent.PartialBytes : o.sent.PartialBytes+n]}
	if fragment.Offset+n < size {
		o.sent.PartialIndex, o.sent.PartialBytes = entry.Index, fragment.Offset+n
	} else {
		o.inTransfer, o.sent = nil, Position{LastIndex: entry.Index}
	}
	return fragment
}
