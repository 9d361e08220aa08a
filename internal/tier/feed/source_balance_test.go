package feed

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	followerCount = 60
	coreCount     = 5
)

// largestGroup returns the largest number of followers of any node, and the number for each node.
func (s *linkSimulation) largestGroup() (largest int, bySource map[string]int) {
	bySource = map[string]int{}
	for _, f := range s.followers {
		bySource[f.Core()]++
	}
	for _, n := range bySource {
		largest = max(largest, n)
	}
	return largest, bySource
}

// Followers don't concentrate on one node while others can be reached: not when they start together, not after their
// node was partitioned, and not after one node had to serve all of them. No node is overloaded with calls meanwhile.
func TestFollowersStayBalancedAfterPartitions(t *testing.T) {
	for name, directions := range map[string][]direction{
		"responses cut": {responses},
		"requests cut":  {requests},
		"both cut":      {requests, responses},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				sim := newLinkSimulation(ctx, 1, coreCount, "")
				sim.startFollowers()
				time.Sleep(time.Second)
				sim.checkBalance(t, "at the start", coreCount)
				sim.checkIdleCalls(t)
				sim.setPartition(directions, sim.nodes[0])
				time.Sleep(applyTime)
				sim.checkBalance(t, "without one node", coreCount-1)
				sim.setPartition(directions, sim.nodes[1:]...)
				sim.takeCallCounts()
				time.Sleep(10 * time.Second)
				for addr, n := range sim.takeCallCounts() {
					if maxCalls := followerCount * 10 * 3; n > maxCalls {
						t.Errorf("%s was called %d times in 10 s by %d followers, want %d at most", addr, n, followerCount, maxCalls)
					}
				}
				sim.setPartition(directions, sim.nodes[:4]...)
				time.Sleep(contactTime + applyTime)
				if largest, bySource := sim.largestGroup(); largest != followerCount {
					t.Errorf("the only reachable node has %d of %d followers: %v", bySource[sim.nodes[4].addr], followerCount, bySource)
				}
				sim.setPartition(directions)
				time.Sleep(2*failbackInterval + time.Second)
				sim.checkBalance(t, "once all can be reached again", coreCount)
				stop()
				sim.wg.Wait()
			})
		})
	}
}

// takeCallCounts returns the number of calls to each node, and resets it.
func (s *linkSimulation) takeCallCounts() (calls map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, s.callCounts = s.callCounts, map[string]int{}
	return calls
}

// checkIdleCalls fails if followers of confirmed sources make more calls than their long polls.
func (s *linkSimulation) checkIdleCalls(t *testing.T) {
	t.Helper()
	s.takeCallCounts()
	time.Sleep(10 * time.Second)
	total := 0
	for _, n := range s.takeCallCounts() {
		total += n
	}
	if polls := int(10 * time.Second / pollWait); total > followerCount*(polls+1) {
		t.Errorf("%d followers make %d calls in 10 s without changes, want %d each at most", followerCount, total, polls+1)
	}
}

// startFollowers starts followerCount followers at the same time.
func (s *linkSimulation) startFollowers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var seeds []string
	for _, n := range s.nodes {
		seeds = append(seeds, strings.TrimSuffix(n.addr, ":7000"))
	}
	for range followerCount {
		s.start(seeds)
	}
}

// setPartition cuts directions of the links between all followers and some nodes, and restores all other links.
func (s *linkSimulation) setPartition(directions []direction, nodes ...*simulatedCore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, follower := range s.followers {
		for _, node := range s.nodes {
			follower.setLink(node.addr, false, requests, responses)
			if slices.Contains(nodes, node) {
				follower.setLink(node.addr, true, directions...)
			}
		}
	}
	s.updateLocked()
}

// checkBalance fails if a node has more than twice its fair share of the followers.
func (s *linkSimulation) checkBalance(t *testing.T, when string, nodes int) {
	t.Helper()
	if largest, bySource := s.largestGroup(); largest > 2*followerCount/nodes {
		t.Errorf("%s: one of %d nodes has %d of %d followers: %v", when, nodes, largest, followerCount, bySource)
	}
}
