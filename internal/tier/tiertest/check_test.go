package tiertest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// historyStart is the time 0 ms of the test's history.
var historyStart = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return historyStart.Add(time.Duration(ms) * time.Millisecond) }

// testHistory is a history without violations, into which tests plant faults.
type testHistory struct{ *History }

func (h testHistory) attempt(id string) *Attempt {
	return &h.Attempts[slices.IndexFunc(h.Attempts, func(a Attempt) bool { return a.ID == id })]
}

func (h testHistory) run(attempt string) *modelhost.Run {
	return &h.Runs[slices.IndexFunc(h.Runs, func(run modelhost.Run) bool { return run.Attempt == attempt })]
}

func (h testHistory) dropRuns(attempt string) {
	h.Runs = slices.DeleteFunc(h.Runs, func(run modelhost.Run) bool { return run.Attempt == attempt })
}

// addCompleted adds an attempt that a host ran and answered completely, sent at a time in ms and ended 20 ms later.
func (h testHistory) addCompleted(attempt, kind, service string, sent int, previous string) {
	path := map[string]string{Streaming: TurnPath, Idempotent: ReadPath, NonIdempotent: WritePath}[kind]
	a := Attempt{ID: attempt, Program: strings.Split(attempt, "-")[0], Session: "s", Previous: previous,
		Method: http.MethodPost, Path: path, Kind: kind, Input: []byte("input of " + attempt + "\n"), Budget: 20,
		Front: "front-1", Incarnation: 1, Sent: at(sent), Ended: at(sent + 20), Status: http.StatusOK, Complete: true,
		ResponseID: attempt, Seal: "seal", Body: modelhost.ToolBody(attempt, ToolResponseBytes)}
	run := modelhost.Run{Host: "i-1", Service: service, Attempt: attempt, Method: a.Method, URI: path,
		Body: a.Input, Outcome: modelhost.Completed}
	if kind == Streaming {
		a.MaxTokens = 4
		for id := 1; id <= 2; id++ {
			a.Events = append(a.Events, Event{id, modelhost.Event(attempt, id)})
			run.Events = append(run.Events, modelhost.Event(attempt, id))
		}
		if previous != "" {
			previousRun := h.run(previous)
			run.Body = append(modelhost.AppendOutput(slices.Clone(previousRun.Body), previousRun.Events), a.Input...)
		}
	}
	h.Attempts, h.Runs = append(h.Attempts, a), append(h.Runs, run)
}

// addUnexecuted adds an attempt that the tier answered by itself, sent at a time in ms and ended 1 ms later.
func (h testHistory) addUnexecuted(attempt, path, kind string, sent, status int) {
	h.Attempts = append(h.Attempts, Attempt{ID: attempt, Program: strings.Split(attempt, "-")[0], Method: http.MethodPost,
		Path: path, Kind: kind, Budget: 20, MaxTokens: 4, Front: "front-1", Incarnation: 1, Sent: at(sent), Ended: at(sent + 1),
		Status: status, Complete: true, ResponseID: attempt})
}

