package controlnode

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// duty is what the head keeps for the placement of stores; it begins anew with each epoch.
type duty struct {
	epoch  int64
	since  time.Duration
	told   placement.Observations // by the head before
	stores map[string]placement.StoreStatus
	place  *turnstore.Placement // that was seen last
	left   placement.Departures
	gen    int64         // of the placement
	began  time.Duration // when the gen was seen first
	asked  time.Duration
	ticked time.Duration // when the duty was looked at last
	busy   bool          // a placement is being written
}

// pauseOfOwn is how long this node may not have looked at its duty before the silence of stores in that time is no sign of
// theirs: it stood still, or got no processor.
const pauseOfOwn = 400 * time.Millisecond

// tick notes that the duty is looked at. After a pause of this node's own, silence counts from now on, and nothing that was
// measured before it.
func (d *duty) tick(now time.Duration) {
	if now-d.ticked > pauseOfOwn {
		d.since, d.told = now, placement.Observations{}
	}
	d.ticked = now
}

// register is told by stores, again and again; the head keeps it for its duty.
func (c *Core) register(ctx context.Context, r *feed.Registration) (*feed.Empty, error) {
	head, here := "", false
	if !c.do(func() {
		if here = c.node.Head(); !here {
			head = c.node.HeadAddr()
			return
		}
		c.takeDuty()
		placement.Register(c.duty.stores, placement.Registration{Store: r.Store, Generation: r.Generation, SweptGeneration: r.SweptGeneration, Full: r.Full}, c.now(), c.placementTimings())
	}) {
		return nil, errors.New("this node stops: ask another")
	}
	if here {
		return &feed.Empty{}, nil
	}
	if r.Forwarded {
		return nil, errNoHead
	}
	r.Forwarded = true
	return forward[feed.Registration, feed.Empty](ctx, c, head, feed.RegisterCall, r)
}

// takeDuty begins the duties anew where the epoch has changed. It runs in the loop.
func (c *Core) takeDuty() {
	if e := c.node.View().Epoch; c.duty.epoch != e {
		stores := c.duty.stores
		if stores == nil || c.duty.epoch == 0 || !c.wasHead(e) {
			stores = map[string]placement.StoreStatus{}
			c.duty = duty{since: c.now(), told: c.node.Handover(), left: placement.Departures{}, ticked: c.now()}
		}
		c.duty.epoch, c.duty.stores, c.duty.busy = e, stores, false
	}
}

// fullStores names the stores that have told that their disks have little room. Only the head knows; it runs in the loop.
func (c *Core) fullStores() (names []string) {
	if !c.node.Head() {
		return nil
	}
	for _, r := range c.duty.stores {
		if r.Full && c.now()-r.LastSeen < c.placementTimings().RemovalTimeout {
			names = append(names, r.Store.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Core) placementTimings() placement.Timings {
	return placement.DefaultTimings(c.set.TimingBound("contact_ms", 3*time.Second))
}

// wasHead tells whether this node held the duties in the epoch before as well, so that what it knows still counts.
func (c *Core) wasHead(epoch int64) bool { return c.duty.epoch == epoch-1 }

// plan does the duty of placement. It runs in the loop.
func (c *Core) plan() {
	now := c.now()
	c.duty.tick(now)
	if !c.node.Head() {
		return
	}
	c.takeDuty()
	if c.duty.busy || now-c.duty.asked < planEvery {
		return
	}
	c.duty.asked = now
	s := c.situation(now)
	c.node.SetHandover(s.Observe(c.placementTimings()))
	if lost := placement.LostWhileRetiring(s); len(lost) > 0 {
		c.log.Info("a store that is emptied lost its disk: the order goes on", "store", lost[0].Name, "id", lost[0].ID)
		c.writeDuty(orders.RetireKey(lost[0].Name, lost[0].ID), rpc.Encode(&feed.RetireEntry{ID: lost[0].ID}))
		return
	}
	if next := placement.Plan(s, c.placementTimings()); next != nil {
		c.log.Info("placement", "gen", next.Generation, "old", len(next.Old), "new", len(next.New))
		c.writeDuty(feed.PlacementKey, rpc.Encode(next))
	}
}

// situation is what the head knows of stores at a time. It runs in the loop.
func (c *Core) situation(now time.Duration) placement.Input {
	s := placement.Input{Now: now, TookOverAt: c.duty.since, Inherited: c.duty.told, FaultTolerance: c.set.FaultTolerance(), Stores: c.duty.stores, Retired: map[string]bool{}}
	for _, e := range c.node.Chain().State().Entries {
		switch {
		case e.Key == feed.PlacementKey:
			p := new(turnstore.Placement)
			if rpc.Decode(e.Value, p) == nil {
				s.Current = p // the last one, committed or not
			}
		case len(e.Key) > len(feed.RetirePrefix) && e.Key[:len(feed.RetirePrefix)] == feed.RetirePrefix:
			var r feed.RetireEntry
			if rpc.Decode(e.Value, &r) == nil {
				s.Retired[r.ID] = true
			}
		}
	}
	if s.Current != nil && s.Current.Generation != c.duty.gen {
		c.duty.gen, c.duty.began = s.Current.Generation, c.duty.told.GenerationSince(s.Current.Generation, now)
	}
	s.GenerationSince = c.duty.began
	c.duty.left.Record(c.duty.place, s.Current, s.Retired, now)
	s.Departures, c.duty.place = c.duty.left, s.Current
	return s
}

// handover is what is known of the stores that are late: at the head what it measures, elsewhere what the head has told. It
// runs in the loop.
func (c *Core) handover() placement.Observations {
	if !c.node.Head() {
		return c.node.Handover()
	}
	c.takeDuty()
	s := c.situation(c.now())
	return s.Observe(c.placementTimings())
}

// writeDuty writes an entry for the duty; nothing is planned until that has ended. It runs in the loop.
func (c *Core) writeDuty(key string, value []byte) {
	c.duty.busy = true
	ch := make(chan Done, 1)
	token := c.newToken(c.ctx, ch)
	epoch := c.duty.epoch
	c.add(c.node.Write(c.now(), token, key, value))
	c.wg.Go(func() {
		select {
		case <-ch:
		case <-c.ctx.Done():
			return
		}
		c.do(func() {
			if c.duty.epoch == epoch {
				c.duty.busy = false
			}
		})
	})
}

// askPlatform does the duty of asking the platform's list.
func (c *Core) askPlatform() {
	asker := discovery.NewClient(c.set.Platform.Address)
	defer asker.Close()
	var last *discovery.List
	for c.ctx.Err() == nil {
		if !c.head.Load() || c.set.Platform.Address == "" {
			last = nil
			c.wait(tickEvery)
			continue
		}
		began := time.Now()
		hosts, err := asker.FetchHosts(c.ctx)
		if err != nil {
			c.log.Debug("the platform's list was not told", "err", err)
			c.wait(askEvery / 3)
			continue
		}
		if last == nil || !slices.EqualFunc(last.Hosts, hosts, discovery.Host.Equal) {
			next := &discovery.List{Hosts: hosts}
			c.do(func() {
				if !c.node.Head() {
					return
				}
				next.Term = c.node.View().Epoch
				next.Number = discovery.NextNumber(next.Term, c.life, c.node.Hosts())
				c.add(c.node.Publish(c.now(), next))
				last = next
			})
		}
		c.wait(askEvery - time.Since(began))
	}
}
