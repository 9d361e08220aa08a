package controlnode

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Timelines have a column for each core node. A line is in force until its time in ms, with a mark for each node:
//
//	.    it runs
//	x    it is down, its disk kept
//	#    it is down, its disk lost
//	z    it is frozen
//	|    it is partitioned from the others
//	>    what it sends is lost (a one-way partition)
//	<    what is sent to it is lost
//	-    it has left in order, and is down
//
// and behind the bar the expectations: "w" writes were acknowledged in that time, "-" none were, "?" either; then the
// chain as the first that runs and is fresh sees it (letters in its order), "*" for any.
func runTimeline(t *testing.T, n, chainLength int, timeline string) {
	t.Helper()
	c := newSimulationWith(t, 1, n, 1, chainLength, injectedBugs{})
	c.rng = rand.New(rand.NewPCG(1, 1))
	c.noRandomFaults = true
	letters := "abcdefgh"
	last := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		f := strings.Fields(line)
		until, err := strconv.Atoi(f[0])
		if err != nil {
			t.Fatal(err)
		}
		c.blockedLinks = map[[2]string]bool{}
		for i, a := range c.addrs {
			m, mark := c.machines[a], f[1+i]
			switch mark {
			case "x", "#":
				if m.up {
					c.stop(m)
				}
				if mark == "#" && last[a] != "#" {
					m.disk, m.id = Durable{}, c.newID()
				}
			case "-":
				if m.up {
					c.handleReady(m, m.node.StartLeaving(c.now))
				}
			default:
				if !m.up {
					c.start(m)
				}
			}
			if m.frozen && mark != "z" {
				m.frozen = false
				in := m.inbox
				m.inbox = nil
				for _, one := range in {
					c.handleReady(m, m.node.Receive(c.now, one))
				}
			}
			m.frozen = mark == "z"
			for _, b := range c.addrs {
				if mark == "|" || mark == ">" {
					c.blockedLinks[[2]string{a, b}] = true
				}
				if mark == "|" || mark == "<" {
					c.blockedLinks[[2]string{b, a}] = true
				}
			}
			last[a] = mark
		}
		before := c.writes
		for _, a := range c.addrs {
			if last[a] == "-" && c.machines[a].up {
				c.run(200 * time.Millisecond)
				c.stop(c.machines[a])
			}
		}
		c.run(time.Duration(until)*time.Millisecond - c.now)
		if c.failure != "" {
			t.Fatalf("until %s ms: %s\n%s", f[0], c.failure, c.trace())
		}
		wrote := c.writes > before
		chain := ""
		for _, a := range c.addrs {
			m := c.machines[a]
			if !m.up || m.frozen || !m.node.Fresh() {
				continue
			}
			v := m.node.View()
			for _, l := range v.Chain {
				who, _ := v.Member(l.ID)
				chain += string(letters[who.Addr[1]-'0'])
			}
			break
		}
		want := f[2+n:]
		if want[0] == "w" && !wrote || want[0] == "-" && wrote {
			t.Fatalf("until %s ms: written %v, wanted %s\n%s", f[0], wrote, want[0], c.trace())
		}
		if want[1] != "*" && want[1] != chain {
			t.Fatalf("until %s ms: the chain is %q, wanted %q\n%s", f[0], chain, want[1], c.trace())
		}
	}
}

