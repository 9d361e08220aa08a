package fleetlimit

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// anyRecord draws a record with the fields of its kind, with values that the encoding keeps exactly.
func anyRecord(t *rapid.T) record {
	route := rapid.Custom(func(t *rapid.T) estimate {
		return estimate{route: rapid.Uint32().Draw(t, "route"), rate: fromLog(rapid.Byte().Draw(t, "rate")),
			limitKnown: rapid.Bool().Draw(t, "found"), state: state(rapid.IntRange(0, 2).Draw(t, "state")),
			inState: timeUnit * time.Duration(rapid.Uint16().Draw(t, "span"))}
	})
	r := record{kind: kind(rapid.IntRange(int(requestKind), int(helloKind)).Draw(t, "kind"))}
	if r.kind != helloKind {
		r.dest = int(rapid.Uint32().Draw(t, "dest"))
	}
	switch r.kind {
	case requestKind:
		r.calls, r.value = rapid.IntRange(0, 255).Draw(t, "calls"), fromLog(rapid.Byte().Draw(t, "value"))
		r.routes = rapid.SliceOfN(route, 0, 5).Draw(t, "routes")
	case queuedKind:
		r.routes = rapid.SliceOfN(route, 0, 5).Draw(t, "routes")
	case grantKind:
		r.routes, r.grant = []estimate{route.Draw(t, "route")}, rapid.Uint32().Draw(t, "grant")
		r.validFor, r.healthy = timeUnit*time.Duration(rapid.Byte().Draw(t, "validFor")), rapid.Bool().Draw(t, "healthy")
	case outcomeKind:
		r.routes, r.grant = []estimate{{route: rapid.Uint32().Draw(t, "route")}}, rapid.Uint32().Draw(t, "grant")
		r.outcome = choice.Outcome(rapid.IntRange(0, int(choice.Spoilt)).Draw(t, "outcome"))
		r.took, r.wait = timeUnit*time.Duration(rapid.Uint16().Draw(t, "took")), timeUnit*time.Duration(rapid.Uint16().Draw(t, "wait"))
	case movedKind:
		r.coordinator = int(rapid.Uint16().Draw(t, "coordinator"))
	case helloKind:
		r.answer = rapid.Bool().Draw(t, "answer")
	}
	if len(r.routes) == 0 {
		r.routes = nil
	}
	return r
}

// Encoded records are decoded unchanged; a message with a flipped bit is an error.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(anyRecord), 1, 3).Draw(t, "records")
		b := []byte{version}
		for _, r := range all {
			b = r.appendTo(b)
		}
		b = gossip.Seal(b)
		got, err := decode(b)
		if err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("decoded %+v, %v; want %+v", got, err, all)
		}
		bit := rapid.IntRange(0, 8*len(b)-1).Draw(t, "bit")
		b[bit/8] ^= 1 << (bit % 8)
		if _, err := decode(b); err == nil {
			t.Fatalf("a message with bit %d flipped was decoded", bit)
		}
	})
}

// Guards against a message that makes a relay crash, whatever it contains.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{version, byte(requestKind), 0, 0, 0, 1, 1, 128, 1, 0, 0, 0, 1, 128, 0, 0, 0})
	f.Add([]byte{version, byte(helloKind), 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		fleet, err := New(Settings{Index: 0, FleetSize: 4, Rules: rules()})
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range [][]byte{body, gossip.Seal(append([]byte{version}, body...))} {
			actions, _ := fleet.Step(time.Second, []choice.Heard{{From: 1, Note: message}}, nil)
			for _, a := range actions {
				if a, ok := a.(choice.Tell); ok && len(a.Note) > gossip.MaxMessageBytes {
					t.Fatalf("a message of %d bytes", len(a.Note))
				}
			}
		}
	})
}
