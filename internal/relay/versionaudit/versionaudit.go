// Package versionaudit records which relay of a fleet acts on which version of what, as far as relays report it
// to each other: the sections of their operator's files, and the program's build. It is the first part of the
// fleet's audit: it shows who is behind, and for how long.
//
// A file has no number that only grows, so versions are digests, and which of two is newer follows from when
// they appeared: the newest version of a kind is the one that appeared last, after no relay had it. Ages are by
// the clock of the relay that received the reports; what it has not received is unknown. A relay that was
// partitioned for a time may take a version for new that the others have had for long: that shows in who has it,
// and ends with the next change. The package is a pure state machine without clock and I/O.
package versionaudit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kind of a version: something that relays act on.
type Kind int

// The kinds. Messages carry the numbers; a number is never reused.
const (
	Partners Kind = iota + 1 // endpoints, classes and limits of partners
	Fleet                    // relays, addresses, weights
	Rules                    // classes, rules, zones, kinds
	Build                    // of the program
)

// Kinds are all kinds, in the order of output.
var Kinds = []Kind{Partners, Fleet, Rules, Build}

var kindNames = map[Kind]string{Partners: "partners", Fleet: "fleet", Rules: "rules", Build: "build"}

// String returns the name of the kind in output.
func (k Kind) String() string { return kindNames[k] }

// Version is a digest of what a relay acts on; 0 is none.
type Version uint32

// versionTTL is how long a version is remembered that no relay reports. If it returns later it counts as new.
const versionTTL = 10 * time.Minute

// Auditor records the versions that the relays of a fleet report. It is not safe for concurrent use.
type Auditor struct {
	relays     int                                // number
	startedAt  time.Duration                      // the first report; -1 before it
	reports    map[Kind][]report                  // by kind and relay
	appearedAt map[Kind]map[Version]time.Duration // first report after no relay had it
	lastSeenAt map[Kind]map[Version]time.Duration // last report
}

// report is what a relay acts on by its last report.
type report struct {
	version Version       // 0 for none
	firstAt time.Duration // of that version
	lastAt  time.Duration // of that version
}

// New returns the auditor of a fleet of that many relays.
func New(relays int) *Auditor {
	a := &Auditor{
		relays:     relays,
		startedAt:  -1,
		reports:    map[Kind][]report{},
		appearedAt: map[Kind]map[Version]time.Duration{},
		lastSeenAt: map[Kind]map[Version]time.Duration{},
	}
	for _, k := range Kinds {
		a.reports[k] = make([]report, relays)
		a.appearedAt[k], a.lastSeenAt[k] = map[Version]time.Duration{}, map[Version]time.Duration{}
	}
	return a
}

// Record records what a relay acts on. Unknown kinds are ignored: a newer build may report more.
func (a *Auditor) Record(now time.Duration, relay int, k Kind, v Version) {
	reports, ok := a.reports[k]
	if !ok || relay < 0 || relay >= a.relays || v == 0 {
		return
	}
	for old, at := range a.lastSeenAt[k] {
		if now-at >= versionTTL {
			delete(a.lastSeenAt[k], old)
			delete(a.appearedAt[k], old)
		}
	}
	if a.startedAt < 0 {
		a.startedAt = now
	}
	if _, known := a.appearedAt[k][v]; !known || !a.inUse(k, v) {
		a.appearedAt[k][v] = now
		if now-a.startedAt < startupWindow {
			a.appearedAt[k][v] = a.startedAt
		}
	}
	a.lastSeenAt[k][v] = now
	if last := &reports[relay]; last.version != v {
		*last = report{v, now, now}
	} else {
		last.lastAt = now
	}
}

// inUse reports whether a relay acts on a version, by its last report.
func (a *Auditor) inUse(k Kind, v Version) bool {
	return slices.ContainsFunc(a.reports[k], func(r report) bool { return r.version == v })
}

// newest returns the version of a kind that appeared last of those in use, and when. Of versions that appeared
// together, as at the start of this relay, it is the one that most relays act on.
func (a *Auditor) newest(k Kind) (v Version, appeared time.Duration) {
	users := map[Version]int{}
	for _, r := range a.reports[k] {
		if r.version != 0 {
			users[r.version]++
		}
	}
	for _, other := range slices.Sorted(maps.Keys(users)) {
		if at := a.appearedAt[k][other]; v == 0 || at > appeared || at == appeared && users[other] > users[v] {
			v, appeared = other, at
		}
	}
	return v, appeared
}

// startupWindow is for how long after the first report all versions count as having been there before: a relay
// that starts hears the others within a few heartbeats.
const startupWindow = 2 * time.Second

// State of a relay's version.
type State string

// The states. The names are in output.
const (
	Current State = "current"
	Behind  State = "behind"
	Unknown State = "unknown" // nothing was reported
)

// Row is what is known of a relay and a kind.
type Row struct {
	Relay       int
	Kind        Kind
	Version     Version
	State       State
	ActiveFor   time.Duration // time since the first report of that version
	SinceReport time.Duration // time since the last report
	BehindFor   time.Duration // time since the newest version appeared; 0 if current
	OnNewest    int           // number of relays that act on the newest version
}

// Rows returns a row for each relay and kind: those that are behind first, the longest first.
func (a *Auditor) Rows(now time.Duration) (rows []Row) {
	for _, k := range Kinds {
		v, appeared := a.newest(k)
		count := 0
		for _, last := range a.reports[k] {
			if v != 0 && last.version == v {
				count++
			}
		}
		for i, last := range a.reports[k] {
			r := Row{Relay: i, Kind: k, Version: last.version, State: Unknown, OnNewest: count}
			if last.version != 0 {
				r.State, r.ActiveFor, r.SinceReport = Current, now-last.firstAt, now-last.lastAt
			}
			if last.version != 0 && last.version != v {
				r.State, r.BehindFor = Behind, max(0, now-appeared)
			}
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(x, y Row) int { return cmp.Compare(y.BehindFor, x.BehindFor) })
	return rows
}
