package bodydelta

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// compressedVersion is the format of a delta against the empty body: the new body, compressed.
const compressedVersion = 2

// maxCompressionRatio is the most that DEFLATE can compress by: a body that claims a larger size is corrupt.
const maxCompressionRatio = 1032

// emptyDigest is the digest of the empty body.
var emptyDigest = DigestOf(nil)

// EmptyDigest returns the digest of the empty body, the base of the deltas that Compress returns.
func EmptyDigest() Digest { return emptyDigest }

// Compress returns a delta from the empty body to one whose digest is known. Unlike that of Diff it is short without an old body.
func Compress(body []byte, digest Digest) []byte {
	var delta bytes.Buffer
	delta.WriteByte(compressedVersion)
	delta.Write(emptyDigest[:])
	delta.Write(digest[:])
	delta.Write(binary.AppendUvarint(nil, uint64(len(body))))
	w, _ := flate.NewWriter(&delta, flate.BestSpeed) // fails for an unknown level only
	_, _ = w.Write(body)                             // a bytes.Buffer takes everything
	_ = w.Close()
	return delta.Bytes()
}

// IsCompressed reports whether a delta was made by Compress, so that its old body is the empty one.
func IsCompressed(delta []byte) bool { return len(delta) > 0 && delta[0] == compressedVersion }

// decompress returns the body of a delta that IsCompressed.
func decompress(delta []byte, limit int) ([]byte, error) {
	compressed := delta[headerSize:]
	size, n := binary.Uvarint(compressed)
	if n <= 0 || size > uint64(len(compressed))*maxCompressionRatio {
		return nil, errors.Wrap(ErrCorrupt, "size of a compressed body")
	}
	if size > uint64(limit) {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes", limit)
	}
	r := flate.NewReader(bytes.NewReader(compressed[n:]))
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(ErrCorrupt, "compressed body")
	}
	if extra, err := r.Read(make([]byte, 1)); extra > 0 || err != io.EOF {
		return nil, errors.Wrap(ErrCorrupt, "end of a compressed body")
	}
	if DigestOf(body) != Digest(delta[1+sha256.Size:headerSize]) {
		return nil, errors.Wrap(ErrCorrupt, "digest of the result")
	}
	return body, nil
}
