package orders

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

// entryLog is a chain's entries, as far as the tests need one.
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

// compact keeps the last entry of each key, as the chain does with what is committed.
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

// body is a configuration's, as far as this package is concerned: any bytes.
func body(version int64, author string) []byte { return fmt.Appendf(nil, "%d by %s", version, author) }

func put(version, on int64, author string) PutConfig {
	b := body(version, author)
	return PutConfig{IfMatch: on, Version: version, Digest: Digest(b), Body: b}
}

func (l *entryLog) mustPut(t testing.TB, o PutConfig) {
	t.Helper()
	d := l.decide(t, o)
	if d.Kind != Accept {
		t.Fatalf("version %d on %d: %v (%s)", o.Version, o.IfMatch, d.Kind, d.Reason)
	}
	l.append(d.Append...)
	l.compact()
}

// bad is an order whose body cannot be read.
func unreadablePut(author string) PutConfig {
	b := body(0, author)
	return PutConfig{Digest: Digest(b), Body: b, Invalid: "no JSON"}
}

// noLongerRead is an order as it is where the checks have become stricter since it was taken.
func nowUnreadable(o PutConfig) PutConfig {
	o.Version, o.Invalid = 0, "checks are stricter"
	return o
}

// legacy is an entry of the format before records.
func legacyConfigWrite(version int64, applied ...PutConfig) Write {
	e := feed.ConfigEntry{Version: version, Body: applied[len(applied)-1].Body}
	for _, o := range applied {
		e.RecentDigests = append(e.RecentDigests, o.Digest)
	}
	return Write{Key: feed.ConfigKey, Value: rpc.Encode(&e)}
}

// many are configurations from to to, each built on the one before.
func consecutivePuts(from, to int64, author string) (all []PutConfig) {
	for v := from; v <= to; v++ {
		all = append(all, put(v, v-1, author))
	}
	return all
}

