package bodydelta

import "encoding/binary"

// Diff returns a delta from the old body to the new one.
func Diff(old, new []byte) []byte {
	return DiffWithDigests(old, new, DigestOf(old), DigestOf(new))
}

// DiffWithDigests is Diff for bodies whose digests are known.
func DiffWithDigests(old, new []byte, oldDigest, newDigest Digest) []byte {
	delta := writer{encoded: []byte{formatVersion}}
	delta.encoded = append(delta.encoded, oldDigest[:]...)
	delta.encoded = append(delta.encoded, newDigest[:]...)
	prefix := commonPrefix(old, new)
	suffix := commonSuffix(old[prefix:], new[prefix:])
	delta.copyRange(0, prefix)
	matchBlocks(&delta, old, new[:len(new)-suffix], prefix)
	delta.copyRange(len(old)-suffix, suffix)
	delta.flush()
	return delta.encoded
}

// writer encodes operations. It joins ranges that are adjacent in the old body.
type writer struct {
	encoded     []byte
	copyFrom    int    // the range that is not encoded yet
	copyLength  int    // 0 if there is none
	lastCopyEnd int    // end of the range that was encoded last, in the old body
	literal     []byte // bytes to insert after that range, not encoded yet
}

// copyRange adds a range of the old body.
func (w *writer) copyRange(from, length int) {
	if length == 0 {
		return
	}
	if len(w.literal) == 0 && w.copyLength > 0 && w.copyFrom+w.copyLength == from {
		w.copyLength += length
		return
	}
	w.flush()
	w.copyFrom, w.copyLength = from, length
}

// insert adds bytes of the new body.
func (w *writer) insert(b []byte) {
	if len(b) == 0 {
		return
	}
	if w.copyLength > 0 {
		w.flush()
	}
	w.literal = append(w.literal, b...)
}

// flush encodes what was added.
func (w *writer) flush() {
	if w.copyLength > 0 {
		w.encoded = binary.AppendUvarint(w.encoded, operationHeader(w.copyLength, copyRange))
		w.encoded = binary.AppendVarint(w.encoded, int64(w.copyFrom-w.lastCopyEnd))
		w.lastCopyEnd = w.copyFrom + w.copyLength
		w.copyLength = 0
	}
	if len(w.literal) > 0 {
		w.encoded = binary.AppendUvarint(w.encoded, operationHeader(len(w.literal), insertBytes))
		w.encoded = append(w.encoded, w.literal...)
		w.literal = w.literal[:0]
	}
}
