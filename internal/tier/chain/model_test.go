package chain

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/tier/view"
)

// The model simulates four members, of which up to three form the chain and the others are learners, on a network that loses,
// duplicates, delays and so reorders messages. Time is counted in rounds. Members restart from their disks; views change, and
// members adopt them in different rounds. Each schedule ends with a fault-free period, after which the members must have
// converged.
const (
	modelMembers    = 4
	scheduleRounds  = 120
	faultFreeRounds = 120
	heartbeatRounds = 4  // between acknowledgements, and between calls of Resend
	maxDelayRounds  = 6  // of a message
	maxEntries      = 40 // in one schedule
	maxValueChunks  = 5
)

// plantedFaults are hooks that inject defects, to check that the model detects them; the zero value injects none.
type plantedFaults struct {
	mutateUpdate func(w *simulation, from *Chain, u *Update) // changes an update before it is sent
	mutateAck    func(w *simulation, from *Chain, a *Ack)
	beforeSend   func(to *Chain) // called for a member before it sends updates
	afterAdopt   func(c *Chain)  // called for a member that has adopted a view
	noResend     bool            // nothing is retransmitted
}

type message struct {
	due         int    // round in which it is delivered
	from        int    // index of the sender in simulation.members
	to          string // id of the receiver
	incarnation int64
	update      *Update
	ack         *Ack
	learner     bool // to or from a member outside the chain
}

type simulation struct {
	draw         func(n int) int // random number below n
	faults       plantedFaults
	randomBytes  []byte // source of the values
	round        int
	faultFree    bool
	view         view.View
	members      [modelMembers]*Chain
	incarnations [modelMembers]int64
	inTransit    []message

	// Ghost variables: not visible to the members, used to check the contract.
	committed        []*appendedEntry // by index - 1
	appended         []*appendedEntry // appended at any head; the index is the number in their values
	commits          int
	resumedTransfers int // updates that continue inside an entry
	violation        error
}

var randomData = func() []byte {
	b := make([]byte, (maxValueChunks+2)*ChunkSize)
	r := rand.NewChaCha8([32]byte{1})
	r.Read(b)
	return b
}()

func memberID(i int) string { return string(rune('a' + i)) }

