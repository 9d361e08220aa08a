package versionaudit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func show(l *Ledger, now time.Duration, k Kind) (text string) {
	rows := map[int]Row{}
	for _, r := range l.Rows(now) {
		if r.Kind == k {
			rows[r.Relay] = r
		}
	}
	for i := range len(rows) {
		text += fmt.Sprintf("%d:%s ", rows[i].Version, rows[i].State)
	}
	return text
}

// A new file at one relay has the others behind until they have it; a rollback is a new version too; what was not heard of is unknown.
func TestWhoIsBehind(t *testing.T) {
	const s = time.Second
	l := New(4)
	all := func(now time.Duration, versions ...Version) {
		for i, v := range versions {
			l.Heard(now, i, Partners, v)
		}
	}
	step := func(now time.Duration, want string) {
		t.Helper()
		if got := show(l, now, Partners); got != want {
			t.Errorf("at %v: %q, want %q", now, got, want)
		}
	}
	all(0, 1, 1, 1)
	step(1*s, "1:current 1:current 1:current 0:unknown ")
	all(10*s, 1, 2, 1)
	step(11*s, "1:behind 2:current 1:behind 0:unknown ")
	if r := l.Rows(40 * s)[0]; r.Behind != 30*s || r.Kind != Partners || r.Newest != 1 || r.For != 40*s || r.Heard != 30*s {
		t.Errorf("%+v", r)
	}
	all(50*s, 2, 2, 1, 2)
	step(51*s, "2:current 2:current 1:behind 2:current ")
	all(60*s, 2, 2, 2, 2)
	all(70*s, 1, 2, 2, 2) // back to the first, which nobody held any more
	step(71*s, "1:current 2:behind 2:behind 2:behind ")
	l = New(4) // one that starts and hears all: the version of most is taken for the newest
	all(0, 5)
	all(1*s, 5, 6, 6, 6)
	step(2*s, "5:behind 6:current 6:current 6:current ")
	l.Heard(3*s, 9, Partners, 7)
	l.Heard(3*s, 1, Kind(77), 7)
	l.Heard(3*s, 1, Partners, 0)
	step(3*s, "5:behind 6:current 6:current 6:current ")
}

// Whatever is heard: each relay has one row of each kind, at least one relay that was heard of is current, and nobody is behind
// where all hold the same.
func TestRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "relays")
		l, now, last := New(n), time.Duration(0), map[int]Version{}
		for range rapid.IntRange(0, 40).Draw(t, "notes") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "after"))
			i, v := rapid.IntRange(0, n-1).Draw(t, "relay"), Version(rapid.IntRange(1, 4).Draw(t, "version"))
			l.Heard(now, i, Rules, v)
			last[i] = v
		}
		rows, current, versions := 0, 0, map[Version]bool{}
		for _, r := range l.Rows(now) {
			if r.Kind != Rules {
				continue
			}
			rows++
			if r.Version != last[r.Relay] || (r.State == Unknown) != (last[r.Relay] == 0) || r.Behind < 0 || r.Behind > now {
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
