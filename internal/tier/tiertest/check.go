package tiertest

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// Violation is one breach of a rule.
type Violation struct{ Rule, Text string }

// String returns the rule and what was observed.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

// reportFunc reports a violation of the rule that is being checked.
type reportFunc func(format string, args ...any)

// check finds the violations of one rule.
type check struct {
	rule string
	find func(h *indexedHistory, report reportFunc)
}

// checks are the rules by the names that the platform's page gives them. SERVED is this project's own: every program
// ends as it should.
var checks = []check{
	{"MIXED", checkMixed},
	{"ORDER", checkOrder},
	{"UNASKED", checkUnasked},
	{"TWICE", checkTwice},
	{"REFUSED", checkRefused},
	{"LOST", checkLost},
	{"LOST", checkLostByDrain},
	{"DENIED", checkDenied},
	{"BUDGET", checkBudget},
	{"402", checkPrematureExhaustion},
	{"ROUTE", checkRoute},
	{"CONFIG", checkConfigApplied},
	{"CONFIG", checkConfigMonotonic},
	{"CONFIG", checkConfigReadBack},
	{"CONFIG", checkConfigAcknowledged},
	{"SERVED", checkServed},
}

// Check checks a history against all rules. It returns the violations by rule, and within a check sorted by text.
func Check(history *History) (violations []Violation) {
	indexed := indexHistory(history)
	for _, check := range checks {
		var found []Violation
		check.find(indexed, func(format string, args ...any) {
			found = append(found, Violation{check.rule, fmt.Sprintf(format, args...)})
		})
		slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Text, b.Text) })
		violations = append(violations, found...)
	}
	return violations
}

// indexedHistory is a history with the indexes that the checks need.
type indexedHistory struct {
	*History
	attemptByID   map[string]*Attempt
	runsByAttempt map[string][]*modelhost.Run // in the order of their beginning
}

func indexHistory(history *History) *indexedHistory {
	h := &indexedHistory{History: history, attemptByID: map[string]*Attempt{}, runsByAttempt: map[string][]*modelhost.Run{}}
	for i := range history.Attempts {
		h.attemptByID[history.Attempts[i].ID] = &history.Attempts[i]
	}
	for i := range history.Runs {
		run := &history.Runs[i]
		h.runsByAttempt[run.Attempt] = append(h.runsByAttempt[run.Attempt], run)
	}
	return h
}

// versionsAllowing returns the versions that were sent by a time and not rejected and that route a path to a service, or
// that have no route for it if service is "".
func (h *indexedHistory) versionsAllowing(path, service string, by time.Time) (versions []int64) {
	for i := range h.Orders {
		order := &h.Orders[i]
		if order.Sent.After(by) || order.Rejected {
			continue
		}
		route := order.routeFor(path)
		if route == nil && service == "" || route != nil && route.Service == service {
			versions = append(versions, order.Version)
		}
	}
	return versions
}

// versionsUsed returns the versions by which the tier may have handled an attempt, as shown by the service that ran it or
// by the answer 404. It returns nil if neither shows anything.
func (h *indexedHistory) versionsUsed(a *Attempt) []int64 {
	if runs := h.runsByAttempt[a.ID]; len(runs) > 0 {
		return h.versionsAllowing(a.Path, runs[len(runs)-1].Service, a.Ended)
	}
	if a.Status == http.StatusNotFound && a.Previous == "" {
		return h.versionsAllowing(a.Path, "", a.Ended)
	}
	return nil
}
