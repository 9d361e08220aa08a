package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// life is what the rules need to know of one message.
type life struct {
	class    int
	due      time.Duration
	key      string
	seq      int
	tries    int
	out      string
	ran      bool
	ranAt    time.Duration
	ranZone  int
	over     bool
	unsureAt time.Duration
}

// lawful plays bytes as lawful events, asserts the rules on every action and returns them all. It
// models no server: outcomes come as the bytes say.
func lawful(t *testing.T, data []byte) [][]Action {
	s := settings()
	s.Kinds[0].PerCall = 2
	c, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Host{ready("a", 1, 0, 0), ready("b", 1, 0, 1), ready("c", 2, 2, 0), ready("d", 2, 2, 1)}
	where := map[string]*Host{}
	for i := range hosts {
		where[hosts[i].Addr] = &hosts[i]
	}
	now := time.Hour
	lives, wait, settled := map[string]*life{}, map[string]time.Duration{}, map[string]time.Duration{}
	var ids []string
	var all [][]Action
	play := func(events ...Event) {
		acts := c.Step(now, events)
		all = append(all, acts)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				l, h := lives[a.ID], where[a.Host]
				unit := fmt.Sprint(h.Dest)
				if h.Dest == 2 {
					unit = a.Host
				}
				class := s.Classes[l.class]
				switch {
				case l.over:
					t.Fatalf("sent %s after its end", a.ID)
				case l.out != "":
					t.Fatalf("two attempts of %s out at once", a.ID)
				case l.tries >= s.MaxAttempts:
					t.Fatalf("attempt %d of %s", l.tries+1, a.ID)
				case h.State != Ready:
					t.Fatalf("sent to %s in state %d", a.Host, h.State)
				case now < wait[unit]:
					t.Fatalf("sent to %s within a told wait", a.Host)
				case l.ran && class.Effect == Unsafe:
					t.Fatalf("repeated unsafe %s", a.ID)
				case l.ran && class.Effect == Keyed && (now > l.ranAt+class.Window || h.Zone != l.ranZone):
					t.Fatalf("repeated keyed %s outside its window or zone", a.ID)
				case a.Timeout <= 0 || now+a.Timeout > l.due:
					t.Fatalf("time-out %v of %s with %v left", a.Timeout, a.ID, l.due-now)
				}
				if class.Ordered && l.key != "" {
					if now < settled[l.key] {
						t.Fatalf("key %s sent while it rests", l.key)
					}
					for _, id := range ids {
						if o := lives[id]; o.key == l.key && o.seq < l.seq && (!o.over || o.out != "") {
							t.Fatalf("%s overtook %s", a.ID, id)
						}
					}
				}
				l.tries++
				l.out = a.Host
				if !l.ran {
					l.ranAt, l.ranZone = now, h.Zone
				}
			case Refuse:
				l := lives[a.ID]
				if l.over || l.out != "" || l.ran && s.Classes[l.class].Effect != Safe || now > l.due {
					t.Fatalf("refused %s unlawfully", a.ID)
				}
				l.over = true
			case Fail:
				l := lives[a.ID]
				if l.over || now > l.due+s.Rules.AnswerGrace {
					t.Fatalf("failed %s twice or late", a.ID)
				}
				l.over = true
			}
		}
		for _, id := range ids {
			if l := lives[id]; !l.over && now > l.due+s.Rules.AnswerGrace {
				t.Fatalf("%s was lost", id)
			}
		}
		if out := c.callsInFlight; out > s.Workers {
			t.Fatalf("%d calls out with %d slots", out, s.Workers)
		}
	}
	finish := func(id string, o Outcome, told time.Duration) Event {
		l := lives[id]
		h := where[l.out]
		e := Result{ID: id, Host: l.out, Attempt: l.tries - 1, Outcome: o, Took: 30 * ms, Done: o == Served || l.over}
		switch o {
		case Served:
			l.over = true
		case Refused:
			e.Wait = told
			unit := fmt.Sprint(h.Dest)
			if h.Dest == 2 {
				unit = l.out
			}
			wait[unit] = max(wait[unit], now+told)
		case Timeout, Reset, Cancelled, Error:
			l.ran = true
			if o != Error && l.key != "" {
				l.unsureAt = now
			}
		}
		l.out = ""
		return e
	}
	play(Listing{Whole: true, Hosts: hosts})
	for i := 0; i+1 < len(data); i += 2 {
		op, arg := data[i], int(data[i+1])
		switch op % 5 {
		case 0:
			id := fmt.Sprint("m", len(ids))
			l := &life{class: arg % 4, due: now + time.Duration(1+arg/32)*time.Second, seq: len(ids)}
			if l.class == 3 {
				l.key = fmt.Sprint("k", arg/16%3)
			}
			lives[id] = l
			ids = append(ids, id)
			play(Arrival{ID: id, Class: l.class, Dest: 1 + arg/8%2, Left: l.due - now, Key: l.key})
		case 1:
			for _, id := range ids {
				if lives[id].out != "" {
					o := Outcome(arg % int(Spoilt+1))
					play(finish(id, o, time.Duration(arg/8)*50*ms))
					if l := lives[id]; l.over || o == Timeout || o == Reset || o == Cancelled {
						if l.key != "" && l.over && l.unsureAt > 0 {
							settled[l.key] = max(settled[l.key], l.unsureAt+s.Rules.OrderSettle)
						}
					}
					break
				}
			}
		case 2:
			h := &hosts[arg%4]
			h.State = State(arg / 4 % 3)
			play(Listing{Hosts: []Host{*h}})
			if h.State == Gone {
				h.State = Draining // still named by calls out; nothing new may go there
			}
		default:
			for range 1 + arg/8 {
				now += 5 * ms
				var due []Event
				for _, id := range ids {
					if l := lives[id]; l.out != "" && now >= l.due {
						due = append(due, finish(id, Timeout, 0))
					}
				}
				play(append(due, Woken{})...)
			}
		}
	}
	return all
}

func seeds() [][]byte {
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
	for _, s := range seeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 4000 {
			t.Skip("longer inputs only take longer")
		}
		lawful(t, data)
	})
}

func TestSameEventsSameActions(t *testing.T) {
	for i, s := range seeds() {
		if a, b := lawful(t, s), lawful(t, s); !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d: two runs differ", i)
		}
	}
}
