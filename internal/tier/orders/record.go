package orders

import (
	"crypto/sha256"
	"fmt"
)

// The history is a ring of pages: a put rewrites the page that contains its record, and after the last page the first one
// is reused. This bounds the number of entries in the control state without ever deleting one.
const (
	recordsPerPage    = 16 // limits the bytes that a put writes in addition to the configuration
	pageCount         = 64
	digestSize        = 16 // bytes to which the SHA-256 is truncated
	legacyDigestLimit = 64 // the number of digests that the format without records kept
)

// Keys of the history, all with keyPrefix. Only core nodes read them; the feed does not send them to other nodes.
const (
	keyPrefix = "order/"
	legacyKey = keyPrefix + "earlier"
)

// Digest returns the digest of a configuration's body that is stored in records.
func Digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:digestSize]
}

// Record describes an accepted configuration. It is written before the configuration's entry, so a record alone does not
// prove that the configuration was applied: it is valid only if it is reachable from the current configuration by
// following BaseVersion. Its fields are stored in this order.
type Record struct {
	Sequence    int64 // one above that of the preceding record; determines the page
	Version     int64
	BaseVersion int64 // the version that was current before, 0 for none
	Digest      []byte
}

// Page is the value stored under a page's key: its records in ascending order of Sequence.
type Page struct{ Records []Record }

// LegacyHistory is the value stored under legacyKey: what is known of configurations that were applied before records
// were introduced. Its fields are stored in this order.
type LegacyHistory struct {
	Version  int64    // the last version that has no record
	Digests  [][]byte // of the last configurations up to and including Version
	Complete bool     // Digests contains all configurations up to Version
}

// pageOf returns the page number of a sequence, before it is reduced modulo pageCount.
func pageOf(sequence int64) int64 { return sequence / recordsPerPage }

func pageKey(sequence int64) string {
	return fmt.Sprintf("%s%d", keyPrefix, pageOf(sequence)%pageCount)
}
