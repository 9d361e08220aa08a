package tiertest

import (
	"bytes"
	"slices"
)

// checkRoute checks ROUTE: an attempt runs only at the service to which some version routes its path that was sent before
// the attempt ended and not rejected.
func checkRoute(h *indexedHistory, report reportFunc) {
	for _, run := range h.Runs {
		if a := h.attemptByID[run.Attempt]; a != nil && len(h.versionsAllowing(a.Path, run.Service, a.Ended)) == 0 {
			report("%s of %s ran at %s, which no configuration has", a.ID, a.Path, run.Service)
		}
	}
}

// checkConfigApplied checks CONFIG: what is sent more than ApplyTimeout after a version was acknowledged is handled by that
// version or a later one.
func checkConfigApplied(h *indexedHistory, report reportFunc) {
	for _, a := range h.attemptByID {
		versions := h.versionsUsed(a)
		if len(versions) == 0 {
			continue
		}
		newest := slices.Max(versions)
		for _, order := range h.Orders {
			if !order.Acknowledged.IsZero() && a.Sent.Sub(order.Acknowledged) > ApplyTimeout && newest < order.Version {
				report("%s was handled at %s as only version %d and older allow, %v after version %d was acknowledged",
					a.ID, a.Front, newest, a.Sent.Sub(order.Acknowledged), order.Version)
				break
			}
		}
	}
}

// frontProcess is one incarnation of a front's process.
type frontProcess struct {
	front       string
	incarnation int
}

// checkConfigMonotonic checks CONFIG: the version that a process acts on never decreases. An attempt that is sent after
// another one ended at the same process is not handled as only versions older than the other's allow.
func checkConfigMonotonic(h *indexedHistory, report reportFunc) {
	byProcess := map[frontProcess][]*Attempt{}
	for i := range h.Attempts {
		if a := &h.Attempts[i]; len(h.versionsUsed(a)) > 0 {
			process := frontProcess{a.Front, a.Incarnation}
			byProcess[process] = append(byProcess[process], a)
		}
	}
	for process, attempts := range byProcess {
		h.checkProcessMonotonic(process, attempts, report)
	}
}

func (h *indexedHistory) checkProcessMonotonic(process frontProcess, attempts []*Attempt, report reportFunc) {
	byEnd := slices.SortedFunc(slices.Values(attempts), func(a, b *Attempt) int { return a.Ended.Compare(b.Ended) })
	bySent := slices.SortedFunc(slices.Values(attempts), func(a, b *Attempt) int { return a.Sent.Compare(b.Sent) })
	seen, seenBy := int64(0), (*Attempt)(nil) // the highest version that an ended attempt needs
	for _, a := range bySent {
		for len(byEnd) > 0 && byEnd[0].Ended.Before(a.Sent) {
			if oldest := slices.Min(h.versionsUsed(byEnd[0])); oldest > seen {
				seen, seenBy = oldest, byEnd[0]
			}
			byEnd = byEnd[1:]
		}
		if newest := slices.Max(h.versionsUsed(a)); newest < seen {
			report("%s went back from version %d (%s) to %d (%s)", process.front, seen, seenBy.ID, newest, a.ID)
		}
	}
}

// checkConfigReadBack checks CONFIG: the configuration that is read back at the end is one that was sent and not rejected,
// byte for byte, and not older than the newest acknowledged one.
func checkConfigReadBack(h *indexedHistory, report reportFunc) {
	if h.ReadBack == nil {
		return
	}
	newest := newestAcknowledged(h.Orders)
	i := slices.IndexFunc(h.Orders, func(o Order) bool { return bytes.Equal(o.Body, h.ReadBack) && !o.Rejected })
	if i < 0 || h.Orders[i].Version < newest {
		report("what is read back is not version %d, which was acknowledged, or a later one: %.100q", newest, h.ReadBack)
	}
}

// checkConfigAcknowledged checks CONFIG: no invalid order is acknowledged, and of the orders that replace the same version
// at most one is.
func checkConfigAcknowledged(h *indexedHistory, report reportFunc) {
	successor := map[int64]int64{} // by the version that was replaced
	for _, order := range h.Orders {
		if order.Acknowledged.IsZero() {
			continue
		}
		if order.Invalid {
			report("version %d is invalid and was acknowledged", order.Version)
		}
		if other, exists := successor[order.BaseVersion]; exists && other != order.Version {
			report("versions %d and %d build on version %d, and both were acknowledged", other, order.Version, order.BaseVersion)
		}
		successor[order.BaseVersion] = order.Version
	}
}
