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

// A relay of its own may be one of a fleet. What it then has to do with the others, beside grants, is to take over what
// operators say at any of them (internal/relay/override). Everything here belongs to the loop.

// company is a relay's part in its fleet.
type company struct {
	talk   *override.Gossiper
	names  []string
	self   int
	timer  *time.Timer
	parts  int
	lost   []int
	took   map[string]time.Duration // when a subject's word was taken in, by this process
	ledger *versionaudit.Auditor
	warned map[straggler]bool
	lookAt time.Duration // for who is behind
	full   bool          // words that come are not taken in, which was logged
}

// goneSubject names a relay that is gone for good.
func goneSubject(name string) string { return "gone:" + name }

// Limits are those that partners were told, by number.
func Limits(partners []Partner) map[int]quota.Limit {
	all := map[int]quota.Limit{}
	for _, p := range partners {
		if p.Limit != nil {
			all[p.Number] = *p.Limit
		}
	}
	return all
}

// meetFleet takes up what the journal has of the fleet's words. It precedes relist.
func (r *Relay) meetFleet() error {
	names := r.alone.Fleet
	if len(names) == 0 {
		return nil
	}
	var kept []override.Override
	for _, rec := range r.journal.Overrides {
		kept = append(kept, override.Override{Subject: rec.ID, Active: rec.Ran, Counter: uint64(rec.Again), Origin: rec.Host, Author: rec.Status, AtMs: rec.At})
	}
	talk, err := override.New(override.Settings{Names: names, Self: r.set.Index, Incarnation: r.set.Life, Weights: r.set.Weights}, r.now(), kept)
	if err != nil {
		return err
	}
	r.company = &company{talk: talk, names: names, self: r.set.Index, took: map[string]time.Duration{},
		ledger: versionaudit.New(len(names)), warned: map[straggler]bool{}}
	r.act()
	r.abide()
	return nil
}

// abide carries out what the words say.
func (r *Relay) abide() {
	f := r.company
	var marks []drain.Mark
	f.lost = nil
	for _, w := range f.talk.Store().All() {
		if !w.Active || plant.Is(plant.Word) {
			continue
		}
		if t, err := drain.ParseTarget(w.Subject); err == nil && t.Scope != drain.Relay {
			marks = append(marks, drain.Mark{Target: t, Since: time.UnixMilli(w.AtMs), By: w.Author + " at " + w.Origin})
		}
		if name, ok := strings.CutPrefix(w.Subject, goneSubject("")); ok {
			if i := slices.Index(f.names, name); i >= 0 {
				f.lost = append(f.lost, i)
			}
		}
	}
	r.alone.book.Fleet(marks)
	f.talk.SetRemoved(f.lost)
	r.divide(f.talk.TotalWeight(r.now()))
}

// divide has limits divided into so many parts.
func (r *Relay) divide(parts int) {
	r.company.parts = parts
	r.chooser.Resize(parts, r.company.lost)
}

// heed records words, carries them out, and only then has them count. Words that cannot be recorded are asked for again by
// the digest.
func (r *Relay) heed(words []override.Override) error {
	f := r.company
	var recs []journal.Record
	for _, w := range words {
		recs = append(recs, journal.Record{Op: journal.OpOverride, ID: w.Subject, Ran: w.Active, Again: int64(w.Counter), Host: w.Origin, Status: w.Author, At: w.AtMs})
	}
	if err := r.journal.Append(recs...); err != nil {
		return err
	}
	f.talk.Apply(r.now(), words...)
	for _, w := range words {
		f.took[w.Subject] = r.now()
		slog.Info("the fleet was told", "subject", w.Subject, "holds", w.Active, "by", w.Author, "at", w.Origin)
		if w.Subject == goneSubject(f.names[f.self]) && w.Active {
			slog.Error("this relay is said to be gone for good: it has no part of any limit until that is taken back", "by", w.Author, "at", w.Origin)
		}
	}
	r.abide()
	r.relist() // closes the gates
	r.alone.view.Store(nil)
	return nil
}

// hearTalk takes in a note of another relay that carries words.
func (r *Relay) hearTalk(from int, note []byte) {
	f := r.company
	news := f.talk.Receive(r.now(), from, note)
	r.heardActs(from)
	r.warnBehind()
	if len(news) > 0 {
		err := r.heed(news)
		if err != nil && !f.full {
			slog.Error("what the fleet was told is not taken in", "err", err)
		}
		f.full = err != nil
	}
	r.talk()
}

// talk sends what is due, and sees that it is called again.
func (r *Relay) talk() {
	f := r.company
	if r.peers == nil {
		return
	}
	now := r.now()
	notes, at := f.talk.Due(now)
	for _, n := range notes {
		r.peers.Send(n.To, n.Data)
	}
	if n := f.talk.TotalWeight(now); n != f.parts {
		r.divide(n)
		slog.Info("limits are divided anew", "parts", n)
	}
	if f.timer == nil {
		f.timer = time.AfterFunc(at-now, func() { r.post(r.talk) })
	} else {
		f.timer.Reset(at - now)
	}
}

// tellSight tells the fleet how this relay sees an endpoint.
func (r *Relay) tellSight(endpoint string, out bool) {
	if r.company != nil {
		r.company.talk.Observe(r.now(), "endpoint:"+endpoint, out)
		r.talk()
	}
}

// inFleet tells a command that there is no fleet, where there is none.
func (r *Relay) inFleet() error {
	if r.company == nil {
		return adminapi.Errorf(adminapi.Conflict, "this relay is of no fleet: its file has no fleet block")
	}
	return nil
}

