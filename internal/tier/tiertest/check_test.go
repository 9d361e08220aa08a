package tiertest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/standin/modelhost"
)

var dayBegin = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return dayBegin.Add(time.Duration(ms) * time.Millisecond) }

// record is a course in which every rule was kept, for tests to spoil.
type record struct{ *History }

func (r record) try(attempt string) *Attempt {
	return &r.Attempts[slices.IndexFunc(r.Attempts, func(t Attempt) bool { return t.ID == attempt })]
}

func (r record) run(attempt string) *modelhost.Run {
	return &r.Runs[slices.IndexFunc(r.Runs, func(o modelhost.Run) bool { return o.Attempt == attempt })]
}

func (r record) drop(attempt string) {
	r.Runs = slices.DeleteFunc(r.Runs, func(o modelhost.Run) bool { return o.Attempt == attempt })
}

// answered adds a try that a host ran and answered whole, sent at a time and ended 20 ms later.
func (r record) answered(attempt, kind, service string, sent int, previous string) {
	path := map[string]string{Streaming: TurnPath, Idempotent: ReadPath, NonIdempotent: WritePath}[kind]
	t := Attempt{ID: attempt, Program: strings.Split(attempt, "-")[0], Session: "s", Previous: previous, Method: http.MethodPost, Path: path, Kind: kind,
		Input: []byte("input of " + attempt + "\n"), Budget: 20, Front: "front-1", Incarnation: 1, Sent: at(sent), Ended: at(sent + 20),
		Status: 200, Complete: true, ResponseID: attempt, Seal: "seal", Body: modelhost.ToolBody(attempt, ToolResponseBytes)}
	run := modelhost.Run{Host: "i-1", Service: service, Attempt: attempt, Method: t.Method, URI: path, Body: t.Input, Outcome: modelhost.Completed}
	if kind == Streaming {
		t.MaxTokens = 4
		for id := 1; id <= 2; id++ {
			t.Events = append(t.Events, Event{id, modelhost.Event(attempt, id)})
			run.Events = append(run.Events, modelhost.Event(attempt, id))
		}
		if previous != "" {
			before := r.run(previous)
			run.Body = append(modelhost.AppendOutput(slices.Clone(before.Body), before.Events), t.Input...)
		}
	}
	r.Attempts, r.Runs = append(r.Attempts, t), append(r.Runs, run)
}

// own adds a try that the tier answered by itself.
func (r record) own(attempt, path, kind string, sent, status int) {
	r.Attempts = append(r.Attempts, Attempt{ID: attempt, Program: strings.Split(attempt, "-")[0], Method: http.MethodPost, Path: path, Kind: kind, Budget: 20, MaxTokens: 4,
		Front: "front-1", Incarnation: 1, Sent: at(sent), Ended: at(sent + 1), Status: status, Complete: true, ResponseID: attempt})
}

// keptRecord is
//
//	0 ms     version 3 is acknowledged: turns go to draft, no route is added
//	100-700  program a: two turns, a tool of each kind, a third turn that was refused first
//	800      a path without a route, 404
//	1000     version 5 is acknowledged: turns go to review, with a route added
//	1100     program a goes on at review, and uses the route
//	5000     program b has spent what it may: 402
func keptRecord(t *testing.T) record {
	r := record{&History{EventTokens: EventTokens, ToolResponseBytes: ToolResponseBytes, Retention: Retention}}
	for i, c := range []Config{NewConfig(3, DraftService, false), NewConfig(5, ReviewService, true)} {
		body, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		r.Orders = append(r.Orders, Order{Config: c, BaseVersion: int64(3 * i), Body: body, Sent: at(1000*i - 10), Acknowledged: at(1000 * i)})
		r.ReadBack = body
	}
	r.answered("a-1", Streaming, DraftService, 100, "")
	r.answered("a-2", Idempotent, ToolService, 200, "")
	r.answered("a-3", NonIdempotent, ToolService, 300, "")
	r.answered("a-4", Streaming, DraftService, 400, "a-1")
	r.own("a-5", TurnPath, Streaming, 500, http.StatusServiceUnavailable)
	r.answered("a-6", Streaming, DraftService, 700, "a-4")
	r.own("a-7", AddedPath, Idempotent, 800, http.StatusNotFound)
	r.answered("a-8", Streaming, ReviewService, 1100, "a-6")
	r.answered("a-9", Idempotent, ToolService, 1200, "")
	r.try("a-9").Path, r.run("a-9").URI = AddedPath, AddedPath
	for n := range 5 {
		r.answered(fmt.Sprintf("b-%d", n), Streaming, ReviewService, 1300+100*n, "")
	}
	r.own("b-5", TurnPath, Streaming, 5000, http.StatusPaymentRequired)
	r.Results = []Result{{Program: "a"}, {Program: "b", Outcome: BudgetExhausted, Endless: true}}
	return r
}