// newTestHistory returns this history:
//
//	0 ms     version 3 is acknowledged: turns go to draft, no route is added
//	100-700  program a: two turns, a tool of each kind, a third turn that was rejected first
//	800      a path without a route, 404
//	1000     version 5 is acknowledged: turns go to review, with a route added
//	1100     program a continues at review, and uses the route
//	5000     program b has exhausted its budget: 402
func newTestHistory(t *testing.T) testHistory {
	h := testHistory{&History{EventTokens: EventTokens, ToolResponseBytes: ToolResponseBytes, Retention: Retention}}
	for i, c := range []Config{NewConfig(3, DraftService, false), NewConfig(5, ReviewService, true)} {
		body, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		order := Order{Config: c, BaseVersion: int64(3 * i), Body: body, Sent: at(1000*i - 10), Acknowledged: at(1000 * i)}
		h.Orders = append(h.Orders, order)
		h.ReadBack = body
	}
	h.addCompleted("a-1", Streaming, DraftService, 100, "")
	h.addCompleted("a-2", Idempotent, ToolService, 200, "")
	h.addCompleted("a-3", NonIdempotent, ToolService, 300, "")
	h.addCompleted("a-4", Streaming, DraftService, 400, "a-1")
	h.addUnexecuted("a-5", TurnPath, Streaming, 500, http.StatusServiceUnavailable)
	h.addCompleted("a-6", Streaming, DraftService, 700, "a-4")
	h.addUnexecuted("a-7", AddedPath, Idempotent, 800, http.StatusNotFound)
	h.addCompleted("a-8", Streaming, ReviewService, 1100, "a-6")
	h.addCompleted("a-9", Idempotent, ToolService, 1200, "")
	h.attempt("a-9").Path, h.run("a-9").URI = AddedPath, AddedPath
	for n := range 5 {
		h.addCompleted(fmt.Sprintf("b-%d", n), Streaming, ReviewService, 1300+100*n, "")
	}
	h.addUnexecuted("b-5", TurnPath, Streaming, 5000, http.StatusPaymentRequired)
	h.Results = []Result{{Program: "a"}, {Program: "b", Outcome: BudgetExhausted, Endless: true}}
	return h
}

// withTenants gives all configurations two tenants, of which the attempts so far use the first key of the first,
// except for the only one of the route that is added.
func (h testHistory) withTenants() {
	for i := range h.Orders {
		h.Orders[i].Tenants = []Tenant{{Name: "alpha", Keys: []string{"k1", "k2"}}, {Name: "beta", Keys: []string{"k3"}}}
	}
	for i := range h.Attempts {
		h.Attempts[i].Key = "k1"
	}
	for i := range h.Runs {
		h.Runs[i].Header = http.Header{tenantHeader: {"alpha"}}
	}
	h.attempt("a-9").Key = "k3"
	h.ranFor("a-9", "beta")
}

// ranFor sets the tenant for which an attempt ran.
func (h testHistory) ranFor(attempt, tenant string) {
	h.run(attempt).Header = http.Header{tenantHeader: {tenant}}
}

// moveKeys has version 5 move a key to the second tenant, and the attempts after it run for that, except for a turn that
// continues an earlier one.
func (h testHistory) moveKeys() {
	h.Orders[1].Tenants = []Tenant{{Name: "alpha", Keys: []string{"k2"}}, {Name: "beta", Keys: []string{"k1", "k3"}}}
	for i := range h.Attempts {
		if a := &h.Attempts[i]; a.Sent.After(h.Orders[1].Acknowledged) && len(indexHistory(h.History).runsByAttempt[a.ID]) > 0 {
			h.ranFor(a.ID, "beta")
		}
	}
	h.attempt("a-8").Key = "k2"
	h.ranFor("a-8", "alpha")
}

// revoke has version 5 take a key away, with a bound in ms. The last run with it was sent 700 ms after the acknowledgement.
func (h testHistory) revoke(key string, bound int) {
	h.RevocationBound = time.Duration(bound) * time.Millisecond
	tenants := slices.Clone(h.Orders[1].Tenants)
	tenants[0].Keys = slices.DeleteFunc(slices.Clone(tenants[0].Keys), func(k string) bool { return k == key })
	h.Orders[1].Tenants = tenants
}

// terminate adds a SIGTERM of the front at a time in ms, with a grace period in ms.
func (h testHistory) terminate(ms, grace int) {
	h.Terminations = append(h.Terminations, Termination{"front-1", 1, at(ms)})
	h.GracePeriod = time.Duration(grace) * time.Millisecond
}

// addCut adds a call of a tool that a host ran and whose connection ended without an answer, with times in ms.
func (h testHistory) addCut(attempt string, sent, ended int) {
	h.addCompleted(attempt, NonIdempotent, ToolService, sent, "")
	a := h.attempt(attempt)
	a.Ended, a.Status, a.Complete, a.ResponseID, a.Seal, a.Body, a.Err = at(ended), 0, false, "", "", nil, "EOF"
	h.run(attempt).Outcome = modelhost.Aborted
}

