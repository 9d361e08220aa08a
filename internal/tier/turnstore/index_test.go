package turnstore

import (
	"slices"
	"testing"
	"time"

	"larchrouter/internal/tier/budget"
)

// Times are seconds after the start of a virtual clock.
func at(s int) time.Time { return time.Unix(0, 0).Add(time.Duration(s) * time.Second) }

func TestTurnsAreRetainedForLongestRequest(t *testing.T) {
	const margin = int(retainMargin / time.Second)
	row := indexRow{Root: true, RetainSeconds: 30}
	for _, c := range []struct {
		name string
		do   func(ix *index)
		last int // last second at which turn a is retained
	}{
		{"ended at 0", func(*index) {}, 29 + margin},
		{"another turn at 20", func(ix *index) { ix.addTurn("p", "b", row, -1, at(20)) }, 49 + margin},
		{"fetched at 1 from a peer that retains it for 5 s", func(ix *index) {
			ix.addTurn("p", "b", row,
				5*time.Second, at(1))
		}, 29 + margin},
		{"fetched at 1 from a peer that retains it for 90 s", func(ix *index) {
			ix.addTurn("p", "b", row,
				90*time.Second, at(1))
		}, 90},
		{"continued from at 40", func(ix *index) { ix.extendRetention("p", at(40)) }, 69 + margin},
		{"a turn with a longer retention time at 1", func(ix *index) {
			ix.addTurn("p", "b", indexRow{Root: true,
				RetainSeconds: 60}, -1, at(1))
		}, 60 + margin},
		{"another program's turn at 20", func(ix *index) { ix.addTurn("q", "b", row, -1, at(20)) }, 29 + margin},
		{"a turn open since 10", func(ix *index) { ix.joinEntry("p", budget.Entry{Turn: "b", Tokens: 1}, at(10)) },
			9 + int(openTurnRetention/time.Second)},
		{"a turn settled without a record", func(ix *index) {
			ix.joinEntry("p", budget.Entry{Turn: "b", Tokens: 1}, at(10))
			ix.joinEntry("p", budget.Entry{Turn: "b", Settled: true}, at(11))
		}, 29 + margin},
	} {
		ix := newIndex()
		ix.expiredRotatedAt = at(0)
		ix.addTurn("p", "a", row, -1, at(0))
		c.do(ix)
		ix.expireTurns(at(c.last), 100)
		if ix.findTurn("p", "a") == nil {
			t.Errorf("%s: expired by %d", c.name, c.last)
		}
		ix.expireTurns(at(c.last+1), 100)
		if ix.findTurn("p", "a") != nil {
			t.Errorf("%s: retained at %d", c.name, c.last+1)
		}
	}
}

func TestChainEndsAtRootOrMissingTurn(t *testing.T) {
	ix := newIndex()
	for _, r := range []struct{ key, id, previous string }{{"p", "a", ""}, {"p", "b", "a"}, {"p", "c", "b"}, {"p",
		"f", "b"}, {"p", "y", "x"}, {"p", "z", "y"}, {"q", "o", "c"}} {
		ix.addTurn(r.key, r.id, indexRow{Previous: r.previous, Root: r.previous == "", RetainSeconds: 30}, -1, at(0))
	}
	for _, c := range []struct {
		key, id string
		want    []string
		missing string
	}{{"p", "c", []string{"a", "b", "c"}, ""}, {"p", "f", []string{"a", "b", "f"}, ""}, {"p", "z", []string{"y",
		"z"}, "x"}, {"q", "o", []string{"o"}, "c"}} {
		if ids, missing := ix.chain(ix.findTurn(c.key, c.id)); !slices.Equal(ids, c.want) || missing != c.missing {
			t.Errorf("%s: %v, missing %q", c.id, ids, missing)
		}
	}
	if ix.findTurn("p", "o") != nil || ix.findTurn("", "o") == nil {
		t.Error("a turn is found under the key of another program, or not found without a key")
	}
}

func TestLedgersAreBoundedAndNotRefetched(t *testing.T) {
	ix := newIndex()
	ix.expiredRotatedAt = at(0)
	ix.joinEntry("old", budget.Entry{Turn: "a", Tokens: 1}, at(0))
	ix.joinEntry("new", budget.Entry{Turn: "a", Tokens: 1}, at(600))
	if out := ix.dropLedgers(at(600), 100); len(out) != 0 {
		t.Fatalf("%d dropped with capacity left", len(out))
	}
	ix.entries = maxLedgerEntries // at the bound
	if ix.hasCapacity() {
		t.Fatal("accepts entries beyond its bound")
	}
	if out := ix.dropLedgers(at(600), 100); len(out) != 1 || out[0].key != "old" || ix.entries != maxLedgerEntries-1 {
		t.Fatalf("dropped %v", out)
	}
	if ix.needsFetch(keyDigest{Key: "old", LedgerDigest: 1}) || !ix.needsFetch(keyDigest{Key: "other", LedgerDigest: 1}) {
		t.Fatal("a dropped ledger is fetched again, or an unknown one is not")
	}
}
