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

// Breach is a rule that was not kept.
type Breach struct{ Rule, Text string }

// String gives the rule, and what was seen.
func (b Breach) String() string { return b.Rule + ": " + b.Text }

// check finds breaches of one rule.
type check struct {
	rule string
	find func(c *course, broken func(format string, args ...any))
}

// The rules, by the names that they have on the platform's page; SERVED is ours: every program ends as it should.
var checks = []check{
	{"MIXED", mixed},
	{"ORDER", order},
	{"UNASKED", unasked},
	{"TWICE", twice},
	{"REFUSED", refused},
	{"LOST", lost},
	{"DENIED", denied},
	{"BUDGET", budget},
	{"402", early},
	{"ROUTE", route},
	{"CONFIG", late},
	{"CONFIG", back},
	{"CONFIG", readBack},
	{"CONFIG", taken},
	{"SERVED", served},
}

// Check holds what was seen against the rules, and names each breach.
func Check(e *Evidence) (all []Breach) {
	c := newCourse(e)
	for _, one := range checks {
		var found []Breach
		one.find(c, func(format string, args ...any) {
			found = append(found, Breach{one.rule, fmt.Sprintf(format, args...)})
		})
		slices.SortFunc(found, func(a, b Breach) int { return cmp.Compare(a.Text, b.Text) })
		all = append(all, found...)
	}
	return all
}

// course is evidence with what is looked up in it.
type course struct {
	*Evidence
	tries map[string]*Try
	runs  map[string][]*modelhost.Run
}

func newCourse(e *Evidence) *course {
	c := &course{Evidence: e, tries: map[string]*Try{}, runs: map[string][]*modelhost.Run{}}
	for i := range e.Tries {
		c.tries[e.Tries[i].Attempt] = &e.Tries[i]
	}
	for i := range e.Runs {
		c.runs[e.Runs[i].Attempt] = append(c.runs[e.Runs[i].Attempt], &e.Runs[i])
	}
	return c
}

func mixed(c *course, broken func(string, ...any)) {
	for _, t := range c.tries {
		if t.Status/100 != 2 {
			continue
		}
		switch runs := c.runs[t.Attempt]; {
		case t.Seal == "" || t.ID != t.Attempt:
			broken("%s has an answer with the id %q and the seal %q", t.Attempt, t.ID, t.Seal)
		case !slices.ContainsFunc(runs, func(r *modelhost.Run) bool { return r.End != modelhost.Failed }):
			broken("%s was answered %d, but no host did", t.Attempt, t.Status)
		case t.Kind == Turns:
		case t.Whole && !bytes.Equal(t.Body, modelhost.Body(t.Attempt, c.ToolSize)):
			broken("%s has an answer that looks whole and is not the host's: %q", t.Attempt, t.Body)
		}
	}
}

func order(c *course, broken func(string, ...any)) {
	for _, t := range c.tries {
		if t.Kind != Turns || t.Status != http.StatusOK {
			continue
		}
		for i, e := range t.Events {
			if want := (Event{i + 1, modelhost.Event(t.Attempt, i+1)}); e != want {
				broken("%s has %+v for %+v", t.Attempt, e, want)
				break
			}
		}
		if t.Whole && !slices.ContainsFunc(c.runs[t.Attempt], func(r *modelhost.Run) bool { return r.End == modelhost.Whole && len(r.Events) == len(t.Events) }) {
			broken("%s ended as complete after %d events, and no host's stream did", t.Attempt, len(t.Events))
		}
	}
}

