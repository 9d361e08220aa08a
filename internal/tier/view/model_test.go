package view

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulation is a model of nodes that decide views and replicate entries along the chain of the view that each knows, while any
// message may be lost. Each step chooses at random which messages arrive. The ghost variables are not visible to the nodes; they
// serve to check the contract.
type simulation struct {
	draw           func(n int) int // random number below n
	faults         plantedFaults
	faultTolerance int
	nodes          []*node
	proposals      []*proposal
	ballotNumber   int64

	// Ghost variables.
	decided    map[int64]View
	acceptedBy map[string]map[string]bool // ids of acceptors by epoch and ballot
	committed  []int                      // numbers of the entries, in order
	appended   int                        // number of the last entry appended at any head
	violation  error
}

// plantedFaults are hooks that inject defects, to check that the model detects them; the zero value injects none.
type plantedFaults struct {
	mutatePromises func([]Promise) []Promise
	mutateView     func(*View, View, Conditions) View
	dropPromise    bool // acceptors forget their promise
}

type node struct {
	Member
	acceptor       Acceptor
	activatedEpoch int64
	log            []int
}

type proposal struct {
	proposer *node
	current  View
	ballot   Ballot
	promises map[string]Promise
	chosen   View // Epoch 0 until one is chosen
}

func newSimulation(draw func(int) int, faults plantedFaults) *simulation {
	sim := &simulation{draw: draw, faults: faults, decided: map[int64]View{}, acceptedBy: map[string]map[string]bool{}}
	initialVoters := 3 + draw(3)
	sim.faultTolerance = draw(2)
	first := View{Epoch: 1}
	for i := range 6 {
		for _, incarnation := range []string{"a", "b"} {
			name := fmt.Sprint("m", i)
			sim.nodes = append(sim.nodes, &node{Member: Member{ID: name + incarnation, Name: name, Addr: name}})
		}
	}
	for i := range initialVoters {
		voter := sim.nodes[2*i].Member
		first.Voters = append(first.Voters, voter)
		first.Chain = append(first.Chain, ChainMember{voter.ID, 1})
	}
	sim.decided[1] = first
	for i := range initialVoters {
		sim.nodes[2*i].activatedEpoch = 1
		sim.nodes[2*i].acceptor.Adopt(first)
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) node(id string) *node {
	return sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.ID == id })]
}

// subset returns a random set with about a third of the ids.
func (sim *simulation) subset(ids ...string) map[string]bool {
	all := map[string]bool{}
	for _, id := range ids {
		if sim.draw(3) == 0 {
			all[id] = true
		}
	}
	return all
}

func (sim *simulation) step() {
	switch sim.draw(6) {
	case 0:
		sim.adopt()
	case 1, 2:
		sim.replicate()
	case 3:
		sim.propose()
	case 4:
		sim.prepare()
	case 5:
		sim.accept()
	}
}

// adopt delivers a decided view, mostly the newest, to some nodes.
func (sim *simulation) adopt() {
	epoch := int64(len(sim.decided)) - int64(sim.draw(5)/4)
	decided, ok := sim.decided[epoch]
	if !ok {
		return
	}
	for _, n := range sim.nodes {
		if sim.draw(4) == 0 || !n.acceptor.Adopt(decided) {
			continue
		}
		if decided.Head() == n.ID && n.activatedEpoch >= decided.Chain[0].JoinedEpoch {
			n.activatedEpoch = decided.Epoch
			sim.commitAtTail(n)
		}
	}
}

func (sim *simulation) isActive(n *node) bool {
	v := &n.acceptor.View
	return v.Position(n.ID) >= 0 && n.activatedEpoch == v.Epoch && !n.acceptor.HasPromised()
}

// replicate appends at heads, and transfers the state of members to their successors.
func (sim *simulation) replicate() {
	for _, current := range sim.nodes {
		if !sim.isActive(current) || sim.draw(4) == 0 {
			continue
		}
		known := &current.acceptor.View
		if known.Head() == current.ID {
			sim.appended++
			current.log = append(slices.Clip(current.log), sim.appended)
			sim.commitAtTail(current)
		}
		if successor := known.Successor(current.ID); successor != "" && sim.draw(3) > 0 {
			receiver := sim.node(successor)
			if receiver.acceptor.View.Epoch == known.Epoch && !receiver.acceptor.HasPromised() {
				receiver.log, receiver.activatedEpoch = current.log, known.Epoch
				sim.commitAtTail(receiver)
			}
		}
	}
}

