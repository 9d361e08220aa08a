package relay

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/drain"
	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/override"
	"larchrouter/internal/relay/quota"
	"larchrouter/internal/relay/versionaudit"
)

// cluster is a relay's part in its fleet. It belongs to the loop.
type cluster struct {
	talk         *override.Gossiper
	names        []string // of the relays, by number
	self         int
	timer        *time.Timer
	parts        int                      // into which limits are divided
	gone         []int                    // relays that are gone for good
	appliedAt    map[string]time.Duration // when this process recorded the override of a subject
	ledger       *versionaudit.Auditor
	warned       map[straggler]bool
	checkAt      time.Duration // next look for stragglers
	recordFailed bool          // the last overrides received could not be recorded, which was logged
}

// goneSubject is the subject of the override that a relay is gone for good.
func goneSubject(name string) string { return "gone:" + name }

// Limits returns the configured limits of partners, by number.
func Limits(partners []Partner) map[int]quota.Limit {
	all := map[int]quota.Limit{}
	for _, p := range partners {
		if p.Limit != nil {
			all[p.Number] = *p.Limit
		}
	}
	return all
}

// restoreOverrides takes over the overrides in the journal. It precedes applyPartnerList.
func (r *Relay) restoreOverrides() error {
	names := r.standalone.Fleet
	if len(names) == 0 {
		return nil
	}
	var kept []override.Override
	for _, rec := range r.journal.Words {
		kept = append(kept, override.Override{Subject: rec.ID, Active: rec.Ran, Counter: uint64(rec.Again), Origin: rec.Host, Author: rec.Status, AtMs: rec.At})
	}
	talk, err := override.New(override.Settings{Names: names, Self: r.settings.Index, Incarnation: r.settings.Life, Weights: r.settings.Weights}, r.now(), kept)
	if err != nil {
		return err
	}
	r.cluster = &cluster{talk: talk, names: names, self: r.settings.Index, appliedAt: map[string]time.Duration{},
		ledger: versionaudit.New(len(names)), warned: map[straggler]bool{}}
	r.publishVersions()
	r.applyOverrides()
	return nil
}

// applyOverrides carries out the overrides in force.
func (r *Relay) applyOverrides() {
	f := r.cluster
	var entries []drain.Entry
	f.gone = nil
	for _, w := range f.talk.Store().All() {
		if !w.Active || plant.Is(plant.Word) {
			continue
		}
		if t, err := drain.ParseTarget(w.Subject); err == nil && t.Scope != drain.Relay {
			entries = append(entries, drain.Entry{Target: t, Since: time.UnixMilli(w.AtMs), RequestedBy: w.Author + " at " + w.Origin})
		}
		if name, ok := strings.CutPrefix(w.Subject, goneSubject("")); ok {
			if i := slices.Index(f.names, name); i >= 0 {
				f.gone = append(f.gone, i)
			}
		}
	}
	r.standalone.drains.SetFleetEntries(entries)
	f.talk.SetRemoved(f.gone)
	r.divideLimits(f.talk.TotalWeight(r.now()))
}

// divideLimits has limits divided into so many parts.
func (r *Relay) divideLimits(parts int) {
	r.cluster.parts = parts
	r.chooser.Resize(parts, r.cluster.gone)
}

// recordOverrides records overrides, carries them out, and only then has them count. Overrides that cannot be recorded are
// requested again by the digest.
func (r *Relay) recordOverrides(words []override.Override) error {
	f := r.cluster
	var recs []journal.Record
	for _, w := range words {
		recs = append(recs, journal.Record{Op: journal.OpWord, ID: w.Subject, Ran: w.Active, Again: int64(w.Counter), Host: w.Origin, Status: w.Author, At: w.AtMs})
	}
	if err := r.journal.Append(recs...); err != nil {
		return err
	}
	f.talk.Apply(r.now(), words...)
	for _, w := range words {
		f.appliedAt[w.Subject] = r.now()
		slog.Info("override recorded", "subject", w.Subject, "holds", w.Active, "by", w.Author, "at", w.Origin)
		if w.Subject == goneSubject(f.names[f.self]) && w.Active {
			slog.Error("this relay is said to be gone for good: it has no part of any limit until that is taken back", "by", w.Author, "at", w.Origin)
		}
	}
	r.applyOverrides()
	r.applyPartnerList() // closes the endpoints
	r.standalone.view.Store(nil)
	return nil
}