// A request around a SIGTERM may end without an answer when it outlasts the grace period, at its deadline, when no host has
// it, at another process, or at another time.
func TestDrainMayCut(t *testing.T) {
	for name, plant := range map[string]func(h testHistory){
		"outlasts the grace period": func(h testHistory) { h.addCut("a-10", 3900, 8000) },
		"its host's answer never ends": func(h testHistory) {
			h.addCut("a-10", 1100, 7000)
			h.run("a-10").Endless = true
		},
		"at its deadline": func(h testHistory) {
			h.addCut("a-10", 5000, 7000)
			h.attempt("a-10").Deadline = at(7010)
		},
		"no host has it": func(h testHistory) {
			h.addCut("a-10", 7900, 8000)
			h.dropRuns("a-10")
		},
		"another incarnation": func(h testHistory) {
			h.addCut("a-10", 7900, 8000)
			h.attempt("a-10").Incarnation = 2
		},
		"before the SIGTERM":     func(h testHistory) { h.addCut("a-10", 800, 900) },
		"after the grace period": func(h testHistory) { h.addCut("a-10", 10100, 10200) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHistory(t)
			h.terminate(1000, 8000)
			plant(h)
			checkLostByDrain(indexHistory(h.History), func(format string, args ...any) { t.Errorf(format, args...) })
		})
	}
}

func TestNoViolationInCorrectHistory(t *testing.T) {
	for _, violation := range Check(newTestHistory(t).History) {
		t.Error(violation)
	}
}

