package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// sweep simulates the sweep of package turnstore, which pulls from one peer at a time and once from each peer in each phase.
func (m *simulation) sweep(store *host) {
	placement := store.placement
	if !store.mustSweep() {
		store.pullFrom = ""
		return
	}
	if phase := 2*placement.Generation + int64(min(1, len(placement.New))); store.sweepPhase != phase {
		store.sweepPhase, store.pulled, store.pullFrom, store.retryAt = phase, map[string]bool{}, "", 0
	}
	if store.pullFrom != "" {
		if m.now < store.pullEnds {
			return
		}
		m.endPull(store, placement)
	}
	if m.now < store.retryAt {
		return
	}
	if peer := m.nextPeer(store, placement); peer != "" {
		m.beginPull(store, peer)
		return
	}
	m.endSweep(store, placement)
}

// mustSweep reports whether the store is in the list whose stores sweep, and has not completed its sweep under this generation.
func (h *host) mustSweep() bool {
	p := h.placement
	if p == nil || h.sweptGeneration >= p.Generation || p.Generation == 1 {
		return false
	}
	return turnstore.ContainsStore(p.New, h.id) || len(p.New) == 0 && turnstore.ContainsStore(p.Old, h.id)
}

// beginPull starts a pull from a peer and schedules its end.
func (m *simulation) beginPull(store *host, peer string) {
	took := m.duration(10*time.Millisecond, m.maxPull)
	if store.pulledBefore[peer] { // only new writes are transferred
		took = min(took, 30*time.Millisecond)
	}
	switch peerHost := m.host(peer); {
	case peerHost != nil && !peerHost.isUp(), peerHost == nil && m.rng.IntN(2) == 0:
		took = pullTimeout
	case peerHost == nil:
		took = 0 // connection refused
	}
	store.pullFrom, store.pullEnds = peer, m.now+took
}

// endPull completes the current pull and records whether it succeeded.
func (m *simulation) endPull(store *host, placement *turnstore.Placement) {
	if m.pull(store, placement, store.pullFrom) {
		store.pulled[store.pullFrom] = true
	} else {
		store.pulled[store.pullFrom] = false
		store.unresponsiveUntil[store.pullFrom] = m.now + unresponsiveFor
	}
	store.pullFrom = ""
}

// endSweep completes a sweep. If the sweep missed more peers than may be lost, these are retried later instead.
func (m *simulation) endSweep(store *host, placement *turnstore.Placement) {
	missed := 0
	for _, peer := range placement.Old {
		if peer.ID != store.id && !store.pulled[peer.ID] {
			missed++
			delete(store.pulled, peer.ID)
		}
	}
	if missed > m.faultTolerance && m.bug != sweepMissesAny {
		store.retryAt = m.now + sweepRetryInterval
		return
	}
	store.sweptGeneration = placement.Generation
	m.logEvent("%s has completed its sweep of generation %d, missed %d", store.id, placement.Generation, missed)
}

// nextPeer returns the peer from which to pull next, or "". Peers that were recently unresponsive come last, and are skipped if
// they are not needed.
func (m *simulation) nextPeer(store *host, placement *turnstore.Placement) string {
	remaining := 0
	for _, peer := range placement.Old {
		if peer.ID != store.id && !store.pulled[peer.ID] {
			remaining++
		}
	}
	for _, unresponsive := range []bool{false, true} {
		for _, peer := range placement.Old {
			_, tried := store.pulled[peer.ID]
			needed := !unresponsive || remaining > m.faultTolerance
			if peer.ID != store.id && !tried && (store.unresponsiveUntil[peer.ID] > m.now) == unresponsive && needed {
				return peer.ID
			}
		}
	}
	return ""
}

func (m *simulation) pull(store *host, placement *turnstore.Placement, from string) bool {
	peer := m.host(from)
	if peer == nil || !peer.isUp() || peer.adoptedGeneration < placement.Generation && m.bug != pullBeforeAdoption {
		return false
	}
	store.pulledBefore[from] = true
	for program := range programCount {
		for _, replicas := range m.replicaSetsUnder(placement, program) {
			if turnstore.ContainsStore(replicas, store.id) {
				store.writes |= peer.writes & m.programWrites[program]
			}
		}
	}
	return true
}
