package orders

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
)

// History is kept in pages: a put writes the page that its record is on, and the next page after the last one is the
// first. So the state has a bounded number of entries, and none is ever deleted.
const (
	recordsPerPage    = 16 // records on a page: what a put writes beside the configuration
	pageCount         = 64
	digestSize        = 16 // of SHA-256
	legacyDigestLimit = 64 // digests that the format before records kept
)

// Keys of the history, below keyPrefix. They are of use to core nodes alone.
const (
	keyPrefix = "order/"
	legacyKey = keyPrefix + "earlier"
)

// Digest of a configuration's body.
func Digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:digestSize]
}

// Record is what is kept of a configuration that was taken. A record alone proves nothing, as it is written before the
// configuration: it counts once the configuration in place is reached from it by BuiltOn.
type Record struct {
	Sequence    int64 // rises by one with each record: says on which page it is
	Version     int64
	BaseVersion int64 // the version that was in place, 0 for none
	Digest      []byte
}

// Page is the value under a page's key.
type Page struct{ Records []Record }

// LegacyHistory is the value under earlierKey: what is known of configurations taken before there were records.
type LegacyHistory struct {
	Version  int64    // the last of them
	Digests  [][]byte // of the last of them, that of Version included
	Complete bool     // Digests has all of them
}

func pageKey(sequence int64) string {
	return fmt.Sprintf("%s%d", keyPrefix, sequence/recordsPerPage%pageCount)
}

// history is what is known of the configurations that were taken. Pages are read as far as a decision needs them: most
// orders rest on the newest one.
type history struct {
	unreadPages []chain.Entry // not read yet, the newest last
	legacy      *LegacyHistory
	err         error // of a page that cannot be read

	unlinked         []Record // of the pages read, those not reached yet
	highestSequence  int64    // the highest sequence of the pages read
	applied          []Record // those reached from the configuration in place, the newest first
	compactedVersion int64    // versions above it are decided by taken alone
}

// linkCurrent finds the record of the configuration in place. Another with its number is of a write that came to nothing.
func (h *history) linkCurrent(version int64, digest []byte) {
	slices.SortFunc(h.unreadPages, func(a, b chain.Entry) int { return cmp.Compare(a.Index, b.Index) })
	h.compactedVersion = version
	if version > 0 && h.linkPredecessor() && !bytes.Equal(h.applied[0].Digest, digest) {
		h.applied, h.compactedVersion = nil, version
	}
}

// hasCurrent tells whether the configuration in place has a record.
func (h *history) hasCurrent() bool { return len(h.applied) > 0 }

// linkPredecessor reaches the record of the horizon. None that is newer than this one leads further.
func (h *history) linkPredecessor() bool {
	for {
		newest := -1
		for i, record := range h.unlinked {
			if record.Version == h.compactedVersion && (newest < 0 || record.Sequence > h.unlinked[newest].Sequence) {
				newest = i
			}
		}
		if newest >= 0 {
			record := h.unlinked[newest]
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

func (h *history) readPage() {
	entry := h.unreadPages[len(h.unreadPages)-1]
	h.unreadPages = h.unreadPages[:len(h.unreadPages)-1]
	var page Page
	if err := rpc.Decode(entry.Value, &page); err != nil {
		h.err = errors.Wrapf(err, "entry %q at %d: the node that wrote it has another version of the program", entry.Key, entry.Index)
		return
	}
	for _, r := range page.Records {
		h.highestSequence = max(h.highestSequence, r.Sequence)
	}
	h.unlinked = append(h.unlinked, page.Records...)
}

// linkDownTo follows the records down to a version, as far as they go.
func (h *history) linkDownTo(version int64) {
	for h.hasCurrent() && h.compactedVersion >= max(version, 1) && (h.legacy == nil || h.compactedVersion != h.legacy.Version) {
		if !h.linkPredecessor() {
			return
		}
	}
}

// lookupResult says what is known of an order's having been taken.
type lookupResult int

const (
	appliedExactly     lookupResult = iota + 1 // as it is
	appliedOnOtherBase                         // the same configuration, built on another version
	neverApplied
	outcomeUnknown
)

// lookup tells whether a configuration was taken. It holds for versions up to the one in place: none above was.
func (h *history) lookup(version, baseVersion int64, digest []byte) lookupResult {
	h.linkDownTo(version)
	if i := slices.IndexFunc(h.applied, func(r Record) bool { return r.Version == version }); i >= 0 {
		switch r := h.applied[i]; {
		case !bytes.Equal(r.Digest, digest):
			return neverApplied // of each version one was taken
		case r.BaseVersion != baseVersion:
			return appliedOnOtherBase
		}
		return appliedExactly
	}
	switch {
	case version > h.compactedVersion:
		return neverApplied
	case h.inLegacy(digest) && baseVersion >= version: // versions rise
		return appliedOnOtherBase
	case h.inLegacy(digest): // what it was built on is not known
		return appliedExactly
	case h.legacy != nil && (version == h.legacy.Version || version < h.legacy.Version && h.legacy.Complete):
		return neverApplied // of that version one was taken, and Digests has it
	}
	return outcomeUnknown
}

func (h *history) inLegacy(digest []byte) bool {
	return h.legacy != nil && slices.ContainsFunc(h.legacy.Digests, func(d []byte) bool { return bytes.Equal(d, digest) })
}

// containsDigest looks for a digest in all that was taken.
func (h *history) containsDigest(digest []byte) bool {
	h.linkDownTo(0)
	for _, r := range h.applied {
		if bytes.Equal(r.Digest, digest) {
			return true
		}
	}
	return h.inLegacy(digest)
}

// recordWrite gives the page that a new record is written with. The record builds on the version in place.
func (h *history) recordWrite(r Record) Write {
	var page Page
	if h.hasCurrent() {
		r.Sequence = h.applied[0].Sequence + 1
		samePage := func(o Record) bool { return o.Sequence/recordsPerPage == r.Sequence/recordsPerPage }
		for samePage(h.applied[len(h.applied)-1]) && h.linkPredecessor() {
		}
		for _, old := range slices.Backward(h.applied) {
			if samePage(old) {
				page.Records = append(page.Records, old)
			}
		}
	} else { // above all that is there: a record that led nowhere must not outrank this one
		for len(h.unreadPages) > 0 {
			h.readPage()
		}
		r.Sequence = h.highestSequence + 1
	}
	page.Records = append(page.Records, r)
	return Write{Key: pageKey(r.Sequence), Value: rpc.Encode(&page)}
}
