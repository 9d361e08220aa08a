package choice_test

import (
	"fmt"
	"testing"
	"time"

	"larchrouter/choice"
)

// driver drives a Chooser in simulated time and keeps its last actions.
type driver struct {
	t       *testing.T
	c       *choice.Chooser
	now     time.Duration
	next    int
	actions []choice.Action // of the last Step
}

// newDriver returns a driver whose Chooser knows the hosts.
func newDriver(t *testing.T, cfg choice.Settings, hosts ...choice.Host) *driver {
	t.Helper()
	chooser, err := choice.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	driver := &driver{t: t, c: chooser, now: time.Hour}
	driver.step(choice.Listing{Whole: true, Hosts: hosts})
	return driver
}

func (d *driver) step(events ...choice.Event) []choice.Action {
	d.actions = d.c.Step(d.now, append(events, choice.Woken{}))
	return d.actions
}

// advance lets time pass with the requested wake-ups only, and returns all actions.
func (d *driver) advance(span time.Duration) (all []choice.Action) {
	d.t.Helper()
	for end := d.now + span; ; {
		wake := d.nextWake()
		if wake == 0 || d.now+wake > end {
			d.now = end
			return all
		}
		d.now += wake
		all = append(all, d.step()...)
	}
}

// nextWake returns the time from the last Step to the requested wake-up; 0 for none.
func (d *driver) nextWake() (after time.Duration) {
	for _, a := range d.actions {
		if w, ok := a.(choice.Wake); ok {
			after = w.After
		}
	}
	return after
}

func (d *driver) arrival(class, dest int, left time.Duration) choice.Arrival {
	d.next++
	return choice.Arrival{ID: fmt.Sprint("m", d.next), Class: class, Dest: dest, Left: left}
}

func (d *driver) arrivals(n, class, dest int, left time.Duration) (all []choice.Event) {
	for range n {
		all = append(all, d.arrival(class, dest, left))
	}
	return all
}

// finalAnswers returns the messages with a final answer among actions, in order.
func finalAnswers(acts []choice.Action) (refused, failed []string) {
	for _, a := range acts {
		switch a := a.(type) {
		case choice.Refuse:
			refused = append(refused, a.ID)
		case choice.Fail:
			failed = append(failed, a.ID)
		}
	}
	return refused, failed
}

func listedHost(dest int) choice.Host {
	return choice.Host{Addr: fmt.Sprint("h", dest), Dest: dest, Kind: 2, Rate: 100, State: choice.Ready}
}

// answeredID returns the message of a final answer, empty for another action.
func answeredID(a choice.Action) string {
	switch a := a.(type) {
	case choice.Refuse:
		return a.ID
	case choice.Fail:
		return a.ID
	}
	return ""
}

func answeredIDs(acts []choice.Action) (ids []string) {
	refused, failed := finalAnswers(acts)
	return append(refused, failed...)
}

func sendsOf(acts []choice.Action) (all []choice.Send) {
	for _, a := range acts {
		if s, ok := a.(choice.Send); ok {
			all = append(all, s)
		}
	}
	return all
}
