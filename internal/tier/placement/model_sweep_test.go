package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// sweep is as turnstore's: peer after peer; what was pulled under a gen is not pulled again.
func (m *simulation) sweep(store *host) {
	placement := store.known
	if placement == nil || store.swept >= placement.Generation || placement.Generation == 1 || !containsStore(placement.New, store.id) && (len(placement.New) > 0 || !containsStore(placement.Old, store.id)) {
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
		if m.pull(store, placement, store.pullFrom) {
			store.pulled[store.pullFrom] = true
		} else {
			store.pulled[store.pullFrom] = false
			store.unresponsiveUntil[store.pullFrom] = m.now + unresponsiveFor
		}
		store.pullFrom = ""
	}
	if m.now < store.retryAt {
		return
	}
	if peer := m.nextPeer(store, placement); peer != "" {
		took := m.duration(10*time.Millisecond, m.maxPull)
		if store.pulledBefore[peer] { // most of it is here
			took = min(took, 30*time.Millisecond)
		}
		switch peerHost := m.host(peer); {
		case peerHost != nil && !peerHost.isUp(), peerHost == nil && m.rng.IntN(2) == 0:
			took = pullTimeout
		case peerHost == nil:
			took = 0 // refused
		}
		store.pullFrom, store.pullEnds = peer, m.now+took
		return
	}
	missed := 0
	for _, peer := range placement.Old {
		if peer.ID != store.id && !store.pulled[peer.ID] {
			missed++
			delete(store.pulled, peer.ID)
		}
	}
	if missed > m.faultTolerance && m.fault != sweepMissesAny {
		store.retryAt = m.now + sweepRetryInterval
		return
	}
	store.swept = placement.Generation
	m.logEvent("%s has swept gen %d, missed %d", store.id, placement.Generation, missed)
}

// nextPeer gives the one to pull from: those that said nothing a moment ago come last, and not at all where they are
// not needed.
func (m *simulation) nextPeer(store *host, placement *turnstore.Placement) string {
	remaining := 0
	for _, peer := range placement.Old {
		if peer.ID != store.id && !store.pulled[peer.ID] {
			remaining++
		}
	}
	for _, silent := range []bool{false, true} {
		for _, peer := range placement.Old {
			if _, tried := store.pulled[peer.ID]; peer.ID != store.id && !tried && (store.unresponsiveUntil[peer.ID] > m.now) == silent && (!silent || remaining > m.faultTolerance) {
				return peer.ID
			}
		}
	}
	return ""
}

func (m *simulation) pull(store *host, placement *turnstore.Placement, from string) bool {
	peer := m.host(from)
	if peer == nil || !peer.isUp() || peer.adopted < placement.Generation && m.fault != pullBeforeAdoption {
		return false
	}
	store.pulledBefore[from] = true
	for program := range programCount {
		for _, replicas := range m.replicaSetsUnder(placement, program) {
			if containsStore(replicas, store.id) {
				store.writes |= peer.writes & m.programWrites[program]
			}
		}
	}
	return true
}
