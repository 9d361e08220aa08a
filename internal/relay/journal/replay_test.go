package journal

import (
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/vfs"
)

// Replay restores all fields of entries and status records, also after compaction rewrote them.
func TestReplayRestoresEntriesAndStatus(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, 3e6)
	for _, r := range sampleRecords() {
		mustAppend(t, j, r)
	}
	for range 3 { // the last round reads only rewritten records
		j = mustOpen(t, dir, 3e6)
		want(t, "entries", len(j.Entries), 3)
		a, b, d := j.Entries["a"], j.Entries["b"], j.Entries["d"]
		want(t, "a", fmt.Sprint(a.Tries, a.Ran, a.RanAt, a.Zone, a.Out, len(a.Body), a.Log),
			"2 true 5 2 false 10 [{s-1 9 12 reset true}]")
		want(t, "b", fmt.Sprint(b.Tries, b.Ran, b.Out, b.OutAt, b.OutTo), "1 false true 6 1")
		want(t, "d", fmt.Sprint(d.Status, " ", d.Again, d.EndAt, d.Why, " ", d.Sum == takenRecord("d", 10).Entry.Checksum()),
			"deferred 700 78its time was up true")
		want(t, "host in an outage", j.Unhealthy["s-1"].Base, 2.5)
		want(t, "drains", fmt.Sprint(len(j.Drains), " ", j.Drains["pay/s-1"].Status), "1 op")
		want(t, "overrides, including cancelled ones",
			fmt.Sprint(len(j.Overrides), j.Overrides["partner:p"].Ran, j.Overrides["partner:p"].Again), "1 false 2")
		ended := j.CompletedIDs()
		want(t, "ended ids", fmt.Sprint(len(ended), " ", ended[0].ID, " ", ended[0].At,
			ended[0].Sum == takenRecord("c", 10).Entry.Checksum()), "1 c 77 true")
		want(t, "damage", fmt.Sprint(len(j.Report().Damage), j.Report().TornBytes), "0 0")
		for left := int64(1 << 20); left > 0; {
			if err := j.compact(&left); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Entries are restored in the order of acceptance, not in that of their positions, which compaction changes.
func TestCompactionKeepsAcceptanceOrder(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, 256<<10)
	mustAppend(t, j, takenRecord("first", 100), takenRecord("second", 100))
	for i := range 3000 {
		mustAppend(t, j, takenRecord(fmt.Sprint("m", i), 300), Record{Op: OpEnd, ID: fmt.Sprint("m", i)})
	}
	mustAppend(t, j, takenRecord("last", 100))
	j = mustOpen(t, dir, 256<<10)
	var ids []string
	for _, e := range j.InOrder() {
		ids = append(ids, e.ID)
	}
	want(t, "order", fmt.Sprint(ids), "[first second last]")
}

// Each limit of the retention holds, in the process that wrote the log and after a replay.
func TestRetentionOfCompletedIDs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		memory Retention
		want   string
	}{
		{"by number", Retention{MaxIDs: 2, MaxBytes: 1 << 20, MaxAgeMs: 1 << 40}, "[m3 m4]"},
		{"by bytes", Retention{MaxIDs: 99, MaxBytes: 3 * (maxCompletedSize + 2), MaxAgeMs: 1 << 40}, "[m2 m3 m4]"},
		{"by age", Retention{MaxIDs: 99, MaxBytes: 1 << 20, MaxAgeMs: 1000}, "[m3 m4]"},
		{"none", Retention{}, "[]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			for range 2 {
				j, err := Open(dir, Options{Budget: 3e6, Retention: tc.memory})
				if err != nil {
					t.Fatal(err)
				}
				if len(j.CompletedIDs()) == 0 {
					for i := range 5 {
						id := fmt.Sprint("m", i)
						mustAppend(t, j, takenRecord(id, 1), Record{Op: OpEnd, ID: id, At: int64(1 + i*600)})
					}
				}
				ids := []string{}
				for _, e := range j.CompletedIDs() {
					ids = append(ids, e.ID)
				}
				want(t, "retained", fmt.Sprint(ids), tc.want)
				mustAppend(t, j, takenRecord("m4", 5)) // the id is reused
				for _, e := range j.CompletedIDs() {
					want(t, "retained while it is in use", e.ID == "m4", false)
				}
				mustAppend(t, j, Record{Op: OpEnd, ID: "m4", At: 2401})
				j.Close()
			}
		})
	}
}

// Open migrates a file of format 1 with a torn tail, and removes it.
func TestMigratesFormat1(t *testing.T) {
	dir := t.TempDir()
	old := sampleRecords()[:len(sampleRecords())-1] // OpForget did not exist in format 1
	write(t, dir, legacyName, append(legacyFile(old...), 1, 2, 3))
	write(t, dir, legacyTempName, []byte("half a compaction"))
	plain := newState(testRetention)
	for i, r := range old {
		plain.apply(uint64(i+1), &r, 0, 100)
	}
	for range 2 {
		j := mustOpen(t, dir, 3e6)
		want(t, "contents", j.dump(), plain.dump())
		names, _ := vfs.Dir(dir).Names()
		want(t, "old files left", strings.Contains(fmt.Sprint(names), "journal "), false)
		want(t, "old copy left", strings.Contains(fmt.Sprint(names), legacyTempName), false)
	}
}
