package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"larchrouter/internal/tier/turnstore"
)

const (
	openMargin = 100 * time.Millisecond // that is left for the host when a turn is opened at the latest
	lastChunk  = "0\r\n\r\n"
)

// restartDelay is when to come back where machines of the tier are away: what was killed has started again by then, and a
// client that asks at once, and once more, has used up its tries before.
func restartDelay() time.Duration { return 500*time.Millisecond + rand.N(400*time.Millisecond) }

// retainedTurn is one request of an agent program on a retained route.
type retainedTurn struct {
	program  string
	opened   *turnstore.OpenedTurn
	reserved bool // its reservation stands
}

// usedTokens is how many tokens were handed out.
func (r *request) usedTokens(e *eventParser) int {
	n := e.count
	if e.inEvent || len(e.line) > 0 { // part of one more may have gone
		n++
	}
	n *= max(1, r.service.EventTokens)
	if r.maxTokens > 0 {
		n = min(n, r.maxTokens)
	}
	return n
}

// openTurn asks the ledger. On false the request has its answer.
func (r *request) openTurn(t *retainedTurn) bool {
	budget := Unlimited
	if v := r.get("Budget"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			r.respondError(http.StatusBadRequest, 0, "header Budget: send the tokens that the program may generate, a whole number")
			return false
		}
		budget = n
	}
	t.program = cmp.Or(r.get("Program"), r.id)
	ctx, stop := context.WithDeadline(r.server().ctx, r.deadline.Add(-min(openMargin, time.Until(r.deadline)/2)))
	defer stop()
	r.setCancelOpen(stop)
	defer r.setCancelOpen(nil)
	opened, err := r.server().options.Ledger.Open(ctx, turnstore.OpenRequest{Program: t.program, Turn: r.id, Previous: r.get("Previous"), MaxTokens: r.maxTokens, Budget: budget})
	switch {
	case err == nil:
		t.opened, t.reserved = opened, true
		return true
	case is(err, turnstore.ErrBudget):
		r.respondError(http.StatusPaymentRequired, 0, "the budget is spent: begin a program with a larger one")
	case is(err, turnstore.ErrNoTurn):
		r.respondError(http.StatusNotFound, 0, "no such turn: name one that was answered whole and is still retained")
	default:
		r.server().note("turn", r.id, "open", err)
		r.respondError(http.StatusServiceUnavailable, restartDelay(), "the stores cannot be sure of the turn: come back after Retry-After")
	}
	return false
}

// settleTurn tells the ledger what a turn has handed out that did not end whole.
func (r *request) settleTurn(t *retainedTurn, used int) {
	if t.reserved {
		t.reserved = false
		r.server().options.Ledger.Settle(t.program, r.id, used)
	}
}

// closeTurn has a turn kept before the end of its stream is passed on.
func (r *request) closeTurn(tn *retainedTurn, t *attempt, e *eventParser) bool {
	used := r.usedTokens(e)
	kept := tn.opened.Record(r.body, e.output, used, r.route.Retain)
	kept.CacheHost, kept.ContextTokens = t.endpoint.connections.ID, r.promptTokens+used
	ctx, stop := context.WithDeadline(r.server().ctx, r.deadline)
	defer stop()
	if err := r.server().options.Ledger.Close(ctx, kept); err != nil {
		r.server().note("turn", r.id, "close", err)
		r.settleTurn(tn, used)
		return false
	}
	return true
}
