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
	historyReplica string  // the store that is asked for the history with the reservation; empty for none
	startedAt       time.Time
	responses     <-chan replicaResponse[openReply]
	pending     int // answers that have not come

	reservation *reservation
	lookup        *previousTurnLookup // what the answers say of the previous turn
	failure      error
	opened      *OpenedTurn
	hasHistory  bool // it was at hand, or there is none
}

func (c *Client) newOpenAttempt(p *Placement, o OpenRequest) *openAttempt {
	groups := p.ReplicaSets(o.Program)
	a := &openAttempt{client: c, placement: p, stores: c.byPreference(distinctStores(groups)), opened: &OpenedTurn{OpenRequest: o},
		reservation: newReservation(groups, o.Budget), lookup: &previousTurnLookup{absence: newQuorum(groups, majority)}}
	a.useCachedHistory()
	if !a.hasHistory && len(a.stores) > 0 {
		a.historyReplica = a.stores[0].ID
	}
	return a
}

// useCachedHistory takes the history that the client has at hand.
func (a *openAttempt) useCachedHistory() {
	o := a.opened
	if o.Previous == "" {
		a.hasHistory = true
		return
	}
	if key, history, ok := a.client.cache.history(o.Previous, time.Now()); ok {
		o.History, o.ForeignBase, a.hasHistory = history, key != o.Program, true
	}
}

func (a *openAttempt) run(ctx context.Context) (*OpenedTurn, error) {
	a.broadcastOpen()
	if err := a.reserve(ctx); err != nil {
		return nil, err
	}
	if a.hasHistory {
		return a.opened, nil
	}
	if err := a.awaitHistory(ctx); err != nil {
		return nil, err
	}
	if a.lookup.complete {
		a.client.cacheHistory(a.opened.Program, a.opened.Previous, a.lookup.history, a.lookup.remaining)
		a.opened.History = a.lookup.history
		return a.opened, nil
	}
	if err := a.readHistory(ctx); err != nil {
		return nil, err
	}
	return a.opened, nil
}

// broadcastOpen sends the reservation to all copies.
func (a *openAttempt) broadcastOpen() {
	o := &a.opened.OpenRequest
	a.startedAt, a.pending = time.Now(), len(a.stores)
	a.responses = broadcast(a.client, a.stores, a.client.callTimeout, func(s Store) (rpc.Method, any) {
		return MethodOpen, &openCall{To: RequestHeader{s.ID, a.placement.Generation}, Program: o.Program, Turn: o.Turn, Previous: o.Previous, MaxTokens: o.MaxTokens, WantHistory: s.ID == a.historyReplica}
	}, func(r *openReply) int { return r.Status })
}

func (a *openAttempt) handleResponse(one replicaResponse[openReply]) {
	a.pending--
	if one.err != nil {
		a.failure = dominantError(a.failure, one.err)
		a.reservation.addResponse(1, one.store.ID, false, nil)
		a.lookup.absence.record(one.store.ID, false)
		a.lookup.responded = append(a.lookup.responded, one.store.ID)
		return
	}
	a.lookup.add(one.store, one.reply)
	if one.reply.CacheHost != "" {
		a.opened.CacheHost, a.opened.ContextTokens = one.reply.CacheHost, one.reply.ContextTokens
	}
	a.reservation.addResponse(1, one.store.ID, true, one.reply.Ledger)
}

// reserve waits until a majority has decided on the reservation; nil: it is granted.
func (a *openAttempt) reserve(ctx context.Context) error {
	verdict := reservationPending
	for verdict = a.reservation.decide(); verdict == reservationPending && a.pending > 0; verdict = a.reservation.decide() {
		select {
		case one := <-a.responses:
			a.handleResponse(one)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if verdict == reservationReread {
		var err error
		if verdict, err = a.client.confirmReservation(ctx, a.placement, a.opened.Program, a.stores, a.reservation); err != nil {
			a.failure = dominantError(a.failure, err)
		}
	}
	switch verdict {
	case reservationExceeded:
		return errors.Mark(errors.Newf("%d tokens of a budget of %d", a.reservation.ledger.Sum(), a.opened.Budget), ErrBudget)
	case reservationGranted:
		return nil
	default:
		return dominantError(a.failure, ErrUnavailable)
	}
}

// awaitHistory waits for the whole history from the store that was asked for it, for a short while; then for any that knows
// the turn, or for a majority that does not.
func (a *openAttempt) awaitHistory(ctx context.Context) error {
	hedge := time.NewTimer(max(time.Millisecond, hedgeDelay-time.Since(a.startedAt)))
	defer hedge.Stop()
	late := false
	for !a.lookup.complete && a.pending > 0 && !a.lookupDecided(late) {
		select {
		case one := <-a.responses:
			a.handleResponse(one)
		case <-hedge.C:
			late = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// lookupDecided tells whether to look elsewhere for the history; late: the store that was asked for it has had its time.
func (a *openAttempt) lookupDecided(late bool) bool {
	if len(a.lookup.known) > 0 {
		return late || slices.Contains(a.lookup.responded, a.historyReplica)
	}
	reached, lost := a.lookup.absence.state()
	return reached || lost && late
}

// readHistory reads the history from those that know the previous turn, under its own program's key where none of the copies
// does.
func (a *openAttempt) readHistory(ctx context.Context) error {
	o, key := a.opened, a.opened.Program
	if len(a.lookup.known) == 0 {
		var err error
		if key, a.lookup.known, err = a.client.findTurn(ctx, a.placement, o.Previous); err != nil {
			if errors.Is(a.failure, ErrOldPlacement) {
				err = a.failure
			}
			return err
		}
	}
	a.client.sendRepairNotices(a.placement, key, a.lookup.lacking)
	history, left, err := a.client.readHistory(ctx, a.placement, key, o.Previous, a.lookup)
	if err != nil {
		return err
	}
	a.client.cacheHistory(key, o.Previous, history, left)
	o.History, o.ForeignBase = history, key != o.Program
	return nil
}

// confirmReservation reads the ledgers of a majority once more, past half of the budget.
func (c *Client) confirmReservation(ctx context.Context, p *Placement, program string, stores []Store, r *reservation) (reservationState, error) {
	answers := broadcast(c, stores, c.callTimeout, func(s Store) (rpc.Method, any) {
		return MethodReadLedger, &readLedgerCall{To: RequestHeader{s.ID, p.Generation}, Program: program}
	}, func(r *readLedgerReply) int { return r.Status })
	var failed error
	for range stores {
		select {
		case a := <-answers:
			if a.err != nil {
				failed = dominantError(failed, a.err)
				r.addResponse(2, a.store.ID, false, nil)
			} else {
				r.addResponse(2, a.store.ID, true, a.reply.Ledger)
			}
		case <-ctx.Done():
			return reservationUndecidable, ctx.Err()
		}
		if v := r.decide(); v != reservationPending {
			return v, failed
		}
	}
	return reservationUndecidable, failed
}
