package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

const closeAttempts = 4

// Close stores a turn that ended completely. It returns nil once enough replicas have synced it, so that the end of the
// turn may be sent to its client. After an error, which is an ErrUnavailable or ErrTooLong, the turn may be stored or not, and its end
// must not be sent.
func (c *Client) Close(ctx context.Context, t *Turn) error {
	if size := t.size(); size > MaxIncrementBytes {
		return errors.Wrapf(ErrTooLong, "%d bytes", size)
	}
	release, err := c.acquireClosing(ctx, t)
	if err != nil {
		return unavailable(err, "keep a turn")
	}
	var calls sync.WaitGroup // that go on after the turn is closed
	defer releaseAfter(&calls, release)
	record := t.record()
	p := c.placement()
	if p == nil {
		return unavailable(errors.New("no placement of stores was received yet"), "keep a turn")
	}
	for range closeAttempts {
		if err = c.closeUnderPlacement(ctx, p, &record, t.UsedTokens, &calls); err == nil {
			c.cacheClosed(t, &record)
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

// cacheClosed caches the increment of a turn that was stored.
func (c *Client) cacheClosed(t *Turn, record *Record) {
	previous := t.Previous
	if record.Root {
		previous = ""
	}
	c.cache.put(&cachedIncrement{key: t.Key, id: t.ID, previous: previous, bytes: record.Increment,
		until: time.Now().Add(time.Duration(t.RetainSeconds) * time.Second)})
}

// closeUnderPlacement is one attempt to store a turn. It returns nil once, in each replica set in force, a majority and
// at least DurableReplicas have synced it. Calls to other replicas may go on, which calls waits for.
func (c *Client) closeUnderPlacement(ctx context.Context, p *Placement, t *Record, usedTokens int, calls *sync.WaitGroup) error {
	groups := p.ReplicaSets(t.Key)
	stores := distinctStores(groups)
	q := newQuorum(groups, func(g ReplicaSet) int { return max(g.Majority(), min(p.DurableReplicas, len(g))) })
	responses := broadcast(c, stores, c.closeTimeout, func(s Store) (rpc.Method, any) {
		return MethodClose, &closeCall{To: RequestHeader{s.ID, p.Generation}, Turn: *t, UsedTokens: usedTokens}
	}, func(r *statusReply) int { return r.Status })
	var failure error
	pending := len(stores)
	defer func() {
		if pending > 0 && len(t.Increment) > freeClosingBytes {
			calls.Go(func() { awaitResponses(responses, pending) })
		}
	}()
	for range stores {
		select {
		case response := <-responses:
			pending--
			if response.err != nil {
				failure = dominantError(failure, response.err)
			}
			q.record(response.store.ID, response.err == nil)
		case <-ctx.Done():
			return ctx.Err()
		}
		switch reached, impossible := q.state(); {
		case reached:
			return nil
		case impossible:
			return dominantError(failure, ErrUnavailable)
		}
	}
	return dominantError(failure, ErrUnavailable)
}

// Settle records in the background what a turn used that was opened and is not stored with Close: 0 if it did not run.
// It is best effort: where it fails, the turn's reservation counts in full until the ledger expires.
func (c *Client) Settle(program, turn string, usedTokens int) {
	if !c.beginBackground(maxBackground / 2) {
		return
	}
	go func() {
		defer c.endBackground()
		c.settle(program, turn, usedTokens)
	}()
}

// settle sends a settlement to all replicas, and again to those that have not acknowledged it.
func (c *Client) settle(program, turn string, usedTokens int) {
	acknowledged := map[string]bool{}
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
			if !acknowledged[s.ID] {
				stores = append(stores, s)
			}
		}
		if len(stores) == 0 {
			return
		}
		responses := broadcast(c, stores, c.callTimeout, func(s Store) (rpc.Method, any) {
			return MethodSettle, &settleCall{To: RequestHeader{s.ID, p.Generation}, Program: program, Turn: turn, UsedTokens: usedTokens}
		}, func(r *statusReply) int { return r.Status })
		for range stores {
			if response := <-responses; response.err == nil {
				acknowledged[response.store.ID] = true
			}
		}
	}
}
