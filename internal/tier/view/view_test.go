package view

import (
	"testing"
)

func TestViewPositions(t *testing.T) {
	v := View{Epoch: 4, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "b", "a", "d")}
	if v.Majority() != 3 || v.Head() != "b" || v.Tail() != "d" {
		t.Error("wrong majority, head or tail:", v.Majority(), v.Head(), v.Tail())
	}
	if v.Successor("b") != "a" || v.Successor("d") != "" || v.Successor("c") != "" ||
		v.Predecessor("b") != "" || v.Predecessor("d") != "a" || v.Predecessor("c") != "" {
		t.Error("wrong successors or predecessors")
	}
	if m, ok := v.Member("c"); !ok || m != member("c") || !v.IsVoter("c") || v.IsVoter("e") || v.Position("c") >= 0 {
		t.Error("membership")
	}
	if _, ok := v.Member("e"); ok {
		t.Error("found a member that does not exist")
	}
	empty := View{}
	if empty.Head() != "" || empty.Tail() != "" || empty.Successor("a") != "" {
		t.Error("an empty chain must have no head, tail or successor")
	}
}
