package cloudapi

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// DutyRule is a rule about the calls of duties.
type DutyRule string

// The rules that CheckDuties knows.
const (
	OneReport    DutyRule = "one report a window"     // accepted usage reports of a window have the same counts
	OneHolder    DutyRule = "one holder a token"      // no two holders send the same token for a duty and a subject
	OneAtATime   DutyRule = "one holder a lease term" // accepted calls are not by holders A, B, A inside the lease term
	StaleRetries DutyRule = "stale retries"           // a holder gives up a token that was refused
)

const maxStaleRetries = 3 // of a refused token

// DutyParams are the bounds of a site that CheckDuties needs.
type DutyParams struct {
	LeaseTerm   time.Duration
	FenceChecks bool // OneAtATime holds only with them
}

// DutyViolation is a call that breaks a rule.
type DutyViolation struct {
	Rule DutyRule
	Text string
}

// CheckDuties returns the violations in a record of calls, in the order in which they were decided. It does not know which
// holders were in touch, which OneAtATime asks for, and takes all of them to be.
func CheckDuties(calls []DutyCall, params DutyParams) (violations []DutyViolation) {
	calls = slices.DeleteFunc(slices.Clone(calls), func(c DutyCall) bool { return c.Subject == "" || c.Holder == "" })
	violations = append(violations, checkOneReport(calls)...)
	violations = append(violations, checkOneHolder(calls)...)
	if params.FenceChecks {
		violations = append(violations, checkOneAtATime(calls, params.LeaseTerm)...)
	}
	return append(violations, checkStaleRetries(calls, params.LeaseTerm)...)
}

// checkOneReport finds each report that differs from all earlier ones of its window.
func checkOneReport(calls []DutyCall) (violations []DutyViolation) {
	accepted := map[int64][]map[string]int64{} // distinct counts by window
	for _, c := range calls {
		report, ok := c.Body.(UsageReport)
		if !ok || !c.Applied {
			continue
		}
		earlier := accepted[report.WindowNo]
		same := func(counts map[string]int64) bool { return maps.Equal(counts, report.ServerCounts) }
		if slices.ContainsFunc(earlier, same) {
			continue
		}
		if len(earlier) > 0 {
			violations = append(violations, DutyViolation{OneReport,
				fmt.Sprintf("%v: window %d has counts %v, before %v", c, report.WindowNo, report.ServerCounts, earlier)})
		}
		accepted[report.WindowNo] = append(earlier, report.ServerCounts)
	}
	return violations
}

// checkOneHolder finds each holder that is not the first one with a token.
func checkOneHolder(calls []DutyCall) (violations []DutyViolation) {
	type key struct {
		dutySubject
		token int64
	}
	holders := map[key][]string{}
	for _, c := range calls {
		k := key{dutySubject{c.Duty, c.Subject}, c.Token}
		earlier := holders[k]
		if slices.Contains(earlier, c.Holder) {
			continue
		}
		if len(earlier) > 0 {
			violations = append(violations, DutyViolation{OneHolder, fmt.Sprintf("%v: token of %v before", c, earlier)})
		}
		holders[k] = append(earlier, c.Holder)
	}
	return violations
}

// checkOneAtATime finds each accepted call by a holder that had one before another holder, inside the lease term.
func checkOneAtATime(calls []DutyCall, term time.Duration) (violations []DutyViolation) {
	last := map[dutySubject]string{}
	type key struct {
		dutySubject
		holder string
	}
	lastOf := map[key]DutyCall{}
	for _, c := range calls {
		if !c.Applied {
			continue
		}
		subject := dutySubject{c.Duty, c.Subject}
		k := key{subject, c.Holder}
		earlier, known := lastOf[k]
		if known && last[subject] != c.Holder && c.At.Sub(earlier.At) <= term {
			violations = append(violations, DutyViolation{OneAtATime,
				fmt.Sprintf("%v: %v after a call of its own, with %s between", c, c.At.Sub(earlier.At), last[subject])})
		}
		last[subject], lastOf[k] = c.Holder, c
	}
	return violations
}

// checkStaleRetries finds each token that a holder uses too often when the lease term after its first refusal is over.
func checkStaleRetries(calls []DutyCall, term time.Duration) (violations []DutyViolation) {
	type key struct {
		dutySubject
		holder string
		token  int64
	}
	refused, retries := map[key]time.Time{}, map[key]int{}
	for _, c := range calls {
		k := key{dutySubject{c.Duty, c.Subject}, c.Holder, c.Token}
		at, known := refused[k]
		if !known {
			if c.Status == http.StatusConflict {
				refused[k] = c.At
			}
			continue
		}
		if !c.received().After(at.Add(term)) {
			continue
		}
		if retries[k]++; retries[k] == maxStaleRetries+1 {
			violations = append(violations, DutyViolation{StaleRetries,
				fmt.Sprintf("%v: call %d with a token that was refused at %v", c, retries[k], at)})
		}
	}
	return violations
}
