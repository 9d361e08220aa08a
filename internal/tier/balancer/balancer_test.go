package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/internal/tier/discovery"
)

var began = time.Unix(1000, 0)

// entry reads a host of a list: "name zone capacity", with "draining" and a cold time in ms where wanted. The service is
// what stands before the dash of the name.
func entry(text string) discovery.Host {
	f := strings.Fields(text)
	service, _, _ := strings.Cut(f[0], "-")
	h := discovery.Host{ID: f[0], Service: service, Zone: f[1], Phase: discovery.Ready}
	h.Capacity, _ = strconv.Atoi(f[2])
	for _, more := range f[3:] {
		if more == "draining" {
			h.Phase = discovery.Draining
		} else {
			h.WarmupMs, _ = strconv.Atoi(more)
		}
	}
	return h
}

func list(text string) (all []discovery.Host) {
	for one := range strings.SplitSeq(text, ",") {
		if one = strings.TrimSpace(one); one != "" {
			all = append(all, entry(one))
		}
	}
	return all
}

// play runs a timeline, a line for each moment: "ms  event" and, behind an arrow, what is told. The relay is in zone z.
//
//	hosts LIST              the platform's list; told are the hosts closed by it
//	pick [k=v ...]          a call: s (service, "a"), p (program), x (prefix), t (tried, by +), over, waiting; its host
//	end HOST PROOF          the end of a call there
//	load HOST RUNNING/WAITING   it tells its load
//	closes HOST, stays HOST an answer closed its connection, or did not
//	out SERVICE             calls out
//	places SERVICE          places and how many are taken
func play(t *testing.T, slots int, timeline string) {
	t.Helper()
	proofs := map[string]Outcome{"good": Success, "full": AtCapacity, "refused": ConnectFailed, "broken": ResponseBroken, "late": TimedOut, "elsewhere": Misdirected, "unknown": Inconclusive}
	v := New("z", slots, 7)
	known := map[string]*Host{}
	for n, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		line, wanted, _ := strings.Cut(line, "->")
		at, line, _ := strings.Cut(strings.TrimSpace(line), " ")
		ms, err := strconv.Atoi(at)
		if err != nil {
			t.Fatalf("line %d: %v", n+1, err)
		}
		now := began.Add(time.Duration(ms) * time.Millisecond)
		what, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		f := strings.Fields(rest)
		got := ""
		switch what {
		case "hosts":
			var closed []string
			for _, h := range v.UpdateHosts(list(rest), now) {
				closed = append(closed, h.ID)
			}
			slices.Sort(closed)
			got = strings.Join(closed, " ")
			for _, g := range list(rest) {
				known[g.ID] = v.Lookup(g.ID)
			}
		case "pick":
			q := PickInfo{Service: "a"}
			for _, one := range f {
				k, val, _ := strings.Cut(one, "=")
				switch k {
				case "s":
					q.Service = val
				case "p":
					q.Program = val
				case "x":
					q.PromptPrefix = val
				case "t":
					q.Tried = strings.Split(val, "+")
				case "over":
					q.AllowHostQueue = true
				case "waiting":
					q.Contended = true
				}
			}
			got = "none"
			if h := v.Pick(q, now); h != nil {
				v.CallStarted(h)
				got = h.ID
			}
		case "end":
			v.CallEnded(known[f[0]], proofs[f[1]], now)
		case "load":
			running, waiting, _ := strings.Cut(f[1], "/")
			r, _ := strconv.Atoi(running)
			w, _ := strconv.Atoi(waiting)
			v.ReportLoad(known[f[0]], r, w, now)
		case "closes", "stays":
			v.ObserveClose(known[f[0]], what == "closes", now)
		case "out":
			got = fmt.Sprint(v.InFlight(f[0]))
		case "places":
			places, taken := v.Capacity(f[0], now)
			got = fmt.Sprintf("%.1f %.1f", places, taken)
		default:
			t.Fatalf("line %d: no event %q", n+1, what)
		}
		if wanted = strings.TrimSpace(wanted); got != wanted {
			t.Fatalf("line %d: %q gives %q, want %q", n+1, line, got, wanted)
		}
	}
}