func TestTimelines(t *testing.T) {
	for name, one := range map[string]struct {
		n    int
		line string
	}{
		"a founding core, and one more that is admitted": {4, `
			600   . . . .   | w abcd`},
		"a founding seed dies in the first second": {3, `
			100   . . .   | ? abc
			1500  . x .   | w ac
			2500  . . .   | w acb`},
		"two of three founding seeds are there at first": {3, `
			900   . . x   | ? *
			2500  . . x   | w ab
			3500  . . .   | w abc`},
		"the tail in a one-way partition: nothing that it sends arrives": {4, `
			800   . . . .   | w abcd
			2400  . . . >   | w abc
			3600  . . . .   | w abcd`},
		"the tail is cut in the other way": {4, `
			800   . . . .   | w abcd
			2700  . . . <   | w abc
			4600  . . . .   | w abcd`},
		"the head receives nothing": {4, `
			800   . . . .   | w abcd
			2700  < . . .   | w bcd
			4600  . . . .   | w bcda`},
		"nothing that the head sends arrives": {4, `
			800   . . . .   | w abcd
			2700  > . . .   | w bcd
			4600  . . . .   | w bcda`},
		"the head freezes in the middle of writes, and wakes": {4, `
			800   . . . .   | w abcd
			2600  z . . .   | w bcd
			4500  . . . .   | w bcda`},
		"the head is cut off alone; neither side goes wrong": {4, `
			800   . . . .   | w abcd
			1300  | . . .   | ? *
			3000  | . . .   | w bcd
			4200  . . . .   | w bcda`},
		"a core cut in two halves waits for a majority": {4, `
			800   . . . .   | w abcd
			1000  | | . .   | ? *
			4000  | | . .   | - *
			6500  . . . .   | w *`},
		"a wiped machine back at its old address is a newcomer": {4, `
			800   . . . .   | w abcd
			2200  . # . .   | w acd
			3500  . . . .   | w acdb`},
		"a replaced one, while another is down after it": {5, `
			800   . . . . .   | w abcde
			2600  . # . . .   | w acde
			5000  . . . . .   | w acdeb
			7000  . . x . .   | w adeb
			9000  . . . . .   | w adebc`},
		"all power is lost": {4, `
			800   . . . .   | w abcd
			1600  x x x x   | - *
			3000  . . . .   | w *`},
		"all power is lost, and they come back one after the other within half a second": {4, `
			800   . . . .   | w abcd
			1600  x x x x   | - *
			1750  . x x x   | - *
			1900  . . x x   | - *
			2050  . . . x   | ? *
			3000  . . . .   | w abcd`},
		"all power is lost, and a disk with it": {4, `
			800   . . . .   | w abcd
			1600  x x # x   | - *
			4500  . . . .   | w *`},
		"the head leaves in order: no pause for a suspicion": {4, `
			800   . . . .   | w abcd
			1200  - . . .   | w bcd
			2500  . . . .   | w bcda`},
		"its successor dies as it is named": {4, `
			800   . . . .   | w abcd
			810   - . . .   | ? *
			2600  x x . .   | ? *
			5500  x . . .   | w *
			7500  . . . .   | w *`},
		"two repairs at once: one dies as another comes back": {5, `
			800   . . . . .   | w abcde
			2400  . x . . .   | w acde
			2450  . . . . .   | ? *
			4800  . . x . .   | w *
			6500  . . . . .   | w *`},
		"one after the other, each with time to catch up": {4, `
			800    . . . .   | w abcd
			2600   x . . .   | w bcd
			7000   . . . .   | w bcda
			9000   . x . .   | w cda
			13000  . . . .   | w cdab
			15000  . . # .   | w dab
			19500  . . . .   | w dabc`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runTimeline(t, one.n, 0, one.line)
		})
	}
}

// A chain has as many members as it should, and voters outside it are learners that take the places of members that are lost.
func TestShortChainTimelines(t *testing.T) {
	for name, one := range map[string]struct {
		n    int
		line string
	}{
		"a full chain takes no further members": {5, `
			1500  . . . . .   | w abc`},
		"a learner takes the place of a member that is lost, and keeps it": {5, `
			1200  . . . . .   | w abc
			2800  . x . . .   | w acd
			5500  . . . . .   | w acd`},
		"learners that come and go move no view": {5, `
			1200  . . . . .   | w abc
			1500  . . . x .   | w abc
			1800  . . . . x   | w abc
			2100  . . . x .   | w abc
			4000  . . . . .   | w abc`},
		"two members are lost one after the other": {8, `
			1500  . . . . . . . .   | w abc
			3000  x . . . . . . .   | w bcd
			3100  x . x . . . . .   | ? *
			5000  x . x . . . . .   | w bde
			8000  . . . . . . . .   | w bde`},
		"a member that dies and starts again before it is suspected is a learner from its second start on": {5, `
			1200  . . . . .   | w abc
			1500  . x . . .   | - *
			2000  . . . . .   | w abc
			2300  . x . . .   | - *
			2800  . . . . .   | w acd
			3700  . x . . .   | w acd
			4300  . . . . .   | w acd
			9000  . . . . .   | w acd`},
		"one restart is no reason to leave": {5, `
			1200  . . . . .   | w abc
			1500  . . x . .   | - *
			9000  . . . . .   | w abc
			9300  . . x . .   | - *
			12000 . . . . .   | w abc`},
		"all start again and again: nobody is left out": {4, `
			1200  . . . .   | w abc
			1700  x x x x   | - *
			2500  . . . .   | w abc
			3000  x x x x   | - *
			3900  . . . .   | w abc
			4400  x x x x   | - *
			5200  . . . .   | w abc`},
		"the tail receives nothing: a learner takes its place": {5, `
			1200  . . . . .   | w abc
			3200  . . < . .   | w abd
			5000  . . . . .   | w abd`},
		"the tail loses its disk with all power": {5, `
			1200  . . . . .   | w abc
			1600  x x # x x   | - *
			4500  . . . . .   | w *`},
		"all but the chain's last member are lost for a while": {5, `
			1200  . . . . .   | w abc
			3000  x x . x x   | - *
			6500  . . . . .   | w *`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runTimeline(t, one.n, ChainLength(1), one.line)
		})
	}
}

