package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// openAttempt is one try to open a turn, under one placement. It asks all copies at once, and needs their majority for the
// reservation and one of them for the history.
type openAttempt struct {
	client      *Client
	placement   *Placement
	stores      []Store // the copies, those that should answer first before the others
	historyFrom string  // the store that is asked for the history with the reservation; empty for none
	began       time.Time
	answers     <-chan answer[openReply]
	waiting     int // answers that have not come

	reservation *reservation
	look        *look // what the answers say of the previous turn
	failed      error
	opened      *OpenedTurn
	hasHistory  bool // it was at hand, or there is none
}

func (c *Client) newOpenAttempt(p *Placement, o OpenRequest) *openAttempt {
	groups := p.ReplicaSets(o.Program)
	a := &openAttempt{client: c, placement: p, stores: c.prefer(storesOf(groups)), opened: &OpenedTurn{OpenRequest: o},
		reservation: newReservation(groups, o.Budget), look: &look{quorum: newQuorum(groups, majority)}}
	a.takeCached()
	if !a.hasHistory && len(a.stores) > 0 {
		a.historyFrom = a.stores[0].ID
	}
	return a
}

// takeCached takes the history that the client has at hand.
func (a *openAttempt) takeCached() {
	o := a.opened
	if o.Previous == "" {
		a.hasHistory = true
		return
	}
	if key, history, ok := a.client.pieces.history(o.Previous, time.Now()); ok {
		o.History, o.ForeignBase, a.hasHistory = history, key != o.Program, true
	}
}

func (a *openAttempt) run(ctx context.Context) (*OpenedTurn, error) {
	a.ask()
	if err := a.reserve(ctx); err != nil {
		return nil, err
	}
	if a.hasHistory {
		return a.opened, nil
	}
	if err := a.awaitHistory(ctx); err != nil {
		return nil, err
	}
	if a.look.whole {
		a.client.keep(a.opened.Program, a.opened.Previous, a.look.history, a.look.left)
		a.opened.History = a.look.history
		return a.opened, nil
	}
	if err := a.readHistory(ctx); err != nil {
		return nil, err
	}
	return a.opened, nil
}

// ask sends the reservation to all copies.
func (a *openAttempt) ask() {
	o := &a.opened.OpenRequest
	a.began, a.waiting = time.Now(), len(a.stores)
	a.answers = ask(a.client, a.stores, a.client.callTime, func(s Store) (rpc.Method, any) {
		return MethodOpen, &openCall{To: RequestHeader{s.ID, a.placement.Generation}, Program: o.Program, Turn: o.Turn, Previous: o.Previous, Need: o.MaxTokens, History: s.ID == a.historyFrom}
	}, func(r *openReply) int { return r.Status })
}

func (a *openAttempt) take(one answer[openReply]) {
	a.waiting--
	if one.err != nil {
		a.failed = worse(a.failed, one.err)
		a.reservation.answer(1, one.store.ID, false, nil)
		a.look.quorum.set(one.store.ID, false)
		a.look.heard = append(a.look.heard, one.store.ID)
		return
	}
	a.look.take(one.store, one.reply)
	if one.reply.Home != "" {
		a.opened.CacheHost, a.opened.ContextTokens = one.reply.Home, one.reply.Context
	}
	a.reservation.answer(1, one.store.ID, true, one.reply.Ledger)
}

// reserve waits until a majority has decided on the reservation; nil: it is granted.
func (a *openAttempt) reserve(ctx context.Context) error {
	verdict := Waiting
	for verdict = a.reservation.verdict(); verdict == Waiting && a.waiting > 0; verdict = a.reservation.verdict() {
		select {
		case one := <-a.answers:
			a.take(one)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if verdict == ReadAgain {
		var err error
		if verdict, err = a.client.readAgain(ctx, a.placement, a.opened.Program, a.stores, a.reservation); err != nil {
			a.failed = worse(a.failed, err)
		}
	}
	switch verdict {
	case Spent:
		return errors.Mark(errors.Newf("%d tokens of a budget of %d", a.reservation.ledger.Sum(), a.opened.Budget), ErrBudget)
	case Granted:
		return nil
	default:
		return worse(a.failed, ErrUnavailable)
	}
}

// awaitHistory waits for the whole history from the store that was asked for it, for a short while; then for any that knows
// the turn, or for a majority that does not.
func (a *openAttempt) awaitHistory(ctx context.Context) error {
	hedge := time.NewTimer(max(time.Millisecond, hedgeAfter-time.Since(a.began)))
	defer hedge.Stop()
	late := false
	for !a.look.whole && a.waiting > 0 && !a.heardEnough(late) {
		select {
		case one := <-a.answers:
			a.take(one)
		case <-hedge.C:
			late = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// heardEnough tells whether to look elsewhere for the history; late: the store that was asked for it has had its time.
func (a *openAttempt) heardEnough(late bool) bool {
	if len(a.look.knows) > 0 {
		return late || slices.Contains(a.look.heard, a.historyFrom)
	}
	reached, lost := a.look.quorum.state()
	return reached || lost && late
}

// readHistory reads the history from those that know the previous turn, under its own program's key where none of the copies
// does.
func (a *openAttempt) readHistory(ctx context.Context) error {
	o, key := a.opened, a.opened.Program
	if len(a.look.knows) == 0 {
		var err error
		if key, a.look.knows, err = a.client.find(ctx, a.placement, o.Previous); err != nil {
			if errors.Is(a.failed, ErrOldPlacement) {
				err = a.failed
			}
			return err
		}
	}
	a.client.mend(a.placement, key, a.look.lacks)
	history, left, err := a.client.history(ctx, a.placement, key, o.Previous, a.look)
	if err != nil {
		return err
	}
	a.client.keep(key, o.Previous, history, left)
	o.History, o.ForeignBase = history, key != o.Program
	return nil
}

// readAgain reads the ledgers of a majority once more, past half of the budget.
func (c *Client) readAgain(ctx context.Context, p *Placement, program string, stores []Store, r *reservation) (Verdict, error) {
	answers := ask(c, stores, c.callTime, func(s Store) (rpc.Method, any) {
		return MethodReadLedger, &peekCall{To: RequestHeader{s.ID, p.Generation}, Program: program}
	}, func(r *peekReply) int { return r.Status })
	var failed error
	for range stores {
		select {
		case a := <-answers:
			if a.err != nil {
				failed = worse(failed, a.err)
				r.answer(2, a.store.ID, false, nil)
			} else {
				r.answer(2, a.store.ID, true, a.reply.Ledger)
			}
		case <-ctx.Done():
			return Unsure, ctx.Err()
		}
		if v := r.verdict(); v != Waiting {
			return v, failed
		}
	}
	return Unsure, failed
}
