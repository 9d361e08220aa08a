package orders

import (
	"fmt"
	"slices"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
)

// entryLog has the entries of a chain.
type entryLog struct{ entries []chain.Entry }

func (l *entryLog) append(writes ...Write) {
	for _, w := range writes {
		index := int64(1)
		if n := len(l.entries); n > 0 {
			index = l.entries[n-1].Index + 1
		}
		l.entries = append(l.entries, chain.Entry{Index: index, Key: w.Key, Value: w.Value})
	}
}

// compact keeps the last entry of each key, as the chain does with committed entries.
func (l *entryLog) compact() {
	last := map[string]int64{}
	for _, e := range l.entries {
		last[e.Key] = e.Index
	}
	l.entries = slices.DeleteFunc(l.entries, func(e chain.Entry) bool { return last[e.Key] != e.Index })
}

func (l *entryLog) decide(t testing.TB, o Order) Decision {
	t.Helper()
	d, err := Decide(l.entries, 1, o)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// body returns the body of a configuration, which this package does not parse.
func body(version int64, author string) []byte { return fmt.Appendf(nil, "%d by %s", version, author) }

// put returns the order to put a version on a base version.
func put(version, base int64, author string) PutConfig {
	b := body(version, author)
	return PutConfig{IfMatch: base, Version: version, Digest: Digest(b), Body: b}
}

// mustPut decides, appends and commits an order that must be accepted.
func (l *entryLog) mustPut(t testing.TB, o PutConfig) {
	t.Helper()
	d := l.decide(t, o)
	if d.Kind != Accept {
		t.Fatalf("version %d on %d: %v (%s), want accept", o.Version, o.IfMatch, d.Kind, d.Reason)
	}
	l.append(d.Append...)
	l.compact()
}

// unreadablePut returns an order whose body fails validation.
func unreadablePut(author string) PutConfig {
	b := body(0, author)
	return PutConfig{Digest: Digest(b), Body: b, Invalid: "no JSON"}
}

// unreadableSinceApplied returns the order as it is decided if validation became stricter after it was applied.
func unreadableSinceApplied(o PutConfig) PutConfig {
	o.Version, o.Invalid = 0, "validation is stricter"
	return o
}

// legacyConfigWrite returns the entry of a configuration in the format without records.
func legacyConfigWrite(version int64, applied ...PutConfig) Write {
	e := feed.ConfigEntry{Version: version, Body: applied[len(applied)-1].Body}
	for _, o := range applied {
		e.RecentDigests = append(e.RecentDigests, o.Digest)
	}
	return Write{Key: feed.ConfigKey, Value: rpc.Encode(&e)}
}

// consecutivePuts returns orders for a range of versions, each on the preceding version.
func consecutivePuts(from, to int64, author string) (all []PutConfig) {
	for v := from; v <= to; v++ {
		all = append(all, put(v, v-1, author))
	}
	return all
}

func (l *entryLog) stateOf(t testing.TB) *State {
	t.Helper()
	s, err := ReadState(l.entries, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