func TestTimelines(t *testing.T) {
	for name, c := range map[string]struct {
		slots int
		text  string
	}{
		"the one with the smallest part taken": {99, `
			0 hosts a-1 z 4, a-2 z 9
			0 pick -> a-2
			0 pick -> a-2
			0 pick -> a-1
			0 pick -> a-2
			0 out a -> 4
			5 places a -> 13.0 4.0
			9 end a-1 good
			9 pick -> a-1`},
		"nothing beyond the slots, and the queue of a host when asked for": {99, `
			0 hosts a-1 z 2
			0 pick -> a-1
			0 pick -> a-1
			0 pick -> none
			0 pick over -> a-1
			0 pick over -> none
			1 end a-1 good
			1 pick -> none
			2 end a-1 good
			2 pick -> a-1`},
		"the own zone, until it is a little fuller": {99, `
			0 hosts a-1 z 15, a-2 y 15
			0 pick -> a-1
			0 pick -> a-1
			0 pick -> a-2
			0 pick -> a-1
			0 pick -> a-2`},
		"loads that hosts tell fade": {99, `
			0 hosts a-1 z 8, a-2 z 8
			0 pick t=a-2 -> a-1
			0 load a-1 5/2
			0 end a-1 good
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> a-2
			1 places a -> 16.0 9.0
			1 end a-2 good
			1 end a-2 good
			1 end a-2 good
			1999 pick t=a-2 -> a-1
			2001 places a -> 16.0 1.0`},
		"others' calls count, the own ones once": {99, `
			0 hosts a-1 z 8
			0 pick -> a-1
			0 pick -> a-1
			0 load a-1 2/0
			0 places a -> 8.0 2.0
			0 load a-1 6/1
			0 places a -> 8.0 7.0`},
		"a host that is full rests for a moment": {99, `
			0 hosts a-1 z 8, a-2 z 4
			0 pick -> a-1
			0 end a-1 full
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> none
			39 pick -> none
			1900 pick -> a-1`},
		"drained and gone hosts get nothing new": {99, `
			0 hosts a-1 z 4, a-2 z 4
			0 pick t=a-1 -> a-2
			1 hosts a-1 z 4, a-2 z 4 draining -> a-2
			1 pick t=a-1 -> a-1
			2 hosts a-1 z 4 draining, a-2 z 4 draining -> a-1
			2 pick -> none
			3 hosts a-2 z 4 draining
			3 pick over -> none
			4 hosts a-2 z 4
			4 pick -> a-2
			5 hosts -> a-2
			5 pick -> none
			6 out a -> 3
			6 end a-2 good
			6 end a-2 good
			6 end a-1 good
			6 out a -> 0`},
		"another incarnation at the same place starts anew": {99, `
			0 hosts a-1 z 4
			0 pick -> a-1
			0 end a-1 refused
			1 hosts a-1 z 4, a-9 z 4
			1 pick -> a-9
			2 hosts a-9 z 4 -> a-1
			2 pick -> a-9`},
		"one that refuses is left out, for longer each time": {99, `
			0 hosts a-1 z 4, a-2 z 90
			0 pick t=a-2 -> a-1
			0 end a-1 refused
			1 pick t=a-2 -> a-1
			1 end a-1 unknown
			249 pick t=x -> a-2
			249 end a-2 good
			251 pick t=a-2 -> a-1
			251 end a-1 refused
			740 pick -> a-2
			752 pick t=a-2 -> a-1
			752 end a-1 good`},
		"a restart at the edge proves little, unless they come in a row": {999, `
			0 hosts a-1 z 900, a-2 z 9
			0 pick -> a-1
			0 end a-1 late
			0 pick -> a-1
			0 end a-1 late
			0 pick -> a-1
			1 end a-1 good
			2 pick -> a-1
			2 end a-1 late
			2 pick -> a-1
			2 end a-1 late
			2 pick -> a-1
			2 end a-1 late
			2 pick -> a-2
			251 pick -> a-2
			252 pick -> a-1`},
		"two answers in a row that break off": {999, `
			0 hosts a-1 z 900, a-2 z 9
			0 pick -> a-1
			0 end a-1 broken
			0 pick -> a-1
			0 end a-1 unknown
			9 pick -> a-1
			9 end a-1 broken
			9 pick -> a-2`},
		"proofs long ago do not add up": {999, `
			0 hosts a-1 z 900, a-2 z 9
			0 pick -> a-1
			0 end a-1 broken
			10002 pick -> a-1
			10002 end a-1 broken
			10002 pick -> a-1`},
		"a host at whose place another answers": {99, `
			0 hosts a-1 z 90, a-2 z 1
			0 pick -> a-1
			0 end a-1 elsewhere
			1 pick -> a-2
			2 end a-2 good
			4999 pick -> a-2
			4999 end a-2 good
			5001 pick -> a-1`},
		"in doubt, doubt is better than nothing": {99, `
			0 hosts a-1 z 4, a-2 z 4
			0 pick t=a-2 -> a-1
			0 pick t=a-1 -> a-2
			0 end a-1 refused
			0 end a-2 good
			1 pick -> a-2
			1 end a-2 refused
			2 pick t=a-2 -> a-1
			2 pick t=a-1+a-2 -> a-2`},
		"a cold host starts slowly": {99, `
			0 hosts a-1 z 8 2000
			0 places a -> 4.0 0.0
			1000 places a -> 6.0 0.0
			2000 places a -> 8.0 0.0`},
		"a host that closes again and again may be leaving": {99, `
			0 hosts a-1 z 90, a-2 z 9
			0 closes a-1
			0 pick -> a-1
			1 stays a-1
			1 closes a-1
			1 pick -> a-1
			2 closes a-1
			2 pick -> a-2
			2001 pick -> a-2
			2002 pick -> a-1
			2003 closes a-1
			2003 pick -> a-2
			2004 hosts a-1 z 90 -> a-2
			2004 pick -> a-1`},
		"services apart": {99, `
			0 hosts a-1 z 1, b-1 z 1
			0 pick s=b -> b-1
			0 pick s=b -> none
			0 pick s=c -> none
			0 pick -> a-1`},
		"no more calls out than slots": {3, `
			0 hosts a-1 z 8, a-2 z 8, b-1 z 8
			0 pick t=a-2 -> a-1
			0 pick t=a-1 -> a-2
			0 pick s=b -> b-1
			0 pick -> none
			0 pick over -> none
			1 end b-1 good
			1 pick t=a-2 -> a-1`},
		"one destination holds under three quarters of the slots": {8, `
			0 hosts a-1 z 99, a-2 z 99
			0 pick t=a-2 -> a-1
			0 pick t=a-2 -> a-1
			0 pick t=a-2 -> a-1
			0 pick t=a-2 -> a-1
			0 pick t=a-2 waiting -> none
			0 pick t=a-2 -> a-1
			0 pick t=a-2 -> none
			0 pick -> a-2
			0 pick waiting -> a-2
			0 pick -> a-2
			0 pick -> none`},
		"the only destination may hold all": {4, `
			0 hosts a-1 z 99
			0 pick -> a-1
			0 pick -> a-1
			0 pick -> a-1
			0 pick waiting -> a-1
			0 pick -> none`},
		"turns of a program stay together, until their host is loaded": {99, `
			0 hosts a-1 z 9, a-2 z 9, a-3 z 9, a-4 y 9
			0 pick p=x -> a-3
			0 pick p=x -> a-3
			0 pick p=y -> a-2
			0 pick p=x -> a-3
			0 pick p=x -> a-3
			0 pick p=x -> a-3
			0 pick p=x -> a-3
			0 pick p=x -> a-2
			0 pick p=x t=a-2 -> a-1
			1 end a-3 good
			1 pick p=x -> a-3`},
		"an only host is no different": {99, `
			0 hosts a-1 z 10
			0 pick p=x -> a-1
			0 pick p=y -> a-1
			0 pick x=z -> a-1`},
	} {
		t.Run(name, func(t *testing.T) { play(t, c.slots, c.text) })
	}
}

