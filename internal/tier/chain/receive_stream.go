package chain

// receiveStream is the receiver's side of a stream of updates. It collects complete entries in order, and the beginning of
// the next one, in memory.
type receiveStream struct {
	lastIndex    int64     // index of the last complete entry, or after which the stream began
	partial      *Fragment // entry in transfer; Data holds the bytes received so far
	entries      []Entry   // complete entries that are not applied to the state yet
	senderCommit int64     // at a learner, the highest Update.Commit received
}

// position returns the position up to which the stream has been received.
func (r *receiveStream) position() Position {
	p := Position{LastIndex: r.lastIndex}
	if r.partial != nil && len(r.partial.Data) > 0 {
		p.PartialIndex, p.PartialBytes = r.partial.Index, int64(len(r.partial.Data))
	}
	return p
}

// handleUpdate adds the fragments of an update. It reports whether the update was the next in the stream, or one that restarts
// the entry in transfer, and all of its fragments were valid.
func (r *receiveStream) handleUpdate(update Update) bool {
	if update.After.LastIndex != r.lastIndex || update.After.PartialBytes != 0 && update.After != r.position() {
		return false
	}
	if update.After.PartialBytes == 0 {
		r.partial = nil
	}
	for i := range update.Fragments {
		if !r.addFragment(&update.Fragments[i]) {
			return false
		}
	}
	return true
}

// addFragment adds one fragment. It reports whether the fragment is valid and continues the entry in transfer, if any. Memory is
// allocated for the data received, not for the size that the sender claims.
func (r *receiveStream) addFragment(fragment *Fragment) bool {
	if fragment.Index <= r.lastIndex || fragment.ValueSize > maxValueSize || fragment.ValueSize < 0 ||
		fragment.Offset+int64(len(fragment.Data)) > fragment.ValueSize {
		return false
	}
	if r.partial == nil {
		r.partial = &Fragment{Index: fragment.Index, Key: fragment.Key, ValueSize: fragment.ValueSize, Checksum: fragment.Checksum}
	}
	if fragment.Index != r.partial.Index || fragment.Checksum != r.partial.Checksum ||
		fragment.ValueSize != r.partial.ValueSize || fragment.Offset != int64(len(r.partial.Data)) {
		return false
	}
	r.partial.Data = append(r.partial.Data, fragment.Data...)
	if int64(len(r.partial.Data)) < r.partial.ValueSize {
		return true
	}
	complete := r.partial
	r.partial = nil
	if checksum(complete.Data) != complete.Checksum {
		return false
	}
	r.entries = append(r.entries, Entry{Index: complete.Index, Key: complete.Key, Value: complete.Data})
	r.lastIndex = complete.Index
	return true
}
