package discovery

import "testing"

func TestNewerComparesTermThenNumber(t *testing.T) {
	for name, test := range map[string]struct {
		a, b  List
		newer bool
	}{
		"higher term":              {List{Term: 2, Number: 1}, List{Term: 1, Number: 9}, true},
		"lower term":               {List{Term: 1, Number: 9}, List{Term: 2, Number: 1}, false},
		"same term, higher number": {List{Term: 2, Number: 2}, List{Term: 2, Number: 1}, true},
		"the same list":            {List{Term: 2, Number: 2}, List{Term: 2, Number: 2}, false},
	} {
		if test.a.Newer(&test.b) != test.newer {
			t.Errorf("%s: newer is %v", name, !test.newer)
		}
	}
	if !(&List{}).Newer(nil) {
		t.Error("a list is not newer than nil")
	}
}

func TestListsOfNextIncarnationAreNewer(t *testing.T) {
	var seen, last *List // the newest list of a follower, and of the node that fetches
	for _, incarnation := range []int64{1, 1, 1, 1, 2, 2, 3} {
		if last != nil && last.Number>>incarnationShift != incarnation {
			last = nil // the node has restarted
		}
		next := &List{Term: 7, Number: NextNumber(7, incarnation, last)}
		if !next.Newer(seen) {
			t.Fatalf("incarnation %d: list %d is not newer than %d", incarnation, next.Number, seen.Number)
		}
		seen, last = next, next
	}
	if next := (&List{Term: 8, Number: NextNumber(8, 1, seen)}); !next.Newer(seen) {
		t.Fatal("the first list of a newer term is not newer")
	}
}
