package feed

import (
	"bytes"
	"sync"

	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
)

const (
	patchLeast = 1 << 10  // shorter values always go whole
	patchMost  = 32 << 10 // longer deltas do not go in an answer
	wholeMost  = 64 << 10 // longer values are fetched in pieces
	keptValues = 8        // of each key, the committed one included
	keptBytes  = 32 << 20 // of all values but the committed ones
	pieceMost  = 64 << 10 // bytes of one piece
)

// ValueCache are the values of the control state that a source gave lately, by digest, and the deltas between them. The zero
// ValueCache is ready for use; it is safe for concurrent use.
type ValueCache struct {
	mu     sync.Mutex
	kept   []*value // in the order of their indexes
	deltas map[pair]*delta
}

type value struct {
	chain.Entry
	digest bodydelta.Digest
}

type pair struct{ from, to bodydelta.Digest }

type delta struct {
	once  sync.Once
	bytes []byte // nil where the whole value is shorter
}

// Update takes in what is committed now. Of a key it keeps the newest values, as far as the bounds allow.
func (v *ValueCache) Update(committed []chain.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range committed {
		if len(e.Value) >= patchLeast && v.at(e.Key, e.Index) == nil {
			v.kept = append(v.kept, &value{e, bodydelta.DigestOf(e.Value)})
			v.trim()
		}
	}
}

// at is the value of a key at an index. Committed entries never change.
func (v *ValueCache) at(key string, index int64) *value {
	for _, one := range v.kept {
		if one.Index == index && one.Key == key {
			return one
		}
	}
	return nil
}

// trim drops the oldest values beyond the bounds, never the newest one of a key.
func (v *ValueCache) trim() {
	count, newest, total := map[string]int{}, map[string]int64{}, 0
	for _, one := range v.kept {
		count[one.Key]++
		newest[one.Key] = max(newest[one.Key], one.Index)
		total += len(one.Value)
	}
	for _, one := range v.kept {
		if newest[one.Key] == one.Index {
			total -= len(one.Value)
		}
	}
	kept := v.kept[:0]
	for _, one := range v.kept {
		if one.Index < newest[one.Key] && (count[one.Key] > keptValues || total > keptBytes) {
			count[one.Key]--
			total -= len(one.Value)
			v.forget(one.digest)
			continue
		}
		kept = append(kept, one)
	}
	clear(v.kept[len(kept):])
	v.kept = kept
}

func (v *ValueCache) forget(d bodydelta.Digest) {
	for p := range v.deltas {
		if p.from == d || p.to == d {
			delete(v.deltas, p)
		}
	}
}

// Find gives the value with a digest, nil for none.
func (v *ValueCache) Find(digest []byte) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if one := v.find(digest); one != nil {
		return one.Value
	}
	return nil
}

func (v *ValueCache) find(digest []byte) *value {
	for _, one := range v.kept {
		if bytes.Equal(one.digest[:], digest) {
			return one
		}
	}
	return nil
}

// Add puts an entry into an answer: as a delta against what the follower holds, whole, or by its name.
func (v *ValueCache) Add(a *ChangesResponse, e chain.Entry, held []BaseValue) {
	v.mu.Lock()
	one := v.at(e.Key, e.Index)
	v.mu.Unlock()
	if one == nil {
		a.Entries = append(a.Entries, e)
		return
	}
	for _, h := range held {
		if h.Key != e.Key {
			continue
		}
		if d := v.delta(h.Digest, one); d != nil {
			a.Patches = append(a.Patches, Patch{Index: e.Index, Key: e.Key, Delta: d})
			return
		}
	}
	if len(e.Value) <= wholeMost {
		a.Entries = append(a.Entries, e)
		return
	}
	a.LargeValues = append(a.LargeValues, ValueRef{Index: e.Index, Key: e.Key, Size: int64(len(e.Value)), Digest: one.digest[:]})
}

// delta leads from the value with a digest to another one; nil where there is none worth sending. It is made once for
// all followers.
func (v *ValueCache) delta(from []byte, to *value) []byte {
	v.mu.Lock()
	old := v.find(from)
	if old == nil || old.Key != to.Key {
		v.mu.Unlock()
		return nil
	}
	p := pair{old.digest, to.digest}
	d := v.deltas[p]
	if d == nil {
		d = new(delta)
		if v.deltas == nil {
			v.deltas = map[pair]*delta{}
		}
		v.deltas[p] = d
	}
	v.mu.Unlock()
	d.once.Do(func() {
		made := bodydelta.DiffNamed(old.Value, to.Value, p.from, p.to)
		if len(made) <= patchMost && len(made) < len(to.Value) {
			d.bytes = made
		}
	})
	return d.bytes
}

// Chunk answers a request for a part of a value.
func (v *ValueCache) Chunk(q *ChunkRequest) *Chunk {
	whole := v.Find(q.Digest)
	if whole == nil {
		return &Chunk{Status: ChunkUnknown}
	}
	from := min(max(q.Offset, 0), int64(len(whole)))
	to := min(from+min(max(q.Length, 0), pieceMost), int64(len(whole)))
	return &Chunk{Status: ChunkServed, Digest: q.Digest, Offset: from, Data: whole[from:to], Final: to == int64(len(whole))}
}
