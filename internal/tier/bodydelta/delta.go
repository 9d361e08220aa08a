package bodydelta

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// The errors of Apply (errors.Is). After any of them the full body has to be fetched.
var (
	// ErrBase is returned if the delta applies to another old body.
	ErrBase = errors.New("the delta is against another body")
	// ErrCorrupt is returned if the delta can't be decoded or its result has another digest.
	ErrCorrupt = errors.New("the delta is corrupt")
	// ErrTooLong is returned if the new body would exceed the limit.
	ErrTooLong = errors.New("the delta makes a body above the bound")
)

// Digest identifies a body.
type Digest = [sha256.Size]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

const (
	formatVersion = 1
	headerSize    = 1 + 2*sha256.Size // version, digest of the old body, digest of the new one
)

// The kinds of operations.
const (
	copyRange = iota // of the old body
	insertBytes
)

// operationHeader returns the first number of an operation.
func operationHeader(length int, kind uint64) uint64 { return uint64(length)<<1 | kind }
