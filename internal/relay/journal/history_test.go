package journal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"larchrouter/internal/vfs/faultfs"
)

var (
	historyCount = flag.Int("histories", 2, "random histories with a crash at every operation, at each level of durability")
	firstSeed    = flag.Uint64("histories.seed", 1, "seed of the first history")
)

// smallBudget keeps compaction running during a history.
const smallBudget = 256 << 10

// history draws the records of a random history of messages.
type history struct {
	r       *rand.Rand
	open    []string // ids of pending messages
	out     map[string]bool
	noticed []string // ids with a pending notice
	next    int
	clock   int64
}

// newHistory returns the history of a seed.
func newHistory(seed uint64) *history {
	return &history{r: rand.New(rand.NewPCG(seed, 3)), out: map[string]bool{}}
}

// batch draws the records of one Append. Their entries are the caller's own.
func (h *history) batch() (recs []Record) {
	for range 1 + h.r.IntN(4) {
		h.clock += 5
		n := len(h.open)
		switch k := h.r.IntN(10); {
		case n == 0 || k < 3 && n < 20:
			id := fmt.Sprint("m", h.next)
			if h.next++; h.r.IntN(20) == 0 {
				id += string(make([]byte, 0, 200)) + fmt.Sprintf("%0190d", h.next)
			}
			size := []int{0, 10, 300, 2000, 4000}[h.r.IntN(5)]
			e := takenRecord(id, size)
			e.Entry.Key, e.Entry.TakenAt = "k"+id, h.clock
			h.open = append(h.open, id)
			recs = append(recs, e)
		case k < 5:
			id := h.open[h.r.IntN(n)]
			if !h.out[id] {
				h.out[id] = true
				recs = append(recs, Record{Op: OpTry, ID: id, At: h.clock, Wait: 300, Zone: h.r.IntN(3), Host: "s-1"})
			}
		case k < 7:
			id := h.open[h.r.IntN(n)]
			if h.out[id] {
				delete(h.out, id)
				recs = append(recs, Record{Op: OpOutcome, ID: id, Ran: h.r.IntN(2) == 0, Why: "reset", Wait: 20})
			}
		case k < 8:
			i := h.r.IntN(n)
			id := h.open[i]
			h.open = append(h.open[:i], h.open[i+1:]...)
			delete(h.out, id)
			h.noticed = append(h.noticed, id)
			recs = append(recs, Record{Op: OpNotice, ID: id, Status: "deferred", Again: 10, At: h.clock,
				Why: "its time was up"})
		case k < 9 && len(h.noticed) > 0:
			recs = append(recs, Record{Op: OpEnd, ID: h.noticed[0], At: h.clock})
			h.noticed = h.noticed[1:]
		default:
			op := []string{OpHealth, OpDrain, OpOverride}[h.r.IntN(3)]
			recs = append(recs, Record{Op: op, ID: fmt.Sprint("h", h.r.IntN(4)), Ran: h.r.IntN(2) == 0, At: h.clock, Base: 1.5})
		}
	}
	return recs
}

// drop removes a message that was not accepted.
func (h *history) drop(id string) {
	for i, o := range h.open {
		if o == id {
			h.open = append(h.open[:i], h.open[i+1:]...)
			break
		}
	}
	delete(h.out, id)
}

// copies returns records whose entries can be changed without changing the originals.
func copies(recs []Record) (all []Record) {
	for _, r := range recs {
		if r.Entry != nil {
			e := *r.Entry
			e.Log = append([]Attempt(nil), e.Log...)
			r.Entry = &e
		}
		all = append(all, r)
	}
	return all
}

// model applies the acknowledged records one by one, without files.
type model struct{ state }

// newModel returns an empty model with the retention of a journal of smallBudget.
func newModel() *model {
	m := testRetention
	m.MaxBytes = smallBudget / 16
	return &model{newState(m)}
}

// apply applies copies of records.
func (m *model) apply(recs []Record) {
	for _, r := range copies(recs) {
		m.state.apply(m.seq+1, &r, 0, 100)
	}
}

// clone returns an independent model with the same contents.
func (m *model) clone() *model {
	c := newModel()
	for _, e := range m.InOrder() {
		n := *e
		n.Log = append([]Attempt(nil), e.Log...)
		c.state.apply(c.seq+1, &Record{Op: opRewritten, Entry: &n}, 0, 100)
	}
	for _, all := range []map[string]Record{m.Unhealthy, m.Drains, m.Overrides} {
		for _, r := range all {
			c.state.apply(c.seq+1, &r, 0, 100)
		}
	}
	for _, e := range m.CompletedIDs() {
		c.state.apply(c.seq+1, &Record{Op: opCompleted, ID: e.ID, Sum: e.Sum, At: e.At}, 0, 100)
	}
	c.seq = m.seq
	return c
}

// runHistory appends the batches of a history until the injected crash. It returns a model of what was acknowledged, and the
// batch that was in progress.
func runHistory(t *testing.T, d *faultfs.Dir, seed uint64, power bool, appends int) (acked *model, underWay []Record) {
	t.Helper()
	h, acked := newHistory(seed), newModel()
	j, err := Open("", Options{Budget: smallBudget, Power: power, Retention: testRetention, Files: d})
	if err != nil {
		if d.Crashed() {
			return acked, nil
		}
		t.Fatal(err)
	}
	for range appends {
		recs := h.batch()
		if len(recs) == 0 {
			continue
		}
		err := j.Append(copies(recs)...)
		if d.Crashed() && err != nil {
			return acked, recs
		}
		if err != nil {
			t.Fatal(err)
		}
		acked.apply(recs)
		if d.Crashed() { // in the compaction after the write
			return acked, nil
		}
		if used := d.Used(); used > smallBudget {
			t.Fatalf("the files take %d of %d", used, smallBudget)
		}
	}
	return acked, nil
}
