package drain

import (
	"cmp"
	"fmt"
	"time"
)

// Drain closes a target. A second drain of the same target changes nothing, except that an earlier deadline of the relay
// replaces the present one. The last open endpoint of a partner is refused unless allowLast is set, since the partner's
// messages would wait until their deadlines. The time-out counts for the relay only; 0 is DefaultTimeout.
func (s *StateTable) Drain(
	t Target, requestedBy string, timeout time.Duration, allowLast bool, now time.Time,
) (Change, error) {
	if err := s.CheckKnown(t); err != nil {
		return Change{}, err
	}
	if s.phase == Stopping && t.Scope == Relay {
		return Change{}, ErrStopping
	}
	timeout, err := relayTimeout(t, timeout)
	if err != nil {
		return Change{}, err
	}
	entry := Entry{t, now, requestedBy, timeout}
	if present, ok := s.entries[t]; ok {
		return s.shorten(present, now.Add(timeout)), nil
	}
	if t.Scope == Endpoint && !allowLast && s.IsLastOpen(t.Name) {
		return Change{}, fmt.Errorf("%s: %w", t, ErrLastEndpoint)
	}
	if len(s.entries) >= maxEntries {
		return Change{}, ErrTooMany
	}
	s.entries[t] = entry
	if t.Scope == Relay {
		s.phase, s.deadline = Draining, now.Add(timeout)
	}
	return Change{Result: ResultDrained, Set: []Entry{entry}}, nil
}

// relayTimeout returns the time-out of a drain of the target: zero unless it is the relay.
func relayTimeout(t Target, timeout time.Duration) (time.Duration, error) {
	switch {
	case t.Scope != Relay:
		return 0, nil
	case timeout == 0:
		return DefaultTimeout, nil
	case timeout < MinTimeout || timeout > MaxTimeout:
		return 0, ErrInvalidTimeout
	}
	return timeout, nil
}

// shorten gives the relay's drain an earlier deadline. It changes nothing for another target, after the drain has ended,
// and if the deadline is not earlier.
func (s *StateTable) shorten(entry Entry, deadline time.Time) Change {
	if entry.Target.Scope != Relay || s.phase == Drained || !deadline.Before(s.deadline) {
		return Change{Result: ResultAlreadyDrained}
	}
	s.deadline = deadline
	entry.Timeout = deadline.Sub(entry.Since)
	s.entries[entry.Target] = entry
	return Change{Result: ResultShortened, Set: []Entry{entry}}
}

// Undrain removes the entry of a target, also while its drain is in progress; calls in flight are not affected. Undraining
// a partner leaves the entries of its endpoints; an endpoint whose partner is drained stays closed. A target that is no
// longer in the list can be undrained, so that no entry stays for good.
func (s *StateTable) Undrain(t Target, now time.Time) (Change, error) {
	if t.Scope == Relay && s.phase == Stopping {
		return Change{}, ErrStopping
	}
	if !s.hasEntry(t) {
		if err := s.CheckKnown(t); err != nil {
			return Change{}, err
		}
		return Change{Result: cmp.Or(s.remainingResult(t), ResultNotDrained)}, nil
	}
	delete(s.entries, t)
	if t.Scope == Relay {
		s.phase, s.deadline = Serving, time.Time{}
	}
	return Change{Result: cmp.Or(s.remainingResult(t), ResultUndrained), Removed: []Target{t}}, nil
}

// remainingResult returns the result for a target that has no entry of its own but is closed by another; empty if it
// is open.
func (s *StateTable) remainingResult(t Target) Result {
	partner := Target{Partner, s.partnerOf[t.Name]}
	switch {
	case s.closed(t):
		return ResultFleetDrained
	case t.Scope != Endpoint:
	case s.hasEntry(partner):
		return ResultPartnerDrained
	case s.closed(partner):
		return ResultFleetDrained
	}
	return ""
}

// Stop begins a graceful stop. It replaces a drain of the relay in progress; the earlier of the two deadlines counts. The
// entry of the drain stays, so that the relay is still drained after the next start.
func (s *StateTable) Stop(timeout time.Duration, now time.Time) (Change, error) {
	if timeout < MinTimeout || timeout > MaxTimeout {
		return Change{}, ErrInvalidTimeout
	}
	deadline := now.Add(timeout)
	if (s.phase == Stopping || s.phase == Draining) && s.deadline.Before(deadline) {
		deadline = s.deadline
	}
	again := s.phase == Stopping
	if s.phase == Drained { // its time-out is over: only calls in flight may still finish
		deadline = now.Add(MinTimeout)
	}
	s.phase, s.deadline = Stopping, deadline
	if again {
		return Change{Result: ResultAlreadyStopping}, nil
	}
	return Change{Result: ResultStopping}, nil
}

// Tick ends the drain of the relay if nothing is pending or its deadline has passed, and reports whether it did so. It
// reports that once for each drain.
func (s *StateTable) Tick(pending int, now time.Time) bool {
	if s.phase != Draining || pending > 0 && now.Before(s.deadline) {
		return false
	}
	s.phase = Drained
	return true
}
