package versionaudit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// states returns the version and state of each relay.
func states(a *Auditor, now time.Duration, k Kind) (text string) {
	rows := map[int]Row{}
	for _, r := range a.Rows(now) {
		if r.Kind == k {
			rows[r.Relay] = r
		}
	}
	for i := range len(rows) {
		text += fmt.Sprintf("%d:%s ", rows[i].Version, rows[i].State)
	}
	return text
}

// A new file at one relay puts the others behind until they have it; a rollback is a new version too; a relay
// without a report is unknown.
func TestBehindUntilUpdated(t *testing.T) {
	const s = time.Second
	a := New(4)
	record := func(now time.Duration, versions ...Version) {
		for i, v := range versions {
			a.Record(now, i, Partners, v)
		}
	}
	check := func(now time.Duration, want string) {
		t.Helper()
		if got := states(a, now, Partners); got != want {
			t.Errorf("at %v: %q, want %q", now, got, want)
		}
	}
	record(0, 1, 1, 1)
	check(1*s, "1:current 1:current 1:current 0:unknown ")
	record(10*s, 1, 2, 1)
	check(11*s, "1:behind 2:current 1:behind 0:unknown ")
	r := a.Rows(40 * s)[0]
	if r.BehindFor != 30*s || r.Kind != Partners || r.OnNewest != 1 || r.ActiveFor != 40*s || r.SinceReport != 30*s {
		t.Errorf("%+v", r)
	}
	record(50*s, 2, 2, 1, 2)
	check(51*s, "2:current 2:current 1:behind 2:current ")
	record(60*s, 2, 2, 2, 2)
	record(70*s, 1, 2, 2, 2) // rollback to the first version, which no relay had any more
	check(71*s, "1:current 2:behind 2:behind 2:behind ")
	a = New(4) // after a start, the version that most relays have counts as the newest
	record(0, 5)
	record(1*s, 5, 6, 6, 6)
	check(2*s, "5:behind 6:current 6:current 6:current ")
	a.Record(3*s, 9, Partners, 7)
	a.Record(3*s, 1, Kind(77), 7)
	a.Record(3*s, 1, Partners, 0)
	check(3*s, "5:behind 6:current 6:current 6:current ")
}

// Whatever is reported: each relay has one row of each kind, at least one relay with a report is current, and
// none is behind if all have the same version.
func TestRowsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "relays")
		a, now, last := New(n), time.Duration(0), map[int]Version{}
		for range rapid.IntRange(0, 40).Draw(t, "reports") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "after"))
			i, v := rapid.IntRange(0, n-1).Draw(t, "relay"), Version(rapid.IntRange(1, 4).Draw(t, "version"))
			a.Record(now, i, Rules, v)
			last[i] = v
		}
		rows, current, versions := 0, 0, map[Version]bool{}
		for _, r := range a.Rows(now) {
			if r.Kind != Rules {
				continue
			}
			rows++
			if r.Version != last[r.Relay] || (r.State == Unknown) != (last[r.Relay] == 0) || r.BehindFor < 0 || r.BehindFor > now {
				t.Fatalf("%+v, last %v", r, last)
			}
			if r.State == Current {
				current++
			}
			if r.Version != 0 {
				versions[r.Version] = true
			}
		}
		if rows != n || len(last) > 0 && current == 0 || len(versions) == 1 && current != len(last) {
			t.Fatalf("%d rows of %d relays, %d current, %d versions", rows, n, current, len(versions))
		}
	})
}
