package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/internal/tier/discovery"
)

// drawHosts draws at least so many hosts in some zones.
func drawHosts(t *rapid.T, least int) []discovery.Host {
	var hosts []discovery.Host
	for i := range rapid.IntRange(least, 12).Draw(t, "hosts") {
		hosts = append(hosts, discovery.Host{ID: fmt.Sprint("a-", i), Service: "a", Zone: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"),
			Capacity: rapid.IntRange(1, 96).Draw(t, "capacity"), Phase: rapid.SampledFrom([]string{discovery.Ready, discovery.Ready, discovery.Draining}).Draw(t, "phase")})
	}
	return hosts
}

// For any events: no call goes to a host that drains, is unlisted or has no capacity; calls in flight are counted; and while
// a healthy host has capacity, one is picked.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxInFlight = 60
		b := New("z", maxInFlight, rapid.Uint64().Draw(t, "seed"))
		now := start
		hosts := drawHosts(t, 0)
		b.UpdateHosts(hosts, now)
		inFlight := map[*Host]int{}
		total := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				hosts = drawHosts(t, 0)
				b.UpdateHosts(hosts, now)
			case 1:
				if total > 0 {
					busy := slices.SortedFunc(maps.Keys(inFlight), func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) })
					h := rapid.SampledFrom(busy).Draw(t, "ended")
					if rapid.Bool().Draw(t, "responds") {
						b.ReportLoad(h, rapid.IntRange(0, 99).Draw(t, "running"), 0, now)
						b.ObserveClose(h, rapid.Bool().Draw(t, "closes"), now)
					}
					b.CallEnded(h, Outcome(rapid.IntRange(int(Success), int(Inconclusive)).Draw(t, "outcome")), now)
					if inFlight[h]--; inFlight[h] == 0 {
						delete(inFlight, h)
					}
					total--
				}
			default:
				info := PickInfo{Service: "a", AllowHostQueue: rapid.Bool().Draw(t, "host queue"), Contended: rapid.Bool().Draw(t, "contended"),
					Program: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "program")}
				h := b.Pick(info, now)
				free := slices.ContainsFunc(b.services["a"], func(h *Host) bool {
					return h.Usable() && !now.Before(h.ejectedUntil) && !now.Before(h.avoidUntil) && !now.Before(h.fullUntil) && h.Load(now) < h.effectiveCapacity(now) && float64(h.inFlight)+1 < DefaultParams().Selection.ContendedHostShare*maxInFlight
				})
				if h == nil {
					if free && total < maxInFlight {
						t.Fatal("no host is picked while one has capacity")
					}
					continue
				}
				i := slices.IndexFunc(hosts, func(g discovery.Host) bool { return g.ID == h.ID })
				if i < 0 || hosts[i].Phase != discovery.Ready {
					t.Fatalf("the call goes to %s, which is draining or unlisted", h.ID)
				}
				if capacity := h.effectiveCapacity(now); !info.AllowHostQueue && h.Load(now) >= capacity || h.Load(now) >= capacity+max(1, DefaultParams().Selection.HostQueueShare*capacity) {
					t.Fatalf("the call goes to %s, which has no capacity", h.ID)
				}
				b.CallStarted(h)
				inFlight[h]++
				total++
			}
			if b.InFlight("a") != total || total > maxInFlight {
				t.Fatalf("%d calls in flight, want %d, at most %d", b.InFlight("a"), total, maxInFlight)
			}
		}
	})
}

// The host of a program depends only on the program and the healthy hosts: another relay of the zone picks the same one, and
// a host that is unlisted moves only the programs that it had.
func TestAffinityIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t, 2)
		for i := range hosts {
			hosts[i].Phase, hosts[i].Capacity = discovery.Ready, 96
		}
		one, other, fewer := New("z", 99, 1), New("z", 99, 2), New("z", 99, 3)
		lost := rapid.IntRange(0, len(hosts)-1).Draw(t, "lost")
		one.UpdateHosts(hosts, start)
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		other.UpdateHosts(reversed, start)
		fewer.UpdateHosts(slices.Delete(slices.Clone(hosts), lost, lost+1), start)
		for i := range 30 {
			info := PickInfo{Service: "a", Program: fmt.Sprint("p", i)}
			h := one.Pick(info, start)
			if o := other.Pick(info, start); o.ID != h.ID {
				t.Fatalf("two relays send %s to %s and %s", info.Program, h.ID, o.ID)
			}
			if f := fewer.Pick(info, start); h.ID != hosts[lost].ID && f.ID != h.ID {
				t.Fatalf("%s moves from %s to %s as %s goes", info.Program, h.ID, f.ID, hosts[lost].ID)
			}
		}
	})
}

// Many programs are spread over the hosts of the zone.
func TestAffinitySpreadsPrograms(t *testing.T) {
	b := New("z", 10_000, 1)
	b.UpdateHosts(parseHosts("a-1 z 96, a-2 z 96, a-3 z 96, a-4 y 96"), start)
	picked := map[string]int{}
	for i := range 60 {
		h := b.Pick(PickInfo{Service: "a", Program: fmt.Sprint("p", i)}, start)
		b.CallStarted(h)
		picked[h.ID]++
	}
	for id, n := range picked {
		if n > 32 {
			t.Errorf("host %s has %d of 60 programs", id, n)
		}
	}
}

func TestPickTarget(t *testing.T) {
	picked := [3]int{}
	for i := range 3000 {
		key := fmt.Sprint("k", i)
		n := PickTarget([]int{90, 0, 10}, key)
		if n != PickTarget([]int{90, 0, 10}, key) {
			t.Fatal("the same key has two targets")
		}
		picked[n]++
	}
	if picked[1] != 0 || picked[2] < 200 || picked[2] > 400 {
		t.Errorf("of 3000 keys %v went to each target, want 90, 0 and 10 in 100", picked)
	}
	for _, weights := range [][]int{{5}, {0}, nil} {
		if n := PickTarget(weights, "k"); n != 0 {
			t.Errorf("the target among %v is %d", weights, n)
		}
	}
}
