package choice_test

import (
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
)

// One row for each reason why a message is queued.
func TestWaitsExplainsQueuedMessages(t *testing.T) {
	const s = time.Second
	result := func(a choice.Send, o choice.Outcome, wait time.Duration) choice.Event {
		return choice.Result{ID: a.ID, Host: a.Host, Outcome: o, Took: tick, Wait: wait}
	}
	for _, tc := range []struct {
		name  string
		class int
		until func(t *testing.T, driver *driver) // sets up the state before the message arrives
		why   string
		host  string
		again [2]time.Duration // from and to; 0, 0 for none
	}{
		{"nobody is listed", 0, func(t *testing.T, driver *driver) {}, "no endpoint", "", [2]time.Duration{}},
		{"told to wait", 0, func(t *testing.T, driver *driver) {
			driver.step(choice.Listing{Hosts: []choice.Host{listedHost(0)}})
			a := sendsOf(driver.step(driver.arrival(0, 0, 8*s)))[0]
			driver.step(result(a, choice.Refused, 3*s))
		}, "told to wait", "h0", [2]time.Duration{3 * s, 3 * s}},
		{"all slots taken", 0, func(t *testing.T, driver *driver) {
			driver.step(choice.Listing{Hosts: []choice.Host{listedHost(0), listedHost(1), listedHost(2), listedHost(3)}})
			driver.step(append(driver.arrivals(9, 0, 1, 8*s),
				append(driver.arrivals(9, 0, 2, 8*s), driver.arrivals(9, 0, 3, 8*s)...)...)...)
		}, "slots are taken", "", [2]time.Duration{}},
		{"an outage", 0, func(t *testing.T, driver *driver) {
			driver.step(choice.Listing{Hosts: []choice.Host{listedHost(0)}})
			for range 6 {
				for _, a := range sendsOf(driver.step(driver.arrival(0, 0, 8*s))) {
					driver.step(result(a, choice.NoConnection, 0))
				}
			}
		}, "down (", "h0", [2]time.Duration{1, 20 * s}},
		{"an earlier message of its key", 3, func(t *testing.T, driver *driver) {
			driver.step(choice.Listing{Hosts: []choice.Host{listedHost(0)}})
			arrival := driver.arrival(3, 0, 8*s)
			arrival.Key = "k"
			driver.step(arrival)
		}, "an earlier message of its key", "", [2]time.Duration{}},
		{"bound to a zone", 1, func(t *testing.T, driver *driver) {
			driver.step(choice.Listing{Hosts: []choice.Host{listedHost(0)}})
		}, "no endpoint in that zone", "", [2]time.Duration{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			driver := newDriver(t, worldSettings())
			tc.until(t, driver)
			asked := choice.Arrival{ID: "asked", Class: tc.class, Dest: 0, Left: 8 * s, Key: "k"}
			if tc.name == "bound to a zone" {
				driver.step(choice.Restored{Arrival: asked, Attempts: 1, Ran: true, RanZone: 5})
			} else {
				driver.step(asked)
			}
			view, ok := driver.c.Waits("asked")
			inTime := view.Again >= tc.again[0] && view.Again <= tc.again[1]
			if !ok || !strings.Contains(view.Why, tc.why) || view.Host != tc.host || !inTime || view.Ahead < 1 {
				t.Fatalf("%+v, %v; want %q at %q, again in %v to %v", view, ok, tc.why, tc.host, tc.again[0], tc.again[1])
			}
			if _, ok := driver.c.Waits("nobody"); ok {
				t.Error("an unknown message is queued")
			}
			if view.Again == 0 || tc.name == "an outage" {
				return
			}
			// Nothing is sent before the time, and the Chooser requests a wake-up for it.
			for _, action := range driver.advance(view.Again + 20*tick) {
				if a, ok := action.(choice.Send); ok && a.Host == tc.host {
					return
				}
			}
			t.Errorf("nothing was sent at the time that was given")
		})
	}
}

// One row for each reason of a final answer.
func TestFinalAnswersHaveReasons(t *testing.T) {
	const s = time.Second
	whyOf := func(actions []choice.Action, id string) choice.Reason {
		for _, action := range actions {
			switch action := action.(type) {
			case choice.Refuse:
				if action.ID == id {
					return action.Why
				}
			case choice.Fail:
				if action.ID == id {
					return action.Why
				}
			}
		}
		return choice.NoReason
	}
	cfg := worldSettings()
	restored := func(driver *driver, class, attempts int, ran bool, ago time.Duration) choice.Event {
		return choice.Restored{Arrival: driver.arrival(class, 0, 8*s), Attempts: attempts, Ran: ran, RanAgo: ago}
	}
	for _, tc := range []struct {
		name string
		ends func(driver *driver) []choice.Action // of m1
		want choice.Reason
	}{
		{"time", func(driver *driver) []choice.Action {
			driver.step(driver.arrival(0, 0, s))
			return driver.advance(2 * s)
		}, choice.TimeUp},
		{"attempts", func(driver *driver) []choice.Action {
			return driver.step(restored(driver, 0, 4, false, 0))
		}, choice.Used},
		{"an unsafe one that may have run", func(driver *driver) []choice.Action {
			return driver.step(restored(driver, 2, 1, true, s))
		}, choice.MayHaveRun},
		{"a key forgotten", func(driver *driver) []choice.Action {
			return driver.step(restored(driver, 1, 1, true, 4*s))
		}, choice.WindowOver},
		{"a key forgotten while it waits", func(driver *driver) []choice.Action {
			driver.step(restored(driver, 1, 1, true, s))
			return driver.advance(4 * s)
		}, choice.WindowOver},
		{"a share filled", func(driver *driver) []choice.Action {
			return driver.step(driver.arrivals(300, 0, 0, 8*s)...)
		}, choice.Share},
		{"a crowded room", func(driver *driver) []choice.Action {
			var actions []choice.Action
			for dest := range 30 {
				actions = append(actions, driver.step(driver.arrivals(8, 2, dest, 8*s)...)...)
			}
			return append(actions, driver.step(choice.Arrival{ID: "cheap", Class: 0, Dest: 99, Left: 8 * s})...)
		}, choice.Crowded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := cfg
			cfg.MaxHeld = 200
			driver := newDriver(t, cfg)
			actions := tc.ends(driver)
			id := "m1"
			switch tc.want {
			case choice.Share:
				id = "m300"
			case choice.Crowded:
				id = "cheap"
			}
			if got := whyOf(actions, id); got != tc.want {
				t.Errorf("%s ended for %q, want %q", id, got, tc.want)
			}
		})
	}
}
