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
	for _, action := range d.actions {
		if w, ok := action.(choice.Wake); ok {
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
func finalAnswers(actions []choice.Action) (refused, failed []string) {
	for _, action := range actions {
		switch action := action.(type) {
		case choice.Refuse:
			refused = append(refused, action.ID)
		case choice.Fail:
			failed = append(failed, action.ID)
		}
	}
	return refused, failed
}

func listedHost(dest int) choice.Host {
	return choice.Host{Addr: fmt.Sprint("h", dest), Dest: dest, Kind: 2, Rate: 100, State: choice.Ready}
}

// answeredID returns the message of a final answer, empty for another action.
func answeredID(action choice.Action) string {
	switch action := action.(type) {
	case choice.Refuse:
		return action.ID
	case choice.Fail:
		return action.ID
	}
	return ""
}

func answeredIDs(actions []choice.Action) (ids []string) {
	refused, failed := finalAnswers(actions)
	return append(refused, failed...)
}

func sendsOf(actions []choice.Action) (all []choice.Send) {
	for _, action := range actions {
		if send, ok := action.(choice.Send); ok {
			all = append(all, send)
		}
	}
	return all
}