func TestChecksFindNothingInAKeptRecord(t *testing.T) {
	for _, b := range Check(keptRecord(t).History) {
		t.Error(b)
	}
}

func TestChecksFindEachPlantedFault(t *testing.T) {
	plants := []struct {
		name, rule string
		plant      func(r record)
	}{
		{"an answer without the host's seal", "MIXED", func(r record) { r.try("a-3").Seal = "" }},
		{"the answer of another request", "MIXED", func(r record) { r.try("a-3").ResponseID = "a-2" }},
		{"another request's body", "MIXED", func(r record) { r.try("a-3").Body = r.try("a-2").Body }},
		{"a body that looks whole and is not", "MIXED", func(r record) { b := &r.try("a-3").Body; *b = (*b)[:ToolResponseBytes-1] }},
		{"a success where the host failed", "MIXED", func(r record) { r.run("a-3").Outcome = modelhost.Failed }},
		{"a success that no host ran", "MIXED", func(r record) { r.drop("a-9") }},
		{"an event that is missing", "ORDER", func(r record) { e := &r.try("a-6").Events; *e = (*e)[1:] }},
		{"an event that came twice", "ORDER", func(r record) { e := &r.try("a-8").Events; *e = append((*e)[:1:1], *e...) }},
		{"an event of another stream", "ORDER", func(r record) { r.try("a-8").Events[1].Data = modelhost.Event("a-6", 2) }},
		{"a stream that ends as complete before its last event", "ORDER", func(r record) { e := &r.try("a-8").Events; *e = (*e)[:1] }},
		{"a stream that ends as complete though its host broke off", "ORDER", func(r record) { r.run("a-8").Outcome = modelhost.Aborted }},
		{"a run that no client sent", "UNASKED", func(r record) { r.run("a-3").Attempt = "x-1" }},
		{"a changed path", "UNASKED", func(r record) { r.run("a-3").URI = WritePath + "more" }},
		{"a changed body", "UNASKED", func(r record) { r.run("a-3").Body = []byte("other") }},
		{"a history that lacks a turn", "UNASKED", func(r record) { r.run("a-6").Body = r.try("a-6").Input }},
		{"a history with an event twice", "UNASKED", func(r record) {
			b := &r.run("a-4").Body
			*b = append([]byte(modelhost.Event("a-1", 1)+"\n"), *b...)
		}},
		{"a turn that continues one that was not answered whole", "UNASKED", func(r record) { r.try("a-6").Previous = "a-5" }},
		{"a call that ran twice", "TWICE", func(r record) { r.Runs = append(r.Runs, *r.run("a-3")) }},
		{"a turn that ran twice", "TWICE", func(r record) { r.Runs = append(r.Runs, *r.run("a-8")) }},
		{"a refused turn that ran", "REFUSED", func(r record) { r.try("a-8").Status = http.StatusServiceUnavailable }},
		{"a 402 for a turn that ran", "REFUSED", func(r record) { r.try("b-4").Status = http.StatusPaymentRequired }},
		{"a 404 for a turn that continues one that is kept", "LOST", func(r record) {
			r.own("a-10", TurnPath, Streaming, 2000, http.StatusNotFound)
			r.try("a-10").Previous = "a-8"
		}},
		{"a request of a route that is answered 400", "DENIED", func(r record) { r.own("a-10", ReadPath, Idempotent, 2000, http.StatusBadRequest) }},
		{"a request that is sent elsewhere", "DENIED", func(r record) { r.own("a-10", ReadPath, Idempotent, 2000, http.StatusTemporaryRedirect) }},
		{"a 404 where each version has the route", "DENIED", func(r record) { r.own("a-10", ReadPath, Idempotent, 2000, http.StatusNotFound) }},
		{"more than the budget", "BUDGET", func(r record) {
			for n := 6; n < 9; n++ {
				r.answered(fmt.Sprintf("b-%d", n), Streaming, ReviewService, 2000+100*n, "")
			}
		}},
		{"more than the budget, in tries that broke off", "BUDGET", func(r record) {
			for n := 6; n < 9; n++ {
				id := fmt.Sprintf("b-%d", n)
				r.answered(id, Streaming, ReviewService, 2000+100*n, "")
				r.try(id).Complete, r.run(id).Outcome = false, modelhost.Canceled
			}
		}},
		{"a 402 while one more turn fits", "402", func(r record) { r.try("b-5").Budget = 24 }},
		{"a 402 by a turn that was refused long before", "402", func(r record) {
			r.drop("b-4")
			b := r.try("b-4")
			b.Status, b.Events = http.StatusServiceUnavailable, nil
		}},
		{"a service that no configuration has", "ROUTE", func(r record) { r.run("a-3").Service = DraftService }},
		{"a service that only a later configuration has", "ROUTE", func(r record) { r.run("a-1").Service = ReviewService }},
		{"an old service, long after the change", "CONFIG", func(r record) { r.answered("c-1", Streaming, DraftService, 1001+int(ApplyTimeout.Milliseconds()), "") }},
		{"a 404 for a route that was added long before", "CONFIG", func(r record) {
			r.own("c-1", AddedPath, Idempotent, 1001+int(ApplyTimeout.Milliseconds()), http.StatusNotFound)
		}},
		{"a process that goes back", "CONFIG", func(r record) { r.answered("c-1", Streaming, DraftService, 1150, "") }},
		{"a process that goes back to where there is no route", "CONFIG", func(r record) { r.own("c-1", AddedPath, Idempotent, 1250, http.StatusNotFound) }},
		{"an older configuration read back", "CONFIG", func(r record) { r.ReadBack = r.Orders[0].Body }},
		{"a configuration read back that nobody sent", "CONFIG", func(r record) { r.ReadBack = append(slices.Clone(r.ReadBack), ' ') }},
		{"a refused configuration read back", "CONFIG", func(r record) { r.Orders[1].Acknowledged, r.Orders[1].Rejected = time.Time{}, true }},
		{"a refused configuration that is acted on", "ROUTE", func(r record) { r.Orders[1].Acknowledged, r.Orders[1].Rejected = time.Time{}, true }},
		{"an invalid configuration that is acknowledged", "CONFIG", func(r record) { r.Orders[1].Invalid = true }},
		{"two configurations on the same version", "CONFIG", func(r record) { r.Orders[1].BaseVersion = 0 }},
		{"a program that failed", "SERVED", func(r record) { r.Results[0].Outcome = Failed }},
		{"a program without an end that has one", "SERVED", func(r record) { r.Results[1].Outcome = Completed }},
	}
	planted := map[string]bool{}
	for _, p := range plants {
		planted[p.rule] = true
		t.Run(p.name, func(t *testing.T) {
			r := keptRecord(t)
			p.plant(r)
			found := Check(r.History)
			if len(found) == 0 {
				t.Fatal("nothing was found")
			}
			if !slices.ContainsFunc(found, func(b Violation) bool { return b.Rule == p.rule }) {
				t.Errorf("found %v, want %s", found, p.rule)
			}
		})
	}
	for _, c := range checks {
		if !planted[c.rule] {
			t.Errorf("no fault is planted for %s", c.rule)
		}
	}
}

