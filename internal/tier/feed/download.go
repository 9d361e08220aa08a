package feed

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
)

// errOtherBytes says that the pieces do not add up to the value that was named.
var errDigestMismatch = errors.New("the pieces of a value are not those of its digest: it is fetched again, elsewhere")

// span is a part of a value.
type span struct{ offset, length int64 }

// download is a value that comes in pieces. It is pure: what was begun at one source goes on at another, since the
// digest names the value.
type download struct {
	ref        ValueRef
	data       []byte           // without gaps, from the start
	outOfOrder map[int64][]byte // pieces that came before those in front of them
	pending    []span
	abandoned  bool // no source has it any more; goes on if one names it again
	failures   int  // calls without a piece, one after the other; not those of sources that are busy
}

func newDownload(ref ValueRef) *download {
	return &download{ref: ref, outOfOrder: map[int64][]byte{}}
}

// fetchable tells whether a name can be one of a value.
func (n ValueRef) isValid() bool {
	return n.Size > 0 && n.Size <= rpc.MaxFrame && len(n.Digest) == len(bodydelta.Digest{})
}

// claim gives the next part to ask for; false where all that is left is under way.
func (d *download) nextSpan() (span, bool) {
	if d.abandoned {
		return span{}, false
	}
	for offset := int64(len(d.data)); offset < d.ref.Size; offset += maxChunkSize {
		s := span{offset, min(maxChunkSize, d.ref.Size-offset)}
		if _, received := d.outOfOrder[offset]; !received && !slices.Contains(d.pending, s) {
			d.pending = append(d.pending, s)
			return s, true
		}
	}
	return span{}, false
}

// give takes an answer for a part in, nil for a call that failed, and tells whether it was a piece of this value.
func (d *download) handleChunk(s span, chunk *Chunk) bool {
	if i := slices.Index(d.pending, s); i >= 0 {
		d.pending = slices.Delete(d.pending, i, i+1)
	}
	if chunk != nil && chunk.Status == ChunkBusy {
		return false
	}
	if chunk == nil || chunk.Status != ChunkServed || !bytes.Equal(chunk.Digest, d.ref.Digest) || chunk.Offset != s.offset || int64(len(chunk.Data)) != s.length {
		d.failures++
		return false
	}
	d.failures = 0
	d.outOfOrder[s.offset] = chunk.Data
	for {
		next, ok := d.outOfOrder[int64(len(d.data))]
		if !ok {
			return true
		}
		delete(d.outOfOrder, int64(len(d.data)))
		d.data = append(d.data, next...)
	}
}

func (d *download) complete() bool { return int64(len(d.data)) == d.ref.Size }

// value is the whole value. Where the digest is another one, all that came is dropped.
func (d *download) value() ([]byte, error) {
	digest := bodydelta.DigestOf(d.data)
	if !bytes.Equal(digest[:], d.ref.Digest) {
		d.data = nil
		return nil, errDigestMismatch
	}
	return d.data, nil
}
