// Package drain decides what a relay may still send and take on while an operator drains an
// endpoint, a partner or the whole relay, what is owed meanwhile, when that is over, and how it
// is undone. It does no I/O: it takes the time and what is held as arguments, and hands back the
// records that make a decision outlast the process.
//
// Two things are kept apart. A mark on an endpoint or a partner closes it: nothing new goes there,
// calls out are finished, and messages that wait for it wait on, each until its own time is up.
// A drain of the relay closes its intake: nothing new is taken on, what is held goes on being
// delivered, and after a bound the drain is over, with what is left named. A stop is a drain of the
// relay that ends the process and cannot be undone.
package drain

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Grace is the time after which nothing new goes to a drained endpoint, from the acknowledgement
// on. It is the figure of the rule on drains; the relay's own gate closes before it acknowledges.
const Grace = 250 * time.Millisecond

// The bounds of the time that a drain of the relay, or a stop, may take.
const (
	MinTimeout     = time.Second
	DefaultTimeout = 30 * time.Second
	MaxTimeout     = 24 * time.Hour
	// maxEntries bounds what operators may drain one by one, and with it what is recorded.
	maxEntries = 10000
)

// Scope is what a drain is about.
type Scope string

// The scopes.
const (
	Endpoint Scope = "endpoint"
	Partner  Scope = "partner"
	Relay    Scope = "relay"
)

// Target names what is drained. Name is empty for the relay.
type Target struct {
	Scope Scope
	Name  string
}

// String writes a target as operators do: "relay", or scope and name, such as "partner:bank". ParseTarget reads it.
func (t Target) String() string {
	if t.Scope == Relay {
		return string(Relay)
	}
	return string(t.Scope) + ":" + t.Name
}

// ParseTarget reads what String writes.
func ParseTarget(s string) (Target, error) {
	scope, name, named := strings.Cut(s, ":")
	switch t := (Target{Scope(scope), name}); {
	case s == string(Relay):
		return t, nil
	case named && name != "" && (t.Scope == Endpoint || t.Scope == Partner):
		return t, nil
	}
	return Target{}, fmt.Errorf("%q is no target: relay, partner:NAME and endpoint:NAME are", s)
}

// The errors of a Book. A target that is not known is wrapped with its name.
var (
	ErrUnknownTarget  = errors.New("not in the operator's file")
	ErrLastEndpoint   = errors.New("the last open endpoint of its partner; drain the partner, or allow it")
	ErrStopping       = errors.New("the relay is stopping, which cannot be undone")
	ErrTooMany        = fmt.Errorf("more than %d drains", maxEntries)
	ErrInvalidTimeout = fmt.Errorf("the time allowed must be from %v to %v", MinTimeout, MaxTimeout)
)

// Entry is one drain in force.
type Entry struct {
	Target      Target
	Since       time.Time
	RequestedBy string        // who asked, as they name themselves
	Timeout     time.Duration // of the relay's drain
}

// Phase is how far a drain of the relay is.
type Phase string

// The phases of the relay.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining" // takes nothing on, delivers what it holds
	Drained  Phase = "drained"  // nothing is held, or the time allowed is up: it may be stopped
	Stopping Phase = "stopping"
)

// Result tells what a command did.
type Result string

// The results. Those that changed nothing are no errors.
const (
	ResultDrained         Result = "drained"         // the gate is closed
	ResultAlreadyDrained  Result = "already drained" // the first mark stands, with its time
	ResultShortened       Result = "bound shortened" // of the relay's drain under way
	ResultUndrained       Result = "undrained"       // open again
	ResultNotDrained      Result = "not drained"     // there was nothing to undo
	ResultPartnerDrained  Result = "still drained"   // its own mark is gone, its partner's closes it
	ResultFleetDrained    Result = "still drained for the fleet"
	ResultStopping        Result = "stopping"         // takes the place of a drain under way
	ResultAlreadyStopping Result = "already stopping" // the sooner end stands
)

// Change is what a command asks the relay to make durable and carry out. Set and Unset are to be
// recorded before the command is acknowledged; gates follow Book.Open.
type Change struct {
	Result  Result
	Set     []Entry
	Removed []Target
}

// StateTable holds all drains of one relay. It is not safe for concurrent use.
type StateTable struct {
	endpointsOf  map[string][]string // their endpoints
	partnerOf    map[string]string   // an endpoint's partner
	entries      map[Target]Entry
	fleetEntries map[Target]Entry // said for all relays of the fleet: they are kept, and taken back, elsewhere
	phase        Phase
	deadline     time.Time // of the phases Draining and Stopping
}