// tellFleet has the whole fleet heed something, from this relay on.
func (r *Relay) tellFleet(subject string, on bool, by string) (already bool, err error) {
	f := r.company
	w, err := f.talk.Store().Next(subject, on, f.names[f.self], by, time.Now().UnixMilli())
	switch {
	case errors.Is(err, override.ErrUnchanged):
		return true, nil
	case err != nil:
		return false, adminapi.Errorf(adminapi.Conflict, "%v", err)
	}
	if err := r.heed([]override.Override{w}); err != nil {
		return false, err
	}
	r.talk()
	return false, nil
}

// drainFleet drains a target at all relays of the fleet, or takes that back.
func (r *Relay) drainFleet(t drain.Target, q adminapi.DrainRequest, on bool) (a adminapi.DrainAnswer, err error) {
	if err := r.inFleet(); err != nil {
		return a, err
	}
	if t.Scope == drain.Relay {
		return a, adminapi.Errorf(adminapi.Invalid, "a drain of the relay is of one relay: leave out fleet")
	}
	b := r.alone.book
	if _, holds := r.company.talk.Store().Get(t.String()); !holds || on {
		if err := b.Known(t); err != nil {
			return a, err
		}
	}
	a = r.consequences(t)
	if on && t.Scope == drain.Endpoint && b.Last(t.Name) && !q.AllowLast && !q.DryRun {
		return a, drain.ErrLast
	}
	if q.DryRun {
		return a, nil
	}
	already, err := r.tellFleet(t.String(), on, q.By)
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
		if a.Result = "undrained for the fleet"; len(b.Closes(t)) == 0 {
			a.Result += ", still drained here"
		}
	}
	f := r.showFleet()
	a.Fleet = &f
	return a, nil
}

// Gone implements control.Backend.
func (r *Relay) Gone(ctx context.Context, q adminapi.GoneRequest) (adminapi.Fleet, error) {
	if len(q.By) > mostBy {
		return adminapi.Fleet{}, adminapi.Errorf(adminapi.Invalid, "by has %d bytes, %d at most", len(q.By), mostBy)
	}
	return command(ctx, r, func() (v adminapi.Fleet, err error) {
		if err := r.inFleet(); err != nil {
			return v, err
		}
		f := r.company
		i := slices.Index(f.names, q.Relay)
		switch {
		case i < 0 && !q.Back:
			return v, adminapi.Errorf(adminapi.NotFound, "relay %q is not in the fleet block; it has: %s", q.Relay, strings.Join(f.names, ", "))
		case i == f.self && !q.Back:
			return v, adminapi.Errorf(adminapi.Conflict, "%s is this relay, which is there", q.Relay)
		case i >= 0 && !q.Back && f.talk.PeerViews(r.now())[i].Reachable:
			return v, adminapi.Errorf(adminapi.Conflict, "%s is heard: stop it first", q.Relay)
		}
		if _, err := r.tellFleet(goneSubject(q.Relay), !q.Back, q.By); err != nil {
			return v, err
		}
		return r.showFleet(), nil
	})
}

// Fleet implements control.Backend.
func (r *Relay) Fleet(ctx context.Context) (adminapi.Fleet, error) {
	return command(ctx, r, func() (adminapi.Fleet, error) { return r.showFleet(), nil })
}

// showFleet describes the fleet as this relay sees it, and the limits that it has a part of.
func (r *Relay) showFleet() (v adminapi.Fleet) {
	v = adminapi.Fleet{Parts: 1, Relays: []adminapi.FleetRelay{}, Limits: r.showLimits(), Words: []adminapi.FleetWord{}, Sights: []adminapi.FleetSight{}, Versions: []adminapi.FleetVersion{}, HeedMs: override.StatedConvergence.Milliseconds(), HeedLossyMs: override.StatedLossyConvergence.Milliseconds(), LostAfterMs: override.UnreachableAfter.Milliseconds()}
	f, now := r.company, r.now()
	if f == nil {
		return v
	}
	v.Versions = r.showVersions()
	v.Name, v.Parts, v.Over = f.names[f.self], f.parts, fleetlimit.OvergrantBound(max(1, len(f.names)-len(f.lost)))
	ms := func(d time.Duration) int64 {
		if d < 0 {
			return -1
		}
		return d.Milliseconds()
	}
	views := f.talk.PeerViews(now)
	for i, p := range views {
		v.Relays = append(v.Relays, adminapi.FleetRelay{Name: p.Name, Address: r.conf.Peers[i], Self: p.Self, There: p.Reachable, HeardMs: ms(p.SinceHeartbeat), MetMs: ms(p.SinceMessage),
			Agrees: p.InSync, Gone: slices.Contains(f.lost, i), OtherList: p.ListDiffers})
	}
	for _, w := range f.talk.Store().All() {
		fw := adminapi.FleetWord{Subject: w.Subject, Holds: w.Active, Count: w.Counter, By: w.Author, Origin: w.Origin, AtMs: w.AtMs, Heeded: []string{}, Missing: []string{}}
		since := now - f.took[w.Subject]
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

// showLimits describes the limits that this relay has a part of.
func (r *Relay) showLimits() []adminapi.FleetLimit {
	all := []adminapi.FleetLimit{}
	routes := r.chooser.Routes()
	for _, p := range r.chooser.Shares() {
		l := adminapi.FleetLimit{LeftMs: p.ExpiresIn.Milliseconds(), Own: p.OwnShare, Granted: p.GrantableShare, Asks: p.PendingRequests, Over: p.OvergrantBound, Routes: []adminapi.FleetRoute{}}
		if partner := r.alone.dir.Load().byNumber[p.Dest]; partner != nil {
			l.Partner = partner.Name
		}
		if f := r.company; f != nil && p.Coordinator >= 0 {
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
