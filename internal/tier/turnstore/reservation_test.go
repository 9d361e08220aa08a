package turnstore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/tier/budget"
)

// model plays the reservation protocol in virtual time: fronts open turns at three copies, messages take drawn times,
// one copy is away for a while. draw gives a number from lo to hi.
type model struct {
	draw   func(what string, lo, hi int) int
	fault  string
	now    int
	events eventHeap
	copies [3]budget.Ledger
	away   int // the copy that is away, from and to
	from   int
	to     int
	budget int
	held   map[string]budget.Entry // granted turns
	worst  int                     // most that granted turns held together
	grants int
	spent  int
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

func (m *model) after(d int, do func()) {
	eventNumber++
	heap.Push(&m.events, event{m.now + d, eventNumber, do})
}

// send has a copy do something and carries its answer back; nothing comes of it while the copy is away.
func (m *model) send(copy int, at func(*budget.Ledger), back func()) {
	m.after(m.delay(), func() {
		if copy == m.away && m.now >= m.from && m.now < m.to {
			return
		}
		at(&m.copies[copy])
		if back != nil {
			m.after(m.delay(), back)
		}
	})
}

func (m *model) delay() int {
	if m.draw("late", 0, 3) == 0 {
		return m.draw("delay", 1, 60)
	}
	return m.draw("delay", 1, 4)
}

func (m *model) settle(turn string, used int) {
	for i := range m.copies {
		m.send(i, func(l *budget.Ledger) { l.Add(budget.Entry{Turn: turn, Tokens: used, Settled: true}) }, nil)
	}
}

func (m *model) open(turn string, need int) {
	group := ReplicaSet{{ID: "0"}, {ID: "1"}, {ID: "2"}}
	r := newReservation([]ReplicaSet{group}, m.budget)
	if m.fault == "one copy is enough" {
		r.quorum = newQuorum(r.groups, func(ReplicaSet) int { return 1 })
	}
	over := false
	var ask func(round int)
	end := func(v reservationState) {
		over = true
		if v != reservationGranted {
			if v == reservationExceeded {
				m.spent++
			}
			m.settle(turn, 0)
			return
		}
		m.grants++
		m.held[turn] = budget.Entry{Turn: turn, Tokens: need}
		sum := 0
		for _, e := range m.held {
			sum += e.Tokens
		}
		m.worst = max(m.worst, sum)
		if m.draw("dies", 0, 5) > 0 { // a front that dies settles nothing
			m.after(m.draw("runs", 1, 80), func() {
				used := m.draw("used", 0, need)
				m.held[turn] = budget.Entry{Turn: turn, Tokens: used, Settled: true}
				m.settle(turn, used)
			})
		}
	}
	take := func() {
		if over {
			return
		}
		switch v := r.decide(); {
		case v == reservationReread && m.fault == "no second read":
			end(reservationGranted)
		case v == reservationReread:
			ask(2)
		case v != reservationPending:
			end(v)
		}
	}
	ask = func(round int) {
		for i := range m.copies {
			var seen []budget.Entry
			m.send(i, func(l *budget.Ledger) {
				if round == 1 {
					l.Add(budget.Entry{Turn: turn, Tokens: need})
				}
				seen = append(seen, l.Entries()...)
			}, func() {
				r.addResponse(round, group[i].ID, true, seen)
				take()
			})
		}
	}
	ask(1)
	m.after(200, func() {
		if !over {
			end(reservationUndecidable)
		}
	})
}

func play(draw func(string, int, int) int, fault string) *model {
	m := &model{draw: draw, fault: fault, held: map[string]budget.Entry{}, away: draw("away", 0, 3)}
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

func TestConcurrentOpensNeverReserveMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := play(func(what string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, what) }, "")
		if m.worst > m.budget {
			t.Fatalf("granted turns held %d of a budget of %d", m.worst, m.budget)
		}
	})
	grants, spent := 0, 0
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := play(func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }, "")
		if m.worst > m.budget {
			t.Fatalf("seed %d: granted turns held %d of a budget of %d", seed, m.worst, m.budget)
		}
		grants, spent = grants+m.grants, spent+m.spent
	}
	if grants < 20_000 || spent < 1000 {
		t.Fatalf("the runs prove little: %d granted, %d refused", grants, spent)
	}
}

// The model finds what the protocol's parts are for.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, fault := range []string{"no second read", "one copy is enough"} {
		found, seed := 0, uint64(0)
		for ; found < 3 && seed < 50_000; seed++ {
			rng := rand.New(rand.NewPCG(seed, 2))
			if m := play(func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }, fault); m.worst > m.budget {
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
		yes, no       string
		reached, lost bool
	}{
		{"", "", false, false}, {"ab", "", false, false}, {"bc", "", true, false}, {"abd", "", true, false},
		{"ad", "", false, false}, {"b", "cd", false, true}, {"a", "b", false, false}, {"ac", "bd", false, true}, {"c", "ab", false, true},
	} {
		q := newQuorum(groups, majority)
		for _, s := range c.yes {
			q.record(string(s), true)
		}
		for _, s := range c.no {
			q.record(string(s), false)
		}
		if reached, lost := q.state(); reached != c.reached || lost != c.lost {
			t.Errorf("yes %q no %q: %v %v", c.yes, c.no, reached, lost)
		}
	}
	if reached, lost := newQuorum([]ReplicaSet{{}}, majority).state(); reached || !lost {
		t.Errorf("without stores: %v %v", reached, lost)
	}
}
