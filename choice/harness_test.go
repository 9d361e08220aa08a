package choice

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{
		Fleet: 2, Workers: 4, MaxHeld: 50, MaxAttempts: 4, Tick: 5 * ms, Cancels: true, Listed: true,
		Classes: []Class{
			{Name: "safe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Safe},
			{Name: "keyed", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Keyed,
				SameZone: true, Window: 3 * time.Second},
			{Name: "unsafe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe},
			{Name: "ordered", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe,
				Ordered: true},
		},
		Kinds:   []Kind{{PerCall: 1}, {PerCall: 3}, {PerCall: 1, Apart: true}},
		ZoneFee: []float64{0, 0.05},
		Rules: Rules{AnswerGrace: 20 * ms, DrainGrace: time.Second, OverloadFactor: 2, Fall: 2 * time.Second,
			ColdFrom: 0.2, Cold: 10 * time.Second, OrderSettle: 100 * ms},
	}
}

// harness drives a Chooser and counts its attempts by message.
type harness struct {
	t        *testing.T
	c        *Chooser
	now      time.Duration
	attempts map[string]int
}

// newHarness returns a harness whose Chooser knows the hosts.
func newHarness(t *testing.T, cfg Settings, hosts ...Host) *harness {
	t.Helper()
	chooser, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, c: chooser, now: time.Hour, attempts: map[string]int{}}
	r.step(Listing{Whole: true, Hosts: hosts})
	return r
}

func (r *harness) step(events ...Event) []Action {
	actions := r.c.Step(r.now, events)
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			r.attempts[send.ID]++
		}
	}
	return actions
}

// advance lets time pass in ticks, with a wake-up at each, and returns all actions.
func (r *harness) advance(span time.Duration) []Action {
	var actions []Action
	for end := r.now + span; r.now < end; {
		r.now += 5 * ms
		actions = append(actions, r.step(Woken{})...)
	}
	return actions
}

// result returns the Result of the last attempt of a message.
func (r *harness) result(id, host string, outcome Outcome, changes ...func(*Result)) Result {
	result := Result{ID: id, Host: host, Attempt: r.attempts[id] - 1, Outcome: outcome, Took: 50 * ms,
		Done: outcome == Served}
	for _, change := range changes {
		change(&result)
	}
	return result
}

func sends(actions []Action) (out []Send) {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			out = append(out, send)
		}
	}
	return out
}

// finalAnswers returns the final answers among actions, in order, as text.
func finalAnswers(actions []Action) string {
	out := ""
	for _, action := range actions {
		switch action := action.(type) {
		case Refuse:
			out += "refuse " + action.ID + ";"
		case Fail:
			out += "fail " + action.ID + ";"
		}
	}
	return out
}

func readyHost(addr string, dest, kind, zone int) Host {
	return Host{Addr: addr, Dest: dest, Kind: kind, Zone: zone, Rate: 100, State: Ready}
}

func arrival(id string, class int) Arrival {
	return Arrival{ID: id, Class: class, Dest: 1, Left: 10 * time.Second}
}