// commitAtTail commits the log of a node that is the active tail.
func (sim *simulation) commitAtTail(n *node) {
	known := &n.acceptor.View
	if known.Tail() != n.ID || n.activatedEpoch != known.Epoch {
		return
	}
	if len(n.log) < len(sim.committed) && slices.Equal(n.log, sim.committed[:len(n.log)]) {
		return // the tail of an earlier view, which does not know the newer view yet, commits nothing new
	}
	if !hasPrefix(n.log, sim.committed) {
		sim.fail("committed %v in epoch %d after %v", n.log, known.Epoch, sim.committed)
		return
	}
	sim.committed = n.log
}

func hasPrefix(log, committed []int) bool {
	return len(log) >= len(committed) && slices.Equal(log[:len(committed)], committed)
}

// propose starts a proposal of a random voter for the epoch after its view. No message is delivered yet.
func (sim *simulation) propose() {
	proposer := sim.nodes[sim.draw(len(sim.nodes))]
	for range 8 { // mostly a voter that knows the newest view
		if proposer.acceptor.View.Epoch == int64(len(sim.decided)) && proposer.acceptor.View.IsVoter(proposer.ID) {
			break
		}
		proposer = sim.nodes[sim.draw(len(sim.nodes))]
	}
	if proposer.acceptor.View.Epoch == 0 || !proposer.acceptor.View.IsVoter(proposer.ID) {
		return
	}
	sim.ballotNumber += int64(sim.draw(2)) // two proposers may use the same number
	next := &proposal{proposer: proposer, current: proposer.acceptor.View, ballot: Ballot{sim.ballotNumber + 1, proposer.ID},
		promises: map[string]Promise{}}
	for _, earlier := range sim.proposals { // a proposer never uses a ballot twice
		if earlier.proposer == proposer && earlier.ballot == next.ballot {
			sim.ballotNumber++
			next.ballot.Number++
		}
	}
	sim.proposals = append(sim.proposals, next)
}

// recentProposal returns one of the last three proposals.
func (sim *simulation) recentProposal() *proposal {
	if len(sim.proposals) == 0 {
		return nil
	}
	return sim.proposals[len(sim.proposals)-1-sim.draw(min(3, len(sim.proposals)))]
}

// prepare delivers the prepare requests of a recent proposal to some voters, and some of their promises to the proposer. It may be
// repeated until the proposer has chosen a view.
func (sim *simulation) prepare() {
	pending := sim.recentProposal()
	if pending == nil || pending.chosen.Epoch > 0 {
		return
	}
	for _, voter := range pending.current.Voters {
		acceptor := &sim.node(voter.ID).acceptor
		if sim.draw(4) == 0 || !acceptor.Prepare(pending.current.Epoch+1, pending.ballot) {
			continue
		}
		promise := Promise{From: voter, AcceptedBallot: acceptor.AcceptedBallot, Accepted: acceptor.Accepted,
			ActivatedEpoch: sim.node(voter.ID).activatedEpoch}
		if sim.faults.dropPromise {
			acceptor.Promised = Ballot{}
		}
		if sim.draw(4) > 0 {
			pending.promises[voter.ID] = promise
		}
	}
	sim.choose(pending)
}

// choose lets the proposer choose a view, if the promises that it has received suffice.
func (sim *simulation) choose(pending *proposal) {
	var promises []Promise
	for _, voter := range pending.current.Voters {
		if promise, has := pending.promises[voter.ID]; has {
			promises = append(promises, promise)
		}
	}
	if sim.faults.mutatePromises != nil {
		promises = sim.faults.mutatePromises(promises)
	}
	conditions := sim.conditions(&pending.current)
	next, ok := ChooseView(&pending.current, promises, conditions)
	if !ok {
		return
	}
	if sim.faults.mutateView != nil {
		next = sim.faults.mutateView(&pending.current, next, conditions)
	}
	pending.chosen = next
}

