package override

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"larchrouter/internal/fixture"
)

var (
	frozenOverride = Override{Subject: "endpoint:pay-1", Active: true, Counter: 0x010203,
		Origin: "r2", Author: "op", AtMs: 1700000000123}
	frozenRevocation = Override{Subject: "gone:r3", Counter: 5, Origin: "r1", Author: "other", AtMs: -7}
	frozenMessage    = message{
		incarnation: 0xa1a2a3a4, heartbeat: 0x0102, listDigest: 0x1112131415161718, totalWeight: 300, weight: 200,
		storeDigest: 0x2122232425262728, wantsReply: true,
		observationDigest: 0x31323334,
		bucketDigest: &Digest{0x41, 0x42, 0x43, 0x44, 0x45, 0x46, 0x47, 0x48,
			0x49, 0x4a, 0x4b, 0x4c, 0x4d, 0x4e, 0x4f, 0x50515253},
		heartbeats: []relayHeartbeat{{relay: 1, heartbeat: 0x0304}, {relay: 2, heartbeat: 5}}, overrides: []Override{frozenOverride},
		observations: []Observation{{Subject: "endpoint:p", Origin: 3, Unhealthy: true,
			Since: 4321 * time.Millisecond, Renewed: 987 * time.Millisecond, Counter: 0x0405}},
		versions: []ActiveVersion{{Kind: 1, Version: 0x61626364}, {Kind: 4, Version: 0x71727374}},
	}
)

// frozenMessages has a message with every field, and one for each field that may be left out or come more than once.
var frozenMessages = []struct {
	name    string
	message message
}{

	{"all fields", frozenMessage},

	{"beat", message{heartbeat: 1}},

	{"words", message{heartbeat: 2, overrides: []Override{frozenOverride, frozenRevocation}}},

	{"sights", message{heartbeat: 3, observations: []Observation{
		{Subject: "endpoint:a", Origin: 1, Unhealthy: true, Since: time.Second, Renewed: time.Millisecond, Counter: 2},
		{Subject: "endpoint:b", Origin: 2, Since: 2 * time.Second, Renewed: 3 * time.Second, Counter: 4}}}},
	{"acts", message{heartbeat: 4, versions: []ActiveVersion{{1, 0x01020304}, {2, 0x05060708}, {3, 0x090a0b0c}, {4, 0x0d0e0f10}}}},
}

// Guards against a change of the messages that relays of different builds send each other.
func TestFrozenMessages(t *testing.T) {
	var present []fixture.Line
	for _, f := range frozenMessages {
		data, overrides, observations := f.message.encode()
		if overrides != len(f.message.overrides) || observations != len(f.message.observations) {
			t.Fatalf("%s: does not fit into one message", f.name)
		}
		present = append(present, fixture.Line{Name: f.name, Text: hex.EncodeToString(data)})
	}
	old := fixture.Lines(t, "testdata/notes-V.txt", present)
	if len(old) != len(frozenMessages) {
		t.Errorf("%d messages in the file, %d in the test", len(old), len(frozenMessages))
	}
	for i, f := range frozenMessages {
		if present[i].Text != old[f.name] {
			t.Errorf("%s: encoded as %s, want %s", f.name, present[i].Text, old[f.name])
		}
		data, err := hex.DecodeString(old[f.name])
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(data)
		if err != nil || !reflect.DeepEqual(got, f.message) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", f.name, got, err, f.message)
		}
		if data[0] != 0x56 {
			t.Errorf("%s: version %#x, want 0x56", f.name, data[0])
		}
	}
	if unset := fixture.Unset(frozenMessage); len(unset) > 0 {
		t.Errorf("the message with all fields does not set %v", unset)
	}
}

// Digests that relays compare with each other must not depend on the build. The numbers are those of the code
// that introduced them.
func TestFrozenDigests(t *testing.T) {
	store := NewStore()
	for _, o := range []Override{frozenOverride, frozenRevocation} {
		if !store.Merge(o) {
			t.Fatalf("%+v was not merged", o)
		}
	}
	digest := store.Digest()
	key := observationKey{origin: 3, subject: "endpoint:p"}
	for name, tc := range map[string]struct{ got, want uint64 }{
		"list of names":              {listDigest([]string{"r1", "r2", "r3"}), 0x9f912859a0e7c6dd},
		"override":                   {uint64(frozenOverride.hash()), 0x4037a17d},
		"revocation":                 {uint64(frozenRevocation.hash()), 0x3421daca},
		"bucket of an override":      {uint64(bucketOf(frozenOverride.Subject)), 0xe},
		"bucket of another override": {uint64(bucketOf(frozenRevocation.Subject)), 0xb},
		"its digest":                 {uint64(digest[bucketOf(frozenOverride.Subject)]), 0x4037a17d},
		"digest of a store":          {digest.combined(), 0xa4a1eb67b772af05},
		"digest of an empty store":   {NewStore().digest.combined(), 0xb9b23f3a46fd0825},
		"observation":                {uint64(key.hash(observed{unhealthy: true, counter: 0x0405})), 0x143acb95},
		"buckets of a store":         {digestBuckets, 16},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: %#x, want %#x", name, tc.got, tc.want)
		}
	}
}
