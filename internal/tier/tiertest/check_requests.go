package tiertest

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// checkMixed checks MIXED: a successful answer is the answer of a host to this very attempt. It has the attempt's id and a
// host's seal, a host ran the attempt without failure, and the complete answer of a tool is the body that the host sent.
func checkMixed(h *indexedHistory, report reportFunc) {
	for _, a := range h.attemptByID {
		if a.Status/100 != 2 {
			continue
		}
		notFailed := func(run *modelhost.Run) bool { return run.Outcome != modelhost.Failed }
		switch runs := h.runsByAttempt[a.ID]; {
		case a.Seal == "" || a.ResponseID != a.ID:
			report("%s has an answer with the id %q and the seal %q", a.ID, a.ResponseID, a.Seal)
		case !slices.ContainsFunc(runs, notFailed):
			report("%s was answered %d, but no host did", a.ID, a.Status)
		case a.Kind == Streaming:
		case a.Complete && !bytes.Equal(a.Body, modelhost.ToolBody(a.ID, h.ToolResponseBytes)):
			report("%s has an answer that looks whole and is not the host's: %q", a.ID, a.Body)
		}
	}
}

// checkOrder checks ORDER: a client receives the events of its turn's stream from the first on, each once and in order, and
// a stream ends as complete only if a host completed it with that many events.
func checkOrder(h *indexedHistory, report reportFunc) {
	for _, a := range h.attemptByID {
		if a.Kind != Streaming || a.Status != http.StatusOK {
			continue
		}
		for i, event := range a.Events {
			if want := (Event{i + 1, modelhost.Event(a.ID, i+1)}); event != want {
				report("%s has %+v for %+v", a.ID, event, want)
				break
			}
		}
		completed := func(run *modelhost.Run) bool {
			return run.Outcome == modelhost.Completed && run.Skipped+len(run.Events) == len(a.Events)
		}
		if a.Complete && !slices.ContainsFunc(h.runsByAttempt[a.ID], completed) {
			report("%s ended as complete after %d events, and no host's stream did", a.ID, len(a.Events))
		}
	}
}

// expectedHistory returns the history that a host must get with a turn that continues an attempt: the inputs and outputs
// of the chain of turns that ends with it, as clients received them. It returns false if a turn of the chain was not
// answered completely: its client cannot know its output, so that it must not be continued.
func (h *indexedHistory) expectedHistory(attempt string) (history []byte, ok bool) {
	var chain []*Attempt
	for attempt != "" {
		a := h.attemptByID[attempt]
		if a == nil || !a.Complete || a.Status != http.StatusOK || len(chain) > len(h.attemptByID) {
			return nil, false
		}
		chain, attempt = append(chain, a), a.Previous
	}
	for _, a := range slices.Backward(chain) {
		history = append(history, a.Input...)
		for _, event := range a.Events {
			history = append(append(history, event.Data...), '\n')
		}
	}
	return history, true
}

// checkUnasked checks UNASKED: hosts run only what clients sent, with its method, path and body; the body of a turn is
// preceded by the history of the turns that it continues.
func checkUnasked(h *indexedHistory, report reportFunc) {
	for _, run := range h.Runs {
		a := h.attemptByID[run.Attempt]
		if a == nil {
			report("a host ran %s, which no client sent", run.Attempt)
			continue
		}
		want := a.Input
		if a.Kind == Streaming {
			history, ok := h.expectedHistory(a.Previous)
			if !ok {
				report("a host ran %s, which continues %q, a turn that was not answered whole", a.ID, a.Previous)
				continue
			}
			want = append(history, a.Input...)
		}
		path, _, _ := strings.Cut(run.URI, "?")
		if run.Method != a.Method || path != a.Path || !bytes.Equal(run.Body, want) {
			report("a host got %s as %s %s %q, and should have as %s %s %q",
				a.ID, run.Method, run.URI, run.Body, a.Method, a.Path, want)
		}
	}
}

// idempotent reports whether the attempt may run more than once.
func (a *Attempt) idempotent() bool { return a.Kind == Idempotent || a.Resumable }

