package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// look gathers what stores say of the previous turn.
type look struct {
	quorum  *quorum // of those that say that they do not have it, and may
	knows   []Store
	lacks   []Store
	heard   []string
	history []byte
	part    bool // history is the end of it, from behind missing on
	whole   bool
	missing string
	left    time.Duration
}

func (l *look) take(s Store, r *openReply) {
	l.heard = append(l.heard, s.ID)
	switch {
	case r.Known:
		l.knows = append(l.knows, s)
		l.quorum.set(s.ID, false)
		if r.Got && !l.whole {
			l.history, l.missing, l.whole, l.part = r.History, r.Missing, r.Missing == "", true
			l.left = time.Duration(r.LeftMs) * time.Millisecond
		}
		if r.Got && r.Missing != "" {
			l.lacks = append(l.lacks, s)
		}
	default:
		l.quorum.set(s.ID, r.Valid)
		if r.Valid {
			l.lacks = append(l.lacks, s)
		}
	}
}

// find asks all stores for a turn: its key and those that know it.
func (c *Client) find(ctx context.Context, p *Placement, id string) (string, []Store, error) {
	stores := p.Stores()
	answers := ask(c, stores, c.callTime, func(s Store) (rpc.Method, any) {
		return MethodFindTurn, &findCall{To: RequestHeader{s.ID, p.Generation}, Turn: id}
	}, func(r *findReply) int { return r.Status })
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
				failed = worse(failed, a.err)
				no.set(a.store.ID, false)
			case a.reply.Known:
				return a.reply.Key, []Store{a.store}, nil
			default:
				no.set(a.store.ID, a.reply.Valid)
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
	return "", nil, unsure(failed, "look for the previous turn")
}

// history reads a turn's history, put together from several stores where none has all of the chain.
func (c *Client) history(ctx context.Context, p *Placement, key, id string, l *look) ([]byte, time.Duration, error) {
	stores := storesOf(p.ReplicaSets(key))
	for _, s := range l.knows {
		if !slices.ContainsFunc(stores, func(o Store) bool { return o.ID == s.ID }) {
			stores = append(slices.Clone(stores), s)
		}
	}
	stores = c.prefer(stores)
	if len(l.knows) > 0 && !l.part { // those that are known to have it go first
		knows := func(s Store) int {
			if slices.ContainsFunc(l.knows, func(o Store) bool { return o.ID == s.ID }) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(stores, func(a, b Store) int { return knows(a) - knows(b) })
	}
	var end []byte
	left := l.left
	if l.part {
		end, id = l.history, l.missing
	}
	for range chainHops {
		r, err := c.part(ctx, p, key, id, stores)
		if err != nil {
			return nil, 0, err
		}
		if !l.part && len(end) == 0 {
			left = time.Duration(r.LeftMs) * time.Millisecond
		}
		end = append(r.History[:len(r.History):len(r.History)], end...)
		if r.Missing == "" {
			return end, left, nil
		}
		id = r.Missing
	}
	return nil, 0, unsure(errors.Newf("the chain of turn %q is in too many parts", id), "read the history")
}

// part reads the history of a turn as far as one store has it; stores are asked one after the other, sooner than the
// one before has failed.
func (c *Client) part(ctx context.Context, p *Placement, key, id string, stores []Store) (*historyReply, error) {
	answers := make(chan answer[historyReply], len(stores))
	asked, waiting := 0, 0
	next := func() {
		if asked == len(stores) {
			return
		}
		askInto(c, answers, stores[asked:asked+1], c.callTime, func(s Store) (rpc.Method, any) {
			return MethodHistory, &historyCall{To: RequestHeader{s.ID, p.Generation}, Key: key, Turn: id}
		}, func(r *historyReply) int { return r.Status })
		asked++
		waiting++
	}
	next()
	hedge := time.NewTicker(hedgeAfter)
	defer hedge.Stop()
	var failed error
	var part *historyReply
	for waiting > 0 {
		select {
		case a := <-answers:
			waiting--
			switch {
			case a.err != nil:
				failed = worse(failed, a.err)
			case a.reply.Known && a.reply.Missing == "":
				return a.reply, nil
			case a.reply.Known && a.reply.Missing != id && (part == nil || len(part.History) < len(a.reply.History)):
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
	return nil, unsure(failed, "read the history")
}

// keep caches the whole history of a turn that stores keep for a while yet.
func (c *Client) keep(key, id string, history []byte, left time.Duration) {
	if left -= keepMargin; left > 0 {
		c.pieces.put(&piece{key: key, id: id, bytes: history, until: time.Now().Add(left)})
	}
}

// mend tells stores that they lack turns of a program.
func (c *Client) mend(p *Placement, key string, stores []Store) {
	for _, s := range stores {
		c.mu.Lock()
		ok := c.repairs < repairMost
		if ok {
			c.repairs++
		}
		c.mu.Unlock()
		if !ok {
			return
		}
		done := func() {
			c.mu.Lock()
			c.repairs--
			c.mu.Unlock()
		}
		if !c.begin(laterMost) {
			done()
			return
		}
		go func() {
			defer c.end()
			defer done()
			ctx, stop := context.WithTimeout(c.ctx, c.callTime)
			defer stop()
			_ = c.calls.Notify(ctx, s.Addr, MethodRepair, &repairNotice{To: RequestHeader{s.ID, p.Generation}, Key: key})
		}()
	}
}
