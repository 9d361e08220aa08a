package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// readHistory reads the history of a turn, assembled from segments of several stores where none has the whole chain. It
// returns for how long the turn is retained at least.
func (c *Client) readHistory(ctx context.Context, p *Placement, key, id string,
	l *previousTurnLookup) (history []byte, remaining time.Duration, err error) {
	stores := c.historyStores(p, key, l)
	remaining = l.remaining
	if l.partial {
		history, id = l.history, l.missing
	}
	for range maxHistorySegments {
		r, err := c.readSegment(ctx, p, key, id, stores)
		if err != nil {
			return nil, 0, err
		}
		if !l.partial && len(history) == 0 {
			remaining = time.Duration(r.RemainingMs) * time.Millisecond
		}
		history = append(r.History[:len(r.History):len(r.History)], history...)
		if r.Missing == "" {
			return history, remaining, nil
		}
		id = r.Missing
	}
	return nil, 0, unavailable(errors.Newf("the chain of turn %q is in too many segments", id), "read the history")
}

// historyStores returns the stores to read a history from, in the order of preference: the replicas of the key and the
// stores that are known to have the turn, which go first unless one of them has returned its part already.
func (c *Client) historyStores(p *Placement, key string, l *previousTurnLookup) []Store {
	stores := distinctStores(p.ReplicaSets(key))
	for _, s := range l.known {
		if !ContainsStore(stores, s.ID) {
			stores = append(slices.Clone(stores), s)
		}
	}
	stores = c.byPreference(stores)
	if len(l.known) > 0 && !l.partial {
		rank := func(s Store) int {
			if ContainsStore(l.known, s.ID) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(stores, func(a, b Store) int { return rank(a) - rank(b) })
	}
	return stores
}

// readSegment reads the history of a turn as far as one store has it. It asks one store after the other: the next one
// when a response is not sufficient, or after hedgeDelay. If no store has the whole chain, the longest segment is returned.
func (c *Client) readSegment(ctx context.Context, p *Placement, key, id string, stores []Store) (*historyReply, error) {
	responses := make(chan replicaResponse[historyReply], len(stores))
	asked, pending := 0, 0
	askNext := func() {
		if asked == len(stores) {
			return
		}
		broadcastInto(c, responses, stores[asked:asked+1], c.callTimeout, func(s Store) (rpc.Method, any) {
			return MethodHistory, &historyCall{To: RequestHeader{s.ID, p.Generation}, Key: key, Turn: id}
		}, func(r *historyReply) int { return r.Status })
		asked++
		pending++
	}
	askNext()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	var failure error
	var longest *historyReply
	for pending > 0 {
		select {
		case response := <-responses:
			pending--
			reply := response.reply
			switch {
			case response.err != nil:
				failure = dominantError(failure, response.err)
			case reply.Found && reply.Missing == "":
				return reply, nil
			case reply.Found && reply.Missing != id && (longest == nil || len(longest.History) < len(reply.History)):
				longest = reply
			}
			askNext()
		case <-hedge.C:
			askNext()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if longest != nil {
		return longest, nil
	}
	return nil, unavailable(failure, "read the history")
}

// cacheHistory caches the complete history of a turn that stores retain for the given time at least. The entry expires
// retainMargin earlier, so that a cached turn is never older than its replicas.
func (c *Client) cacheHistory(key, id string, history []byte, remaining time.Duration) {
	if remaining -= retainMargin; remaining > 0 {
		c.cache.put(&cachedIncrement{key: key, id: id, bytes: history, until: time.Now().Add(remaining)})
	}
}

// sendRepairNotices starts a read repair: it notifies stores that they lack turns of a program, in the background and
// without acknowledgement. At most maxRepairNotices are in flight; others are dropped, as anti-entropy finds them later.
func (c *Client) sendRepairNotices(p *Placement, key string, stores []Store) {
	for _, s := range stores {
		c.mu.Lock()
		ok := c.repairNotices < maxRepairNotices
		if ok {
			c.repairNotices++
		}
		c.mu.Unlock()
		if !ok {
			return
		}
		done := func() {
			c.mu.Lock()
			c.repairNotices--
			c.mu.Unlock()
		}
		if !c.beginBackground(maxBackground) {
			done()
			return
		}
		go func() {
			defer c.endBackground()
			defer done()
			ctx, stop := context.WithTimeout(c.ctx, c.callTimeout)
			defer stop()
			_ = c.transport.Notify(ctx, s.Addr, MethodRepair, &repairNotice{To: RequestHeader{s.ID, p.Generation}, Key: key})
		}()
	}
}
