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

// applyTime is config_apply_ms: within it a follower that is in touch with some node acts on a change. That it does is judged
// in virtual time, by the simulations of package feed. Here, where a busy machine keeps whole processes back, the followers
// have to catch up while the partition lasts, within waitTimeout; a follower that takes longer than applyTime is logged.
const applyTime = 2 * time.Second

// homeLimit is more than the 16 s in which a follower that began elsewhere tries to follow the first of its own order.
const homeLimit = 40 * time.Second

// linkedFollower is a follower that reaches each node through a relay of its own.
type linkedFollower struct {
	*feed.Follower
	f      *fleet
	relays []*cutproxy.Relay // by node
}

// linked runs a follower whose first source is a node, with its links cut as set before it starts; cut may be nil.
func (f *fleet) linked(first int, seeds []int, cut func(l *linkedFollower)) *linkedFollower {
	f.t.Helper()
	l := &linkedFollower{f: f}
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

// node is the one that is followed.
func (l *linkedFollower) node() int {
	for i := range l.f.n {
		if l.f.peer(i) == l.Core() {
			return i
		}
	}
	l.f.t.Fatalf("it follows %s, which is no node", l.Core())
	return 0
}

func (l *linkedFollower) hold(directions []cutproxy.Direction, nodes ...int) {
	for _, i := range nodes {
		for _, d := range directions {
			l.relays[i].Hold(d)
		}
	}
}

// release unblocks links; what was blocked is delivered, or lost with its connection.
func (l *linkedFollower) release(lose bool, nodes ...int) {
	for _, i := range nodes {
		if lose {
			l.relays[i].Reset()
		}
		l.relays[i].Release(cutproxy.Forward)
		l.relays[i].Release(cutproxy.Backward)
	}
}

// acts has a change acknowledged, and the follower act on it.
func (l *linkedFollower) acts(what string) {
	l.f.t.Helper()
	version := l.f.change(1, l.f.all()...)
	took := l.f.within(waitTimeout, fmt.Sprintf("%s: the follower acts on version %d", what, version), func() bool {
		now := l.Tables().Config
		return now != nil && now.Version >= version
	})
	l.f.t.Logf("%s: acts on a change %v after it was acknowledged, wanted within %v", what, took.Round(time.Millisecond), applyTime)
}

// TestFollowerInOneWayPartition: on sockets, a follower that receives nothing, or whose messages are lost,
// of its source, of one after the other, of all but one as it starts, and of all until a change arrives.
func TestFollowerInOneWayPartition(t *testing.T) {
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
			l := f.linked(first, f.all(), nil)
			l.acts("all links work")
			f.within(homeLimit, "it follows the first of its own order", func() bool { return l.node() == first })
			for range 3 { // the cut moves from its source to the next
				source := l.node()
				l.hold(directions, source)
				l.acts("its source is cut off")
				l.hold(directions, allNodesExcept(3, source)[r.IntN(2)])
				l.acts("two of three are cut off")
				l.release(r.IntN(2) == 0, f.all()...)
			}
			one := r.IntN(3)
			second := f.linked(allNodesExcept(3, one)[0], f.all(), func(l *linkedFollower) { l.hold(directions, allNodesExcept(3, one)...) })
			second.acts("it starts and reaches one of three")
			l.cutEndsAsAChangeArrives(directions, r.IntN(2) == 0)
			f.requireCaughtUp(f.all()...)
		})
	}
}

// cutEndsAsAChangeArrives cuts all links for longer than any call lasts, and joins them as a change is under way.
func (l *linkedFollower) cutEndsAsAChangeArrives(directions []cutproxy.Direction, lose bool) {
	l.f.t.Helper()
	l.hold(directions, l.f.all()...)
	confirmedAt := l.Tables().ConfirmedAt
	for range 3 {
		l.f.change(2, l.f.all()...)
	}
	l.f.until("the follower has missed a poll", func() bool { return time.Since(confirmedAt) > applyTime })
	var joined sync.WaitGroup
	joined.Go(func() { l.release(lose, l.f.all()...) })
	l.acts("all were cut off, and are joined as a change arrives")
	joined.Wait()
}

// TestFollowerWhoseSeedsArePartitioned: the only node that a starting follower knows is partitioned from the others in one
// way; it names them, and they feed the follower.
func TestFollowerWhoseSeedsArePartitioned(t *testing.T) {
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
			l := f.linked(seed, []int{seed}, nil)
			newest, _ := f.hist.newest()
			took := f.within(waitTimeout, "the follower acts on what is newest", func() bool {
				now := l.Tables().Config
				return now != nil && now.Version >= newest
			})
			t.Logf("acts on what is newest %v after its start", took.Round(time.Millisecond))
			f.heal(r.IntN(2) == 0)
			f.requireCaughtUp(f.all()...)
			l.acts("the nodes are joined again")
		})
	}
}
