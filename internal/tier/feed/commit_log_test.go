package feed

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/turnstore"
)

// configBody is a valid configuration; two of one seed that differ in the version differ in few bytes.
func configBody(version int64, routes, seed int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"config_version":%d,"service_table":[{"name":"s"}],"route_table":[`, version)
	b.WriteString(routeTable(routes, seed))
	b.WriteString(`]}`)
	return []byte(b.String())
}

var routeTables sync.Map // by number of routes and seed

func routeTable(routes, seed int) string {
	if text, ok := routeTables.Load([2]int{routes, seed}); ok {
		return text.(string)
	}
	var b strings.Builder
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%d","host_name":"h%x.example","path_prefix":"/p%d/","route_kind":"idempotent","deadline_ms":3000,`+
			`"target_service":"s"}`, i, sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(seed)}), i)
	}
	routeTables.Store([2]int{routes, seed}, b.String())
	return b.String()
}

func configValue(version int64, routes, seed int) []byte {
	return rpc.Encode(&ConfigEntry{Version: version, Body: configBody(version, routes, seed)})
}

const (
	fewRoutes   = 3   // goes whole
	someRoutes  = 60  // 11 KB: whole or as a delta
	largeRoutes = 800 // 145 KB: by name or as a delta
	hugeRoutes  = 27_500
)

// history is what was committed: the judge of all that a follower says.
type commitLog struct {
	entries []chain.Entry
	version int64
}

func (h *commitLog) put(key string, value []byte) chain.Entry {
	e := chain.Entry{Index: int64(len(h.entries)) + 1, Key: key, Value: value}
	h.entries = append(h.entries, e)
	return e
}

// config commits the next version; versions skip a number now and then.
func (h *commitLog) commitConfig(routes, seed int) chain.Entry {
	h.version += 1 + h.version%3
	return h.put(ConfigKey, configValue(h.version, routes, seed))
}

func (h *commitLog) commitPlacement() chain.Entry {
	return h.put(PlacementKey, rpc.Encode(&turnstore.Placement{Generation: int64(len(h.entries)) + 1}))
}

// committed is the newest entry of each key up to an index, in order.
func (h *commitLog) latest(index int64) (entries []chain.Entry) {
	last := map[string]int64{}
	for _, e := range h.entries[:index] {
		last[e.Key] = e.Index
	}
	for _, e := range h.entries[:index] {
		if last[e.Key] == e.Index {
			entries = append(entries, e)
		}
	}
	return entries
}

// judge tells what is wrong with new tables: nothing goes back, nothing was never committed, nothing is missing.
func (h *commitLog) check(before, after *Tables) error {
	switch {
	case after.Index < before.Index:
		return fmt.Errorf("index goes back from %d to %d", before.Index, after.Index)
	case before.Config != nil && (after.Config == nil || after.Config.Version < before.Config.Version):
		return fmt.Errorf("configuration goes back from %d", before.Config.Version)
	case before.Placement != nil && (after.Placement == nil || after.Placement.Generation < before.Placement.Generation):
		return fmt.Errorf("placement goes back from %d", before.Placement.Generation)
	case after.ConfirmedAt.Before(before.ConfirmedAt):
		return fmt.Errorf("heard goes back")
	}
	for _, e := range h.latest(min(after.Index, int64(len(h.entries)))) {
		if e.Key == PlacementKey && (after.Placement == nil || after.Placement.Generation < e.Index) {
			return fmt.Errorf("at index %d the placement of index %d is missing", after.Index, e.Index)
		}
		if v, _ := decodeConfig(e); e.Key == ConfigKey && (after.Config == nil || after.Config.Version < v.Version) {
			return fmt.Errorf("at index %d version %d is missing", after.Index, v.Version)
		}
	}
	if after.Config != nil && after.Config != before.Config {
		return h.checkConfig(after)
	}
	return nil
}

func decodeConfig(e chain.Entry) (v ConfigEntry, err error) { return v, rpc.Decode(e.Value, &v) }

// judgeConfig compares the routes in force with those of the committed version.
func (h *commitLog) checkConfig(tables *Tables) error {
	for _, e := range h.entries {
		v, err := decodeConfig(e)
		if e.Key != ConfigKey || err != nil || v.Version != tables.Config.Version {
			continue
		}
		rest := v.Body
		for _, r := range tables.Config.Routes {
			line := fmt.Appendf(nil, `{"name":"%s","host_name":"%s","path_prefix":"%s"`, r.Name, r.Host, r.Prefix)
			at := bytes.Index(rest, line)
			if at < 0 {
				return fmt.Errorf("version %d has a route %s %s that was not committed", v.Version, r.Host, r.Prefix)
			}
			rest = rest[at+len(line):]
		}
		if n := bytes.Count(v.Body, []byte(`"path_prefix"`)); n != len(tables.Config.Routes) {
			return fmt.Errorf("version %d has %d routes, %d were committed", v.Version, len(tables.Config.Routes), n)
		}
		return nil
	}
	return fmt.Errorf("version %d was never committed", tables.Config.Version)
}