// receiveOverrides takes in a gossip message of another relay with overrides.
func (r *Relay) receiveOverrides(from int, note []byte) {
	f := r.cluster
	received := f.talk.Receive(r.now(), from, note)
	r.auditVersions(from)
	r.warnStragglers()
	if len(received) > 0 {
		err := r.recordOverrides(received)
		if err != nil && !f.recordFailed {
			slog.Error("overrides not recorded", "err", err)
		}
		f.recordFailed = err != nil
	}
	r.sendOverrides()
}

// sendOverrides sends the gossip that is due, and schedules its next call.
func (r *Relay) sendOverrides() {
	f := r.cluster
	if r.peers == nil {
		return
	}
	now := r.now()
	notes, at := f.talk.Due(now)
	for _, n := range notes {
		r.peers.Send(n.To, n.Data)
	}
	if n := f.talk.TotalWeight(now); n != f.parts {
		r.divideLimits(n)
		slog.Info("limits are divided anew", "parts", n)
	}
	if f.timer == nil {
		f.timer = time.AfterFunc(at-now, func() { r.post(r.sendOverrides) })
	} else {
		f.timer.Reset(at - now)
	}
}

// reportHealth reports to the fleet whether this relay sees an endpoint as healthy.
func (r *Relay) reportHealth(endpoint string, out bool) {
	if r.cluster != nil {
		r.cluster.talk.Observe(r.now(), "endpoint:"+endpoint, out)
		r.sendOverrides()
	}
}

// requireFleet returns an error for the operator if the relay is not in a fleet.
func (r *Relay) requireFleet() error {
	if r.cluster == nil {
		return adminapi.Errorf(adminapi.Conflict, "this relay is of no fleet: its file has no fleet block")
	}
	return nil
}

// setOverride makes an override at this relay and spreads it in the fleet. Already reports that it was in force.
func (r *Relay) setOverride(subject string, on bool, by string) (already bool, err error) {
	f := r.cluster
	w, err := f.talk.Store().Next(subject, on, f.names[f.self], by, time.Now().UnixMilli())
	switch {
	case errors.Is(err, override.ErrUnchanged):
		return true, nil
	case err != nil:
		return false, adminapi.Errorf(adminapi.Conflict, "%v", err)
	}
	if err := r.recordOverrides([]override.Override{w}); err != nil {
		return false, err
	}
	r.sendOverrides()
	return false, nil
}

// drainFleet drains a target at all relays of the fleet, or takes that back.
func (r *Relay) drainFleet(t drain.Target, q adminapi.DrainRequest, on bool) (a adminapi.DrainAnswer, err error) {
	if err := r.requireFleet(); err != nil {
		return a, err
	}
	if t.Scope == drain.Relay {
		return a, adminapi.Errorf(adminapi.Invalid, "a drain of the relay is of one relay: leave out fleet")
	}
	b := r.standalone.drains
	if _, holds := r.cluster.talk.Store().Get(t.String()); !holds || on {
		if err := b.CheckKnown(t); err != nil {
			return a, err
		}
	}
	a = r.drainEffect(t)
	if on && t.Scope == drain.Endpoint && b.IsLastOpen(t.Name) && !q.AllowLast && !q.DryRun {
		return a, drain.ErrLastEndpoint
	}
	if q.DryRun {
		return a, nil
	}
	already, err := r.setOverride(t.String(), on, q.By)
	switch {
	case err != nil:
		return a, err
	case on && already:
		a.Result = "already drained for the fleet"
	case on:
		a.Result = "drained for the fleet"
	case already:
		a.Result = "not drained for the fleet"
	default:
		if a.Result = "undrained for the fleet"; len(b.WouldClose(t)) == 0 {
			a.Result += ", still drained here"
		}
	}
	f := r.fleetView()
	a.Fleet = &f
	return a, nil
}

// Gone implements adminapi.Backend.
func (r *Relay) Gone(ctx context.Context, q adminapi.GoneRequest) (adminapi.Fleet, error) {
	if len(q.By) > maxRequesterBytes {
		return adminapi.Fleet{}, adminapi.Errorf(adminapi.Invalid, "by has %d bytes, %d at most", len(q.By), maxRequesterBytes)
	}
	return command(ctx, r, func() (v adminapi.Fleet, err error) {
		if err := r.requireFleet(); err != nil {
			return v, err
		}
		f := r.cluster
		i := slices.Index(f.names, q.Relay)
		switch {
		case i < 0 && !q.Back:
			return v, adminapi.Errorf(adminapi.NotFound, "relay %q is not in the fleet block; it has: %s", q.Relay, strings.Join(f.names, ", "))
		case i == f.self && !q.Back:
			return v, adminapi.Errorf(adminapi.Conflict, "%s is this relay, which is there", q.Relay)
		case i >= 0 && !q.Back && f.talk.PeerViews(r.now())[i].Reachable:
			return v, adminapi.Errorf(adminapi.Conflict, "%s is heard: stop it first", q.Relay)
		}
		if _, err := r.setOverride(goneSubject(q.Relay), !q.Back, q.By); err != nil {
			return v, err
		}
		return r.fleetView(), nil
	})
}

