package fleetlimit

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fixture"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/quota"
)

// frozen has a message for each kind of record, and for each form of a kind. Every field of a kind has a value
// of its own. Rates and values are powers of two, which the encoding keeps exactly; times are multiples of
// timeUnit.
var frozen = []struct {
	name    string
	kinds   []byte // as numbers on the wire
	records []record
}{

	{"ask", []byte{1}, []record{{kind: requestKind, dest: 0x01020304, timestamp: 0x0506, calls: 7, value: 16, routes: []estimate{
		{route: 0x11121314, rate: 4, limitKnown: true, state: down, inState: 24 * time.Millisecond},
		{route: 0x21222324, rate: 0.5, witnessed: true, state: warmingUp, inState: 80 * time.Millisecond}}}}},
	{"ask without routes", []byte{1}, []record{{kind: requestKind, dest: 8, timestamp: 9, calls: 255, value: 0.25}}},
	{"queued", []byte{2}, []record{{kind: queuedKind, dest: 0x02030405, routes: []estimate{
		{route: 0x31323334, rate: 8, state: open, inState: 160 * time.Millisecond},
		{route: 0x41424344, rate: 0, limitKnown: true, witnessed: true, state: warmingUp, inState: 65535 * 8 * time.Millisecond}}}}},
	{"grant", []byte{3}, []record{{kind: grantKind, dest: 0x03040506, routes: []estimate{
		{route: 0x51525354, rate: 2, limitKnown: true, witnessed: true, state: warmingUp, inState: 40 * time.Millisecond}},
		grant: 0x61626364, validFor: 200 * time.Millisecond, healthy: true, timestamp: 0x0708, queuedFor: 4800 * time.Millisecond}}},
	{"spent", []byte{4}, []record{{kind: outcomeKind, dest: 0x04050607, routes: []estimate{{route: 0x71727374}}, grant: 0x08090a0b,
		outcome: choice.Reset, took: 2400 * time.Millisecond, wait: 3200 * time.Millisecond}}},
	{"moved", []byte{5}, []record{{kind: movedKind, dest: 0x05060708, coordinator: 0x1920}}},
	{"hello", []byte{6}, []record{{kind: helloKind}}},
	{"hello that answers", []byte{6}, []record{{kind: helloKind, answer: true}}},
	{"call", []byte{7}, []record{{kind: pledgeRequestKind, dest: 0x06070809, answer: true,
		stamp: quota.Stamp{Incarnation: 0xa1a2a3a4, At: 0x0102030405 * time.Millisecond}}}},
	{"pledge", []byte{8}, []record{{kind: pledgeKind, dest: 0x0708090a, units: 0x000fedcb,
		stamp: quota.Stamp{Incarnation: 0xb1b2b3b4, At: 0x0203040506 * time.Millisecond}}}},
	{"release", []byte{9}, []record{{kind: releaseKind, dest: 0x08090a0b,
		stamp: quota.Stamp{Incarnation: 0xc1c2c3c4, At: 0x0304050607 * time.Millisecond}}}},
	{"several", []byte{7, 4, 6}, []record{
		{kind: pledgeRequestKind, dest: 1, stamp: quota.Stamp{Incarnation: 2, At: 3 * time.Millisecond}},
		{kind: outcomeKind, dest: 4, routes: []estimate{{route: 5}}, grant: 6, outcome: choice.Spoilt,
			took: 8 * time.Millisecond, wait: 16 * time.Millisecond},
		{kind: helloKind, answer: true}}},
}

// Guards against a change of the messages that relays of different builds send each other.
func TestFrozenMessages(t *testing.T) {
	var present []fixture.Line
	for _, f := range frozen {
		b := []byte{version}
		for _, r := range f.records {
			b = r.appendTo(b)
		}
		present = append(present, fixture.Line{Name: f.name, Text: hex.EncodeToString(gossip.Seal(b))})
	}
	old := fixture.Lines(t, "testdata/notes-v2.txt", present)
	if len(old) != len(frozen) {
		t.Errorf("%d messages in the file, %d in the test", len(old), len(frozen))
	}
	covered := map[byte]bool{}
	for i, f := range frozen {
		if present[i].Text != old[f.name] {
			t.Errorf("%s: encoded as %s, want %s", f.name, present[i].Text, old[f.name])
		}
		data, err := hex.DecodeString(old[f.name])
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(data)
		if err != nil || !reflect.DeepEqual(got, f.records) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", f.name, got, err, f.records)
		}
		if data[0] != 2 || data[1] != f.kinds[0] {
			t.Errorf("%s: version and kind are %d, want 2 and %d", f.name, data[:2], f.kinds[0])
		}
		for k, r := range f.records {
			covered[f.kinds[k]] = true
			if byte(r.kind) != f.kinds[k] {
				t.Errorf("%s: kind %d, want %d", f.name, r.kind, f.kinds[k])
			}
		}
	}
	for k := range 256 {
		known := false // a kind is known if a record of zeros is read with some length
		for n := range 64 {
			_, err := decode(gossip.Seal(append([]byte{version, byte(k)}, make([]byte, n)...)))
			known = known || err == nil
		}
		if known != covered[byte(k)] {
			t.Errorf("kind %d: known is %v, has a fixture is %v", k, known, covered[byte(k)])
		}
	}
	if unset := fixture.Unset(frozen); len(unset) > 0 {
		t.Errorf("no fixture sets %v", unset)
	}
}

// Numbers that messages carry, or that relays must compute alike.
func TestFrozenConstants(t *testing.T) {
	for name, tc := range map[string]struct{ got, want uint64 }{
		"route ID":              {uint64(routeID("10.0.0.1:80")), 1170886113},
		"units of a limit":      {quota.TotalUnits, 1048576},
		"bytes of a message":    {gossip.MaxMessageBytes, 256},
		"time unit":             {uint64(timeUnit), 8_000_000},
		"state open":            {uint64(open), 0},
		"state down":            {uint64(down), 1},
		"state cold":            {uint64(warmingUp), 2},
		"outcome served":        {uint64(choice.Served), 0},
		"outcome error":         {uint64(choice.Error), 1},
		"outcome refused":       {uint64(choice.Refused), 2},
		"outcome timeout":       {uint64(choice.Timeout), 3},
		"outcome no connection": {uint64(choice.NoConnection), 4},
		"outcome reset":         {uint64(choice.Reset), 5},
		"outcome cancelled":     {uint64(choice.Cancelled), 6},
		"outcome not sent":      {uint64(choice.NotSent), 7},
		"outcome spoilt":        {uint64(choice.Spoilt), 8},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: %d, want %d", name, tc.got, tc.want)
		}
	}
}
