package choice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/choice"
)

// 20,000 messages are queued for 40 destinations in an outage, which all end at once. None is sent more than
// its slow-start budget in any window, and messages that expire are answered in the order of their deadlines.
func TestAllDestinationsRecoverAtOnce(t *testing.T) {
	cfg := worldSettings()
	cfg.Fleet, cfg.Workers, cfg.Listed, cfg.Cancels = 1, 64, true, true
	const partners, each = 40, 500
	var hosts []choice.Host
	for dest := range partners {
		hosts = append(hosts, listedHost(dest))
	}
	driver := newDriver(t, cfg, hosts...)
	random := rand.New(rand.NewPCG(1, 2))
	deadlines := map[string]time.Duration{}
	var events []choice.Event
	for range each {
		for dest := range partners {
			arrival := driver.arrival(random.IntN(3), dest, time.Duration(3000+random.IntN(7000))*time.Millisecond)
			deadlines[arrival.ID] = driver.now + arrival.Left
			events = append(events, arrival)
		}
	}
	pending := map[time.Duration][]choice.Event{}
	recoveredAt := driver.now + 2500*time.Millisecond
	sent := map[string][]time.Duration{}
	served, expired, last := 0, 0, time.Duration(0)
	for end := driver.now + 12*time.Second; driver.now < end; driver.now += tick {
		for _, action := range driver.step(events...) {
			switch action := action.(type) {
			case choice.Send:
				result, took := choice.Result{ID: action.ID, Host: action.Host, Outcome: choice.NoConnection, Took: tick}, tick
				if driver.now >= recoveredAt {
					sent[action.Host] = append(sent[action.Host], driver.now)
					result.Outcome, result.Done, took = choice.Served, true, 30*time.Millisecond
					served++
				}
				result.Took = took
				pending[driver.now+took] = append(pending[driver.now+took], result)
			case choice.Refuse, choice.Fail:
				id := answeredID(action)
				if driver.now > deadlines[id] {
					t.Fatalf("%s was answered %v late", id, driver.now-deadlines[id])
				}
				if deadlines[id]-driver.now > 6*tick { // its attempts are used up
					continue
				}
				if expired++; deadlines[id] < last {
					t.Fatalf("%s, due at %v, was answered after one due at %v", id, deadlines[id], last)
				}
				last = deadlines[id]
			}
		}
		events = pending[driver.now+tick]
		delete(pending, driver.now+tick)
	}
	checkSlowStart(t, cfg.Rules, recoveredAt, 100, sent)
	if len(sent) != partners || served < 2000 || expired < 1000 {
		t.Errorf("%d destinations were sent %d messages after the outage, and %d expired; want all %d and thousands",
			len(sent), served, expired, partners)
	}
}

// checkSlowStart checks that no host was sent more calls in a window than the slow-start budget allows; rate is its
// capacity, sent has the times of its calls.
func checkSlowStart(t *testing.T, rules choice.Rules, recoveredAt time.Duration, rate float64,
	sent map[string][]time.Duration) {
	t.Helper()
	for host, times := range sent {
		first := 0
		for i, at := range times {
			for at-times[first] > rules.Fall {
				first++
			}
			cold := min(1, rules.ColdFrom+(1-rules.ColdFrom)*(at-recoveredAt).Seconds()/rules.Cold.Seconds())
			if budget := rules.OverloadFactor * cold * rate * rules.Fall.Seconds(); float64(i-first+1) > budget {
				t.Fatalf("%s, %v after its outage, was sent %d calls within %v: over the budget of %.0f",
					host, at-recoveredAt, i-first+1, rules.Fall, budget)
			}
		}
	}
}

