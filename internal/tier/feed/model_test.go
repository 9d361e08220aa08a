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
type history struct {
	all     []chain.Entry
	version int64
}

func (h *history) put(key string, value []byte) chain.Entry {
	e := chain.Entry{Index: int64(len(h.all)) + 1, Key: key, Value: value}
	h.all = append(h.all, e)
	return e
}

// config commits the next version; versions skip a number now and then.
func (h *history) config(routes, seed int) chain.Entry {
	h.version += 1 + h.version%3
	return h.put(ConfigKey, configValue(h.version, routes, seed))
}

func (h *history) placement() chain.Entry {
	return h.put(PlacementKey, rpc.Encode(&turnstore.Placement{Generation: int64(len(h.all)) + 1}))
}

// committed is the newest entry of each key up to an index, in order.
func (h *history) committed(index int64) (entries []chain.Entry) {
	last := map[string]int64{}
	for _, e := range h.all[:index] {
		last[e.Key] = e.Index
	}
	for _, e := range h.all[:index] {
		if last[e.Key] == e.Index {
			entries = append(entries, e)
		}
	}
	return entries
}

// judge tells what is wrong with new tables: nothing goes back, nothing was never committed, nothing is missing.
func (h *history) judge(old, next *Tables) error {
	switch {
	case next.Index < old.Index:
		return fmt.Errorf("index goes back from %d to %d", old.Index, next.Index)
	case old.Config != nil && (next.Config == nil || next.Config.Version < old.Config.Version):
		return fmt.Errorf("configuration goes back from %d", old.Config.Version)
	case old.Placement != nil && (next.Placement == nil || next.Placement.Generation < old.Placement.Generation):
		return fmt.Errorf("placement goes back from %d", old.Placement.Generation)
	case next.ConfirmedAt.Before(old.ConfirmedAt):
		return fmt.Errorf("heard goes back")
	}
	for _, e := range h.committed(min(next.Index, int64(len(h.all)))) {
		if e.Key == PlacementKey && (next.Placement == nil || next.Placement.Generation < e.Index) {
			return fmt.Errorf("at index %d the placement of index %d is missing", next.Index, e.Index)
		}
		if v, _ := readConfig(e); e.Key == ConfigKey && (next.Config == nil || next.Config.Version < v.Version) {
			return fmt.Errorf("at index %d version %d is missing", next.Index, v.Version)
		}
	}
	if next.Config != nil && next.Config != old.Config {
		return h.judgeConfig(next)
	}
	return nil
}

func readConfig(e chain.Entry) (v ConfigEntry, err error) { return v, rpc.Decode(e.Value, &v) }

// judgeConfig compares the routes in force with those of the committed version.
func (h *history) judgeConfig(next *Tables) error {
	for _, e := range h.all {
		v, err := readConfig(e)
		if e.Key != ConfigKey || err != nil || v.Version != next.Config.Version {
			continue
		}
		rest := v.Body
		for _, r := range next.Config.Routes {
			line := fmt.Appendf(nil, `{"name":"%s","host_name":"%s","path_prefix":"%s"`, r.Name, r.Host, r.Prefix)
			at := bytes.Index(rest, line)
			if at < 0 {
				return fmt.Errorf("version %d has a route %s %s that was not committed", v.Version, r.Host, r.Prefix)
			}
			rest = rest[at+len(line):]
		}
		if n := bytes.Count(v.Body, []byte(`"path_prefix"`)); n != len(next.Config.Routes) {
			return fmt.Errorf("version %d has %d routes, %d were committed", v.Version, len(next.Config.Routes), n)
		}
		return nil
	}
	return fmt.Errorf("version %d was never committed", next.Config.Version)
}

// source is a core node as followers see it: what it has committed, and what it keeps.
type source struct {
	commit int64
	values ValueCache
}

