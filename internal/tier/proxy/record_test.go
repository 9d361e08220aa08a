package proxy

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// sentResponse is a response that a host sent.
type sentResponse struct {
	status   int
	seal     string
	body     string
	complete bool
}

// observed is what a client got for a request.
type observed struct {
	id          string // that the client sent
	kind        string // route_kind
	maxAttempts int    // max_attempts
	answer
}

// record is what hosts did and clients observed, by X-Attempt-Id. Its violations are those of the rules, whoever is at fault.
type record struct {
	mu        sync.Mutex
	seals     int
	received  map[string][]string // hosts that got the complete request
	ran       map[string][]string // hosts that ran it
	responses map[string][]sentResponse
	seen      []observed
}

func newRecord() *record {
	return &record{received: map[string][]string{}, ran: map[string][]string{}, responses: map[string][]sentResponse{}}
}

func (r *record) recordReceived(id, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[id] = append(r.received[id], host)
}

func (r *record) recordRan(id, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id] = append(r.ran[id], host)
}

// recordResponse records a response and returns a unique seal for it.
func (r *record) recordResponse(id string, status int, body string, complete bool) (seal string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seals++
	seal = fmt.Sprint("s", r.seals)
	r.responses[id] = append(r.responses[id], sentResponse{status, seal, body, complete})
	return seal
}

func (r *record) recordObserved(s observed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, s)
}

// violations returns the rules that are violated. It is to be called once nothing runs any more.
func (r *record) violations() (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.seen {
		for _, rule := range []string{r.checkTwice(s), r.checkRefused(s), r.checkBudget(s), r.checkMixed(s)} {
			if rule != "" {
				all = append(all, fmt.Sprintf("%s: %s of %s", rule, s.id, s.kind))
			}
		}
	}
	return all
}

func (r *record) checkTwice(s observed) string {
	if s.kind != "idempotent" && len(r.ran[s.id]) > 1 {
		return "TWICE"
	}
	return ""
}

func (r *record) checkRefused(s observed) string {
	if s.kind != "idempotent" && len(r.ran[s.id]) > 0 && slices.Contains([]int{402, 408, 421, 429, 503}, s.status) {
		return "REFUSED"
	}
	return ""
}

func (r *record) checkBudget(s observed) string {
	hosts := slices.Clone(r.received[s.id])
	slices.Sort(hosts)
	if len(slices.Compact(hosts)) > s.maxAttempts {
		return "BUDGET"
	}
	return ""
}

// checkMixed checks that a response is that to the request, and that of a host unchanged.
func (r *record) checkMixed(s observed) string {
	if s.status == 0 {
		return ""
	}
	seal, success := s.header.Get("X-Host-Seal"), s.status/100 == 2
	if id := s.header.Get("X-Attempt-Id"); id != s.id {
		return "MIXED, the response to another request"
	}
	if seal == "" {
		if success && s.err == nil {
			return "MIXED, a success without a seal"
		}
		return ""
	}
	for _, a := range r.responses[s.id] {
		switch {
		case a.seal != seal:
			continue
		case a.status != s.status:
			return "MIXED, a seal with another status"
		case s.err == nil && (!a.complete || a.body != s.body):
			return "MIXED, part of a response looks complete"
		case !strings.HasPrefix(a.body, s.body):
			return "MIXED, another body"
		}
		return ""
	}
	return "MIXED, a seal that no host gave to it"
}
