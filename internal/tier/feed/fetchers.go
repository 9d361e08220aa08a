package feed

import (
	"context"
	"time"

	"larchrouter/internal/ctxtime"
)

const (
	maxChunksInFlight   = 2           // of the one value that a follower downloads
	chunkTimeout        = time.Second // of one call
	maxChunkBackoffStep = 3           // the pause between failed calls grows up to 0.2 to 0.4 s
)

// startFetchers starts the goroutines that fetch chunks, as far as they don't run, if there is a value to download.
func (f *Follower) startFetchers(ctx context.Context) {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if d := f.replica.download; d == nil || d.abandoned {
		return
	}
	for ; f.fetchers < maxChunksInFlight; f.fetchers++ {
		f.wg.Go(func() { f.fetchChunks(ctx) })
	}
}

// fetchChunks fetches one chunk after the other until none is left to request. It starts at the source and goes on to
// the next core node after each call without a chunk.
func (f *Follower) fetchChunks(ctx context.Context) {
	core := f.Core()
	for failures := 0; ; {
		d, span, ok := f.claimRange(ctx)
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
		chunk := new(Chunk)
		request := &ChunkRequest{Name: f.name, Digest: d.ref.Digest, Offset: span.offset, Length: span.length}
		err := f.calls.Call(callCtx, core, ChunkCall, request, chunk)
		cancel()
		if err != nil {
			f.log.Debug("no piece", "node", core, "offset", span.offset, "err", err)
			chunk = nil
		}
		if f.handleChunk(d, span, chunk) {
			failures = 0
			continue
		}
		if chunk != nil && chunk.Status == ChunkBusy && f.retireFetcher() {
			return
		}
		f.mu.Lock()
		core = f.sources.next(core)
		f.mu.Unlock()
		ctxtime.Sleep(ctx, backoff(failures, maxBackoff))
		failures = min(failures+1, maxChunkBackoffStep)
	}
}

// retireFetcher reports whether the calling goroutine must end because core nodes are busy: only one goes on then. The
// next response to a poll starts the others again.
func (f *Follower) retireFetcher() bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if f.fetchers == 1 {
		return false
	}
	f.fetchers--
	return true
}

// claimRange returns the next range to fetch. If there is none, the calling goroutine is no longer counted and must end.
func (f *Follower) claimRange(ctx context.Context) (*download, byteRange, bool) {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if d := f.replica.download; d != nil && ctx.Err() == nil {
		if span, ok := d.nextRange(); ok {
			return d, span, true
		}
	}
	f.fetchers--
	return nil, byteRange{}, false
}

// handleChunk adds a chunk, nil for a failed call, to the download, and applies the value when it is complete. It reports
// whether the next chunk should be requested from the same core node.
func (f *Follower) handleChunk(d *download, span byteRange, chunk *Chunk) bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if f.replica.download != d {
		return true // this download was replaced meanwhile
	}
	if !d.handleChunk(span, chunk) {
		f.mu.Lock()
		maxFailures := 2 * len(f.sources.cores)
		f.mu.Unlock()
		if d.failures >= maxFailures {
			f.log.Debug("no core node has the value any more", "index", d.ref.Index, "have", len(d.data), "size", d.ref.Size)
			f.replica.abandonDownload()
		}
		return false
	}
	if !d.complete() {
		return true
	}
	if err := f.replica.finishDownload(); err != nil {
		f.log.Error("a fetched value cannot be used", "index", d.ref.Index, "err", err)
		return false
	}
	f.publishTables()
	return true
}
