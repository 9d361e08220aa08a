package cloudapi

import (
	"strings"
	"testing"
	"time"
)

// history builds a record of calls.
type history []DutyCall

const leaseTerm = 3 * time.Second

var historyStart = time.Unix(1000, 0)

// usage appends a call of usage at a time, in milliseconds.
func (h history) usage(ms int, holder string, token int64, status int, window int64, counts map[string]int64) history {
	return append(h, historicCall(ms, holder, token, status, UsageDuty, UsageReport{window, counts}))
}

// scale appends a call of scale at a time, in milliseconds.
func (h history) scale(ms int, holder string, token int64, status int, zone string) history {
	return append(h, historicCall(ms, holder, token, status, ScaleDuty, ScaleOrder{"draft", zone, 2}))
}

// received changes when the last call arrived, in milliseconds.
func (h history) received(ms int) history {
	h[len(h)-1].Received = historyStart.Add(time.Duration(ms) * time.Millisecond)
	return h
}

func historicCall(ms int, holder string, token int64, status int, duty string, body DutyBody) DutyCall {
	at := historyStart.Add(time.Duration(ms) * time.Millisecond)
	return DutyCall{At: at, Duty: duty, Subject: body.Subject(), Holder: holder, Token: token, Body: body, Status: status, Applied: status == 200}
}

func TestCheckDuties(t *testing.T) {
	one, other, third := map[string]int64{"a": 1}, map[string]int64{"a": 2}, map[string]int64{"a": 1, "b": 0}
	for name, c := range map[string]struct {
		calls history
		want  string // rules
	}{
		"no calls": {},

		"an exact repeat":                     {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 7, map[string]int64{"a": 1}), ""},
		"a repeat by the next holder":         {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "B", 2, 200, 7, one), ""},
		"other counts in other windows":       {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 8, other), ""},
		"other counts refused":                {history{}.usage(0, "B", 2, 200, 7, one).usage(1, "A", 1, 409, 7, other), ""},
		"other counts after a lost call":      {history{}.usage(0, "A", 1, 0, 7, one).usage(1, "A", 1, 500, 7, third).usage(2, "A", 1, 200, 7, other), ""},
		"two counts":                          {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 7, other), "one report a window"},
		"two counts by two holders":           {history{}.usage(0, "A", 1, 200, 7, one).usage(9000, "B", 2, 200, 7, other), "one report a window"},
		"two counts with a window between":    {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 8, one).usage(2, "A", 1, 200, 7, other), "one report a window"},
		"another tenant":                      {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 7, third), "one report a window"},
		"two counts in turn":                  {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 7, other).usage(2, "A", 1, 200, 7, one), "one report a window"},
		"two counts, the second one twice":    {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 7, other).usage(2, "A", 1, 200, 7, other), "one report a window"},
		"three counts":                        {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "A", 1, 200, 7, other).usage(2, "A", 1, 200, 7, third), "one report a window, one report a window"},
		"a token of one holder, used again":   {history{}.scale(0, "A", 1, 200, "pier").scale(1, "A", 1, 200, "pier"), ""},
		"a token in two zones":                {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 1, 200, "hill"), ""},
		"a token for two duties":              {history{}.scale(0, "A", 1, 200, "pier").usage(1, "B", 1, 200, 7, one), ""},
		"a token of two holders":              {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 1, 200, "pier"), "one holder a token"},
		"a token of two holders, all refused": {history{}.scale(0, "A", 1, 500, "pier").scale(1, "B", 1, 409, "pier"), "one holder a token"},
		"a token of two holders, far apart":   {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "B", 2, 200, 8, one).usage(99999, "C", 1, 409, 9, one), "one holder a token"},
		"a token of two holders, twice":       {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 1, 500, "pier").scale(2, "B", 1, 500, "pier"), "one holder a token"},
		"a token of three holders":            {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 1, 500, "pier").scale(2, "C", 1, 500, "pier"), "one holder a token, one holder a token"},

		"A, B":                                {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier"), ""},
		"A, B, C":                             {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(2, "C", 3, 200, "pier"), ""},
		"A, B, A, the last one refused":       {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(2, "A", 1, 409, "pier"), ""},
		"A, B, A, B down":                     {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 500, "pier").scale(2, "A", 1, 200, "pier"), ""},
		"A, B, A after the term":              {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(3001, "A", 3, 200, "pier"), ""},
		"A, B in another zone, A":             {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "hill").scale(2, "A", 1, 200, "pier"), ""},
		"A, B with another duty, A":           {history{}.scale(0, "A", 1, 200, "pier").usage(1, "B", 2, 200, 7, one).scale(2, "A", 1, 200, "pier"), ""},
		"A, B, A in the term":                 {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(3000, "A", 3, 200, "pier"), "one holder a lease term"},
		"A, B, A with the term after A began": {history{}.scale(0, "A", 1, 200, "pier").scale(3500, "A", 1, 200, "pier").scale(3600, "B", 2, 200, "pier").scale(6400, "A", 3, 200, "pier"), "one holder a lease term"},
		"A, B, C, A":                          {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(2, "C", 3, 200, "pier").scale(3, "A", 4, 200, "pier"), "one holder a lease term"},
		"A, B, A, A":                          {history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(2, "A", 3, 200, "pier").scale(3, "A", 3, 200, "pier"), "one holder a lease term"},
		"A, B, A, B":                          {history{}.usage(0, "A", 1, 200, 1, one).usage(1, "B", 2, 200, 2, one).usage(2, "A", 3, 200, 3, one).usage(3, "B", 4, 200, 4, one), "one holder a lease term, one holder a lease term"},

		"three stale retries":                  {staleRetries(3, "A", 1, "pier"), ""},
		"four stale retries":                   {staleRetries(4, "A", 1, "pier"), "stale retries"},
		"nine stale retries":                   {staleRetries(9, "A", 1, "pier"), "stale retries"},
		"four retries in the term":             {history{}.scale(0, "A", 1, 409, "pier").scale(1000, "A", 1, 409, "pier").scale(2000, "A", 1, 409, "pier").scale(2500, "A", 1, 409, "pier").scale(3000, "A", 1, 409, "pier"), ""},
		"four retries with a new token":        {append(history{}.scale(0, "A", 1, 409, "pier"), staleRetries(4, "A", 2, "pier")[1:]...), ""},
		"four retries in another zone":         {append(history{}.scale(0, "A", 1, 409, "pier"), staleRetries(4, "A", 1, "hill")[1:]...), ""},
		"four calls after no refusal":          {staleRetries(4, "A", 1, "pier")[1:], ""},
		"four retries after a status 500":      {append(history{}.scale(0, "A", 1, 500, "pier"), staleRetries(4, "A", 1, "pier")[1:]...), ""},
		"four retries, one arrived before":     {staleRetries(4, "A", 1, "pier").received(2000), ""},
		"four retries, one arrived after":      {staleRetries(4, "A", 1, "pier").received(3001), "stale retries"},
		"two holders with four retries":        {append(staleRetries(4, "A", 1, "pier"), staleRetries(4, "B", 2, "pier")...), "stale retries, stale retries"},
		"three retries in each of two zones":   {append(staleRetries(3, "A", 1, "pier"), staleRetries(3, "A", 1, "hill")...), ""},
		"malformed calls are of no subject":    {history{{Duty: UsageDuty, Holder: "A", Status: 400}, {Duty: UsageDuty, Holder: "B", Status: 400}}, ""},
		"malformed calls, platform down":       {history{{Duty: UsageDuty, Holder: "A", Status: 500}, {Duty: UsageDuty, Holder: "B", Status: 500}}, ""},
		"counts and holders are looked at":     {history{}.usage(0, "A", 1, 200, 7, one).usage(1, "B", 1, 200, 7, other), "one report a window, one holder a token"},
		"the record of a handover to a new A2": {history{}.usage(0, "A", 1, 200, 7, one).usage(5000, "B", 2, 200, 7, one).usage(5001, "A", 1, 409, 8, other).usage(5002, "B", 2, 200, 8, one).usage(6000, "A2", 3, 200, 9, one), ""},
	} {
		t.Run(name, func(t *testing.T) {
			violations := CheckDuties(c.calls, DutyParams{LeaseTerm: leaseTerm, FenceChecks: true})
			want(t, "rules", rules(violations), c.want)
			for _, v := range violations {
				want(t, v.Text+" names a holder", strings.Contains(v.Text, " by "), true)
			}
		})
	}
}

