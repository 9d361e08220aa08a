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

func unresponsiveStore(d time.Duration) placement.Observations {
	return placement.Observations{
		Generation:    4,
		GenerationAge: time.Minute,
		Unresponsive:  []placement.UnresponsiveStore{{ID: "store", Elapsed: d}},
	}
}

func TestHandoverEncoding(t *testing.T) {
	sent := Message{Kind: msgHeartbeat, Handover: []placement.Observations{unresponsiveStore(1500 * time.Millisecond)}}
	var got Message
	if err := rpc.Decode(rpc.Encode(&sent), &got); err != nil || !reflect.DeepEqual(got.Handover, sent.Handover) {
		t.Fatalf("%+v, %v", got.Handover, err)
	}
}

// After the head stops, its successor uses the head's observations of the stores, and drops them once they are old.
func TestNewHeadInheritsObservations(t *testing.T) {
	c := newSimulation(t, 1, 3, injectedBugs{})
	c.noRandomFaults = true
	c.run(time.Second)
	head, next := c.machines["m0"], c.machines["m1"]
	if !head.node.IsConfirmedHead() {
		t.Fatalf("the first member of the chain is not the confirmed head: %+v", head.node.View())
	}
	want := unresponsiveStore(1500 * time.Millisecond)
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
		t.Errorf("the new head assumes the placement role with observations %+v", core.placementRole.inherited)
	}
	c.run(handoverMaxAge)
	if got := next.node.Handover(); got.Generation != 0 || len(got.Unresponsive) > 0 {
		t.Errorf("expired observations are still returned: %+v", got)
	}
}

// The head sends the other core nodes its observation of a store that does not register, until the store registers
// again.
func TestHeadSendsObservationsOfUnresponsiveStores(t *testing.T) {
	c := newCluster(t, 3)
	registering := []string{"a", "b", "c", "d"}
	received := func() placement.Observations {
		for _, id := range registering {
			one := turnstore.Store{ID: id, Name: id, Addr: id + ":1"}
			_, _ = c.cores[1].handleRegister(t.Context(), &feed.Registration{Store: one})
		}
		var h placement.Observations
		c.cores[2].onLoop(func() { h = c.cores[2].node.Handover() })
		return h
	}
	c.until("all stores are placed", func() bool { return received().Generation > 0 })
	c.until("all stores register", func() bool { return len(received().Unresponsive) == 0 })
	registering = registering[:3]
	c.until("a node that is not the head knows which store is unresponsive", func() bool {
		h := received()
		return len(h.Unresponsive) == 1 && h.Unresponsive[0].ID == "d"
	})
	registering = append(registering, "d")
	c.until("the store registers again", func() bool { return len(received().Unresponsive) == 0 })
}

// A head that no majority confirms does not know whether it still has the placement role, so it sends no observations.
func TestUnconfirmedHeadSendsNoObservations(t *testing.T) {
	c := newSimulation(t, 1, 3, injectedBugs{})
	c.noRandomFaults = true
	c.run(time.Second)
	head := c.machines["m0"].node
	head.SetHandover(unresponsiveStore(time.Second))
	sent := func() (n int) {
		c.now += head.settings.Timings.HeartbeatInterval
		for _, e := range head.Tick(c.now).Messages {
			n += len(e.Handover)
		}
		return n
	}
	if sent() == 0 {
		t.Error("a confirmed head sends no observations")
	}
	for head.IsConfirmedHead() {
		sent()
	}
	if n := sent(); n > 0 {
		t.Errorf("an unconfirmed head sent observations in %d messages", n)
	}
}

// A node that has lost the head's place drops its observations, so that it does not send them if it becomes head again.
func TestObservationsOfEarlierTermAreNotSent(t *testing.T) {
	c := newSimulation(t, 1, 3, injectedBugs{})
	c.noRandomFaults = true
	c.run(time.Second)
	head := c.machines["m0"]
	head.node.SetHandover(unresponsiveStore(time.Second))
	head.frozen = true
	c.run(3 * time.Second)
	c.unfreeze(head)
	c.run(3 * time.Second)
	if head.node.IsConfirmedHead() || head.node.handover.outgoing != nil {
		t.Errorf("confirmed head: %v, outgoing observations: %+v, want neither",
			head.node.IsConfirmedHead(), head.node.handover.outgoing)
	}
}

func TestOnlyNewestHeartbeatOfHeadHandsOver(t *testing.T) {
	c := newSimulation(t, 1, 3, injectedBugs{})
	c.noRandomFaults = true
	c.run(time.Second)
	head, node := c.machines["m0"], c.machines["m1"].node
	view := node.View()
	deliver := func(from *machine, epoch, round int64, elapsed time.Duration) {
		self := from.node.settings.Self
		node.Receive(c.now, Message{
			Kind:              msgHeartbeat,
			From:              self,
			Incarnation:       from.incarnation,
			Epoch:             epoch,
			ConfirmationRound: round,
			Handover:          []placement.Observations{unresponsiveStore(elapsed)},
		})
	}
	requireElapsed := func(what string, want time.Duration) {
		t.Helper()
		if got := node.Handover(); len(got.Unresponsive) != 1 || got.Unresponsive[0].Elapsed != want {
			t.Errorf("after %s: %+v, want %v", what, got, want)
		}
	}
	deliver(head, view.Epoch, 1000, time.Second)
	requireElapsed("the head's heartbeat", time.Second)
	deliver(head, view.Epoch, 999, 2*time.Second)
	requireElapsed("a heartbeat that arrives out of order", time.Second)
	deliver(head, view.Epoch-1, 1001, 2*time.Second)
	requireElapsed("a heartbeat of the previous epoch", time.Second)
	deliver(c.machines["m2"], view.Epoch, 1002, 2*time.Second)
	requireElapsed("a heartbeat from another node", time.Second)
	deliver(head, view.Epoch, 1003, 3*time.Second)
	requireElapsed("the head's next heartbeat", 3*time.Second)
}

func TestPauseResetsInheritedObservations(t *testing.T) {
	d := placementRole{tookOverAt: time.Second, lastTickAt: time.Second, inherited: unresponsiveStore(time.Second)}
	d.tick(time.Second + maxRolePause)
	if len(d.inherited.Unresponsive) != 1 {
		t.Error("the inherited observations are dropped without a pause")
	}
	d.tick(10 * time.Second)
	if len(d.inherited.Unresponsive) > 0 || d.tookOverAt != 10*time.Second {
		t.Errorf("after a pause: %+v", d)
	}
}
