package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/lossreport"
	"larchrouter/internal/tier/turnstore"
)

// Each request that is lost or late is one line of the log, with its cause, that a report can read.
func TestLossesAreLoggedWithTheirCause(t *testing.T) {
	const turn = "/turn/x"
	closes := func(*call) bool { return false }
	rejects := responds(503, "X-Not-Executed: 1\r\n", "")
	slow := func(c *call) bool { time.Sleep(450 * time.Millisecond); return respondsOK("x")(c) }
	for name, c := range map[string]struct {
		path   string
		script func(c *call) bool
		ledger func(l *ledger)
		want   lossreport.Key
	}{
		"broke off":     {"/order/x", closes, nil, lossreport.Key{Cause: "host_broke_off", Kind: "non_idempotent", Route: "r2", Status: 502}},
		"failed":        {"/order/x", responds(500, "", "bad"), nil, lossreport.Key{Cause: "host_failed", Kind: "non_idempotent", Route: "r2", Status: 500}},
		"no room":       {"/order/x", rejects, nil, lossreport.Key{Cause: "no_room", Kind: "non_idempotent", Route: "r2", Status: 503}},
		"stream broke":  {"/chat/x", breaksAfter(1), nil, lossreport.Key{Cause: "host_broke_off", Kind: "streaming", Route: "r8", Status: 0}},
		"no resumption": {"/draft/x", breaksAfter(1), nil, lossreport.Key{Cause: "host_broke_off", Kind: "streaming", Route: "r7", Status: 0}},
		"budget":        {turn, threeEvents, func(l *ledger) { l.openErr = turnstore.ErrBudget }, lossreport.Key{Cause: "budget", Kind: "streaming", Route: "r4", Status: 402}},
		"no such turn":  {turn, threeEvents, func(l *ledger) { l.openErr = turnstore.ErrNoTurn }, lossreport.Key{Cause: "no_such_turn", Kind: "streaming", Route: "r4", Status: 404}},
		"stores":        {turn, threeEvents, func(l *ledger) { l.openErr = turnstore.ErrUnavailable }, lossreport.Key{Cause: "stores", Kind: "streaming", Route: "r4", Status: 503}},
		"not recorded":  {turn, threeEvents, func(l *ledger) { l.onClose = func(context.Context) error { return turnstore.ErrUnavailable } }, lossreport.Key{Cause: "not_recorded", Kind: "streaming", Route: "r4", Status: 0}},
		"late":          {"/order/x", slow, nil, lossreport.Key{Message: lossreport.MessageLate, Cause: "host", Kind: "non_idempotent", Route: "r2", Status: 200}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, newHost(t, "i-1", c.script))
			if c.ledger != nil {
				c.ledger(f.ledger)
			}
			f.do("POST", c.path, "x", budgetedHeader, "input")
			if c.want.Message == "" {
				c.want.Message = lossreport.MessageLost
			}
			var rows []lossreport.Row
			eventually(t, "a line", func() bool {
				report := lossreport.New(time.Second)
				if err := report.Read(strings.NewReader(f.log.String())); err != nil {
					t.Fatal(err)
				}
				rows = report.Rows()
				return len(rows) > 0
			})
			if len(rows) != 1 || rows[0].Key != c.want || rows[0].Count != 1 {
				t.Errorf("%+v, want one of %+v", rows, c.want)
			}
		})
	}
}

func TestServedRequestsLogNothing(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", threeEvents))
	want(t, "status", f.do("POST", "/turn/x", "t1", budgetedHeader, "input").status, http.StatusOK)
	want(t, "status", f.do("POST", "/draft/x", "t2", budgetedHeader, "input").status, http.StatusOK)
	want(t, "log", f.log.String(), "")
}

func TestLossLinesAreBounded(t *testing.T) {
	var l lossLog
	now := time.Now()
	allowed := 0
	for range 1000 {
		if _, ok := l.allow(now); ok {
			allowed++
		}
	}
	want(t, "lines at once", allowed, lossLineBurst)
	omitted, ok := l.allow(now.Add(time.Second / lossLinesPerSecond))
	want(t, "a line later", ok, true)
	want(t, "omitted", omitted, 1000-lossLineBurst)
}
