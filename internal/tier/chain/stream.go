package chain

import "github.com/cespare/xxhash/v2"

// Bounds of a stream of updates. A piece is small enough that a heartbeat behind it is not late on a link of 30 Mbit/s
// (17 ms); the window keeps such a link busy for a round trip of some ten milliseconds.
const (
	ChunkSize    = 64 << 10  // bytes of values in one update
	windowSize   = 256 << 10 // bytes under way to one receiver, beyond which no further piece is sent
	fragmentCost = 64        // what a fragment is counted for beside its bytes
	maxValue     = 128 << 20 // larger values are not taken: they are garbage
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

// outgoing is the sender's side of a stream. The zero value waits until the receiver has told where it is.
type outgoing struct {
	known      bool
	life       int64
	base       int64
	told       Position // by the receiver, last
	sent       Position
	pinned     *Entry // the one of which a part was sent: it may be compacted away meanwhile
	pinnedSum  int64
	through    int64 // the last Through that was sent, below 0 for none
	complete   int64 // the receiver has all up to here; below 0 while it is not active
	flight     []flight
	bytes      int // in flight
	progressed bool
	waited     int // calls of resend since there was progress
	patience   int // how many of them are waited for
}

const mostPatience = 16 // a link on which a piece takes long must not be filled with repeats

type flight struct {
	after Position
	bytes int
}

// acked takes the receiver's report; complete is up to where it has all, below 0 for nothing.
func (o *outgoing) acked(life int64, a Ack, complete int64) {
	if o.known && life < o.life {
		return // said in an earlier life
	}
	if !o.known || life != o.life || o.base != a.Commit && complete < 0 {
		*o = outgoing{known: true, life: life, base: a.Commit, told: a.Received, sent: a.Received, through: -1, complete: complete, progressed: true, patience: 1}
		return
	}
	if o.told.Less(a.Received) || o.complete < complete {
		o.progressed = true
	}
	o.base, o.told = a.Commit, a.Received
	o.complete = max(o.complete, complete)
	for len(o.flight) > 0 && !o.told.Less(o.flight[0].after) {
		o.bytes -= o.flight[0].bytes
		o.flight = o.flight[1:]
	}
	if o.sent.Less(o.told) {
		o.rewind()
	}
}

// resend goes back to what the receiver has told, if nothing has come of what was sent for some calls. Where nothing is under
// way there is nothing to wait for: what is sent next, and lost, is repeated as soon as on a link that was never idle.
func (o *outgoing) resend() {
	if o.progressed || !o.known || o.idle() {
		o.progressed, o.waited, o.patience = false, 0, 1
		return
	}
	if o.waited++; o.waited < o.patience {
		return
	}
	o.rewind()
	o.waited, o.patience = 0, min(2*o.patience, mostPatience)
}

// idle tells whether the receiver has told that it has all that was sent, and has taken it in.
func (o *outgoing) idle() bool { return o.sent == o.told && o.complete >= max(o.through, 0) }

func (o *outgoing) rewind() {
	o.sent, o.flight, o.bytes, o.through = o.told, nil, 0, -1
}

// next makes the next update from the entries up to a limit.
func (o *outgoing) next(entries []Entry, limit int64) (u Update, some bool) {
	if !o.known || o.complete >= limit || o.bytes >= windowSize {
		return Update{}, false
	}
	e := o.entry(entries, limit) // it gives up a part of an entry that is gone: only then o.sent is what to go on after
	u = Update{Base: o.base, After: o.sent}
	room := ChunkSize
	for ; e != nil && room > 0; e = o.entry(entries, limit) {
		f := o.fragment(e, room)
		room -= len(f.Data) + fragmentCost
		u.Fragments = append(u.Fragments, f)
	}
	if e == nil && o.through < limit {
		u.Complete, u.Through, o.through = true, limit, limit
	}
	if len(u.Fragments) == 0 && !u.Complete {
		return Update{}, false
	}
	size := ChunkSize - room
	o.flight = append(o.flight, flight{o.sent, size})
	o.bytes += size
	return u, true
}

// entry is the one that is sent next, nil for none. Where a part of one was sent that is neither pinned nor among the
// entries any more, the stream goes on with the entry that follows: the receiver then drops its part.
func (o *outgoing) entry(entries []Entry, limit int64) *Entry {
	if o.sent.PartialBytes > 0 && o.pin(entries) {
		return o.pinned
	}
	o.sent.PartialIndex, o.sent.PartialBytes = 0, 0
	rest := EntriesAfter(entries, o.sent.LastIndex)
	if len(rest) == 0 || rest[0].Index > limit {
		return nil
	}
	return &rest[0]
}

// pin finds the entry of which a part was sent, perhaps by another member.
func (o *outgoing) pin(entries []Entry) bool {
	if o.pinned == nil || o.pinned.Index != o.sent.PartialIndex {
		o.pinned = nil
		for _, e := range EntriesAfter(entries, o.sent.PartialIndex-1) {
			if e.Index == o.sent.PartialIndex {
				o.pinned, o.pinnedSum = &e, sum(e.Value)
				break
			}
		}
	}
	return o.pinned != nil && o.sent.PartialBytes < int64(len(o.pinned.Value))
}

// fragment cuts the next part of an entry off.
func (o *outgoing) fragment(e *Entry, room int) Fragment {
	if o.pinned != e {
		pinned := *e
		o.pinned, o.pinnedSum = &pinned, sum(e.Value)
	}
	size := int64(len(e.Value))
	n := min(int64(room), size-o.sent.PartialBytes)
	f := Fragment{Index: e.Index, Key: e.Key, ValueSize: size, Checksum: o.pinnedSum, Offset: o.sent.PartialBytes, Data: e.Value[o.sent.PartialBytes : o.sent.PartialBytes+n]}
	if f.Offset+n < size {
		o.sent.PartialIndex, o.sent.PartialBytes = e.Index, f.Offset+n
	} else {
		o.pinned, o.sent = nil, Position{LastIndex: e.Index}
	}
	return f
}

func sum(value []byte) int64 { return int64(xxhash.Sum64(value)) }

// incoming is the receiver's side of a stream: whole entries in their order, and the beginning of the next.
type incoming struct {
	done    int64
	part    *Fragment // Data is what has come of it
	entries []Entry
	madeAt  int64 // to a learner: the highest commit index that the sender had of what came
}

func (in *incoming) position() Position {
	p := Position{LastIndex: in.done}
	if in.part != nil && len(in.part.Data) > 0 {
		p.PartialIndex, p.PartialBytes = in.part.Index, int64(len(in.part.Data))
	}
	return p
}

// take takes an update if it is the next of the stream, or begins the entry that is under way again.
func (in *incoming) take(u Update) bool {
	if u.After.LastIndex != in.done || u.After.PartialBytes != 0 && u.After != in.position() {
		return false
	}
	if u.After.PartialBytes == 0 {
		in.part = nil
	}
	for i := range u.Fragments {
		if !in.add(&u.Fragments[i]) {
			return false
		}
	}
	return true
}

func (in *incoming) add(f *Fragment) bool {
	if f.Index <= in.done || f.ValueSize > maxValue || f.ValueSize < 0 || f.Offset+int64(len(f.Data)) > f.ValueSize {
		return false
	}
	if in.part == nil {
		in.part = &Fragment{Index: f.Index, Key: f.Key, ValueSize: f.ValueSize, Checksum: f.Checksum}
	}
	if f.Index != in.part.Index || f.Checksum != in.part.Checksum || f.ValueSize != in.part.ValueSize || f.Offset != int64(len(in.part.Data)) {
		return false
	}
	in.part.Data = append(in.part.Data, f.Data...)
	if int64(len(in.part.Data)) < in.part.ValueSize {
		return true
	}
	whole := in.part
	in.part = nil
	if sum(whole.Data) != whole.Checksum {
		return false
	}
	in.entries = append(in.entries, Entry{Index: whole.Index, Key: whole.Key, Value: whole.Data})
	in.done = whole.Index
	return true
}
