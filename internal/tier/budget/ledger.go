// Package budget is a grow-only ledger of token budgets: a state-based replicated set (CRDT) of the turns of one program, each
// reserved at its most and later settled at what was handed out. It is pure; copies in any order join to the same ledger.
package budget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is one turn: open at its most, or settled at what was used.
type Entry struct {
	Turn    string
	Tokens  int
	Settled bool
}

// Join gives what two copies of one turn's entry say together: settled wins over open, of two alike the larger.
func (entry Entry) Join(other Entry) Entry {
	if entry.Settled != other.Settled {
		if other.Settled {
			return other
		}
		return entry
	}
	entry.Tokens = max(entry.Tokens, other.Tokens)
	return entry
}

func (entry Entry) hash() uint64 {
	n := uint64(entry.Tokens) << 1
	if entry.Settled {
		n |= 1
	}
	// Mixed, so that exclusive or over entries tells ledgers apart.
	h := xxhash.Sum64String(entry.Turn) + n*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// Ledger is that of one program. The zero value is empty. It is not safe for concurrent use.
type Ledger struct {
	entries []Entry // by turn
	sum     int
	unsettled    int
	digest  uint64
}

// Add joins one entry in and gives what the turn's entry is then.
func (l *Ledger) Add(e Entry) (now Entry, changed bool) {
	i, found := slices.BinarySearchFunc(l.entries, e.Turn, func(a Entry, t string) int { return cmp.Compare(a.Turn, t) })
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

func (l *Ledger) account(e Entry, sign int) {
	l.sum += sign * e.Tokens
	if !e.Settled {
		l.unsettled += sign
	}
	l.digest ^= e.hash()
}

// Merge joins entries in that are ordered by turn, as Entries gives them.
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
	merged := make([]Entry, 0, len(l.entries)+len(other))
	i := 0
	for _, e := range other {
		for i < len(l.entries) && l.entries[i].Turn < e.Turn {
			merged = append(merged, l.entries[i])
			i++
		}
		if i < len(l.entries) && l.entries[i].Turn == e.Turn {
			e = l.entries[i].Join(e)
			i++
		}
		if n := len(merged); n > 0 && merged[n-1].Turn == e.Turn {
			merged[n-1] = merged[n-1].Join(e)
			continue
		}
		merged = append(merged, e)
	}
	merged = append(merged, l.entries[i:]...)
	*l = Ledger{entries: merged}
	for _, e := range merged {
		l.account(e, 1)
	}
}

// Entries are all entries ordered by turn; the slice stays the ledger's.
func (l *Ledger) Entries() []Entry { return l.entries }

// Get gives the entry of a turn.
func (l *Ledger) Get(turn string) (Entry, bool) {
	i, found := slices.BinarySearchFunc(l.entries, turn, func(a Entry, t string) int { return cmp.Compare(a.Turn, t) })
	if !found {
		return Entry{}, false
	}
	return l.entries[i], true
}

// Len is how many turns the ledger has.
func (l *Ledger) Len() int { return len(l.entries) }

// Open is how many turns are not settled.
func (l *Ledger) Open() int { return l.unsettled }

// Sum is what is spent at most: settled turns at what they used, open ones at their most.
func (l *Ledger) Sum() int { return l.sum }

// Fits tells whether all turns together keep within a budget.
func (l *Ledger) Fits(budget int) bool { return l.sum <= budget }

// Digest tells ledgers apart that differ; equal ledgers have the same.
func (l *Ledger) Digest() uint64 { return l.digest }
