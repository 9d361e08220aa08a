package view

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// world is a model of nodes that agree on views, replicate entries along the chain of the view that each knows, and lose
// any message. A step draws what arrives; the ghost variables check what must hold.
type world struct {
	pick      func(n int) int // below n
	faults    faults
	losses    int
	nodes     []*node
	proposals []*proposal
	round     int64

	// ghosts
	decided   map[int64]View
	accepts   map[string]map[string]bool // by epoch and ballot: who accepted
	committed []int
	entries   int
	err       error
}

// faults are seams for planted faults; the zero value is the program.
type faults struct {
	promises func([]Promise) []Promise
	chosen   func(*View, View, Conditions) View
	forgets  bool // an acceptor does not keep its promise
}

type node struct {
	Member
	acceptor  Acceptor
	activated int64
	log       []int
}

type proposal struct {
	by       *node
	now      View
	ballot   Ballot
	promises map[string]Promise
	view     View // once chosen
}

func newWorld(pick func(int) int, f faults) *world {
	w := &world{pick: pick, faults: f, decided: map[int64]View{}, accepts: map[string]map[string]bool{}}
	founders := 3 + pick(3)
	w.losses = pick(2)
	first := View{Epoch: 1}
	for i := range 6 {
		for _, life := range []string{"a", "b"} {
			name := fmt.Sprint("m", i)
			w.nodes = append(w.nodes, &node{Member: Member{ID: name + life, Name: name, Addr: name}})
		}
	}
	for i := range founders {
		m := w.nodes[2*i].Member
		first.Voters = append(first.Voters, m)
		first.Chain = append(first.Chain, ChainMember{m.ID, 1})
	}
	w.decided[1] = first
	for i := range founders {
		w.nodes[2*i].activated = 1
		w.nodes[2*i].acceptor.Adopt(first)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *world) node(id string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.ID == id })]
}

func (w *world) some(ids ...string) map[string]bool {
	all := map[string]bool{}
	for _, id := range ids {
		if w.pick(3) == 0 {
			all[id] = true
		}
	}
	return all
}

func (w *world) step() {
	switch w.pick(6) {
	case 0:
		w.adopt()
	case 1, 2:
		w.replicate()
	case 3:
		w.propose()
	case 4:
		w.prepare()
	case 5:
		w.accept()
	}
}

// adopt has some nodes hear of a decided view: mostly the newest.
func (w *world) adopt() {
	epoch := int64(len(w.decided)) - int64(w.pick(5)/4)
	v, ok := w.decided[epoch]
	if !ok {
		return
	}
	for _, n := range w.nodes {
		if w.pick(4) == 0 || !n.acceptor.Adopt(v) {
			continue
		}
		if v.Head() == n.ID && n.activated >= v.Chain[0].JoinedEpoch {
			n.activated = v.Epoch
			w.stored(n)
		}
	}
}

func (w *world) active(n *node) bool {
	v := &n.acceptor.View
	return v.Position(n.ID) >= 0 && n.activated == v.Epoch && !n.acceptor.HasPromised()
}

// replicate appends at a head, and brings the state of a member to its successor.
func (w *world) replicate() {
	for _, n := range w.nodes {
		if !w.active(n) || w.pick(4) == 0 {
			continue
		}
		v := &n.acceptor.View
		if v.Head() == n.ID {
			w.entries++
			n.log = append(slices.Clip(n.log), w.entries)
			w.stored(n)
		}
		if next := v.Successor(n.ID); next != "" && w.pick(3) > 0 {
			to := w.node(next)
			if to.acceptor.View.Epoch == v.Epoch && !to.acceptor.HasPromised() {
				to.log, to.activated = n.log, v.Epoch
				w.stored(to)
			}
		}
	}
}

// stored commits what a tail has on disk.
func (w *world) stored(n *node) {
	v := &n.acceptor.View
	if v.Tail() != n.ID || n.activated != v.Epoch {
		return
	}
	if len(n.log) < len(w.committed) && slices.Equal(n.log, w.committed[:len(n.log)]) {
		return // it commits nothing new: an older tail that does not know yet
	}
	if !holds(n.log, w.committed) {
		w.fail("committed %v in epoch %d, after %v", n.log, v.Epoch, w.committed)
		return
	}
	w.committed = n.log
}

func holds(log, committed []int) bool {
	return len(log) >= len(committed) && slices.Equal(log[:len(committed)], committed)
}

func (w *world) propose() {
	n := w.nodes[w.pick(len(w.nodes))]
	for range 8 { // mostly one that knows the newest view
		if n.acceptor.View.Epoch == int64(len(w.decided)) && n.acceptor.View.IsVoter(n.ID) {
			break
		}
		n = w.nodes[w.pick(len(w.nodes))]
	}
	if n.acceptor.View.Epoch == 0 || !n.acceptor.View.IsVoter(n.ID) {
		return
	}
	w.round += int64(w.pick(2)) // two may have one round
	p := &proposal{by: n, now: n.acceptor.View, ballot: Ballot{w.round + 1, n.ID}, promises: map[string]Promise{}}
	for _, o := range w.proposals { // one proposer never uses a ballot twice
		if o.by == n && o.ballot == p.ballot {
			w.round++
			p.ballot.Number++
		}
	}
	w.proposals = append(w.proposals, p)
}

