package chain

import (
	"bytes"
	"math"
	"testing"
)

func TestInvalidFragmentsAreRejected(t *testing.T) {
	value := []byte("value")
	good := Fragment{Index: 3, Key: "k", ValueSize: 5, Checksum: checksum(value), Data: value}
	for name, corrupt := range map[string]func(f *Fragment){
		"received index":     func(f *Fragment) { f.Index = 2 },
		"index below 0":      func(f *Fragment) { f.Index = -1 },
		"size below 0":       func(f *Fragment) { f.ValueSize = -1 },
		"size above maximum": func(f *Fragment) { f.ValueSize = maxValueSize + 1 },
		"size too small":     func(f *Fragment) { f.ValueSize = 4 },
		"offset after a gap": func(f *Fragment) { f.Offset, f.ValueSize = 5, 10 },
		"offset below 0":     func(f *Fragment) { f.Offset = -1 },
		"offset overflow":    func(f *Fragment) { f.Offset = math.MaxInt64 },
		"wrong checksum":     func(f *Fragment) { f.Checksum++ },
		"wrong data":         func(f *Fragment) { f.Data = []byte("velue") },
	} {
		in := receiveStream{lastIndex: 2}
		f := good
		if corrupt(&f); in.handleUpdate(Update{After: Position{LastIndex: 2}, Fragments: []Fragment{f}}) {
			t.Errorf("accepted a fragment with %s", name)
		}
		if in.lastIndex != 2 || len(in.entries) != 0 || in.position() != (Position{LastIndex: 2}) {
			t.Errorf("%s: position %v", name, in.position())
		}
		if !in.handleUpdate(Update{After: Position{LastIndex: 2}, Fragments: []Fragment{good}}) || len(in.entries) != 1 {
			t.Errorf("after %s, the valid fragment was rejected", name)
		}
	}
}

func TestFragmentsOfOtherEntryAreRejected(t *testing.T) {
	value := largeValue(1, 2)
	first := Fragment{Index: 3, Key: "k", ValueSize: int64(len(value)), Checksum: checksum(value), Data: value[:ChunkSize]}
	second := first
	second.Offset, second.Data = ChunkSize, value[ChunkSize:]
	for name, corrupt := range map[string]func(f *Fragment){
		"index":    func(f *Fragment) { f.Index = 4 },
		"checksum": func(f *Fragment) { f.Checksum++ },
		"size":     func(f *Fragment) { f.ValueSize++ },
		"offset":   func(f *Fragment) { f.Offset-- },
	} {
		in := receiveStream{lastIndex: 2}
		in.handleUpdate(Update{After: Position{LastIndex: 2}, Fragments: []Fragment{first}})
		at := in.position()
		f := second
		if corrupt(&f); in.handleUpdate(Update{After: at, Fragments: []Fragment{f}}) || in.position() != at {
			t.Errorf("accepted a fragment with another %s", name)
		}
		if !in.handleUpdate(Update{After: at, Fragments: []Fragment{second}}) || !bytes.Equal(in.entries[0].Value, value) {
			t.Errorf("after a fragment with another %s, the valid fragment was rejected", name)
		}
	}
}

func TestOutOfOrderUpdateIsRejected(t *testing.T) {
	value := largeValue(1, 2)
	first := Fragment{Index: 3, ValueSize: int64(len(value)), Checksum: checksum(value), Data: value[:ChunkSize]}
	in := receiveStream{lastIndex: 2}
	in.handleUpdate(Update{After: Position{LastIndex: 2}, Fragments: []Fragment{first}})
	for _, after := range []Position{{LastIndex: 1}, {LastIndex: 3}, {2, 3, 1}, {2, 4, ChunkSize}} {
		if in.handleUpdate(Update{After: after}) || in.position() != (Position{2, 3, ChunkSize}) {
			t.Error("accepted an update after position", after)
		}
	}
	if !in.handleUpdate(Update{After: Position{LastIndex: 2}}) || in.position() != (Position{LastIndex: 2}) {
		t.Error("rejected an update that restarts the entry")
	}
}

func TestPositionsAreOrdered(t *testing.T) {
	ordered := []Position{{}, {0, 1, 5}, {1, 0, 0}, {1, 2, 3}, {1, 2, 4}}
	for i, x := range ordered {
		for k, y := range ordered {
			if x.Less(y) != (i < k) {
				t.Error(x, y)
			}
		}
	}
}
