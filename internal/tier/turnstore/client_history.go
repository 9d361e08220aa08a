package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// previousTurnLookup gathers what stores say of the previous turn.
type previousTurnLookup struct {
	absence  *quorum // of those that say that they do not have it, and may
	known   []Store
	lacking   []Store
	responded   []string
	history []byte
	partial    bool // history is the end of it, from behind missing on
	complete   bool
	missing string
	remaining    time.Duration
}

func (l *previousTurnLookup) add(s Store, r *openReply) {
	l.responded = append(l.responded, s.ID)
	switch {
	case r.Found:
		l.known = append(l.known, s)
		l.absence.record(s.ID, false)
		if r.HasHistory && !l.complete {
			l.history, l.missing, l.complete, l.partial = r.History, r.Missing, r.Missing == "", true
			l.remaining = time.Duration(r.RemainingMs) * time.Millisecond
		}
		if r.HasHistory && r.Missing != "" {
			l.lacking = append(l.lacking, s)
		}
	default:
		l.absence.record(s.ID, r.Authoritative)
		if r.Authoritative {
			l.lacking = append(l.lacking, s)
		}
	}
}

// findTurn asks all stores for a turn: its key and those that know it.
func (c *Client) findTurn(ctx context.Context, p *Placement, id string) (string, []Store, error) {
	stores := p.Stores()
	answers := broadcast(c, stores, c.callTimeout, func(s Store) (rpc.Method, any) {
		return MethodFindTurn, &findTurnCall{To: RequestHeader{s.ID, p.Generation}, Turn: id}
	}, func(r *findTurnReply) int { return r.Status })
	// A turn is on more stores than may be lost: if all but as many say no, there is none.
	lists := []ReplicaSet{p.Old}
	if len(p.New) > 0 {
		lists = append(lists, p.New)
	}
	no := newQuorum(lists, func(list ReplicaSet) int { return max(1, len(list)-p.FaultTolerance) })
	var failed error
	for range stores {
		select {
		case a := <-answers:
			switch {
			case a.err != nil:
				failed = dominantError(failed, a.err)
				no.record(a.store.ID, false)
			case a.reply.Found:
				return a.reply.Key, []Store{a.store}, nil
			default:
				no.record(a.store.ID, a.reply.Authoritative)
			}
		case <-ctx.Done():
			return "", nil, ctx.Err()
		}
		if reached, _ := no.state(); reached {
			return "", nil, errors.Mark(errors.Newf("no store has the turn %q", id), ErrNoTurn)
		}
	}
	if failed == nil {
		failed = errors.New("stores that have not caught up cannot tell")
	}
	return "", nil, unavailable(failed, "look for the previous turn")
}

// readHistory reads a turn's readHistory, put together from several stores where none has all of the chain.
func (c *Client) readHistory(ctx context.Context, p *Placement, key, id string, l *previousTurnLookup) ([]byte, time.Duration, error) {
	stores := distinctStores(p.ReplicaSets(key))
	for _, s := range l.known {
		if !slices.ContainsFunc(stores, func(o Store) bool { return o.ID == s.ID }) {
			stores = append(slices.Clone(stores), s)
		}
	}
	stores = c.byPreference(stores)
	if len(l.known) > 0 && !l.partial { // those that are known to have it go first
		knows := func(s Store) int {
			if slices.ContainsFunc(l.known, func(o Store) bool { return o.ID == s.ID }) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(stores, func(a, b Store) int { return knows(a) - knows(b) })
	}
	var end []byte
	left := l.remaining
	if l.partial {
		end, id = l.history, l.missing
	}
	for range maxHistorySegments {
		r, err := c.readSegment(ctx, p, key, id, stores)
		if err != nil {
			return nil, 0, err
		}
		if !l.partial && len(end) == 0 {
			left = time.Duration(r.RemainingMs) * time.Millisecond
		}
		end = append(r.History[:len(r.History):len(r.History)], end...)
		if r.Missing == "" {
			return end, left, nil
		}
		id = r.Missing
	}
	return nil, 0, unavailable(errors.Newf("the chain of turn %q is in too many parts", id), "read the history")
}

// readSegment reads the history of a turn as far as one store has it; stores are asked one after the other, sooner than the
// one before has failed.
func (c *Client) readSegment(ctx context.Context, p *Placement, key, id string, stores []Store) (*historyReply, error) {
	answers := make(chan replicaResponse[historyReply], len(stores))
	asked, waiting := 0, 0
	next := func() {
		if asked == len(stores) {
			return
		}
		broadcastInto(c, answers, stores[asked:asked+1], c.callTimeout, func(s Store) (rpc.Method, any) {
			return MethodHistory, &historyCall{To: RequestHeader{s.ID, p.Generation}, Key: key, Turn: id}
		}, func(r *historyReply) int { return r.Status })
		asked++
		waiting++
	}
	next()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	var failed error
	var part *historyReply
	for waiting > 0 {
		select {
		case a := <-answers:
			waiting--
			switch {
			case a.err != nil:
				failed = dominantError(failed, a.err)
			case a.reply.Found && a.reply.Missing == "":
				return a.reply, nil
			case a.reply.Found && a.reply.Missing != id && (part == nil || len(part.History) < len(a.reply.History)):
				part = a.reply
			}
			next()
		case <-hedge.C:
			next()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if part != nil {
		return part, nil
	}
	return nil, unavailable(failed, "read the history")
}

// cacheHistory caches the whole history of a turn that stores cacheHistory for a while yet.
func (c *Client) cacheHistory(key, id string, history []byte, left time.Duration) {
	if left -= retainMargin; left > 0 {
		c.cache.put(&cachedIncrement{key: key, id: id, bytes: history, until: time.Now().Add(left)})
	}
}

// sendRepairNotices tells stores that they lack turns of a program.
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