// recent is one of the proposals that were made last.
func (w *world) recent() *proposal {
	if len(w.proposals) == 0 {
		return nil
	}
	return w.proposals[len(w.proposals)-1-w.pick(min(3, len(w.proposals)))]
}

func (w *world) prepare() {
	p := w.recent()
	if p == nil || p.view.Epoch > 0 {
		return
	}
	for _, m := range p.now.Voters {
		a := &w.node(m.ID).acceptor
		if w.pick(4) == 0 || !a.Prepare(p.now.Epoch+1, p.ballot) {
			continue
		}
		answer := Promise{From: m, AcceptedAt: a.AcceptedAt, Accepted: a.Accepted, ActivatedEpoch: w.node(m.ID).activated}
		if w.faults.forgets {
			a.Promised = Ballot{}
		}
		if w.pick(4) > 0 {
			p.promises[m.ID] = answer
		}
	}
	w.choose(p)
}

func (w *world) choose(p *proposal) {
	var promises []Promise
	for _, m := range p.now.Voters {
		if one, has := p.promises[m.ID]; has {
			promises = append(promises, one)
		}
	}
	if w.faults.promises != nil {
		promises = w.faults.promises(promises)
	}
	c := w.conditions(&p.now)
	next, ok := ChooseView(&p.now, promises, c)
	if !ok {
		return
	}
	if w.faults.chosen != nil {
		next = w.faults.chosen(&p.now, next, c)
	}
	p.view = next
}

// conditions are drawn without regard to what is so: what is safe must not rest on them.
func (w *world) conditions(now *View) Conditions {
	var ids, voters []string
	var applicants []Member
	for _, n := range w.nodes {
		ids = append(ids, n.ID)
		if now.IsVoter(n.ID) {
			voters = append(voters, n.ID)
		} else if w.pick(8) == 0 {
			applicants = append(applicants, n.Member)
		}
	}
	c := Conditions{FaultTolerance: w.losses, Applicants: applicants, CaughtUp: w.some(ids...), Failed: w.some(voters...), Alive: map[string]bool{}}
	for _, id := range ids {
		c.Alive[id] = !c.Failed[id]
	}
	if w.pick(2) == 0 {
		c.Suspected = w.some(voters...)
	}
	if w.pick(2) == 0 {
		c.Leaving = w.some(voters...)
	}
	return c
}

func (w *world) accept() {
	p := w.recent()
	if p == nil || p.view.Epoch == 0 {
		return
	}
	key := fmt.Sprint(p.view.Epoch, p.ballot)
	if w.accepts[key] == nil {
		w.accepts[key] = map[string]bool{}
	}
	for _, m := range p.now.Voters {
		if w.pick(3) > 0 && w.node(m.ID).acceptor.Accept(p.ballot, p.view) {
			w.accepts[key][m.ID] = true
		}
	}
	if len(w.accepts[key]) >= p.now.Majority() {
		w.decide(p)
	}
}

// decide checks a view that a majority has accepted.
func (w *world) decide(p *proposal) {
	if other, has := w.decided[p.view.Epoch]; has {
		if !reflect.DeepEqual(other, p.view) {
			w.fail("two views decided in epoch %d: %v and %v", p.view.Epoch, other, p.view)
		}
		return
	}
	w.decided[p.view.Epoch] = p.view
	if len(p.view.Chain) == 0 {
		w.fail("empty chain in epoch %d", p.view.Epoch)
		return
	}
	if !holds(w.node(p.view.Head()).log, w.committed) {
		w.fail("head of epoch %d lacks what was committed", p.view.Epoch)
	}
	added, removed := difference(p.view.Voters, p.now.Voters), difference(p.now.Voters, p.view.Voters)
	if added > 1 || removed > 1 {
		w.fail("voters changed by more than one: %v to %v", p.now.Voters, p.view.Voters)
	}
	for _, l := range p.view.Chain {
		if !p.view.IsVoter(l.ID) {
			w.fail("%s is in the chain without a vote", l.ID)
		}
	}
}

func difference(of, without []Member) (n int) {
	for _, m := range of {
		if !slices.Contains(without, m) {
			n++
		}
	}
	return n
}

const courseSteps = 300

// course runs a world until something does not hold.
func course(w *world) error {
	for range courseSteps {
		if w.step(); w.err != nil {
			return w.err
		}
	}
	return nil
}

func seeded(seed uint64, f faults) *world {
	return newWorld(rand.New(rand.NewPCG(seed, 0)).IntN, f)
}

func TestViewsAreSafeUnderDrawnCourses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := course(seeded(seed, faults{})); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCoursesGoSomewhere holds the courses to decide views, commit entries and change voters: else they would show nothing.
func TestCoursesGoSomewhere(t *testing.T) {
	var views, committed, voters int
	for seed := range uint64(50) {
		w := seeded(seed, faults{})
		if err := course(w); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		views += len(w.decided) - 1
		committed += len(w.committed)
		last, first := w.decided[int64(len(w.decided))], w.decided[1]
		voters += difference(last.Voters, first.Voters)
	}
	t.Logf("50 courses: %d views, %d committed entries, %d new voters", views, committed, voters)
	if views < 100 || committed < 500 || voters < 50 {
		t.Error("courses do too little")
	}
}
