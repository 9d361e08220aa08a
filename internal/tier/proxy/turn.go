package proxy

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/eventstream"
	"larchrouter/internal/tier/turnstore"
)

// openMargin is the time that the opening of a turn leaves for the host, at most half of the time that is left.
const openMargin = 100 * time.Millisecond

// openTurn is the turn of a request in the Ledger. It is zero for requests that need none: see needsLedger.
type openTurn struct {
	program  string
	id       string // of the turn, see turnID
	opened   *turnstore.OpenedTurn
	reserved bool // opened, and neither recorded nor settled
}

// needsLedger reports whether the turn is opened in the Ledger before it runs: if it is to be retained, and if its program has a
// budget, which counts on every route.
func (r *request) needsLedger() bool { return r.route.Retained || r.get("Budget") != "" }

// openTurn opens the turn in the Ledger. If it returns false the client has its error response.
func (r *request) openTurn(turn *openTurn) bool {
	budget := Unlimited
	if v := r.get("Budget"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			r.respondError(http.StatusBadRequest, 0,
				"header Budget: send the tokens that the program may generate, a whole number")
			return false
		}
		budget = n
	}
	turn.program, turn.id = cmp.Or(r.get("Program"), r.id), turnID(r.tenant, r.id)
	previous := ""
	if r.route.Retained {
		previous = turnID(r.tenant, r.get("Previous"))
	}
	ctx, stop := context.WithDeadline(r.server().ctx, r.deadline.Add(-min(openMargin, time.Until(r.deadline)/2)))
	defer stop()
	r.setCancelOpen(stop)
	defer r.setCancelOpen(nil)
	opened, err := r.server().options.Ledger.Open(ctx, turnstore.OpenRequest{Program: turn.program, Turn: turn.id,
		Previous: previous, MaxTokens: r.maxTokens, Budget: budget})
	switch {
	case err == nil:
		turn.opened, turn.reserved = opened, true
		r.phases.openedAt = time.Now()
		return true
	case errors.Is(err, turnstore.ErrBudget):
		r.logLoss(errorCause(err), http.StatusPaymentRequired)
		r.respondError(http.StatusPaymentRequired, 0, "the budget is spent: begin a program with a larger one")
	case errors.Is(err, turnstore.ErrNoTurn) && !r.awaitSureTenant():
		r.logLoss(causeUncheckedKey, http.StatusServiceUnavailable)
		r.respondError(http.StatusServiceUnavailable, restartDelay(),
			"this front is cut off from the core and cannot be sure whose turn it is: come back after Retry-After")
	case errors.Is(err, turnstore.ErrNoTurn):
		r.logLoss(errorCause(err), http.StatusNotFound)
		r.respondError(http.StatusNotFound, 0, "no such turn: name one that was answered whole and is still retained")
	default:
		r.server().options.Log.Debug("turn not opened", "turn", r.id, "open", err)
		r.logLoss(causeStores, http.StatusServiceUnavailable)
		r.respondError(http.StatusServiceUnavailable, restartDelay(),
			"the stores cannot be sure of the turn: come back after Retry-After")
	}
	return false
}

// holdHistory counts the history of an opened turn as what the request makes the process hold. If it returns false, the client has its
// error response, and the turn is settled.
func (r *request) holdHistory(turn *openTurn) bool {
	if r.servingAccount().Draw(int64(len(turn.opened.History))) == nil {
		return true
	}
	r.settleTurn(turn, 0)
	r.server().logMemoryRejection()
	r.logLoss(causeNoMemory, http.StatusServiceUnavailable)
	r.respondError(http.StatusServiceUnavailable, memoryRetryAfter,
		"this front has no memory left for the turn's history: come back after Retry-After")
	return false
}

// checkInputSize rejects a turn to be retained whose input alone is longer than what the stores take. If it returns false, the client has
// its error response, and the turn is settled.
func (r *request) checkInputSize(turn *openTurn) bool {
	if !r.route.Retained || r.inputSize(turn) < turnstore.MaxIncrementBytes {
		return true
	}
	r.settleTurn(turn, 0)
	r.respondError(http.StatusRequestEntityTooLarge, 0,
		fmt.Sprintf("the turn is over the %d bytes that the stores keep of one: send less", turnstore.MaxIncrementBytes))
	return false
}

// usedTokens returns how many tokens were passed on to the client: those of its events, of which one may be partial, at most
// maxTokens.
func (r *request) usedTokens(parser *eventstream.Parser) int {
	n := parser.Count()
	if parser.InEvent() { // part of another event may have been passed on
		n++
	}
	n *= max(1, r.service.EventTokens)
	if r.maxTokens > 0 {
		n = min(n, r.maxTokens)
	}
	return n
}

// settleTurn commits the tokens of a turn that is not recorded.
func (r *request) settleTurn(turn *openTurn, used int) {
	if turn.reserved {
		turn.reserved = false
		r.server().options.Ledger.Settle(turn.program, turn.id, used)
	}
}

// endTurn ends a turn whose stream is complete. It reports whether the end of the stream may be passed on: for a retained turn,
// once its record is durable.
func (r *request) endTurn(turn *openTurn, attempt *attempt, parser *eventstream.Parser) bool {
	if r.route.Retained {
		return r.closeTurn(turn, attempt, parser)
	}
	r.settleTurn(turn, r.usedTokens(parser))
	return true
}

// closeTurn records a turn before the end of its stream is passed on. It reports whether the record is durable; if not, the
// tokens are settled.
func (r *request) closeTurn(turn *openTurn, attempt *attempt, parser *eventstream.Parser) bool {
	used := r.usedTokens(parser)
	record := turn.opened.Record(r.body.joined(), parser.Output(), used, r.route.Retain)
	record.CacheHost, record.ContextTokens = attempt.endpoint.connections.ID, r.promptTokens+used
	ctx, stop := context.WithDeadline(r.server().ctx, r.deadline)
	defer stop()
	if err := r.server().options.Ledger.Close(ctx, record); err != nil {
		r.server().options.Log.Debug("turn not closed", "turn", r.id, "close", err)
		r.settleTurn(turn, used)
		return false
	}
	return true
}