// All pending messages expire in the same millisecond: they are answered before it in the order of arrival,
// in batches that keep Steps short, and not earlier than these batches need.
func TestAllMessagesExpireAtOnce(t *testing.T) {
	cfg := worldSettings()
	driver := newDriver(t, cfg)
	const n = 10_000
	driver.step(driver.arrivals(n, 0, 1, 5*time.Second)...)
	deadline := driver.now + 5*time.Second
	answered, first := 0, time.Duration(0)
	for answered < n {
		wake := driver.nextWake()
		if wake <= 0 {
			t.Fatalf("%d of %d answered, and no wake-up is requested", answered, n)
		}
		driver.now += wake
		if driver.now > deadline {
			t.Fatalf("%d of %d answered at their deadline", answered, n)
		}
		refused, _ := finalAnswers(driver.step())
		for i, id := range refused {
			if want := fmt.Sprint("m", answered+i+1); id != want {
				t.Fatalf("%s is answered before %s", id, want)
			}
		}
		if len(refused) > 128 {
			t.Fatalf("one Step answers %d messages", len(refused))
		}
		if answered += len(refused); len(refused) > 0 && first == 0 {
			first = driver.now
		}
	}
	if early := deadline - first; early > n/128*12*time.Millisecond {
		t.Errorf("the first is answered %v before its deadline", early)
	}
}

// A destination is flooded with messages of one class, far above its capacity, while payments for others
// arrive at their usual rate: these are all served, and the flood is rejected on arrival with a retry-after.
func TestFloodDoesNotStarveOtherDestinations(t *testing.T) {
	cfg := worldSettings()
	cfg.Fleet, cfg.MaxHeld, cfg.Workers = 1, 500, 16
	for _, flood := range []struct {
		name  string
		class int
	}{{"of cheap messages", 0}, {"of payments", 2}} {
		t.Run(flood.name, func(t *testing.T) {
			hosts := []choice.Host{listedHost(0)}
			for dest := 1; dest <= 4; dest++ {
				hosts = append(hosts, listedHost(dest))
			}
			driver := newDriver(t, cfg, hosts...)
			flooded, rejected, shed := map[string]time.Duration{}, 0, 0 // when each came
			others := map[string]bool{}                                 // payments for others, true once served
			pending := map[time.Duration][]choice.Event{}
			var events []choice.Event
			for step := range 6000 { // 30 s
				if step < 5600 { // time for the last ones to complete
					for range 5 { // 1,000 a second for a destination that takes 25
						arrival := driver.arrival(flood.class, 0, 8*time.Second)
						flooded[arrival.ID] = driver.now
						events = append(events, arrival)
					}
					if step%20 == 0 { // 10 a second
						arrival := driver.arrival(2, 1+step/20%4, 8*time.Second)
						others[arrival.ID] = false
						events = append(events, arrival)
					}
				}
				for _, action := range driver.step(events...) {
					switch action := action.(type) {
					case choice.Send:
						took := 40 * time.Millisecond
						if flooded[action.ID] > 0 {
							took = 400 * time.Millisecond
						} else {
							others[action.ID] = true
						}
						result := choice.Result{ID: action.ID, Host: action.Host, Outcome: choice.Served, Took: took, Done: true}
						pending[driver.now+took] = append(pending[driver.now+took], result)
					case choice.Refuse:
						switch came := flooded[action.ID]; {
						case came > 0 && came < driver.now:
							shed++
						case came > 0 && action.After > 0:
							rejected++
						}
					}
				}
				driver.now += tick
				events = pending[driver.now]
				delete(pending, driver.now)
			}
			served := 0
			for _, ok := range others {
				if ok {
					served++
				}
			}
			if 100*served < 99*len(others) || rejected < 20_000 || shed > rejected/20 {
				t.Errorf("%d of %d payments for others were sent; of the flood %d were rejected on arrival with a"+
					" retry-after, and %d were shed; want 99%%, most and few", served, len(others), rejected, shed)
			}
		})
	}
}

// The capacity is taken by messages that may have run and must not be shed: a new one is rejected at once,
// and all pending ones stay.
func TestOverloadWithoutSheddableMessages(t *testing.T) {
	cfg := worldSettings()
	cfg.MaxHeld, cfg.Workers = 100, 100
	cfg.Classes[1].Window = 9 * time.Second
	var hosts []choice.Host
	for dest := range 10 {
		hosts = append(hosts, listedHost(dest))
	}
	driver := newDriver(t, cfg, hosts...)
	var events []choice.Event
	pending := map[string]bool{}
	for dest := range 10 {
		for range 10 {
			restored := choice.Restored{Arrival: driver.arrival(1, dest, 9*time.Second), Attempts: 1,
				Ran: true, RanZone: 1} // a zone without a host
			pending[restored.ID] = true
			events = append(events, restored)
		}
	}
	driver.step(events...)
	for class := range 4 {
		arrival := driver.arrival(class, 3, 5*time.Second)
		refused, failed := finalAnswers(driver.step(arrival))
		if fmt.Sprint(refused, failed) != fmt.Sprint([]string{arrival.ID}, []string(nil)) {
			t.Errorf("class %d: refused %v and failed %v, want only the new one refused", class, refused, failed)
		}
	}
	refused, failed := finalAnswers(driver.advance(9 * time.Second))
	if len(failed)+len(refused) != len(pending) {
		t.Errorf("%d of %d pending messages were answered at their deadline", len(failed)+len(refused), len(pending))
	}
}