// NewStateTable returns the book of a relay that serves.
func NewStateTable() *StateTable {
	return &StateTable{entries: map[Target]Entry{}, phase: Serving}
}

// SetPartners takes in the list of partners and their endpoints. A mark on something that the list no
// longer has stays: if it comes back, it is still drained.
func (b *StateTable) SetPartners(partners map[string][]string) {
	b.endpointsOf, b.partnerOf = partners, map[string]string{}
	for p, all := range partners {
		for _, e := range all {
			b.partnerOf[e] = p
		}
	}
}

// Restore takes up a mark that an earlier process recorded. A drain of the relay goes on with what is
// left of its time; a stop is never recorded, as the start after it is meant to serve.
func (b *StateTable) Restore(m Entry, now time.Time) {
	b.entries[m.Target] = m
	if m.Target.Scope == Relay {
		b.phase, b.deadline = Draining, m.Since.Add(m.Timeout)
		if latest := now.Add(m.Timeout); b.deadline.After(latest) { // the clock was set back
			b.deadline = latest
		}
	}
}

// CheckKnown tells whether the list has a target; nil if it does.
func (b *StateTable) CheckKnown(t Target) error {
	ok := t.Scope == Relay
	switch t.Scope {
	case Endpoint:
		_, ok = b.partnerOf[t.Name]
	case Partner:
		_, ok = b.endpointsOf[t.Name]
	}
	if !ok {
		return fmt.Errorf("%s: %w", t, ErrUnknownTarget)
	}
	return nil
}

// hasEntry tells whether something is drained by itself.
func (b *StateTable) hasEntry(t Target) bool { _, ok := b.entries[t]; return ok }

// SetFleetEntries takes in which drains hold for all relays of the fleet, in place of those before. They close endpoints beside the
// relay's own, each until it is taken back for itself.
func (b *StateTable) SetFleetEntries(marks []Entry) {
	b.fleetEntries = map[Target]Entry{}
	for _, m := range marks {
		b.fleetEntries[m.Target] = m
	}
}

// Open tells whether anything new may go to an endpoint. One that is in no partner is open as far as
// drains go: that it is gone is another matter.
func (b *StateTable) Open(endpoint string) bool {
	return !b.closed(Target{Endpoint, endpoint}) && !b.closed(Target{Partner, b.partnerOf[endpoint]})
}

// closed tells whether something is drained by itself, here or for the fleet.
func (b *StateTable) closed(t Target) bool {
	_, all := b.fleetEntries[t]
	return all || b.hasEntry(t)
}

// ClosedBy names the marks that close an endpoint, its partner's first.
func (b *StateTable) ClosedBy(endpoint string) []Entry {
	var why []Entry
	for _, t := range []Target{{Partner, b.partnerOf[endpoint]}, {Endpoint, endpoint}} {
		if m, ok := b.entries[t]; ok {
			why = append(why, m)
		}
		if m, ok := b.fleetEntries[t]; ok {
			m.RequestedBy += ", for the fleet"
			why = append(why, m)
		}
	}
	return why
}

// AcceptsMessages tells whether the relay takes new messages on.
func (b *StateTable) AcceptsMessages() bool { return b.phase == Serving }

// Phase tells how far a drain of the relay is, and when its time is up at the latest; zero while it serves.
func (b *StateTable) Phase() (Phase, time.Time) { return b.phase, b.deadline }

// Entries are all drains in force, by time.
func (b *StateTable) Entries() []Entry {
	var all []Entry
	for _, m := range b.entries {
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y Entry) int {
		return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Target.String(), y.Target.String()))
	})
	return all
}

// WouldClose lists the endpoints that a drain of the target closes and that are open now, sorted.
func (b *StateTable) WouldClose(t Target) []string {
	var all []string
	switch t.Scope {
	case Endpoint:
		all = []string{t.Name}
	case Partner:
		all = b.endpointsOf[t.Name]
	}
	all = slices.DeleteFunc(slices.Clone(all), func(e string) bool { return !b.Open(e) })
	slices.Sort(all)
	return all
}

// IsLastOpen tells whether a drain of the endpoint leaves its partner with no open one.
func (b *StateTable) IsLastOpen(endpoint string) bool {
	p, ok := b.partnerOf[endpoint]
	return ok && b.Open(endpoint) && !slices.ContainsFunc(b.endpointsOf[p], func(e string) bool { return e != endpoint && b.Open(e) })
}

