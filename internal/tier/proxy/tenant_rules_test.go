package proxy

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
)

// parseTenantConfig returns tenantConfig with this tenant_table; without the field if the table is "".
func parseTenantConfig(t *testing.T, table string) *routing.Config {
	t.Helper()
	start := strings.Index(tenantConfig, `"tenant_table":`)
	end := strings.Index(tenantConfig, `"route_table":`)
	if table != "" {
		table = `"tenant_table":` + table + `,`
	}
	c, err := routing.Parse([]byte(tenantConfig[:start] + table + tenantConfig[end:]))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The rank of the tenant goes before that of the route; the highest priority is 0.
func TestTenantRankGoesBeforeRouteRank(t *testing.T) {
	type ranks struct{ tenant, route int } // tenant: -1 for none
	priority := func(c ranks) int {
		r := &request{route: &routing.Route{Priority: c.route}}
		if c.tenant >= 0 {
			r.tenant = &routing.Tenant{Priority: c.tenant}
		}
		return r.priority()
	}
	for _, c := range []struct {
		name string
		a, b ranks
		want int // of comparing the priorities of a and b
	}{
		{"same", ranks{1, 2}, ranks{1, 2}, 0},
		{"same tenant, routes 0 and 1", ranks{0, 0}, ranks{0, 1}, -1},
		{"same tenant of a low rank, routes 1 and 0", ranks{3, 1}, ranks{3, 0}, 1},
		{"tenants 0 and 1, same route", ranks{0, 5}, ranks{1, 5}, -1},
		{"tenants 0 and 1, routes 9 and 0", ranks{0, 9}, ranks{1, 0}, -1},
		{"tenants 2 and 1, routes 0 and 9", ranks{2, 0}, ranks{1, 9}, 1},
		{"no tenant is as one of rank 0", ranks{-1, 4}, ranks{0, 4}, 0},
		{"no tenant, routes 0 and 1", ranks{-1, 0}, ranks{-1, 1}, -1},
		{"no tenant goes before one of rank 1", ranks{-1, 9}, ranks{1, 0}, -1},
		{"a large rank of a route does not pass the next tenant", ranks{0, 1 << 40}, ranks{1, 0}, -1},
		{"the largest ranks that are distinguished", ranks{tenantRankStep - 2, 0}, ranks{tenantRankStep - 1, 0}, -1},
		{"ranks of tenants beyond those", ranks{tenantRankStep - 1, 1}, ranks{1 << 40, 1}, 0},
		{"ranks of routes beyond those", ranks{2, tenantRankStep - 1}, ranks{2, 1 << 40}, 0},
		{"the largest ranks", ranks{math.MaxInt, math.MaxInt}, ranks{0, 0}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			want(t, fmt.Sprintf("order of %d and %d", priority(c.a), priority(c.b)), cmp.Compare(priority(c.a), priority(c.b)), c.want)
			if priority(c.a) < 0 || priority(c.b) < 0 {
				t.Errorf("a priority is below 0: %d, %d", priority(c.a), priority(c.b))
			}
		})
	}
}

