package discovery

import (
	"cmp"
	"slices"
)

// Phases of a host. The platform lists ready and draining hosts; a core node publishes some of the ready ones with a verdict of
// package hosthealth as their phase.
const (
	Ready     = "ready"
	Draining  = "draining"
	Ejected   = "ejected"   // gets calls only if no other host of the service has room for them
	Probation = "probation" // was ejected, and gets fewer calls at first
)

// Host is one incarnation of a host, with the platform's values. Its fields are encoded in this order.
type Host struct {
	ID       string // identifies the incarnation
	Service  string
	Addr     string // host:port
	Zone     string
	Capacity int
	Phase    string
	WarmupMs int // remaining slow-start time when the list was fetched
	Models   []string
}

// Equal reports whether two entries are equal, apart from WarmupMs.
func (h Host) Equal(other Host) bool {
	return h.ID == other.ID && h.Service == other.Service && h.Addr == other.Addr && h.Zone == other.Zone &&
		h.Capacity == other.Capacity && h.Phase == other.Phase && slices.Equal(h.Models, other.Models)
}

// Serving reports whether the platform permits new calls to the host.
func (h Host) Serving() bool { return h.Phase == Ready || h.Phase == Ejected || h.Phase == Probation }

// compareIDs orders hosts by ID.
func compareIDs(a, b Host) int { return cmp.Compare(a.ID, b.ID) }

// List is the platform's list as it was fetched. A list with a higher (Term, Number) replaces a lower one. It is
// immutable once it is shared. Its fields are encoded in this order.
type List struct {
	Term   int64 // epoch of the view whose head fetched it
	Number int64 // rises within the term, see NextNumber
	Hosts  []Host
}

// Newer reports whether l replaces other, which may be nil.
func (l *List) Newer(other *List) bool {
	return other == nil || l.Term > other.Term || l.Term == other.Term && l.Number > other.Number
}

// incarnationShift is the position of the incarnation in a list's number.
const incarnationShift = 32

// NextNumber returns the number of the next list under a term. Last is the newest list that the node knows, or nil. A
// node that restarts within its term knows nothing of the lists that it distributed before: the numbers of each
// incarnation are above those of all earlier ones.
func NextNumber(term, incarnation int64, last *List) int64 {
	number := incarnation << incarnationShift
	if last != nil && last.Term == term {
		number = max(number, last.Number)
	}
	return number + 1
}
