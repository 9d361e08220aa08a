package choice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"larchrouter/choice"
)

// world simulates destinations and clients: it answers sends with results by the state of its hosts, and
// draws arrivals and faults. The same seed and the same actions give the same events.
type world struct {
	set       choice.Settings
	rand      *rand.Rand
	now       time.Duration
	hosts     []*worldHost
	byAddr    map[string]*worldHost
	messages  map[string]*worldMessage
	scheduled map[time.Duration][]choice.Event
	next      int
	rate      float64 // arrivals a second
	keys      int
	timeLeft  func() time.Duration
}

// worldHost is a host with its latency and its current fault.
type worldHost struct {
	choice.Host
	latency     time.Duration
	refuseShare float64 // share of calls that it refuses
	retryAfter  time.Duration
	failShare   float64 // share of calls with an error
	hangs       bool
	down        bool
	faultUntil  time.Duration // until then it keeps its fault
}

// worldMessage is a message as the relay's clients know it.
type worldMessage struct {
	class, dest int
	deadline    time.Duration
	attempts    int
	host        string
	finished    bool
}

func newWorld(seed uint64, cfg choice.Settings, dests int, rate float64) *world {
	w := &world{set: cfg, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, byAddr: map[string]*worldHost{},
		messages: map[string]*worldMessage{}, scheduled: map[time.Duration][]choice.Event{}, rate: rate, keys: 20}
	for dest := range dests {
		kind := w.rand.IntN(len(cfg.Kinds))
		for i := range 1 + w.rand.IntN(3) {
			host := &worldHost{
				Host: choice.Host{Addr: fmt.Sprintf("h%d-%d", dest, i), Dest: dest, Kind: kind, Zone: w.rand.IntN(2),
					Rate: 20 + float64(w.rand.IntN(100)), State: choice.Ready},
				latency: time.Duration(5+w.rand.IntN(200)) * time.Millisecond,
			}
			w.hosts = append(w.hosts, host)
			w.byAddr[host.Addr] = host
		}
	}
	w.timeLeft = func() time.Duration { return time.Duration(500+w.rand.IntN(9500)) * time.Millisecond }
	return w
}

const tick = 5 * time.Millisecond

func (w *world) listing() choice.Event {
	listing := choice.Listing{Whole: true}
	for _, host := range w.hosts {
		listing.Hosts = append(listing.Hosts, host.Host)
	}
	return listing
}

// tick advances the time by a tick and returns its events.
func (w *world) tick() []choice.Event {
	w.now += tick
	events := w.scheduled[w.now]
	delete(w.scheduled, w.now)
	for expected := w.rate * tick.Seconds(); expected > 0; expected-- {
		if w.rand.Float64() < expected {
			events = append(events, w.arrive(-1, w.rand.IntN(len(w.hosts)*2)))
		}
	}
	id := fmt.Sprint("m", w.next-w.rand.IntN(50))
	if w.messages[id] != nil && !w.messages[id].finished && w.rand.Float64() < 0.01 {
		events = append(events, choice.Withdrawn{ID: id})
		w.finish(id)
	}
	host := w.hosts[w.rand.IntN(len(w.hosts))]
	if w.rand.Float64() < 0.02 && w.now > host.faultUntil {
		host.faultUntil = w.now + time.Duration(w.rand.IntN(8000))*time.Millisecond
		host.refuseShare, host.retryAfter, host.failShare, host.hangs, host.down = 0, 0, 0, false, false
		switch w.rand.IntN(8) {
		case 0:
			host.down = true
		case 1:
			host.hangs = true
		case 2:
			host.refuseShare, host.retryAfter = 1, time.Duration(w.rand.IntN(3000))*time.Millisecond
		case 3:
			host.refuseShare = 0.3
		case 4:
			host.failShare = 0.7
		case 5:
			host.State = choice.Draining
			events = append(events, choice.Listing{Hosts: []choice.Host{host.Host}})
		case 6:
			host.State = choice.Gone
			events = append(events, choice.Listing{Hosts: []choice.Host{host.Host}})
		case 7:
			host.State = choice.Ready
			events = append(events, choice.Listing{Hosts: []choice.Host{host.Host}})
		}
	} else if w.now > host.faultUntil {
		host.refuseShare, host.retryAfter, host.failShare, host.hangs, host.down = 0, 0, 0, false, false
	}
	return events
}

