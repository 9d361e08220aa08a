package bodydelta

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// maxLength bounds an operation's length, so that sums of offsets and lengths can't overflow.
const maxLength = 1 << 40

// Apply returns the new body that a delta makes of the old one: exactly the body that was given to Diff, and at most limit
// bytes. For a delta that would make more, nothing is allocated.
func Apply(old, delta []byte, limit int) ([]byte, error) {
	return ApplyWithDigest(old, DigestOf(old), delta, limit)
}

// ApplyWithDigest is Apply for an old body whose digest is known.
func ApplyWithDigest(old []byte, oldDigest Digest, delta []byte, limit int) ([]byte, error) {
	if len(delta) < headerSize || delta[0] != formatVersion && !IsCompressed(delta) {
		return nil, errors.Wrap(ErrCorrupt, "header")
	}
	if Digest(delta[1:1+sha256.Size]) != oldDigest {
		return nil, ErrBase
	}
	if IsCompressed(delta) {
		return decompress(delta, limit)
	}
	size, err := resultSize(delta[headerSize:], len(old), limit)
	if err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	_ = forEachOperation(delta[headerSize:], len(old), func(from, length int, insert []byte) error {
		if insert != nil {
			body = append(body, insert...)
		} else {
			body = append(body, old[from:from+length]...)
		}
		return nil
	})
	if DigestOf(body) != Digest(delta[1+sha256.Size:headerSize]) {
		return nil, errors.Wrap(ErrCorrupt, "digest of the result")
	}
	return body, nil
}

// resultSize checks all operations and returns the size of their result.
func resultSize(operations []byte, oldSize, limit int) (size int, err error) {
	err = forEachOperation(operations, oldSize, func(_, length int, _ []byte) error {
		if length > limit-size {
			return errors.Wrapf(ErrTooLong, "%d bytes", limit)
		}
		size += length
		return nil
	})
	return size, err
}

// forEachOperation decodes operations and calls visit for each: a range that is inside the old body, or bytes to insert.
func forEachOperation(operations []byte, oldSize int, visit func(start, length int, insert []byte) error) error {
	lastCopyEnd := 0
	for len(operations) > 0 {
		header, n := binary.Uvarint(operations)
		if n <= 0 || header>>1 == 0 || header>>1 > maxLength {
			return errors.Wrap(ErrCorrupt, "length of an operation")
		}
		operations = operations[n:]
		length := int(header >> 1)
		if header&1 == insertBytes {
			if length > len(operations) {
				return errors.Wrap(ErrCorrupt, "inserted bytes are cut short")
			}
			if err := visit(0, length, operations[:length]); err != nil {
				return err
			}
			operations = operations[length:]
			continue
		}
		distance, n := binary.Varint(operations)
		if n <= 0 || distance < int64(-lastCopyEnd) || distance > int64(oldSize-lastCopyEnd) {
			return errors.Wrap(ErrCorrupt, "start of a range")
		}
		operations = operations[n:]
		start := lastCopyEnd + int(distance)
		if length > oldSize-start {
			return errors.Wrap(ErrCorrupt, "a range goes past the old body")
		}
		if err := visit(start, length, nil); err != nil {
			return err
		}
		lastCopyEnd = start + length
	}
	return nil
}