// conditions returns random conditions, independent of the state of the nodes: safety must not depend on them.
func (sim *simulation) conditions(current *View) Conditions {
	var ids, voters []string
	var applicants []Member
	for _, n := range sim.nodes {
		ids = append(ids, n.ID)
		if current.IsVoter(n.ID) {
			voters = append(voters, n.ID)
		} else if sim.draw(8) == 0 {
			applicants = append(applicants, n.Member)
		}
	}
	conditions := Conditions{FaultTolerance: sim.faultTolerance, Applicants: applicants, CaughtUp: sim.subset(ids...),
		Failed: sim.subset(voters...), Alive: map[string]bool{}}
	for _, id := range ids {
		conditions.Alive[id] = !conditions.Failed[id]
	}
	if sim.draw(2) == 0 {
		conditions.Suspected = sim.subset(voters...)
	}
	if sim.draw(2) == 0 {
		conditions.Leaving = sim.subset(voters...)
	}
	return conditions
}

// accept delivers the accept requests of a recent proposal to some voters. The view is decided once a majority has accepted it.
func (sim *simulation) accept() {
	pending := sim.recentProposal()
	if pending == nil || pending.chosen.Epoch == 0 {
		return
	}
	key := fmt.Sprint(pending.chosen.Epoch, pending.ballot)
	if sim.acceptedBy[key] == nil {
		sim.acceptedBy[key] = map[string]bool{}
	}
	for _, voter := range pending.current.Voters {
		if sim.draw(3) > 0 && sim.node(voter.ID).acceptor.Accept(pending.ballot, pending.chosen) {
			sim.acceptedBy[key][voter.ID] = true
		}
	}
	if len(sim.acceptedBy[key]) >= pending.current.Majority() {
		sim.decide(pending)
	}
}

// decide records a view that a majority has accepted, and checks the contract.
func (sim *simulation) decide(accepted *proposal) {
	if other, has := sim.decided[accepted.chosen.Epoch]; has {
		if !reflect.DeepEqual(other, accepted.chosen) {
			sim.fail("two views decided in epoch %d: %v and %v", accepted.chosen.Epoch, other, accepted.chosen)
		}
		return
	}
	sim.decided[accepted.chosen.Epoch] = accepted.chosen
	if len(accepted.chosen.Chain) == 0 {
		sim.fail("empty chain in epoch %d", accepted.chosen.Epoch)
		return
	}
	if !hasPrefix(sim.node(accepted.chosen.Head()).log, sim.committed) {
		sim.fail("head of epoch %d lacks committed entries", accepted.chosen.Epoch)
	}
	added := difference(accepted.chosen.Voters, accepted.current.Voters)
	removed := difference(accepted.current.Voters, accepted.chosen.Voters)
	if added > 1 || removed > 1 {
		sim.fail("voters changed by more than one: %v to %v", accepted.current.Voters, accepted.chosen.Voters)
	}
	for _, member := range accepted.chosen.Chain {
		if !accepted.chosen.IsVoter(member.ID) {
			sim.fail("%s is in the chain but not a voter", member.ID)
		}
	}
}

// difference returns the number of members that are not among the excluded ones.
func difference(members, excluded []Member) (n int) {
	for _, m := range members {
		if !slices.Contains(excluded, m) {
			n++
		}
	}
	return n
}

const scheduleSteps = 300

// runSchedule runs a simulation to its end, or until the contract is violated.
func runSchedule(sim *simulation) error {
	for range scheduleSteps {
		if sim.step(); sim.violation != nil {
			return sim.violation
		}
	}
	return nil
}

func newSeededSimulation(seed uint64, faults plantedFaults) *simulation {
	return newSimulation(rand.New(rand.NewPCG(seed, 0)).IntN, faults)
}

func TestViewsAreSafeUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := runSchedule(newSeededSimulation(seed, plantedFaults{})); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRandomSchedulesMakeProgress checks that the schedules decide views, commit entries and change voters.
func TestRandomSchedulesMakeProgress(t *testing.T) {
	var views, entries, voters int
	for seed := range uint64(50) {
		sim := newSeededSimulation(seed, plantedFaults{})
		if err := runSchedule(sim); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		views += len(sim.decided) - 1
		entries += len(sim.committed)
		last, first := sim.decided[int64(len(sim.decided))], sim.decided[1]
		voters += difference(last.Voters, first.Voters)
	}
	t.Logf("50 schedules: %d views, %d committed entries, %d new voters", views, entries, voters)
	if views < 100 || entries < 500 || voters < 50 {
		t.Error("too little progress")
	}
}
