package turnstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// Close keeps a turn that ended whole: nil once enough disks have it, so that its end may be passed on. After an error
// the turn may be kept or not, and its end must not be passed on.
func (c *Client) Close(ctx context.Context, t *Turn) error {
	record := t.record()
	p := c.placement()
	if p == nil {
		return unavailable(errors.New("no placement of stores was heard of yet"), "keep a turn")
	}
	var err error
	for range 4 {
		if err = c.closeUnderPlacement(ctx, p, &record, t.UsedTokens); err == nil {
			previous := t.Previous
			if record.Root {
				previous = ""
			}
			c.cache.put(&cachedIncrement{key: t.Key, id: t.ID, previous: previous, bytes: record.Increment, until: time.Now().Add(time.Duration(t.RetainSeconds) * time.Second)})
			return nil
		}
		if ctx.Err() != nil {
			return unavailable(ctx.Err(), "keep a turn")
		}
		if errors.Is(err, ErrOldPlacement) {
			if newer := c.awaitNewerPlacement(ctx, p.Generation); newer != nil {
				p = newer
			}
			continue
		}
		if !c.sleep(ctx, retryBackoff) {
			break
		}
		if now := c.placement(); now != nil {
			p = now
		}
	}
	return unavailable(err, "keep a turn")
}

func (c *Client) closeUnderPlacement(ctx context.Context, p *Placement, t *Record, used int) error {
	groups := p.ReplicaSets(t.Key)
	stores := distinctStores(groups)
	q := newQuorum(groups, func(g ReplicaSet) int { return max(g.Majority(), min(p.DurableReplicas, len(g))) })
	answers := broadcast(c, stores, c.closeTimeout, func(s Store) (rpc.Method, any) {
		return MethodClose, &closeCall{To: RequestHeader{s.ID, p.Generation}, Turn: *t, UsedTokens: used}
	}, func(r *statusReply) int { return r.Status })
	var failed error
	for range stores {
		select {
		case a := <-answers:
			if a.err != nil {
				failed = dominantError(failed, a.err)
			}
			q.record(a.store.ID, a.err == nil)
		case <-ctx.Done():
			return ctx.Err()
		}
		switch reached, lost := q.state(); {
		case reached:
			return nil
		case lost:
			return dominantError(failed, ErrUnavailable)
		}
	}
	return dominantError(failed, ErrUnavailable)
}

// Settle tells the stores in the background what a turn handed out that was opened and is not kept: 0 if it did not run.
func (c *Client) Settle(program, turn string, used int) {
	if !c.beginBackground(maxBackground / 2) {
		return // the reservation stays at its most
	}
	go func() {
		defer c.endBackground()
		told := map[string]bool{}
		for _, pause := range settleBackoff {
			if !c.sleep(c.ctx, pause) {
				return
			}
			p := c.placement()
			if p == nil {
				continue
			}
			var stores []Store
			for _, s := range distinctStores(p.ReplicaSets(program)) {
				if !told[s.ID] {
					stores = append(stores, s)
				}
			}
			if len(stores) == 0 {
				return
			}
			answers := broadcast(c, stores, c.callTimeout, func(s Store) (rpc.Method, any) {
				return MethodSettle, &settleCall{To: RequestHeader{s.ID, p.Generation}, Program: program, Turn: turn, UsedTokens: used}
			}, func(r *statusReply) int { return r.Status })
			for range stores {
				if a := <-answers; a.err == nil {
					told[a.store.ID] = true
				}
			}
		}
	}()
}
