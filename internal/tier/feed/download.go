package feed

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
)

// errDigestMismatch reports that the assembled chunks don't have the digest of the requested value.
var errDigestMismatch = errors.New("downloaded value does not match its digest: downloading it again from another core node")

// byteRange is a span of a value's bytes, requested as one chunk.
type byteRange struct{ offset, length int64 }

// download is the state of a value's download in chunks. It makes no calls itself. Chunks may come from several core
// nodes, since the digest identifies the value.
type download struct {
	ref        ValueRef
	data       []byte           // the contiguous prefix received so far
	outOfOrder map[int64][]byte // chunks received beyond that prefix, by offset
	pending    []byteRange      // requested, response outstanding
	abandoned  bool             // no source served the value; resumes if a response refers to it again
	failures   int              // consecutive calls without a valid chunk; those at busy core nodes don't count
}

func newDownload(ref ValueRef) *download {
	return &download{ref: ref, outOfOrder: map[int64][]byte{}}
}

// isValid reports whether a reference has a size of 1 to rpc.MaxFrame bytes and a digest of the right length.
func (ref ValueRef) isValid() bool {
	return ref.Size > 0 && ref.Size <= rpc.MaxFrame && len(ref.Digest) == len(bodydelta.Digest{})
}

// nextRange returns the next span to request and marks it as pending; false if there is none.
func (d *download) nextRange() (byteRange, bool) {
	if d.abandoned {
		return byteRange{}, false
	}
	for offset := int64(len(d.data)); offset < d.ref.Size; offset += maxChunkSize {
		span := byteRange{offset, min(maxChunkSize, d.ref.Size-offset)}
		if _, received := d.outOfOrder[offset]; !received && !slices.Contains(d.pending, span) {
			d.pending = append(d.pending, span)
			return span, true
		}
	}
	return byteRange{}, false
}

// handleChunk adds the response to the request for a span, nil for a failed call, and reports whether it was a valid
// chunk.
func (d *download) handleChunk(span byteRange, chunk *Chunk) bool {
	if i := slices.Index(d.pending, span); i >= 0 {
		d.pending = slices.Delete(d.pending, i, i+1)
	}
	if chunk != nil && chunk.Status == ChunkBusy {
		return false
	}
	if chunk == nil || !d.matches(span, chunk) {
		d.failures++
		return false
	}
	d.failures = 0
	d.outOfOrder[span.offset] = chunk.Data
	for {
		next, ok := d.outOfOrder[int64(len(d.data))]
		if !ok {
			return true
		}
		delete(d.outOfOrder, int64(len(d.data)))
		d.data = append(d.data, next...)
	}
}

// matches reports whether a chunk has the requested digest, offset and length. The bytes themselves can be verified only
// when the value is complete.
func (d *download) matches(span byteRange, chunk *Chunk) bool {
	return chunk.Status == ChunkServed && bytes.Equal(chunk.Digest, d.ref.Digest) &&
		chunk.Offset == span.offset && int64(len(chunk.Data)) == span.length
}

// complete reports whether all bytes were received; their digest is not verified yet.
func (d *download) complete() bool { return int64(len(d.data)) == d.ref.Size }

// value returns the complete value. On a wrong digest it discards all bytes and returns errDigestMismatch.
func (d *download) value() ([]byte, error) {
	digest := bodydelta.DigestOf(d.data)
	if !bytes.Equal(digest[:], d.ref.Digest) {
		d.data = nil
		return nil, errDigestMismatch
	}
	return d.data, nil
}
