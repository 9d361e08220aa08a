package journal

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"larchrouter/internal/vfs/faultfs"
)

var (
	historyCount = flag.Int("histories", 2, "random histories that are cut at every operation, at each level of durability")
	firstSeed    = flag.Uint64("histories.seed", 1, "seed of the first")
)

const smallBudget = 256 << 10

// history is a random life of a journal, in which compaction is always under way.
type history struct {
	r       *rand.Rand
	open    []string // messages that are held
	out     map[string]bool
	noticed []string // those whose notice is owed
	next    int
	clock   int64
}

func newHistory(seed uint64) *history {
	return &history{r: rand.New(rand.NewPCG(seed, 3)), out: map[string]bool{}}
}

// batch is what one Append is to record. Its entries are the caller's own.
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
			recs = append(recs, Record{Op: OpNotice, ID: id, Status: "deferred", Again: 10, At: h.clock, Why: "its time was up"})
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

// copies are records whose entries can be changed without changing the others.
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

// model is what a journal has acknowledged, as plain records applied in turn.
type model struct{ state }

func newModel() *model {
	m := testRetention
	m.MaxBytes = smallBudget / 16
	return &model{newState(m)}
}

func (m *model) apply(recs []Record) {
	for _, r := range copies(recs) {
		m.state.apply(m.seq+1, &r, 0, 100)
	}
}

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

// runHistory plays a history on a folder until it is cut. It returns what was acknowledged, and what was under way.
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
		if d.Crashed() { // in the compaction after it
			return acked, nil
		}
		if used := d.Used(); used > smallBudget {
			t.Fatalf("the files take %d of %d", used, smallBudget)
		}
	}
	return acked, nil
}

// A crash at every single operation of a random history, compaction always under way, at both levels of durability,
// with and without loss of power: what is found holds all that was acknowledged, and of what was being written no
// more than a beginning.
func TestCrashAtEveryOperation(t *testing.T) {
	appends := 220
	for seed := *firstSeed; seed < *firstSeed+uint64(*historyCount); seed++ {
		for _, power := range []bool{false, true} {
			t.Run(fmt.Sprint("power ", power, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				whole := faultfs.New(seed)
				runHistory(t, whole, seed, power, appends)
				for at := 1; at <= whole.Ops(); at++ {
					d := faultfs.New(seed*1_000_000 + uint64(at))
					d.CrashAt = at
					acked, underWay := runHistory(t, d, seed, power, appends)
					if !d.Crashed() {
						t.Fatalf("operation %d of %d was not reached", at, whole.Ops())
					}
					checkPrefix(t, fmt.Sprint("operation ", at), d.Restart(power), power, acked, underWay)
				}
			})
		}
	}
}

// checkPrefix opens a folder after a crash, twice, the second time after another crash in the middle of that start.
func checkPrefix(t *testing.T, what string, d *faultfs.Dir, power bool, acked *model, underWay []Record) {
	t.Helper()
	allowed := map[string]int{acked.dump(): 0}
	for n := range underWay {
		m := acked.clone()
		m.apply(underWay[:n+1])
		allowed[m.dump()] = n + 1
	}
	d.CrashAt = d.Ops() + 3
	Open("", Options{Budget: smallBudget, Power: power, Retention: testRetention, Files: d})
	d = d.Restart(power)
	for round := range 2 {
		j, err := Open("", Options{Budget: smallBudget, Power: power, Retention: testRetention, Files: d})
		if err != nil {
			t.Fatalf("%s, start %d: %v", what, round, err)
		}
		if dmg := j.Report().Damage; len(dmg) > 0 {
			t.Fatalf("%s, start %d: %v", what, round, dmg)
		}
		if _, ok := allowed[j.dump()]; !ok {
			t.Fatalf("%s, start %d: found, other than what was acknowledged and a beginning of %+v:\n%s", what, round, underWay,
				difference(j.dump(), acked.dump()))
		}
		mustAppend(t, j, takenRecord("new", 10), Record{Op: OpForget, ID: "new"})
		j.Close()
		d = d.Restart(power)
	}
}

