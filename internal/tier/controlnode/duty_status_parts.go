package controlnode

import (
	"slices"
	"strings"
	"time"

	"larchrouter/internal/tier/duty"
	"larchrouter/internal/tier/usage"
)

const (
	maxShownBody   = 200 // bytes of a call's body
	callTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// addDutySnapshot adds what the goroutine of the duties has published, and its calls. Lists are empty instead of nil, so that they
// are never null in JSON.
func (s *Server) addDutySnapshot(status *DutyStatus, isHead bool) {
	snapshot := s.taskSnapshot.Load()
	if snapshot == nil {
		snapshot = &dutySnapshot{at: time.Now()}
	}
	status.StepAgeMs = time.Since(snapshot.at).Milliseconds()
	if isHead && snapshot.tokenBase != 0 {
		status.Token = snapshot.tokenBase + status.Epoch
	}
	status.Usage = UsageDutyStatus{
		Expected:         s.settings.HasDuty(usageDutyName),
		Unacknowledged:   windowStatuses(snapshot.usage.unacknowledged, s.trueNow(), s.usageWindow(), s.usageLate()),
		LastRecorded:     snapshot.usage.lastRecorded,
		LastAcknowledged: snapshot.usage.lastAcknowledged,
		Outcomes:         s.taskCalls.countsOf(usagePath),
		Calls:            s.taskCalls.newestOf(usagePath),
	}
	status.Scale = ScaleDutyStatus{
		Expected:   s.settings.HasDuty(scaleDutyName),
		Fronts:     int64(snapshot.scale.fronts),
		MostFronts: int64(snapshot.scale.mostFronts),
		Subjects:   append([]ScaleSubjectStatus{}, snapshot.scale.subjects...),
		Outcomes:   s.taskCalls.countsOf(scalePath),
		Calls:      s.taskCalls.newestOf(scalePath),
	}
}

// windowStatuses returns the state of windows at a time.
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

// newestOf returns the newest calls of a path, the newest first.
func (l *dutyCallLog) newestOf(path string) []DutyCallStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := []DutyCallStatus{}
	for _, call := range slices.Backward(l.newest) {
		if call.path != path {
			continue
		}
		calls = append(calls, DutyCallStatus{
			Time:    call.at.UTC().Format(callTimeFormat),
			AgeMs:   time.Since(call.at).Milliseconds(),
			Path:    call.path,
			Token:   call.token,
			Outcome: call.outcome.String(),
			Body:    strings.ToValidUTF8(string(call.body[:min(maxShownBody, len(call.body))]), ""),
		})
	}
	return calls
}

// countsOf returns the numbers of calls of some paths.
func (l *dutyCallLog) countsOf(paths ...string) (counts DutyCallsByResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, path := range paths {
		count := func(outcome duty.Outcome) int64 { return int64(l.counts[countedCalls{path, outcome}]) }
		counts.Accepted += count(duty.Accepted)
		counts.Refused += count(duty.Refused)
		counts.Busy += count(duty.Busy)
		counts.Invalid += count(duty.Invalid)
		counts.NotSent += count(duty.NotSent)
		counts.Unknown += count(duty.Unknown)
	}
	return counts
}
