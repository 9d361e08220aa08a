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
	LeastWithin   = time.Second
	DefaultWithin = 30 * time.Second
	MostWithin    = 24 * time.Hour
	// maxMarks bounds what operators may drain one by one, and with it what is recorded.
	maxMarks = 10000
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
	ErrUnknown  = errors.New("not in the operator's file")
	ErrLast     = errors.New("the last open endpoint of its partner; drain the partner, or allow it")
	ErrStopping = errors.New("the relay is stopping, which cannot be undone")
	ErrMany     = fmt.Errorf("more than %d drains", maxMarks)
	ErrWithin   = fmt.Errorf("the time allowed must be from %v to %v", LeastWithin, MostWithin)
)

// Mark is one drain in force.
type Mark struct {
	Target Target
	Since  time.Time
	By     string        // who asked, as they name themselves
	Within time.Duration // of the relay's drain
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
	Begun     Result = "drained"         // the gate is closed
	Already   Result = "already drained" // the first mark stands, with its time
	Shortened Result = "bound shortened" // of the relay's drain under way
	Undone    Result = "undrained"       // open again
	Not       Result = "not drained"     // there was nothing to undo
	StillBy   Result = "still drained"   // its own mark is gone, its partner's closes it
	StillAll  Result = "still drained for the fleet"
	StopBegun Result = "stopping"         // takes the place of a drain under way
	StopAgain Result = "already stopping" // the sooner end stands
)

// Change is what a command asks the relay to make durable and carry out. Set and Unset are to be
// recorded before the command is acknowledged; gates follow Book.Open.
type Change struct {
	Result Result
	Set    []Mark
	Unset  []Target
}

// Book holds all drains of one relay. It is not safe for concurrent use.
type Book struct {
	partners map[string][]string // their endpoints
	owner    map[string]string   // an endpoint's partner
	marks    map[Target]Mark
	fleet    map[Target]Mark // said for all relays of the fleet: they are kept, and taken back, elsewhere
	phase    Phase
	until    time.Time // of the phases Draining and Stopping
}

// NewBook returns the book of a relay that serves.
func NewBook() *Book {
	return &Book{marks: map[Target]Mark{}, phase: Serving}
}

// Members takes in the list of partners and their endpoints. A mark on something that the list no
// longer has stays: if it comes back, it is still drained.
func (b *Book) Members(partners map[string][]string) {
	b.partners, b.owner = partners, map[string]string{}
	for p, all := range partners {
		for _, e := range all {
			b.owner[e] = p
		}
	}
}

// Restore takes up a mark that an earlier process recorded. A drain of the relay goes on with what is
// left of its time; a stop is never recorded, as the start after it is meant to serve.
func (b *Book) Restore(m Mark, now time.Time) {
	b.marks[m.Target] = m
	if m.Target.Scope == Relay {
		b.phase, b.until = Draining, m.Since.Add(m.Within)
		if latest := now.Add(m.Within); b.until.After(latest) { // the clock was set back
			b.until = latest
		}
	}
}

// Known tells whether the list has a target; nil if it does.
func (b *Book) Known(t Target) error {
	ok := t.Scope == Relay
	switch t.Scope {
	case Endpoint:
		_, ok = b.owner[t.Name]
	case Partner:
		_, ok = b.partners[t.Name]
	}
	if !ok {
		return fmt.Errorf("%s: %w", t, ErrUnknown)
	}
	return nil
}

// marked tells whether something is drained by itself.
func (b *Book) marked(t Target) bool { _, ok := b.marks[t]; return ok }

// Fleet takes in which drains hold for all relays of the fleet, in place of those before. They close endpoints beside the
// relay's own, each until it is taken back for itself.
func (b *Book) Fleet(marks []Mark) {
	b.fleet = map[Target]Mark{}
	for _, m := range marks {
		b.fleet[m.Target] = m
	}
}

// Open tells whether anything new may go to an endpoint. One that is in no partner is open as far as
// drains go: that it is gone is another matter.
func (b *Book) Open(endpoint string) bool {
	return !b.closed(Target{Endpoint, endpoint}) && !b.closed(Target{Partner, b.owner[endpoint]})
}

// closed tells whether something is drained by itself, here or for the fleet.
func (b *Book) closed(t Target) bool {
	_, all := b.fleet[t]
	return all || b.marked(t)
}

// Why names the marks that close an endpoint, its partner's first.
func (b *Book) Why(endpoint string) []Mark {
	var why []Mark
	for _, t := range []Target{{Partner, b.owner[endpoint]}, {Endpoint, endpoint}} {
		if m, ok := b.marks[t]; ok {
			why = append(why, m)
		}
		if m, ok := b.fleet[t]; ok {
			m.By += ", for the fleet"
			why = append(why, m)
		}
	}
	return why
}

// TakesOn tells whether the relay takes new messages on.
func (b *Book) TakesOn() bool { return b.phase == Serving }

// Phase tells how far a drain of the relay is, and when its time is up at the latest; zero while it serves.
func (b *Book) Phase() (Phase, time.Time) { return b.phase, b.until }

// Marks are all drains in force, by time.
func (b *Book) Marks() []Mark {
	var all []Mark
	for _, m := range b.marks {
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y Mark) int {
		return cmp.Or(x.Since.Compare(y.Since), cmp.Compare(x.Target.String(), y.Target.String()))
	})
	return all
}