// checkTwice checks TWICE: an attempt that is not idempotent runs at most once.
func checkTwice(h *indexedHistory, report reportFunc) {
	for id, runs := range h.runsByAttempt {
		if a := h.attemptByID[id]; a != nil && !a.idempotent() && len(runs) > 1 {
			report("%s ran %d times", id, len(runs))
		}
	}
}

// checkRefused checks REFUSED: an attempt that is not idempotent and whose answer says that it was not executed did not
// run, and never runs.
func checkRefused(h *indexedHistory, report reportFunc) {
	for id, runs := range h.runsByAttempt {
		a := h.attemptByID[id]
		if a == nil || a.idempotent() {
			continue
		}
		if notExecuted(a.Status) || a.Status == http.StatusPaymentRequired {
			report("%s was answered %d and ran at %s", id, a.Status, runs[0].Host)
		}
	}
}

// checkLost checks LOST: a turn that was answered completely can be continued for the retention time, by its tenant.
func checkLost(h *indexedHistory, report reportFunc) {
	for _, a := range h.attemptByID {
		if a.Status != http.StatusNotFound && a.Status != http.StatusGone || a.Previous == "" {
			continue
		}
		previous := h.attemptByID[a.Previous]
		if previous != nil && previous.Complete && previous.Status == http.StatusOK && a.Ended.Sub(previous.Ended) < h.Retention &&
			!h.mayBeOfOtherTenant(a, previous) {
			report("%s was answered %d, though %s was answered whole %v before", a.ID, a.Status, a.Previous, a.Sent.Sub(previous.Ended))
		}
	}
}

// hasEndlessAnswer reports whether the last host that ran an attempt sent an answer that never ends.
func hasEndlessAnswer(runs []*modelhost.Run) bool { return runs[len(runs)-1].Endless }

// The bounds of checkLostByDrain.
const (
	drainCheckMargin   = time.Second            // past the grace period, up to which requests may have been sent
	longRequestWindow  = 3 * time.Second        // after SIGTERM, in which requests may be sent that outlast the grace period
	deadlineSlack      = 100 * time.Millisecond // before its deadline, from which a request may end without an answer
	graceEndProportion = 6                      // of the grace period, whose last part is left to requests that outlast it
)

// checkLostByDrain checks LOST around the SIGTERM of a front: what it passed on to a host is answered completely, unless the last host that
// ran it sent an answer that never ends, the deadline is reached or the request was sent soon after the SIGTERM and outlasts the grace
// period.
func checkLostByDrain(h *indexedHistory, report reportFunc) {
	for _, t := range h.Terminations {
		for _, a := range h.attemptByID {
			after := a.Sent.Sub(t.At)
			switch ended := a.Ended.Sub(t.At); {
			case a.Front != t.Front || a.Incarnation != t.Incarnation || a.Complete || len(h.runsByAttempt[a.ID]) == 0:
			case ended < 0 || after > h.GracePeriod+drainCheckMargin || hasEndlessAnswer(h.runsByAttempt[a.ID]):
			case !a.Deadline.IsZero() && a.Ended.After(a.Deadline.Add(-deadlineSlack)):
			case after <= longRequestWindow && ended >= h.GracePeriod-h.GracePeriod/graceEndProportion:
			default:
				report("%s, sent to %s %v after its SIGTERM, ran and ended %v after it without a complete answer: %s",
					a.ID, a.Front, after, ended, a.Err)
			}
		}
	}
}

// checkDenied checks DENIED: the tier itself answers no valid request with a redirect or a client error, except 402, the
// statuses of requests that were not executed, 404 where a configuration has no route or for checkLost to judge, and 401 where
// one has tenants and none of them holds the key.
func checkDenied(h *indexedHistory, report reportFunc) {
	for _, a := range h.attemptByID {
		if a.Status/100 != 3 && a.Status/100 != 4 || notExecuted(a.Status) || a.Status == http.StatusPaymentRequired {
			continue
		}
		if a.Status == http.StatusNotFound && (a.Previous != "" || len(h.versionsUsed(a)) > 0) {
			continue
		}
		if a.Status == http.StatusUnauthorized && len(h.versionsUsed(a)) > 0 {
			continue
		}
		if len(h.runsByAttempt[a.ID]) == 0 {
			report("%s of %s was answered %d by the tier: %s", a.ID, a.Path, a.Status, bytes.TrimSpace(a.Body))
		}
	}
}
