package feed

import (
	"testing"
	"time"

	"larchrouter/internal/rpc"
)

// BenchmarkTake1MB has a follower take in a version of 1 MB in which a few bytes have changed: as a difference, and whole
// as all versions went before.
func BenchmarkTake1MB(b *testing.B) {
	var h history
	first, second := h.config(5400, 1), h.config(5400, 1)
	b.Run("difference", func(b *testing.B) {
		s := source{commit: 1}
		r := newReplica()
		takeAll(b, &h, &s, r)
		s.commit = 2
		q := r.request()
		a := s.answer(&h, &q, true)
		if len(a.Patches) != 1 {
			b.Fatal("no difference")
		}
		b.SetBytes(int64(len(second.Value)))
		b.ReportAllocs()
		for b.Loop() {
			one := *r
			one.indexes = map[string]int64{ConfigKey: first.Index}
			if faults, err := one.take(time.Now(), &q, a); err != nil || faults != nil || one.tables.Index != 2 {
				b.Fatal(err, faults)
			}
		}
		b.ReportMetric(float64(len(rpc.Encode(a))), "B/answer")
	})
	b.Run("whole", func(b *testing.B) {
		b.SetBytes(int64(len(second.Value)))
		b.ReportAllocs()
		for b.Loop() {
			r := newReplica()
			if err := r.apply(&Tables{}, second); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func takeAll(b *testing.B, h *history, s *source, r *replica) {
	b.Helper()
	q := r.request()
	if _, err := r.take(time.Now(), &q, s.answer(h, &q, true)); err != nil {
		b.Fatal(err)
	}
	for r.fetch != nil {
		part, _ := r.fetch.claim()
		d := r.fetch
		d.give(part, s.values.Chunk(&ChunkRequest{Digest: d.name.Digest, Offset: part.from, Length: part.length}))
		if d.complete() {
			if err := r.fetched(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
