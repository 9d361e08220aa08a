package feed

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
)

// errOtherBytes says that the pieces do not add up to the value that was named.
var errOtherBytes = errors.New("the pieces of a value are not those of its digest: it is fetched again, elsewhere")

// span is a part of a value.
type span struct{ from, length int64 }

// download is a value that comes in pieces. It is pure: what was begun at one source goes on at another, since the
// digest names the value.
type download struct {
	name    ValueRef
	have    []byte           // without gaps, from the start
	early   map[int64][]byte // pieces that came before those in front of them
	asked   []span
	stopped bool // no source has it any more; goes on if one names it again
	refused int  // calls without a piece, one after the other; not those of sources that are busy
}

func newDownload(name ValueRef) *download {
	return &download{name: name, early: map[int64][]byte{}}
}

// fetchable tells whether a name can be one of a value.
func (n ValueRef) fetchable() bool {
	return n.Size > 0 && n.Size <= rpc.MaxFrame && len(n.Digest) == len(bodydelta.Digest{})
}

// claim gives the next part to ask for; false where all that is left is under way.
func (d *download) claim() (span, bool) {
	if d.stopped {
		return span{}, false
	}
	for from := int64(len(d.have)); from < d.name.Size; from += pieceMost {
		s := span{from, min(pieceMost, d.name.Size-from)}
		if _, early := d.early[from]; !early && !slices.Contains(d.asked, s) {
			d.asked = append(d.asked, s)
			return s, true
		}
	}
	return span{}, false
}

// give takes an answer for a part in, nil for a call that failed, and tells whether it was a piece of this value.
func (d *download) give(s span, p *Chunk) bool {
	if i := slices.Index(d.asked, s); i >= 0 {
		d.asked = slices.Delete(d.asked, i, i+1)
	}
	if p != nil && p.Status == ChunkBusy {
		return false
	}
	if p == nil || p.Status != ChunkServed || !bytes.Equal(p.Digest, d.name.Digest) || p.Offset != s.from || int64(len(p.Data)) != s.length {
		d.refused++
		return false
	}
	d.refused = 0
	d.early[s.from] = p.Data
	for {
		next, ok := d.early[int64(len(d.have))]
		if !ok {
			return true
		}
		delete(d.early, int64(len(d.have)))
		d.have = append(d.have, next...)
	}
}

func (d *download) complete() bool { return int64(len(d.have)) == d.name.Size }

// value is the whole value. Where the digest is another one, all that came is dropped.
func (d *download) value() ([]byte, error) {
	digest := bodydelta.DigestOf(d.have)
	if !bytes.Equal(digest[:], d.name.Digest) {
		d.have = nil
		return nil, errOtherBytes
	}
	return d.have, nil
}
