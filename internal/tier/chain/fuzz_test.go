package chain

import (
	"encoding/binary"
	"reflect"
	"testing"

	"larchrouter/internal/tier/view"
)

// fuzzInput reads numbers from the fuzz input, mostly small ones; beyond its end they are 0.
type fuzzInput []byte

func (r *fuzzInput) number() int64 {
	if len(*r) == 0 {
		return 0
	}
	b := (*r)[0]
	*r = (*r)[1:]
	if b == 0xff && len(*r) >= 8 { // arbitrary 64-bit number
		n := int64(binary.LittleEndian.Uint64(*r))
		*r = (*r)[8:]
		return n
	}
	return int64(b) - 4 // small, sometimes negative
}

func (r *fuzzInput) bytes() []byte {
	n := min(max(int(r.number()), 0), len(*r))
	b := (*r)[:n]
	*r = (*r)[n:]
	return b
}

// update reads an update; sometimes its checksums are valid and it continues at the receiver's position.
func (r *fuzzInput) update(at Position) Update {
	u := Update{Base: r.number(), Through: r.number(), Commit: r.number(), Complete: r.number()%2 == 0}
	if u.After = at; r.number()%4 == 0 {
		u.After = Position{LastIndex: r.number(), PartialIndex: r.number(), PartialBytes: r.number()}
	}
	for range r.number() % 4 {
		f := Fragment{Index: r.number(), Key: "k", ValueSize: r.number(), Checksum: r.number(), Offset: r.number(), Data: r.bytes()}
		if r.number()%2 == 0 {
			f.ValueSize, f.Checksum, f.Offset = int64(len(f.Data)), checksum(f.Data), 0
		}
		u.Fragments = append(u.Fragments, f)
	}
	return u
}

func addSeeds(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{4, 9, 9, 4, 5, 7, 9, 0, 0, 0, 8, 1, 2, 3, 4, 4})
	f.Add([]byte{4, 9, 9, 5, 5, 6, 9, 24, 6, 4, 6, 1, 2, 5, 4, 9, 9, 4, 5, 5, 9, 24, 6, 6, 6, 1, 2, 5})
	f.Add([]byte{4, 9, 9, 4, 4, 4, 4, 4, 5, 0xff, 255, 255, 255, 255, 255, 255, 255, 127, 6, 4,
		0xff, 255, 255, 255, 255, 255, 255, 255, 127, 8, 1, 2, 3, 4, 5})
}

// FuzzReceiveStream checks that a receiver handles arbitrary updates safely: it does not panic, complete entries are in order,
// entries received before stay unmodified, and the entry in transfer never exceeds its size.
func FuzzReceiveStream(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, input []byte) {
		r := fuzzInput(input)
		in := receiveStream{lastIndex: 2}
		for len(r) > 0 {
			before, previous := in.entries, in.lastIndex
			in.handleUpdate(r.update(in.position()))
			if in.lastIndex < previous || len(in.entries) < len(before) ||
				len(before) > 0 && !reflect.DeepEqual(before, in.entries[:len(before)]) {
				t.Fatalf("position decreased or received entries were modified: %d to %d", previous, in.lastIndex)
			}
			last := previous
			for _, e := range in.entries[len(before):] {
				if e.Index <= last {
					t.Fatalf("index %d after %d", e.Index, last)
				}
				last = e.Index
			}
			if last != in.lastIndex {
				t.Fatalf("position is %d, but the last entry is %d", in.lastIndex, last)
			}
			if p := in.partial; p != nil && (p.ValueSize > maxValueSize ||
				int64(len(p.Data)) >= max(p.ValueSize, 1) || p.Index <= in.lastIndex) {
				t.Fatalf("entry in transfer has %d of %d bytes, index %d", len(p.Data), p.ValueSize, p.Index)
			}
		}
	})
}

// FuzzTransferIsAtomic checks that the state of a learner, and of a member that is not active yet, changes only when a transfer
// on its base is complete.
func FuzzTransferIsAtomic(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, input []byte) {
		v := viewOf(3, "a", "b")
		for _, id := range []string{"z", "b"} {
			r := fuzzInput(input)
			c := newMember(id, State{ActivatedEpoch: 1, LastIndex: 4, Commit: 2, Entries: []Entry{
				{1, "k", nil}, {2, "l", nil}, {4, "own", nil},
			}}, v)
			for len(r) > 0 && c.State().Commit == 2 && !c.IsActive() {
				before := stateString(c.State())
				u := r.update(c.CurrentAck().Received)
				u.Epoch = 3
				base := c.State().Commit
				changed := handleByRole(c, v, u)
				if !changed && stateString(c.State()) != before {
					t.Fatalf("state changed from %s to %s, but no change was reported", before, stateString(c.State()))
				}
				if changed && (!u.Complete || u.Base != base) {
					t.Fatalf("state changed by an incomplete transfer or one on another base: %+v", u)
				}
			}
		}
	})
}

func handleByRole(c *Chain, v view.View, u Update) bool {
	if v.Position(c.self) < 0 {
		return c.HandleLearnerUpdate(u)
	}
	changed, _ := c.HandleUpdate(v.Head(), u)
	return changed
}
