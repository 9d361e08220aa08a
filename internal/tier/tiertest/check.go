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
	{"UNASKED", checkTenant},
	{"TWICE", checkTwice},
	{"REFUSED", checkRefused},
	{"LOST", checkLost},
	{"LOST", checkLostByDrain},
	{"DENIED", checkDenied},
	{"BUDGET", checkBudget},
	{"402", checkPrematureExhaustion},
	{"ROUTE", checkRoute},
	{"ROUTE", checkKeyKnown},
	{"CONFIG", checkConfigApplied},
	{"CONFIG", checkConfigMonotonic},
	{"CONFIG", checkConfigReadBack},
	{"CONFIG", checkConfigAcknowledged},
	{"CONFIG", checkRevocation},
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

// versions returns the versions that were sent by a time and not rejected and that meet a condition.
func (h *indexedHistory) versions(by time.Time, met func(c *Config) bool) (versions []int64) {
	for i := range h.Orders {
		if order := &h.Orders[i]; !order.Sent.After(by) && !order.Rejected && met(&order.Config) {
			versions = append(versions, order.Version)
		}
	}
	return versions
}

// versionsAllowing returns the versions that were sent by a time and not rejected and that route a path to a service, or
// that have no route for it if service is "".
func (h *indexedHistory) versionsAllowing(path, service string, by time.Time) []int64 {
	return h.versions(by, func(c *Config) bool {
		route := c.routeFor(path)
		return route == nil && service == "" || route != nil && route.Service == service
	})
}

// versionsUsed returns the versions by which the tier may have handled an attempt, as shown by the service and the tenant
// that it ran for, or by the answers 404 and 401. It returns nil if none of them shows anything.
func (h *indexedHistory) versionsUsed(a *Attempt) []int64 {
	if runs := h.runsByAttempt[a.ID]; len(runs) > 0 {
		last := runs[len(runs)-1]
		return h.versions(a.Ended, func(c *Config) bool {
			route := c.routeFor(a.Path)
			return route != nil && route.Service == last.Service && c.admits(route, a.Key) &&
				(len(c.Tenants) == 0 || c.holderOf(a.Key) == tenantOf(last))
		})
	}
	switch {
	case a.Status == http.StatusNotFound && a.Previous == "":
		return h.versionsAllowing(a.Path, "", a.Ended)
	case a.Status == http.StatusUnauthorized:
		return h.versions(a.Ended, func(c *Config) bool {
			route := c.routeFor(a.Path)
			return route != nil && !c.admits(route, a.Key)
		})
	}
	return nil
}
