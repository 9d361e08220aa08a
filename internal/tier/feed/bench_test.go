package feed

import (
	"testing"
	"time"

	"larchrouter/internal/rpc"
)

// BenchmarkHandleResponse1MB applies a 1 MB version that differs in a few bytes, as a delta and in full.
func BenchmarkHandleResponse1MB(b *testing.B) {
	var log commitLog
	first, second := log.commitConfig(5400, 1), log.commitConfig(5400, 1)
	b.Run("delta", func(b *testing.B) {
		source := fakeSource{commitIndex: 1}
		r := newReplica()
		catchUp(b, &log, &source, r)
		source.commitIndex = 2
		request := r.nextRequest()
		response := source.respond(&log, &request, true)
		if len(response.Patches) != 1 {
			b.Fatal("no delta")
		}
		b.SetBytes(int64(len(second.Value)))
		b.ReportAllocs()
		for b.Loop() {
			copied := *r
			copied.valueIndexes = map[string]int64{ConfigKey: first.Index}
			if faults, err := copied.handleResponse(time.Now(), &request, response); err != nil || faults != nil || copied.tables.Index != 2 {
				b.Fatal(err, faults)
			}
		}
		b.ReportMetric(float64(len(rpc.Encode(response))), "B/answer")
	})
	b.Run("full", func(b *testing.B) {
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

func catchUp(b *testing.B, log *commitLog, source *fakeSource, r *replica) {
	b.Helper()
	request := r.nextRequest()
	if _, err := r.handleResponse(time.Now(), &request, source.respond(log, &request, true)); err != nil {
		b.Fatal(err)
	}
	for r.download != nil {
		span, _ := r.download.nextRange()
		d := r.download
		d.handleChunk(span, source.values.Chunk(&ChunkRequest{Digest: d.ref.Digest, Offset: span.offset, Length: span.length}))
		if d.complete() {
			if err := r.finishDownload(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
