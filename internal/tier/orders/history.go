package orders

import (
	"bytes"
	"cmp"
	"slices"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
)

// history is the applied history: the records that are reachable from the current configuration by following BaseVersion.
// Pages are decoded only when a decision needs them, since most orders need only the newest page.
type history struct {
	unreadPages []chain.Entry  // not decoded yet; sorted by index after linkCurrent
	legacy      *LegacyHistory // nil if there is none
	err         error          // of the last page that could not be decoded; no decision is valid if it is set

	unlinked         []Record // decoded records that are not known to be reachable
	highestSequence  int64    // of all decoded records, reachable or not
	applied          []Record // reachable from the current configuration, newest first
	compactedVersion int64    // BaseVersion of the oldest record in applied, which is complete above this version
}

// linkCurrent links the record of the current configuration. A record with the same version but another digest belongs
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
// version it links the one with the highest sequence. Records with a higher sequence than the linked one can't be its
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

// newestUnlinked returns the position in unlinked of the record of a version with the highest sequence, or -1.
func (h *history) newestUnlinked(version int64) int {
	newest := -1
	for i, r := range h.unlinked {
		if r.Version == version && (newest < 0 || r.Sequence > h.unlinked[newest].Sequence) {
			newest = i
		}
	}
	return newest
}

// readPage decodes the newest unread page.
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

// linkDownTo links records down to a version, or to the oldest record. Versions up to legacy.Version have no reachable records.
func (h *history) linkDownTo(version int64) {
	for h.hasCurrent() && h.compactedVersion >= max(version, 1) && (h.legacy == nil || h.compactedVersion != h.legacy.Version) {
		if !h.linkPredecessor() {
			return
		}
	}
}

// lookupResult says whether an order was applied, as far as the history shows.
type lookupResult int

const (
	appliedExactly     lookupResult = iota + 1 // this configuration, on this base version
	appliedOnOtherBase                         // this configuration, on another base version
	neverApplied
	outcomeUnknown // the history does not go back that far
)

// lookup reports whether an order was applied. Its result is valid only for versions up to the current one: no higher
// version was applied.
func (h *history) lookup(version, baseVersion int64, digest []byte) lookupResult {
	h.linkDownTo(version)
	if i := slices.IndexFunc(h.applied, func(r Record) bool { return r.Version == version }); i >= 0 {
		switch r := h.applied[i]; {
		case !bytes.Equal(r.Digest, digest):
			return neverApplied // only one configuration of each version is applied
		case r.BaseVersion != baseVersion:
			return appliedOnOtherBase
		}
		return appliedExactly
	}
	switch {
	case version > h.compactedVersion:
		return neverApplied
	case h.inLegacy(digest) && baseVersion >= version: // a base is below its version, so the order was applied on another base
		return appliedOnOtherBase
	case h.inLegacy(digest): // the legacy format did not keep base versions
		return appliedExactly
	case h.legacy != nil && (version == h.legacy.Version || version < h.legacy.Version && h.legacy.Complete):
		return neverApplied // otherwise the legacy history would have the digest
	}
	return outcomeUnknown
}

func (h *history) inLegacy(digest []byte) bool {
	return h.legacy != nil && slices.ContainsFunc(h.legacy.Digests, func(d []byte) bool { return bytes.Equal(d, digest) })
}

// containsDigest reports whether the history has a configuration with this digest.
func (h *history) containsDigest(digest []byte) bool {
	h.linkDownTo(0)
	for _, r := range h.applied {
		if bytes.Equal(r.Digest, digest) {
			return true
		}
	}
	return h.inLegacy(digest)
}

// recordWrite returns the page entry for a new record on the current version. It assigns the record's Sequence.
func (h *history) recordWrite(r Record) Write {
	var page Page
	if h.hasCurrent() {
		r.Sequence = h.applied[0].Sequence + 1
		page.Records = h.appliedOnPage(pageOf(r.Sequence))
	} else { // above all existing sequences, so that no unreachable record is preferred to this one
		for len(h.unreadPages) > 0 {
			h.readPage()
		}
		r.Sequence = h.highestSequence + 1
	}
	page.Records = append(page.Records, r)
	return Write{Key: pageKey(r.Sequence), Value: rpc.Encode(&page)}
}

// appliedOnPage returns the applied records of a page, oldest first. Unreachable records are omitted, which frees their
// sequences for reuse.
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
