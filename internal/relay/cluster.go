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
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/override"
	"larchrouter/internal/relay/quota"
	"larchrouter/internal/relay/versionaudit"
)

// cluster is a relay's part in its fleet. It belongs to the loop.
type cluster struct {
	gossiper     *override.Gossiper
	names        []string // of the relays, by number
	self         int
	timer        *time.Timer
	parts        int                      // into which limits are divided
	gone         []int                    // relays that are gone for good
	appliedAt    map[string]time.Duration // when this process recorded the override of a subject
	auditor      *versionaudit.Auditor
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
	for _, rec := range r.journal.Overrides {
		kept = append(kept, override.Override{Subject: rec.ID, Active: rec.Ran, Counter: uint64(rec.Again),
			Origin: rec.Host, Author: rec.Status, AtMs: rec.At})
	}
	gossiper, err := override.New(override.Settings{Names: names, Self: r.settings.Index, Incarnation: r.settings.Life,
		Weights: r.settings.Weights}, r.now(), kept)
	if err != nil {
		return err
	}
	r.cluster = &cluster{gossiper: gossiper, names: names, self: r.settings.Index, appliedAt: map[string]time.Duration{},
		auditor: versionaudit.New(len(names)), warned: map[straggler]bool{}}
	r.publishVersions()
	r.applyOverrides()
	return nil
}

// applyOverrides carries out the overrides in force.
func (r *Relay) applyOverrides() {
	fleet := r.cluster
	var entries []drain.Entry
	fleet.gone = nil
	for _, item := range fleet.gossiper.Store().All() {
		if !item.Active || faultinject.Is(faultinject.Word) {
			continue
		}
		if target, err := drain.ParseTarget(item.Subject); err == nil && target.Scope != drain.Relay {
			entries = append(entries, drain.Entry{Target: target, Since: time.UnixMilli(item.AtMs),
				RequestedBy: item.Author + " at " + item.Origin})
		}
		if name, ok := strings.CutPrefix(item.Subject, goneSubject("")); ok {
			if i := slices.Index(fleet.names, name); i >= 0 {
				fleet.gone = append(fleet.gone, i)
			}
		}
	}
	r.standalone.drains.SetFleetEntries(entries)
	fleet.gossiper.SetRemoved(fleet.gone)
	r.divideLimits(fleet.gossiper.TotalWeight(r.now()))
}

// divideLimits has limits divided into so many parts.
func (r *Relay) divideLimits(parts int) {
	r.cluster.parts = parts
	r.chooser.Resize(parts, r.cluster.gone)
}

// recordOverrides records overrides, carries them out, and only then has them count. Overrides that cannot be recorded are
// requested again by the digest.
func (r *Relay) recordOverrides(overrides []override.Override) error {
	fleet := r.cluster
	var recs []journal.Record
	for _, item := range overrides {
		recs = append(recs, journal.Record{Op: journal.OpOverride, ID: item.Subject, Ran: item.Active,
			Again: int64(item.Counter), Host: item.Origin, Status: item.Author, At: item.AtMs})
	}
	if err := r.journal.Append(recs...); err != nil {
		return err
	}
	fleet.gossiper.Apply(r.now(), overrides...)
	for _, item := range overrides {
		fleet.appliedAt[item.Subject] = r.now()
		slog.Info("override recorded", "subject", item.Subject, "holds", item.Active, "by", item.Author, "at", item.Origin)
		if item.Subject == goneSubject(fleet.names[fleet.self]) && item.Active {
			slog.Error("this relay is said to be gone for good: it has no part of any limit until that is taken back",
				"by", item.Author, "at", item.Origin)
		}
	}
	r.applyOverrides()
	r.applyPartnerList() // closes the endpoints
	r.standalone.view.Store(nil)
	return nil
}

// receiveOverrides takes in a gossip message of another relay with overrides.
func (r *Relay) receiveOverrides(from int, note []byte) {
	fleet := r.cluster
	received := fleet.gossiper.Receive(r.now(), from, note)
	r.auditVersions(from)
	r.warnStragglers()
	if len(received) > 0 {
		err := r.recordOverrides(received)
		if err != nil && !fleet.recordFailed {
			slog.Error("overrides not recorded", "err", err)
		}
		fleet.recordFailed = err != nil
	}
	r.sendOverrides()
}

