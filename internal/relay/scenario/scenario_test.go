package scenario

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const site = `
relays = 6
partner "pay" {
  host "a" { rate = 100 }
  host "b" { rate = 50 }
  load "payment" { rate = 60 }
}
`

func parse(t testing.TB, text string) *Scenario {
	t.Helper()
	s, err := Parse([]byte(text), "s.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// All that is wrong is reported at once, with its line.
func TestParseReportsAllFaults(t *testing.T) {
	for text, want := range map[string]string{
		`phase "a" { for = "1s" }`:         "s.hcl:1:1: no partner",
		site:                               "s.hcl:1:1: 0 phases",
		site + `phase "a" {}`:              `for is missing`,
		site + `phase "a" { for = "16m" }`: "for is 16m0s, must be from 100ms to 15m0s",
		site + "phase \"a\" { for = \"10m\" }\nphase \"b\" { for = \"10m\" }":                                "the phases take 20m0s together",
		site + "phase \"a\" {\n for = \"1s\"\n cut \"ring\" {}\n}":                                           `s.hcl:10:6: cut "ring" is unknown; allowed: sides, alone, nobody, chain`,
		site + "phase \"a\" {\n for = \"1s\"\n cut \"nobody\" { number = 2 }\n}":                             `takes neither number nor one_way`,
		site + "phase \"a\" {\n for = \"1s\"\n stop {}\n}":                                                   "say which: relays = NUMBER, or share = PART",
		site + "phase \"a\" {\n for = \"1s\"\n stop {\n relays = 1\n steward_of = \"x\"\n}\n}":               `partner "x" is unknown`,
		site + "phase \"a\" {\n for = \"1s\"\n partner \"pay\" { hosts = [\"c\"] }\n}":                       `partner "pay" has no host "c"`,
		site + "phase \"a\" {\n for = \"1s\"\n expect {}\n}":                                                 "expect says nothing",
		site + "phase \"a\" {\n for = \"1s\"\n expect {\n from = \"1s\"\n to = \"1s\"\n delivered = 1\n}\n}": "to is 1s, must be after from",
		strings.Replace(site, "60", "6000", 1) + `phase "a" { for = "1s" }`:                                  "rate is 6000, must be from 0.1 to 2000",
		strings.Replace(site, `"payment"`, `"bill"`, 1) + `phase "a" { for = "1s" }`:                         `class "bill" is unknown; allowed: [job-order status-update payment]`,
	} {
		_, err := Parse([]byte(text), "s.hcl")
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngives %v\nwant %s", text, err, want)
		}
	}
	_, err := Parse([]byte(site+"slots = 0\nphase \"a\" {\n for = \"x\"\n kill { share = 2 }\n}"), "s.hcl")
	if err == nil || len(strings.Split(err.Error(), "\n")) < 3 {
		t.Errorf("three faults give %v", err)
	}
}

// Which relays receive from which.
func TestPartitionShapes(t *testing.T) {
	for _, c := range []struct {
		cut   string
		after time.Duration
		want  string // by sender, then receiver: 1 if the datagram is delivered
	}{
		{`"sides" {}`, 0, "1010 0101 1010 0101"},
		{`"sides" { number = 3 }`, 0, "1001 0100 0010 1001"},
		{`"sides" { one_way = true }`, 0, "1111 0101 1111 0101"},
		{`"alone" { number = 2 }`, 0, "0000 0000 0011 0011"},
		{`"alone" { one_way = true }`, 0, "1000 1111 1111 1111"},
		{`"nobody" {}`, 0, "0000 0000 0000 0000"},
		{`"chain" {}`, 0, "0100 1010 0101 0010"},
		{`"nobody" { flap = "300ms" }`, 299 * time.Millisecond, "0000 0000 0000 0000"},
		{`"nobody" { flap = "300ms" }`, 300 * time.Millisecond, "1111 1111 1111 1111"},
		{`"nobody" { flap = "300ms" }`, 600 * time.Millisecond, "0000 0000 0000 0000"},
	} {
		s := parse(t, site+"phase \"a\" {\n for = \"1s\"\n cut "+c.cut+"\n}")
		n := Network{Cuts: s.Phases[0].Cuts, Since: time.Hour}
		var got []string
		for from := range 4 {
			row := ""
			for to := range 4 {
				row += fmt.Sprint(len(n.Deliver(from, to, time.Hour+c.after, nil)))
			}
			got = append(got, row)
		}
		// A relay sends itself nothing: the diagonal is ignored.
		for i := range got {
			got[i] = got[i][:i] + c.want[5*i+i:5*i+i+1] + got[i][i+1:]
		}
		if g := strings.Join(got, " "); g != c.want {
			t.Errorf("cut %s after %v: %s, want %s", c.cut, c.after, g, c.want)
		}
	}
}

// Datagrams are lost, duplicated and delayed with the given probabilities.
func TestLinkQuality(t *testing.T) {
	n := Network{Links: Links{Lose: 0.3, Double: 0.2, Reorder: 0.5,
		Delay: 10 * time.Millisecond, Jitter: 5 * time.Millisecond, Late: time.Second}}
	draw := rand.New(rand.NewPCG(1, 1))
	lost, twice, late := 0, 0, 0
	for range 10_000 {
		after := n.Deliver(0, 1, 0, draw)
		if len(after) == 0 {
			lost++
			continue
		}
		twice += len(after) - 1
		for _, d := range after {
			if d < 10*time.Millisecond || d > 1015*time.Millisecond || d > 15*time.Millisecond && d < 1010*time.Millisecond {
				t.Fatalf("late by %v", d)
			}
			if d > time.Second {
				late++
			}
		}
	}
	if lost < 2800 || lost > 3200 || twice < 1250 || twice > 1550 || late < 3900 || late > 4500 {
		t.Errorf("of 10000: %d lost, %d twice, %d late", lost, twice, late)
	}
}

// A required coordinator is selected first, an excluded one never.
func TestRelaySelector(t *testing.T) {
	s := parse(t, site+`
phase "a" {
  for = "1s"
  stop {
    relays     = 2
    steward_of = "pay"
  }
  kill {
    share            = 1
    spare_steward_of = "pay"
  }
}`)
	for seed := range uint64(20) {
		p := NewPlan(s, 6, seed, func(int) int { return 4 })
		var stopped, killed []int
		for _, st := range p.Steps {
			switch do := st.Action.(type) {
			case Stopped:
				if do.Paused {
					stopped = append(stopped, do.Relay)
				}
			case Killed:
				killed = append(killed, do.Relay)
			}
		}
		if len(stopped) != 2 || !slices.Contains(stopped, 4) || len(killed) != 5 || slices.Contains(killed, 4) {
			t.Fatalf("seed %d: stopped %v, killed %v", seed, stopped, killed)
		}
	}
}

// A random plan is the same for the same seed, in order and in bounds, and leaves everything healthy at its end.
func TestRandomPlans(t *testing.T) {
	s := parse(t, site+"phase \"a\" { for = \"1s\" }\ndraw {\n phases = 8\n for = \"4s\"\n calm = \"2s\"\n}")
	rapid.Check(t, func(t *rapid.T) {
		relays, seed := rapid.IntRange(1, MaxRelays).Draw(t, "relays"), rapid.Uint64().Draw(t, "seed")
		first := func(int) int { return 0 }
		p := NewPlan(s, relays, seed, first)
		if !reflect.DeepEqual(p, NewPlan(s, relays, seed, first)) {
			t.Fatal("two plans of one seed differ")
		}
		if len(p.Phases) != 17 || p.Span() != 1*time.Second+8*6*time.Second {
			t.Fatalf("%d phases, %v", len(p.Phases), p.Span())
		}
		still, dead, last := map[int]int{}, map[int]bool{}, time.Duration(0)
		for _, st := range p.Steps {
			if st.At < last || st.At > p.Span() {
				t.Fatalf("a step at %v after one at %v", st.At, last)
			}
			last = st.At
			switch do := st.Action.(type) {
			case Stopped:
				if still[do.Relay]++; !do.Paused {
					still[do.Relay] -= 2
				}
			case Killed:
				dead[do.Relay] = true
			case Started:
				delete(dead, do.Relay)
			case Network:
				if st.At == p.Span() && len(do.Cuts) > 0 {
					t.Fatal("the last network is cut")
				}
			}
		}
		for r, n := range still {
			if n != 0 {
				t.Fatalf("relay %d stands still at the end", r)
			}
		}
		if len(dead) > 0 {
			t.Fatalf("%v are dead at the end", dead)
		}
	})
}

// A fleet that grows: the relays are restarted one after another with the longer list, then the new one starts; and back.
// Commands go to a relay that exists.
func TestResize(t *testing.T) {
	text := strings.Replace(site, "relays", "form   = \"appliance\"\nlisted = 2\nrelays", 1)
	s := parse(t, text+`
phase "grows" {
  for = "10s"
  grow {
    to    = 3
    every = "1s"
  }
  say "gone" { of = 9 }
}
phase "shrinks" {
  for = "10s"
  grow { to = 2 }
}`)
	var got []string
	for _, step := range NewPlan(s, 4, 1, func(int) int { return 0 }).Steps {
		switch do := step.Action.(type) {
		case Relisted, Killed, Started:
			got = append(got, fmt.Sprintf("%v %T %v", step.At, do, do))
		case Said:
			if do.Of != 1 || do.What != CommandRemove {
				t.Errorf("said %+v", do)
			}
		}
	}
	want := []string{
		"0s scenario.Killed relay 0 ends", "0s scenario.Relisted {0 3}", "0s scenario.Started relay 0 starts again",
		"1s scenario.Killed relay 1 ends", "1s scenario.Relisted {1 3}", "1s scenario.Started relay 1 starts again",
		"2s scenario.Relisted {2 3}", "2s scenario.Started relay 2 starts again",
		"10s scenario.Killed relay 2 ends",
		"11.5s scenario.Killed relay 0 ends", "11.5s scenario.Relisted {0 2}", "11.5s scenario.Started relay 0 starts again",
		"13s scenario.Killed relay 1 ends", "13s scenario.Relisted {1 2}", "13s scenario.Started relay 1 starts again",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	for relays, want := range map[int]int{1: 1, 2: 2, 9: 2} { // however many are played
		p := NewPlan(s, relays, 1, func(int) int { return 0 })
		for _, step := range p.Steps {
			if do, ok := step.Action.(Relisted); ok && (do.Relay >= relays || do.Size > relays) {
				t.Errorf("of %d relays: %+v", relays, do)
			}
		}
		if p.InitialRelays() != want {
			t.Errorf("%d of %d relays at first, want %d", p.InitialRelays(), relays, want)
		}
	}
	if p := NewPlan(parse(t, site+"phase \"a\" { for = \"1s\" }"), 9, 1, func(int) int { return 0 }); p.InitialRelays() != 9 {
		t.Errorf("%d of 9 relays at first where nothing is said", p.InitialRelays())
	}
	for bad, why := range map[string]string{
		`say "shout" {}`: `say "shout" is unknown`,
		`say "drain" { target = "endpoint:nobody" }`: "is none of the scenario",
		`say "drain" {}`: "target is missing",
		`grow {}`:        "to is missing",
	} {
		_, err := Parse([]byte(text+"\nphase \"a\" {\n for = \"1s\"\n "+bad+"\n}"), "f")
		if err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%s: %v, want %q", bad, err, why)
		}
	}
	text = strings.Replace(text, `"appliance"`, `"platform"`, 1) + "\nphase \"a\" {\n for = \"1s\"\n grow { to = 3 }\n}"
	if _, err := Parse([]byte(text), "f"); err == nil || !strings.Contains(err.Error(), "does not grow") {
		t.Errorf("a platform's fleet that grows: %v", err)
	}
}
