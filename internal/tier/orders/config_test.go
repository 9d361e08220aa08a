package orders

import (
	"bytes"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

func TestPutConfigDecisions(t *testing.T) {
	empty := func(*testing.T, *entryLog) {}
	threeApplied := func(t *testing.T, l *entryLog) { // versions 3, 5 and 9 were applied
		l.mustPut(t, put(3, 0, "a"))
		l.mustPut(t, put(5, 3, "a"))
		l.mustPut(t, put(9, 5, "a"))
	}
	recordOnly := func(t *testing.T, l *entryLog) { // the put of version 12 wrote only its record
		threeApplied(t, l)
		l.append(l.decide(t, put(12, 9, "b")).Append[0])
	}
	recordSuperseded := func(t *testing.T, l *entryLog) { // as recordOnly, then 11 and 20 were applied
		recordOnly(t, l)
		l.mustPut(t, put(11, 9, "c"))
		l.mustPut(t, put(20, 11, "c"))
	}
	legacy := func(_ *testing.T, l *entryLog) { l.append(legacyConfigWrite(4, consecutivePuts(1, 4, "a")...)) }
	legacyFull := func(_ *testing.T, l *entryLog) { l.append(legacyConfigWrite(100, consecutivePuts(37, 100, "a")...)) }
	afterLegacy := func(t *testing.T, l *entryLog) {
		legacyFull(t, l)
		l.mustPut(t, put(101, 100, "a"))
		l.mustPut(t, put(102, 101, "a"))
	}
	legacyRecordOnly := func(t *testing.T, l *entryLog) {
		legacy(t, l)
		l.append(l.decide(t, put(9, 4, "b")).Append[:2]...)
	}
	legacyAgain := func(t *testing.T, l *entryLog) { // a node with the legacy format put the last configuration
		threeApplied(t, l)
		l.append(legacyConfigWrite(15, put(9, 5, "a"), put(15, 9, "a")))
	}
	full := func(t *testing.T, l *entryLog) {
		for _, o := range consecutivePuts(1, 1200, "a") {
			l.mustPut(t, o)
		}
	}
	for _, test := range []struct {
		name  string
		state func(*testing.T, *entryLog)
		order PutConfig
		want  Kind
	}{
		{"the first", empty, put(3, 0, "a"), Accept},
		{"the first, on a missing base version", empty, put(3, 2, "a"), Unavailable},
		{"unreadable, no current configuration", empty, unreadablePut("a"), Invalid},
		{"the next", threeApplied, put(10, 9, "a"), Accept},
		{"the current one again", threeApplied, put(9, 5, "a"), AlreadyApplied},
		{"an older one again", threeApplied, put(5, 3, "a"), AlreadyApplied},
		{"the first again", threeApplied, put(3, 0, "a"), AlreadyApplied},
		{"same version, other body, same base", threeApplied, put(9, 5, "b"), VersionMismatch},
		{"same version, other body, on the current one", threeApplied, put(9, 9, "b"), Invalid},
		{"the current one, on itself", threeApplied, put(9, 9, "a"), Unavailable},
		{"the current one, on an older version", threeApplied, put(9, 3, "a"), Unavailable},
		{"an older one, on the current one", threeApplied, put(5, 9, "a"), Unavailable},
		{"a skipped version", threeApplied, put(4, 3, "b"), VersionMismatch},
		{"a version below the first", threeApplied, put(2, 0, "b"), VersionMismatch},
		{"a version below the current one, on the current one", threeApplied, put(4, 9, "b"), Invalid},
		{"a higher version on an older one", threeApplied, put(12, 5, "b"), VersionMismatch},
		{"a higher version on a base above the current one", threeApplied, put(12, 11, "b"), Unavailable},
		{"a higher version on itself", threeApplied, put(12, 12, "b"), VersionMismatch},
		{"unreadable", threeApplied, unreadablePut("x"), Invalid},
		{"unreadable now, but applied before", threeApplied, unreadableSinceApplied(put(5, 3, "a")), AlreadyApplied},
		{"record only: the same order", recordOnly, put(12, 9, "b"), Accept},
		{"record only: another version", recordOnly, put(11, 9, "c"), Accept},
		{"record only: another configuration of the version", recordOnly, put(12, 9, "c"), Accept},
		{"record only, others applied since: the same order", recordSuperseded, put(12, 9, "b"), VersionMismatch},
		{"record only, others applied since: one applied after it", recordSuperseded, put(11, 9, "c"), AlreadyApplied},
		{"record only, others applied since: one applied before it", recordSuperseded, put(9, 5, "a"), AlreadyApplied},
		{"legacy: the current one again", legacy, put(4, 3, "a"), AlreadyApplied},
		{"legacy: the first again", legacy, put(1, 0, "a"), AlreadyApplied},
		{"legacy: the next", legacy, put(5, 4, "a"), Accept},
		{"legacy: another configuration of the current version", legacy, put(4, 3, "b"), VersionMismatch},
		{"legacy: another configuration of an older version", legacy, put(2, 1, "b"), VersionMismatch},
		{"legacy: an older version on the current one", legacy, put(2, 4, "b"), Invalid},
		{"legacy, full: a known one", legacyFull, put(37, 36, "a"), AlreadyApplied},
		{"legacy, full: an unknown one", legacyFull, put(36, 35, "a"), Unavailable},
		{"legacy, full: another configuration of the current version", legacyFull, put(100, 99, "b"), VersionMismatch},
		{"legacy, full: an older version on the current one", legacyFull, put(36, 100, "b"), Unavailable},
		{"legacy: the current one, on itself", legacy, put(4, 4, "a"), Unavailable},
		{"after legacy: the current one", afterLegacy, put(102, 101, "a"), AlreadyApplied},
		{"after legacy: the last legacy one", afterLegacy, put(100, 99, "a"), AlreadyApplied},
		{"after legacy: the oldest legacy one", afterLegacy, put(37, 36, "a"), AlreadyApplied},
		{"after legacy: an unknown older one", afterLegacy, put(36, 35, "a"), Unavailable},
		{"after legacy: another configuration of the first version with a record", afterLegacy, put(101, 100, "b"), VersionMismatch},
		{"after legacy: another configuration of the last legacy version", afterLegacy, put(100, 99, "b"), VersionMismatch},
		{"legacy, record only: the same order", legacyRecordOnly, put(9, 4, "b"), Accept},
		{"legacy, record only: an older one", legacyRecordOnly, put(2, 1, "a"), AlreadyApplied},
		{"legacy, record only: another configuration of an older version", legacyRecordOnly, put(2, 1, "b"), VersionMismatch},
		{"legacy program again: its last", legacyAgain, put(15, 9, "a"), AlreadyApplied},
		{"legacy program again: a known one", legacyAgain, put(9, 5, "a"), AlreadyApplied},
		{"legacy program again: an unknown one", legacyAgain, put(5, 3, "a"), Unavailable},
		{"legacy program again: the next", legacyAgain, put(16, 15, "a"), Accept},
		{"1200 applied: 65 before the current one", full, put(1135, 1134, "a"), AlreadyApplied},
		{"1200 applied: 1000 before the current one", full, put(200, 199, "a"), AlreadyApplied},
		{"1200 applied: another configuration, 1000 before the current one", full, put(200, 199, "b"), VersionMismatch},
		{"1200 applied: the first", full, put(1, 0, "a"), Unavailable},
		{"1200 applied: another configuration of the first version", full, put(1, 0, "b"), Unavailable},
		{"1200 applied: an old version on the current one", full, put(1, 1200, "b"), Unavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &entryLog{}
			test.state(t, l)
			d := l.decide(t, test.order)
			if d.Kind != test.want {
				t.Fatalf("%v (%s), want %v", d.Kind, d.Reason, test.want)
			}
			if last := len(l.entries); last > 0 && d.DependsOn != l.entries[last-1].Index {
				t.Errorf("the decision depends on entry %d, the last entry is %d", d.DependsOn, l.entries[last-1].Index)
			}
			if d.Reason == "" {
				t.Error("the decision has no reason")
			}
			if (d.Kind == Accept) != (len(d.Append) > 0) {
				t.Errorf("a decision %v appends %d entries", d.Kind, len(d.Append))
			}
			if d.Kind == Accept {
				l.append(d.Append...)
				if again := l.decide(t, test.order); again.Kind != AlreadyApplied {
					t.Errorf("the same order before its commit: %v", again.Kind)
				}
				if got := l.decide(t, ReadConfig{}); got.Kind != Found || !bytes.Equal(got.Body, test.order.Body) {
					t.Errorf("read back: %v %s", got.Kind, got.Body)
				}
			}
		})
	}
}

