package chain

import "github.com/cespare/xxhash/v2"

// Bounds of a stream of updates. A piece is small enough that a heartbeat behind it is not late on a link of 30 Mbit/s
// (17 ms); the window keeps such a link busy for a round trip of some ten milliseconds.
const (
	ChunkSize    = 64 << 10  // bytes of values in one update
	windowSize   = 256 << 10 // bytes under way to one receiver, beyond which no further piece is sent
	fragmentCost = 64        // what a fragment is counted for beside its bytes
	maxValueSize = 128 << 20 // larger values are not taken: they are garbage
)

// Position in a stream of entries: all up to Done has come, and Part bytes of the entry that follows, whose index is Of.
type Position struct {
	LastIndex    int64
	PartialIndex int64 // 0 while Part is 0
	PartialBytes int64
}

// Less tells whether p comes before o.
func (p Position) Less(o Position) bool {
	return p.LastIndex < o.LastIndex || p.LastIndex == o.LastIndex && p.PartialBytes < o.PartialBytes
}

// Fragment is a part of an entry.
type Fragment struct {
	Index     int64
	Key       string
	ValueSize int64 // of the whole value
	Checksum  int64 // xxhash of the whole value
	Offset    int64 // of Data in it
	Data      []byte
}

// Update is what a member sends its successor, and the tail a learner: the next fragments of a stream of entries.
type Update struct {
	Epoch     int64
	Base      int64    // the receiver's commit index, on which a stream to one that is not active builds
	After     Position // what the receiver has to have of the stream
	Fragments []Fragment
	Complete  bool // with these the receiver has all that the sender has up to Through
	Through   int64
	Commit    int64
}

func checksum(value []byte) int64 { return int64(xxhash.Sum64(value)) }
