package feed

import (
	"context"
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// setLink cuts or restores directions of a link. The caller holds the lock.
func (f *simulatedFollower) setLink(addr string, cut bool, directions ...direction) {
	for _, d := range directions {
		f.links[addr].cut[d] = cut
	}
	f.sim.logf("%s and %s: requests cut %v, responses cut %v", f.name, addr,
		f.links[addr].cut[requests], f.links[addr].cut[responses])
}

// randomDirections returns one direction, or both.
func (s *linkSimulation) randomDirections() []direction {
	return [][]direction{{requests}, {responses}, {requests, responses}}[s.rand.IntN(3)]
}

// applyRandomEvent applies one random event. The caller holds the lock.
func (s *linkSimulation) applyRandomEvent() {
	follower := s.followers[s.rand.IntN(len(s.followers))]
	node := s.nodes[s.rand.IntN(len(s.nodes))]
	switch s.rand.IntN(9) {
	case 0, 1: // cut the link to the source just before a change is committed
		follower.setLink(follower.Core(), true, s.randomDirections()...)
		s.updateLocked()
		s.commitLocked()
	case 2: // cut all links but one
		directions := s.randomDirections()
		for _, other := range s.nodes {
			follower.setLink(other.addr, other != node, directions...)
		}
		follower.setLink(node.addr, false, requests, responses)
	case 3: // cut all links
		for _, other := range s.nodes {
			follower.setLink(other.addr, true, s.randomDirections()...)
		}
	case 4: // cut the link to the source, restore the one to the next
		next := follower.nextSource()
		follower.setLink(follower.Core(), true, s.randomDirections()...)
		follower.setLink(next, false, requests, responses)
	case 5: // restore all links just before a change is committed
		for _, other := range s.nodes {
			follower.setLink(other.addr, false, requests, responses)
		}
		s.updateLocked()
		s.commitLocked()
	case 6: // isolate a node, or end that
		node.isolated = !node.isolated
		s.logf("%s isolated: %v", node.addr, node.isolated)
		s.updateLocked()
	case 7: // start a follower that knows only some nodes
		if len(s.followers) < 6 {
			s.start(s.randomSeeds())
		}
	case 8: // commit a change
		s.commitLocked()
	}
	s.updateLocked()
}

// nextSource returns the node after the follower's source in its order.
func (f *simulatedFollower) nextSource() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.next(f.sources.current())
}

// randomSeeds returns some nodes, or, half of the time if there are any, exactly the isolated ones.
func (s *linkSimulation) randomSeeds() (seeds []string) {
	for _, n := range s.nodes {
		if n.isolated {
			seeds = append(seeds, strings.TrimSuffix(n.addr, ":7000"))
		}
	}
	if len(seeds) > 0 && s.rand.IntN(2) == 0 {
		return seeds
	}
	seeds = nil
	for _, i := range s.rand.Perm(len(s.nodes))[:min(3, len(s.nodes))] {
		seeds = append(seeds, strings.TrimSuffix(s.nodes[i].addr, ":7000"))
	}
	return seeds
}

// runLinkSimulation runs a simulation with the given number of random events and returns it.
func runLinkSimulation(t *testing.T, seed uint64, steps int, fault linkFault) (sim *linkSimulation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(seed, 1))
		sim = newLinkSimulation(ctx, seed, 3+random.IntN(6), fault)
		sim.mu.Lock()
		for range 2 {
			sim.start(sim.randomSeeds())
		}
		sim.mu.Unlock()
		for range steps {
			interval := []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second}[random.IntN(3)]
			time.Sleep(interval + time.Duration(random.IntN(500))*time.Millisecond)
			sim.mu.Lock()
			sim.applyRandomEvent()
			sim.mu.Unlock()
		}
		time.Sleep(applyTime + time.Second)
		stop()
		sim.wg.Wait()
	})
	return sim
}

const (
	linkSimulationSteps     = 40
	maxLinkFaultSimulations = 200 // at most, until a planted fault is found
)

var linkSimulations = flag.Uint64("oneway", 40, "random simulations of followers with one-way partitions")

func TestFollowersApplyChangesDespiteOneWayPartitions(t *testing.T) {
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	checked := 0
	for seed := base; seed < base+*linkSimulations; seed++ {
		sim := runLinkSimulation(t, seed, linkSimulationSteps, "")
		checked += sim.checkedCount
		if len(sim.failures) > 0 {
			t.Fatalf("seed %d, %d nodes: %s\n%s", seed, len(sim.nodes), sim.failures[0], strings.Join(sim.events, "\n"))
		}
	}
	t.Logf("%d simulations, %d checks that a follower that could reach a node applied a change in time",
		*linkSimulations, checked)
	if checked < int(*linkSimulations)*10 {
		t.Errorf("only %d checks of a follower that could reach a node", checked)
	}
}

func TestLinkSimulationFindsPlantedFaults(t *testing.T) {
	for _, fault := range []linkFault{neverFailsOver, callsWithoutTimeout, staleIsConfirmed, membersNotSent} {
		t.Run(string(fault), func(t *testing.T) {
			for seed := range uint64(maxLinkFaultSimulations) {
				if sim := runLinkSimulation(t, seed, linkSimulationSteps, fault); len(sim.failures) > 0 {
					t.Logf("seed %d: %s", seed, sim.failures[0])
					return
				}
			}
			t.Fatalf("planted fault not found in %d simulations", maxLinkFaultSimulations)
		})
	}
}
