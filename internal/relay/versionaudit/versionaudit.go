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

// lapse is after how long a version that nobody is heard to hold any more is forgotten: once it comes again it is new.
const lapse = 10 * time.Minute

// Ledger is one relay's. It is not safe for concurrent use.
type Ledger struct {
	relays int
	began  time.Duration // the first entry; below 0 before it
	held   map[Kind][]held
	born   map[Kind]map[Version]time.Duration // when it was first seen, after nobody held it
	seen   map[Kind]map[Version]time.Duration // last
}

// held is what a relay acts on, as it was heard last.
type held struct {
	version Version
	since   time.Duration // heard of first
	at      time.Duration // heard of last
}

// New returns the ledger of a fleet of so many relays.
func New(relays int) *Ledger {
	l := &Ledger{relays: relays, began: -1, held: map[Kind][]held{}, born: map[Kind]map[Version]time.Duration{}, seen: map[Kind]map[Version]time.Duration{}}
	for _, k := range Kinds {
		l.held[k], l.born[k], l.seen[k] = make([]held, relays), map[Version]time.Duration{}, map[Version]time.Duration{}
	}
	return l
}

// Heard takes in what a relay acts on. Kinds that are not known are passed over: a newer build tells more.
func (l *Ledger) Heard(now time.Duration, relay int, k Kind, v Version) {
	all, ok := l.held[k]
	if !ok || relay < 0 || relay >= l.relays || v == 0 {
		return
	}
	for old, at := range l.seen[k] {
		if now-at >= lapse {
			delete(l.seen[k], old)
			delete(l.born[k], old)
		}
	}
	if l.began < 0 {
		l.began = now
	}
	if _, known := l.born[k][v]; !known || !l.anybody(k, v) {
		l.born[k][v] = now
		if now-l.began < together {
			l.born[k][v] = l.began
		}
	}
	l.seen[k][v] = now
	if h := &all[relay]; h.version != v {
		*h = held{v, now, now}
	} else {
		h.at = now
	}
}

// anybody tells whether a relay holds a version, as far as is known.
func (l *Ledger) anybody(k Kind, v Version) bool {
	return slices.ContainsFunc(l.held[k], func(h held) bool { return h.version == v })
}

// newest is the version of a kind that appeared last of those that are held, and when. Of versions that appeared at once, as
// where a relay starts and hears all, it is the one that most relays hold.
func (l *Ledger) newest(k Kind) (v Version, born time.Duration) {
	holders := map[Version]int{}
	for _, h := range l.held[k] {
		if h.version != 0 {
			holders[h.version]++
		}
	}
	for _, o := range slices.Sorted(maps.Keys(holders)) {
		if at := l.born[k][o]; v == 0 || at > born || at == born && holders[o] > holders[v] {
			v, born = o, at
		}
	}
	return v, born
}

// together is for how long after its first entry a ledger takes all versions to have been there before: a relay that starts
// hears the others within a few beats.
const together = 2 * time.Second

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
	Relay   int
	Kind    Kind
	Version Version
	State   State
	For     time.Duration // it has been known to act on that version
	Heard   time.Duration // since it was heard last
	Behind  time.Duration // since a newer version appeared; 0 for one that is current
	Newest  int           // relays that act on the newest version
}

// Rows are all relays and kinds: those that are behind first, the longest first.
func (l *Ledger) Rows(now time.Duration) (all []Row) {
	for _, k := range Kinds {
		v, born := l.newest(k)
		count := 0
		for _, h := range l.held[k] {
			if v != 0 && h.version == v {
				count++
			}
		}
		for i, h := range l.held[k] {
			r := Row{Relay: i, Kind: k, Version: h.version, State: Unknown, Newest: count}
			if h.version != 0 {
				r.State, r.For, r.Heard = Current, now-h.since, now-h.at
			}
			if h.version != 0 && h.version != v {
				r.State, r.Behind = Behind, max(0, now-born)
			}
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Row) int { return cmp.Compare(b.Behind, a.Behind) })
	return all
}
