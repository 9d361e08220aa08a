package controlnode

import (
	"maps"
	"slices"
	"time"
)

// taskSnapshot is the state of the singleton tasks after a step, for operators. It is immutable.
type taskSnapshot struct {
	at        time.Time
	tokenBase int64 // 0 until it is known
	usage     usageSnapshot
	scale     scaleSnapshot
}

// usageSnapshot is the state of usageTask. It is empty while the node does not hold the lease.
type usageSnapshot struct {
	unacknowledged   []int64 // recorded windows, in ascending order
	lastRecorded     int64   // 0 for none
	lastAcknowledged int64   // 0 for none
}

// scaleSnapshot is the state of scaleTask. It is empty while the node does not hold the lease.
type scaleSnapshot struct {
	recentFronts, knownFronts int
	subjects                  []ScaleSubjectStatus
}

// publishSnapshot publishes the state of the singleton tasks. It runs on their goroutine.
func (d *taskRunner) publishSnapshot() {
	snapshot := &taskSnapshot{at: time.Now(), tokenBase: d.tokenBase}
	if d.heldEpoch != 0 && d.usage != nil {
		snapshot.usage = d.usage.snapshot()
	}
	if d.heldEpoch != 0 && d.scale != nil {
		snapshot.scale = d.scale.snapshot()
	}
	d.server.taskSnapshot.Store(snapshot)
}

// snapshot returns the state for operators.
func (u *usageTask) snapshot() usageSnapshot {
	return usageSnapshot{
		unacknowledged:   slices.Sorted(maps.Keys(u.unacknowledged)),
		lastRecorded:     newestWindow(slices.Values(u.recorded)),
		lastAcknowledged: newestWindow(maps.Keys(u.acknowledged)),
	}
}

// newestWindow returns the highest window number, 0 for none.
func newestWindow(windows func(yield func(int64) bool)) (newest int64) {
	for window := range windows {
		newest = max(newest, window)
	}
	return newest
}

// snapshot returns the state for operators.
func (d *scaleTask) snapshot() scaleSnapshot {
	snapshot := scaleSnapshot{recentFronts: d.recentFronts, knownFronts: d.knownFronts}
	for _, subject := range d.plannedSubjects {
		inForce, _ := d.planner.InForce(subject.Subject)
		snapshot.subjects = append(snapshot.subjects, ScaleSubjectStatus{
			Service:     subject.Service,
			Zone:        subject.Zone,
			InForce:     int64(inForce),
			Listed:      int64(subject.Hosts),
			Min:         int64(subject.Min),
			Max:         int64(subject.Max),
			Concurrency: subject.Concurrency,
		})
	}
	return snapshot
}
