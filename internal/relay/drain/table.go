package drain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// StateTable holds all drains of one relay. It is not safe for concurrent use.
type StateTable struct {
	endpointsOf  map[string][]string // endpoints, by partner
	partnerOf    map[string]string   // partner, by endpoint
	entries      map[Target]Entry
	fleetEntries map[Target]Entry // in force at all relays; not among entries, recorded elsewhere
	phase        Phase
	deadline     time.Time // of the phases Draining and Stopping
}

// NewStateTable returns the table of a relay that serves, with no entries.
func NewStateTable() *StateTable {
	return &StateTable{entries: map[Target]Entry{}, phase: Serving}
}

// SetPartners replaces the list of partners and their endpoints. An entry whose target is not in the list stays: if the
// target comes back, it is still drained.
func (s *StateTable) SetPartners(partners map[string][]string) {
	s.endpointsOf, s.partnerOf = partners, map[string]string{}
	for partner, endpoints := range partners {
		for _, endpoint := range endpoints {
			s.partnerOf[endpoint] = partner
		}
	}
}

// Restore adds an entry that an earlier process recorded. A drain of the relay continues with what is left of its
// time-out. A stop is never recorded, since the start after it is meant to serve.
func (s *StateTable) Restore(entry Entry, now time.Time) {
	s.entries[entry.Target] = entry
	if entry.Target.Scope == Relay {
		s.phase, s.deadline = Draining, entry.Since.Add(entry.Timeout)
		if latest := now.Add(entry.Timeout); s.deadline.After(latest) { // the clock was set back
			s.deadline = latest
		}
	}
}

// CheckKnown returns nil if the list has the target, and an error that wraps ErrUnknownTarget if not.
func (s *StateTable) CheckKnown(t Target) error {
	known := t.Scope == Relay
	switch t.Scope {
	case Endpoint:
		_, known = s.partnerOf[t.Name]
	case Partner:
		_, known = s.endpointsOf[t.Name]
	}
	if !known {
		return fmt.Errorf("%s: %w", t, ErrUnknownTarget)
	}
	return nil
}

// hasEntry reports whether the relay has an entry for the target itself.
func (s *StateTable) hasEntry(t Target) bool { _, ok := s.entries[t]; return ok }

// SetFleetEntries replaces the drains in force for all relays of the fleet. They close endpoints in addition to the
// relay's own entries; either kind is removed by itself.
func (s *StateTable) SetFleetEntries(entries []Entry) {
	s.fleetEntries = map[Target]Entry{}
	for _, entry := range entries {
		s.fleetEntries[entry.Target] = entry
	}
}

// Open reports whether new calls may go to an endpoint, as far as drains decide. An endpoint of no partner is open.
func (s *StateTable) Open(endpoint string) bool {
	return !s.closed(Target{Endpoint, endpoint}) && !s.closed(Target{Partner, s.partnerOf[endpoint]})
}

// closed reports whether the target itself is drained, at this relay or for the fleet.
func (s *StateTable) closed(t Target) bool {
	_, fleet := s.fleetEntries[t]
	return fleet || s.hasEntry(t)
}

// ClosedBy returns the entries that close an endpoint, those of its partner first.
func (s *StateTable) ClosedBy(endpoint string) []Entry {
	var entries []Entry
	for _, t := range []Target{{Partner, s.partnerOf[endpoint]}, {Endpoint, endpoint}} {
		if entry, ok := s.entries[t]; ok {
			entries = append(entries, entry)
		}
		if entry, ok := s.fleetEntries[t]; ok {
			entry.RequestedBy += ", for the fleet"
			entries = append(entries, entry)
		}
	}
	return entries
}

// AcceptsMessages reports whether the relay admits new messages.
func (s *StateTable) AcceptsMessages() bool { return s.phase == Serving }

// Phase returns the phase of the relay and the deadline of its drain or stop; the deadline is zero while it serves.
func (s *StateTable) Phase() (Phase, time.Time) { return s.phase, s.deadline }

// Entries returns the relay's own drains in force, by time.
func (s *StateTable) Entries() []Entry {
	var all []Entry
	for _, entry := range s.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(x, y Entry) int {
		return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Target.String(), y.Target.String()))
	})
	return all
}

// WouldClose returns the open endpoints that a drain of the target closes, sorted.
func (s *StateTable) WouldClose(t Target) []string {
	var all []string
	switch t.Scope {
	case Endpoint:
		all = []string{t.Name}
	case Partner:
		all = s.endpointsOf[t.Name]
	}
	all = slices.DeleteFunc(slices.Clone(all), func(endpoint string) bool { return !s.Open(endpoint) })
	slices.Sort(all)
	return all
}

// IsLastOpen reports whether the endpoint is the only open one of its partner.
func (s *StateTable) IsLastOpen(endpoint string) bool {
	partner, ok := s.partnerOf[endpoint]
	return ok && s.Open(endpoint) && !slices.ContainsFunc(s.endpointsOf[partner], func(other string) bool {
		return other != endpoint && s.Open(other)
	})
}

// Revert restores the state before a change that could not be recorded.
func (s *StateTable) Revert(before Snapshot) {
	s.entries, s.phase, s.deadline = before.entries, before.phase, before.deadline
}

// Snapshot is a copy of the state that commands change.
type Snapshot struct {
	entries  map[Target]Entry
	phase    Phase
	deadline time.Time
}

// Snapshot returns the state for a later Revert.
func (s *StateTable) Snapshot() Snapshot {
	return Snapshot{maps.Clone(s.entries), s.phase, s.deadline}
}
