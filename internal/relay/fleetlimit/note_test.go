package fleetlimit

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// anyRecord draws a record with the fields that its kind has, as they come out of a note again.
func anyRecord(t *rapid.T) record {
	route := rapid.Custom(func(t *rapid.T) rumour {
		return rumour{route: rapid.Uint32().Draw(t, "route"), rate: fromLog(rapid.Byte().Draw(t, "rate")),
			found: rapid.Bool().Draw(t, "found"), state: state(rapid.IntRange(0, 2).Draw(t, "state")), span: step * time.Duration(rapid.Uint16().Draw(t, "span"))}
	})
	r := record{kind: kind(rapid.IntRange(int(askKind), int(helloKind)).Draw(t, "kind"))}
	if r.kind != helloKind {
		r.dest = int(rapid.Uint32().Draw(t, "dest"))
	}
	switch r.kind {
	case askKind:
		r.calls, r.value = rapid.IntRange(0, 255).Draw(t, "calls"), fromLog(rapid.Byte().Draw(t, "value"))
		r.routes = rapid.SliceOfN(route, 0, 5).Draw(t, "routes")
	case queuedKind:
		r.routes = rapid.SliceOfN(route, 0, 5).Draw(t, "routes")
	case grantKind:
		r.routes, r.grant = []rumour{route.Draw(t, "route")}, rapid.Uint32().Draw(t, "grant")
		r.life, r.well = step*time.Duration(rapid.Byte().Draw(t, "life")), rapid.Bool().Draw(t, "well")
	case spentKind:
		r.routes, r.grant = []rumour{{route: rapid.Uint32().Draw(t, "route")}}, rapid.Uint32().Draw(t, "grant")
		r.outcome = choice.Outcome(rapid.IntRange(0, int(choice.Spoilt)).Draw(t, "outcome"))
		r.took, r.wait = step*time.Duration(rapid.Uint16().Draw(t, "took")), step*time.Duration(rapid.Uint16().Draw(t, "wait"))
	case movedKind:
		r.steward = int(rapid.Uint16().Draw(t, "steward"))
	case helloKind:
		r.answer = rapid.Bool().Draw(t, "answer")
	}
	if len(r.routes) == 0 {
		r.routes = nil
	}
	return r
}

// What is written is read again; a note with a bit turned over gives nothing.
func TestNotesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(anyRecord), 1, 3).Draw(t, "records")
		b := []byte{version}
		for _, r := range all {
			b = r.append(b)
		}
		b = gossip.Seal(b)
		got, err := read(b)
		if err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("read %+v, %v; want %+v", got, err, all)
		}
		bit := rapid.IntRange(0, 8*len(b)-1).Draw(t, "bit")
		b[bit/8] ^= 1 << (bit % 8)
		if _, err := read(b); err == nil {
			t.Fatalf("a note with bit %d turned over was read", bit)
		}
	})
}

// Guards against a note that makes a relay crash, whatever it holds.
func FuzzRead(f *testing.F) {
	f.Add([]byte{version, byte(askKind), 0, 0, 0, 1, 1, 128, 1, 0, 0, 0, 1, 128, 0, 0, 0})
	f.Add([]byte{version, byte(helloKind), 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		fleet, err := New(Settings{Index: 0, Fleet: 4, Rules: rules()})
		if err != nil {
			t.Fatal(err)
		}
		for _, note := range [][]byte{body, gossip.Seal(append([]byte{version}, body...))} {
			acts, _ := fleet.Step(time.Second, []choice.Heard{{From: 1, Note: note}}, nil)
			for _, a := range acts {
				if a, ok := a.(choice.Tell); ok && len(a.Note) > gossip.Most {
					t.Fatalf("a note of %d bytes", len(a.Note))
				}
			}
		}
	})
}
