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
	pageRecords = 16 // records on a page: what a put writes beside the configuration
	pageCount   = 64
	digestBytes = 16 // of SHA-256
	earlierMost = 64 // digests that the format before records kept
)

// Keys of the history, below keyPrefix. They are of use to core nodes alone.
const (
	keyPrefix  = "order/"
	earlierKey = keyPrefix + "earlier"
)

// Digest of a configuration's body.
func Digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:digestBytes]
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
	return fmt.Sprintf("%s%d", keyPrefix, sequence/pageRecords%pageCount)
}

// history is what is known of the configurations that were taken. Pages are read as far as a decision needs them: most
// orders rest on the newest one.
type history struct {
	pages   []chain.Entry // not read yet, the newest last
	earlier *LegacyHistory
	err     error // of a page that cannot be read

	loose   []Record // of the pages read, those not reached yet
	top     int64    // the highest sequence of the pages read
	taken   []Record // those reached from the configuration in place, the newest first
	horizon int64    // versions above it are decided by taken alone
}

// begin finds the record of the configuration in place. Another with its number is of a write that came to nothing.
func (h *history) begin(version int64, digest []byte) {
	slices.SortFunc(h.pages, func(a, b chain.Entry) int { return cmp.Compare(a.Index, b.Index) })
	h.horizon = version
	if version > 0 && h.follow() && !bytes.Equal(h.taken[0].Digest, digest) {
		h.taken, h.horizon = nil, version
	}
}

// linked tells whether the configuration in place has a record.
func (h *history) linked() bool { return len(h.taken) > 0 }

// follow reaches the record of the horizon. None that is newer than this one leads further.
func (h *history) follow() bool {
	for {
		best := -1
		for i, r := range h.loose {
			if r.Version == h.horizon && (best < 0 || r.Sequence > h.loose[best].Sequence) {
				best = i
			}
		}
		if best >= 0 {
			r := h.loose[best]
			h.loose = slices.DeleteFunc(h.loose, func(o Record) bool { return o.Sequence >= r.Sequence })
			h.taken, h.horizon = append(h.taken, r), r.BaseVersion
			return true
		}
		if len(h.pages) == 0 {
			return false
		}
		h.readPage()
	}
}

func (h *history) readPage() {
	e := h.pages[len(h.pages)-1]
	h.pages = h.pages[:len(h.pages)-1]
	var p Page
	if err := rpc.Decode(e.Value, &p); err != nil {
		h.err = errors.Wrapf(err, "entry %q at %d: the node that wrote it has another version of the program", e.Key, e.Index)
		return
	}
	for _, r := range p.Records {
		h.top = max(h.top, r.Sequence)
	}
	h.loose = append(h.loose, p.Records...)
}

// back follows the records down to a version, as far as they go.
func (h *history) back(to int64) {
	for h.linked() && h.horizon >= max(to, 1) && (h.earlier == nil || h.horizon != h.earlier.Version) {
		if !h.follow() {
			return
		}
	}
}

// verdict says what is known of an order's having been taken.
type verdict int

const (
	takenSo      verdict = iota + 1 // as it is
	takenOnOther                    // the same configuration, built on another version
	neverTaken
	unknown
)

// look tells whether a configuration was taken. It holds for versions up to the one in place: none above was.
func (h *history) look(version, builtOn int64, digest []byte) verdict {
	h.back(version)
	if i := slices.IndexFunc(h.taken, func(r Record) bool { return r.Version == version }); i >= 0 {
		switch r := h.taken[i]; {
		case !bytes.Equal(r.Digest, digest):
			return neverTaken // of each version one was taken
		case r.BaseVersion != builtOn:
			return takenOnOther
		}
		return takenSo
	}
	switch {
	case version > h.horizon:
		return neverTaken
	case h.inEarlier(digest) && builtOn >= version: // versions rise
		return takenOnOther
	case h.inEarlier(digest): // what it was built on is not known
		return takenSo
	case h.earlier != nil && (version == h.earlier.Version || version < h.earlier.Version && h.earlier.Complete):
		return neverTaken // of that version one was taken, and Digests has it
	}
	return unknown
}

func (h *history) inEarlier(digest []byte) bool {
	return h.earlier != nil && slices.ContainsFunc(h.earlier.Digests, func(d []byte) bool { return bytes.Equal(d, digest) })
}

// find looks for a digest in all that was taken.
func (h *history) find(digest []byte) bool {
	h.back(0)
	for _, r := range h.taken {
		if bytes.Equal(r.Digest, digest) {
			return true
		}
	}
	return h.inEarlier(digest)
}

// add gives the page that a new record is written with. The record builds on the version in place.
func (h *history) add(r Record) Write {
	var page Page
	if h.linked() {
		r.Sequence = h.taken[0].Sequence + 1
		same := func(o Record) bool { return o.Sequence/pageRecords == r.Sequence/pageRecords }
		for same(h.taken[len(h.taken)-1]) && h.follow() {
		}
		for _, old := range slices.Backward(h.taken) {
			if same(old) {
				page.Records = append(page.Records, old)
			}
		}
	} else { // above all that is there: a record that led nowhere must not outrank this one
		for len(h.pages) > 0 {
			h.readPage()
		}
		r.Sequence = h.top + 1
	}
	page.Records = append(page.Records, r)
	return Write{Key: pageKey(r.Sequence), Value: rpc.Encode(&page)}
}