// Fleet implements adminapi.Backend.
func (r *Relay) Fleet(ctx context.Context) (adminapi.Fleet, error) {
	return command(ctx, r, func() (adminapi.Fleet, error) { return r.fleetView(), nil })
}

// fleetView describes the fleet as this relay sees it, and the limits that it has a part of.
func (r *Relay) fleetView() (v adminapi.Fleet) {
	v = adminapi.Fleet{Parts: 1, Relays: []adminapi.FleetRelay{}, Limits: r.limitViews(), Words: []adminapi.FleetWord{}, Sights: []adminapi.FleetSight{}, Versions: []adminapi.FleetVersion{}, HeedMs: override.StatedConvergence.Milliseconds(), HeedLossyMs: override.StatedLossyConvergence.Milliseconds(), LostAfterMs: override.UnreachableAfter.Milliseconds()}
	f, now := r.cluster, r.now()
	if f == nil {
		return v
	}
	v.Versions = r.versionViews()
	v.Name, v.Parts, v.Over = f.names[f.self], f.parts, fleetlimit.OvergrantBound(max(1, len(f.names)-len(f.gone)))
	ms := func(d time.Duration) int64 {
		if d < 0 {
			return -1
		}
		return d.Milliseconds()
	}
	views := f.talk.PeerViews(now)
	for i, p := range views {
		v.Relays = append(v.Relays, adminapi.FleetRelay{Name: p.Name, Address: r.config.Peers[i], Self: p.Self, There: p.Reachable, HeardMs: ms(p.SinceHeartbeat), MetMs: ms(p.SinceMessage),
			Agrees: p.InSync, Gone: slices.Contains(f.gone, i), OtherList: p.ListDiffers})
	}
	for _, w := range f.talk.Store().All() {
		fw := adminapi.FleetWord{Subject: w.Subject, Holds: w.Active, Count: w.Counter, By: w.Author, Origin: w.Origin, AtMs: w.AtMs, Heeded: []string{}, Missing: []string{}}
		since := now - f.appliedAt[w.Subject]
		for _, p := range views {
			if p.InSync || p.SinceInSync >= 0 && p.SinceInSync <= since {
				fw.Heeded = append(fw.Heeded, p.Name)
			} else {
				fw.Missing = append(fw.Missing, p.Name)
			}
		}
		v.Words = append(v.Words, fw)
	}
	for _, s := range f.talk.Observations(now) {
		v.Sights = append(v.Sights, adminapi.FleetSight{Subject: s.Subject, Out: s.Unhealthy, Relay: f.names[s.Origin], ForMs: ms(s.Since), SaidMs: ms(s.Renewed)})
	}
	return v
}

// limitViews describes the limits that this relay has a part of.
func (r *Relay) limitViews() []adminapi.FleetLimit {
	all := []adminapi.FleetLimit{}
	routes := r.chooser.Routes()
	for _, p := range r.chooser.Shares() {
		l := adminapi.FleetLimit{LeftMs: p.ExpiresIn.Milliseconds(), Own: p.OwnShare, Granted: p.GrantableShare, Asks: p.PendingRequests, Over: p.OvergrantBound, Routes: []adminapi.FleetRoute{}}
		if partner := r.standalone.directory.Load().byNumber[p.Dest]; partner != nil {
			l.Partner = partner.Name
		}
		if f := r.cluster; f != nil && p.Coordinator >= 0 {
			l.Steward = f.names[p.Coordinator]
		} else if p.Coordinator >= 0 {
			l.Steward = "this relay"
		}
		if p.ConfiguredLimit != nil {
			l.Rate, l.Burst, l.AtOnce = p.ConfiguredLimit.Rate, p.ConfiguredLimit.Burst, p.ConfiguredLimit.MaxConcurrent
		}
		for _, route := range routes {
			if route.Dest == p.Dest {
				l.Routes = append(l.Routes, adminapi.FleetRoute{Route: route.Route, State: route.State, ForMs: route.InState.Milliseconds(), Rate: route.Rate, Used: route.UsedRate, Out: route.InFlight})
			}
		}
		all = append(all, l)
	}
	return all
}