// A learner answers followers as a member of the chain does, and no later than a moment after the commit.
func TestLearnersServeFollowers(t *testing.T) {
	c := newSimulationWith(t, 1, 8, 1, ChainLength(1), injectedBugs{})
	c.noRandomFaults = true
	c.run(1500 * time.Millisecond)
	for _, a := range c.addrs[3:] {
		node := c.machines[a].node
		if !node.isVotingLearner() || !node.Fresh() {
			t.Fatalf("%s: a learner %v, fresh %v", a, node.isVotingLearner(), node.Fresh())
		}
	}
	head := c.machines["m0"]
	index := head.node.Chain().State().LastIndex + 1
	c.handleReady(head, head.node.Write(c.now, 1000, "config", []byte("new")))
	c.run(60 * time.Millisecond) // three hops to the tail, one to each learner, six ms each at most
	for _, a := range c.addrs {
		if commit := c.machines[a].node.Chain().State().Commit; commit < index {
			t.Errorf("%s has committed %d of %d", a, commit, index)
		}
	}
}

// Two of the three members of a chain leave at once: a learner is complete before they go, within the time that they wait.
func TestMembersOfShortChainCanLeaveTogether(t *testing.T) {
	c := newSimulationWith(t, 1, 4, 1, ChainLength(1), injectedBugs{})
	c.noRandomFaults = true
	c.run(1500 * time.Millisecond)
	leaving := []*machine{c.machines["m0"], c.machines["m1"]}
	for _, m := range leaving {
		c.handleReady(m, m.node.StartLeaving(c.now))
	}
	began := c.now
	for !leaving[0].node.CanStop() || !leaving[1].node.CanStop() {
		if c.step(); c.now-began > leaveTimeout {
			t.Fatalf("they may not stop after %v: chain %v\n%s", leaveTimeout, c.newest.Chain, c.trace())
		}
	}
	for _, m := range leaving {
		c.stop(m)
	}
	writes := c.writes
	c.run(2 * time.Second)
	if c.failure != "" || c.writes == writes || len(c.newest.Chain) != 2 {
		t.Fatalf("%s, %d writes, chain %v", c.failure, c.writes-writes, c.newest.Chain)
	}
}

// A 412 names a version: it may not be answered before that one is committed, and not at all if it never is.
func TestWaitForUncommittedIndexEndsUnknown(t *testing.T) {
	c := newSimulation(t, 3, 3, injectedBugs{})
	c.noRandomFaults = true
	c.run(800 * time.Millisecond)
	head := c.machines["m0"]
	for _, b := range c.addrs[1:] { // cut off before the write
		c.blockedLinks[[2]string{"m0", b}], c.blockedLinks[[2]string{b, "m0"}] = true, true
	}
	index := head.node.Chain().State().LastIndex + 1
	o := head.node.Write(c.now, 1000, "config", []byte("lost"))
	c.handleReady(head, o)
	o = head.node.Confirm(c.now, 1001, index)
	if len(o.Completed) > 0 {
		t.Fatalf("what is not committed was reported: %+v", o.Completed)
	}
	c.pending[1001] = request{write: true, value: "412", by: "m0"}
	c.run(3 * time.Second)
	c.blockedLinks = map[[2]string]bool{}
	c.run(3 * time.Second)
	if _, waits := c.pending[1001]; waits || c.values[index] == "412" {
		t.Fatalf("waits %v, values %v", waits, c.values)
	}
	for i, a := range c.addrs {
		if e, ok := c.machines[a].node.Chain().LastEntry("config"); !ok || string(e.Value) == "lost" {
			t.Errorf("node %d ends with %s: %s", i, fmt.Sprint(e.Index), e.Value)
		}
	}
}
