package chain

// receiveStream is the receiver's side of a stream of updates. It collects complete entries in order, and the beginning of
// the next one, in memory.
type receiveStream struct {
	lastIndex    int64     // of the last complete entry, or where the stream began
	partial      *Fragment // the entry in transfer; its Data is what was received of it
	entries      []Entry   // complete; taken by the chain when they are applied to the state
	senderCommit int64     // at a learner: highest Update.Commit received
}

// position returns the position up to which the stream was received.
func (in *receiveStream) position() Position {
	p := Position{LastIndex: in.lastIndex}
	if in.partial != nil && len(in.partial.Data) > 0 {
		p.PartialIndex, p.PartialBytes = in.partial.Index, int64(len(in.partial.Data))
	}
	return p
}

// handleUpdate adds the fragments of an update. It reports whether the update was the next of the stream, or one that begins
// the entry in transfer again, and all of its fragments are valid.
func (in *receiveStream) handleUpdate(u Update) bool {
	if u.After.LastIndex != in.lastIndex || u.After.PartialBytes != 0 && u.After != in.position() {
		return false
	}
	if u.After.PartialBytes == 0 {
		in.partial = nil
	}
	for i := range u.Fragments {
		if !in.addFragment(&u.Fragments[i]) {
			return false
		}
	}
	return true
}

// addFragment adds one fragment. It reports whether the fragment is valid and continues the entry in transfer, if any. The
// memory of an entry grows with the data received, not with the size that its sender claims.
func (in *receiveStream) addFragment(fragment *Fragment) bool {
	if fragment.Index <= in.lastIndex || fragment.ValueSize > maxValueSize || fragment.ValueSize < 0 ||
		fragment.Offset+int64(len(fragment.Data)) > fragment.ValueSize {
		return false
	}
	if in.partial == nil {
		in.partial = &Fragment{Index: fragment.Index, Key: fragment.Key, ValueSize: fragment.ValueSize, Checksum: fragment.Checksum}
	}
	if fragment.Index != in.partial.Index || fragment.Checksum != in.partial.Checksum ||
		fragment.ValueSize != in.partial.ValueSize || fragment.Offset != int64(len(in.partial.Data)) {
		return false
	}
	in.partial.Data = append(in.partial.Data, fragment.Data...)
	if int64(len(in.partial.Data)) < in.partial.ValueSize {
		return true
	}
	complete := in.partial
	in.partial = nil
	if checksum(complete.Data) != complete.Checksum {
		return false
	}
	in.entries = append(in.entries, Entry{Index: complete.Index, Key: complete.Key, Value: complete.Data})
	in.lastIndex = complete.Index
	return true
}
