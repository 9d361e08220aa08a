package chain

import "github.com/cespare/xxhash/v2"

// Limits of a stream of updates. A chunk is small enough that a heartbeat queued behind it is not late on a link of 30 Mbit/s,
// where the chunk takes 17 ms; the window keeps such a link busy at round-trip times of some ten milliseconds.
const (
	ChunkSize    = 64 << 10  // bytes of values in one update
	windowSize   = 256 << 10 // bytes in flight to one receiver at which no further update is sent
	fragmentCost = 64        // bytes counted for a fragment in addition to its data
	maxValueSize = 128 << 20 // bytes; larger values are rejected as invalid
)

// Position is a position in a stream of entries.
type Position struct {
	LastIndex    int64 // all entries up to it have been received
	PartialIndex int64 // index of the next entry if a part of it has been received, else 0
	PartialBytes int64 // bytes received of that entry
}

// Less reports whether p is before o.
func (p Position) Less(o Position) bool {
	return p.LastIndex < o.LastIndex || p.LastIndex == o.LastIndex && p.PartialBytes < o.PartialBytes
}

// Fragment is a contiguous part of an entry.
type Fragment struct {
	Index     int64
	Key       string
	ValueSize int64 // size of the complete value in bytes
	Checksum  int64 // xxHash64 of the complete value
	Offset    int64 // of Data within the value
	Data      []byte
}

// Update carries the next fragments of a stream of entries to the successor or to a learner.
type Update struct {
	Epoch     int64
	Base      int64    // commit index of the receiver: a transfer to an inactive member builds on the entries up to it
	After     Position // position of the receiver at which the fragments continue
	Fragments []Fragment
	Complete  bool  // after this update the receiver has everything that the sender has up to Through
	Through   int64 // set if Complete
	Commit    int64 // commit index of the sender
}

func checksum(value []byte) int64 { return int64(xxhash.Sum64(value)) }
