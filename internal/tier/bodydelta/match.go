package bodydelta

import "bytes"

const (
	blockSize      = 32         // bytes; shorter matches are inserted
	hashMultiplier = 0x9E3779B1 // of the rolling hash; odd
	slotMultiplier = 0x9E3779B97F4A7C15
)

// commonPrefix returns the length of the common prefix. It compares 64 bytes at a time first.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for n-i >= 64 && bytes.Equal(a[i:i+64], b[i:i+64]) {
		i += 64
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

// commonSuffix returns the length of the common suffix.
func commonSuffix(a, b []byte) int {
	i := 0
	for i < len(a) && i < len(b) && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	return i
}

// blockIndex is a hash table of the old body's blocks. Of the blocks in a slot the first one is kept: a miss makes the delta
// longer, but not wrong.
type blockIndex struct {
	slots []int32 // offset of the block in the old body, plus one; 0 if the slot is empty
	shift uint    // 64 minus the binary logarithm of the number of slots
}

// indexBlocks returns the index of the old body's blocks at multiples of blockSize.
func indexBlocks(old []byte) *blockIndex {
	bits := uint(4)
	for 1<<bits < 2*(len(old)/blockSize) {
		bits++
	}
	index := &blockIndex{slots: make([]int32, 1<<bits), shift: 64 - bits}
	for start := 0; start+blockSize <= len(old); start += blockSize {
		slot := index.slot(hashBlock(old[start:]))
		if index.slots[slot] == 0 {
			index.slots[slot] = int32(start + 1)
		}
	}
	return index
}

// slot returns the slot of a hash.
func (x *blockIndex) slot(hash uint64) uint64 { return hash * slotMultiplier >> x.shift }

// find returns the offset of an equal block in the old body, or -1.
func (x *blockIndex) find(old, block []byte, hash uint64) int {
	start := int(x.slots[x.slot(hash)]) - 1
	if start < 0 || !bytes.Equal(old[start:start+blockSize], block[:blockSize]) {
		return -1
	}
	return start
}

// hashBlock returns the hash of the first block of b.
func hashBlock(b []byte) (hash uint64) {
	for _, c := range b[:blockSize] {
		hash = hash*hashMultiplier + uint64(c)
	}
	return hash
}

// outgoingFactor is hashMultiplier to the power of blockSize: the factor of the byte that leaves the rolling hash.
var outgoingFactor = func() uint64 {
	power := uint64(1)
	for range blockSize {
		power *= hashMultiplier
	}
	return power
}()

// matchBlocks encodes new from start on. A block that occurs in the old body is extended in both directions and copied;
// the bytes between are inserted.
func matchBlocks(delta *writer, old, new []byte, start int) {
	if len(new)-start < blockSize || len(old) < blockSize {
		delta.insert(new[start:])
		return
	}
	index := indexBlocks(old)
	encoded := start // all bytes before it are encoded
	position := start
	hash := hashBlock(new[position:])
	for position+blockSize <= len(new) {
		match := index.find(old, new[position:], hash)
		if match < 0 {
			if position+blockSize == len(new) {
				break
			}
			hash = hash*hashMultiplier + uint64(new[position+blockSize]) - outgoingFactor*uint64(new[position])
			position++
			continue
		}
		before := commonSuffix(old[:match], new[encoded:position])
		length := before + commonPrefix(old[match:], new[position:])
		delta.insert(new[encoded : position-before])
		delta.copyRange(match-before, length)
		position += length - before
		encoded = position
		if position+blockSize <= len(new) {
			hash = hashBlock(new[position:])
		}
	}
	delta.insert(new[encoded:])
}
