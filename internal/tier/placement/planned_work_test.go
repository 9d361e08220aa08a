package placement

import "time"

// maxPlannedReplacements is how many stores are replaced as planned in one piece of planned work.
const maxPlannedReplacements = 3

// plannedReplacement replaces one store: the successor comes first, then the predecessor gets SIGTERM.
type plannedReplacement struct {
	predecessor *host
	ripeAt      time.Duration // from then on the predecessor does not count as lost once it has stopped
}

// beginPlannedWork restarts a store, or replaces some.
func (injector *faultInjector) beginPlannedWork() {
	if injector.currentPlacement == nil {
		return
	}
	if injector.rng.IntN(3) == 0 {
		injector.restartAsPlanned()
		return
	}
	replacements := injector.startSuccessors(1 + injector.rng.IntN(maxPlannedReplacements))
	wait := injector.duration(200*time.Millisecond, injector.catchUpTime+3*time.Second)
	for _, replacement := range replacements {
		injector.schedule(wait, func() { injector.terminateReplaced(replacement) })
		if injector.rng.IntN(2) == 0 { // apart, otherwise at once
			wait += injector.duration(step, 6*time.Second)
		}
	}
}

// startSuccessors starts a successor for each of some stores, sometimes under the name of its predecessor.
func (injector *faultInjector) startSuccessors(count int) (replacements []plannedReplacement) {
	for range count {
		predecessor := injector.randomUpHost()
		if predecessor == nil || predecessor.isReplaced || predecessor.retired || predecessor.stopRequestedAt > 0 {
			continue
		}
		predecessor.isReplaced = true
		name := ""
		if injector.rng.IntN(4) == 0 {
			name = predecessor.name
		}
		successor := injector.add(name)
		injector.logEvent("%s will replace %s", successor.name, predecessor.name)
		replacements = append(replacements, plannedReplacement{predecessor, injector.now + injector.catchUpTime})
	}
	return replacements
}

// terminateReplaced stops a store whose successor is there. While the successor is catching up, the store counts as lost from then
// on: the order waits until that is permitted.
func (injector *faultInjector) terminateReplaced(replacement plannedReplacement) {
	old := replacement.predecessor
	mayBeLost := injector.now >= replacement.ripeAt || injector.countLost() < injector.faultTolerance
	switch {
	case old.removed:
		return
	case !old.isUp() || old.lostUntil > injector.now || old.stopRequestedAt > 0 || !mayBeLost:
		injector.schedule(step, func() { injector.terminateReplaced(replacement) })
		return
	}
	old.lostUntil = replacement.ripeAt
	injector.terminate(old, func() {
		injector.logEvent("%s is removed as planned", old.name)
		injector.remove(old)
		old.lostUntil = replacement.ripeAt
	})
}

// restartAsPlanned restarts a store. It counts as lost from its SIGTERM on.
func (injector *faultInjector) restartAsPlanned() {
	host := injector.randomUpHost()
	if host == nil || host.stopRequestedAt > 0 || injector.countLost() >= injector.faultTolerance {
		return
	}
	host.lostUntil = never
	away := injector.duration(200*time.Millisecond, 3*time.Second)
	injector.terminate(host, func() { injector.schedule(away, func() { injector.restart(host) }) })
}
