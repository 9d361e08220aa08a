// Package budget implements the grow-only ledger of a program's token budget: a state-based CRDT that maps each turn
// of one program to its reservation or, once the turn has ended, to its settlement.
//
// Merging is commutative, associative and idempotent, so that replicas which receive the same entries in any order,
// and more than once, converge to the same ledger. The package is pure: no I/O, no clock, no goroutines.
package budget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is the budget entry of one turn.
type Entry struct {
	Turn    string // identifier of the turn
	Tokens  int    // reserved at most while open, used once settled
	Settled bool   // whether the turn has ended and Tokens is final
}

// Join returns the least upper bound of two entries of the same turn: a settled entry supersedes an open one, and of
// two entries in the same state the one with more tokens wins.
func (e Entry) Join(other Entry) Entry {
	if e.Settled != other.Settled {
		if other.Settled {
			return other
		}
		return e
	}
	e.Tokens = max(e.Tokens, other.Tokens)
	return e
}

func (e Entry) hash() uint64 {
	n := uint64(e.Tokens) << 1
	if e.Settled {
		n |= 1
	}
	// The mixing makes the exclusive or over all entries depend on each of them.
	h := xxhash.Sum64String(e.Turn) + n*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// Ledger is the set of entries of one program. The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	entries   []Entry // ordered by turn, one entry a turn
	sum       int     // of the entries' tokens
	unsettled int     // entries that are not settled
	digest    uint64  // exclusive or of the entries' hashes
}

// Add joins an entry into the ledger. It returns the resulting entry of the turn and whether the ledger changed.
func (l *Ledger) Add(e Entry) (now Entry, changed bool) {
	i, found := l.search(e.Turn)
	if !found {
		l.entries = slices.Insert(l.entries, i, e)
		l.account(e, 1)
		return e, true
	}
	previous := l.entries[i]
	now = previous.Join(e)
	if now == previous {
		return now, false
	}
	l.account(previous, -1)
	l.account(now, 1)
	l.entries[i] = now
	return now, true
}

// search returns the index of a turn's entry, or the index at which it would be inserted.
func (l *Ledger) search(turn string) (i int, found bool) {
	return slices.BinarySearchFunc(l.entries, turn, func(e Entry, turn string) int { return cmp.Compare(e.Turn, turn) })
}

// account adds an entry to the derived fields (sign 1) or removes it from them (sign -1).
func (l *Ledger) account(e Entry, sign int) {
	l.sum += sign * e.Tokens
	if !e.Settled {
		l.unsettled += sign
	}
	l.digest ^= e.hash()
}

// Merge joins a list of entries into the ledger. A list in the order of Entries is merged in linear time; any other
// order is correct as well.
func (l *Ledger) Merge(other []Entry) {
	if len(other) == 0 || slices.Equal(l.entries, other) {
		return
	}
	if !slices.IsSortedFunc(other, func(a, b Entry) int { return cmp.Compare(a.Turn, b.Turn) }) {
		for _, e := range other {
			l.Add(e)
		}
		return
	}
	merged := mergeSorted(l.entries, other)
	*l = Ledger{entries: merged}
	for _, e := range merged {
		l.account(e, 1)
	}
}

// mergeSorted joins two lists that are ordered by turn; other may have several entries of a turn.
func mergeSorted(entries, other []Entry) []Entry {
	merged := make([]Entry, 0, len(entries)+len(other))
	i := 0
	for _, e := range other {
		for i < len(entries) && entries[i].Turn < e.Turn {
			merged = append(merged, entries[i])
			i++
		}
		if i < len(entries) && entries[i].Turn == e.Turn {
			e = entries[i].Join(e)
			i++
		}
		if n := len(merged); n > 0 && merged[n-1].Turn == e.Turn {
			merged[n-1] = merged[n-1].Join(e)
			continue
		}
		merged = append(merged, e)
	}
	return append(merged, entries[i:]...)
}

// Entries returns all entries, ordered by turn. The slice belongs to the ledger: callers must not modify it, and it is
// valid until the next Add or Merge.
func (l *Ledger) Entries() []Entry { return l.entries }

// Get returns the entry of a turn.
func (l *Ledger) Get(turn string) (Entry, bool) {
	i, found := l.search(turn)
	if !found {
		return Entry{}, false
	}
	return l.entries[i], true
}

// Len returns the number of turns in the ledger.
func (l *Ledger) Len() int { return len(l.entries) }

// Open returns the number of turns that are not settled.
func (l *Ledger) Open() int { return l.unsettled }

// Sum returns an upper bound of the tokens spent: settled turns count what they used, open turns what they reserved.
func (l *Ledger) Sum() int { return l.sum }

// Fits reports whether Sum is within a budget.
func (l *Ledger) Fits(budget int) bool { return l.sum <= budget }

// Digest returns a hash of the entries: equal ledgers have equal digests, different ledgers differ with high probability.
func (l *Ledger) Digest() uint64 { return l.digest }
