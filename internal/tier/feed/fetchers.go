package feed

import (
	"context"
	"time"
)

const (
	maxChunksInFlight   = 2 // of the one value that a follower fetches
	chunkTimeout        = time.Second
	maxChunkBackoffStep = 3 // the pause between calls for pieces grows up to backoff of it, 0.2 to 0.4 s
)

// fetch begins to fetch the pieces of a large value, if there is one and it is not under way.
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

// fetchPieces asks for one piece after the other, beginning at the core node that is followed and going on at others,
// until none is left to ask for.
func (f *Follower) fetchChunks(ctx context.Context) {
	core := f.Core()
	for failures := 0; ; {
		d, span, ok := f.claimSpan(ctx)
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
		chunk := new(Chunk)
		err := f.calls.Call(callCtx, core, ChunkCall, &ChunkRequest{Name: f.name, Digest: d.ref.Digest, Offset: span.offset, Length: span.length}, chunk)
		cancel()
		if err != nil {
			_ = f.log.Log("msg", "no piece", "core", core, "from", span.offset, "err", err)
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
		sleep(ctx, backoff(failures, maxBackoff))
		failures = min(failures+1, maxChunkBackoffStep)
	}
}

// oneWaits ends all goroutines but one where sources are busy: the next answer to a poll begins them again.
func (f *Follower) retireFetcher() bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if f.fetchers == 1 {
		return false
	}
	f.fetchers--
	return true
}

// claim gives the next part of the value that is being fetched; where there is none the goroutine has to end.
func (f *Follower) claimSpan(ctx context.Context) (*download, span, bool) {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if d := f.replica.download; d != nil && ctx.Err() == nil {
		if span, ok := d.nextSpan(); ok {
			return d, span, true
		}
	}
	f.fetchers--
	return nil, span{}, false
}

// give takes a piece in, nil for none, and tells whether the same core node is to be asked on.
func (f *Follower) handleChunk(d *download, span span, chunk *Chunk) bool {
	f.replicaMu.Lock()
	defer f.replicaMu.Unlock()
	if f.replica.download != d {
		return true // a newer value came meanwhile
	}
	if !d.handleChunk(span, chunk) {
		f.mu.Lock()
		maxFailures := 2 * len(f.sources.cores)
		f.mu.Unlock()
		if d.failures >= maxFailures {
			_ = f.log.Log("msg", "no core node has the value any more", "place", d.ref.Index, "have", len(d.data), "of", d.ref.Size)
			f.replica.abandonDownload()
		}
		return false
	}
	if !d.complete() {
		return true
	}
	if err := f.replica.finishDownload(); err != nil {
		f.log.Trouble("msg", "a fetched value cannot be used", "place", d.ref.Index, "err", err)
		return false
	}
	f.publishTables()
	return true
}

var _ Caller = rpcCaller{}
