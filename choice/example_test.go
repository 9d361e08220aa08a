package choice_test

import (
	"fmt"
	"time"

	"larchrouter/choice"
)

// The event loop of a relay: pass in events, carry out actions.
func Example() {
	chooser, err := choice.New(choice.Settings{
		Fleet: 1, Workers: 8, MaxHeld: 100, MaxAttempts: 4, Tick: 5 * time.Millisecond,
		Classes: []choice.Class{{Name: "status", Aim: 2 * time.Second, Deadline: 10 * time.Second,
			Worth: 1, LateShare: 0.5, Effect: choice.Safe}},
		Kinds: []choice.Kind{{PerCall: 1}},
		Rules: choice.Rules{OverloadFactor: 2, Fall: 2 * time.Second, ColdFrom: 0.2, Cold: 10 * time.Second},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	inbox := []choice.Event{
		choice.Listing{Whole: true, Hosts: []choice.Host{{Addr: "10.0.0.1:80", Dest: 7, State: choice.Ready}}},
		choice.Arrival{ID: "m1", Class: 0, Dest: 7, Left: 10 * time.Second},
	}
	for len(inbox) > 0 {
		actions := chooser.Step(now, inbox)
		inbox = nil
		for _, action := range actions {
			switch action := action.(type) {
			case choice.Send: // a relay would call a.Host here; this one pretends that it answered
				fmt.Printf("send %s to %s, time-out %v\n", action.ID, action.Host, action.Timeout)
				inbox = append(inbox, choice.Result{ID: action.ID, Host: action.Host, Outcome: choice.Served,
					Took: 80 * time.Millisecond, Done: true})
			case choice.Wake:
				fmt.Println("step again after", action.After)
			}
		}
		now += 80 * time.Millisecond
	}
	// Output:
	// send m1 to 10.0.0.1:80, time-out 10s
	// step again after 1s
}
