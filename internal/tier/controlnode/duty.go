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

// placementRole is what the head keeps for the placement of stores; it begins anew with each epoch.
type placementRole struct {
	epoch           int64
	tookOverAt      time.Duration
	inherited       placement.Observations // by the head before
	stores          map[string]placement.StoreStatus
	lastPlacement   *turnstore.Placement // that was seen last
	departures      placement.Departures
	generation      int64         // of the placement
	generationSince time.Duration // when the gen was seen first
	lastPlannedAt   time.Duration
	lastTickAt      time.Duration // when the duty was looked at last
	writeInFlight   bool          // a placement is being written
}

// maxRolePause is how long this node may not have looked at its duty before the silence of stores in that time is no sign of
// theirs: it stood still, or got no processor.
const maxRolePause = 400 * time.Millisecond

// tick notes that the duty is looked at. After a pause of this node's own, silence counts from now on, and nothing that was
// measured before it.
func (d *placementRole) tick(now time.Duration) {
	if now-d.lastTickAt > maxRolePause {
		d.tookOverAt, d.inherited = now, placement.Observations{}
	}
	d.lastTickAt = now
}

// handleRegister is told by stores, again and again; the head keeps it for its duty.
func (c *Server) handleRegister(ctx context.Context, r *feed.Registration) (*feed.Empty, error) {
	head, here := "", false
	if !c.runOnLoop(func() {
		if here = c.node.IsConfirmedHead(); !here {
			head = c.node.HeadAddr()
			return
		}
		c.assumePlacementRole()
		placement.Register(c.placementRole.stores, placement.Registration{Store: r.Store, Generation: r.Generation, SweptGeneration: r.SweptGeneration, Full: r.Full}, c.now(), c.placementTimings())
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

// assumePlacementRole begins the duties anew where the epoch has changed. It runs in the loop.
func (c *Server) assumePlacementRole() {
	if e := c.node.View().Epoch; c.placementRole.epoch != e {
		stores := c.placementRole.stores
		if stores == nil || c.placementRole.epoch == 0 || !c.ledPreviousEpoch(e) {
			stores = map[string]placement.StoreStatus{}
			c.placementRole = placementRole{tookOverAt: c.now(), inherited: c.node.Handover(), departures: placement.Departures{}, lastTickAt: c.now()}
		}
		c.placementRole.epoch, c.placementRole.stores, c.placementRole.writeInFlight = e, stores, false
	}
}

// fullStores names the stores that have told that their disks have little room. Only the head knows; it runs in the loop.
func (c *Server) fullStores() (names []string) {
	if !c.node.IsConfirmedHead() {
		return nil
	}
	for _, r := range c.placementRole.stores {
		if r.Full && c.now()-r.LastSeen < c.placementTimings().RemovalTimeout {
			names = append(names, r.Store.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Server) placementTimings() placement.Timings {
	return placement.DefaultTimings(c.settings.TimingBound("contact_ms", 3*time.Second))
}

// ledPreviousEpoch tells whether this node held the duties in the epoch before as well, so that what it knows still counts.
func (c *Server) ledPreviousEpoch(epoch int64) bool { return c.placementRole.epoch == epoch-1 }

// planPlacement does the duty of placement. It runs in the loop.
func (c *Server) planPlacement() {
	now := c.now()
	c.placementRole.tick(now)
	if !c.node.IsConfirmedHead() {
		return
	}
	c.assumePlacementRole()
	if c.placementRole.writeInFlight || now-c.placementRole.lastPlannedAt < planInterval {
		return
	}
	c.placementRole.lastPlannedAt = now
	s := c.plannerInput(now)
	c.node.SetHandover(s.Observe(c.placementTimings()))
	if lost := placement.LostWhileRetiring(s); len(lost) > 0 {
		c.log.Say("msg", "a store that is emptied lost its disk: the order goes on", "store", lost[0].Name, "id", lost[0].ID)
		c.writePlacementEntry(orders.RetireKey(lost[0].Name, lost[0].ID), rpc.Encode(&feed.RetireEntry{ID: lost[0].ID}))
		return
	}
	if next := placement.Plan(s, c.placementTimings()); next != nil {
		c.log.Say("msg", "placement", "gen", next.Generation, "old", len(next.Old), "new", len(next.New))
		c.writePlacementEntry(feed.PlacementKey, rpc.Encode(next))
	}
}

// plannerInput is what the head knows of stores at a time. It runs in the loop.
func (c *Server) plannerInput(now time.Duration) placement.Input {
	s := placement.Input{Now: now, TookOverAt: c.placementRole.tookOverAt, Inherited: c.placementRole.inherited, FaultTolerance: c.settings.FaultTolerance(), Stores: c.placementRole.stores, Retired: map[string]bool{}}
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
	if s.Current != nil && s.Current.Generation != c.placementRole.generation {
		c.placementRole.generation, c.placementRole.generationSince = s.Current.Generation, c.placementRole.inherited.GenerationSince(s.Current.Generation, now)
	}
	s.GenerationSince = c.placementRole.generationSince
	c.placementRole.departures.Record(c.placementRole.lastPlacement, s.Current, s.Retired, now)
	s.Departures, c.placementRole.lastPlacement = c.placementRole.departures, s.Current
	return s
}

// currentObservations is what is known of the stores that are late: at the head what it measures, elsewhere what the head has told. It
// runs in the loop.
func (c *Server) currentObservations() placement.Observations {
	if !c.node.IsConfirmedHead() {
		return c.node.Handover()
	}
	c.assumePlacementRole()
	s := c.plannerInput(c.now())
	return s.Observe(c.placementTimings())
}

// writePlacementEntry writes an entry for the duty; nothing is planned until that has ended. It runs in the loop.
func (c *Server) writePlacementEntry(key string, value []byte) {
	c.placementRole.writeInFlight = true
	ch := make(chan Completion, 1)
	token := c.newRequestID(c.ctx, ch)
	epoch := c.placementRole.epoch
	c.mergeReady(c.node.Write(c.now(), token, key, value))
	c.wg.Go(func() {
		select {
		case <-ch:
		case <-c.ctx.Done():
			return
		}
		c.runOnLoop(func() {
			if c.placementRole.epoch == epoch {
				c.placementRole.writeInFlight = false
			}
		})
	})
}

// pollPlatform does the duty of asking the platform's list.
func (c *Server) pollPlatform() {
	asker := discovery.NewClient(c.settings.Platform.Address)
	defer asker.Close()
	var last *discovery.List
	for c.ctx.Err() == nil {
		if !c.isHead.Load() || c.settings.Platform.Address == "" {
			last = nil
			c.sleep(tickInterval)
			continue
		}
		began := time.Now()
		hosts, err := asker.FetchHosts(c.ctx)
		if err != nil {
			_ = c.log.Log("msg", "the platform's list was not told", "err", err)
			c.sleep(hostPollInterval / 3)
			continue
		}
		if last == nil || !slices.EqualFunc(last.Hosts, hosts, discovery.Host.Equal) {
			next := &discovery.List{Hosts: hosts}
			c.runOnLoop(func() {
				if !c.node.IsConfirmedHead() {
					return
				}
				next.Term = c.node.View().Epoch
				next.Number = discovery.NextNumber(next.Term, c.incarnation, c.node.Hosts())
				c.mergeReady(c.node.PublishHosts(c.now(), next))
				last = next
			})
		}
		c.sleep(hostPollInterval - time.Since(began))
	}
}
