// Package discovery is service discovery: the platform's list of hosts as an immutable table.
package discovery

// Phases of a host on the list.
const (
	Ready    = "ready"
	Draining = "draining"
)

// Host is one incarnation of a host.
type Host struct {
	ID       string
	Service  string
	Addr     string
	Zone     string
	Capacity int
	Phase    string
	WarmupMs int // how much longer it stays slow, as the list had it
	Models   []string
}

// List is what the platform told last. It is soft state under a duty's term: a higher (Term, Number) replaces a lower
// one. It is never changed once it is shared.
type List struct {
	Term   int64 // the epoch of the view whose head asked
	Number int64
	Hosts  []Host
}

// Newer tells whether l replaces other.
func (l *List) Newer(other *List) bool {
	return other == nil || l.Term > other.Term || l.Term == other.Term && l.Number > other.Number
}

// NextNumber is that of the next list under a term. A holder that dies and starts again within its term knows nothing of the
// lists that it spread before: those of each life are numbered above all of the lives before it.
func NextNumber(term, life int64, last *List) int64 {
	number := life << 32
	if last != nil && last.Term == term {
		number = max(number, last.Number)
	}
	return number + 1
}
