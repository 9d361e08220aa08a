package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// filledJournal returns a journal with a number of pending messages of 1 kB.
func filledJournal(b testing.TB, dir string, pending int, options Options) *Journal {
	b.Helper()
	j, err := Open(dir, options)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < pending; i += 50 {
		var recs []Record
		for k := i; k < min(i+50, pending); k++ {
			recs = append(recs, takenRecord(fmt.Sprint("pending-", k), 1000))
		}
		mustAppend(b, j, recs...)
	}
	return j
}

// BenchmarkAppend appends the records of a message that is delivered at once, one by one, with 1,000 others pending, so
// that compaction is always running; and writes the same bytes by write(2) alone.
func BenchmarkAppend(b *testing.B) {
	body := make([]byte, 300)
	taken := func(id string, _ int) Record {
		return Record{Op: OpTaken, Entry: &Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: body}}
	}
	b.Run("journal", func(b *testing.B) {
		j := filledJournal(b, b.TempDir(), 1000,
			Options{Budget: 64 << 20, Retention: Retention{MaxIDs: 4096, MaxBytes: 1 << 20, MaxAgeMs: 1e6}})
		defer j.Close()
		b.ResetTimer()
		for i := range b.N {
			id := "m" + strconv.Itoa(i)
			for _, r := range []Record{taken(id, 300), {Op: OpTry, ID: id, At: int64(i), Wait: 300},
				{Op: OpEnd, ID: id, At: int64(i)}} {
				if err := j.Append(r); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "ns/record")
	})
	b.Run("journal-steps-of-10", func(b *testing.B) { // as a loaded relay writes them
		j := filledJournal(b, b.TempDir(), 1000,
			Options{Budget: 64 << 20, Retention: Retention{MaxIDs: 4096, MaxBytes: 1 << 20, MaxAgeMs: 1e6}})
		defer j.Close()
		b.ResetTimer()
		for i := 0; i < b.N; i += 10 {
			var all [30]Record
			for k := range 10 {
				id := "m" + strconv.Itoa(i+k)
				all[k], all[10+k] = taken(id, 300), Record{Op: OpTry, ID: id, At: int64(i), Wait: 300}
				all[20+k] = Record{Op: OpEnd, ID: id, At: int64(i)}
			}
			if err := j.Append(all[:]...); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "ns/record")
	})
	b.Run("write", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "plain"))
		if err != nil {
			b.Fatal(err)
		}
		defer f.Close()
		buf, at := make([]byte, 400), int64(0)
		for range b.N {
			for _, n := range []int{386, 45, 42} { // as the journal's records are
				f.WriteAt(buf[:n], at)
				if at += int64(n); at > 2<<20 {
					at = 0
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "ns/record")
	})
}

// BenchmarkLongestAppend measures the longest Append, each with the records of 20 messages, while compaction rewrites the
// log several times; and the number of records written for each one appended.
func BenchmarkLongestAppend(b *testing.B) {
	for _, pending := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("pending-", pending), func(b *testing.B) {
			for range b.N {
				j := filledJournal(b, b.TempDir(), pending, Options{Budget: 1 << 30})
				before := j.seq
				var all []time.Duration
				rounds := max(2000, pending/10)
				for n := range rounds {
					var recs []Record
					for i := range 20 {
						id := fmt.Sprint("m", n, "-", i)
						recs = append(recs, takenRecord(id, 1000), Record{Op: OpTry, ID: id}, Record{Op: OpForget, ID: id})
					}
					begin := time.Now()
					mustAppend(b, j, recs...)
					all = append(all, time.Since(begin))
				}
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)-1].Microseconds())/1000, "ms-longest")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "ms-p99")
				b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "ms-median")
				b.ReportMetric(float64(j.seq-before)/float64(60*rounds), "records-written/appended")
				j.Close()
			}
		})
	}
}

// BenchmarkOpen replays a journal with pending messages of 1 kB, and completed ones.
func BenchmarkOpen(b *testing.B) {
	for _, n := range [][2]int{{1000, 0}, {100_000, 0}, {100_000, 1_000_000}} {
		b.Run(fmt.Sprint("pending-", n[0], "-completed-", n[1]), func(b *testing.B) {
			pending := n[0]
			dir, options := b.TempDir(), Options{Budget: 1 << 30,
				Retention: Retention{MaxIDs: 4096, MaxBytes: 1 << 20, MaxAgeMs: 1e6}}
			j := filledJournal(b, dir, pending, options)
			for n := range n[1] / 20 {
				var recs []Record
				for i := range 20 {
					id := fmt.Sprint("m", n, "-", i)
					recs = append(recs, takenRecord(id, 100), Record{Op: OpEnd, ID: id, At: int64(n)})
				}
				mustAppend(b, j, recs...)
			}
			j.Close()
			b.ResetTimer()
			for range b.N {
				j, err := Open(dir, options)
				if err != nil {
					b.Fatal(err)
				}
				want(b, "entries", len(j.Entries), pending)
				j.Close()
			}
		})
	}
}

// BenchmarkGroupCommit measures the rate of messages that clients get recorded at level power, when all waiting ones share
// one Append and its sync, as in the relay.
func BenchmarkGroupCommit(b *testing.B) {
	for _, clients := range []int{1, 8, 64} {
		b.Run(fmt.Sprint("clients-", clients), func(b *testing.B) {
			j, err := Open(b.TempDir(), Options{Budget: 64 << 20, Power: true})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			asks := make(chan chan error, clients)
			go func() {
				n := 0
				for first := range asks {
					waiting := []chan error{first}
					for more := true; more; {
						select {
						case next, ok := <-asks:
							if more = ok; ok {
								waiting = append(waiting, next)
							}
						default:
							more = false
						}
					}
					var recs []Record
					for range waiting {
						id := fmt.Sprint("m", n)
						n++
						recs = append(recs, takenRecord(id, 300), Record{Op: OpForget, ID: id})
					}
					err := j.Append(recs...)
					for _, w := range waiting {
						w <- err
					}
				}
			}()
			var all sync.WaitGroup
			b.ResetTimer()
			for range clients {
				all.Go(func() {
					done := make(chan error)
					for range b.N {
						asks <- done
						if err := <-done; err != nil {
							b.Error(err)
						}
					}
				})
			}
			all.Wait()
			close(asks)
			b.ReportMetric(float64(clients*b.N)/b.Elapsed().Seconds(), "messages/s")
		})
	}
}