// staleRetries returns a refusal and a number of further calls after the lease term.
func staleRetries(n int, holder string, token int64, zone string) history {
	h := history{}.scale(0, holder, token, 409, zone)
	for i := range n {
		h = h.scale(3001+i, holder, token, []int{409, 500, 429}[i%3], zone)
	}
	return h
}

func rules(violations []DutyViolation) string {
	var all []string
	for _, v := range violations {
		all = append(all, string(v.Rule))
	}
	return strings.Join(all, ", ")
}

func TestHoldersMayAlternateWithoutFenceChecks(t *testing.T) {
	calls := history{}.scale(0, "A", 1, 200, "pier").scale(1, "B", 2, 200, "pier").scale(2, "A", 1, 200, "pier").scale(3, "B", 1, 200, "pier")
	want(t, "rules", rules(CheckDuties(calls, DutyParams{LeaseTerm: leaseTerm})), "one holder a token")
}

func TestCheckDutiesOfRecord(t *testing.T) {
	c := &clock{now: historyStart}
	p := platform(t, Options{FenceChecks: true, Now: c.Now})
	for _, s := range []struct{ holder, token string }{{"A", "1"}, {"B", "2"}, {"A", "1"}} {
		call(t, p, "usage", s.holder, s.token, usageBody)
	}
	want(t, "rules", rules(CheckDuties(p.DutyCalls(), DutyParams{leaseTerm, true})), "")
	for range 4 {
		c.advance(leaseTerm + time.Millisecond)
		call(t, p, "usage", "A", "1", usageBody)
	}
	want(t, "rules", rules(CheckDuties(p.DutyCalls(), DutyParams{leaseTerm, true})), "stale retries")
}