func TestDecidePutConfig(t *testing.T) {
	empty := func(*testing.T, *entryLog) {}
	three := func(t *testing.T, l *entryLog) { // 3, 5 and 9 were taken
		l.mustPut(t, put(3, 0, "a"))
		l.mustPut(t, put(5, 3, "a"))
		l.mustPut(t, put(9, 5, "a"))
	}
	pending := func(t *testing.T, l *entryLog) { // of 12 the record alone is there
		three(t, l)
		l.append(l.decide(t, put(12, 9, "b")).Append[0])
	}
	overtaken := func(t *testing.T, l *entryLog) { // of 12 nothing but the record was ever there, then 11 was taken
		pending(t, l)
		l.mustPut(t, put(11, 9, "c"))
		l.mustPut(t, put(20, 11, "c"))
	}
	old := func(_ *testing.T, l *entryLog) { l.append(legacyConfigWrite(4, consecutivePuts(1, 4, "a")...)) }
	oldMany := func(_ *testing.T, l *entryLog) { l.append(legacyConfigWrite(100, consecutivePuts(37, 100, "a")...)) }
	oldThenNew := func(t *testing.T, l *entryLog) {
		oldMany(t, l)
		l.mustPut(t, put(101, 100, "a"))
		l.mustPut(t, put(102, 101, "a"))
	}
	oldPending := func(t *testing.T, l *entryLog) {
		old(t, l)
		l.append(l.decide(t, put(9, 4, "b")).Append[:2]...)
	}
	back := func(t *testing.T, l *entryLog) { // the earlier program ran again for a while
		three(t, l)
		l.append(legacyConfigWrite(15, put(9, 5, "a"), put(15, 9, "a")))
	}
	long := func(t *testing.T, l *entryLog) {
		for _, o := range consecutivePuts(1, 1200, "a") {
			l.mustPut(t, o)
		}
	}
	for _, one := range []struct {
		name  string
		state func(*testing.T, *entryLog)
		order PutConfig
		want  Kind
	}{
		{"the first", empty, put(3, 0, "a"), Accept},
		{"the first, on a version that is not there", empty, put(3, 2, "a"), Unavailable},
		{"cannot be read, nothing in place", empty, unreadablePut("a"), Invalid},
		{"the next", three, put(10, 9, "a"), Accept},
		{"the newest again", three, put(9, 5, "a"), AlreadyApplied},
		{"an older one again", three, put(5, 3, "a"), AlreadyApplied},
		{"the first again", three, put(3, 0, "a"), AlreadyApplied},
		{"same number, other body, on the same version", three, put(9, 5, "b"), VersionMismatch},
		{"same number, other body, on the newest", three, put(9, 9, "b"), Invalid},
		{"the newest, on itself", three, put(9, 9, "a"), Unavailable},
		{"the newest, on an older version", three, put(9, 3, "a"), Unavailable},
		{"an older one, on the newest", three, put(5, 9, "a"), Unavailable},
		{"a number that was passed over", three, put(4, 3, "b"), VersionMismatch},
		{"a number below the first", three, put(2, 0, "b"), VersionMismatch},
		{"a number below the newest, on it", three, put(4, 9, "b"), Invalid},
		{"a higher number on an older version", three, put(12, 5, "b"), VersionMismatch},
		{"a higher number on one to come", three, put(12, 11, "b"), Unavailable},
		{"a higher number on one to come that is not below it", three, put(12, 12, "b"), VersionMismatch},
		{"cannot be read", three, unreadablePut("x"), Invalid},
		{"cannot be read any more, but was taken", three, nowUnreadable(put(5, 3, "a")), AlreadyApplied},
		{"only its record is there: it again", pending, put(12, 9, "b"), Accept},
		{"only the record of another is there", pending, put(11, 9, "c"), Accept},
		{"only the record of another with its number is there", pending, put(12, 9, "c"), Accept},
		{"only its record was there, others were taken", overtaken, put(12, 9, "b"), VersionMismatch},
		{"taken after a record that came to nothing", overtaken, put(11, 9, "c"), AlreadyApplied},
		{"taken before a record that came to nothing", overtaken, put(9, 5, "a"), AlreadyApplied},
		{"format before: the newest again", old, put(4, 3, "a"), AlreadyApplied},
		{"format before: the first again", old, put(1, 0, "a"), AlreadyApplied},
		{"format before: the next", old, put(5, 4, "a"), Accept},
		{"format before: another with the newest number", old, put(4, 3, "b"), VersionMismatch},
		{"format before: another with an older number, all are known", old, put(2, 1, "b"), VersionMismatch},
		{"format before: another with an older number, on the newest", old, put(2, 4, "b"), Invalid},
		{"format before, full: one that it has", oldMany, put(37, 36, "a"), AlreadyApplied},
		{"format before, full: one that it has not", oldMany, put(36, 35, "a"), Unavailable},
		{"format before, full: another with the newest number", oldMany, put(100, 99, "b"), VersionMismatch},
		{"format before, full: an older number on the newest", oldMany, put(36, 100, "b"), Unavailable},
		{"format before: the newest, on itself", old, put(4, 4, "a"), Unavailable},
		{"after the format before: the newest", oldThenNew, put(102, 101, "a"), AlreadyApplied},
		{"after the format before: its last", oldThenNew, put(100, 99, "a"), AlreadyApplied},
		{"after the format before: its oldest", oldThenNew, put(37, 36, "a"), AlreadyApplied},
		{"after the format before: older than that", oldThenNew, put(36, 35, "a"), Unavailable},
		{"after the format before: another with the first number since", oldThenNew, put(101, 100, "b"), VersionMismatch},
		{"after the format before: another with its last number", oldThenNew, put(100, 99, "b"), VersionMismatch},
		{"format before and a record alone: the one", oldPending, put(9, 4, "b"), Accept},
		{"format before and a record alone: an older one", oldPending, put(2, 1, "a"), AlreadyApplied},
		{"format before and a record alone: another", oldPending, put(2, 1, "b"), VersionMismatch},
		{"earlier program again: its newest", back, put(15, 9, "a"), AlreadyApplied},
		{"earlier program again: one that it has", back, put(9, 5, "a"), AlreadyApplied},
		{"earlier program again: one that it has not", back, put(5, 3, "a"), Unavailable},
		{"earlier program again: the next", back, put(16, 15, "a"), Accept},
		{"1200 taken: 65 before the newest", long, put(1135, 1134, "a"), AlreadyApplied},
		{"1200 taken: 1000 before the newest", long, put(200, 199, "a"), AlreadyApplied},
		{"1200 taken: another 1000 before the newest", long, put(200, 199, "b"), VersionMismatch},
		{"1200 taken: the first", long, put(1, 0, "a"), Unavailable},
		{"1200 taken: another first", long, put(1, 0, "b"), Unavailable},
		{"1200 taken: an old number on the newest", long, put(1, 1200, "b"), Unavailable},
	} {
		t.Run(one.name, func(t *testing.T) {
			l := &entryLog{}
			one.state(t, l)
			d := l.decide(t, one.order)
			if d.Kind != one.want {
				t.Fatalf("%v (%s), wanted %v", d.Kind, d.Reason, one.want)
			}
			if last := len(l.entries); last > 0 && d.DependsOn != l.entries[last-1].Index {
				t.Errorf("it rests on %d, the last entry is %d", d.DependsOn, l.entries[last-1].Index)
			}
			if d.Reason == "" {
				t.Error("it gives no reason")
			}
			if (d.Kind == Accept) != (len(d.Append) > 0) {
				t.Errorf("%v with %d writes", d.Kind, len(d.Append))
			}
			if d.Kind == Accept {
				l.append(d.Append...)
				if again := l.decide(t, one.order); again.Kind != AlreadyApplied {
					t.Errorf("the same again, while it is being committed: %v", again.Kind)
				}
				if got := l.decide(t, ReadConfig{}); got.Kind != Found || !bytes.Equal(got.Body, one.order.Body) {
					t.Errorf("read back: %v %s", got.Kind, got.Body)
				}
			}
		})
	}
}

