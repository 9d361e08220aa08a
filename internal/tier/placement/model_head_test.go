package placement

import (
	"sort"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// stepHead delivers registrations to the head and, every 100 ms, plans.
func (m *simulation) stepHead() {
	sort.SliceStable(m.inTransit, func(i, j int) bool { return m.inTransit[i].arrivesAt < m.inTransit[j].arrivesAt })
	for len(m.inTransit) > 0 && m.inTransit[0].arrivesAt <= m.now {
		arrived := m.inTransit[0]
		m.inTransit = m.inTransit[1:]
		if arrived.stopRequest != nil {
			m.requestStop(arrived.stopRequest, arrived.registration.Store.ID)
			continue
		}
		Register(m.stores, arrived.registration, m.now, m.timings)
		Register(m.referenceStores, arrived.registration, m.now, m.timings)
	}
	if m.now%(100*time.Millisecond) != 0 {
		return
	}
	if m.currentPlacement != nil && m.currentPlacement.Generation != m.generation {
		m.generation, m.generationSince = m.currentPlacement.Generation, m.now
	}
	in := m.input()
	m.checkConfirmedStoresAreNotFailed(&in)
	if m.now%reportInterval == 0 && m.reportLossRand.IntN(4) > 0 {
		m.lastReport = in.Observe(m.timings)
	}
	if m.bug != retirementNotExtended {
		for _, store := range SuccessorsOfRetiringStores(in) {
			m.retired[store.ID] = true
			m.logEvent("retirement extends to %s", store.ID)
		}
	}
	if m.currentPlacement != nil && m.initialStores == 0 {
		m.initialStores = InitialStores(m.currentPlacement, m.retired)
		m.logEvent("%d stores are recorded", m.initialStores)
		return
	}
	next := m.plan(in)
	if next == nil {
		return
	}
	if m.bug == jointPhaseSkipped && len(next.New) > 0 {
		next.Old, next.New = next.New, nil
	}
	m.apply(next)
}

// requestStop delivers a request to stop to the head, and its decision to the host.
func (m *simulation) requestStop(h *host, id string) {
	decision := RequestStop(m.input(), id, m.timings)
	if status, known := m.referenceStores[id]; known {
		status.StopRequestedAt = m.now
		m.referenceStores[id] = status
	}
	if decision != h.lastDecision { // a line for each change
		m.logEvent("%s may stop: %d", id, decision)
		h.lastDecision = decision
	}
	if h.id != id || h.stopRequestedAt == 0 || decision == StopDenied {
		return
	}
	arrivesAt := m.now + m.duration(step, 150*time.Millisecond)
	if decision == StopUnplaced {
		h.leftAt = min(h.leftAt, arrivesAt)
		arrivesAt += stopLinger
	}
	h.stopPermittedAt = min(h.stopPermittedAt, arrivesAt)
}

func (m *simulation) input() Input {
	return Input{NominalStores: NominalStores(m.initialStores, m.retired), Now: m.now, TookOverAt: m.tookOverAt, Inherited: m.inherited,
		GenerationSince: m.inherited.GenerationSince(m.generation, max(m.tookOverAt, m.generationSince)),
		FaultTolerance:  m.faultTolerance, Current: m.currentPlacement, Stores: m.stores, Retired: m.retired, Departures: m.departures}
}

// apply makes a planned placement the current one.
func (m *simulation) apply(next *turnstore.Placement) {
	switch {
	case m.currentPlacement == nil:
	case len(next.New) > 0 && len(m.currentPlacement.New) == 0:
		m.jointSince = m.now
		m.changes++
	case len(next.New) == 0:
		m.longestJoint = max(m.longestJoint, m.now-m.jointSince)
	}
	m.previousPlacement, m.previousUntil = m.currentPlacement, m.now+m.duration(0, m.maxDelivery+200*time.Millisecond)
	m.departures.Record(m.currentPlacement, next, m.retired, m.now)
	m.currentPlacement = next
	m.logEvent("generation %d %s > %s", next.Generation, storeIDs(next.Old), storeIDs(next.New))
	for _, store := range m.hosts {
		if store.up {
			m.deliverPlacement(store)
		}
	}
}

// changeHead simulates a change of the head. The new head has the last observations received from the previous one.
func (m *simulation) changeHead() {
	if m.bug == nominalForgotten {
		m.initialStores = 0
	}
	m.stores, m.tookOverAt, m.inherited, m.departures = map[string]StoreStatus{}, m.now, m.lastReport, Departures{}
	m.logEvent("head changed")
}

// checkConfirmedStoresAreNotFailed checks that no store counts as failed that a permanent head would have confirmed recently.
func (m *simulation) checkConfirmedStoresAreNotFailed(in *Input) {
	if in.Current == nil {
		return
	}
	for _, store := range in.Current.Stores() {
		status, known := m.referenceStores[store.ID]
		if known && status.ConfirmedAt > 0 && m.now-status.ConfirmedAt <= m.timings.SuspectTimeout &&
			in.elapsed(store.ID, m.timings) > m.timings.FailureTimeout {
			m.fail("UNRESPONSIVE: %s, confirmed %v ago, counts as failed", store.ID, m.now-status.ConfirmedAt)
		}
	}
}

func (m *simulation) plan(in Input) *turnstore.Placement {
	if m.bug == changeEndsUnswept || m.bug == anyUnresponsiveUnswept {
		in.Stores = map[string]StoreStatus{}
		for id, status := range m.stores {
			if in.Current != nil && (m.bug == changeEndsUnswept || in.Now-status.ConfirmedAt > m.timings.FailureTimeout/4) {
				status.SweptGeneration = in.Current.Generation
			}
			in.Stores[id] = status
		}
	}
	next := Plan(in, m.timings)
	if next != nil && m.currentPlacement == nil && m.bug == initialGenerationOne {
		next.Generation = 1
	}
	return next
}
