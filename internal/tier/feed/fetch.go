package feed

import (
	"context"
	"time"
)

const (
	piecesUnderWay = 2 // of the one value that a follower fetches
	pieceLimit     = time.Second
	slowestPiece   = 3 // the pause between calls for pieces grows up to backoff of it, 0.2 to 0.4 s
)

// fetch begins to fetch the pieces of a large value, if there is one and it is not under way.
func (f *Follower) fetch(ctx context.Context) {
	f.state.Lock()
	defer f.state.Unlock()
	if d := f.replica.fetch; d == nil || d.stopped {
		return
	}
	for ; f.fetchers < piecesUnderWay; f.fetchers++ {
		f.wg.Go(func() { f.fetchPieces(ctx) })
	}
}

// fetchPieces asks for one piece after the other, beginning at the core node that is followed and going on at others,
// until none is left to ask for.
func (f *Follower) fetchPieces(ctx context.Context) {
	core := f.Core()
	for failed := 0; ; {
		d, part, ok := f.claim(ctx)
		if !ok {
			return
		}
		one, done := context.WithTimeout(ctx, pieceLimit)
		p := new(Chunk)
		err := f.calls.Call(one, core, ChunkCall, &ChunkRequest{Name: f.name, Digest: d.name.Digest, Offset: part.from, Length: part.length}, p)
		done()
		if err != nil {
			f.log.Debug("no piece", "node", core, "offset", part.from, "err", err)
			p = nil
		}
		if f.give(d, part, p) {
			failed = 0
			continue
		}
		if p != nil && p.Status == ChunkBusy && f.oneWaits() {
			return
		}
		f.mu.Lock()
		core = f.sources.after(core)
		f.mu.Unlock()
		pause(ctx, backoff(failed, retryMost))
		failed = min(failed+1, slowestPiece)
	}
}

// oneWaits ends all goroutines but one where sources are busy: the next answer to a poll begins them again.
func (f *Follower) oneWaits() bool {
	f.state.Lock()
	defer f.state.Unlock()
	if f.fetchers == 1 {
		return false
	}
	f.fetchers--
	return true
}

// claim gives the next part of the value that is being fetched; where there is none the goroutine has to end.
func (f *Follower) claim(ctx context.Context) (*download, span, bool) {
	f.state.Lock()
	defer f.state.Unlock()
	if d := f.replica.fetch; d != nil && ctx.Err() == nil {
		if part, ok := d.claim(); ok {
			return d, part, true
		}
	}
	f.fetchers--
	return nil, span{}, false
}

// give takes a piece in, nil for none, and tells whether the same core node is to be asked on.
func (f *Follower) give(d *download, part span, p *Chunk) bool {
	f.state.Lock()
	defer f.state.Unlock()
	if f.replica.fetch != d {
		return true // a newer value came meanwhile
	}
	if !d.give(part, p) {
		f.mu.Lock()
		patience := 2 * len(f.sources.cores)
		f.mu.Unlock()
		if d.refused >= patience {
			f.log.Debug("no core node has the value any more", "index", d.name.Index, "have", len(d.have), "size", d.name.Size)
			f.replica.gone()
		}
		return false
	}
	if !d.complete() {
		return true
	}
	if err := f.replica.fetched(); err != nil {
		f.log.Error("a fetched value cannot be used", "index", d.name.Index, "err", err)
		return false
	}
	f.swap()
	return true
}

var _ Caller = clients{}