// With a clock that stops, jumps or runs backwards no message is answered twice and none is lost.
func TestClockJumps(t *testing.T) {
	cfg := worldSettings()
	cfg.MaxHeld = 200
	driver := newDriver(t, cfg, listedHost(1), listedHost(2))
	random := rand.New(rand.NewPCG(3, 4))
	unanswered := map[string]bool{}
	var events []choice.Event
	for range 3000 {
		if random.IntN(2) == 0 {
			arrival := driver.arrival(random.IntN(4), 1+random.IntN(2),
				time.Duration(1+random.IntN(9000))*time.Millisecond)
			unanswered[arrival.ID] = true
			events = append(events, arrival)
		}
		actions := driver.step(events...)
		events = nil
		for _, action := range actions {
			if send, ok := action.(choice.Send); ok {
				if !unanswered[send.ID] {
					t.Fatalf("%s was sent after its end", send.ID)
				}
				outcome := choice.Outcome(random.IntN(int(choice.Spoilt) + 1))
				if outcome == choice.Served {
					delete(unanswered, send.ID)
				}
				events = append(events, choice.Result{ID: send.ID, Host: send.Host, Outcome: outcome, Took: tick,
					Done: outcome == choice.Served})
			} else if id := answeredID(action); id != "" {
				if !unanswered[id] {
					t.Fatalf("%s was answered twice", id)
				}
				delete(unanswered, id)
			}
		}
		switch random.IntN(6) {
		case 0: // the clock stops
		case 1:
			driver.now += time.Duration(random.IntN(5000)) * time.Millisecond
		case 2:
			driver.now -= time.Duration(random.IntN(50)) * time.Millisecond
		default:
			driver.now += tick
		}
	}
	driver.now += 24 * time.Hour
	for _, id := range append(answeredIDs(driver.step(events...)), answeredIDs(driver.step())...) {
		delete(unanswered, id)
	}
	if len(unanswered) > 0 {
		t.Errorf("%d messages were never answered", len(unanswered))
	}
}

// A destination loses its last host with thousands of messages queued: they stay queued, are sent to the next
// host that is listed, and are answered in time if there is none. One withdrawn in the Step in which it could
// be sent is not sent.
func TestLastHostLeavesWithBacklog(t *testing.T) {
	cfg := worldSettings()
	cfg.Fleet = 1
	host := listedHost(1)
	driver := newDriver(t, cfg, host)
	driver.step(driver.arrivals(5000, 0, 1, 9*time.Second)...)
	host.State = choice.Gone
	var results []choice.Event
	for _, action := range driver.actions {
		if send, ok := action.(choice.Send); ok {
			results = append(results, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.Reset, Took: tick})
		}
	}
	driver.now += tick
	if actions := driver.step(append(results, choice.Listing{Hosts: []choice.Host{host}})...); len(sendsOf(actions)) > 0 {
		t.Fatalf("sent to a host that left: %v", sendsOf(actions)[0])
	}
	driver.now += time.Second
	next := listedHost(1)
	next.Addr = "next"
	actions := driver.step(choice.Withdrawn{ID: "m4000"}, choice.Listing{Hosts: []choice.Host{next}})
	if len(sendsOf(actions)) == 0 {
		t.Fatal("nothing was sent to the new host")
	}
	for _, send := range sendsOf(actions) {
		if send.Host != "next" || send.ID == "m4000" {
			t.Errorf("sent %+v", send)
		}
	}
	if answered := len(answeredIDs(driver.advance(7990 * time.Millisecond))); answered < 4900 {
		t.Errorf("%d messages were answered in time, want all that are not in flight", answered)
	}
}