// fleet draws hosts in some zones.
func fleet(t *rapid.T, least int) []discovery.Host {
	var all []discovery.Host
	for i := range rapid.IntRange(least, 12).Draw(t, "hosts") {
		all = append(all, discovery.Host{ID: fmt.Sprint("a-", i), Service: "a", Zone: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"),
			Capacity: rapid.IntRange(1, 96).Draw(t, "capacity"), Phase: rapid.SampledFrom([]string{discovery.Ready, discovery.Ready, discovery.Draining}).Draw(t, "phase")})
	}
	return all
}

// Whatever happens: nothing goes to a host that drains, is gone or has no room; what is out is counted; and while a host
// in good standing has room, one is found.
func TestNeverToTheWrongHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 60
		v := New("z", slots, rapid.Uint64().Draw(t, "seed"))
		now := began
		hosts := fleet(t, 0)
		v.UpdateHosts(hosts, now)
		out := map[*Host]int{}
		total := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				hosts = fleet(t, 0)
				v.UpdateHosts(hosts, now)
			case 1:
				if total > 0 {
					busy := slices.SortedFunc(maps.Keys(out), func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) })
					h := rapid.SampledFrom(busy).Draw(t, "ended")
					if rapid.Bool().Draw(t, "tells") {
						v.ReportLoad(h, rapid.IntRange(0, 99).Draw(t, "running"), 0, now)
						v.ObserveClose(h, rapid.Bool().Draw(t, "closes"), now)
					}
					v.CallEnded(h, Outcome(rapid.IntRange(int(Success), int(Inconclusive)).Draw(t, "proof")), now)
					if out[h]--; out[h] == 0 {
						delete(out, h)
					}
					total--
				}
			default:
				q := PickInfo{Service: "a", AllowHostQueue: rapid.Bool().Draw(t, "over"), Contended: rapid.Bool().Draw(t, "waiting"),
					Program: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "program")}
				h := v.Pick(q, now)
				free := slices.ContainsFunc(v.services["a"], func(h *Host) bool {
					return h.Usable() && !now.Before(h.ejectedUntil) && !now.Before(h.avoidUntil) && !now.Before(h.fullUntil) && h.Load(now) < h.effectiveCapacity(now) && float64(h.inFlight)+1 < contendedHostShare*slots
				})
				if h == nil {
					if free && total < slots {
						t.Fatal("no host is found where one has room")
					}
					continue
				}
				i := slices.IndexFunc(hosts, func(g discovery.Host) bool { return g.ID == h.ID })
				if i < 0 || hosts[i].Phase != discovery.Ready {
					t.Fatalf("the call goes to %s, which is draining or gone", h.ID)
				}
				if most := h.effectiveCapacity(now); !q.AllowHostQueue && h.Load(now) >= most || h.Load(now) >= most+max(1, hostQueueShare*most) {
					t.Fatalf("the call goes to %s, which has no room", h.ID)
				}
				v.CallStarted(h)
				out[h]++
				total++
			}
			if v.InFlight("a") != total || total > slots {
				t.Fatalf("%d calls are told to be out, not %d of %d", v.InFlight("a"), total, slots)
			}
		}
	})
}

