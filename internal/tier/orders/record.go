package orders

import (
	"crypto/sha256"
	"fmt"
)

// The history is a ring of pages: a put rewrites the page with its own record, and after the last page the first one is
// reused. So the number of entries in the control state is bounded, and none is ever deleted.
const (
	recordsPerPage    = 16 // bounds the bytes that a put writes in addition to the configuration
	pageCount         = 64
	digestSize        = 16 // bytes of the SHA-256 that are kept
	legacyDigestLimit = 64 // the number of digests that the format without records kept
)

// Keys of the history, all with keyPrefix. Only core nodes read them; the feed leaves them out.
const (
	keyPrefix = "order/"
	legacyKey = keyPrefix + "earlier"
)

// Digest returns the digest of a configuration's body as records have it.
func Digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:digestSize]
}

// Record describes one accepted configuration. It is written before the configuration's entry, so a record alone does
// not show that the configuration was applied: it counts only if it is reachable from the current configuration by
// BaseVersion. Its fields are stored in this order.
type Record struct {
	Sequence    int64 // one above the record before it; determines the page
	Version     int64
	BaseVersion int64 // the version that was current, 0 if there was none
	Digest      []byte
}

// Page is the value under a page's key: its records by rising Sequence.
type Page struct{ Records []Record }

// LegacyHistory is the value under legacyKey: what is known of configurations that were applied before there were
// records. Its fields are stored in this order.
type LegacyHistory struct {
	Version  int64    // the last version that was applied without a record
	Digests  [][]byte // of the last configurations, up to and including that of Version
	Complete bool     // Digests has all configurations up to Version
}

// pageOf returns the number of the page of a sequence, before it is reduced to the ring.
func pageOf(sequence int64) int64 { return sequence / recordsPerPage }

func pageKey(sequence int64) string {
	return fmt.Sprintf("%s%d", keyPrefix, pageOf(sequence)%pageCount)
}
