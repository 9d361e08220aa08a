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

// notice tells the platform how a message ended that was not delivered.
type notice struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Again  int64  `json:"again_ms,omitempty"`
}

const (
	undeliverable = "undeliverable"
	deferred      = "deferred"
	noticeBatch   = 64
	noticeTimeout = 250 * time.Millisecond // it is answered at once, and overdue 300 ms after the message's time
)

// outbox holds the notices that are to be posted. Putting one never blocks.
type outbox struct {
	*sync.Mutex
	queue []notice
	ready chan struct{} // one waits here when the list is not empty
}

func newOutbox() outbox { return outbox{Mutex: new(sync.Mutex), ready: make(chan struct{}, 1)} }

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

// take returns some of them, perhaps none.
func (o *outbox) take() []notice {
	o.Lock()
	defer o.Unlock()
	n := min(noticeBatch, len(o.queue))
	some := slices.Clone(o.queue[:n])
	if o.queue = slices.Delete(o.queue, 0, n); len(o.queue) > 0 {
		select {
		case o.ready <- struct{}{}:
		default:
		}
	} else {
		o.queue = nil // a burst's memory is not kept
	}
	return some
}

// postNotices posts notices until the context ends. Each is repeated until it is
// acknowledged: a message that was taken on is lost without it.
func (r *Relay) postNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.notices.ready:
		}
		some := r.notices.take()
		if r.postUntilAcknowledged(ctx, some) || len(some) == 1 {
			continue
		}
		for i := range some { // one of them is not taken: it must not hold up the others
			r.postUntilAcknowledged(ctx, some[i:i+1])
		}
	}
}

// postUntilAcknowledged posts notices until they are acknowledged or turned away, and tells which. One that is
// turned away alone comes back later.
func (r *Relay) postUntilAcknowledged(ctx context.Context, some []notice) bool {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		a := r.agent.Load()
		status, err := postNoticeBatch(a, some)
		switch {
		case ctx.Err() != nil:
			return true // the journal has them
		case status == http.StatusNoContent:
			r.post(func() {
				for _, n := range some {
					r.record(journal.Record{Op: journal.OpEnd, ID: n.ID})
					r.noticeAcknowledged(n.ID)
				}
				r.pendingNotices -= len(some)
			})
			return true
		case a.ctx.Err() != nil:
			pause = minBackoff / 2 // another took its place
			continue
		}
		slog.Warn("notices not taken", "count", len(some), "status", status, "err", err)
		if err != nil {
			r.tryNextAddress(a, err)
		} else if status/100 == 4 {
			if len(some) == 1 {
				time.AfterFunc(maxBackoff, func() { r.notices.put(some...) })
			}
			return false
		}
		select {
		case <-r.agent.Load().ctx.Done():
		case <-time.After(pause):
		}
	}
}

func postNoticeBatch(a *agent, some []notice) (status int, err error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, n := range some {
		if err := enc.Encode(n); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithTimeout(a.ctx, noticeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.addrs[0]+"/status", &body)
	if err != nil {
		return 0, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	return resp.StatusCode, nil
}