// answer is what the feed server gives.
func (s *source) answer(h *history, q *ChangesRequest, fresh bool) *ChangesResponse {
	a := &ChangesResponse{Confirmed: fresh, Index: s.commit}
	committed := h.committed(s.commit)
	s.values.Update(committed)
	for _, e := range chain.EntriesAfter(committed, q.ReceivedIndex) {
		s.values.Add(a, e, q.BaseValues)
	}
	return copied(a)
}

// copied goes over the wire: nothing is shared.
func copied[T any](v *T) *T {
	out := new(T)
	if err := rpc.Decode(rpc.Encode(v), out); err != nil {
		panic(err)
	}
	return out
}

func TestAnswersGoWholeAsDeltasOrByName(t *testing.T) {
	var h history
	h.config(largeRoutes, 1)
	old := h.config(largeRoutes, 1)
	s := source{commit: 2}
	s.answer(&h, &ChangesRequest{}, true)
	h.config(largeRoutes, 1)
	s.commit = 3
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
		a := s.answer(&h, &ChangesRequest{BaseValues: one.held}, true)
		if len(a.Patches) != one.patches || len(a.LargeValues) != one.large || len(a.Entries) != 0 {
			t.Errorf("%s: %d deltas, %d by name, %d whole", name, len(a.Patches), len(a.LargeValues), len(a.Entries))
		}
		if size := len(rpc.Encode(a)); size > 400 {
			t.Errorf("%s: an answer of %d bytes", name, size)
		}
	}
	h.config(largeRoutes, 2) // nothing in common
	s.commit = 4
	if a := s.answer(&h, &ChangesRequest{ReceivedIndex: 3, BaseValues: []BaseValue{{ConfigKey, digest[:]}}}, true); len(a.LargeValues) != 1 || len(a.Patches) != 0 {
		t.Errorf("a delta that is no shorter: %d deltas, %d by name", len(a.Patches), len(a.LargeValues))
	}
}

func TestValuesKeepABoundedNumberAndBytes(t *testing.T) {
	var v ValueCache
	value := func(n, size int) []byte { return slices.Concat([]byte{byte(n)}, make([]byte, size-1)) }
	for i := range 300 {
		v.Update([]chain.Entry{{Index: int64(i + 1), Key: ConfigKey, Value: value(i, 5000)}})
		v.Update([]chain.Entry{{Index: int64(i + 1), Key: ConfigKey, Value: value(i, 5000)}}) // again
	}
	if len(v.kept) != keptValues {
		t.Errorf("%d values are kept, wanted %d", len(v.kept), keptValues)
	}
	v.Update([]chain.Entry{{Index: 301, Key: ConfigKey, Value: value(1, keptBytes+1)}})
	v.Update([]chain.Entry{{Index: 302, Key: ConfigKey, Value: value(2, keptBytes+1)}})
	if len(v.kept) != 1 || v.kept[0].Index != 302 {
		t.Errorf("%d values are kept of which the one before is above the bound", len(v.kept))
	}
	if len(v.deltas) != 0 {
		t.Errorf("%d deltas of values that are gone", len(v.deltas))
	}
}

func TestNoMoreThanSomeTransfersAtOnce(t *testing.T) {
	var tr TransferLimiter
	for i := range transfersMost {
		if !tr.Admit(fmt.Sprint("f", i), 0) {
			t.Fatalf("transfer %d was not admitted", i)
		}
	}
	if tr.Admit("late", transferIdle-1) {
		t.Error("one too many was admitted")
	}
	if !tr.Admit("f3", transferIdle-1) {
		t.Error("one that is under way was sent away")
	}
	if !tr.Admit("late", transferIdle) {
		t.Error("none was admitted after the others had stopped")
	}
	if !tr.Admit("f3", transferIdle) || len(tr.last) != 2 {
		t.Errorf("%d transfers, wanted 2", len(tr.last))
	}
	if tr.Release("f3"); len(tr.last) != 1 {
		t.Errorf("%d transfers after the end of one, wanted 1", len(tr.last))
	}
}
