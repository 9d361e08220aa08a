package view

import (
	"testing"
)

func TestChooseViewChangesAtMostOneVoter(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	newIdentity := Member{ID: "b2", Name: "machine-b", Addr: "addr-elsewhere"}
	sameAddr := Member{ID: "c2", Name: "machine-c", Addr: "addr-c"}
	two := promisesAt(2, "a", "c")
	three := promisesAt(2, "a", "b", "c")
	for name, test := range map[string]struct {
		promises   []Promise
		conditions Conditions
		voters     []string
	}{
		"new identity of a machine": {two, Conditions{Applicants: []Member{newIdentity}}, []string{"a", "b2", "c"}},
		"the former identity is alive": {
			three, Conditions{Applicants: []Member{newIdentity}, Alive: set("b")}, []string{"a", "b", "c"}},
		"new identity at the same address, the former seems alive": {
			three, Conditions{Applicants: []Member{sameAddr}, Alive: set("a", "b", "c")}, []string{"a", "b", "c2"}},
		"two new identities, one at a time": {three, Conditions{Applicants: []Member{newIdentity, sameAddr}}, []string{"a", "b2", "c"}},
		"own former identity before a failed voter": {
			three, Conditions{Applicants: []Member{member("d"), sameAddr}, Failed: set("b")}, []string{"a", "b", "c2"}},
		"replacement of a failed voter":   {two, Conditions{Applicants: members("d", "e"), Failed: set("b")}, []string{"a", "d", "c"}},
		"no applicant for a failed voter": {two, Conditions{Failed: set("b")}, []string{"a", "b", "c"}},
		"not caught up":                   {three, Conditions{Applicants: members("d")}, []string{"a", "b", "c"}},
		"caught up": {
			three, Conditions{Applicants: members("d", "e", "f"), CaughtUp: set("e", "f")}, []string{"a", "b", "c", "e"}},
		"caught up, a voter is suspected": {
			three, Conditions{Applicants: members("d"), CaughtUp: set("d"), Suspected: set("b")}, []string{"a", "b", "c"}},
	} {
		test.conditions.FaultTolerance = 1
		next, ok := ChooseView(&current, test.promises, test.conditions)
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, voterIDs(next), test.voters...)
	}
	wantIDs(t, "the current view is not modified", voterIDs(current), "a", "b", "c")
}

func TestChooseViewRemovesVoterOnlyAboveFaultTolerance(t *testing.T) {
	four := View{Epoch: 2, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "a", "b", "c")}
	three := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	all := promisesAt(2, "a", "b", "c", "d")
	for name, test := range map[string]struct {
		current    *View
		promises   []Promise
		conditions Conditions
		voters     []string
	}{
		"a failed voter":        {&four, all[:3], Conditions{Failed: set("d")}, []string{"a", "b", "c"}},
		"a leaving voter":       {&four, all, Conditions{Leaving: set("b")}, []string{"a", "c", "d"}},
		"failed before leaving": {&four, all[:3], Conditions{Failed: set("d"), Leaving: set("a")}, []string{"a", "b", "c"}},
		"one at a time":         {&four, all[:3], Conditions{Failed: set("c", "d")}, []string{"a", "b", "c"}},
		"still in the chain": {
			&four, all[:3], Conditions{Leaving: set("a", "b"), Failed: set("x")}, []string{"a", "b", "c", "d"}},
		"no more voters than needed": {&three, all[:3], Conditions{Leaving: set("b"), Failed: set("c")}, []string{"a", "b", "c"}},
		"an applicant is admitted first": {
			&four, all[:3], Conditions{Failed: set("d"), Applicants: members("e")}, []string{"a", "b", "c", "e"}},
		"none failed, none is leaving": {&four, all, Conditions{}, []string{"a", "b", "c", "d"}},
	} {
		test.conditions.FaultTolerance = 1
		next, ok := ChooseView(test.current, test.promises, test.conditions)
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, voterIDs(next), test.voters...)
	}
}

func TestCanAdmitAndCanReplace(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c")}
	newIdentity := Member{ID: "b2", Name: "machine-b", Addr: "addr-elsewhere"}
	if CanReplace(&current, Conditions{Failed: set("a")}) ||
		!CanReplace(&current, Conditions{Failed: set("a"), Applicants: members("d")}) {
		t.Error("a failed voter must be replaceable, and only by an applicant")
	}
	dead := Conditions{Applicants: []Member{newIdentity}}
	alive := Conditions{Applicants: []Member{newIdentity}, Alive: set("b")}
	if !CanReplace(&current, dead) || CanReplace(&current, alive) {
		t.Error("an applicant must replace its former identity only if that is not alive")
	}
	if CanAdmit(&current, Conditions{Applicants: members("d")}) ||
		!CanAdmit(&current, Conditions{Applicants: members("d"), CaughtUp: set("d")}) {
		t.Error("an applicant must be admitted only once it has caught up")
	}
	if CanAdmit(&current, Conditions{Applicants: members("d"), CaughtUp: set("d"), Suspected: set("c")}) {
		t.Error("admitted while a voter is suspected")
	}
}
