package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// openAttempt is one attempt to open a turn under one placement. It sends the reservation to all replicas at once and
// needs a majority's responses for the reservation, and one replica's for the history.
type openAttempt struct {
	client         *Client
	placement      *Placement
	stores         []Store // the replicas, in the client's order of preference
	historyReplica string  // store that is asked for the history along with the reservation; empty for none
	startedAt      time.Time
	responses      <-chan replicaResponse[openReply]
	pending        int // responses that have not arrived

	reservation *reservation
	lookup      *previousTurnLookup
	failure     error // dominant error of the responses
	opened      *OpenedTurn
	hasHistory  bool // opened.History is complete
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

// useCachedHistory takes the history from the client's cache, if it is there.
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

// broadcastOpen sends the reservation to all replicas.
func (a *openAttempt) broadcastOpen() {
	o := &a.opened.OpenRequest
	a.startedAt, a.pending = time.Now(), len(a.stores)
	a.responses = broadcast(a.client, a.stores, a.client.callTimeout, func(s Store) (rpc.Method, any) {
		return MethodOpen, &openCall{To: RequestHeader{s.ID, a.placement.Generation}, Program: o.Program, Turn: o.Turn,
			Previous: o.Previous, MaxTokens: o.MaxTokens, WantHistory: s.ID == a.historyReplica}
	}, func(r *openReply) int { return r.Status })
}

func (a *openAttempt) handleResponse(response replicaResponse[openReply]) {
	a.pending--
	if response.err != nil {
		a.failure = dominantError(a.failure, response.err)
		a.reservation.addResponse(phaseReserve, response.store.ID, false, nil)
		a.lookup.absence.record(response.store.ID, false)
		a.lookup.responded = append(a.lookup.responded, response.store.ID)
		return
	}
	a.lookup.add(response.store, response.reply)
	if response.reply.CacheHost != "" {
		a.opened.CacheHost, a.opened.ContextTokens = response.reply.CacheHost, response.reply.ContextTokens
	}
	a.reservation.addResponse(phaseReserve, response.store.ID, true, response.reply.Ledger)
}

// reserve handles responses until a majority has decided about the reservation. It returns nil if it was granted.
func (a *openAttempt) reserve(ctx context.Context) error {
	state := a.reservation.decide()
	for ; state == reservationPending && a.pending > 0; state = a.reservation.decide() {
		select {
		case response := <-a.responses:
			a.handleResponse(response)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if state == reservationReread {
		var err error
		state, err = a.client.confirmReservation(ctx, a.placement, a.opened.Program, a.stores, a.reservation)
		if err != nil {
			a.failure = dominantError(a.failure, err)
		}
	}
	switch state {
	case reservationExceeded:
		return errors.Mark(errors.Newf("%d tokens of a budget of %d", a.reservation.ledger.Sum(), a.opened.Budget), ErrBudget)
	case reservationGranted:
		return nil
	default:
		return dominantError(a.failure, ErrUnavailable)
	}
}

// awaitHistory handles responses until the history is complete or must be read elsewhere. The replica that was asked
// for it has hedgeDelay; from then on any replica that has the turn, or a majority that does not, ends the wait.
func (a *openAttempt) awaitHistory(ctx context.Context) error {
	hedge := time.NewTimer(max(time.Millisecond, hedgeDelay-time.Since(a.startedAt)))
	defer hedge.Stop()
	hedged := false
	for !a.lookup.complete && a.pending > 0 && !a.lookupDecided(hedged) {
		select {
		case response := <-a.responses:
			a.handleResponse(response)
		case <-hedge.C:
			hedged = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// lookupDecided reports whether the history must be read elsewhere; hedged: the hedge delay is over.
func (a *openAttempt) lookupDecided(hedged bool) bool {
	if len(a.lookup.known) > 0 {
		return hedged || slices.Contains(a.lookup.responded, a.historyReplica)
	}
	reached, impossible := a.lookup.absence.state()
	return reached || impossible && hedged
}

// readHistory reads the history from the stores that have the previous turn. Where no replica of this program has it,
// it looks for the turn at all stores and reads it under its own program's key.
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
	history, remaining, err := a.client.readHistory(ctx, a.placement, key, o.Previous, a.lookup)
	if err != nil {
		return err
	}
	a.client.cacheHistory(key, o.Previous, history, remaining)
	o.History, o.ForeignBase = history, key != o.Program
	return nil
}

// confirmReservation reads the ledgers of a majority again, as is required past half of the budget.
func (c *Client) confirmReservation(ctx context.Context, p *Placement, program string, stores []Store,
	r *reservation) (reservationState, error) {
	responses := broadcast(c, stores, c.callTimeout, func(s Store) (rpc.Method, any) {
		return MethodReadLedger, &readLedgerCall{To: RequestHeader{s.ID, p.Generation}, Program: program}
	}, func(r *readLedgerReply) int { return r.Status })
	var failure error
	for range stores {
		select {
		case response := <-responses:
			if response.err != nil {
				failure = dominantError(failure, response.err)
				r.addResponse(phaseReread, response.store.ID, false, nil)
			} else {
				r.addResponse(phaseReread, response.store.ID, true, response.reply.Ledger)
			}
		case <-ctx.Done():
			return reservationUndecidable, ctx.Err()
		}
		if state := r.decide(); state != reservationPending {
			return state, failure
		}
	}
	return reservationUndecidable, failure
}
