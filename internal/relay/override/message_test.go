package override

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/relay/gossip"
)

// Encoded messages are decoded unchanged, as far as their content fits; the largest override does.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{heartbeat: rapid.Uint64().Draw(t, "heartbeat"), listDigest: rapid.Uint64().Draw(t, "list"),
			totalWeight: rapid.IntRange(0, 64).Draw(t, "total"),
			weight:      rapid.IntRange(0, 100).Draw(t, "weight"),
			storeDigest: rapid.Uint64().Draw(t, "digest"), wantsReply: rapid.Bool().Draw(t, "wantsReply"),
			overrides: rapid.SliceOfN(rapid.Custom(anyOverride), 0, 3).Draw(t, "overrides")}
		if rapid.Bool().Draw(t, "detail") {
			m.bucketDigest = &Digest{1, math.MaxUint32}
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "versions") {
			m.versions = append(m.versions, ActiveVersion{i, uint32(i) << 30})
		}
		for i := range rapid.IntRange(0, 64).Draw(t, "heartbeats") {
			m.heartbeats = append(m.heartbeats, relayHeartbeat{i, uint64(i) << 20})
		}
		data, included, _ := m.encode()
		got, err := decode(data)
		if err != nil || len(data) > gossip.MaxMessageBytes {
			t.Fatal(err, len(data))
		}
		m.overrides, m.heartbeats = m.overrides[:included], m.heartbeats[:len(got.heartbeats)]
		m.versions = m.versions[:len(got.versions)]
		decoded := fmt.Sprint(got.overrides, got.heartbeats, got.heartbeat, got.listDigest,
			got.totalWeight, got.weight, got.versions, got.storeDigest, got.wantsReply)
		if decoded != fmt.Sprint(m.overrides, m.heartbeats, m.heartbeat, m.listDigest,
			m.totalWeight, m.weight, m.versions, m.storeDigest, m.wantsReply) {
			t.Fatalf("%+v\n%+v", m, got)
		}
	})
	largest := Override{Subject: strings.Repeat("s", MaxSubjectBytes), Counter: maxCounter,
		Origin: strings.Repeat("o", MaxNameBytes),
		Author: strings.Repeat("b", MaxNameBytes), AtMs: math.MaxInt64}
	full := message{heartbeat: math.MaxUint64, listDigest: 1, totalWeight: 6400, weight: 100, storeDigest: 1, wantsReply: true,
		overrides: []Override{largest}}
	if _, overrides, _ := full.encode(); overrides != 1 {
		t.Error("the longest override does not fit into a message")
	}
	o, err := NewStore().Next("partner:p", true, "x", strings.Repeat("ñ", 60), 0)
	if err != nil || len(o.Author) > MaxNameBytes || !strings.HasPrefix(o.Author, "ññ") {
		t.Errorf("a long name: %q, %v", o.Author, err)
	}
}

// Sixteen bits of a checksum accept one changed message in 65,536, and no more.
func TestDamagedMessagesAreRejected(t *testing.T) {
	random, accepted := rand.New(rand.NewPCG(1, 1)), 0
	for range 20_000 {
		data, _, _ := message{heartbeat: random.Uint64(), storeDigest: random.Uint64(),
			overrides: []Override{{Subject: "partner:p", Counter: 1, Origin: "x"}}}.encode()
		data[random.IntN(len(data))] ^= byte(1 + random.IntN(255))
		if _, err := decode(data); err == nil {
			accepted++
		}
	}
	if accepted > 3 {
		t.Errorf("%d of 20,000 messages with a changed byte were decoded", accepted)
	}
}

// Decoded overrides are valid, whatever the message is.
func FuzzDecode(f *testing.F) {
	data, _, _ := message{heartbeat: 3, overrides: []Override{{Subject: "partner:p", Counter: 1, Origin: "x"}},
		heartbeats: []relayHeartbeat{{1, 2}}, bucketDigest: new(Digest)}.encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := decode(data); err == nil {
			for _, o := range m.overrides {
				if o.Validate() != nil {
					t.Error("an override that no store accepts")
				}
			}
		}
	})
}