func newSimulation(seed uint64, faults plantedFaults) *simulation {
	sim := &simulation{draw: rand.New(rand.NewPCG(seed, 0)).IntN, faults: faults, randomBytes: randomData}
	sim.view = view.View{Epoch: 1}
	for i := range modelMembers {
		sim.view.Voters = append(sim.view.Voters, view.Member{ID: memberID(i)})
		if i < 2+sim.draw(2) && i < 3 {
			sim.view.Chain = append(sim.view.Chain, view.ChainMember{ID: memberID(i), JoinedEpoch: 1})
		}
	}
	for i := range modelMembers {
		sim.members[i] = New(memberID(i), State{ActivatedEpoch: 1})
		sim.adopt(i)
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf("round %d: %s", sim.round, fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) adopt(i int) {
	sim.members[i].Adopt(sim.view)
	if sim.faults.afterAdopt != nil {
		sim.faults.afterAdopt(sim.members[i])
	}
	sim.checkCommitted(i)
}

func (sim *simulation) oneIn(of int) bool { return !sim.faultFree && sim.draw(of) == 0 }

func (sim *simulation) step() {
	sim.round++
	sim.injectFaults()
	for i, member := range sim.members {
		if member.view.Epoch < sim.view.Epoch && (sim.faultFree || sim.draw(3) == 0) {
			sim.adopt(i)
		}
		if !sim.faultFree && len(sim.appended) < maxEntries && sim.draw(3) == 0 {
			sim.append(i)
		}
		sim.sendUpdates(i)
		if (sim.round+i)%heartbeatRounds == 0 {
			if !sim.faults.noResend {
				member.Resend()
			}
			sim.sendAck(i)
		}
	}
	sim.deliver()
}

// append appends an entry with a random key and value at a member, if that is the active head.
func (sim *simulation) append(i int) {
	member := sim.members[i]
	size := sim.draw(200)
	if sim.draw(5) == 0 {
		size = sim.draw(maxValueChunks * ChunkSize)
	}
	from := sim.draw(ChunkSize)
	value := append(binary.BigEndian.AppendUint32(nil, uint32(len(sim.appended))), sim.randomBytes[from:from+size]...)
	var previous *appendedEntry
	if entries := member.State().Entries; len(entries) > 0 {
		previous = sim.findAppended(entries[len(entries)-1])
	}
	if entry, ok := member.Append(fmt.Sprint("k", sim.draw(6)), value); ok {
		sim.appended = append(sim.appended, &appendedEntry{Entry: entry, previous: previous})
		member.MarkDurable()
		sim.checkCommitted(i)
	}
}

// injectFaults sometimes restarts a member and sometimes changes the view.
func (sim *simulation) injectFaults() {
	if sim.oneIn(25) {
		i := sim.draw(modelMembers)
		sim.members[i] = restartMember(sim.members[i])
		sim.incarnations[i]++
		sim.checkCommitted(i)
	}
	if sim.oneIn(30) {
		sim.changeView()
	}
}

// changeView decides a view of the members with the complete state, sometimes without one of them, and sometimes with a learner
// added.
func (sim *simulation) changeView() {
	next := view.View{Epoch: sim.view.Epoch + 1, Voters: sim.view.Voters}
	for _, member := range sim.view.Chain {
		if sim.member(member.ID).State().ActivatedEpoch >= member.JoinedEpoch {
			next.Chain = append(next.Chain, member)
		}
	}
	if len(next.Chain) > 1 && sim.draw(2) == 0 {
		i := sim.draw(len(next.Chain))
		next.Chain = slices.Delete(next.Chain, i, i+1)
	}
	if id := memberID(sim.draw(modelMembers)); len(next.Chain) < 3 && next.Position(id) < 0 && sim.view.Position(id) < 0 {
		next.Chain = append(next.Chain, view.ChainMember{ID: id, JoinedEpoch: next.Epoch})
	}
	if len(next.Chain) > 0 {
		sim.view = next
	}
}

func (sim *simulation) member(id string) *Chain { return sim.members[id[0]-'a'] }

// send puts a message in transit. Unless the period is fault-free, it may lose, delay or duplicate the message; the duplicate may be
// delayed for longer.
func (sim *simulation) send(message message) {
	if sim.oneIn(4) {
		return
	}
	message.incarnation = sim.incarnations[message.from]
	message.due = sim.round + 1
	if !sim.faultFree {
		message.due += sim.draw(maxDelayRounds)
	}
	sim.inTransit = append(sim.inTransit, message)
	if sim.oneIn(6) {
		message.due = sim.round + 1 + sim.draw(3*maxDelayRounds)
		sim.inTransit = append(sim.inTransit, message)
	}
}

func (sim *simulation) sendUpdates(i int) {
	member := sim.members[i]
	if sim.faults.beforeSend != nil {
		sim.faults.beforeSend(member)
	}
	for {
		to, update, ok := member.NextUpdate()
		if !ok {
			break
		}
		sim.sendUpdate(i, to, update, &member.successor, false)
	}
	for _, voter := range sim.view.Voters {
		for member.view.Position(voter.ID) < 0 {
			update, ok := member.NextLearnerUpdate(voter.ID)
			if !ok {
				break
			}
			sim.sendUpdate(i, voter.ID, update, member.learners[voter.ID], true)
		}
	}
}

// sendUpdate sends one update, and checks the bounds on its size and on the bytes in flight.
func (sim *simulation) sendUpdate(i int, to string, update Update, stream *sendStream, learner bool) {
	size := 0
	for _, fragment := range update.Fragments {
		size += len(fragment.Data)
	}
	inFlight := 0
	for _, sent := range stream.inFlight {
		inFlight += sent.bytes
	}
	if size > ChunkSize || inFlight > windowSize+ChunkSize+fragmentCost {
		sim.fail("%d bytes in an update, %d bytes in flight", size, inFlight)
	}
	if update.After.PartialBytes > 0 {
		sim.resumedTransfers++
	}
	if sim.faults.mutateUpdate != nil {
		sim.faults.mutateUpdate(sim, sim.members[i], &update)
	}
	sim.send(message{from: i, to: to, update: &update, learner: learner})
}

// sendAck sends the acknowledgement of a member to its predecessor, or of a learner to the tail.
func (sim *simulation) sendAck(i int) {
	member := sim.members[i]
	to, ack, ok := member.PredecessorAck()
	learner := member.IsLearner()
	if learner {
		to, ok = member.view.Tail(), true
	}
	if !ok {
		return
	}
	if sim.faults.mutateAck != nil {
		sim.faults.mutateAck(sim, member, &ack)
	}
	sim.send(message{from: i, to: to, ack: &ack, learner: learner})
}

func (sim *simulation) deliver() {
	due := []message{}
	later := []message{}
	for _, queued := range sim.inTransit {
		if queued.due <= sim.round {
			due = append(due, queued)
		} else {
			later = append(later, queued)
		}
	}
	sim.inTransit = later
	for _, message := range due {
		to := int(message.to[0] - 'a')
		member, from := sim.members[to], memberID(message.from)
		switch {
		case message.ack != nil && message.learner:
			member.HandleLearnerAck(from, message.incarnation, *message.ack)
		case message.ack != nil:
			member.HandleAck(from, message.incarnation, *message.ack)
		case message.learner:
			member.HandleLearnerUpdate(*message.update)
			sim.sendAck(to)
		default:
			if _, ok := member.HandleUpdate(from, *message.update); ok {
				member.MarkDurable()
				sim.sendAck(to)
			}
		}
		sim.checkCommitted(to)
	}
}

// runSchedule runs a simulation to its end, or until the contract is violated.
func runSchedule(sim *simulation) error {
	for range scheduleRounds {
		if sim.step(); sim.violation != nil {
			return sim.violation
		}
	}
	sim.faultFree = true
	for range faultFreeRounds {
		if sim.step(); sim.violation != nil {
			return sim.violation
		}
	}
	sim.checkConverged()
	return sim.violation
}

func TestCommittedEntriesSurviveRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := runSchedule(newSimulation(seed, plantedFaults{})); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRandomSchedulesMakeProgress checks that the schedules commit entries, change views and resume transfers inside entries.
func TestRandomSchedulesMakeProgress(t *testing.T) {
	var committed, commits, resumedTransfers int
	var epochs int64
	for seed := range uint64(20) {
		sim := newSimulation(seed, plantedFaults{})
		if err := runSchedule(sim); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		committed += len(sim.committed)
		commits += sim.commits
		resumedTransfers += sim.resumedTransfers
		epochs += sim.view.Epoch - 1
	}
	t.Logf("20 schedules: %d entries in %d commits, %d views, %d updates resumed inside entries",
		committed, commits, epochs, resumedTransfers)
	if committed < 200 || commits < 100 || epochs < 40 || resumedTransfers < 100 {
		t.Error("too little progress")
	}
}
