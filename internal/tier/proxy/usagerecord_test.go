package proxy

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// usageCalls is a UsageRecorder that keeps its calls.
type usageCalls struct {
	mu    sync.Mutex
	began []string // tenants
	ended []string
}

func (u *usageCalls) RequestBegan(tenant string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.began = append(u.began, tenant)
}

func (u *usageCalls) CallEnded(service, zone string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = append(u.ended, fmt.Sprint(service, " in ", zone, " ", took > 0))
}

func TestFrontCountsRequestsThatHostsBegin(t *testing.T) {
	full := responds(503, "X-Not-Executed: 1\r\n", "full")
	broken := func(*call) bool { return false }
	for _, test := range []struct {
		name, uri string
		scripts   []func(c *call) bool // of the calls
		began     int
	}{
		{"complete", "/order/x", []func(c *call) bool{respondsOK("x")}, 1},
		{"failed by its host", "/order/x", []func(c *call) bool{responds(500, "", "x")}, 1},
		{"promised not to have run", "/order/x", []func(c *call) bool{responds(429, "", "x")}, 0},
		{"rejected, then complete", "/order/x", []func(c *call) bool{full, respondsOK("x")}, 1},
		{"may have run", "/order/x", []func(c *call) bool{broken}, 1},
		{"begun by two hosts", "/tool/x", []func(c *call) bool{broken, respondsOK("x")}, 2},
		{"stream", "/stream/x", []func(c *call) bool{sends("one", events(1, 3), true)}, 1},
		{"stream without events", "/stream/x", []func(c *call) bool{sends("one", "", true)}, 0},
		{"stream that breaks off", "/stream/x", []func(c *call) bool{sends("one", events(1, 1), false)}, 1},
		{"stream that breaks off before its events", "/stream/x", []func(c *call) bool{sends("one", "", false)}, 0},
		{"stream without an answer", "/stream/x", []func(c *call) bool{broken}, 0},
		{"no stream", "/stream/x", []func(c *call) bool{responds(404, "", "x")}, 0},
		{"stream that another host continues", "/draft/x", []func(c *call) bool{sends("one", events(1, 1), false), sends("two", events(2, 3), true)}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			counted := &usageCalls{}
			script := runsInTurn(test.scripts...)
			f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Usage: counted}, newHost(t, "i-1", script), newHost(t, "i-2", script))
			tenants, err := routing.Parse(withTenants("2", tenantsBefore))
			if err != nil {
				t.Fatal(err)
			}
			f.source.set(func(tables *feed.Tables) { tables.Config = tenants })
			f.do("POST", test.uri, "t1", resumeHeader+"Api-Key: key-2\r\n", "input")
			counted.mu.Lock()
			defer counted.mu.Unlock()
			want(t, "began", fmt.Sprint(counted.began), fmt.Sprint(slices.Repeat([]string{"ana"}, test.began)))
			want(t, "calls that ended", len(counted.ended), len(test.scripts))
			for _, ended := range counted.ended {
				want(t, "call", ended == "plain in z true" || ended == "engine in z true", true)
			}
		})
	}
}
