package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"

	"larchrouter/internal/vfs/faultfs"
)

// A disk that fills at a random time, during compaction too, and then has room again: records of accepted messages are
// written from the spare file, new messages are refused, and nothing acknowledged is lost.
func TestFullDiskKeepsRoomForAcceptedMessages(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+20*uint64(*historyCount); seed++ {
		d := faultfs.New(seed)
		r := rand.New(rand.NewPCG(seed, 9))
		h, acked := newHistory(seed), newModel()
		j, err := Open("", Options{Budget: smallBudget, Retention: testRetention, Files: d})
		if err != nil {
			t.Fatal(err)
		}
		refused, recorded, freed := 0, 0, 0
		for i := range 600 {
			switch {
			case i%100 == 40: // the disk fills: little more than the present files fits
				d.Space = d.Used() + r.Int64N(3000)
			case i%100 == 80:
				d.Space = -1
				freed++
			}
			for _, rec := range h.batch() { // one by one, as the relay does after a failure
				err := j.Append(copies([]Record{rec})...)
				switch {
				case err == nil:
					acked.apply([]Record{rec})
					if d.Space >= 0 && rec.Op != OpTaken {
						recorded++
					}
				case rec.Op == OpTaken:
					refused++
					h.drop(rec.Entry.ID)
				default:
					t.Fatalf("seed %d: record %d, %q, got no space: %v", seed, i, rec.Op, err)
				}
			}
		}
		if d.Space = -1; refused == 0 || recorded == 0 {
			t.Errorf("seed %d: %d messages refused and %d records of others made on a full disk; want some of both", seed, refused,
				recorded)
		}
		mustAppend(t, j, takenRecord("once more", 10)) // the journal recovers without a restart
		acked.apply([]Record{takenRecord("once more", 10)})
		checkPrefix(t, fmt.Sprint("seed ", seed), d.Restart(false), false, acked, nil)
	}
}

// EIO at every operation, also at the following ones that undo a partial write: everything acknowledged is restored, and
// nothing else.
func TestErrorAtEveryOperation(t *testing.T) {
	seed := *firstSeed
	complete := faultfs.New(seed)
	runHistory(t, complete, seed, false, 120)
	for at := 1; at <= complete.Ops(); at++ {
		for _, more := range []int{0, 1, 2} { // following operations that fail too
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

// After a failed sync nothing more is recorded or acknowledged.
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
