package turnstore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/tier/budget"
)

// reservationModel simulates the reservation protocol in virtual time: clients open turns at three replicas, messages have random
// delays, one replica is partitioned for a while. draw returns a number from lo to hi.
type reservationModel struct {
	draw        func(what string, lo, hi int) int
	fault       string
	now         int
	events      eventHeap
	replicas    [3]budget.Ledger
	partitioned int // index of a replica, 3 for none
	from, to    int // time of the partition
	budget      int
	reserved    map[string]budget.Entry // granted turns
	maxReserved int                     // highest sum of reserved
	grants      int
	rejections  int
}

type event struct {
	at, number int
	do         func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var eventNumber int

func (m *reservationModel) after(d int, do func()) {
	eventNumber++
	heap.Push(&m.events, event{m.now + d, eventNumber, do})
}

// send delivers a message to a replica and its reply, if reply is not nil; both are lost while the replica is partitioned.
func (m *reservationModel) send(replica int, handle func(*budget.Ledger), reply func()) {
	m.after(m.delay(), func() {
		if replica == m.partitioned && m.now >= m.from && m.now < m.to {
			return
		}
		handle(&m.replicas[replica])
		if reply != nil {
			m.after(m.delay(), reply)
		}
	})
}

func (m *reservationModel) delay() int {
	if m.draw("slow", 0, 3) == 0 {
		return m.draw("delay", 1, 60)
	}
	return m.draw("delay", 1, 4)
}

func (m *reservationModel) settle(turn string, used int) {
	for i := range m.replicas {
		m.send(i, func(l *budget.Ledger) { l.Add(budget.Entry{Turn: turn, Tokens: used, Settled: true}) }, nil)
	}
}

func (m *reservationModel) open(turn string, need int) {
	group := ReplicaSet{{ID: "0"}, {ID: "1"}, {ID: "2"}}
	r := newReservation([]ReplicaSet{group}, m.budget)
	if m.fault == "quorum of one" {
		r.quorum = newQuorum(r.groups, func(ReplicaSet) int { return 1 })
	}
	ended := false
	var send func(phase int)
	end := func(state reservationState) {
		ended = true
		if state != reservationGranted {
			if state == reservationExceeded {
				m.rejections++
			}
			m.settle(turn, 0)
			return
		}
		m.grants++
		m.reserved[turn] = budget.Entry{Turn: turn, Tokens: need}
		sum := 0
		for _, e := range m.reserved {
			sum += e.Tokens
		}
		m.maxReserved = max(m.maxReserved, sum)
		if m.draw("crashes", 0, 5) > 0 { // a client that crashes settles nothing
			m.after(m.draw("runs", 1, 80), func() {
				used := m.draw("used", 0, need)
				m.reserved[turn] = budget.Entry{Turn: turn, Tokens: used, Settled: true}
				m.settle(turn, used)
			})
		}
	}
	take := func() {
		if ended {
			return
		}
		switch state := r.decide(); {
		case state == reservationReread && m.fault == "no reread":
			end(reservationGranted)
		case state == reservationReread:
			send(phaseReread)
		case state != reservationPending:
			end(state)
		}
	}
	send = func(phase int) {
		for i := range m.replicas {
			var ledger []budget.Entry
			m.send(i, func(l *budget.Ledger) {
				if phase == phaseReserve {
					l.Add(budget.Entry{Turn: turn, Tokens: need})
				}
				ledger = append(ledger, l.Entries()...)
			}, func() {
				r.addResponse(phase, group[i].ID, true, ledger)
				take()
			})
		}
	}
	send(phaseReserve)
	m.after(200, func() {
		if !ended {
			end(reservationUndecidable)
		}
	})
}

// runReservationModel draws and runs one simulation, with a fault planted unless it is empty.
func runReservationModel(draw func(string, int, int) int, fault string) *reservationModel {
	m := &reservationModel{draw: draw, fault: fault, reserved: map[string]budget.Entry{}, partitioned: draw("partitioned", 0, 3)}
	m.from = draw("from", 0, 60)
	m.to = m.from + draw("for", 0, 100)
	need := draw("need", 1, 4)
	m.budget = need * draw("budget", 1, 6)
	for i := range draw("turns", 2, 12) {
		m.after(draw("at", 0, 12), func() { m.open(fmt.Sprint("t", i), draw("need", max(1, need-1), need)) })
	}
	for steps := 0; len(m.events) > 0 && steps < 100_000; steps++ {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m
}

func TestConcurrentReservationsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := runReservationModel(func(what string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, what) }, "")
		if m.maxReserved > m.budget {
			t.Fatalf("granted turns reserved %d of a budget of %d", m.maxReserved, m.budget)
		}
	})
	grants, rejections := 0, 0
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := runReservationModel(func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }, "")
		if m.maxReserved > m.budget {
			t.Fatalf("seed %d: granted turns reserved %d of a budget of %d", seed, m.maxReserved, m.budget)
		}
		grants, rejections = grants+m.grants, rejections+m.rejections
	}
	if grants < 20_000 || rejections < 1000 {
		t.Fatalf("the runs prove little: %d granted, %d rejected", grants, rejections)
	}
}

// Each part of the protocol is necessary: the model finds a violation without it.
func TestReservationModelFindsPlantedFaults(t *testing.T) {
	for _, fault := range []string{"no reread", "quorum of one"} {
		found, seed := 0, uint64(0)
		for ; found < 3 && seed < 50_000; seed++ {
			rng := rand.New(rand.NewPCG(seed, 2))
			if m := runReservationModel(func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) },
				fault); m.maxReserved > m.budget {
				found++
			}
		}
		if found == 0 {
			t.Errorf("%s: not found", fault)
		}
		t.Logf("%s: %d of %d runs over the budget", fault, found, seed)
	}
}

func TestQuorumByGroups(t *testing.T) {
	groups := []ReplicaSet{{{ID: "a"}, {ID: "b"}, {ID: "c"}}, {{ID: "b"}, {ID: "c"}, {ID: "d"}}}
	for _, c := range []struct {
		yes, no             string
		reached, impossible bool
	}{
		{"", "", false, false}, {"ab", "", false, false}, {"bc", "", true, false}, {"abd", "", true, false},
		{"ad", "", false, false}, {"b", "cd", false, true}, {"a", "b", false, false}, {"ac", "bd", false, true}, {"c",
			"ab", false, true},
	} {
		q := newQuorum(groups, majority)
		for _, s := range c.yes {
			q.record(string(s), true)
		}
		for _, s := range c.no {
			q.record(string(s), false)
		}
		if reached, impossible := q.state(); reached != c.reached || impossible != c.impossible {
			t.Errorf("yes %q no %q: %v %v", c.yes, c.no, reached, impossible)
		}
	}
	if reached, impossible := newQuorum([]ReplicaSet{{}}, majority).state(); reached || !impossible {
		t.Errorf("without stores: %v %v", reached, impossible)
	}
}
