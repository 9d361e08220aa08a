package feed

import (
	"testing"
	"time"

	"larchrouter/internal/rpc"
)

// BenchmarkTake1MB has a follower take in a version of 1 MB in which a few bytes have changed: as a difference, and whole
// as all versions went before.
func BenchmarkHandleResponse1MB(b *testing.B) {
	var h commitLog
	first, second := h.commitConfig(5400, 1), h.commitConfig(5400, 1)
	b.Run("difference", func(b *testing.B) {
		s := fakeSource{commitIndex: 1}
		r := newReplica()
		catchUp(b, &h, &s, r)
		s.commitIndex = 2
		q := r.nextRequest()
		a := s.respond(&h, &q, true)
		if len(a.Patches) != 1 {
			b.Fatal("no difference")
		}
		b.SetBytes(int64(len(second.Value)))
		b.ReportAllocs()
		for b.Loop() {
			one := *r
			one.valueIndexes = map[string]int64{ConfigKey: first.Index}
			if faults, err := one.handleResponse(time.Now(), &q, a); err != nil || faults != nil || one.tables.Index != 2 {
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
			if err := r.applyEntry(&Tables{}, second); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func catchUp(b *testing.B, h *commitLog, s *fakeSource, r *replica) {
	b.Helper()
	q := r.nextRequest()
	if _, err := r.handleResponse(time.Now(), &q, s.respond(h, &q, true)); err != nil {
		b.Fatal(err)
	}
	for r.download != nil {
		part, _ := r.download.nextSpan()
		d := r.download
		d.handleChunk(part, s.values.Chunk(&ChunkRequest{Digest: d.ref.Digest, Offset: part.offset, Length: part.length}))
		if d.complete() {
			if err := r.finishDownload(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
