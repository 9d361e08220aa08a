package tiertest

import (
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// checkBudget checks BUDGET: a program receives no more tokens than its budget and one turn more, as the turn that
// exhausts the budget is not broken off.
func checkBudget(h *indexedHistory, report reportFunc) {
	received, maxTokens, budgets := map[string]int{}, map[string]int{}, map[string]int{}
	for _, a := range h.attemptByID {
		if a.Kind == Streaming {
			received[a.Program] += h.EventTokens * len(a.Events)
			maxTokens[a.Program] = max(maxTokens[a.Program], a.MaxTokens)
			budgets[a.Program] = a.Budget
		}
	}
	for program, tokens := range received {
		if tokens > budgets[program]+maxTokens[program] {
			report("%s was handed %d tokens of a budget of %d, with at most %d a turn",
				program, tokens, budgets[program], maxTokens[program])
		}
	}
}

// settleTime is the time after its end after which a turn that was answered completely counts by what it used, and no
// longer by what it may use at most.
const settleTime = time.Second

// checkPrematureExhaustion checks 402: a turn is answered 402 only if the program's turns sent before the answer, this
// one included, may use more than the budget. Turns that ended more than settleTime before count by what they used.
func checkPrematureExhaustion(h *indexedHistory, report reportFunc) {
	for _, a := range h.attemptByID {
		if a.Status != http.StatusPaymentRequired {
			continue
		}
		sum := a.MaxTokens
		for _, other := range h.attemptByID {
			if other == a || other.Program != a.Program || other.Kind != Streaming || !other.Sent.Before(a.Ended) {
				continue
			}
			settled := other.Ended.Add(settleTime).Before(a.Sent)
			switch {
			case settled && other.Complete && other.Status == http.StatusOK:
				sum += h.EventTokens * len(other.Events)
			case settled && other.Complete && (other.Status/100 == 4 || other.Status == http.StatusServiceUnavailable):
			default:
				sum += other.MaxTokens
			}
		}
		if sum <= a.Budget {
			report("%s was answered 402, though %d tokens at most would have been handed out of %d", a.ID, sum, a.Budget)
		}
	}
}

// failedByHost reports whether a host failed or broke off a call of a program that is not idempotent. The program cannot
// repeat the call, so that its failure is the host's.
func (h *indexedHistory) failedByHost(program string) bool {
	failed := func(run *modelhost.Run) bool {
		return run.Outcome == modelhost.Aborted || run.Outcome == modelhost.Failed
	}
	for _, a := range h.attemptByID {
		if a.Program == program && a.Kind == NonIdempotent && slices.ContainsFunc(h.runsByAttempt[a.ID], failed) {
			return true
		}
	}
	return false
}

// checkServed checks SERVED: no program fails except by its hosts, and an endless program ends by its budget.
func checkServed(h *indexedHistory, report reportFunc) {
	for _, result := range h.Results {
		switch {
		case result.Outcome == Failed && !h.failedByHost(result.Program):
			report("%s failed: %s", result.Program, result.Reason)
		case result.Endless && result.Outcome == Completed:
			report("%s has no end of its own, and ended without a 402", result.Program)
		}
	}
}