// source is a core node as followers see it: what it has committed, and what it keeps.
type fakeSource struct {
	commitIndex int64
	values      ValueCache
}

// answer is what the feed server gives.
func (s *fakeSource) respond(h *commitLog, request *ChangesRequest, confirmed bool) *ChangesResponse {
	response := &ChangesResponse{Confirmed: confirmed, Index: s.commitIndex}
	committed := h.latest(s.commitIndex)
	s.values.Update(committed)
	for _, e := range chain.EntriesAfter(committed, request.ReceivedIndex) {
		s.values.Add(response, e, request.BaseValues)
	}
	return wireCopy(response)
}

// copied goes over the wire: nothing is shared.
func wireCopy[T any](v *T) *T {
	out := new(T)
	if err := rpc.Decode(rpc.Encode(v), out); err != nil {
		panic(err)
	}
	return out
}

func TestValueCacheAddFullDeltaOrRef(t *testing.T) {
	var h commitLog
	h.commitConfig(largeRoutes, 1)
	old := h.commitConfig(largeRoutes, 1)
	s := fakeSource{commitIndex: 2}
	s.respond(&h, &ChangesRequest{}, true)
	h.commitConfig(largeRoutes, 1)
	s.commitIndex = 3
	digest := bodydelta.DigestOf(old.Value)
	for name, one := range map[string]struct {
		held    []BaseValue
		patches int
		large   int
	}{
		"nothing held":     {nil, 0, 1},
		"the one before":   {[]BaseValue{{ConfigKey, digest[:]}}, 1, 0},
		"another":          {[]BaseValue{{ConfigKey, make([]byte, 32)}}, 0, 1},
		"of another key":   {[]BaseValue{{PlacementKey, digest[:]}}, 0, 1},
		"a digest cut off": {[]BaseValue{{ConfigKey, digest[:7]}}, 0, 1},
	} {
		a := s.respond(&h, &ChangesRequest{BaseValues: one.held}, true)
		if len(a.Patches) != one.patches || len(a.LargeValues) != one.large || len(a.Entries) != 0 {
			t.Errorf("%s: %d deltas, %d by name, %d whole", name, len(a.Patches), len(a.LargeValues), len(a.Entries))
		}
		if size := len(rpc.Encode(a)); size > 400 {
			t.Errorf("%s: an answer of %d bytes", name, size)
		}
	}
	h.commitConfig(largeRoutes, 2) // nothing in common
	s.commitIndex = 4
	if a := s.respond(&h, &ChangesRequest{ReceivedIndex: 3, BaseValues: []BaseValue{{ConfigKey, digest[:]}}}, true); len(a.LargeValues) != 1 || len(a.Patches) != 0 {
		t.Errorf("a delta that is no shorter: %d deltas, %d by name", len(a.Patches), len(a.LargeValues))
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
		t.Errorf("%d values are kept, wanted %d", len(v.values), maxValuesPerKey)
	}
	v.Update([]chain.Entry{{Index: 301, Key: ConfigKey, Value: value(1, maxCachedBytes+1)}})
	v.Update([]chain.Entry{{Index: 302, Key: ConfigKey, Value: value(2, maxCachedBytes+1)}})
	if len(v.values) != 1 || v.values[0].Index != 302 {
		t.Errorf("%d values are kept of which the one before is above the bound", len(v.values))
	}
	if len(v.deltas) != 0 {
		t.Errorf("%d deltas of values that are gone", len(v.deltas))
	}
}

func TestTransferLimiter(t *testing.T) {
	var tr TransferLimiter
	for i := range maxTransfers {
		if !tr.Admit(fmt.Sprint("f", i), 0) {
			t.Fatalf("transfer %d was not admitted", i)
		}
	}
	if tr.Admit("late", transferIdleTimeout-1) {
		t.Error("one too many was admitted")
	}
	if !tr.Admit("f3", transferIdleTimeout-1) {
		t.Error("one that is under way was sent away")
	}
	if !tr.Admit("late", transferIdleTimeout) {
		t.Error("none was admitted after the others had stopped")
	}
	if !tr.Admit("f3", transferIdleTimeout) || len(tr.lastChunkAt) != 2 {
		t.Errorf("%d transfers, wanted 2", len(tr.lastChunkAt))
	}
	if tr.Release("f3"); len(tr.lastChunkAt) != 1 {
		t.Errorf("%d transfers after the end of one, wanted 1", len(tr.lastChunkAt))
	}
}