func TestConfigEntryFormatIsUnchanged(t *testing.T) {
	l := &entryLog{}
	l.mustPut(t, put(3, 0, "a"))
	var e feed.ConfigEntry // its form on disk and on the feed has not changed
	err := rpc.Decode(l.entries[len(l.entries)-1].Value, &e)
	if err != nil || e.Version != 3 || string(e.Body) != "3 by a" || len(e.RecentDigests) != 1 {
		t.Fatal(e, err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	l := &entryLog{}
	most, write := 0, 0
	for _, o := range consecutivePuts(1, 2200, "a") {
		d := l.decide(t, o)
		for _, w := range d.Append[:len(d.Append)-1] {
			write = max(write, len(w.Value))
		}
		l.append(d.Append...)
		l.compact()
		most = max(most, len(l.entries))
		if o.Version%7 > 0 && o.Version%recordsPerPage > 1 { // the ends of pages, and some between
			continue
		}
		s := l.stateOf(t)
		s.history.linkDownTo(0)
		if kept := int64(len(s.history.applied)); kept != o.Version && kept <= (pageCount-1)*recordsPerPage {
			t.Fatalf("after version %d only %d records are kept", o.Version, kept)
		}
		if s.history.compactedVersion != o.Version-int64(len(s.history.applied)) {
			t.Fatalf("after version %d: %d records, horizon %d", o.Version, len(s.history.applied), s.history.compactedVersion)
		}
	}
	if most > pageCount+1 {
		t.Errorf("%d entries", most)
	}
	if write > 1024 {
		t.Errorf("a put writes %d bytes beside the configuration", write)
	}
	t.Logf("%d entries at most, a record's page has %d bytes at most", most, write)
}

func TestUndecodableEntryIsAnError(t *testing.T) {
	for _, key := range []string{feed.ConfigKey, feed.PlacementKey, RetireKey("a", "b"), legacyKey, pageKey(1)} {
		l := &entryLog{}
		l.append(Write{Key: key, Value: []byte{255, 255, 255}})
		if d, err := Decide(l.entries, 1, put(1, 0, "a")); err == nil || d.Kind != 0 {
			t.Errorf("%s: %v %v", key, d.Kind, err)
		}
	}
}

// stores reads a list such as "a b c'": ' behind a name is the machine under another identity.
func parseStores(list string) (all []turnstore.Store) {
	for _, one := range strings.Fields(list) {
		all = append(all, turnstore.Store{ID: "id-" + one, Name: strings.TrimRight(one, "'")})
	}
	return all
}

func placementWrite(old, next string) Write {
	p := turnstore.Placement{Generation: 1, ReplicationFactor: 3, FaultTolerance: 1, Old: parseStores(old), New: parseStores(next)}
	return Write{Key: feed.PlacementKey, Value: rpc.Encode(&p)}
}

// retired is the entry of an order; by the name alone it is of the format before.
func retirementWrite(one string, byNameAlone bool) Write {
	s := parseStores(one)[0]
	key := RetireKey(s.Name, s.ID)
	if byNameAlone {
		key = feed.RetirePrefix + s.Name
	}
	return Write{Key: key, Value: rpc.Encode(&feed.RetireEntry{ID: s.ID})}
}

func TestDecideStoreOrders(t *testing.T) {
	type writes []Write
	for _, one := range []struct {
		name   string
		state  writes
		store  string
		retire Kind
		phase  Kind
	}{
		{"no store is placed", nil, "a", NotFound, NotFound},
		{"unknown", writes{placementWrite("a b c d", "")}, "x", NotFound, NotFound},
		{"enough are left", writes{placementWrite("a b c d", "")}, "a", Accept, Serving},
		{"too few are left", writes{placementWrite("a b c", "")}, "a", Conflict, Serving},
		{"ordered", writes{placementWrite("a b c d", ""), retirementWrite("a", false)}, "a", InProgress, Serving},
		{"ordered, format before", writes{placementWrite("a b c d", ""), retirementWrite("a", true)}, "a", InProgress, Serving},
		{"another at the edge", writes{placementWrite("a b c d", ""), retirementWrite("a", false)}, "b", Conflict, Serving},
		{"another, above the edge", writes{placementWrite("a b c d e", ""), retirementWrite("a", false)}, "b", Accept, Serving},
		{"being emptied", writes{retirementWrite("a", false), placementWrite("a b c d", "b c d")}, "a", InProgress, Serving},
		{"emptied", writes{retirementWrite("a", false), placementWrite("b c d", "")}, "a", Retired, Complete},
		{"emptied, format before", writes{retirementWrite("a", true), placementWrite("b c d", "")}, "a", Retired, Complete},
		{"emptied, another comes", writes{retirementWrite("a", false), placementWrite("b c d", "b c d e")}, "a", Retired, Complete},
		{"emptied, a new machine under the name", writes{retirementWrite("a", false), placementWrite("a' b c d", "")}, "a", Accept, Serving},
		{"emptied, a new machine under the name, format before", writes{retirementWrite("a", true), placementWrite("a' b c d", "")}, "a", Accept, Serving},
		{"emptied, a new machine under the name comes", writes{retirementWrite("a", false), placementWrite("b c d", "b c d a'")}, "a", Accept, Serving},
		{"emptied, a new machine under the name, at the edge", writes{retirementWrite("a", false), placementWrite("a' b c", "")}, "a", Conflict, Serving},
		{"both were emptied", writes{retirementWrite("a", false), retirementWrite("a'", false), placementWrite("b c d", "")}, "a", Retired, Complete},
		{"ordered, its disk was lost, the machine is back", writes{retirementWrite("a", false), placementWrite("a b c d", "a' b c d")}, "a", Accept, Serving},
		{"its disk was lost while it was emptied, which was noted", writes{retirementWrite("a", false), retirementWrite("a'", false), placementWrite("a b c d", "b c d")}, "a", InProgress, Serving},
		{"its disk was lost, the machine is back", writes{placementWrite("a b c d", "a' b c d")}, "a", Accept, Serving},
		{"leaves already, without an order", writes{placementWrite("a b c d", "b c d")}, "a", Accept, Serving},
	} {
		t.Run(one.name, func(t *testing.T) {
			l := &entryLog{}
			l.append(one.state...)
			d := l.decide(t, RetireStore{Name: one.store})
			if d.Kind != one.retire {
				t.Errorf("retire: %v (%s), wanted %v", d.Kind, d.Reason, one.retire)
			}
			p := l.decide(t, StorePhase{Name: one.store})
			if p.Kind != one.phase {
				t.Errorf("phase: %v, wanted %v", p.Kind, one.phase)
			}
			if last := int64(len(l.entries)); d.DependsOn != last || p.DependsOn != last {
				t.Errorf("they rest on %d and %d, the last entry is %d", d.DependsOn, p.DependsOn, last)
			}
			if d.Kind == Accept {
				before := len(l.stateOf(t).Retirements)
				l.append(d.Append...)
				l.compact()
				if again := l.decide(t, RetireStore{Name: one.store}); again.Kind != InProgress {
					t.Errorf("the same again: %v", again.Kind)
				}
				if after := len(l.stateOf(t).Retirements); after != before+1 {
					t.Errorf("%d stores were ordered, %d are now: what was ordered is forgotten", before, after)
				}
			}
		})
	}
}

func (l *entryLog) stateOf(t testing.TB) *State {
	t.Helper()
	s, err := ReadState(l.entries, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestReadConfigWithoutConfiguration(t *testing.T) {
	if d := (&entryLog{}).decide(t, ReadConfig{}); d.Kind != NotFound || d.DependsOn != 0 || d.Reason == "" {
		t.Fatalf("%+v", d)
	}
}

func TestKindString(t *testing.T) {
	for k := Accept; k <= Found; k++ {
		if k.String() == "" || strings.HasPrefix(k.String(), "Kind(") {
			t.Errorf("%d has no name", int(k))
		}
		if k.IsRejection() && k.IsAcknowledgement() {
			t.Errorf("%v refuses and acknowledges", k)
		}
	}
	if got := Kind(99).String(); got != "Kind(99)" {
		t.Error(got)
	}
}

func BenchmarkDecideWithAFullHistory(b *testing.B) {
	l := &entryLog{}
	for _, o := range consecutivePuts(1, 1100, "a") {
		l.mustPut(b, o)
	}
	for name, order := range map[string]PutConfig{
		"the next":         put(1101, 1100, "a"),
		"the newest again": put(1100, 1099, "a"),
		"one of 500 ago":   put(600, 599, "a"),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := Decide(l.entries, 1, order); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
