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

// The model: four members of whom up to three are the chain and the others learn, on a link that loses, repeats, delays and
// so reorders messages. Time is counted in rounds. Members stop and begin again from what they had on disk; views change,
// and members hear of that at different rounds. At last the link is good for a while.
const (
	modelMembers  = 4
	courseRounds  = 120
	quietRounds   = 120
	beatRounds    = 4  // between reports, and calls of Resend
	mostDelay     = 6  // rounds
	mostEntries   = 40 // of one course
	longestPieces = 5
)

// modelFaults are seams for planted faults; the zero value is the program.
type modelFaults struct {
	update func(w *world, from *Chain, u *Update) // changes what is sent
	ack    func(w *world, from *Chain, a *Ack)
	before func(to *Chain) // is done to a member before it sends
	adopt  func(c *Chain)  // is done to a member that has adopted a view
	silent bool            // nothing is sent again
}

type message struct {
	due    int
	from   int
	to     string
	life   int64
	update *Update
	ack    *Ack
	learn  bool // to or of a member outside the chain
}

type world struct {
	pick    func(n int) int // below n
	faults  modelFaults
	random  []byte // values are cut from it
	round   int
	calm    bool
	view    view.View
	members [modelMembers]*Chain
	lives   [modelMembers]int64
	links   []message

	// ghosts
	truth   []*written // what was committed, by index
	entries []*written // all that was appended at any head, by its number
	rises   int
	resumed int // updates that went on in the middle of an entry
	err     error
}

var noise = func() []byte {
	b := make([]byte, (longestPieces+2)*ChunkSize)
	r := rand.NewChaCha8([32]byte{1})
	r.Read(b)
	return b
}()

func name(i int) string { return string(rune('a' + i)) }

func newWorld(seed uint64, f modelFaults) *world {
	w := &world{pick: rand.New(rand.NewPCG(seed, 0)).IntN, faults: f, random: noise}
	w.view = view.View{Epoch: 1}
	for i := range modelMembers {
		w.view.Voters = append(w.view.Voters, view.Member{ID: name(i)})
		if i < 2+w.pick(2) && i < 3 {
			w.view.Chain = append(w.view.Chain, view.ChainMember{ID: name(i), JoinedEpoch: 1})
		}
	}
	for i := range modelMembers {
		w.members[i] = New(name(i), State{ActivatedEpoch: 1})
		w.adopt(i)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("round %d: %s", w.round, fmt.Sprintf(format, args...))
	}
}

func (w *world) adopt(i int) {
	w.members[i].Adopt(w.view)
	if w.faults.adopt != nil {
		w.faults.adopt(w.members[i])
	}
	w.check(i)
}

func (w *world) chance(of int) bool { return !w.calm && w.pick(of) == 0 }

func (w *world) step() {
	w.round++
	w.trouble()
	for i, c := range w.members {
		if c.view.Epoch < w.view.Epoch && (w.calm || w.pick(3) == 0) {
			w.adopt(i)
		}
		if !w.calm && len(w.entries) < mostEntries && w.pick(3) == 0 {
			w.append(i)
		}
		w.sendUpdates(i)
		if (w.round+i)%beatRounds == 0 {
			if !w.faults.silent {
				c.Resend()
			}
			w.report(i)
		}
	}
	w.deliver()
}

func (w *world) append(i int) {
	c := w.members[i]
	size := w.pick(200)
	if w.pick(5) == 0 {
		size = w.pick(longestPieces * ChunkSize)
	}
	from := w.pick(ChunkSize)
	value := append(binary.BigEndian.AppendUint32(nil, uint32(len(w.entries))), w.random[from:from+size]...)
	var before *written
	if had := c.State().Entries; len(had) > 0 {
		before = w.written(had[len(had)-1])
	}
	if e, ok := c.Append(fmt.Sprint("k", w.pick(6)), value); ok {
		w.entries = append(w.entries, &written{Entry: e, before: before})
		c.MarkDurable()
		w.check(i)
	}
}

func (w *world) trouble() {
	if w.chance(25) {
		i := w.pick(modelMembers)
		w.members[i] = restarted(w.members[i])
		w.lives[i]++
		w.check(i)
	}
	if w.chance(30) {
		w.change()
	}
}

