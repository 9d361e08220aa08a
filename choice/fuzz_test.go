package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// life is what the rules need to know of one message.
type trackedMessage struct {
	class          int
	deadline       time.Duration
	key            string
	sequence       int
	attempts       int
	host           string
	mayHaveRun     bool
	mayHaveRunAt   time.Duration
	mayHaveRunZone int
	finished       bool
	uncertainAt    time.Duration
}

// lawful plays bytes as lawful events, asserts the rules on every action and returns them all. It
// models no server: outcomes come as the bytes say.
func playEvents(t *testing.T, data []byte) [][]Action {
	cfg := settings()
	cfg.Kinds[0].PerCall = 2
	chooser, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Host{readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 1), readyHost("c", 2, 2, 0), readyHost("d", 2, 2, 1)}
	where := map[string]*Host{}
	for i := range hosts {
		where[hosts[i].Addr] = &hosts[i]
	}
	now := time.Hour
	lives, wait, settled := map[string]*trackedMessage{}, map[string]time.Duration{}, map[string]time.Duration{}
	var ids []string
	var all [][]Action
	play := func(events ...Event) {
		acts := chooser.Step(now, events)
		all = append(all, acts)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				msg, host := lives[a.ID], where[a.Host]
				unit := fmt.Sprint(host.Dest)
				if host.Dest == 2 {
					unit = a.Host
				}
				class := cfg.Classes[msg.class]
				switch {
				case msg.finished:
					t.Fatalf("sent %s after its end", a.ID)
				case msg.host != "":
					t.Fatalf("two attempts of %s out at once", a.ID)
				case msg.attempts >= cfg.MaxAttempts:
					t.Fatalf("attempt %d of %s", msg.attempts+1, a.ID)
				case host.State != Ready:
					t.Fatalf("sent to %s in state %d", a.Host, host.State)
				case now < wait[unit]:
					t.Fatalf("sent to %s within a told wait", a.Host)
				case msg.mayHaveRun && class.Effect == Unsafe:
					t.Fatalf("repeated unsafe %s", a.ID)
				case msg.mayHaveRun && class.Effect == Keyed && (now > msg.mayHaveRunAt+class.Window || host.Zone != msg.mayHaveRunZone):
					t.Fatalf("repeated keyed %s outside its window or zone", a.ID)
				case a.Timeout <= 0 || now+a.Timeout > msg.deadline:
					t.Fatalf("time-out %v of %s with %v left", a.Timeout, a.ID, msg.deadline-now)
				}
				if class.Ordered && msg.key != "" {
					if now < settled[msg.key] {
						t.Fatalf("key %s sent while it rests", msg.key)
					}
					for _, id := range ids {
						if other := lives[id]; other.key == msg.key && other.sequence < msg.sequence && (!other.finished || other.host != "") {
							t.Fatalf("%s overtook %s", a.ID, id)
						}
					}
				}
				msg.attempts++
				msg.host = a.Host
				if !msg.mayHaveRun {
					msg.mayHaveRunAt, msg.mayHaveRunZone = now, host.Zone
				}
			case Refuse:
				msg := lives[a.ID]
				if msg.finished || msg.host != "" || msg.mayHaveRun && cfg.Classes[msg.class].Effect != Safe || now > msg.deadline {
					t.Fatalf("refused %s unlawfully", a.ID)
				}
				msg.finished = true
			case Fail:
				msg := lives[a.ID]
				if msg.finished || now > msg.deadline+cfg.Rules.AnswerGrace {
					t.Fatalf("failed %s twice or late", a.ID)
				}
				msg.finished = true
			}
		}
		for _, id := range ids {
			if msg := lives[id]; !msg.finished && now > msg.deadline+cfg.Rules.AnswerGrace {
				t.Fatalf("%s was lost", id)
			}
		}
		if out := chooser.callsInFlight; out > cfg.Workers {
			t.Fatalf("%d calls out with %d slots", out, cfg.Workers)
		}
	}
	finish := func(id string, o Outcome, told time.Duration) Event {
		msg := lives[id]
		host := where[msg.host]
		result := Result{ID: id, Host: msg.host, Attempt: msg.attempts - 1, Outcome: o, Took: 30 * ms, Done: o == Served || msg.finished}
		switch o {
		case Served:
			msg.finished = true
		case Refused:
			result.Wait = told
			unit := fmt.Sprint(host.Dest)
			if host.Dest == 2 {
				unit = msg.host
			}
			wait[unit] = max(wait[unit], now+told)
		case Timeout, Reset, Cancelled, Error:
			msg.mayHaveRun = true
			if o != Error && msg.key != "" {
				msg.uncertainAt = now
			}
		}
		msg.host = ""
		return result
	}
	play(Listing{Whole: true, Hosts: hosts})
	for i := 0; i+1 < len(data); i += 2 {
		operation, arg := data[i], int(data[i+1])
		switch operation % 5 {
		case 0:
			id := fmt.Sprint("m", len(ids))
			msg := &trackedMessage{class: arg % 4, deadline: now + time.Duration(1+arg/32)*time.Second, sequence: len(ids)}
			if msg.class == 3 {
				msg.key = fmt.Sprint("k", arg/16%3)
			}
			lives[id] = msg
			ids = append(ids, id)
			play(Arrival{ID: id, Class: msg.class, Dest: 1 + arg/8%2, Left: msg.deadline - now, Key: msg.key})
		case 1:
			for _, id := range ids {
				if lives[id].host != "" {
					o := Outcome(arg % int(Spoilt+1))
					play(finish(id, o, time.Duration(arg/8)*50*ms))
					if msg := lives[id]; msg.finished || o == Timeout || o == Reset || o == Cancelled {
						if msg.key != "" && msg.finished && msg.uncertainAt > 0 {
							settled[msg.key] = max(settled[msg.key], msg.uncertainAt+cfg.Rules.OrderSettle)
						}
					}
					break
				}
			}
		case 2:
			host := &hosts[arg%4]
			host.State = State(arg / 4 % 3)
			play(Listing{Hosts: []Host{*host}})
			if host.State == Gone {
				host.State = Draining // still named by calls out; nothing new may go there
			}
		default:
			for range 1 + arg/8 {
				now += 5 * ms
				var due []Event
				for _, id := range ids {
					if msg := lives[id]; msg.host != "" && now >= msg.deadline {
						due = append(due, finish(id, Timeout, 0))
					}
				}
				play(append(due, Woken{})...)
			}
		}
	}
	return all
}

func seedInputs() [][]byte {
	var out [][]byte
	for k := range 12 {
		x := uint32(k*2654435761 + 12345)
		data := make([]byte, 1200)
		for i := range data {
			x = x*1664525 + 1013904223
			data[i] = byte(x >> 24)
		}
		out = append(out, data)
	}
	return out
}

func FuzzRules(f *testing.F) {
	for _, s := range seedInputs() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4000 {
			t.Skip("longer inputs only take longer")
		}
		playEvents(t, data)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	for i, s := range seedInputs() {
		if a, b := playEvents(t, s), playEvents(t, s); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two runs differ", i)
		}
	}
}
