package controlnode

import (
	"slices"
	"strings"
	"time"

	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/usage"
)

const (
	maxShownBody   = 200 // bytes of the body of a call
	callTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// addTaskSnapshot adds the published state of the singleton tasks and their calls to a status. Lists are empty instead of nil, so that
// they are never null in JSON.
func (s *Server) addTaskSnapshot(status *TaskStatus, isHead bool) {
	snapshot := s.taskSnapshot.Load()
	if snapshot == nil {
		snapshot = &taskSnapshot{at: time.Now()}
	}
	status.StepAgeMs = time.Since(snapshot.at).Milliseconds()
	if isHead && snapshot.tokenBase != 0 {
		status.Token = snapshot.tokenBase + status.Epoch
	}
	status.Usage = UsageTaskStatus{
		Expected:         s.settings.HasDuty(usageTaskName),
		Unacknowledged:   windowStatuses(snapshot.usage.unacknowledged, s.trueNow(), s.usageWindow(), s.usageLate()),
		LastRecorded:     snapshot.usage.lastRecorded,
		LastAcknowledged: snapshot.usage.lastAcknowledged,
		Outcomes:         s.taskCalls.countsOf(usagePath),
		Calls:            s.taskCalls.newestOf(usagePath),
	}
	status.Scale = ScaleTaskStatus{
		Expected:     s.settings.HasDuty(scaleTaskName),
		RecentFronts: int64(snapshot.scale.recentFronts),
		KnownFronts:  int64(snapshot.scale.knownFronts),
		Subjects:     append([]ScaleSubjectStatus{}, snapshot.scale.subjects...),
		Outcomes:     s.taskCalls.countsOf(scalePath),
		Calls:        s.taskCalls.newestOf(scalePath),
	}
}

// windowStatuses returns the states of windows at a time.
func windowStatuses(windows []int64, now time.Time, length, late time.Duration) []WindowStatus {
	statuses := []WindowStatus{}
	for _, window := range windows {
		age := now.Sub(usage.WindowEnd(window, length))
		statuses = append(statuses, WindowStatus{Window: window, EndedMs: age.Milliseconds(), Late: age > late})
	}
	return statuses
}

// clockOffset returns by how much the wall clock of this node is ahead of the time by which it numbers windows.
func (s *Server) clockOffset() time.Duration { return time.Now().Round(0).Sub(s.trueNow()) }

// newestOf returns the retained calls of a path, newest first.
func (l *platformCallLog) newestOf(path string) []PlatformCallStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := []PlatformCallStatus{}
	for _, call := range slices.Backward(l.newest) {
		if call.path != path {
			continue
		}
		calls = append(calls, PlatformCallStatus{
			Time:    call.endedAt.UTC().Format(callTimeFormat),
			AgeMs:   time.Since(call.endedAt).Milliseconds(),
			Path:    call.path,
			Token:   call.token,
			Outcome: call.outcome.String(),
			Body:    strings.ToValidUTF8(string(call.body[:min(maxShownBody, len(call.body))]), ""),
		})
	}
	return calls
}

// countsOf returns the numbers of calls of some paths by outcome.
func (l *platformCallLog) countsOf(paths ...string) (counts PlatformCallCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, path := range paths {
		count := func(outcome fencedcall.Outcome) int64 { return int64(l.counts[callCountKey{path, outcome}]) }
		counts.Accepted += count(fencedcall.Accepted)
		counts.Refused += count(fencedcall.Refused)
		counts.Busy += count(fencedcall.Busy)
		counts.Invalid += count(fencedcall.Invalid)
		counts.NotSent += count(fencedcall.NotSent)
		counts.Unknown += count(fencedcall.Unknown)
	}
	return counts
}
