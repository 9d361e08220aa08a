package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/relay/journal"
)

// notice reports to the platform how a message ended that was not delivered.
type notice struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Again  int64  `json:"again_ms,omitempty"`
}

const (
	undeliverable = "undeliverable"
	deferred      = "deferred"
	noticeBatch   = 64
	noticeTimeout = 250 * time.Millisecond // it is answered at once, and late 300 ms after the message's deadline
)

// outbox holds the notices to be posted. It is safe for concurrent use.
type outbox struct {
	*sync.Mutex
	queue []notice
	ready chan struct{} // holds a value while the queue is not empty
}

// newOutbox returns an empty outbox.
func newOutbox() outbox { return outbox{Mutex: new(sync.Mutex), ready: make(chan struct{}, 1)} }

// put adds notices. It never blocks.
func (o *outbox) put(more ...notice) {
	if len(more) == 0 {
		return
	}
	o.Lock()
	defer o.Unlock()
	o.queue = append(o.queue, more...)
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take removes and returns up to noticeBatch notices, perhaps none.
func (o *outbox) take() []notice {
	o.Lock()
	defer o.Unlock()
	count := min(noticeBatch, len(o.queue))
	batch := slices.Clone(o.queue[:count])
	if o.queue = slices.Delete(o.queue, 0, count); len(o.queue) > 0 {
		select {
		case o.ready <- struct{}{}:
		default:
		}
	} else {
		o.queue = nil // releases the memory of a burst
	}
	return batch
}

// postNotices posts notices until the context ends. Each is repeated until it is acknowledged: an admitted message would be
// lost without it.
func (r *Relay) postNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.notices.ready:
		}
		batch := r.notices.take()
		if r.postUntilAcknowledged(ctx, batch) || len(batch) == 1 {
			continue
		}
		for i := range batch { // one of them is rejected and must not hold up the others
			r.postUntilAcknowledged(ctx, batch[i:i+1])
		}
	}
}

// postUntilAcknowledged posts notices until they are acknowledged or rejected, and reports whether they were acknowledged. A
// notice that is rejected by itself is put back into the outbox later.
func (r *Relay) postUntilAcknowledged(ctx context.Context, batch []notice) bool {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		current := r.agent.Load()
		status, err := postNoticeBatch(current, batch)
		switch {
		case ctx.Err() != nil:
			return true // the journal has them
		case status == http.StatusNoContent:
			r.post(func() {
				for _, n := range batch {
					r.record(journal.Record{Op: journal.OpEnd, ID: n.ID})
					r.noticeAcknowledged(n.ID)
				}
				r.pendingNotices -= len(batch)
			})
			return true
		case current.ctx.Err() != nil:
			pause = minBackoff / 2 // it was replaced
			continue
		}
		slog.Warn("notices not taken", "count", len(batch), "status", status, "err", err)
		if err != nil {
			r.tryNextAddress(current, err)
		} else if status/100 == 4 {
			if len(batch) == 1 {
				time.AfterFunc(maxBackoff, func() { r.notices.put(batch...) })
			}
			return false
		}
		select {
		case <-r.agent.Load().ctx.Done():
		case <-time.After(pause):
		}
	}
}

// postNoticeBatch posts notices once, and returns the status of the answer.
func postNoticeBatch(current *agent, batch []notice) (status int, err error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(current.ctx, noticeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+current.addrs[0]+"/status", &body)
	if err != nil {
		return 0, err
	}
	resp, err := current.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	return resp.StatusCode, nil
}
