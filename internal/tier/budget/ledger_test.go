package budget

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawEntries(t *rapid.T, label string) []Entry {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
		return Entry{Turn: rapid.SampledFrom([]string{"a", "b", "c", "dd", ""}).Draw(t, "turn"),
			Tokens: rapid.IntRange(0, 5).Draw(t, "tokens"), Settled: rapid.Bool().Draw(t, "settled")}
	}), 0, 12).Draw(t, label)
}

func ledgerOf(lists ...[]Entry) *Ledger {
	l := new(Ledger)
	for _, list := range lists {
		for _, e := range list {
			l.Add(e)
		}
	}
	return l
}

func requireEqual(t *rapid.T, what string, a, b *Ledger) {
	if !slices.Equal(a.Entries(), b.Entries()) || a.Sum() != b.Sum() || a.Open() != b.Open() || a.Digest() != b.Digest() {
		t.Fatalf("%s: %+v and %+v", what, a, b)
	}
}

// Merging is a join, whether entries are merged in order, one by one, or unordered with duplicates.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntries(t, "a"), drawEntries(t, "b"), drawEntries(t, "c")
		merge := func(to *Ledger, from *Ledger) *Ledger { to.Merge(from.Entries()); return to }
		requireEqual(t, "commutative", merge(ledgerOf(a), ledgerOf(b)), merge(ledgerOf(b), ledgerOf(a)))
		requireEqual(t, "associative",
			merge(merge(ledgerOf(a), ledgerOf(b)), ledgerOf(c)), merge(ledgerOf(a), merge(ledgerOf(b), ledgerOf(c))))
		requireEqual(t, "idempotent", merge(ledgerOf(a), ledgerOf(a)), ledgerOf(a))
		requireEqual(t, "repeated merge", merge(merge(ledgerOf(a), ledgerOf(b)), ledgerOf(b)), merge(ledgerOf(a), ledgerOf(b)))
		requireEqual(t, "one by one", merge(ledgerOf(a), ledgerOf(b)), ledgerOf(a, b))
		unordered := ledgerOf(a)
		unordered.Merge(b) // unordered, with several entries of a turn
		requireEqual(t, "unordered", unordered, ledgerOf(a, b))
	})
}

func TestSumCountsSettledTurnsAtUsageAndOpenTurnsAtReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawEntries(t, "entries")
		l := ledgerOf(list)
		want := 0
		for _, id := range []string{"a", "b", "c", "dd", ""} {
			reserved, used, settled := 0, 0, false
			for _, e := range list {
				switch {
				case e.Turn != id:
				case e.Settled:
					settled, used = true, max(used, e.Tokens)
				default:
					reserved = max(reserved, e.Tokens)
				}
			}
			tokens := reserved
			if settled {
				tokens = used
			}
			want += tokens
			if e, ok := l.Get(id); ok && (e.Tokens != tokens || e.Settled != settled) {
				t.Fatalf("turn %q: %+v, want %d %v", id, e, tokens, settled)
			}
		}
		if l.Sum() != want || !l.Fits(want) || l.Fits(want-1) {
			t.Fatalf("sum %d, want %d", l.Sum(), want)
		}
	})
}

func TestDigestsDifferExactlyWhereLedgersDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := ledgerOf(drawEntries(t, "a")), ledgerOf(drawEntries(t, "b"))
		if equal := slices.Equal(a.Entries(), b.Entries()); equal != (a.Digest() == b.Digest()) {
			t.Fatalf("%+v and %+v: equal %v", a, b, equal)
		}
	})
}