// A program's host depends on the program and the hosts in good standing: another relay of the zone finds the same one,
// and a host that goes moves only the programs that were there.
func TestAffinityIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(t, 2)
		for i := range hosts {
			hosts[i].Phase, hosts[i].Capacity = discovery.Ready, 96
		}
		one, other, fewer := New("z", 99, 1), New("z", 99, 2), New("z", 99, 3)
		lost := rapid.IntRange(0, len(hosts)-1).Draw(t, "lost")
		one.UpdateHosts(hosts, began)
		turned := slices.Clone(hosts)
		slices.Reverse(turned)
		other.UpdateHosts(turned, began)
		fewer.UpdateHosts(slices.Delete(slices.Clone(hosts), lost, lost+1), began)
		for i := range 30 {
			q := PickInfo{Service: "a", Program: fmt.Sprint("p", i)}
			h := one.Pick(q, began)
			if o := other.Pick(q, began); o.ID != h.ID {
				t.Fatalf("two relays send %s to %s and %s", q.Program, h.ID, o.ID)
			}
			if f := fewer.Pick(q, began); h.ID != hosts[lost].ID && f.ID != h.ID {
				t.Fatalf("%s moves from %s to %s as %s goes", q.Program, h.ID, f.ID, hosts[lost].ID)
			}
		}
	})
}

// Programs are spread: with many of them no host of the zone has more than its part by far.
func TestProgramsAreSpread(t *testing.T) {
	v := New("z", 10_000, 1)
	v.UpdateHosts(list("a-1 z 96, a-2 z 96, a-3 z 96, a-4 y 96"), began)
	had := map[string]int{}
	for i := range 60 {
		h := v.Pick(PickInfo{Service: "a", Program: fmt.Sprint("p", i)}, began)
		v.CallStarted(h)
		had[h.ID]++
	}
	for id, n := range had {
		if n > 32 {
			t.Errorf("host %s has %d of 60 programs", id, n)
		}
	}
}

func TestTargets(t *testing.T) {
	had := [3]int{}
	for i := range 3000 {
		key := fmt.Sprint("k", i)
		n := PickTarget([]int{90, 0, 10}, key)
		if n != PickTarget([]int{90, 0, 10}, key) {
			t.Fatal("the same key goes two ways")
		}
		had[n]++
	}
	if had[1] != 0 || had[2] < 200 || had[2] > 400 {
		t.Errorf("of 3000 keys %v went each way, want 90, 0 and 10 in 100", had)
	}
	for _, shares := range [][]int{{5}, {0}, nil} {
		if n := PickTarget(shares, "k"); n != 0 {
			t.Errorf("the target among %v is %d", shares, n)
		}
	}
}