// Closes lists the endpoints that a drain of the target closes and that are open now, sorted.
func (b *Book) Closes(t Target) []string {
	var all []string
	switch t.Scope {
	case Endpoint:
		all = []string{t.Name}
	case Partner:
		all = b.partners[t.Name]
	}
	all = slices.DeleteFunc(slices.Clone(all), func(e string) bool { return !b.Open(e) })
	slices.Sort(all)
	return all
}

// Last tells whether a drain of the endpoint leaves its partner with no open one.
func (b *Book) Last(endpoint string) bool {
	p, ok := b.owner[endpoint]
	return ok && b.Open(endpoint) && !slices.ContainsFunc(b.partners[p], func(e string) bool { return e != endpoint && b.Open(e) })
}

// Drain closes a target. A second drain of the same one changes nothing, but that a sooner end of the
// relay's stands. The last open endpoint of a partner is refused unless allowed by name: that partner's
// messages would wait until their time is up. Within is for the relay alone; 0 is DefaultWithin.
func (b *Book) Drain(t Target, by string, within time.Duration, allowLast bool, now time.Time) (Change, error) {
	if err := b.Known(t); err != nil {
		return Change{}, err
	}
	if b.phase == Stopping && t.Scope == Relay {
		return Change{}, ErrStopping
	}
	if t.Scope == Relay {
		if within == 0 {
			within = DefaultWithin
		}
		if within < LeastWithin || within > MostWithin {
			return Change{}, ErrWithin
		}
	} else {
		within = 0
	}
	m := Mark{t, now, by, within}
	if old, ok := b.marks[t]; ok {
		if t.Scope != Relay || b.phase == Drained || !now.Add(within).Before(b.until) {
			return Change{Result: Already}, nil
		}
		m.Since, m.By, b.until = old.Since, old.By, now.Add(within)
		m.Within = b.until.Sub(m.Since)
		b.marks[t] = m
		return Change{Result: Shortened, Set: []Mark{m}}, nil
	}
	if t.Scope == Endpoint && !allowLast && b.Last(t.Name) {
		return Change{}, fmt.Errorf("%s: %w", t, ErrLast)
	}
	if len(b.marks) >= maxMarks {
		return Change{}, ErrMany
	}
	b.marks[t] = m
	if t.Scope == Relay {
		b.phase, b.until = Draining, now.Add(within)
	}
	return Change{Result: Begun, Set: []Mark{m}}, nil
}

// Undrain opens a target again, also in the middle of its drain: calls out are not touched. Opening a
// partner leaves the marks of its endpoints; an endpoint whose partner is drained stays closed. What the
// list no longer has can be undrained, so that no mark is there for ever.
func (b *Book) Undrain(t Target, now time.Time) (Change, error) {
	if t.Scope == Relay && b.phase == Stopping {
		return Change{}, ErrStopping
	}
	if !b.marked(t) {
		if err := b.Known(t); err != nil {
			return Change{}, err
		}
		return Change{Result: cmp.Or(b.still(t), Not)}, nil
	}
	delete(b.marks, t)
	if t.Scope == Relay {
		b.phase, b.until = Serving, time.Time{}
	}
	return Change{Result: cmp.Or(b.still(t), Undone), Unset: []Target{t}}, nil
}

// still tells what closes a target that has no mark of its own; empty if nothing does.
func (b *Book) still(t Target) Result {
	partner := Target{Partner, b.owner[t.Name]}
	switch {
	case b.closed(t):
		return StillAll
	case t.Scope != Endpoint:
	case b.marked(partner):
		return StillBy
	case b.closed(partner):
		return StillAll
	}
	return ""
}

// Stop begins an orderly stop; it takes the place of a drain of the relay under way, and the sooner of
// the two ends stands. A drain's mark stays, so that the next start is still drained.
func (b *Book) Stop(within time.Duration, now time.Time) (Change, error) {
	if within < LeastWithin || within > MostWithin {
		return Change{}, ErrWithin
	}
	end := now.Add(within)
	if (b.phase == Stopping || b.phase == Draining) && b.until.Before(end) {
		end = b.until
	}
	again := b.phase == Stopping
	if b.phase == Drained { // its time was up already: calls out may end, no more
		end = now.Add(LeastWithin)
	}
	b.phase, b.until = Stopping, end
	if again {
		return Change{Result: StopAgain}, nil
	}
	return Change{Result: StopBegun}, nil
}

// Revert takes back a change that could not be recorded.
func (b *Book) Revert(before Snapshot) {
	b.marks, b.phase, b.until = before.marks, before.phase, before.until
}

// Snapshot is the state of a Book at one time.
type Snapshot struct {
	marks map[Target]Mark
	phase Phase
	until time.Time
}

// Snapshot returns what Revert goes back to.
func (b *Book) Snapshot() Snapshot {
	marks := make(map[Target]Mark, len(b.marks))
	for t, m := range b.marks {
		marks[t] = m
	}
	return Snapshot{marks, b.phase, b.until}
}

// Tick tells whether a drain of the relay is over with so many messages held: that happens once.
func (b *Book) Tick(held int, now time.Time) bool {
	if b.phase != Draining || held > 0 && now.Before(b.until) {
		return false
	}
	b.phase = Drained
	return true
}
