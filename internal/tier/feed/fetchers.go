package feed

import (
	"context"
	"time"

	"larchrouter/internal/ctxtime"
)

const (
	maxChunksInFlight   = 2           // concurrent chunk requests of a follower, which downloads one value at a time
	chunkTimeout        = time.Second // of one call
	maxChunkBackoffStep = 3           // limits the backoff between failed calls to 0.2 to 0.4 s
)

// startFetchers starts goroutines that fetch chunks until maxChunksInFlight run, if there is a value to download.
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

// fetchChunks fetches chunks sequentially until none is left to request. It starts with the source and fails over to the
// next core node after each call that returned no valid chunk.
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
			f.log.Debug("chunk request failed", "node", core, "offset", span.offset, "err", err)
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

// retireFetcher reports whether the calling goroutine must end because core nodes are busy: a single one continues then.
// The next applied response to a poll starts the others again.
func (f *Follower) retireFetcher() bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if f.fetchers == 1 {
		return false
	}
	f.fetchers--
	return true
}

// claimRange returns the next span to fetch. If there is none, it no longer counts the calling goroutine, which must end.
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
		return true // the download has been replaced since the request
	}
	if !d.handleChunk(span, chunk) {
		f.mu.Lock()
		maxFailures := 2 * len(f.sources.cores)
		f.mu.Unlock()
		if d.failures >= maxFailures {
			f.log.Debug("download abandoned: no core node served a valid chunk", "index", d.ref.Index,
				"received", len(d.data), "size", d.ref.Size)
			f.replica.abandonDownload()
		}
		return false
	}
	if !d.complete() {
		return true
	}
	if err := f.replica.finishDownload(); err != nil {
		f.log.Error("downloaded value not applied", "index", d.ref.Index, "err", err)
		return false
	}
	f.publishTables()
	return true
}
