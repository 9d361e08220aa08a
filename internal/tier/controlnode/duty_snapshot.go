package controlnode

import (
	"maps"
	"slices"
	"time"
)

// dutySnapshot is the state of the duties after a step, for operators. It is immutable.
type dutySnapshot struct {
	at        time.Time
	tokenBase int64 // 0 until it is known
	usage     usageSnapshot
	scale     scaleSnapshot
}

// usageSnapshot is the state of usageDuty; it is empty while the node has no lease.
type usageSnapshot struct {
	unacknowledged   []int64 // recorded windows, by rising number
	lastRecorded     int64   // 0 for none
	lastAcknowledged int64   // 0 for none
}

// scaleSnapshot is the state of scaleDuty; it is empty while the node has no lease.
type scaleSnapshot struct {
	fronts, mostFronts int
	subjects           []ScaleSubjectStatus
}

// publishSnapshot publishes the state of the duties. It runs on the goroutine of the duties.
func (d *dutyRunner) publishSnapshot() {
	snapshot := &dutySnapshot{at: time.Now(), tokenBase: d.tokenBase}
	if d.heldEpoch != 0 && d.usage != nil {
		snapshot.usage = d.usage.snapshot()
	}
	if d.heldEpoch != 0 && d.scale != nil {
		snapshot.scale = d.scale.snapshot()
	}
	d.server.taskSnapshot.Store(snapshot)
}

// snapshot returns the state for operators.
func (u *usageDuty) snapshot() usageSnapshot {
	return usageSnapshot{
		unacknowledged:   slices.Sorted(maps.Keys(u.unsent)),
		lastRecorded:     newestWindow(slices.Values(u.recorded)),
		lastAcknowledged: newestWindow(maps.Keys(u.accepted)),
	}
}

// newestWindow returns the highest window, 0 for none.
func newestWindow(windows func(yield func(int64) bool)) (newest int64) {
	for window := range windows {
		newest = max(newest, window)
	}
	return newest
}

// snapshot returns the state for operators.
func (d *scaleDuty) snapshot() scaleSnapshot {
	snapshot := scaleSnapshot{fronts: d.fronts, mostFronts: d.mostFronts}
	for _, subject := range d.seen {
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
