package feed

import (
	"bytes"
	"sync"

	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
)

const (
	minPatchedValue = 1 << 10  // bytes; shorter values are always sent in full
	maxPatchSize    = 32 << 10 // bytes; longer deltas between two cached values are not sent
	maxInlineValue  = 64 << 10 // bytes, in full or compressed; longer values are sent by reference, downloaded in chunks
	maxValuesPerKey = 8        // cached for each key, including the newest
	maxCachedBytes  = 32 << 20 // of all cached values except the newest of each key
	maxChunkSize    = 64 << 10 // bytes of one chunk
)

// ValueCache caches a source's most recently committed values of the control state and the deltas between them, by
// digest, and decides how an entry is sent. The zero value is ready for use. It is safe for concurrent use.
type ValueCache struct {
	mu     sync.Mutex
	values []*cachedValue // in commit order
	deltas map[digestPair]*cachedDelta
}

// cachedValue is a committed entry of at least minPatchedValue bytes. It is immutable.
type cachedValue struct {
	chain.Entry
	digest bodydelta.Digest
}

// digestPair identifies a delta by the digests of its base and its target.
type digestPair struct{ base, target bodydelta.Digest }

// cachedDelta is a delta that is computed once, by the first request that needs it.
type cachedDelta struct {
	once  sync.Once
	bytes []byte // nil if there is no delta worth sending
}

// Update adds the currently committed values, and evicts old ones beyond the bounds.
func (v *ValueCache) Update(committed []chain.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range committed {
		if len(e.Value) >= minPatchedValue && v.lookup(e.Key, e.Index) == nil {
			v.values = append(v.values, &cachedValue{e, bodydelta.DigestOf(e.Value)})
			v.evictOld()
		}
	}
}

// lookup returns the value that was committed for a key at an index, nil if it is not cached. The caller holds the lock.
func (v *ValueCache) lookup(key string, index int64) *cachedValue {
	for _, value := range v.values {
		if value.Index == index && value.Key == key {
			return value
		}
	}
	return nil
}

// evictOld evicts the oldest values beyond the bounds, but never the newest value of a key. The caller holds the lock.
func (v *ValueCache) evictOld() {
	count, newest, oldBytes := map[string]int{}, map[string]int64{}, 0
	for _, value := range v.values {
		count[value.Key]++
		newest[value.Key] = max(newest[value.Key], value.Index)
		oldBytes += len(value.Value)
	}
	for _, value := range v.values {
		if newest[value.Key] == value.Index {
			oldBytes -= len(value.Value)
		}
	}
	kept := v.values[:0]
	for _, value := range v.values {
		if value.Index < newest[value.Key] && (count[value.Key] > maxValuesPerKey || oldBytes > maxCachedBytes) {
			count[value.Key]--
			oldBytes -= len(value.Value)
			v.dropDeltas(value.digest)
			continue
		}
		kept = append(kept, value)
	}
	clear(v.values[len(kept):])
	v.values = kept
}

// dropDeltas drops all deltas from or to a value. The caller holds the lock.
func (v *ValueCache) dropDeltas(d bodydelta.Digest) {
	for p := range v.deltas {
		if p.base == d || p.target == d {
			delete(v.deltas, p)
		}
	}
}

// Find returns the value with a digest, nil if it is not cached.
func (v *ValueCache) Find(digest []byte) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if value := v.findDigest(digest); value != nil {
		return value.Value
	}
	return nil
}

// findDigest returns the value with a digest, nil if it is not cached. The caller holds the lock.
func (v *ValueCache) findDigest(digest []byte) *cachedValue {
	for _, value := range v.values {
		if bytes.Equal(value.digest[:], digest) {
			return value
		}
	}
	return nil
}

// Add adds an entry to a response: as a delta to the first of the follower's base values for which there is one worth
// sending (a delta to the empty value is the compressed value), otherwise in full, or by reference if it is longer than
// maxInlineValue. An entry that is not cached is sent in full.
func (v *ValueCache) Add(response *ChangesResponse, entry chain.Entry, baseValues []BaseValue) {
	v.mu.Lock()
	target := v.lookup(entry.Key, entry.Index)
	v.mu.Unlock()
	if target == nil {
		response.Entries = append(response.Entries, entry)
		return
	}
	for _, base := range baseValues {
		if base.Key != entry.Key {
			continue
		}
		if patch := v.delta(base.Digest, target); patch != nil {
			response.Patches = append(response.Patches, Patch{Index: entry.Index, Key: entry.Key, Delta: patch})
			return
		}
	}
	if len(entry.Value) <= maxInlineValue {
		response.Entries = append(response.Entries, entry)
		return
	}
	ref := ValueRef{Index: entry.Index, Key: entry.Key, Size: int64(len(entry.Value)), Digest: target.digest[:]}
	response.LargeValues = append(response.LargeValues, ref)
}

// delta returns the delta to target from the base value with a digest, nil if there is none worth sending. It computes
// the delta once for all followers, without holding the lock.
func (v *ValueCache) delta(baseDigest []byte, target *cachedValue) []byte {
	v.mu.Lock()
	base := v.findBase(baseDigest, target.Key)
	if base == nil {
		v.mu.Unlock()
		return nil
	}
	key := digestPair{base.digest, target.digest}
	cached := v.deltas[key]
	if cached == nil {
		cached = new(cachedDelta)
		if v.deltas == nil {
			v.deltas = map[digestPair]*cachedDelta{}
		}
		v.deltas[key] = cached
	}
	v.mu.Unlock()
	cached.once.Do(func() {
		patch, maxSize := []byte(nil), maxPatchSize
		if len(base.Value) == 0 {
			patch, maxSize = bodydelta.Compress(target.Value, key.target), maxInlineValue
		} else {
			patch = bodydelta.DiffWithDigests(base.Value, target.Value, key.base, key.target)
		}
		if len(patch) <= maxSize && len(patch) < len(target.Value) {
			cached.bytes = patch
		}
	})
	return cached.bytes
}

// emptyValue is the base of compressed values.
var emptyValue = &cachedValue{digest: bodydelta.EmptyDigest()}

// findBase returns the base value of a key with a digest: a cached value or the empty one, nil if there is neither. The
// caller holds the lock.
func (v *ValueCache) findBase(digest []byte, key string) *cachedValue {
	if bytes.Equal(digest, emptyValue.digest[:]) {
		return emptyValue
	}
	if base := v.findDigest(digest); base != nil && base.Key == key {
		return base
	}
	return nil
}

// Chunk returns the response to a chunk request: at most maxChunkSize bytes of the value, or ChunkUnknown if the value is
// not cached.
func (v *ValueCache) Chunk(request *ChunkRequest) *Chunk {
	value := v.Find(request.Digest)
	if value == nil {
		return &Chunk{Status: ChunkUnknown}
	}
	start := min(max(request.Offset, 0), int64(len(value)))
	end := min(start+min(max(request.Length, 0), maxChunkSize), int64(len(value)))
	return &Chunk{Status: ChunkServed, Digest: request.Digest, Offset: start, Data: value[start:end],
		Final: end == int64(len(value))}
}
