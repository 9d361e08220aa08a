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
	openLonger = 100 * time.Millisecond // that is left for the host when a turn is opened at the latest
	endChunk   = "0\r\n\r\n"
)

// startsAgain is when to come back where machines of the tier are away: what was killed has started again by then, and a
// client that asks at once, and once more, has used up its tries before.
func startsAgain() time.Duration { return 500*time.Millisecond + rand.N(400*time.Millisecond) }

// turn is one request of an agent program on a retained route.
type turn struct {
	program string
	opened  *turnstore.OpenedTurn
	open    bool // its reservation stands
}

// used is how many tokens were handed out.
func (r *request) used(e *events) int {
	n := e.count
	if e.part || len(e.line) > 0 { // part of one more may have gone
		n++
	}
	n *= max(1, r.service.EventTokens)
	if r.tokens > 0 {
		n = min(n, r.tokens)
	}
	return n
}

// openTurn asks the ledger. On false the request has its answer.
func (r *request) openTurn(t *turn) bool {
	budget := Unlimited
	if v := r.get("Budget"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			r.fail(http.StatusBadRequest, 0, "header Budget: send the tokens that the program may generate, a whole number")
			return false
		}
		budget = n
	}
	t.program = cmp.Or(r.get("Program"), r.id)
	ctx, stop := context.WithDeadline(r.server().ctx, r.until.Add(-min(openLonger, time.Until(r.until)/2)))
	defer stop()
	r.opening(stop)
	defer r.opening(nil)
	opened, err := r.server().cfg.Ledger.Open(ctx, turnstore.OpenRequest{Program: t.program, Turn: r.id, Previous: r.get("Previous"), MaxTokens: r.tokens, Budget: budget})
	switch {
	case err == nil:
		t.opened, t.open = opened, true
		return true
	case is(err, turnstore.ErrBudget):
		r.fail(http.StatusPaymentRequired, 0, "the budget is spent: begin a program with a larger one")
	case is(err, turnstore.ErrNoTurn):
		r.fail(http.StatusNotFound, 0, "no such turn: name one that was answered whole and is still retained")
	default:
		r.server().cfg.Log.Debug("turn not opened", "turn", r.id, "open", err)
		r.fail(http.StatusServiceUnavailable, startsAgain(), "the stores cannot be sure of the turn: come back after Retry-After")
	}
	return false
}

// settle tells the ledger what a turn has handed out that did not end whole.
func (r *request) settle(t *turn, used int) {
	if t.open {
		t.open = false
		r.server().cfg.Ledger.Settle(t.program, r.id, used)
	}
}

// closeTurn has a turn kept before the end of its stream is passed on.
func (r *request) closeTurn(tn *turn, t *attempt, e *events) bool {
	used := r.used(e)
	kept := tn.opened.Record(r.body, e.out, used, r.route.Retain)
	kept.CacheHost, kept.ContextTokens = t.dest.calls.ID, r.prompt+used
	ctx, stop := context.WithDeadline(r.server().ctx, r.until)
	defer stop()
	if err := r.server().cfg.Ledger.Close(ctx, kept); err != nil {
		r.server().cfg.Log.Debug("turn not closed", "turn", r.id, "close", err)
		r.settle(tn, used)
		return false
	}
	return true
}
