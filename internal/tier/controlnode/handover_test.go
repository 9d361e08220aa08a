package controlnode

import (
	"reflect"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

func silentFor(d time.Duration) placement.Observations {
	return placement.Observations{Generation: 4, GenerationAge: time.Minute, Unresponsive: []placement.UnresponsiveStore{{ID: "store", Elapsed: d}}}
}

func TestHandoverPassesBetweenNodes(t *testing.T) {
	sent := Message{Kind: msgHeartbeat, Handover: []placement.Observations{silentFor(1500 * time.Millisecond)}}
	var got Message
	if err := rpc.Decode(rpc.Encode(&sent), &got); err != nil || !reflect.DeepEqual(got.Handover, sent.Handover) {
		t.Fatalf("%+v, %v", got.Handover, err)
	}
}

// A head stops; the one that takes over has what was measured of the stores, and forgets it once it is old.
func TestANewHeadHasWhatTheOneBeforeItHasMeasured(t *testing.T) {
	c := newCourse(t, 1, 3, planted{})
	c.quiet = true
	c.run(time.Second)
	head, next := c.machines["m0"], c.machines["m1"]
	if !head.node.IsConfirmedHead() {
		t.Fatalf("the first of the chain does not lead: %+v", head.node.View())
	}
	want := silentFor(1500 * time.Millisecond)
	head.node.SetHandover(want)
	c.run(400 * time.Millisecond)
	c.stop(head)
	stopped := c.now
	for !next.node.IsConfirmedHead() && c.now-stopped < 5*time.Second {
		c.step()
	}
	if got := next.node.Handover(); !next.node.IsConfirmedHead() || !reflect.DeepEqual(got, want) {
		t.Errorf("%v after the head stopped: %+v", c.now-stopped, got)
	}
	core := &Server{node: next.node, startedAt: time.Now()}
	core.assumePlacementRole()
	if !reflect.DeepEqual(core.placementRole.inherited, want) {
		t.Errorf("it takes the duty with %+v", core.placementRole.inherited)
	}
	c.run(handoverMaxAge)
	if got := next.node.Handover(); got.Generation != 0 || len(got.Unresponsive) > 0 {
		t.Errorf("what was told long ago still counts: %+v", got)
	}
}

// The other core nodes hear of a store that is late, and no more of it once it registers again.
func TestTheHeadTellsWhichStoresAreSilent(t *testing.T) {
	c := newCluster(t, 3)
	registering := []string{"a", "b", "c", "d"}
	told := func() placement.Observations {
		for _, id := range registering {
			one := turnstore.Store{ID: id, Name: id, Addr: id + ":1"}
			_, _ = c.cores[1].handleRegister(t.Context(), &feed.Registration{Store: one})
		}
		var h placement.Observations
		c.cores[2].onLoop(func() { h = c.cores[2].node.Handover() })
		return h
	}
	c.until("all stores are placed", func() bool { return told().Generation > 0 })
	c.until("all stores are heard", func() bool { return len(told().Unresponsive) == 0 })
	registering = registering[:3]
	c.until("a node that does not lead knows which store is silent", func() bool {
		h := told()
		return len(h.Unresponsive) == 1 && h.Unresponsive[0].ID == "d"
	})
	registering = append(registering, "d")
	c.until("the store is heard again", func() bool { return len(told().Unresponsive) == 0 })
}

// A node that no majority confirms does not know whether it still holds the duty.
func TestAHeadThatIsNotConfirmedHandsNothingOver(t *testing.T) {
	c := newCourse(t, 1, 3, planted{})
	c.quiet = true
	c.run(time.Second)
	head := c.machines["m0"].node
	head.SetHandover(silentFor(time.Second))
	told := func() (n int) {
		c.now += head.settings.Timings.HeartbeatInterval
		for _, e := range head.Tick(c.now).Messages {
			n += len(e.Handover)
		}
		return n
	}
	if told() == 0 {
		t.Error("a head that is confirmed tells nothing")
	}
	for head.IsConfirmedHead() {
		told()
	}
	if n := told(); n > 0 {
		t.Errorf("told %d times", n)
	}
}

// A node that led once tells nothing of that time when it leads again.
func TestWhatAnEarlierReignMeasuredIsNotTold(t *testing.T) {
	c := newCourse(t, 1, 3, planted{})
	c.quiet = true
	c.run(time.Second)
	head := c.machines["m0"]
	head.node.SetHandover(silentFor(time.Second))
	head.frozen = true
	c.run(3 * time.Second)
	c.thaw(head)
	c.run(3 * time.Second)
	if head.node.IsConfirmedHead() || head.node.handover.outgoing != nil {
		t.Errorf("leads %v, tells %+v", head.node.IsConfirmedHead(), head.node.handover.outgoing)
	}
}

func TestOnlyTheHeadsNewestHeartbeatHandsOver(t *testing.T) {
	c := newCourse(t, 1, 3, planted{})
	c.quiet = true
	c.run(time.Second)
	head, node := c.machines["m0"], c.machines["m1"].node
	view := node.View()
	tell := func(from *machine, epoch, round int64, silence time.Duration) {
		self := from.node.settings.Self
		node.Receive(c.now, Message{Kind: msgHeartbeat, From: self, Incarnation: from.life, Epoch: epoch, ConfirmationRound: round, Handover: []placement.Observations{silentFor(silence)}})
	}
	holds := func(what string, want time.Duration) {
		t.Helper()
		if got := node.Handover(); len(got.Unresponsive) != 1 || got.Unresponsive[0].Elapsed != want {
			t.Errorf("%s: %+v, wanted %v", what, got, want)
		}
	}
	tell(head, view.Epoch, 1000, time.Second)
	holds("the head's heartbeat", time.Second)
	tell(head, view.Epoch, 999, 2*time.Second)
	holds("one that comes late", time.Second)
	tell(head, view.Epoch-1, 1001, 2*time.Second)
	holds("one of the epoch before", time.Second)
	tell(c.machines["m2"], view.Epoch, 1002, 2*time.Second)
	holds("one of another node", time.Second)
	tell(head, view.Epoch, 1003, 3*time.Second)
	holds("the head's next", 3*time.Second)
}

func TestAfterAPauseNothingCountsThatWasMeasuredBefore(t *testing.T) {
	d := placementRole{tookOverAt: time.Second, lastTickAt: time.Second, inherited: silentFor(time.Second)}
	d.tick(time.Second + maxRolePause)
	if len(d.inherited.Unresponsive) != 1 {
		t.Error("forgotten without a pause")
	}
	d.tick(10 * time.Second)
	if len(d.inherited.Unresponsive) > 0 || d.tookOverAt != 10*time.Second {
		t.Errorf("%+v", d)
	}
}
