package turnstore

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// processorTime returns the CPU time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTurn measures a turn on three stores and one client, all in this process; histories have up to 20 turns.
func BenchmarkTurn(b *testing.B) {
	tr := startTier(b, 3, true)
	c := tr.client()
	input, output := bytes.Repeat([]byte("i"), 2000), bytes.Repeat([]byte("token\n"), 100)
	syncs := func() (n int64) {
		for _, node := range tr.nodes {
			n += node.db.Commits()
		}
		return n
	}
	before := syncs()
	b.ReportAllocs()
	b.SetParallelism(32)
	b.ResetTimer()
	used := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		program, previous, n := "", "", 0
		for ; pb.Next(); n++ {
			if n%20 == 0 {
				program, previous = fmt.Sprintf("%p-%d", pb, n), ""
			}
			id := fmt.Sprintf("%s-%d", program, n)
			opened, err := c.Open(context.Background(), OpenRequest{Program: program, Turn: id, Previous: previous,
				MaxTokens: 10, Budget: 10_000})
			if err != nil {
				b.Fatal(err)
			}
			if err := c.Close(context.Background(), opened.Record(input, output, 5, 30*time.Second)); err != nil {
				b.Fatal(err)
			}
			previous = id
		}
	})
	b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(syncs()-before)/float64(b.N), "syncs/op")
}

// BenchmarkCommits measures the rows of a turn on one file, from eighty concurrent callers: with group commit, and with one sync
// a turn, where each caller waits for the one before.
func BenchmarkCommits(b *testing.B) {
	for _, one := range []bool{false, true} {
		b.Run(map[bool]string{false: "group", true: "one sync a turn"}[one], func(b *testing.B) {
			db, err := sqlitelog.Open(b.TempDir(), "store.db", 0, StoreTables...)
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			before := db.Commits()
			var turn sync.Mutex
			var n atomic.Int64
			b.SetParallelism(max(1, 80/runtime.GOMAXPROCS(0)))
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					r := &Record{Key: "program", ID: fmt.Sprint(n.Add(1)), Root: true, RetainSeconds: 30, Increment: make([]byte, 2600)}
					writes := append(encodeTurn(r), encodeEntry(r.Key, budget.Entry{Turn: r.ID, Tokens: 5, Settled: true}))
					if one {
						turn.Lock()
					}
					err := db.Commit(context.Background(), writes)
					if one {
						turn.Unlock()
					}
					if err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(db.Commits()-before)/float64(b.N), "syncs/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "turns/s")
		})
	}
}

// BenchmarkRebuild measures the sweep of 100 MB of turns into a store whose disk was lost.
func BenchmarkRebuild(b *testing.B) {
	const programs, turns, size = 500, 40, 5000 // 100 MB
	tr := startTier(b, 3, true)
	for _, n := range tr.nodes {
		for p := range programs {
			var writes []sqlitelog.Write
			now := time.Now()
			n.store.mu.Lock()
			for t := range turns {
				r := &Record{Key: fmt.Sprintf("p%d", p), ID: fmt.Sprintf("p%d-t%d", p, t), Root: t == 0,
					RetainSeconds: 3600, Increment: make([]byte, size)}
				if t > 0 {
					r.Previous = fmt.Sprintf("p%d-t%d", p, t-1)
				}
				e, _ := n.store.index.joinEntry(r.Key, budget.Entry{Turn: r.ID, Tokens: 5, Settled: true}, now)
				writes = append(append(writes, encodeTurn(r)...), encodeEntry(r.Key, e))
				n.store.index.addTurn(r.Key, r.ID, indexRow{Previous: r.Previous, Root: r.Root, RetainSeconds: r.RetainSeconds}, -1, now)
			}
			n.store.mu.Unlock()
			if err := n.db.Commit(context.Background(), writes); err != nil {
				b.Fatal(err)
			}
		}
	}
	old := tr.stores(tr.nodes...)
	lost := tr.nodes[0]
	for gen := int64(2); b.Loop(); gen++ {
		b.StopTimer()
		lost.wipe()
		lost.start()
		was := tr.stores(tr.nodes[1:]...)
		tr.setPlacement(&Placement{Generation: gen, Old: append([]Store{old[0]}, was...), New: append(tr.stores(lost), was...)})
		b.StartTimer()
		if !lost.store.sweep(context.Background(), tr.placed.Load()) {
			b.Fatal("the sweep is not complete")
		}
		b.StopTimer()
		if _, n := lost.store.Counts(); n != programs*turns {
			b.Fatalf("%d turns", n)
		}
		old = append(tr.stores(lost), was...)
		b.StartTimer()
	}
	b.SetBytes(programs * turns * size)
}