// Guards against CONFIG: a front that is cut off from the core runs requests with a key that may have been revoked more than
// RevocationBound ago. In touch again, it serves.
func TestCutOffFrontTrustsNoKey(t *testing.T) {
	const bound = 5 * time.Second
	for name, c := range map[string]struct {
		bound        time.Duration
		age          time.Duration // of the confirmation by the core
		path, header string
		status       int
	}{
		"confirmed":                              {bound, 0, "/order/x", "Api-Key: key-a1\r\n", http.StatusOK},
		"confirmed, unknown key":                 {bound, 0, "/order/x", "Api-Key: key-9\r\n", http.StatusUnauthorized},
		"confirmed, no key":                      {bound, 0, "/order/x", "", http.StatusUnauthorized},
		"within the bound":                       {bound, bound / 2, "/order/x", "Api-Key: key-a1\r\n", http.StatusOK},
		"within the bound, unknown key":          {bound, bound / 2, "/order/x", "Api-Key: key-9\r\n", http.StatusServiceUnavailable},
		"within the bound, no key":               {bound, bound / 2, "/order/x", "", http.StatusServiceUnavailable},
		"beyond the bound":                       {bound, bound + time.Millisecond, "/order/x", "Api-Key: key-a1\r\n", http.StatusServiceUnavailable},
		"beyond the bound, idempotent":           {bound, 2 * bound, "/tool/x", "Api-Key: key-a1\r\n", http.StatusServiceUnavailable},
		"beyond the bound, stream":               {bound, 2 * bound, "/stream/x", "Api-Key: key-b1\r\n", http.StatusServiceUnavailable},
		"beyond the bound, turn":                 {bound, 2 * bound, "/turn/x", "Api-Key: key-b1\r\n", http.StatusServiceUnavailable},
		"beyond the bound, unknown key":          {bound, 2 * bound, "/order/x", "Api-Key: key-9\r\n", http.StatusServiceUnavailable},
		"beyond the bound, no key":               {bound, 2 * bound, "/order/x", "", http.StatusServiceUnavailable},
		"beyond the bound, public route":         {bound, 2 * bound, "/open/x", "", http.StatusOK},
		"beyond a bound below the stale time":    {time.Second, 1100 * time.Millisecond, "/order/x", "Api-Key: key-a1\r\n", http.StatusServiceUnavailable},
		"unknown key, below the stale time":      {time.Second, 1100 * time.Millisecond, "/order/x", "Api-Key: key-9\r\n", http.StatusServiceUnavailable},
		"without a bound":                        {0, time.Hour, "/order/x", "Api-Key: key-a1\r\n", http.StatusOK},
		"without a bound, unknown key":           {0, time.Hour, "/order/x", "Api-Key: key-9\r\n", http.StatusServiceUnavailable},
		"without a bound, confirmed, other case": {0, 0, "/order/x", "Api-Key: KEY-A1\r\n", http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newTenantHost(t)
			f := newFrontWithOptions(t, Options{Ledger: &ledger{}, RevocationBound: c.bound}, h)
			config := parseTenantConfig(t, `[{"name":"alpha","api_keys":["key-a1"]},{"name":"beta","api_keys":["key-b1"]}]`)
			f.source.set(func(tb *feed.Tables) { tb.Config, tb.ConfirmedAt = config, time.Now().Add(-c.age) })
			a := f.do("POST", c.path, "a1", timeLeft+c.header, "x")
			want(t, "status", a.status, c.status)
			want(t, "calls of the host", int(h.calls.Load()), map[bool]int{true: 1}[c.status == http.StatusOK])
			want(t, "whether there is a Retry-After", a.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			f.source.set(func(tb *feed.Tables) { tb.ConfirmedAt = time.Now().Add(testTimeout) }) // in touch throughout
			want(t, "status in touch again", f.do("POST", c.path, "a2", timeLeft+"Api-Key: key-a1\r\n", "x").status, http.StatusOK)
		})
	}
}

// tenantTurns is a front with stores whose tenants change between turns. Each turn is taken by another front, which has
// nothing in its cache.
type tenantTurns struct {
	t         *testing.T
	host      *host
	newClient func() *turnstore.Client
	turns     int
}

// take takes a turn under a configuration and returns the body that its host got, "" if it did not run.
func (tt *tenantTurns) take(c *routing.Config, key, previous string) (status int, body string) {
	tt.t.Helper()
	f := newTenantFront(tt.t, tt.newClient(), tt.host)
	f.source.set(func(tb *feed.Tables) { tb.Config = c })
	tt.turns++
	before := tt.host.calls.Load()
	header := timeLeft + "Program: p1\r\n"
	if key != "" {
		header += "Api-Key: " + key + "\r\n"
	}
	if previous != "" {
		header += "Previous: " + previous + "\r\n"
	}
	status = f.do("POST", "/turn/x", fmt.Sprintf("t%d", tt.turns), header, fmt.Sprintf("input %d;", tt.turns)).status
	if tt.host.calls.Load() > before {
		_, body, _ = strings.Cut(tt.host.lastRequest(), "\r\n\r\n")
	}
	return status, body
}

