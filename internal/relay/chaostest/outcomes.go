package chaostest

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"larchrouter/internal/relay/adminapi"
)

// queryOutcomes queries running relays for the outcomes of the messages that they accepted.
func (t *trial) queryOutcomes(ctx context.Context) {
	all := make([][]*Message, len(t.fleet.all))
	t.recorder.update(func(b *EventLog) {
		b.Queried = make([]bool, len(t.fleet.all))
		for _, message := range b.Messages {
			if message.Status == http.StatusAccepted {
				all[message.Relay] = append(all[message.Relay], message)
			}
		}
	})
	var wg sync.WaitGroup
	for i, p := range t.fleet.all {
		p.mu.Lock()
		runs := p.ready && !p.stopped
		p.mu.Unlock()
		if !runs {
			continue
		}
		t.recorder.update(func(b *EventLog) { b.Queried[i] = true })
		next := make(chan *Message)
		wg.Go(func() {
			defer close(next)
			for _, m := range all[i] {
				next <- m
			}
		})
		for range maxQueries {
			wg.Go(func() {
				for m := range next {
					t.queryOutcome(ctx, p, m)
				}
			})
		}
	}
	wg.Wait()
}

func (t *trial) queryOutcome(ctx context.Context, p *process, m *Message) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/api/"+url.PathEscape(m.ID), nil)
	if err != nil {
		return
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return // counts as a missing notice
	}
	defer drainBody(resp.Body)
	var v adminapi.Message
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&v) == nil && v.EndedMs > 0 {
		at := t.recorder.since(time.UnixMilli(v.EndedMs))
		t.recorder.update(func(*EventLog) { m.Notices = append(m.Notices, Notice{at, v.State}) })
	}
}