func TestConfigEntryFormatIsUnchanged(t *testing.T) {
	l := &entryLog{}
	l.mustPut(t, put(3, 0, "a"))
	var e feed.ConfigEntry // the format in which it is stored and sent
	err := rpc.Decode(l.entries[len(l.entries)-1].Value, &e)
	if err != nil || e.Version != 3 || string(e.Body) != "3 by a" || len(e.RecentDigests) != 1 {
		t.Fatal(e, err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	l := &entryLog{}
	maxEntries, maxBytes := 0, 0
	for _, o := range consecutivePuts(1, 2200, "a") {
		d := l.decide(t, o)
		for _, w := range d.Append[:len(d.Append)-1] {
			maxBytes = max(maxBytes, len(w.Value))
		}
		l.append(d.Append...)
		l.compact()
		maxEntries = max(maxEntries, len(l.entries))
		if o.Version%7 > 0 && o.Version%recordsPerPage > 1 { // check only at the ends of pages and at some versions in between
			continue
		}
		s := l.stateOf(t)
		s.history.linkDownTo(0)
		if kept := int64(len(s.history.applied)); kept != o.Version && kept <= (pageCount-1)*recordsPerPage {
			t.Fatalf("after version %d only %d records are left", o.Version, kept)
		}
		if s.history.compactedVersion != o.Version-int64(len(s.history.applied)) {
			t.Fatalf("after version %d: %d records, compacted version %d", o.Version, len(s.history.applied), s.history.compactedVersion)
		}
	}
	if maxEntries > pageCount+1 {
		t.Errorf("the control state has %d entries, more than one for each page and the configuration", maxEntries)
	}
	if maxBytes > 1024 {
		t.Errorf("a put writes an entry of %d bytes in addition to the configuration", maxBytes)
	}
	t.Logf("at most %d entries and %d bytes in an entry", maxEntries, maxBytes)
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

func TestReadConfigReportsNotFoundWithoutConfiguration(t *testing.T) {
	if d := (&entryLog{}).decide(t, ReadConfig{}); d.Kind != NotFound || d.DependsOn != 0 || d.Reason == "" {
		t.Fatalf("got %+v, want NotFound with a reason and DependsOn 0", d)
	}
}

func BenchmarkDecideWithFullHistory(b *testing.B) {
	l := &entryLog{}
	for _, o := range consecutivePuts(1, 1100, "a") {
		l.mustPut(b, o)
	}
	for name, order := range map[string]PutConfig{
		"the next":              put(1101, 1100, "a"),
		"the current one again": put(1100, 1099, "a"),
		"one of 500 ago":        put(600, 599, "a"),
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