func TestWhatMayBeIsNoFault(t *testing.T) {
	for name, change := range map[string]func(r record){
		"the old service for a moment after the change": func(r record) { r.answered("c-1", Streaming, DraftService, 1050, "") },
		"the old service at another front, while one has changed": func(r record) {
			r.answered("c-1", Streaming, DraftService, 1150, "")
			r.try("c-1").Front = "front-2"
		},
		"a life that begins with an older version": func(r record) { r.answered("c-1", Streaming, DraftService, 1150, ""); r.try("c-1").Incarnation = 2 },
		"a stream that broke off":                  func(r record) { r.try("a-8").Complete, r.run("a-8").Outcome = false, modelhost.Aborted },
		"an idempotent call that ran twice":        func(r record) { r.Runs = append(r.Runs, *r.run("a-2")) },
		"a 402 while another turn of the program may run": func(r record) {
			r.try("b-5").Sent, r.try("b-5").Ended = at(1725), at(1726)
			r.try("b-4").Complete = false
		},
		"a 404 after the turn was kept for as long as asked": func(r record) {
			r.own("a-10", TurnPath, Streaming, 2000+int(Retention.Milliseconds()), http.StatusNotFound)
			r.try("a-10").Previous = "a-8"
		},
		"a program that failed as a host broke off a call that cannot be repeated": func(r record) {
			r.Results[0].Outcome = Failed
			r.try("a-3").Status, r.try("a-3").Seal, r.run("a-3").Outcome = http.StatusBadGateway, "", modelhost.Aborted
		},
		"an order without an acknowledgement": func(r record) { r.Orders[1].Acknowledged = time.Time{} },
	} {
		t.Run(name, func(t *testing.T) {
			r := keptRecord(t)
			change(r)
			for _, b := range Check(r.History) {
				t.Error(b)
			}
		})
	}
}
