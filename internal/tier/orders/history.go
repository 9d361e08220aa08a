package orders

import (
	"bytes"
	"cmp"
	"slices"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
)

// history is the applied history: the chain of records from the current configuration backwards by BaseVersion. Pages
// are decoded as far as a decision needs them, since most orders need the newest page only.
type history struct {
	unreadPages []chain.Entry  // not decoded yet, by rising index once linkCurrent was called
	legacy      *LegacyHistory // nil if there is none
	err         error          // the last page that could not be decoded; no decision is valid then

	unlinked         []Record // decoded records that are not reached yet
	highestSequence  int64    // of all decoded records
	applied          []Record // reached from the current configuration, the newest first
	compactedVersion int64    // BaseVersion of the oldest record in applied: above it, applied has every version
}

// linkCurrent links the record of the current configuration. A record with the same version and another digest belongs
// to a put that was never committed, and is not linked.
func (h *history) linkCurrent(version int64, digest []byte) {
	slices.SortFunc(h.unreadPages, func(a, b chain.Entry) int { return cmp.Compare(a.Index, b.Index) })
	h.compactedVersion = version
	if version > 0 && h.linkPredecessor() && !bytes.Equal(h.applied[0].Digest, digest) {
		h.applied, h.compactedVersion = nil, version
	}
}

// hasCurrent reports whether the current configuration has a record.
func (h *history) hasCurrent() bool { return len(h.applied) > 0 }

// linkPredecessor links the record of compactedVersion and reports whether there is one. Of several records of that
// version the one with the highest sequence is linked. Records with a higher sequence than the linked one can't be its
// predecessors and are dropped.
func (h *history) linkPredecessor() bool {
	for {
		if i := h.newestUnlinked(h.compactedVersion); i >= 0 {
			record := h.unlinked[i]
			h.unlinked = slices.DeleteFunc(h.unlinked, func(o Record) bool { return o.Sequence >= record.Sequence })
			h.applied, h.compactedVersion = append(h.applied, record), record.BaseVersion
			return true
		}
		if len(h.unreadPages) == 0 {
			return false
		}
		h.readPage()
	}
}

// newestUnlinked returns the position of a version's record with the highest sequence, or -1.
func (h *history) newestUnlinked(version int64) int {
	newest := -1
	for i, r := range h.unlinked {
		if r.Version == version && (newest < 0 || r.Sequence > h.unlinked[newest].Sequence) {
			newest = i
		}
	}
	return newest
}

// readPage decodes the newest page that is not decoded yet.
func (h *history) readPage() {
	entry := h.unreadPages[len(h.unreadPages)-1]
	h.unreadPages = h.unreadPages[:len(h.unreadPages)-1]
	var page Page
	if err := rpc.Decode(entry.Value, &page); err != nil {
		h.err = wrapDecodeError(err, entry)
		return
	}
	for _, r := range page.Records {
		h.highestSequence = max(h.highestSequence, r.Sequence)
	}
	h.unlinked = append(h.unlinked, page.Records...)
}

// linkDownTo links records down to a version, or as far as they go.
func (h *history) linkDownTo(version int64) {
	for h.hasCurrent() && h.compactedVersion >= max(version, 1) && (h.legacy == nil || h.compactedVersion != h.legacy.Version) {
		if !h.linkPredecessor() {
			return
		}
	}
}

// lookupResult is what the history shows about an order.
type lookupResult int

const (
	appliedExactly     lookupResult = iota + 1 // this configuration, on this base version
	appliedOnOtherBase                         // this configuration, on another base version
	neverApplied
	outcomeUnknown // the history does not go back that far
)

// lookup reports whether an order was applied. It is valid for versions up to the current one; none above it was.
func (h *history) lookup(version, baseVersion int64, digest []byte) lookupResult {
	h.linkDownTo(version)
	if i := slices.IndexFunc(h.applied, func(r Record) bool { return r.Version == version }); i >= 0 {
		switch r := h.applied[i]; {
		case !bytes.Equal(r.Digest, digest):
			return neverApplied // one configuration of each version is applied
		case r.BaseVersion != baseVersion:
			return appliedOnOtherBase
		}
		return appliedExactly
	}
	switch {
	case version > h.compactedVersion:
		return neverApplied
	case h.inLegacy(digest) && baseVersion >= version: // versions rise, so its base was another one
		return appliedOnOtherBase
	case h.inLegacy(digest): // its base version is not known
		return appliedExactly
	case h.legacy != nil && (version == h.legacy.Version || version < h.legacy.Version && h.legacy.Complete):
		return neverApplied // the legacy history has the digest that was applied for this version
	}
	return outcomeUnknown
}

func (h *history) inLegacy(digest []byte) bool {
	return h.legacy != nil && slices.ContainsFunc(h.legacy.Digests, func(d []byte) bool { return bytes.Equal(d, digest) })
}

// containsDigest reports whether a configuration with this digest is anywhere in the history.
func (h *history) containsDigest(digest []byte) bool {
	h.linkDownTo(0)
	for _, r := range h.applied {
		if bytes.Equal(r.Digest, digest) {
			return true
		}
	}
	return h.inLegacy(digest)
}

// recordWrite returns the page write for a new record that builds on the current version, and sets its Sequence.
func (h *history) recordWrite(r Record) Write {
	var page Page
	if h.hasCurrent() {
		r.Sequence = h.applied[0].Sequence + 1
		page.Records = h.appliedOnPage(pageOf(r.Sequence))
	} else { // above all existing sequences: an unreachable record must not be preferred to this one
		for len(h.unreadPages) > 0 {
			h.readPage()
		}
		r.Sequence = h.highestSequence + 1
	}
	page.Records = append(page.Records, r)
	return Write{Key: pageKey(r.Sequence), Value: rpc.Encode(&page)}
}

// appliedOnPage returns the applied records of a page, the oldest first. Unreachable ones are left out, which frees
// their sequences.
func (h *history) appliedOnPage(page int64) (records []Record) {
	for pageOf(h.applied[len(h.applied)-1].Sequence) == page && h.linkPredecessor() {
	}
	for _, r := range slices.Backward(h.applied) {
		if pageOf(r.Sequence) == page {
			records = append(records, r)
		}
	}
	return records
}