// difference is the lines that one text has and the other has not.
func difference(a, b string) string {
	var out strings.Builder
	for sign, two := range map[string][2]string{"+ ": {a, b}, "- ": {b, a}} {
		for line := range strings.Lines(two[0]) {
			if !strings.Contains(two[1], line) {
				out.WriteString(sign + line)
			}
		}
	}
	return out.String()
}

// A disk that fills at any point, in compaction too, and then has room again: what is held is recorded from the spare
// room, new messages are refused, nothing that was acknowledged is lost.
func TestFullDiskKeepsRoomForAcceptedMessages(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+20*uint64(*historyCount); seed++ {
		d := faultfs.New(seed)
		r := rand.New(rand.NewPCG(seed, 9))
		h, acked := newHistory(seed), newModel()
		j, err := Open("", Options{Budget: smallBudget, Retention: testRetention, Files: d})
		if err != nil {
			t.Fatal(err)
		}
		refused, held, freed := 0, 0, 0
		for i := range 600 {
			switch {
			case i%100 == 40: // it fills: little is left beside what is there
				d.Space = d.Used() + r.Int64N(3000)
			case i%100 == 80:
				d.Space = -1
				freed++
			}
			for _, rec := range h.batch() { // each for itself, as the relay does after a failure
				err := j.Append(copies([]Record{rec})...)
				switch {
				case err == nil:
					acked.apply([]Record{rec})
					if d.Space >= 0 && rec.Op != OpTaken {
						held++
					}
				case rec.Op == OpTaken:
					refused++
					h.drop(rec.Entry.ID)
				default:
					t.Fatalf("seed %d: record %d, %q, found no room: %v", seed, i, rec.Op, err)
				}
			}
		}
		if d.Space = -1; refused == 0 || held == 0 {
			t.Errorf("seed %d: %d messages refused and %d records of others made on a full disk; want some of both", seed, refused, held)
		}
		mustAppend(t, j, takenRecord("once more", 10)) // it has recovered by itself
		acked.apply([]Record{takenRecord("once more", 10)})
		checkPrefix(t, fmt.Sprint("seed ", seed), d.Restart(false), false, acked, nil)
	}
}

// drop forgets a message that was not taken on.
func (h *history) drop(id string) {
	for i, o := range h.open {
		if o == id {
			h.open = append(h.open[:i], h.open[i+1:]...)
			break
		}
	}
	delete(h.out, id)
}

// Any operation that fails once, as a disk with EIO does, and also if what a write left cannot be cut off: what was
// acknowledged is there, and what was not is not.
func TestErrorAtEveryOperation(t *testing.T) {
	seed := *firstSeed
	whole := faultfs.New(seed)
	runHistory(t, whole, seed, false, 120)
	for at := 1; at <= whole.Ops(); at++ {
		for _, more := range []int{0, 1, 2} { // operations after it fail too
			d := faultfs.New(seed + uint64(at))
			d.Fail = map[int]error{}
			for i := range more + 1 {
				d.Fail[at+i] = syscall.EIO
			}
			h, acked := newHistory(seed), newModel()
			j, err := Open("", Options{Budget: smallBudget, Retention: testRetention, Files: d})
			for range 5 {
				if err == nil {
					break
				}
				j, err = Open("", Options{Budget: smallBudget, Retention: testRetention, Files: d})
			}
			if err != nil {
				t.Fatal(err)
			}
			for range 120 {
				recs := h.batch()
				for tries := 0; ; tries++ {
					err := j.Append(copies(recs)...)
					if err == nil {
						break
					}
					if !errors.Is(err, syscall.EIO) && !errors.Is(err, ErrFull) || tries > 4 {
						t.Fatalf("operation %d: %v", at, err)
					}
				}
				acked.apply(recs)
			}
			checkPrefix(t, fmt.Sprint("operations ", at, " to ", at+more), d.Restart(false), false, acked, nil)
		}
	}
}

