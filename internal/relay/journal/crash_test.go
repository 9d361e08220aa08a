package journal

import (
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/vfs/faultfs"
)

// A crash at every operation of a random history, during compaction too, at both levels of durability, with and without loss
// of power: replay restores everything that was acknowledged, and a prefix of the batch that was in progress.
func TestCrashAtEveryOperation(t *testing.T) {
	appends := 220
	for seed := *firstSeed; seed < *firstSeed+uint64(*historyCount); seed++ {
		for _, power := range []bool{false, true} {
			t.Run(fmt.Sprint("power ", power, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				complete := faultfs.New(seed)
				runHistory(t, complete, seed, power, appends)
				for at := 1; at <= complete.Ops(); at++ {
					d := faultfs.New(seed*1_000_000 + uint64(at))
					d.CrashAt = at
					acked, underWay := runHistory(t, d, seed, power, appends)
					if !d.Crashed() {
						t.Fatalf("operation %d of %d was not reached", at, complete.Ops())
					}
					checkPrefix(t, fmt.Sprint("operation ", at), d.Restart(power), power, acked, underWay)
				}
			})
		}
	}
}

// checkPrefix opens a directory after a crash, twice, after another crash during the first start. It checks that the contents
// are the acknowledged ones and a prefix of the batch in progress.
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

// difference returns the lines that only one of two texts has.
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

// A crash at every operation of the migration from format 1: the next start restores everything.
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

// A process that crashes again and again after few appends, as under a watchdog: records of accepted messages always find
// room, and each start restores everything.
func TestRepeatedCrashesAfterFewAppends(t *testing.T) {
	d := faultfs.New(*firstSeed)
	h, acked := newHistory(*firstSeed), newModel()
	for start := range 400 {
		j, err := Open("", Options{Budget: smallBudget, Retention: testRetention, Files: d})
		if err != nil {
			t.Fatalf("start %d: %v", start, err)
		}
		if j.dump() != acked.dump() {
			t.Fatalf("start %d: found, other than what was acknowledged:\n%s", start, difference(j.dump(), acked.dump()))
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
					t.Fatalf("start %d: %q got no space: %v; %+v of %d", start, rec.Op, err, j.usage(), smallBudget)
				}
			}
		}
		if used := d.Used(); used > smallBudget {
			t.Fatalf("start %d: the files take %d of %d", start, used, smallBudget)
		}
		d = d.Restart(false)
	}
}
