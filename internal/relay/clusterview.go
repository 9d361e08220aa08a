package relay

import (
	"context"
	"slices"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/override"
)

// Fleet implements adminapi.Backend.
func (r *Relay) Fleet(ctx context.Context) (adminapi.Fleet, error) {
	return command(ctx, r, func() (adminapi.Fleet, error) { return r.fleetView(), nil })
}

// fleetView describes the fleet as this relay sees it, and the limits that it has a part of.
func (r *Relay) fleetView() adminapi.Fleet {
	view := adminapi.Fleet{Parts: 1, Relays: []adminapi.FleetRelay{}, Limits: r.limitViews(), Words: []adminapi.FleetWord{},
		Sights: []adminapi.FleetSight{}, Versions: []adminapi.FleetVersion{},
		HeedMs:      override.StatedConvergence.Milliseconds(),
		HeedLossyMs: override.StatedLossyConvergence.Milliseconds(),
		LostAfterMs: override.UnreachableAfter.Milliseconds()}
	fleet, now := r.cluster, r.now()
	if fleet == nil {
		return view
	}
	view.Versions = r.versionViews()
	view.Name, view.Parts = fleet.names[fleet.self], fleet.parts
	view.Over = fleetlimit.OvergrantBound(max(1, len(fleet.names)-len(fleet.gone)))
	peers := fleet.gossiper.PeerViews(now)
	for i, peer := range peers {
		view.Relays = append(view.Relays, adminapi.FleetRelay{Name: peer.Name, Address: r.config.Peers[i], Self: peer.Self,
			There: peer.Reachable, HeardMs: millisecondsSince(peer.SinceHeartbeat), MetMs: millisecondsSince(peer.SinceMessage),
			Agrees: peer.InSync, Gone: slices.Contains(fleet.gone, i), OtherList: peer.ListDiffers})
	}
	for _, item := range fleet.gossiper.Store().All() {
		view.Words = append(view.Words, overrideView(item, now-fleet.appliedAt[item.Subject], peers))
	}
	for _, observation := range fleet.gossiper.Observations(now) {
		view.Sights = append(view.Sights, adminapi.FleetSight{Subject: observation.Subject, Out: observation.Unhealthy,
			Relay: fleet.names[observation.Origin], ForMs: millisecondsSince(observation.Since),
			SaidMs: millisecondsSince(observation.Renewed)})
	}
	return view
}

// overrideView describes an override and which relays have it. Since is the time since this relay recorded it.
func overrideView(item override.Override, since time.Duration, peers []override.PeerView) adminapi.FleetWord {
	view := adminapi.FleetWord{Subject: item.Subject, Holds: item.Active, Count: item.Counter, By: item.Author,
		Origin: item.Origin, AtMs: item.AtMs, Heeded: []string{}, Missing: []string{}}
	for _, peer := range peers {
		if peer.InSync || peer.SinceInSync >= 0 && peer.SinceInSync <= since {
			view.Heeded = append(view.Heeded, peer.Name)
		} else {
			view.Missing = append(view.Missing, peer.Name)
		}
	}
	return view
}

// millisecondsSince returns a time in milliseconds; -1 for a negative one, which stands for never.
func millisecondsSince(since time.Duration) int64 {
	if since < 0 {
		return -1
	}
	return since.Milliseconds()
}

// limitViews describes the limits that this relay has a part of.
func (r *Relay) limitViews() []adminapi.FleetLimit {
	all := []adminapi.FleetLimit{}
	routes := r.chooser.Routes()
	for _, share := range r.chooser.Shares() {
		limit := adminapi.FleetLimit{LeftMs: share.ExpiresIn.Milliseconds(), Own: share.OwnShare, Granted: share.GrantableShare,
			Asks: share.PendingRequests, Over: share.OvergrantBound, Routes: []adminapi.FleetRoute{}}
		if partner := r.standalone.directory.Load().byNumber[share.Dest]; partner != nil {
			limit.Partner = partner.Name
		}
		if fleet := r.cluster; fleet != nil && share.Coordinator >= 0 {
			limit.Steward = fleet.names[share.Coordinator]
		} else if share.Coordinator >= 0 {
			limit.Steward = "this relay"
		}
		if configured := share.ConfiguredLimit; configured != nil {
			limit.Rate, limit.Burst, limit.AtOnce = configured.Rate, configured.Burst, configured.MaxConcurrent
		}
		for _, route := range routes {
			if route.Dest == share.Dest {
				limit.Routes = append(limit.Routes, adminapi.FleetRoute{Route: route.Route, State: route.State,
					ForMs: route.InState.Milliseconds(), Rate: route.Rate, Used: route.UsedRate, Out: route.InFlight})
			}
		}
		all = append(all, limit)
	}
	return all
}
