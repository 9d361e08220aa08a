package controlnode

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"
)

// runTimeline runs a scenario of faults and checks its expectations. A timeline has a column for each core node. Each
// line applies until its time in ms, and has a mark for each node:
//
//	.    it runs
//	x    it is down, its disk is kept
//	#    it is down, its disk is lost
//	z    it is frozen
//	|    it is partitioned from the others
//	>    messages that it sends are lost (a one-way partition)
//	<    messages that are sent to it are lost
//	-    it was shut down gracefully
//
// The expectations follow the bar: "w" if writes were acknowledged in that time, "-" if none were, "?" for either; then
// the chain as the first running and fresh node sees it (letters in the order of the chain), "*" for any.
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
					m.disk, m.id = simulatedDisk{}, c.newID()
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
			t.Fatalf("until %s ms: writes acknowledged: %v, want %s\n%s", f[0], wrote, want[0], c.trace())
		}
		if want[1] != "*" && want[1] != chain {
			t.Fatalf("until %s ms: the chain is %q, want %q\n%s", f[0], chain, want[1], c.trace())
		}
	}
}

func TestTimelines(t *testing.T) {
	for name, one := range map[string]struct {
		n    int
		line string
	}{
		"bootstrap of three seeds, and a fourth node joins": {4, `
			600   . . . .   | w abcd`},
		"a seed crashes in the first second": {3, `
			100   . . .   | ? abc
			1500  . x .   | w ac
			2500  . . .   | w acb`},
		"only two of three seeds run at first": {3, `
			900   . . x   | ? *
			2500  . . x   | w ab
			3500  . . .   | w abc`},
		"the tail in a one-way partition: its messages are lost": {4, `
			800   . . . .   | w abcd
			2400  . . . >   | w abc
			3600  . . . .   | w abcd`},
		"the tail in a one-way partition: it receives nothing": {4, `
			800   . . . .   | w abcd
			2700  . . . <   | w abc
			4600  . . . .   | w abcd`},
		"the head receives nothing": {4, `
			800   . . . .   | w abcd
			2700  < . . .   | w bcd
			4600  . . . .   | w bcda`},
		"the messages of the head are lost": {4, `
			800   . . . .   | w abcd
			2700  > . . .   | w bcd
			4600  . . . .   | w bcda`},
		"the head freezes during writes, and resumes": {4, `
			800   . . . .   | w abcd
			2600  z . . .   | w bcd
			4500  . . . .   | w bcda`},
		"the head is partitioned from all others": {4, `
			800   . . . .   | w abcd
			1300  | . . .   | ? *
			3000  | . . .   | w bcd
			4200  . . . .   | w bcda`},
		"partitioned into halves, the nodes wait for a majority": {4, `
			800   . . . .   | w abcd
			1000  | | . .   | ? *
			4000  | | . .   | - *
			6500  . . . .   | w *`},
		"a wiped machine at its old address joins as a new member": {4, `
			800   . . . .   | w abcd
			2200  . # . .   | w acd
			3500  . . . .   | w acdb`},
		"a machine is replaced, then another is down": {5, `
			800   . . . . .   | w abcde
			2600  . # . . .   | w acde
			5000  . . . . .   | w acdeb
			7000  . . x . .   | w adeb
			9000  . . . . .   | w adebc`},
		"power loss of all": {4, `
			800   . . . .   | w abcd
			1600  x x x x   | - *
			3000  . . . .   | w *`},
		"power loss of all, which restart one by one within half a second": {4, `
			800   . . . .   | w abcd
			1600  x x x x   | - *
			1750  . x x x   | - *
			1900  . . x x   | - *
			2050  . . . x   | ? *
			3000  . . . .   | w abcd`},
		"power loss of all, with a lost disk": {4, `
			800   . . . .   | w abcd
			1600  x x # x   | - *
			4500  . . . .   | w *`},
		"graceful shutdown of the head: no wait for a failure suspicion": {4, `
			800   . . . .   | w abcd
			1200  - . . .   | w bcd
			2500  . . . .   | w bcda`},
		"the successor crashes as it becomes the head": {4, `
			800   . . . .   | w abcd
			810   - . . .   | ? *
			2600  x x . .   | ? *
			5500  x . . .   | w *
			7500  . . . .   | w *`},
		"two repairs at once: one node crashes as another returns": {5, `
			800   . . . . .   | w abcde
			2400  . x . . .   | w acde
			2450  . . . . .   | ? *
			4800  . . x . .   | w *
			6500  . . . . .   | w *`},
		"three nodes fail one by one, each with time to catch up": {4, `
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

// A chain keeps its configured length, and voters outside it are learners that replace lost members.
func TestShortChainTimelines(t *testing.T) {
	for name, one := range map[string]struct {
		n    int
		line string
	}{
		"a full chain accepts no further members": {5, `
			1500  . . . . .   | w abc`},
		"a learner replaces a lost member, and stays in the chain": {5, `
			1200  . . . . .   | w abc
			2800  . x . . .   | w acd
			5500  . . . . .   | w acd`},
		"learners that stop and restart cause no view change": {5, `
			1200  . . . . .   | w abc
			1500  . . . x .   | w abc
			1800  . . . . x   | w abc
			2100  . . . x .   | w abc
			4000  . . . . .   | w abc`},
		"two members are lost one by one": {8, `
			1500  . . . . . . . .   | w abc
			3000  x . . . . . . .   | w bcd
			3100  x . x . . . . .   | ? *
			5000  x . x . . . . .   | w bde
			8000  . . . . . . . .   | w bde`},
		"a member that crashes and restarts before it is suspected becomes a learner after its second restart": {5, `
			1200  . . . . .   | w abc
			1500  . x . . .   | - *
			2000  . . . . .   | w abc
			2300  . x . . .   | - *
			2800  . . . . .   | w acd
			3700  . x . . .   | w acd
			4300  . . . . .   | w acd
			9000  . . . . .   | w acd`},
		"a single restart does not remove a member": {5, `
			1200  . . . . .   | w abc
			1500  . . x . .   | - *
			9000  . . . . .   | w abc
			9300  . . x . .   | - *
			12000 . . . . .   | w abc`},
		"all restart repeatedly: no member is removed": {4, `
			1200  . . . .   | w abc
			1700  x x x x   | - *
			2500  . . . .   | w abc
			3000  x x x x   | - *
			3900  . . . .   | w abc
			4400  x x x x   | - *
			5200  . . . .   | w abc`},
		"the tail receives nothing: a learner replaces it": {5, `
			1200  . . . . .   | w abc
			3200  . . < . .   | w abd
			5000  . . . . .   | w abd`},
		"power loss of all, and the tail loses its disk": {5, `
			1200  . . . . .   | w abc
			1600  x x # x x   | - *
			4500  . . . . .   | w *`},
		"all but the last member of the chain are down for a while": {5, `
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

// Learners serve followers as members of the chain do, and have a commit within 60 ms.
func TestLearnersServeFollowers(t *testing.T) {
	c := newSimulationWith(t, 1, 8, 1, ChainLength(1), injectedBugs{})
	c.noRandomFaults = true
	c.run(1500 * time.Millisecond)
	for _, a := range c.addrs[3:] {
		node := c.machines[a].node
		if !node.isVotingLearner() || !node.Fresh() {
			t.Fatalf("%s: learner: %v, fresh: %v, want both", a, node.isVotingLearner(), node.Fresh())
		}
	}
	head := c.machines["m0"]
	index := head.node.Chain().State().LastIndex + 1
	c.handleReady(head, head.node.Write(c.now, 1000, "config", []byte("new")))
	c.run(60 * time.Millisecond) // three hops to the tail and one to each learner, each 6 ms at most
	for _, a := range c.addrs {
		if commit := c.machines[a].node.Chain().State().Commit; commit < index {
			t.Errorf("%s has committed up to index %d, want %d", a, commit, index)
		}
	}
}

// Two of the three members of a chain shut down at the same time: a learner joins the chain and is complete before they
// stop, within 1.5 s.
func TestMembersOfShortChainCanLeaveTogether(t *testing.T) {
	c := newSimulationWith(t, 1, 4, 1, ChainLength(1), injectedBugs{})
	c.noRandomFaults = true
	c.run(1500 * time.Millisecond)
	leaving := []*machine{c.machines["m0"], c.machines["m1"]}
	for _, m := range leaving {
		c.handleReady(m, m.node.StartLeaving(c.now))
	}
	const limit = 1500 * time.Millisecond
	began := c.now
	for !leaving[0].node.CanStop() || !leaving[1].node.CanStop() {
		if c.step(); c.now-began > limit {
			t.Fatalf("the leaving nodes may still not stop after %v: chain %v\n%s", limit, c.newest.Chain, c.trace())
		}
	}
	for _, m := range leaving {
		c.stop(m)
	}
	writes := c.writes
	c.run(2 * time.Second)
	if c.failure != "" || c.writes == writes || len(c.newest.Chain) != 2 {
		t.Fatalf("failure %q, %d writes, chain %v", c.failure, c.writes-writes, c.newest.Chain)
	}
}

// A 412 refers to a version: it must not be sent before that version is committed, and never if the version is lost.
func TestWaitForUncommittedIndexEndsUnknown(t *testing.T) {
	c := newSimulation(t, 3, 3, injectedBugs{})
	c.noRandomFaults = true
	c.run(800 * time.Millisecond)
	head := c.machines["m0"]
	for _, b := range c.addrs[1:] { // the head is partitioned before the write
		c.blockedLinks[[2]string{"m0", b}], c.blockedLinks[[2]string{b, "m0"}] = true, true
	}
	index := head.node.Chain().State().LastIndex + 1
	o := head.node.Write(c.now, 1000, "config", []byte("lost"))
	c.handleReady(head, o)
	o = head.node.Confirm(c.now, 1001, index)
	if len(o.Completed) > 0 {
		t.Fatalf("completed before the index was committed: %+v", o.Completed)
	}
	c.pending[1001] = request{write: true, value: "412", by: "m0"}
	c.run(3 * time.Second)
	c.blockedLinks = map[[2]string]bool{}
	c.run(3 * time.Second)
	if _, pending := c.pending[1001]; pending || c.values[index] == "412" {
		t.Fatalf("still pending: %v, acknowledged values: %v", pending, c.values)
	}
	for i, a := range c.addrs {
		if e, ok := c.machines[a].node.Chain().LastEntry("config"); !ok || string(e.Value) == "lost" {
			t.Errorf("node %d ends with index %s: %s", i, fmt.Sprint(e.Index), e.Value)
		}
	}
}
