// Package versionaudit knows which relay of a fleet acts on which version of what, as far as relays tell one another: their operator's
// files, in sections, and the program's build. It is the first part of the fleet's audit: it tells who is behind, and for how long.
//
// A file has no number that only grows, so versions are digests, and which of two is newer is told by when it appeared: the newest
// version of a kind is the one that was held by nobody last. Ages are by the clock of the relay that heard; what it has not heard
// is unknown. A relay that was cut off for a time may take a version for new that the others have had for long: that shows in
// who holds it, and mends itself with the next change. The package decides and does nothing else.
package versionaudit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kind is something that relays act on.
type Kind int

// The kinds. A number is never used anew: notes carry them.
const (
	Partners Kind = iota + 1 // endpoints, classes and limits of partners
	Fleet                    // relays, addresses, weights
	Rules                    // classes, rules, zones, kinds
	Build                    // of the program
)

// Kinds are all of them, in the order in which they are shown.
var Kinds = []Kind{Partners, Fleet, Rules, Build}

var kindNames = map[Kind]string{Partners: "partners", Fleet: "fleet", Rules: "rules", Build: "build"}

// String gives the kind as operators read it.
func (k Kind) String() string { return kindNames[k] }

// Version is a digest of what a relay acts on; 0 is none.
type Version uint32

// versionTTL is after how long a version that nobody is heard to hold any more is forgotten: once it comes again it is new.
const versionTTL = 10 * time.Minute

// Auditor is one relay's. It is not safe for concurrent use.
type Auditor struct {
	relays     int
	startedAt  time.Duration // the first entry; below 0 before it
	reports    map[Kind][]report
	appearedAt map[Kind]map[Version]time.Duration // when it was first seen, after nobody held it
	lastSeenAt map[Kind]map[Version]time.Duration // last
}

// report is what a relay acts on, as it was heard last.
type report struct {
	version Version
	firstAt time.Duration // heard of first
	lastAt  time.Duration // heard of last
}

// New returns the ledger of a fleet of so many relays.
func New(relays int) *Auditor {
	l := &Auditor{relays: relays, startedAt: -1, reports: map[Kind][]report{}, appearedAt: map[Kind]map[Version]time.Duration{}, lastSeenAt: map[Kind]map[Version]time.Duration{}}
	for _, k := range Kinds {
		l.reports[k], l.appearedAt[k], l.lastSeenAt[k] = make([]report, relays), map[Version]time.Duration{}, map[Version]time.Duration{}
	}
	return l
}

// Record takes in what a relay acts on. Kinds that are not known are passed over: a newer build tells more.
func (l *Auditor) Record(now time.Duration, relay int, k Kind, v Version) {
	all, ok := l.reports[k]
	if !ok || relay < 0 || relay >= l.relays || v == 0 {
		return
	}
	for old, at := range l.lastSeenAt[k] {
		if now-at >= versionTTL {
			delete(l.lastSeenAt[k], old)
			delete(l.appearedAt[k], old)
		}
	}
	if l.startedAt < 0 {
		l.startedAt = now
	}
	if _, known := l.appearedAt[k][v]; !known || !l.inUse(k, v) {
		l.appearedAt[k][v] = now
		if now-l.startedAt < startupWindow {
			l.appearedAt[k][v] = l.startedAt
		}
	}
	l.lastSeenAt[k][v] = now
	if h := &all[relay]; h.version != v {
		*h = report{v, now, now}
	} else {
		h.lastAt = now
	}
}

// inUse tells whether a relay holds a version, as far as is known.
func (l *Auditor) inUse(k Kind, v Version) bool {
	return slices.ContainsFunc(l.reports[k], func(h report) bool { return h.version == v })
}

// newest is the version of a kind that appeared last of those that are held, and when. Of versions that appeared at once, as
// where a relay starts and hears all, it is the one that most relays hold.
func (l *Auditor) newest(k Kind) (v Version, born time.Duration) {
	holders := map[Version]int{}
	for _, h := range l.reports[k] {
		if h.version != 0 {
			holders[h.version]++
		}
	}
	for _, o := range slices.Sorted(maps.Keys(holders)) {
		if at := l.appearedAt[k][o]; v == 0 || at > born || at == born && holders[o] > holders[v] {
			v, born = o, at
		}
	}
	return v, born
}

// startupWindow is for how long after its first entry a ledger takes all versions to have been there before: a relay that starts
// hears the others within a few beats.
const startupWindow = 2 * time.Second

// State is how a relay stands with a kind.
type State string

// The states.
const (
	Current State = "current"
	Behind  State = "behind"
	Unknown State = "unknown" // nothing was heard of it
)

// Row is what is known of a relay and a kind.
type Row struct {
	Relay       int
	Kind        Kind
	Version     Version
	State       State
	ActiveFor   time.Duration // it has been known to act on that version
	SinceReport time.Duration // since it was heard last
	BehindFor   time.Duration // since a newer version appeared; 0 for one that is current
	OnNewest    int           // relays that act on the newest version
}

// Rows are all relays and kinds: those that are behind first, the longest first.
func (l *Auditor) Rows(now time.Duration) (all []Row) {
	for _, k := range Kinds {
		v, born := l.newest(k)
		count := 0
		for _, h := range l.reports[k] {
			if v != 0 && h.version == v {
				count++
			}
		}
		for i, h := range l.reports[k] {
			r := Row{Relay: i, Kind: k, Version: h.version, State: Unknown, OnNewest: count}
			if h.version != 0 {
				r.State, r.ActiveFor, r.SinceReport = Current, now-h.firstAt, now-h.lastAt
			}
			if h.version != 0 && h.version != v {
				r.State, r.BehindFor = Behind, max(0, now-born)
			}
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Row) int { return cmp.Compare(b.BehindFor, a.BehindFor) })
	return all
}
