package tiertest

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// Violation is a rule that was not kept.
type Violation struct{ Rule, Text string }

func (b Violation) String() string { return b.Rule + ": " + b.Text }

// check finds breaches of one rule.
type check struct {
	rule string
	find func(c *indexedHistory, broken func(format string, args ...any))
}

// The rules, by the names that they have on the platform's page; SERVED is ours: every program ends as it should.
var checks = []check{
	{"MIXED", checkMixed},
	{"ORDER", checkOrder},
	{"UNASKED", checkUnasked},
	{"TWICE", checkTwice},
	{"REFUSED", checkRefused},
	{"LOST", checkLost},
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

// Check holds what was seen against the rules, and names each breach.
func Check(e *History) (all []Violation) {
	c := indexHistory(e)
	for _, one := range checks {
		var found []Violation
		one.find(c, func(format string, args ...any) {
			found = append(found, Violation{one.rule, fmt.Sprintf(format, args...)})
		})
		slices.SortFunc(found, func(a, b Violation) int { return cmp.Compare(a.Text, b.Text) })
		all = append(all, found...)
	}
	return all
}

// indexedHistory is evidence with what is looked up in it.
type indexedHistory struct {
	*History
	attempts map[string]*Attempt
	runs     map[string][]*modelhost.Run
}

func indexHistory(e *History) *indexedHistory {
	c := &indexedHistory{History: e, attempts: map[string]*Attempt{}, runs: map[string][]*modelhost.Run{}}
	for i := range e.Attempts {
		c.attempts[e.Attempts[i].ID] = &e.Attempts[i]
	}
	for i := range e.Runs {
		c.runs[e.Runs[i].Attempt] = append(c.runs[e.Runs[i].Attempt], &e.Runs[i])
	}
	return c
}

func checkMixed(c *indexedHistory, broken func(string, ...any)) {
	for _, t := range c.attempts {
		if t.Status/100 != 2 {
			continue
		}
		switch runs := c.runs[t.ID]; {
		case t.Seal == "" || t.ResponseID != t.ID:
			broken("%s has an answer with the id %q and the seal %q", t.ID, t.ResponseID, t.Seal)
		case !slices.ContainsFunc(runs, func(r *modelhost.Run) bool { return r.Outcome != modelhost.Failed }):
			broken("%s was answered %d, but no host did", t.ID, t.Status)
		case t.Kind == Streaming:
		case t.Complete && !bytes.Equal(t.Body, modelhost.ToolBody(t.ID, c.ToolResponseBytes)):
			broken("%s has an answer that looks whole and is not the host's: %q", t.ID, t.Body)
		}
	}
}

func checkOrder(c *indexedHistory, broken func(string, ...any)) {
	for _, t := range c.attempts {
		if t.Kind != Streaming || t.Status != http.StatusOK {
			continue
		}
		for i, e := range t.Events {
			if want := (Event{i + 1, modelhost.Event(t.ID, i+1)}); e != want {
				broken("%s has %+v for %+v", t.ID, e, want)
				break
			}
		}
		if t.Complete && !slices.ContainsFunc(c.runs[t.ID], func(r *modelhost.Run) bool { return r.Outcome == modelhost.Completed && len(r.Events) == len(t.Events) }) {
			broken("%s ended as complete after %d events, and no host's stream did", t.ID, len(t.Events))
		}
	}
}

// expectedHistory of a turn: the inputs and outputs of its chain, as clients know them. A host whose turn was cut off from its
// client has shown the turn to nobody, so that it must not be continued.
func (c *indexedHistory) expectedHistory(attempt string) (b []byte, ok bool) {
	var chain []*Attempt
	for attempt != "" {
		t := c.attempts[attempt]
		if t == nil || !t.Complete || t.Status != http.StatusOK || len(chain) > len(c.attempts) {
			return nil, false
		}
		chain, attempt = append(chain, t), t.Previous
	}
	for _, t := range slices.Backward(chain) {
		b = append(b, t.Input...)
		for _, e := range t.Events {
			b = append(append(b, e.Data...), '\n')
		}
	}
	return b, true
}

func checkUnasked(c *indexedHistory, broken func(string, ...any)) {
	for _, r := range c.Runs {
		t := c.attempts[r.Attempt]
		if t == nil {
			broken("a host ran %s, which no client sent", r.Attempt)
			continue
		}
		want := t.Input
		if t.Kind == Streaming {
			before, ok := c.expectedHistory(t.Previous)
			if !ok {
				broken("a host ran %s, which continues %q, a turn that was not answered whole", t.ID, t.Previous)
				continue
			}
			want = append(before, t.Input...)
		}
		if path, _, _ := strings.Cut(r.URI, "?"); r.Method != t.Method || path != t.Path || !bytes.Equal(r.Body, want) {
			broken("a host got %s as %s %s %q, and should have as %s %s %q", t.ID, r.Method, r.URI, r.Body, t.Method, t.Path, want)
		}
	}
}

func checkTwice(c *indexedHistory, broken func(string, ...any)) {
	for attempt, runs := range c.runs {
		if t := c.attempts[attempt]; t != nil && t.Kind != Idempotent && len(runs) > 1 {
			broken("%s ran %d times", attempt, len(runs))
		}
	}
}

func checkRefused(c *indexedHistory, broken func(string, ...any)) {
	for attempt, runs := range c.runs {
		t := c.attempts[attempt]
		if t == nil || t.Kind == Idempotent {
			continue
		}
		if notExecuted(t.Status) || t.Status == http.StatusPaymentRequired {
			broken("%s was answered %d and ran at %s", attempt, t.Status, runs[0].Host)
		}
	}
}

func checkLost(c *indexedHistory, broken func(string, ...any)) {
	for _, t := range c.attempts {
		if t.Status != http.StatusNotFound && t.Status != http.StatusGone || t.Previous == "" {
			continue
		}
		if p := c.attempts[t.Previous]; p != nil && p.Complete && p.Status == http.StatusOK && t.Ended.Sub(p.Ended) < c.Retention {
			broken("%s was answered %d, though %s was answered whole %v before", t.ID, t.Status, t.Previous, t.Sent.Sub(p.Ended))
		}
	}
}

// versionsAllowing are the versions, of those that were sent by a moment and not refused, by which a path goes to a service, or by which
// there is no route where service is "".
func (c *indexedHistory) versionsAllowing(path, service string, by time.Time) (versions []int64) {
	for i := range c.Orders {
		o := &c.Orders[i]
		if r := o.routeFor(path); o.Sent.After(by) || o.Rejected {
			continue
		} else if r == nil && service == "" || r != nil && r.Service == service {
			versions = append(versions, o.Version)
		}
	}
	return versions
}

func checkDenied(c *indexedHistory, broken func(string, ...any)) {
	for _, t := range c.attempts {
		if t.Status/100 != 3 && t.Status/100 != 4 || notExecuted(t.Status) || t.Status == http.StatusPaymentRequired {
			continue
		}
		if t.Status == http.StatusNotFound && (t.Previous != "" || len(c.versionsUsed(t)) > 0) {
			continue // for LOST, or as a configuration has it
		}
		if len(c.runs[t.ID]) == 0 {
			broken("%s of %s was answered %d by the tier: %s", t.ID, t.Path, t.Status, bytes.TrimSpace(t.Body))
		}
	}
}

func checkBudget(c *indexedHistory, broken func(string, ...any)) {
	handed, most, budgets := map[string]int{}, map[string]int{}, map[string]int{}
	for _, t := range c.attempts {
		if t.Kind == Streaming {
			handed[t.Program] += c.EventTokens * len(t.Events)
			most[t.Program] = max(most[t.Program], t.MaxTokens)
			budgets[t.Program] = t.Budget
		}
	}
	for program, n := range handed {
		if n > budgets[program]+most[program] {
			broken("%s was handed %d tokens of a budget of %d, with at most %d a turn", program, n, budgets[program], most[program])
		}
	}
}

// settleTime is the time after which a turn that has ended whole, or without a run, counts as what it was.
const settleTime = time.Second

func checkPrematureExhaustion(c *indexedHistory, broken func(string, ...any)) {
	for _, t := range c.attempts {
		if t.Status != http.StatusPaymentRequired {
			continue
		}
		sum := t.MaxTokens
		for _, o := range c.attempts {
			if o == t || o.Program != t.Program || o.Kind != Streaming || !o.Sent.Before(t.Ended) {
				continue
			}
			settled := o.Ended.Add(settleTime).Before(t.Sent)
			switch {
			case settled && o.Complete && o.Status == http.StatusOK:
				sum += c.EventTokens * len(o.Events)
			case settled && o.Complete && (o.Status/100 == 4 || o.Status == http.StatusServiceUnavailable):
			default:
				sum += o.MaxTokens
			}
		}
		if sum <= t.Budget {
			broken("%s was answered 402, though %d tokens at most would have been handed out of %d", t.ID, sum, t.Budget)
		}
	}
}

func checkRoute(c *indexedHistory, broken func(string, ...any)) {
	for _, r := range c.Runs {
		if t := c.attempts[r.Attempt]; t != nil && len(c.versionsAllowing(t.Path, r.Service, t.Ended)) == 0 {
			broken("%s of %s ran at %s, which no configuration has", t.ID, t.Path, r.Service)
		}
	}
}

// versionsUsed are the versions that may have been acted on when a try was versionsUsed: by the service that ran it, or by the 404.
// Nil where nothing tells.
func (c *indexedHistory) versionsUsed(t *Attempt) []int64 {
	if runs := c.runs[t.ID]; len(runs) > 0 {
		return c.versionsAllowing(t.Path, runs[len(runs)-1].Service, t.Ended)
	}
	if t.Status == http.StatusNotFound && t.Previous == "" {
		return c.versionsAllowing(t.Path, "", t.Ended)
	}
	return nil
}

func checkConfigApplied(c *indexedHistory, broken func(string, ...any)) {
	for _, t := range c.attempts {
		versions := c.versionsUsed(t)
		for _, o := range c.Orders {
			if len(versions) > 0 && !o.Acknowledged.IsZero() && t.Sent.Sub(o.Acknowledged) > ApplyTimeout && slices.Max(versions) < o.Version {
				broken("%s was handled at %s as only version %d and older allow, %v after version %d was acknowledged", t.ID, t.Front, slices.Max(versions), t.Sent.Sub(o.Acknowledged), o.Version)
				break
			}
		}
	}
}

// checkConfigMonotonic finds a process that goes checkConfigMonotonic: what it handled as only a version and later ones allow comes before what was sent
// after that, and was handled as only older ones allow.
func checkConfigMonotonic(c *indexedHistory, broken func(string, ...any)) {
	type life struct {
		front string
		n     int
	}
	all := map[life][]*Attempt{}
	for i := range c.Attempts {
		if t := &c.Attempts[i]; len(c.versionsUsed(t)) > 0 {
			all[life{t.Front, t.Incarnation}] = append(all[life{t.Front, t.Incarnation}], t)
		}
	}
	for at, tries := range all {
		slices.SortFunc(tries, func(a, b *Attempt) int { return a.Ended.Compare(b.Ended) })
		sent := slices.SortedFunc(slices.Values(tries), func(a, b *Attempt) int { return a.Sent.Compare(b.Sent) })
		seen, from := int64(0), (*Attempt)(nil)
		for _, t := range sent {
			for len(tries) > 0 && tries[0].Ended.Before(t.Sent) {
				if low := slices.Min(c.versionsUsed(tries[0])); low > seen {
					seen, from = low, tries[0]
				}
				tries = tries[1:]
			}
			if high := slices.Max(c.versionsUsed(t)); high < seen {
				broken("%s went back from version %d (%s) to %d (%s)", at.front, seen, from.ID, high, t.ID)
			}
		}
	}
}

func checkConfigReadBack(c *indexedHistory, broken func(string, ...any)) {
	if c.ReadBack == nil {
		return
	}
	newest := int64(0)
	for _, o := range c.Orders {
		if !o.Acknowledged.IsZero() {
			newest = max(newest, o.Version)
		}
	}
	i := slices.IndexFunc(c.Orders, func(o Order) bool { return bytes.Equal(o.Body, c.ReadBack) && !o.Rejected })
	if i < 0 || c.Orders[i].Version < newest {
		broken("what is read back is not version %d, which was acknowledged, or a later one: %.100q", newest, c.ReadBack)
	}
}

// checkConfigAcknowledged finds what must not be acknowledged: an invalid order, and two that build on the same version.
func checkConfigAcknowledged(c *indexedHistory, broken func(string, ...any)) {
	on := map[int64]int64{}
	for _, o := range c.Orders {
		if o.Acknowledged.IsZero() {
			continue
		}
		if o.Invalid {
			broken("version %d is invalid and was acknowledged", o.Version)
		}
		if other, twice := on[o.BaseVersion]; twice && other != o.Version {
			broken("versions %d and %d build on version %d, and both were acknowledged", other, o.Version, o.BaseVersion)
		}
		on[o.BaseVersion] = o.Version
	}
}

// failedByHost tells whether a host broke off a call of a program that cannot be repeated: its failure is the host's.
func (c *indexedHistory) failedByHost(program string) bool {
	for _, t := range c.attempts {
		if t.Program == program && t.Kind == NonIdempotent && slices.ContainsFunc(c.runs[t.ID], func(r *modelhost.Run) bool { return r.Outcome == modelhost.Aborted || r.Outcome == modelhost.Failed }) {
			return true
		}
	}
	return false
}

func checkServed(c *indexedHistory, broken func(string, ...any)) {
	for _, e := range c.Results {
		switch {
		case e.Outcome == Failed && !c.failedByHost(e.Program):
			broken("%s failed: %s", e.Program, e.Reason)
		case e.Endless && e.Outcome == Completed:
			broken("%s has no end of its own, and ended without a 402", e.Program)
		}
	}
}