// change decides a view of the members that hold all that was committed, less one at times, and of one that learns.
func (w *world) change() {
	next := view.View{Epoch: w.view.Epoch + 1, Voters: w.view.Voters}
	for _, l := range w.view.Chain {
		if w.member(l.ID).State().ActivatedEpoch >= l.JoinedEpoch {
			next.Chain = append(next.Chain, l)
		}
	}
	if len(next.Chain) > 1 && w.pick(2) == 0 {
		i := w.pick(len(next.Chain))
		next.Chain = slices.Delete(next.Chain, i, i+1)
	}
	if id := name(w.pick(modelMembers)); len(next.Chain) < 3 && next.Position(id) < 0 && w.view.Position(id) < 0 {
		next.Chain = append(next.Chain, view.ChainMember{ID: id, JoinedEpoch: next.Epoch})
	}
	if len(next.Chain) > 0 {
		w.view = next
	}
}

func (w *world) member(id string) *Chain { return w.members[id[0]-'a'] }

func (w *world) send(m message) {
	if w.chance(4) {
		return
	}
	m.life = w.lives[m.from]
	m.due = w.round + 1
	if !w.calm {
		m.due += w.pick(mostDelay)
	}
	w.links = append(w.links, m)
	if w.chance(6) {
		m.due = w.round + 1 + w.pick(3*mostDelay)
		w.links = append(w.links, m)
	}
}

func (w *world) sendUpdates(i int) {
	c := w.members[i]
	if w.faults.before != nil {
		w.faults.before(c)
	}
	for {
		to, u, some := c.NextUpdate()
		if !some {
			break
		}
		w.sendUpdate(i, to, u, &c.successor, false)
	}
	for _, m := range w.view.Voters {
		for c.view.Position(m.ID) < 0 {
			u, some := c.NextLearnerUpdate(m.ID)
			if !some {
				break
			}
			w.sendUpdate(i, m.ID, u, c.learners[m.ID], true)
		}
	}
}

func (w *world) sendUpdate(i int, to string, u Update, o *outgoing, learn bool) {
	size := 0
	for _, f := range u.Fragments {
		size += len(f.Data)
	}
	inFlight := 0
	for _, f := range o.flight {
		inFlight += f.bytes
	}
	if size > ChunkSize || inFlight > windowSize+ChunkSize+fragmentCost {
		w.fail("%d bytes in an update, %d under way", size, inFlight)
	}
	if u.After.PartialBytes > 0 {
		w.resumed++
	}
	if w.faults.update != nil {
		w.faults.update(w, w.members[i], &u)
	}
	w.send(message{from: i, to: to, update: &u, learn: learn})
}

// report tells the predecessor, or the tail, where a member is.
func (w *world) report(i int) {
	c := w.members[i]
	to, a, ok := c.PredecessorAck()
	learn := c.IsLearner()
	if learn {
		to, ok = c.view.Tail(), true
	}
	if !ok {
		return
	}
	if w.faults.ack != nil {
		w.faults.ack(w, c, &a)
	}
	w.send(message{from: i, to: to, ack: &a, learn: learn})
}

func (w *world) deliver() {
	due := []message{}
	later := []message{}
	for _, m := range w.links {
		if m.due <= w.round {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	w.links = later
	for _, m := range due {
		to := int(m.to[0] - 'a')
		c, from := w.members[to], name(m.from)
		switch {
		case m.ack != nil && m.learn:
			c.HandleLearnerAck(from, m.life, *m.ack)
		case m.ack != nil:
			c.HandleAck(from, m.life, *m.ack)
		case m.learn:
			c.HandleLearnerUpdate(*m.update)
			w.report(to)
		default:
			if _, ok := c.HandleUpdate(from, *m.update); ok {
				c.MarkDurable()
				w.report(to)
			}
		}
		w.check(to)
	}
}

func course(w *world) error {
	for range courseRounds {
		if w.step(); w.err != nil {
			return w.err
		}
	}
	w.calm = true
	for range quietRounds {
		if w.step(); w.err != nil {
			return w.err
		}
	}
	w.settled()
	return w.err
}

func TestChainDeliversWhatIsCommittedUnderDrawnCourses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := course(newWorld(seed, modelFaults{})); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCoursesGoSomewhere holds the courses to commit, to change views and to go on in the middle of entries.
func TestCoursesGoSomewhere(t *testing.T) {
	var committed, rises, resumed int
	var epochs int64
	for seed := range uint64(20) {
		w := newWorld(seed, modelFaults{})
		if err := course(w); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		committed += len(w.truth)
		rises += w.rises
		resumed += w.resumed
		epochs += w.view.Epoch - 1
	}
	t.Logf("20 courses: %d committed in %d rises, %d views, %d updates in the middle of entries", committed, rises, epochs, resumed)
	if committed < 200 || rises < 100 || epochs < 40 || resumed < 100 {
		t.Error("courses do too little")
	}
}