// A sync that fails is final: nothing more is recorded, and nothing is told to be.
func TestFailedSyncIsFinal(t *testing.T) {
	for at := 1; at <= 12; at++ {
		d := faultfs.New(uint64(at))
		d.FailSync = map[int]error{at: syscall.EIO}
		j, err := Open("", Options{Budget: smallBudget, Power: true, Retention: testRetention, Files: d})
		if err != nil {
			t.Fatal(err)
		}
		acked, h := newModel(), newHistory(1)
		failed := false
		for range 30 {
			recs := h.batch()
			if len(recs) == 0 {
				continue
			}
			err := j.Append(copies(recs)...)
			if failed && !errors.Is(err, ErrSync) {
				t.Fatalf("after the sync had failed: %v", err)
			}
			if failed = err != nil; !failed {
				acked.apply(recs)
			}
		}
		want(t, "failed", failed, true)
		d.FailSync = nil
		found, err := Open("", Options{Budget: smallBudget, Power: true, Retention: testRetention, Files: d.Restart(true)})
		if err != nil {
			t.Fatal(err)
		}
		for id := range acked.Entries {
			if found.Entries[id] == nil {
				t.Errorf("sync %d: %s was acknowledged and is lost", at, id)
			}
		}
	}
}

// A crash at every operation of the start that takes over a file of format 1: the next start has all of it.
func TestCrashAtEveryOperationOfMigration(t *testing.T) {
	plain := newModel()
	h := newHistory(*firstSeed)
	var old []Record
	for range 150 {
		recs := h.batch()
		old = append(old, copies(recs)...)
		plain.apply(recs)
	}
	data := legacyFile(old...)
	for _, power := range []bool{false, true} {
		for at := 1; ; at++ {
			d := faultfs.New(uint64(at))
			f, err := d.Create(legacyName)
			if err != nil {
				t.Fatal(err)
			}
			f.WriteAt(data, 0)
			f.Sync()
			d.SyncDir()
			d.CrashAt = d.Ops() + at
			_, err = Open("", Options{Budget: 8 * smallBudget, Power: power, Retention: plain.retention, Files: d})
			if !d.Crashed() {
				if err != nil {
					t.Fatal(err)
				}
				if at < 10 {
					t.Fatalf("only %d operations", at)
				}
				break
			}
			checkPrefix(t, fmt.Sprint("operation ", at), d.Restart(power), power, plain, nil)
		}
	}
}

// A process that dies again and again after little work, as under a watchdog: what is held always finds room, and each
// start finds all of it.
func TestRepeatedCrashesAfterFewAppends(t *testing.T) {
	d := faultfs.New(*firstSeed)
	h, acked := newHistory(*firstSeed), newModel()
	for life := range 400 {
		j, err := Open("", Options{Budget: smallBudget, Retention: testRetention, Files: d})
		if err != nil {
			t.Fatalf("life %d: %v", life, err)
		}
		if j.dump() != acked.dump() {
			t.Fatalf("life %d: found, other than what was acknowledged:\n%s", life, difference(j.dump(), acked.dump()))
		}
		for range h.r.IntN(12) {
			for _, rec := range h.batch() {
				err := j.Append(copies([]Record{rec})...)
				switch {
				case err == nil:
					acked.apply([]Record{rec})
				case rec.Op == OpTaken:
					h.drop(rec.Entry.ID)
				default:
					t.Fatalf("life %d: %q found no room: %v; %+v of %d", life, rec.Op, err, j.usage(), smallBudget)
				}
			}
		}
		if used := d.Used(); used > smallBudget {
			t.Fatalf("life %d: the files take %d of %d", life, used, smallBudget)
		}
		d = d.Restart(false)
	}
}
