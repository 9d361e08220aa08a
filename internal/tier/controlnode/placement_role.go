package controlnode

import (
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// placementRole is the head's state for the placement of stores. It is soft state and is reset in each epoch, unless
// this node had the role in the previous epoch: then only writeInFlight is reset.
type placementRole struct {
	epoch           int64
	tookOverAt      time.Duration                    // earlier missing registrations do not count
	inherited       placement.Observations           // of the previous head
	stores          map[string]placement.StoreStatus // registered stores, by ID
	lastPlacement   *turnstore.Placement             // of the planner's last input
	departures      placement.Departures
	generation      int64         // of the placement
	generationSince time.Duration // when the generation was first observed
	lastPlannedAt   time.Duration
	lastTickAt      time.Duration
	writeInFlight   bool // an entry is being written; planning is suspended meanwhile
}

// maxRolePause is the longest normal time between two ticks. After a longer one this node was frozen or had no
// processor time, so that registrations missing in that period are no evidence of failed stores.
const maxRolePause = 400 * time.Millisecond

// tick records that the role is running. After a pause of this node it discards the earlier observations, and missing
// registrations count from now on.
func (r *placementRole) tick(now time.Duration) {
	if now-r.lastTickAt > maxRolePause {
		r.tookOverAt, r.inherited = now, placement.Observations{}
	}
	r.lastTickAt = now
}

// assumePlacementRole resets the role if the epoch has changed since it last ran. It runs on the event loop of the
// confirmed head.
func (s *Server) assumePlacementRole() {
	epoch := s.node.View().Epoch
	if s.placementRole.epoch == epoch {
		return
	}
	stores := s.placementRole.stores
	if stores == nil || s.placementRole.epoch == 0 || !s.hadPlacementRole(epoch-1) {
		stores = map[string]placement.StoreStatus{}
		s.placementRole = placementRole{
			tookOverAt: s.now(),
			inherited:  s.node.Handover(),
			departures: placement.Departures{},
			lastTickAt: s.now(),
		}
	}
	s.placementRole.epoch, s.placementRole.stores, s.placementRole.writeInFlight = epoch, stores, false
}

// hadPlacementRole reports whether this node last had the role in the given epoch, so that its observations still
// count.
func (s *Server) hadPlacementRole(epoch int64) bool { return s.placementRole.epoch == epoch }

// planPlacement runs the role: on the confirmed head it plans the placement of stores and writes a change. It runs on
// the event loop.
func (s *Server) planPlacement() {
	now := s.now()
	s.placementRole.tick(now)
	if !s.node.IsConfirmedHead() {
		return
	}
	s.assumePlacementRole()
	if s.placementRole.writeInFlight || now-s.placementRole.lastPlannedAt < planInterval {
		return
	}
	s.placementRole.lastPlannedAt = now
	input := s.plannerInput(now)
	s.node.SetHandover(input.Observe(s.placementTimings()))
	if lost := placement.SuccessorsOfRetiringStores(input); len(lost) > 0 {
		s.log.Info("a store lost its disk during its retirement: the retirement continues under its new ID", "store", lost[0].Name, "id", lost[0].ID)
		s.writePlacementEntry(orders.RetireKey(lost[0].Name, lost[0].ID), rpc.Encode(&feed.RetireEntry{ID: lost[0].ID}))
		return
	}
	if input.Current != nil && input.NominalStores == 0 {
		count := placement.InitialStores(input.Current, input.Retired)
		s.log.Info("the number of stores is recorded", "stores", count)
		s.writePlacementEntry(feed.StoreCountKey, rpc.Encode(&feed.StoreCountEntry{Initial: int64(count)}))
		return
	}
	if next := placement.Plan(input, s.placementTimings()); next != nil {
		s.log.Info("placement", "gen", next.Generation, "old_stores", len(next.Old), "new_stores", len(next.New))
		s.writePlacementEntry(feed.PlacementKey, rpc.Encode(next))
	}
}

// plannerInput returns the planner's input at the given time, with the newest placement, committed or not. It runs on
// the event loop of the confirmed head.
func (s *Server) plannerInput(now time.Duration) placement.Input {
	role := &s.placementRole
	input := placement.Input{
		Now:            now,
		TookOverAt:     role.tookOverAt,
		Inherited:      role.inherited,
		FaultTolerance: s.settings.FaultTolerance(),
		Stores:         role.stores,
		Retired:        map[string]bool{},
	}
	var count feed.StoreCountEntry
	for _, e := range s.node.Chain().State().Entries {
		switch {
		case e.Key == feed.PlacementKey:
			p := new(turnstore.Placement)
			if rpc.Decode(e.Value, p) == nil {
				input.Current = p // the last one wins, committed or not
			}
		case e.Key == feed.StoreCountKey:
			_ = rpc.Decode(e.Value, &count) // an entry that cannot be read is written again
		case len(e.Key) > len(feed.RetirePrefix) && e.Key[:len(feed.RetirePrefix)] == feed.RetirePrefix:
			var r feed.RetireEntry
			if rpc.Decode(e.Value, &r) == nil {
				input.Retired[r.ID] = true
			}
		}
	}
	input.NominalStores = placement.NominalStores(int(count.Initial), input.Retired)
	if input.Current != nil && input.Current.Generation != role.generation {
		role.generation = input.Current.Generation
		role.generationSince = role.inherited.GenerationSince(input.Current.Generation, now)
	}
	input.GenerationSince = role.generationSince
	role.departures.Record(role.lastPlacement, input.Current, input.Retired, now)
	input.Departures, role.lastPlacement = role.departures, input.Current
	return input
}

// currentObservations returns the observations of stores that do not register: on the head its own, on other nodes
// those that the head has sent. It runs on the event loop.
func (s *Server) currentObservations() placement.Observations {
	if !s.node.IsConfirmedHead() {
		return s.node.Handover()
	}
	s.assumePlacementRole()
	input := s.plannerInput(s.now())
	return input.Observe(s.placementTimings())
}

// writePlacementEntry starts the write of an entry; planning is suspended until the write ends. It runs on the event
// loop.
func (s *Server) writePlacementEntry(key string, value []byte) {
	s.placementRole.writeInFlight = true
	completed := make(chan Completion, 1)
	requestID := s.newRequestID(s.ctx, completed)
	epoch := s.placementRole.epoch
	s.mergeReady(s.node.Write(s.now(), requestID, key, value))
	s.wg.Go(func() {
		select {
		case <-completed:
		case <-s.ctx.Done():
			return
		}
		s.runOnLoop(&placementWriteEnded{epoch: epoch})
	})
}

// placementWriteEnded resumes planning, unless the role has been assumed in another epoch since the write started.
type placementWriteEnded struct{ epoch int64 }

func (r *placementWriteEnded) handle(s *Server) {
	if s.placementRole.epoch == r.epoch {
		s.placementRole.writeInFlight = false
	}
}