// sendOverrides sends the gossip that is due, and schedules its next call.
func (r *Relay) sendOverrides() {
	fleet := r.cluster
	if r.peers == nil {
		return
	}
	now := r.now()
	notes, at := fleet.gossiper.Due(now)
	for _, message := range notes {
		r.peers.Send(message.To, message.Data)
	}
	if count := fleet.gossiper.TotalWeight(now); count != fleet.parts {
		r.divideLimits(count)
		slog.Info("limits are divided anew", "parts", count)
	}
	if fleet.timer == nil {
		fleet.timer = time.AfterFunc(at-now, func() { r.post(r.sendOverrides) })
	} else {
		fleet.timer.Reset(at - now)
	}
}

// reportHealth reports to the fleet whether this relay sees an endpoint as healthy.
func (r *Relay) reportHealth(endpoint string, out bool) {
	if r.cluster != nil {
		r.cluster.gossiper.Observe(r.now(), "endpoint:"+endpoint, out)
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
	fleet := r.cluster
	item, err := fleet.gossiper.Store().Next(subject, on, fleet.names[fleet.self], by, time.Now().UnixMilli())
	switch {
	case errors.Is(err, override.ErrUnchanged):
		return true, nil
	case err != nil:
		return false, adminapi.Errorf(adminapi.Conflict, "%v", err)
	}
	if err := r.recordOverrides([]override.Override{item}); err != nil {
		return false, err
	}
	r.sendOverrides()
	return false, nil
}

// drainFleet drains a target at all relays of the fleet, or takes that back.
func (r *Relay) drainFleet(
	target drain.Target, request adminapi.DrainRequest, on bool,
) (answer adminapi.DrainAnswer, err error) {
	if err := r.requireFleet(); err != nil {
		return answer, err
	}
	if target.Scope == drain.Relay {
		return answer, adminapi.Errorf(adminapi.Invalid, "a drain of the relay is of one relay: leave out fleet")
	}
	drains := r.standalone.drains
	if _, holds := r.cluster.gossiper.Store().Get(target.String()); !holds || on {
		if err := drains.CheckKnown(target); err != nil {
			return answer, err
		}
	}
	answer = r.drainEffect(target)
	if on && target.Scope == drain.Endpoint && drains.IsLastOpen(target.Name) && !request.AllowLast && !request.DryRun {
		return answer, drain.ErrLastEndpoint
	}
	if request.DryRun {
		return answer, nil
	}
	already, err := r.setOverride(target.String(), on, request.By)
	switch {
	case err != nil:
		return answer, err
	case on && already:
		answer.Result = "already drained for the fleet"
	case on:
		answer.Result = "drained for the fleet"
	case already:
		answer.Result = "not drained for the fleet"
	default:
		if answer.Result = "undrained for the fleet"; len(drains.WouldClose(target)) == 0 {
			answer.Result += ", still drained here"
		}
	}
	view := r.fleetView()
	answer.Fleet = &view
	return answer, nil
}

// Gone implements adminapi.Backend.
func (r *Relay) Gone(ctx context.Context, request adminapi.GoneRequest) (adminapi.Fleet, error) {
	if len(request.By) > maxRequesterBytes {
		return adminapi.Fleet{}, adminapi.Errorf(adminapi.Invalid, "by has %d bytes, %d at most", len(request.By), maxRequesterBytes)
	}
	return command(ctx, r, func() (view adminapi.Fleet, err error) {
		if err := r.requireFleet(); err != nil {
			return view, err
		}
		fleet := r.cluster
		i := slices.Index(fleet.names, request.Relay)
		switch {
		case i < 0 && !request.Back:
			return view, adminapi.Errorf(adminapi.NotFound, "relay %q is not in the fleet block; it has: %s",
				request.Relay, strings.Join(fleet.names, ", "))
		case i == fleet.self && !request.Back:
			return view, adminapi.Errorf(adminapi.Conflict, "%s is this relay, which is there", request.Relay)
		case i >= 0 && !request.Back && fleet.gossiper.PeerViews(r.now())[i].Reachable:
			return view, adminapi.Errorf(adminapi.Conflict, "%s is heard: stop it first", request.Relay)
		}
		if _, err := r.setOverride(goneSubject(request.Relay), !request.Back, request.By); err != nil {
			return view, err
		}
		return r.fleetView(), nil
	})
}
