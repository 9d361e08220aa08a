package chain

// receiveStream is the receiver's side of a stream: whole entries in their order, and the beginning of the next.
type receiveStream struct {
	lastIndex    int64
	partial      *Fragment // Data is what has come of it
	entries      []Entry
	senderCommit int64 // to a learner: the highest commit index that the sender had of what came
}

func (in *receiveStream) position() Position {
	p := Position{LastIndex: in.lastIndex}
	if in.partial != nil && len(in.partial.Data) > 0 {
		p.PartialIndex, p.PartialBytes = in.partial.Index, int64(len(in.partial.Data))
	}
	return p
}

// handleUpdate takes an update if it is the next of the stream, or begins the entry that is under way again.
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

func (in *receiveStream) addFragment(fragment *Fragment) bool {
	if fragment.Index <= in.lastIndex || fragment.ValueSize > maxValueSize || fragment.ValueSize < 0 || fragment.Offset+int64(len(fragment.Data)) > fragment.ValueSize {
		return false
	}
	if in.partial == nil {
		in.partial = &Fragment{Index: fragment.Index, Key: fragment.Key, ValueSize: fragment.ValueSize, Checksum: fragment.Checksum}
	}
	if fragment.Index != in.partial.Index || fragment.Checksum != in.partial.Checksum || fragment.ValueSize != in.partial.ValueSize || fragment.Offset != int64(len(in.partial.Data)) {
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