// Drain closes a target. A second drain of the same one changes nothing, but that a sooner end of the
// relay's stands. The last open endpoint of a partner is refused unless allowed by name: that partner's
// messages would wait until their time is up. Within is for the relay alone; 0 is DefaultWithin.
func (b *StateTable) Drain(t Target, by string, within time.Duration, allowLast bool, now time.Time) (Change, error) {
	if err := b.CheckKnown(t); err != nil {
		return Change{}, err
	}
	if b.phase == Stopping && t.Scope == Relay {
		return Change{}, ErrStopping
	}
	if t.Scope == Relay {
		if within == 0 {
			within = DefaultTimeout
		}
		if within < MinTimeout || within > MaxTimeout {
			return Change{}, ErrInvalidTimeout
		}
	} else {
		within = 0
	}
	m := Entry{t, now, by, within}
	if old, ok := b.entries[t]; ok {
		if t.Scope != Relay || b.phase == Drained || !now.Add(within).Before(b.deadline) {
			return Change{Result: ResultAlreadyDrained}, nil
		}
		m.Since, m.RequestedBy, b.deadline = old.Since, old.RequestedBy, now.Add(within)
		m.Timeout = b.deadline.Sub(m.Since)
		b.entries[t] = m
		return Change{Result: ResultShortened, Set: []Entry{m}}, nil
	}
	if t.Scope == Endpoint && !allowLast && b.IsLastOpen(t.Name) {
		return Change{}, fmt.Errorf("%s: %w", t, ErrLastEndpoint)
	}
	if len(b.entries) >= maxEntries {
		return Change{}, ErrTooMany
	}
	b.entries[t] = m
	if t.Scope == Relay {
		b.phase, b.deadline = Draining, now.Add(within)
	}
	return Change{Result: ResultDrained, Set: []Entry{m}}, nil
}

// Undrain opens a target again, also in the middle of its drain: calls out are not touched. Opening a
// partner leaves the marks of its endpoints; an endpoint whose partner is drained stays closed. What the
// list no longer has can be undrained, so that no mark is there for ever.
func (b *StateTable) Undrain(t Target, now time.Time) (Change, error) {
	if t.Scope == Relay && b.phase == Stopping {
		return Change{}, ErrStopping
	}
	if !b.hasEntry(t) {
		if err := b.CheckKnown(t); err != nil {
			return Change{}, err
		}
		return Change{Result: cmp.Or(b.remainingResult(t), ResultNotDrained)}, nil
	}
	delete(b.entries, t)
	if t.Scope == Relay {
		b.phase, b.deadline = Serving, time.Time{}
	}
	return Change{Result: cmp.Or(b.remainingResult(t), ResultUndrained), Removed: []Target{t}}, nil
}

// remainingResult tells what closes a target that has no mark of its own; empty if nothing does.
func (b *StateTable) remainingResult(t Target) Result {
	partner := Target{Partner, b.partnerOf[t.Name]}
	switch {
	case b.closed(t):
		return ResultFleetDrained
	case t.Scope != Endpoint:
	case b.hasEntry(partner):
		return ResultPartnerDrained
	case b.closed(partner):
		return ResultFleetDrained
	}
	return ""
}

// Stop begins an orderly stop; it takes the place of a drain of the relay under way, and the sooner of
// the two ends stands. A drain's mark stays, so that the next start is still drained.
func (b *StateTable) Stop(within time.Duration, now time.Time) (Change, error) {
	if within < MinTimeout || within > MaxTimeout {
		return Change{}, ErrInvalidTimeout
	}
	end := now.Add(within)
	if (b.phase == Stopping || b.phase == Draining) && b.deadline.Before(end) {
		end = b.deadline
	}
	again := b.phase == Stopping
	if b.phase == Drained { // its time was up already: calls out may end, no more
		end = now.Add(MinTimeout)
	}
	b.phase, b.deadline = Stopping, end
	if again {
		return Change{Result: ResultAlreadyStopping}, nil
	}
	return Change{Result: ResultStopping}, nil
}

// Revert takes back a change that could not be recorded.
func (b *StateTable) Revert(before Snapshot) {
	b.entries, b.phase, b.deadline = before.entries, before.phase, before.deadline
}

// Snapshot is the state of a Book at one time.
type Snapshot struct {
	entries  map[Target]Entry
	phase    Phase
	deadline time.Time
}

// Snapshot returns what Revert goes back to.
func (b *StateTable) Snapshot() Snapshot {
	marks := make(map[Target]Entry, len(b.entries))
	for t, m := range b.entries {
		marks[t] = m
	}
	return Snapshot{marks, b.phase, b.deadline}
}

// Tick tells whether a drain of the relay is over with so many messages held: that happens once.
func (b *StateTable) Tick(held int, now time.Time) bool {
	if b.phase != Draining || held > 0 && now.Before(b.deadline) {
		return false
	}
	b.phase = Drained
	return true
}
