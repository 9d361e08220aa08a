package feed

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/turnstore"
)

// configBody returns a valid configuration. Versions with the same routes and seed differ in few bytes.
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
	fewRoutes   = 3      // sent in full
	someRoutes  = 60     // 11 KB: sent in full or as a delta
	largeRoutes = 800    // 145 KB: sent by reference or as a delta
	hugeRoutes  = 27_500 // 5 MB
)

// commitLog has all committed entries, against which a follower's tables are checked.
type commitLog struct {
	entries []chain.Entry
	version int64
}

func (l *commitLog) put(key string, value []byte) chain.Entry {
	e := chain.Entry{Index: int64(len(l.entries)) + 1, Key: key, Value: value}
	l.entries = append(l.entries, e)
	return e
}

// commitConfig commits the next version. Some version numbers are skipped.
func (l *commitLog) commitConfig(routes, seed int) chain.Entry {
	l.version += 1 + l.version%3
	return l.put(ConfigKey, configValue(l.version, routes, seed))
}

// commitPlacement commits a placement whose generation is the entry's index.
func (l *commitLog) commitPlacement() chain.Entry {
	return l.put(PlacementKey, rpc.Encode(&turnstore.Placement{Generation: int64(len(l.entries)) + 1}))
}

// latest returns the newest entry of each key up to an index, in index order.
func (l *commitLog) latest(index int64) (entries []chain.Entry) {
	last := map[string]int64{}
	for _, e := range l.entries[:index] {
		last[e.Key] = e.Index
	}
	for _, e := range l.entries[:index] {
		if last[e.Key] == e.Index {
			entries = append(entries, e)
		}
	}
	return entries
}

// check checks new tables against the previous ones: nothing decreases, everything was committed, nothing is missing.
func (l *commitLog) check(before, after *Tables) error {
	switch {
	case after.Index < before.Index:
		return fmt.Errorf("index decreases from %d to %d", before.Index, after.Index)
	case before.Config != nil && (after.Config == nil || after.Config.Version < before.Config.Version):
		return fmt.Errorf("configuration version decreases from %d", before.Config.Version)
	case before.Placement != nil && (after.Placement == nil || after.Placement.Generation < before.Placement.Generation):
		return fmt.Errorf("placement generation decreases from %d", before.Placement.Generation)
	case after.ConfirmedAt.Before(before.ConfirmedAt):
		return fmt.Errorf("ConfirmedAt decreases")
	}
	for _, e := range l.latest(min(after.Index, int64(len(l.entries)))) {
		if e.Key == PlacementKey && (after.Placement == nil || after.Placement.Generation < e.Index) {
			return fmt.Errorf("at index %d the placement of index %d is missing", after.Index, e.Index)
		}
		if config, _ := decodeConfig(e); e.Key == ConfigKey && (after.Config == nil || after.Config.Version < config.Version) {
			return fmt.Errorf("at index %d version %d is missing", after.Index, config.Version)
		}
	}
	if after.Config != nil && after.Config != before.Config {
		return l.checkConfig(after)
	}
	return nil
}

func decodeConfig(e chain.Entry) (v ConfigEntry, err error) { return v, rpc.Decode(e.Value, &v) }

// checkConfig checks that the tables have exactly the routes of the committed version.
func (l *commitLog) checkConfig(tables *Tables) error {
	for _, e := range l.entries {
		config, err := decodeConfig(e)
		if e.Key != ConfigKey || err != nil || config.Version != tables.Config.Version {
			continue
		}
		rest := config.Body
		for _, route := range tables.Config.Routes {
			line := fmt.Appendf(nil, `{"name":"%s","host_name":"%s","path_prefix":"%s"`, route.Name, route.Host, route.Prefix)
			position := bytes.Index(rest, line)
			if position < 0 {
				return fmt.Errorf("version %d has a route %s %s that was not committed", config.Version, route.Host, route.Prefix)
			}
			rest = rest[position+len(line):]
		}
		if n := bytes.Count(config.Body, []byte(`"path_prefix"`)); n != len(tables.Config.Routes) {
			return fmt.Errorf("version %d has %d routes, %d were committed", config.Version, len(tables.Config.Routes), n)
		}
		return nil
	}
	return fmt.Errorf("version %d was never committed", tables.Config.Version)
}

// fakeSource is the feed server of a core node: its commit index and its cached values.
type fakeSource struct {
	commitIndex int64
	values      ValueCache
	compresses  bool // false for a core node of a release that does not know the empty base value
}

// isEmpty reports whether a base value is the empty one.
func (b BaseValue) isEmpty() bool {
	empty := bodydelta.EmptyDigest()
	return bytes.Equal(b.Digest, empty[:])
}

// respond responds to a poll as the feed server does.
func (s *fakeSource) respond(log *commitLog, request *ChangesRequest, confirmed bool) *ChangesResponse {
	response := &ChangesResponse{Confirmed: confirmed, Index: s.commitIndex}
	committed := log.latest(s.commitIndex)
	s.values.Update(committed)
	bases := request.BaseValues
	if !s.compresses {
		bases = slices.DeleteFunc(slices.Clone(bases), BaseValue.isEmpty)
	}
	for _, e := range chain.EntriesAfter(committed, request.ReceivedIndex) {
		s.values.Add(response, e, bases)
	}
	return wireCopy(response)
}

// wireCopy encodes and decodes a message, so that the copy shares no memory with it.
func wireCopy[T any](v *T) *T {
	out := new(T)
	if err := rpc.Decode(rpc.Encode(v), out); err != nil {
		panic(err)
	}
	return out
}
