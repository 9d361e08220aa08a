package relay

import (
	"context"
	"os"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/drain"
)

const (
	maxViewAge   = 100 * time.Millisecond
	maxScanned   = 256 // messages examined in one function on the loop: some 10 us
	maxDescribed = 32  // messages described in one function on the loop
)

// cachedView is a view of the relay for the admin API. It is immutable.
type cachedView struct {
	at       time.Time
	status   adminapi.Status
	partners []adminapi.Partner
}

// currentView returns a view that is not older than maxViewAge.
func (r *Relay) currentView(ctx context.Context) (*cachedView, error) {
	fresh := func() *cachedView {
		if v := r.standalone.view.Load(); v != nil && time.Since(v.at) < maxViewAge {
			return v
		}
		return nil
	}
	if v := fresh(); v != nil {
		return v, nil
	}
	select { // one request asks the loop, the others wait for its view
	case r.standalone.viewLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-r.standalone.viewLock }()
	if v := fresh(); v != nil {
		return v, nil
	}
	return onLoop(ctx, r, func() *cachedView {
		v := r.buildView()
		r.standalone.view.Store(v)
		return v
	})
}

// journalView describes the state of the journal.
func (r *Relay) journalView() adminapi.Journal {
	v := adminapi.Journal{Segments: r.journal.Segments(), MostBytes: r.journal.Budget(), Durability: "process"}
	if r.config.Power {
		v.Durability = "power"
	}
	switch {
	case r.journal.Broken != nil:
		v.Trouble = r.journal.Broken.Error()
	case r.journal.Full():
		v.Trouble = "the disk is full: what is held is recorded from spare room"
	}
	return v
}

// buildView describes the relay, on the loop.
func (r *Relay) buildView() *cachedView {
	a, now := r.standalone, time.Now()
	t := a.counters.totals
	phase, until := a.drains.Phase()
	s := adminapi.Status{API: adminapi.Version, Version: a.Version, PID: os.Getpid(), NowMs: now.UnixMilli(),
		UpMs: r.now().Milliseconds(), Listen: r.Addr(), State: r.config.State, Phase: string(phase), Held: len(r.pending),
		HeldMost: r.settings.MaxHeld, Out: r.callsInFlight, Slots: r.settings.Workers, Ends: a.ends.Len(), EndsMost: a.MaxEnds,
		DiskBytes: r.journal.Size(), Journal: r.journalView(),
		Totals: adminapi.Totals{Taken: t.taken, Turned: t.turned + r.rejectedBusy.Load(), Delivered: t.delivered,
			Refused: t.refused, Failed: t.failed, Calls: t.calls},
		Series: a.counters.series(now), Drains: []adminapi.Drained{}, Left: a.remaining}
	if !until.IsZero() {
		s.UntilMs = until.UnixMilli()
	}
	for _, m := range a.drains.Entries() {
		s.Drains = append(s.Drains, adminapi.Drained{Target: m.Target.String(), SinceMs: m.Since.UnixMilli(), By: m.RequestedBy})
	}
	for _, m := range a.pendingInOrder {
		if !m.ended {
			s.OldestMs = max(0, now.UnixMilli()-m.TakenAt)
			break
		}
	}
	v := &cachedView{at: now}
	views := r.chooser.Views()
	for _, p := range a.directory.Load().all {
		partner := r.partnerView(p, views[p.Number])
		for _, endpoint := range partner.Endpoints {
			if s.Endpoints++; endpoint.Health != "healthy" {
				s.Unhealthy++
			}
		}
		v.partners = append(v.partners, partner)
	}
	v.status = s
	return v
}

// partnerView describes a partner and its endpoints. Dest is the engine's view of it.
func (r *Relay) partnerView(p Partner, dest choice.DestView) adminapi.Partner {
	drains := r.standalone.drains
	partner := adminapi.Partner{Name: p.Name, Kind: p.Kind, Classes: p.Classes, Waiting: dest.Waiting, Out: dest.Out,
		PauseMs: dest.Pause.Milliseconds(),
		Drained: len(drains.WouldClose(drain.Target{Scope: drain.Partner, Name: p.Name})) == 0}
	for _, e := range p.Endpoints {
		endpoint := adminapi.Endpoint{ID: e.ID, Address: e.Address, Zone: e.Zone, State: "open", Health: "healthy"}
		var by []string
		for _, entry := range drains.ClosedBy(e.ID) {
			by = append(by, string(entry.Target.Scope)+" by "+entry.RequestedBy)
		}
		if len(by) > 0 {
			endpoint.State, endpoint.By = "drained", strings.Join(by, ", ")
		}
		for _, h := range dest.Hosts {
			if h.Addr == e.ID {
				endpoint.Health, endpoint.Why = h.Health, h.Why
				endpoint.ForMs, endpoint.WaitMs = h.For.Milliseconds(), h.Wait.Milliseconds()
				endpoint.PauseMs, endpoint.TrialMs, endpoint.Out = h.Pause.Milliseconds(), h.Trial.Milliseconds(), h.Out
				endpoint.LatencyMs, endpoint.Rate, endpoint.Limit = float64(h.Latency.Microseconds())/1000, h.Rate, h.Limit
			}
		}
		partner.Endpoints = append(partner.Endpoints, endpoint)
	}
	return partner
}

// Status implements adminapi.Backend.
func (r *Relay) Status(ctx context.Context) (adminapi.Status, error) {
	v, err := r.currentView(ctx)
	if err != nil {
		return adminapi.Status{}, err
	}
	return v.status, nil
}

// Partners implements adminapi.Backend.
func (r *Relay) Partners(ctx context.Context) ([]adminapi.Partner, error) {
	v, err := r.currentView(ctx)
	if err != nil {
		return nil, err
	}
	return v.partners, nil
}
