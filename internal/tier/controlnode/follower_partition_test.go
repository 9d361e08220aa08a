package controlnode

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/standin/cutproxy"
	"larchrouter/internal/tier/feed"
)

// configApplyLimit is config_apply_ms: the time within which a follower that reaches some node activates a change. The
// simulations of package feed check it in virtual time. Here a busy machine may delay whole processes, so followers only
// have to catch up during the partition, within waitTimeout; the time that they take is logged next to configApplyLimit.
const configApplyLimit = 2 * time.Second

// preferredSourceLimit is above the 16 s within which a follower that started with another source retries its preferred
// one.
const preferredSourceLimit = 40 * time.Second

// relayedFollower is a follower that reaches each node through a separate relay.
type relayedFollower struct {
	*feed.Follower
	f      *fleet
	relays []*cutproxy.Relay // by node
}

// newRelayedFollower runs a follower whose first source is the given node. The function cut, which may be nil, blocks
// links before the follower starts.
func (f *fleet) newRelayedFollower(first int, seeds []int, cut func(l *relayedFollower)) *relayedFollower {
	f.t.Helper()
	l := &relayedFollower{f: f}
	var routes []string
	for i := range f.n {
		r, err := cutproxy.New(f.peer(i), nil, nil)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(r.Close)
		l.relays = append(l.relays, r)
		routes = append(routes, f.peer(i)+"="+r.Addr())
	}
	if cut != nil {
		cut(l)
	}
	follower, stop := f.startFollowerWithClients(&rpc.Clients{Dial: dialThroughRelays(strings.Join(routes, ","))}, first, seeds...)
	f.t.Cleanup(stop)
	l.Follower = follower
	return l
}

// source returns the node that is followed.
func (l *relayedFollower) source() int {
	for i := range l.f.n {
		if l.f.peer(i) == l.Core() {
			return i
		}
	}
	l.f.t.Fatalf("the follower follows %s, which is not a node", l.Core())
	return 0
}

func (l *relayedFollower) blockLinks(directions []cutproxy.Direction, nodes ...int) {
	for _, i := range nodes {
		for _, d := range directions {
			l.relays[i].Hold(d)
		}
	}
}

// unblockLinks unblocks links. The blocked bytes are delivered, or, with lose, lost with their connection.
func (l *relayedFollower) unblockLinks(lose bool, nodes ...int) {
	for _, i := range nodes {
		if lose {
			l.relays[i].Reset()
		}
		l.relays[i].Release(cutproxy.Forward)
		l.relays[i].Release(cutproxy.Backward)
	}
}

// requireActsOnChange makes a change and requires that the follower acts on it.
func (l *relayedFollower) requireActsOnChange(what string) {
	l.f.t.Helper()
	version := l.f.change(1, l.f.all()...)
	took := l.f.within(waitTimeout, fmt.Sprintf("%s: the follower acts on version %d", what, version), func() bool {
		now := l.Tables().Config
		return now != nil && now.Version >= version
	})
	l.f.t.Logf("%s: acts on a change %v after it was acknowledged, target %v", what, took.Round(time.Millisecond), configApplyLimit)
}

// TestFollowerInOneWayPartitionActsOnChanges runs a follower over sockets whose links are blocked in one or both
// directions: to its source, to each source in turn, to all nodes but one as it starts, and to all nodes until a change
// arrives. It must still act on each change.
func TestFollowerInOneWayPartitionActsOnChanges(t *testing.T) {
	t.Parallel()
	for name, directions := range map[string][]cutproxy.Direction{
		"it receives nothing":           {cutproxy.Backward},
		"nothing that it sends arrives": {cutproxy.Forward},
		"nothing passes":                {cutproxy.Forward, cutproxy.Backward},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, r := newLoggedSeed(t)
			f := newFleet(t, 3, 3)
			first := r.IntN(3)
			l := f.newRelayedFollower(first, f.all(), nil)
			l.requireActsOnChange("all links work")
			f.within(preferredSourceLimit, "it follows its preferred source", func() bool { return l.source() == first })
			for range 3 { // the partition moves from its source to the next
				source := l.source()
				l.blockLinks(directions, source)
				l.requireActsOnChange("its source is partitioned")
				l.blockLinks(directions, allNodesExcept(3, source)[r.IntN(2)])
				l.requireActsOnChange("two of three nodes are partitioned")
				l.unblockLinks(r.IntN(2) == 0, f.all()...)
			}
			one := r.IntN(3)
			second := f.newRelayedFollower(allNodesExcept(3, one)[0], f.all(), func(l *relayedFollower) { l.blockLinks(directions, allNodesExcept(3, one)...) })
			second.requireActsOnChange("it starts and reaches one node of three")
			l.healDuringChange(directions, r.IntN(2) == 0)
			f.requireCaughtUp(f.all()...)
		})
	}
}

// healDuringChange blocks all links for longer than any call lasts, and unblocks them while a change is in flight.
func (l *relayedFollower) healDuringChange(directions []cutproxy.Direction, lose bool) {
	l.f.t.Helper()
	l.blockLinks(directions, l.f.all()...)
	confirmedAt := l.Tables().ConfirmedAt
	for range 3 {
		l.f.change(2, l.f.all()...)
	}
	l.f.until("the follower has missed a poll", func() bool { return time.Since(confirmedAt) > configApplyLimit })
	var joined sync.WaitGroup
	joined.Go(func() { l.unblockLinks(lose, l.f.all()...) })
	l.requireActsOnChange("all links were blocked, and heal as a change arrives")
	joined.Wait()
}

// TestFollowerWhoseSeedIsPartitionedIsServedByOthers: the only node that a starting follower knows is in a one-way
// partition from the other nodes. It tells the follower their addresses, and they serve the follower.
func TestFollowerWhoseSeedIsPartitionedIsServedByOthers(t *testing.T) {
	t.Parallel()
	for name, hold := range map[string]func(f *fleet, i int){
		"the node receives nothing":           (*fleet).blockInbound,
		"nothing that the node sends arrives": (*fleet).blockOutbound,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, r := newLoggedSeed(t)
			f := newFleet(t, 3, 3)
			seed := r.IntN(3)
			hold(f, seed)
			f.change(1, f.allExcept(seed)...)
			l := f.newRelayedFollower(seed, []int{seed}, nil)
			newest, _ := f.hist.newestAcknowledged()
			took := f.within(waitTimeout, "the follower acts on the newest version", func() bool {
				now := l.Tables().Config
				return now != nil && now.Version >= newest
			})
			t.Logf("acts on the newest version %v after its start", took.Round(time.Millisecond))
			f.heal(r.IntN(2) == 0)
			f.requireCaughtUp(f.all()...)
			l.requireActsOnChange("the partition has healed")
		})
	}
}
