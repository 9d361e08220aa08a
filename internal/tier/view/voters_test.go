package view

import (
	"testing"
)

func TestChooseViewChangesAtMostOneVoter(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	replaced := Member{ID: "b2", Name: "machine-b", Addr: "addr-elsewhere"}
	sameAddr := Member{ID: "c2", Name: "machine-c", Addr: "addr-c"}
	two := promisesAt(2, "a", "c")
	three := promisesAt(2, "a", "b", "c")
	for name, test := range map[string]struct {
		promises []Promise
		c        Conditions
		voters   []string
	}{
		"another identity of a machine": {two, Conditions{Applicants: []Member{replaced}}, []string{"a", "b2", "c"}},
		"the identity before is alive":  {three, Conditions{Applicants: []Member{replaced}, Alive: set("b")}, []string{"a", "b", "c"}},
		"another identity at one address, that before seems alive": {
			three, Conditions{Applicants: []Member{sameAddr}, Alive: set("a", "b", "c")}, []string{"a", "b", "c2"}},
		"two identities, one at a time": {three, Conditions{Applicants: []Member{replaced, sameAddr}}, []string{"a", "b2", "c"}},
		"an own identity goes before one that is gone": {
			three, Conditions{Applicants: []Member{member("d"), sameAddr}, Failed: set("b")}, []string{"a", "b", "c2"}},
		"the place of one that is gone":   {two, Conditions{Applicants: members("d", "e"), Failed: set("b")}, []string{"a", "d", "c"}},
		"nobody for the one that is gone": {two, Conditions{Failed: set("b")}, []string{"a", "b", "c"}},
		"not caught up":                   {three, Conditions{Applicants: members("d")}, []string{"a", "b", "c"}},
		"caught up": {
			three, Conditions{Applicants: members("d", "e", "f"), CaughtUp: set("e", "f")}, []string{"a", "b", "c", "e"}},
		"caught up, somebody is suspected": {
			three, Conditions{Applicants: members("d"), CaughtUp: set("d"), Suspected: set("b")}, []string{"a", "b", "c"}},
	} {
		test.c.FaultTolerance = 1
		next, ok := ChooseView(&current, test.promises, test.c)
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, voterIDs(next), test.voters...)
	}
	wantIDs(t, "the view before is not changed", voterIDs(current), "a", "b", "c")
}

func TestChooseViewRemovesVoterOnlyAboveFaultTolerance(t *testing.T) {
	four := View{Epoch: 2, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "a", "b", "c")}
	three := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	all := promisesAt(2, "a", "b", "c", "d")
	for name, test := range map[string]struct {
		current  *View
		promises []Promise
		c        Conditions
		voters   []string
	}{
		"one that is gone":              {&four, all[:3], Conditions{Failed: set("d")}, []string{"a", "b", "c"}},
		"one that leaves":               {&four, all, Conditions{Leaving: set("b")}, []string{"a", "c", "d"}},
		"gone before leaving":           {&four, all[:3], Conditions{Failed: set("d"), Leaving: set("a")}, []string{"a", "b", "c"}},
		"one at a time":                 {&four, all[:3], Conditions{Failed: set("c", "d")}, []string{"a", "b", "c"}},
		"it stays in the chain":         {&four, all[:3], Conditions{Leaving: set("a", "b"), Failed: set("x")}, []string{"a", "b", "c", "d"}},
		"no more voters than needed":    {&three, all[:3], Conditions{Leaving: set("b"), Failed: set("c")}, []string{"a", "b", "c"}},
		"an admission goes before":      {&four, all[:3], Conditions{Failed: set("d"), Applicants: members("e")}, []string{"a", "b", "c", "e"}},
		"nobody is gone, nobody leaves": {&four, all, Conditions{}, []string{"a", "b", "c", "d"}},
	} {
		test.c.FaultTolerance = 1
		next, ok := ChooseView(test.current, test.promises, test.c)
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, voterIDs(next), test.voters...)
	}
}

func TestCanAdmitAndCanReplace(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c")}
	replaced := Member{ID: "b2", Name: "machine-b", Addr: "addr-elsewhere"}
	if CanReplace(&current, Conditions{Failed: set("a")}) || !CanReplace(&current, Conditions{Failed: set("a"), Applicants: members("d")}) {
		t.Error("the place of one that is gone")
	}
	dead := Conditions{Applicants: []Member{replaced}}
	alive := Conditions{Applicants: []Member{replaced}, Alive: set("b")}
	if !CanReplace(&current, dead) || CanReplace(&current, alive) {
		t.Error("another identity of one machine")
	}
	if CanAdmit(&current, Conditions{Applicants: members("d")}) || !CanAdmit(&current, Conditions{Applicants: members("d"), CaughtUp: set("d")}) {
		t.Error("one that has caught up")
	}
	if CanAdmit(&current, Conditions{Applicants: members("d"), CaughtUp: set("d"), Suspected: set("c")}) {
		t.Error("admissible while one is silent")
	}
}