func TestChecksFindPlantedFaults(t *testing.T) {
	plants := []struct {
		name, rule string
		find       func(h *indexedHistory, report reportFunc) // the check of the rule that finds it
		plant      func(h testHistory)
	}{
		{"an answer without a host's seal", "MIXED", checkMixed, func(h testHistory) { h.attempt("a-3").Seal = "" }},
		{"the answer of another request", "MIXED", checkMixed, func(h testHistory) { h.attempt("a-3").ResponseID = "a-2" }},
		{"another request's body", "MIXED", checkMixed, func(h testHistory) { h.attempt("a-3").Body = h.attempt("a-2").Body }},
		{"a truncated body that looks complete", "MIXED", checkMixed, func(h testHistory) {
			b := &h.attempt("a-3").Body
			*b = (*b)[:ToolResponseBytes-1]
		}},
		{"a success where the host failed", "MIXED", checkMixed, func(h testHistory) { h.run("a-3").Outcome = modelhost.Failed }},
		{"a success that no host ran", "MIXED", checkMixed, func(h testHistory) { h.dropRuns("a-9") }},
		{"a missing event", "ORDER", checkOrder, func(h testHistory) { e := &h.attempt("a-6").Events; *e = (*e)[1:] }},
		{"a duplicate event", "ORDER", checkOrder, func(h testHistory) {
			e := &h.attempt("a-8").Events
			*e = append((*e)[:1:1], *e...)
		}},
		{"an event of another stream", "ORDER", checkOrder, func(h testHistory) {
			h.attempt("a-8").Events[1].Data = modelhost.Event("a-6", 2)
		}},
		{"a stream that ends as complete before its last event", "ORDER", checkOrder, func(h testHistory) {
			e := &h.attempt("a-8").Events
			*e = (*e)[:1]
		}},
		{"a stream that ends as complete though its host aborted", "ORDER", checkOrder, func(h testHistory) {
			h.run("a-8").Outcome = modelhost.Aborted
		}},
		{"a run that no client sent", "UNASKED", checkUnasked, func(h testHistory) { h.run("a-3").Attempt = "x-1" }},
		{"a changed path", "UNASKED", checkUnasked, func(h testHistory) { h.run("a-3").URI = WritePath + "more" }},
		{"a changed body", "UNASKED", checkUnasked, func(h testHistory) { h.run("a-3").Body = []byte("other") }},
		{"a history without a turn", "UNASKED", checkUnasked, func(h testHistory) { h.run("a-6").Body = h.attempt("a-6").Input }},
		{"a history with a duplicate event", "UNASKED", checkUnasked, func(h testHistory) {
			b := &h.run("a-4").Body
			*b = append([]byte(modelhost.Event("a-1", 1)+"\n"), *b...)
		}},
		{"a turn that continues an incomplete one", "UNASKED", checkUnasked, func(h testHistory) {
			h.attempt("a-6").Previous = "a-5"
		}},
		{"a call that ran twice", "TWICE", checkTwice, func(h testHistory) { h.Runs = append(h.Runs, *h.run("a-3")) }},
		{"a turn that ran twice", "TWICE", checkTwice, func(h testHistory) { h.Runs = append(h.Runs, *h.run("a-8")) }},
		{"a rejected turn that ran", "REFUSED", checkRefused, func(h testHistory) {
			h.attempt("a-8").Status = http.StatusServiceUnavailable
		}},
		{"a 402 for a turn that ran", "REFUSED", checkRefused, func(h testHistory) {
			h.attempt("b-4").Status = http.StatusPaymentRequired
		}},
		{"a 404 for a turn that continues a retained one", "LOST", checkLost, func(h testHistory) {
			h.addUnexecuted("a-10", TurnPath, Streaming, 2000, http.StatusNotFound)
			h.attempt("a-10").Previous = "a-8"
		}},
		{"a request that a draining front took late and cut", "LOST", checkLostByDrain, func(h testHistory) {
			h.terminate(1000, 8000)
			h.addCut("a-10", 7850, 8000)
		}},
		{"a request that a draining front took early and cut too early", "LOST", checkLostByDrain, func(h testHistory) {
			h.terminate(1000, 8000)
			h.addCut("a-10", 1100, 7000)
		}},
		{"a request from before the SIGTERM that is cut early", "LOST", checkLostByDrain, func(h testHistory) {
			h.terminate(1000, 8000)
			h.addCut("a-10", 900, 1100)
		}},
		{"a 400 for a valid request", "DENIED", checkDenied, func(h testHistory) {
			h.addUnexecuted("a-10", ReadPath, Idempotent, 2000, http.StatusBadRequest)
		}},
		{"a redirect", "DENIED", checkDenied, func(h testHistory) {
			h.addUnexecuted("a-10", ReadPath, Idempotent, 2000, http.StatusTemporaryRedirect)
		}},
		{"a 404 where each version has the route", "DENIED", checkDenied, func(h testHistory) {
			h.addUnexecuted("a-10", ReadPath, Idempotent, 2000, http.StatusNotFound)
		}},
		{"more than the budget", "BUDGET", checkBudget, func(h testHistory) {
			for n := 6; n < 9; n++ {
				h.addCompleted(fmt.Sprintf("b-%d", n), Streaming, ReviewService, 2000+100*n, "")
			}
		}},
		{"more than the budget, in incomplete attempts", "BUDGET", checkBudget, func(h testHistory) {
			for n := 6; n < 9; n++ {
				id := fmt.Sprintf("b-%d", n)
				h.addCompleted(id, Streaming, ReviewService, 2000+100*n, "")
				h.attempt(id).Complete, h.run(id).Outcome = false, modelhost.Canceled
			}
		}},
		{"a 402 while the budget allows a turn", "402", checkPrematureExhaustion, func(h testHistory) {
			h.attempt("b-5").Budget = 24
		}},
		{"a 402 because of a turn that was rejected long before", "402", checkPrematureExhaustion, func(h testHistory) {
			h.dropRuns("b-4")
			b := h.attempt("b-4")
			b.Status, b.Events = http.StatusServiceUnavailable, nil
		}},
		{"a service of no configuration", "ROUTE", checkRoute, func(h testHistory) { h.run("a-3").Service = DraftService }},
		{"a service of a later configuration only", "ROUTE", checkRoute, func(h testHistory) {
			h.run("a-1").Service = ReviewService
		}},
		{"an old service after the time to apply", "CONFIG", checkConfigApplied, func(h testHistory) {
			h.addCompleted("c-1", Streaming, DraftService, 1001+int(ApplyTimeout.Milliseconds()), "")
		}},
		{"a 404 for an added route after the time to apply", "CONFIG", checkConfigApplied, func(h testHistory) {
			h.addUnexecuted("c-1", AddedPath, Idempotent, 1001+int(ApplyTimeout.Milliseconds()), http.StatusNotFound)
		}},
		{"a process that goes back", "CONFIG", checkConfigMonotonic, func(h testHistory) {
			h.addCompleted("c-1", Streaming, DraftService, 1150, "")
		}},
		{"a process that goes back to a version without a route", "CONFIG", checkConfigMonotonic, func(h testHistory) {
			h.addUnexecuted("c-1", AddedPath, Idempotent, 1250, http.StatusNotFound)
		}},
		{"an older configuration read back", "CONFIG", checkConfigReadBack, func(h testHistory) {
			h.ReadBack = h.Orders[0].Body
		}},
		{"a configuration read back that was not sent", "CONFIG", checkConfigReadBack, func(h testHistory) {
			h.ReadBack = append(slices.Clone(h.ReadBack), ' ')
		}},
		{"a rejected configuration read back", "CONFIG", checkConfigReadBack, func(h testHistory) {
			h.Orders[1].Acknowledged, h.Orders[1].Rejected = time.Time{}, true
		}},
		{"a rejected configuration that is in force", "ROUTE", checkRoute, func(h testHistory) {
			h.Orders[1].Acknowledged, h.Orders[1].Rejected = time.Time{}, true
		}},
		{"an invalid configuration that is acknowledged", "CONFIG", checkConfigAcknowledged, func(h testHistory) {
			h.Orders[1].Invalid = true
		}},
		{"two configurations that replace the same version", "CONFIG", checkConfigAcknowledged, func(h testHistory) {
			h.Orders[1].BaseVersion = 0
		}},
		{"a run for no tenant", "UNASKED", checkTenant, func(h testHistory) { h.withTenants(); delete(h.run("a-3").Header, tenantHeader) }},
		{"a run for another tenant", "UNASKED", checkTenant, func(h testHistory) { h.withTenants(); h.ranFor("a-3", "beta") }},
		{"a run for the tenant that a client claims", "UNASKED", checkTenant, func(h testHistory) {
			h.withTenants()
			h.attempt("a-3").ClaimedName = "beta"
			h.ranFor("a-3", "beta")
		}},
		{"a run for two tenants", "UNASKED", checkTenant, func(h testHistory) {
			h.withTenants()
			h.run("a-3").Header.Add(tenantHeader, "beta")
		}},
		{"a run for a tenant before its key is moved there", "UNASKED", checkTenant, func(h testHistory) {
			h.withTenants()
			h.moveKeys()
			h.ranFor("a-3", "beta")
		}},
		{"a rejected move of a key", "UNASKED", checkTenant, func(h testHistory) {
			h.withTenants()
			h.moveKeys()
			h.Orders[1].Acknowledged, h.Orders[1].Rejected = time.Time{}, true
			h.ranFor("b-3", "beta")
		}},
		{"a host that was shown the key", "UNASKED", checkTenant, func(h testHistory) {
			h.withTenants()
			h.run("a-3").Header.Set(keyHeader, "k1")
		}},
		{"a turn that continues another tenant's", "UNASKED", checkTenant, func(h testHistory) {
			h.withTenants()
			h.attempt("a-6").Key = "k3"
			h.ranFor("a-6", "beta")
		}},
		{"a run with an unknown key", "ROUTE", checkKeyKnown, func(h testHistory) { h.withTenants(); h.attempt("a-3").Key = "k9" }},
		{"a run without a key", "ROUTE", checkKeyKnown, func(h testHistory) { h.withTenants(); h.attempt("a-3").Key = "" }},
		{"a run with a key of a later configuration only", "ROUTE", checkKeyKnown, func(h testHistory) {
			h.withTenants()
			h.Orders[0].Tenants = []Tenant{{Name: "alpha", Keys: []string{"k2"}}}
		}},
		{"a run with a key of a rejected configuration only", "ROUTE", checkKeyKnown, func(h testHistory) {
			h.withTenants()
			h.Orders[1].Tenants = append(h.Orders[1].Tenants, Tenant{Name: "late", Keys: []string{"k9"}})
			h.Orders[1].Acknowledged, h.Orders[1].Rejected = time.Time{}, true
			h.attempt("b-4").Key = "k9"
			h.ranFor("b-4", "late")
		}},
		{"a run with a revoked key after the bound", "CONFIG", checkRevocation, func(h testHistory) { h.withTenants(); h.revoke("k1", 690) }},
		{"a run with a revoked key after the bound, at another front", "CONFIG", checkRevocation, func(h testHistory) {
			h.withTenants()
			h.revoke("k1", 690)
			for i := range h.Attempts {
				h.Attempts[i].Front = fmt.Sprint("front-", i)
			}
		}},
		{"a 401 for a key that every version has", "DENIED", checkDenied, func(h testHistory) {
			h.withTenants()
			h.addUnexecuted("a-10", ReadPath, Idempotent, 2000, http.StatusUnauthorized)
			h.attempt("a-10").Key = "k2"
		}},
		{"a 401 where there are no tenants", "DENIED", checkDenied, func(h testHistory) {
			h.addUnexecuted("a-10", ReadPath, Idempotent, 2000, http.StatusUnauthorized)
		}},
		{"a 401 for an added key after the time to apply", "CONFIG", checkConfigApplied, func(h testHistory) {
			h.withTenants()
			h.Orders[0].Tenants = h.Orders[0].Tenants[:1]
			h.addUnexecuted("c-1", ReadPath, Idempotent, 1001+int(ApplyTimeout.Milliseconds()), http.StatusUnauthorized)
			h.attempt("c-1").Key = "k3"
		}},
		{"a run for the former tenant after the time to apply", "CONFIG", checkConfigApplied, func(h testHistory) {
			h.withTenants()
			h.moveKeys()
			h.addCompleted("c-1", Idempotent, ToolService, 1001+int(ApplyTimeout.Milliseconds()), "")
			h.attempt("c-1").Key = "k1"
			h.ranFor("c-1", "alpha")
		}},
		{"a process that goes back to a former tenant", "CONFIG", checkConfigMonotonic, func(h testHistory) {
			h.withTenants()
			h.moveKeys()
			h.addCompleted("c-1", Idempotent, ToolService, 1950, "")
			h.attempt("c-1").Key = "k1"
			h.ranFor("c-1", "alpha")
		}},
		{"a 404 for a turn of the same tenant", "LOST", checkLost, func(h testHistory) {
			h.withTenants()
			h.addUnexecuted("a-10", TurnPath, Streaming, 2000, http.StatusNotFound)
			h.attempt("a-10").Previous, h.attempt("a-10").Key = "a-6", "k2"
		}},
		{"a program that failed", "SERVED", checkServed, func(h testHistory) { h.Results[0].Outcome = Failed }},
		{"an endless program that completes", "SERVED", checkServed, func(h testHistory) { h.Results[1].Outcome = Completed }},
	}
	planted := map[uintptr]bool{} // by check
	for _, p := range plants {
		planted[reflect.ValueOf(p.find).Pointer()] = true
		t.Run(p.name, func(t *testing.T) {
			h := newTestHistory(t)
			p.plant(h)
			found := Check(h.History)
			if len(found) == 0 {
				t.Fatal("nothing was found")
			}
			if !slices.ContainsFunc(found, func(v Violation) bool { return v.Rule == p.rule }) {
				t.Errorf("found %v, want %s", found, p.rule)
			}
			reports := 0
			p.find(indexHistory(h.History), func(string, ...any) { reports++ })
			if reports == 0 {
				t.Errorf("found %v, but not by the check that should find it", found)
			}
		})
	}
	for _, c := range checks {
		if !planted[reflect.ValueOf(c.find).Pointer()] {
			t.Errorf("no fault is planted for a check of %s", c.rule)
		}
	}
}

func TestAllowedBehaviorIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(h testHistory){
		"the old service within the time to apply": func(h testHistory) {
			h.addCompleted("c-1", Streaming, DraftService, 1050, "")
		},
		"the old service at another front": func(h testHistory) {
			h.addCompleted("c-1", Streaming, DraftService, 1150, "")
			h.attempt("c-1").Front = "front-2"
		},
		"a new incarnation with an older version": func(h testHistory) {
			h.addCompleted("c-1", Streaming, DraftService, 1150, "")
			h.attempt("c-1").Incarnation = 2
		},
		"an aborted stream": func(h testHistory) {
			h.attempt("a-8").Complete, h.run("a-8").Outcome = false, modelhost.Aborted
		},
		"an idempotent call that ran twice": func(h testHistory) { h.Runs = append(h.Runs, *h.run("a-2")) },
		"a 402 while another turn may use the rest of the budget": func(h testHistory) {
			h.attempt("b-5").Sent, h.attempt("b-5").Ended = at(1725), at(1726)
			h.attempt("b-4").Complete = false
		},
		"a 404 after the retention time": func(h testHistory) {
			h.addUnexecuted("a-10", TurnPath, Streaming, 2000+int(Retention.Milliseconds()), http.StatusNotFound)
			h.attempt("a-10").Previous = "a-8"
		},
		"a program that failed because a host aborted a call that is not idempotent": func(h testHistory) {
			h.Results[0].Outcome = Failed
			h.attempt("a-3").Status, h.attempt("a-3").Seal, h.run("a-3").Outcome = http.StatusBadGateway, "", modelhost.Aborted
		},
		"tenants": func(h testHistory) { h.withTenants() },
		"tenants, and a key that is claimed in vain": func(h testHistory) {
			h.withTenants()
			h.attempt("a-3").ClaimedName = "beta"
		},
		"a public route without a key": func(h testHistory) {
			h.withTenants()
			for i := range h.Orders {
				h.Orders[i].routeFor(ReadPath).Public = true
			}
			h.attempt("a-2").Key = "k9"
			delete(h.run("a-2").Header, tenantHeader)
		},
		"another key of the tenant": func(h testHistory) { h.withTenants(); h.attempt("a-6").Key = "k2" },
		"a key that is moved, and used by its former tenant within the time to apply": func(h testHistory) {
			h.withTenants()
			h.moveKeys()
			h.addCompleted("c-1", Idempotent, ToolService, 1050, "")
			h.attempt("c-1").Key = "k1"
			h.ranFor("c-1", "alpha")
		},
		"a run with a revoked key within the bound": func(h testHistory) {
			h.withTenants()
			h.revoke("k1", 710)
		},
		"a run with a revoked key where there is no bound": func(h testHistory) {
			h.withTenants()
			h.revoke("k1", 100)
			h.RevocationBound = 0
		},
		"a run with a key that a later version may have given back": func(h testHistory) {
			h.withTenants()
			h.revoke("k1", 100)
			back := h.Orders[1]
			back.Version, back.BaseVersion, back.Sent, back.Acknowledged = 7, 5, at(1090), time.Time{}
			back.Tenants = h.Orders[0].Tenants
			h.Orders = append(h.Orders, back)
		},
		"a 401 for a revoked key, and for one of no configuration": func(h testHistory) {
			h.withTenants()
			h.revoke("k2", 100)
			for id, key := range map[string]string{"a-10": "k2", "a-11": "k9", "a-12": ""} {
				h.addUnexecuted(id, ReadPath, Idempotent, 2000, http.StatusUnauthorized)
				h.attempt(id).Key = key
			}
		},
		"a 404 for a turn of another tenant": func(h testHistory) {
			h.withTenants()
			h.addUnexecuted("a-10", TurnPath, Streaming, 2000, http.StatusNotFound)
			h.attempt("a-10").Previous, h.attempt("a-10").Key = "a-6", "k3"
		},
		"an order that was not acknowledged": func(h testHistory) { h.Orders[1].Acknowledged = time.Time{} },
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHistory(t)
			change(h)
			for _, violation := range Check(h.History) {
				t.Error(violation)
			}
		})
	}
}
