package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// trackedMessage is what the operating rules need to know of a message.
type trackedMessage struct {
	class          int
	deadline       time.Duration
	key            string
	sequence       int // order of arrival
	attempts       int
	host           string // of the attempt in flight; empty for none
	mayHaveRun     bool
	mayHaveRunAt   time.Duration
	mayHaveRunZone int
	finished       bool
	uncertainAt    time.Duration // last attempt with an unknown outcome
}

// eventPlayer feeds a Chooser with valid events and checks the operating rules on every action. It models no
// server: outcomes are given.
type eventPlayer struct {
	t          *testing.T
	cfg        Settings
	chooser    *Chooser
	now        time.Duration
	hosts      []Host
	byAddr     map[string]*Host
	messages   map[string]*trackedMessage
	ids        []string                 // of messages, in the order of arrival
	retryAfter map[string]time.Duration // by unit
	settledAt  map[string]time.Duration // by ordering key
	steps      [][]Action
}

// playEvents decodes bytes as valid events, plays them and returns the actions of all steps.
func playEvents(t *testing.T, data []byte) [][]Action {
	t.Helper()
	cfg := settings()
	cfg.Kinds[0].PerCall = 2
	chooser, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	p := &eventPlayer{t: t, cfg: cfg, chooser: chooser, now: time.Hour,
		hosts: []Host{readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 1),
			readyHost("c", 2, 2, 0), readyHost("d", 2, 2, 1)},
		byAddr: map[string]*Host{}, messages: map[string]*trackedMessage{},
		retryAfter: map[string]time.Duration{}, settledAt: map[string]time.Duration{}}
	for i := range p.hosts {
		p.byAddr[p.hosts[i].Addr] = &p.hosts[i]
	}
	p.play(Listing{Whole: true, Hosts: p.hosts})
	for i := 0; i+1 < len(data); i += 2 {
		operation, arg := data[i], int(data[i+1])
		switch operation % 5 {
		case 0:
			p.arrive(arg)
		case 1:
			p.endAttempt(arg)
		case 2:
			p.updateHost(arg)
		default:
			p.advance(arg)
		}
	}
	return p.steps
}

// play makes a step and checks its actions, and that no message was lost.
func (p *eventPlayer) play(events ...Event) {
	p.t.Helper()
	actions := p.chooser.Step(p.now, events)
	p.steps = append(p.steps, actions)
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			p.applySend(action)
		case Refuse:
			msg := p.messages[action.ID]
			mustFail := msg.mayHaveRun && p.cfg.Classes[msg.class].Effect != Safe
			if msg.finished || msg.host != "" || mustFail || p.now > msg.deadline {
				p.t.Fatalf("refused %s against the rules", action.ID)
			}
			msg.finished = true
		case Fail:
			msg := p.messages[action.ID]
			if msg.finished || p.now > msg.deadline+p.cfg.Rules.AnswerGrace {
				p.t.Fatalf("failed %s twice or late", action.ID)
			}
			msg.finished = true
		}
	}
	for _, id := range p.ids {
		if msg := p.messages[id]; !msg.finished && p.now > msg.deadline+p.cfg.Rules.AnswerGrace {
			p.t.Fatalf("%s was lost", id)
		}
	}
	if calls := p.chooser.callsInFlight; calls > p.cfg.Workers {
		p.t.Fatalf("%d calls in flight with %d slots", calls, p.cfg.Workers)
	}
}

// applySend checks a Send by the operating rules and records its attempt.
func (p *eventPlayer) applySend(send Send) {
	p.t.Helper()
	msg, host := p.messages[send.ID], p.byAddr[send.Host]
	class := p.cfg.Classes[msg.class]
	outsideWindow := p.now > msg.mayHaveRunAt+class.Window || host.Zone != msg.mayHaveRunZone
	switch {
	case msg.finished:
		p.t.Fatalf("sent %s after its end", send.ID)
	case msg.host != "":
		p.t.Fatalf("two attempts of %s in flight", send.ID)
	case msg.attempts >= p.cfg.MaxAttempts:
		p.t.Fatalf("attempt %d of %s", msg.attempts+1, send.ID)
	case host.State != Ready:
		p.t.Fatalf("sent to %s in state %d", send.Host, host.State)
	case p.now < p.retryAfter[unitOf(host)]:
		p.t.Fatalf("sent to %s within a retry-after", send.Host)
	case msg.mayHaveRun && class.Effect == Unsafe:
		p.t.Fatalf("retried unsafe %s", send.ID)
	case msg.mayHaveRun && class.Effect == Keyed && outsideWindow:
		p.t.Fatalf("retried keyed %s outside its window or zone", send.ID)
	case send.Timeout <= 0 || p.now+send.Timeout > msg.deadline:
		p.t.Fatalf("time-out %v of %s with %v left", send.Timeout, send.ID, msg.deadline-p.now)
	}
	if class.Ordered && msg.key != "" {
		p.checkKeyOrder(send.ID, msg)
	}
	msg.attempts++
	msg.host = send.Host
	if !msg.mayHaveRun {
		msg.mayHaveRunAt, msg.mayHaveRunZone = p.now, host.Zone
	}
}