// Guards against UNASKED and LOST: a turn can be continued by its tenant, with whichever of its keys, and by no other.
func TestTurnsBelongToTenants(t *testing.T) {
	const continued = "input 1;x\ninput 2;"
	const none = "" // no tenant_table
	const both = `[{"name":"alpha","api_keys":["k1","k2"]},{"name":"beta","api_keys":["k3"]}]`
	for name, c := range map[string]struct {
		table, key   string // of the first turn
		between      string // table of a turn between them that has to be refused with 401; none for no such turn
		later        string // table of the turn that continues
		laterKey     string
		status       int
		continuesRun string
	}{
		"same key":                          {both, "k1", none, both, "k1", 200, continued},
		"another key of the tenant":         {both, "k1", none, both, "k2", 200, continued},
		"another tenant":                    {both, "k1", none, both, "k3", 404, ""},
		"key moved to another tenant":       {both, "k1", none, `[{"name":"alpha","api_keys":["k2"]},{"name":"beta","api_keys":["k1","k3"]}]`, "k1", 404, ""},
		"key moved, old tenant's other key": {both, "k1", none, `[{"name":"alpha","api_keys":["k2"]},{"name":"beta","api_keys":["k1","k3"]}]`, "k2", 200, continued},
		"tenant with a new key":             {both, "k1", none, `[{"name":"alpha","api_keys":["k9"]},{"name":"beta","api_keys":["k3"]}]`, "k9", 200, continued},
		"other position in the table":       {both, "k1", none, `[{"name":"beta","api_keys":["k3"]},{"name":"alpha","api_keys":["k1"]}]`, "k1", 200, continued},
		"all keys taken away, given back":   {both, "k1", `[{"name":"alpha","api_keys":[]},{"name":"beta"}]`, both, "k1", 200, continued},
		"tenant removed, given back":        {both, "k1", `[]`, both, "k2", 200, continued},
		"no tenants":                        {none, "", none, none, "", 200, continued},
		"key while there are no tenants":    {none, "k1", none, none, "k2", 200, continued},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt := &tenantTurns{t: t, host: newTenantHost(t), newClient: newStoreClients(t)}
			status, _ := tt.take(parseTenantConfig(t, c.table), c.key, "")
			want(t, "status of the first turn", status, http.StatusOK)
			if c.between != none {
				tt.turns = 9 // its id is t10
				status, body := tt.take(parseTenantConfig(t, c.between), c.key, "t1")
				want(t, "status without keys", status, http.StatusUnauthorized)
				want(t, "what ran without keys", body, "")
				tt.turns = 1
			}
			status, body := tt.take(parseTenantConfig(t, c.later), c.laterKey, "t1")
			want(t, "status", status, c.status)
			want(t, "body at the host", body, c.continuesRun)
		})
	}
}

// Turns that were stored before there were tenants have bare ids. Configurations without tenants find them, and no tenant does.
func TestTurnsStoredWithoutTenant(t *testing.T) {
	newClient := newStoreClients(t)
	before := newClient()
	for _, o := range []turnstore.OpenRequest{{Program: "p1", Turn: "old1"}, {Program: "p1", Turn: "old2", Previous: "old1"},
		{Program: "p1", Turn: "alpha"}} {
		o.MaxTokens, o.Budget = 1, 100
		opened, err := before.Open(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if err := before.Close(t.Context(), opened.Record([]byte(o.Turn+";"), []byte("out\n"), 1, time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	const tenants = `[{"name":"alpha","api_keys":["k1"]}]`
	tt := &tenantTurns{t: t, host: newTenantHost(t), newClient: newClient}
	for _, c := range []struct {
		table, key, previous string
		status               int
		body                 string
	}{
		{"", "", "old1", http.StatusOK, "old1;out\ninput 1;"},
		{"", "", "old2", http.StatusOK, "old1;out\nold2;out\ninput 2;"},
		{"", "k1", "old2", http.StatusOK, "old1;out\nold2;out\ninput 3;"},
		{"", "", "none", http.StatusNotFound, ""},
		{tenants, "k1", "old1", http.StatusNotFound, ""},
		{tenants, "k1", "alpha", http.StatusNotFound, ""}, // named as the tenant
		{"", "", "alpha", http.StatusOK, "alpha;out\ninput 7;"},
		{tenants, "k1", "", http.StatusOK, "input 8;"},
		{"", "", "t8", http.StatusNotFound, ""}, // of a tenant
		{tenants, "k1", "t8", http.StatusOK, "input 8;x\ninput 10;"},
	} {
		status, body := tt.take(parseTenantConfig(t, c.table), c.key, c.previous)
		name := fmt.Sprintf("turn %d with the key %q continues %q: ", tt.turns, c.key, c.previous)
		want(t, name+"status", status, c.status)
		want(t, name+"body at the host", body, c.body)
	}
}