// history of a turn: the inputs and outputs of its chain, as clients know them. A host whose turn was cut off from its
// client has shown the turn to nobody, so that it must not be continued.
func (c *course) history(attempt string) (b []byte, ok bool) {
	var chain []*Try
	for attempt != "" {
		t := c.tries[attempt]
		if t == nil || !t.Whole || t.Status != http.StatusOK || len(chain) > len(c.tries) {
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

func unasked(c *course, broken func(string, ...any)) {
	for _, r := range c.Runs {
		t := c.tries[r.Attempt]
		if t == nil {
			broken("a host ran %s, which no client sent", r.Attempt)
			continue
		}
		want := t.Input
		if t.Kind == Turns {
			before, ok := c.history(t.Previous)
			if !ok {
				broken("a host ran %s, which continues %q, a turn that was not answered whole", t.Attempt, t.Previous)
				continue
			}
			want = append(before, t.Input...)
		}
		if path, _, _ := strings.Cut(r.URI, "?"); r.Method != t.Method || path != t.Path || !bytes.Equal(r.Body, want) {
			broken("a host got %s as %s %s %q, and should have as %s %s %q", t.Attempt, r.Method, r.URI, r.Body, t.Method, t.Path, want)
		}
	}
}

func twice(c *course, broken func(string, ...any)) {
	for attempt, runs := range c.runs {
		if t := c.tries[attempt]; t != nil && t.Kind != Idempotent && len(runs) > 1 {
			broken("%s ran %d times", attempt, len(runs))
		}
	}
}

func refused(c *course, broken func(string, ...any)) {
	for attempt, runs := range c.runs {
		t := c.tries[attempt]
		if t == nil || t.Kind == Idempotent {
			continue
		}
		if promised(t.Status) || t.Status == http.StatusPaymentRequired {
			broken("%s was answered %d and ran at %s", attempt, t.Status, runs[0].Host)
		}
	}
}

func lost(c *course, broken func(string, ...any)) {
	for _, t := range c.tries {
		if t.Status != http.StatusNotFound && t.Status != http.StatusGone || t.Previous == "" {
			continue
		}
		if p := c.tries[t.Previous]; p != nil && p.Whole && p.Status == http.StatusOK && t.Ended.Sub(p.Ended) < c.Retain {
			broken("%s was answered %d, though %s was answered whole %v before", t.Attempt, t.Status, t.Previous, t.Sent.Sub(p.Ended))
		}
	}
}

// allowing are the versions, of those that were sent by a moment and not refused, by which a path goes to a service, or by which
// there is no route where service is "".
func (c *course) allowing(path, service string, by time.Time) (versions []int64) {
	for i := range c.Orders {
		o := &c.Orders[i]
		if r := o.route(path); o.Sent.After(by) || o.Refused {
			continue
		} else if r == nil && service == "" || r != nil && r.Service == service {
			versions = append(versions, o.Version)
		}
	}
	return versions
}

func denied(c *course, broken func(string, ...any)) {
	for _, t := range c.tries {
		if t.Status/100 != 3 && t.Status/100 != 4 || promised(t.Status) || t.Status == http.StatusPaymentRequired {
			continue
		}
		if t.Status == http.StatusNotFound && (t.Previous != "" || len(c.handled(t)) > 0) {
			continue // for LOST, or as a configuration has it
		}
		if len(c.runs[t.Attempt]) == 0 {
			broken("%s of %s was answered %d by the tier: %s", t.Attempt, t.Path, t.Status, bytes.TrimSpace(t.Body))
		}
	}
}

func budget(c *course, broken func(string, ...any)) {
	handed, most, budgets := map[string]int{}, map[string]int{}, map[string]int{}
	for _, t := range c.tries {
		if t.Kind == Turns {
			handed[t.Program] += c.EventTokens * len(t.Events)
			most[t.Program] = max(most[t.Program], t.Most)
			budgets[t.Program] = t.Budget
		}
	}
	for program, n := range handed {
		if n > budgets[program]+most[program] {
			broken("%s was handed %d tokens of a budget of %d, with at most %d a turn", program, n, budgets[program], most[program])
		}
	}
}

// settle is the time after which a turn that has ended whole, or without a run, counts as what it was.
const settle = time.Second

func early(c *course, broken func(string, ...any)) {
	for _, t := range c.tries {
		if t.Status != http.StatusPaymentRequired {
			continue
		}
		sum := t.Most
		for _, o := range c.tries {
			if o == t || o.Program != t.Program || o.Kind != Turns || !o.Sent.Before(t.Ended) {
				continue
			}
			settled := o.Ended.Add(settle).Before(t.Sent)
			switch {
			case settled && o.Whole && o.Status == http.StatusOK:
				sum += c.EventTokens * len(o.Events)
			case settled && o.Whole && (o.Status/100 == 4 || o.Status == http.StatusServiceUnavailable):
			default:
				sum += o.Most
			}
		}
		if sum <= t.Budget {
			broken("%s was answered 402, though %d tokens at most would have been handed out of %d", t.Attempt, sum, t.Budget)
		}
	}
}

func route(c *course, broken func(string, ...any)) {
	for _, r := range c.Runs {
		if t := c.tries[r.Attempt]; t != nil && len(c.allowing(t.Path, r.Service, t.Ended)) == 0 {
			broken("%s of %s ran at %s, which no configuration has", t.Attempt, t.Path, r.Service)
		}
	}
}

// handled are the versions that may have been acted on when a try was handled: by the service that ran it, or by the 404.
// Nil where nothing tells.
func (c *course) handled(t *Try) []int64 {
	if runs := c.runs[t.Attempt]; len(runs) > 0 {
		return c.allowing(t.Path, runs[len(runs)-1].Service, t.Ended)
	}
	if t.Status == http.StatusNotFound && t.Previous == "" {
		return c.allowing(t.Path, "", t.Ended)
	}
	return nil
}

func late(c *course, broken func(string, ...any)) {
	for _, t := range c.tries {
		versions := c.handled(t)
		for _, o := range c.Orders {
			if len(versions) > 0 && !o.Acked.IsZero() && t.Sent.Sub(o.Acked) > Apply && slices.Max(versions) < o.Version {
				broken("%s was handled at %s as only version %d and older allow, %v after version %d was acknowledged", t.Attempt, t.Front, slices.Max(versions), t.Sent.Sub(o.Acked), o.Version)
				break
			}
		}
	}
}

// back finds a process that goes back: what it handled as only a version and later ones allow comes before what was sent
// after that, and was handled as only older ones allow.
func back(c *course, broken func(string, ...any)) {
	type life struct {
		front string
		n     int
	}
	all := map[life][]*Try{}
	for i := range c.Tries {
		if t := &c.Tries[i]; len(c.handled(t)) > 0 {
			all[life{t.Front, t.Life}] = append(all[life{t.Front, t.Life}], t)
		}
	}
	for at, tries := range all {
		slices.SortFunc(tries, func(a, b *Try) int { return a.Ended.Compare(b.Ended) })
		sent := slices.SortedFunc(slices.Values(tries), func(a, b *Try) int { return a.Sent.Compare(b.Sent) })
		seen, from := int64(0), (*Try)(nil)
		for _, t := range sent {
			for len(tries) > 0 && tries[0].Ended.Before(t.Sent) {
				if low := slices.Min(c.handled(tries[0])); low > seen {
					seen, from = low, tries[0]
				}
				tries = tries[1:]
			}
			if high := slices.Max(c.handled(t)); high < seen {
				broken("%s went back from version %d (%s) to %d (%s)", at.front, seen, from.Attempt, high, t.Attempt)
			}
		}
	}
}

func readBack(c *course, broken func(string, ...any)) {
	if c.Read == nil {
		return
	}
	newest := int64(0)
	for _, o := range c.Orders {
		if !o.Acked.IsZero() {
			newest = max(newest, o.Version)
		}
	}
	i := slices.IndexFunc(c.Orders, func(o Order) bool { return bytes.Equal(o.Body, c.Read) && !o.Refused })
	if i < 0 || c.Orders[i].Version < newest {
		broken("what is read back is not version %d, which was acknowledged, or a later one: %.100q", newest, c.Read)
	}
}

// taken finds what must not be acknowledged: an invalid order, and two that build on the same version.
func taken(c *course, broken func(string, ...any)) {
	on := map[int64]int64{}
	for _, o := range c.Orders {
		if o.Acked.IsZero() {
			continue
		}
		if o.Invalid {
			broken("version %d is invalid and was acknowledged", o.Version)
		}
		if other, twice := on[o.Base]; twice && other != o.Version {
			broken("versions %d and %d build on version %d, and both were acknowledged", other, o.Version, o.Base)
		}
		on[o.Base] = o.Version
	}
}

// brokenByHost tells whether a host broke off a call of a program that cannot be repeated: its failure is the host's.
func (c *course) brokenByHost(program string) bool {
	for _, t := range c.tries {
		if t.Program == program && t.Kind == NonIdempotent && slices.ContainsFunc(c.runs[t.Attempt], func(r *modelhost.Run) bool { return r.End == modelhost.Cut || r.End == modelhost.Failed }) {
			return true
		}
	}
	return false
}

func served(c *course, broken func(string, ...any)) {
	for _, e := range c.Endings {
		switch {
		case e.End == Failed && !c.brokenByHost(e.Program):
			broken("%s failed: %s", e.Program, e.Why)
		case e.Loops && e.End == Whole:
			broken("%s has no end of its own, and ended without a 402", e.Program)
		}
	}
}