// checkKeyOrder checks that the key of a message has settled and that no earlier message of it is pending.
func (p *eventPlayer) checkKeyOrder(id string, msg *trackedMessage) {
	p.t.Helper()
	if p.now < p.settledAt[msg.key] {
		p.t.Fatalf("key %s sent before it settled", msg.key)
	}
	for _, otherID := range p.ids {
		other := p.messages[otherID]
		pending := !other.finished || other.host != ""
		if other.key == msg.key && other.sequence < msg.sequence && pending {
			p.t.Fatalf("%s overtook %s", id, otherID)
		}
	}
}

// unitOf names the scope of a host's retry-after: hosts of destination 2 are separate routes.
func unitOf(host *Host) string {
	if host.Dest == 2 {
		return host.Addr
	}
	return fmt.Sprint(host.Dest)
}

// result ends the attempt in flight of a message and returns its Result.
func (p *eventPlayer) result(id string, outcome Outcome, wait time.Duration) Event {
	msg := p.messages[id]
	result := Result{ID: id, Host: msg.host, Attempt: msg.attempts - 1, Outcome: outcome, Took: 30 * ms,
		Done: outcome == Served || msg.finished}
	switch outcome {
	case Served:
		msg.finished = true
	case Refused:
		result.Wait = wait
		unit := unitOf(p.byAddr[msg.host])
		p.retryAfter[unit] = max(p.retryAfter[unit], p.now+wait)
	case Timeout, Reset, Cancelled, Error:
		msg.mayHaveRun = true
		if outcome != Error && msg.key != "" {
			msg.uncertainAt = p.now
		}
	}
	msg.host = ""
	return result
}

func (p *eventPlayer) arrive(arg int) {
	p.t.Helper()
	id := fmt.Sprint("m", len(p.ids))
	msg := &trackedMessage{class: arg % 4, deadline: p.now + time.Duration(1+arg/32)*time.Second,
		sequence: len(p.ids)}
	if msg.class == 3 {
		msg.key = fmt.Sprint("k", arg/16%3)
	}
	p.messages[id] = msg
	p.ids = append(p.ids, id)
	p.play(Arrival{ID: id, Class: msg.class, Dest: 1 + arg/8%2, Left: msg.deadline - p.now, Key: msg.key})
}

// endAttempt ends the attempt in flight of the oldest message that has one.
func (p *eventPlayer) endAttempt(arg int) {
	p.t.Helper()
	for _, id := range p.ids {
		msg := p.messages[id]
		if msg.host == "" {
			continue
		}
		outcome := Outcome(arg % int(Spoilt+1))
		p.play(p.result(id, outcome, time.Duration(arg/8)*50*ms))
		if msg.key != "" && msg.finished && msg.uncertainAt > 0 {
			p.settledAt[msg.key] = max(p.settledAt[msg.key], msg.uncertainAt+p.cfg.Rules.OrderSettle)
		}
		return
	}
}

func (p *eventPlayer) updateHost(arg int) {
	p.t.Helper()
	host := &p.hosts[arg%4]
	host.State = State(arg / 4 % 3)
	p.play(Listing{Hosts: []Host{*host}})
	if host.State == Gone {
		host.State = Draining // still the host of calls in flight; nothing new may be sent there
	}
}

// advance lets time pass, with a time-out for attempts at the deadline of their message.
func (p *eventPlayer) advance(arg int) {
	p.t.Helper()
	for range 1 + arg/8 {
		p.now += 5 * ms
		var events []Event
		for _, id := range p.ids {
			if msg := p.messages[id]; msg.host != "" && p.now >= msg.deadline {
				events = append(events, p.result(id, Timeout, 0))
			}
		}
		p.play(append(events, Woken{})...)
	}
}

// seedInputs returns pseudo-random inputs, always the same.
func seedInputs() [][]byte {
	var out [][]byte
	for seed := range 12 {
		state := uint32(seed*2654435761 + 12345)
		data := make([]byte, 1200)
		for i := range data {
			state = state*1664525 + 1013904223
			data[i] = byte(state >> 24)
		}
		out = append(out, data)
	}
	return out
}

// FuzzRules checks the operating rules under arbitrary sequences of events.
func FuzzRules(f *testing.F) {
	for _, input := range seedInputs() {
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4000 {
			t.Skip("longer inputs only take longer")
		}
		playEvents(t, data)
	})
}

// The same events give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	for i, input := range seedInputs() {
		if first, second := playEvents(t, input), playEvents(t, input); !reflect.DeepEqual(first, second) {
			t.Errorf("seed %d: two runs differ", i)
		}
	}
}