// arrive submits a message; a class below 0 is drawn.
func (w *world) arrive(class, dest int) choice.Event {
	if class < 0 {
		class = w.rand.IntN(len(w.set.Classes))
	}
	dest = w.hosts[dest%len(w.hosts)].Dest
	w.next++
	id := fmt.Sprint("m", w.next)
	msg := &worldMessage{class: class, dest: dest, deadline: w.now + w.timeLeft()}
	w.messages[id] = msg
	arrival := choice.Arrival{ID: id, Class: class, Dest: dest, Left: msg.deadline - w.now}
	if w.set.Classes[class].Ordered {
		arrival.Key = fmt.Sprint("k", w.rand.IntN(w.keys))
	}
	return arrival
}

// restored returns n messages of an earlier process, some of which may have run, and two outages.
func (w *world) restored(count int) (events []choice.Event) {
	for range count {
		arrival := w.arrive(-1, w.rand.IntN(len(w.hosts)*2)).(choice.Arrival)
		restored := choice.Restored{Arrival: arrival, Attempts: w.rand.IntN(3)}
		if restored.Attempts > 0 && w.rand.IntN(2) == 0 {
			restored.Ran = true
			restored.RanAgo = time.Duration(w.rand.IntN(4000)) * time.Millisecond
			restored.RanZone = w.rand.IntN(2)
		}
		w.messages[restored.ID].attempts = restored.Attempts
		events = append(events, restored)
	}
	for _, host := range w.hosts[:2] {
		events = append(events, choice.Unwell{Host: host.Addr, Base: 5})
	}
	return events
}

// carryOut carries out actions.
func (w *world) carryOut(actions []choice.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case choice.Send:
			w.send(action)
		case choice.Refuse:
			w.finish(action.ID)
		case choice.Fail:
			w.finish(action.ID)
		case choice.Cancel:
			if msg := w.messages[action.ID]; msg != nil && msg.host != "" {
				w.schedule(tick, choice.Result{ID: action.ID, Host: msg.host, Attempt: action.Attempt,
					Outcome: choice.Cancelled, Took: time.Second})
			}
		}
	}
}

func (w *world) finish(id string) {
	if msg := w.messages[id]; msg != nil {
		if msg.finished = true; msg.host == "" {
			delete(w.messages, id)
		}
	}
}

func (w *world) schedule(after time.Duration, result choice.Result) {
	at := w.now + max(tick, (after+tick-1)/tick*tick)
	w.scheduled[at] = append(w.scheduled[at], result)
}

func (w *world) send(send choice.Send) {
	msg, host := w.messages[send.ID], w.byAddr[send.Host]
	msg.attempts++
	msg.host = send.Host
	result := choice.Result{ID: send.ID, Host: send.Host, Attempt: msg.attempts - 1, Outcome: choice.Served}
	took := time.Duration(float64(host.latency) * (0.5 + w.rand.Float64()))
	switch draw := w.rand.Float64(); {
	case host.down:
		result.Outcome, took = choice.NoConnection, tick
	case host.hangs:
		result.Outcome, took = choice.Timeout, send.Timeout
	case draw < host.refuseShare:
		result.Outcome, result.Wait, took = choice.Refused, host.retryAfter, tick
	case draw < host.refuseShare+host.failShare:
		result.Outcome = choice.Error
	case draw > 0.995:
		result.Outcome = []choice.Outcome{choice.Reset, choice.Spoilt, choice.NotSent}[w.rand.IntN(3)]
	}
	if took >= send.Timeout {
		result.Outcome, took = choice.Timeout, send.Timeout
	}
	result.Took = took
	result.Done = result.Outcome == choice.Served
	w.schedule(took, result)
}

// applyResults ends the attempts whose results are about to be passed on, and drops results of attempts that
// have ended.
func (w *world) applyResults(events []choice.Event) []choice.Event {
	return slices.DeleteFunc(events, func(e choice.Event) bool {
		result, isResult := e.(choice.Result)
		if !isResult {
			return false
		}
		msg := w.messages[result.ID]
		if msg == nil || msg.host == "" || result.Attempt != msg.attempts-1 {
			return true
		}
		if msg.host = ""; result.Done || msg.finished {
			delete(w.messages, result.ID)
		}
		return false
	})
}

// describe returns actions as text: sends in their order, others sorted, since their order depends on that in
// which destinations are evaluated. Wakes are left out.
func describe(actions []choice.Action) string {
	var sends, others []string
	for _, action := range actions {
		switch r := action.(type) { // the reference gives no reasons
		case choice.Refuse:
			r.Why = 0
			action = r
		case choice.Fail:
			r.Why = 0
			action = r
		}
		switch action := action.(type) {
		case choice.Wake:
		case choice.Send:
			sends = append(sends, fmt.Sprintf("%+v", action))
		default:
			others = append(others, fmt.Sprintf("%T%+v", action, action))
		}
	}
	sort.Strings(others)
	return strings.Join(append(sends, others...), "\n")
}
