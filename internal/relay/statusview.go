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
		if view := r.standalone.view.Load(); view != nil && time.Since(view.at) < maxViewAge {
			return view
		}
		return nil
	}
	if view := fresh(); view != nil {
		return view, nil
	}
	select { // one request asks the loop, the others wait for its view
	case r.standalone.viewLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-r.standalone.viewLock }()
	if view := fresh(); view != nil {
		return view, nil
	}
	return onLoop(ctx, r, func() *cachedView {
		view := r.buildView()
		r.standalone.view.Store(view)
		return view
	})
}

// journalView describes the state of the journal.
func (r *Relay) journalView() adminapi.Journal {
	view := adminapi.Journal{Segments: r.journal.Segments(), MostBytes: r.journal.Budget(), Durability: "process"}
	if r.config.Power {
		view.Durability = "power"
	}
	switch {
	case r.journal.Broken != nil:
		view.Trouble = r.journal.Broken.Error()
	case r.journal.Full():
		view.Trouble = "the disk is full: what is held is recorded from spare room"
	}
	return view
}

// buildView describes the relay, on the loop.
func (r *Relay) buildView() *cachedView {
	state, now := r.standalone, time.Now()
	t := state.counters.totals
	phase, until := state.drains.Phase()
	status := adminapi.Status{API: adminapi.Version, Version: state.Version, PID: os.Getpid(), NowMs: now.UnixMilli(),
		UpMs: r.now().Milliseconds(), Listen: r.Addr(), State: r.config.State, Phase: string(phase), Held: len(r.pending),
		HeldMost: r.settings.MaxHeld, Out: r.callsInFlight, Slots: r.settings.Workers, Ends: state.ends.Len(), EndsMost: state.MaxEnds,
		DiskBytes: r.journal.Size(), Journal: r.journalView(),
		Totals: adminapi.Totals{Taken: t.taken, Turned: t.turned + r.rejectedBusy.Load(), Delivered: t.delivered,
			Refused: t.refused, Failed: t.failed, Calls: t.calls},
		Series: state.counters.series(now), Drains: []adminapi.Drained{}, Left: state.remaining}
	if !until.IsZero() {
		status.UntilMs = until.UnixMilli()
	}
	for _, drained := range state.drains.Entries() {
		status.Drains = append(status.Drains, adminapi.Drained{Target: drained.Target.String(),
			SinceMs: drained.Since.UnixMilli(), By: drained.RequestedBy})
	}
	for _, msg := range state.pendingInOrder {
		if !msg.ended {
			status.OldestMs = max(0, now.UnixMilli()-msg.TakenAt)
			break
		}
	}
	view := &cachedView{at: now}
	views := r.chooser.Views()
	for _, p := range state.directory.Load().all {
		partner := r.partnerView(p, views[p.Number])
		for _, endpoint := range partner.Endpoints {
			if status.Endpoints++; endpoint.Health != "healthy" {
				status.Unhealthy++
			}
		}
		view.partners = append(view.partners, partner)
	}
	view.status = status
	return view
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
		for _, hostView := range dest.Hosts {
			if hostView.Addr == e.ID {
				endpoint.Health, endpoint.Why = hostView.Health, hostView.Why
				endpoint.ForMs, endpoint.WaitMs = hostView.For.Milliseconds(), hostView.Wait.Milliseconds()
				endpoint.PauseMs, endpoint.TrialMs, endpoint.Out = hostView.Pause.Milliseconds(), hostView.Trial.Milliseconds(), hostView.Out
				endpoint.LatencyMs = float64(hostView.Latency.Microseconds()) / 1000
				endpoint.Rate, endpoint.Limit = hostView.Rate, hostView.Limit
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
