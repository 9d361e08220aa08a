package feed

import (
	"slices"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
)

func TestValueCacheAddFullDeltaOrRef(t *testing.T) {
	var log commitLog
	log.commitConfig(largeRoutes, 1)
	old := log.commitConfig(largeRoutes, 1)
	source := fakeSource{commitIndex: 2}
	source.respond(&log, &ChangesRequest{}, true)
	log.commitConfig(largeRoutes, 1)
	source.commitIndex = 3
	digest, empty := bodydelta.DigestOf(old.Value), bodydelta.EmptyDigest()
	source.compresses = true
	for name, test := range map[string]struct {
		base    []BaseValue
		patches int
		refs    int
	}{
		"no base value":                   {nil, 0, 1},
		"the value before":                {[]BaseValue{{ConfigKey, digest[:]}}, 1, 0},
		"an unknown value":                {[]BaseValue{{ConfigKey, make([]byte, 32)}}, 0, 1},
		"another key's value":             {[]BaseValue{{PlacementKey, digest[:]}}, 0, 1},
		"a truncated digest":              {[]BaseValue{{ConfigKey, digest[:7]}}, 0, 1},
		"the value before, or compressed": {[]BaseValue{{ConfigKey, digest[:]}, {ConfigKey, empty[:]}}, 1, 0},
	} {
		response := source.respond(&log, &ChangesRequest{BaseValues: test.base}, true)
		if len(response.Patches) != test.patches || len(response.LargeValues) != test.refs || len(response.Entries) != 0 {
			t.Errorf("%s: %d deltas, %d references, %d full values", name, len(response.Patches), len(response.LargeValues), len(response.Entries))
		}
		if size := len(rpc.Encode(response)); size > 400 {
			t.Errorf("%s: a response of %d bytes", name, size)
		}
	}
	log.commitConfig(largeRoutes, 2) // nothing in common
	source.commitIndex = 4
	request := &ChangesRequest{ReceivedIndex: 3, BaseValues: []BaseValue{{ConfigKey, digest[:]}}}
	if response := source.respond(&log, request, true); len(response.LargeValues) != 1 || len(response.Patches) != 0 {
		t.Errorf("a delta that is not worth sending: %d deltas, %d references", len(response.Patches), len(response.LargeValues))
	}
}

func TestValueCacheIsBounded(t *testing.T) {
	var v ValueCache
	value := func(n, size int) []byte { return slices.Concat([]byte{byte(n)}, make([]byte, size-1)) }
	for i := range 300 {
		v.Update([]chain.Entry{{Index: int64(i + 1), Key: ConfigKey, Value: value(i, 5000)}})
		v.Update([]chain.Entry{{Index: int64(i + 1), Key: ConfigKey, Value: value(i, 5000)}}) // again
	}
	if len(v.values) != maxValuesPerKey {
		t.Errorf("%d values cached, want %d", len(v.values), maxValuesPerKey)
	}
	v.Update([]chain.Entry{{Index: 301, Key: ConfigKey, Value: value(1, maxCachedBytes+1)}})
	v.Update([]chain.Entry{{Index: 302, Key: ConfigKey, Value: value(2, maxCachedBytes+1)}})
	if len(v.values) != 1 || v.values[0].Index != 302 {
		t.Errorf("%d values cached, although all but the newest exceed the byte limit", len(v.values))
	}
	if len(v.deltas) != 0 {
		t.Errorf("%d deltas of evicted values", len(v.deltas))
	}
}
