package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
)

// tenantConfig is testConfig with two tenants and a public route.
var tenantConfig = strings.Replace(testConfig, `"config_version":1,"route_table":[`, `"config_version":2,
"tenant_table":[{"name":"alpha","api_keys":["key-a1","key-a2"],"rank":0},{"name":"beta","api_keys":["key-b1"],"rank":0}],
"route_table":[
{"name":"r9","host_name":"shop.example","path_prefix":"/open/","route_kind":"non_idempotent","deadline_ms":8000,"target_ms":400,"rank":0,"target_service":"plain","max_attempts":1,"public":true},
`, 1)

// newTenantFront returns a front with tenantConfig.
func newTenantFront(t *testing.T, shared Ledger, h *host) *front {
	t.Helper()
	config, err := routing.Parse([]byte(tenantConfig))
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontWithLedger(t, shared, h)
	f.source.set(func(tables *feed.Tables) { tables.Config = config })
	return f
}

// newTenantHost returns a host that responds on every route.
func newTenantHost(t *testing.T) *host {
	t.Helper()
	return newHost(t, "i-1", func(c *call) bool {
		if strings.HasPrefix(c.req.URL.Path, "/turn/") || strings.HasPrefix(c.req.URL.Path, "/stream/") {
			return streams(c, event(1, "x"))
		}
		return respondsOK("")(c)
	})
}

// newStoreClients starts a store and returns a function that makes clients of it, each with a cache of its own.
func newStoreClients(t *testing.T) (newClient func() *turnstore.Client) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	db, err := sqlitelog.Open(t.TempDir(), "store.db", 0, turnstore.StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	calls, log := &rpc.Clients{}, process.NewLogger(io.Discard)
	placement := &turnstore.Placement{Generation: 1, ReplicationFactor: 1, DurableReplicas: 1}
	placed := func() *turnstore.Placement { return placement }
	store, err := turnstore.NewServer(turnstore.ServerOptions{DB: db, Placement: placed, Calls: calls, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	placement.Old = []turnstore.Store{{ID: store.ID(), Name: "store-1", Addr: l.Addr().String(), Zone: "z"}}
	server := rpc.NewServer(store.Handlers())
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(l) })
	wg.Go(func() { store.Run(ctx) })
	t.Cleanup(func() { stop(); server.Close(); wg.Wait(); calls.Close(); _ = db.Close() })
	return func() *turnstore.Client {
		c := turnstore.NewClient(placed, calls, "z", log)
		t.Cleanup(func() { c.Shutdown(t.Context()) })
		return c
	}
}

// Guards against UNASKED: a host runs work under a tenant that does not hold the Api-Key, or on a turn of another tenant.
func TestHostGetsTenantOfKey(t *testing.T) {
	for name, c := range map[string]struct{ uri, header, tenant string }{
		"no X-Tenant":                       {"/order/x", "Api-Key: key-a1\r\n", "alpha"},
		"idempotent route":                  {"/tool/x", "Api-Key: key-a1\r\n", "alpha"},
		"streaming route":                   {"/stream/x", "Api-Key: key-a1\r\n", "alpha"},
		"retained route":                    {"/turn/x", "Api-Key: key-a1\r\nProgram: p1\r\n", "alpha"},
		"second key of a tenant":            {"/order/x", "Api-Key: key-a2\r\n", "alpha"},
		"second tenant":                     {"/order/x", "Api-Key: key-b1\r\n", "beta"},
		"X-Tenant of another tenant":        {"/order/x", "Api-Key: key-b1\r\nX-Tenant: alpha\r\n", "beta"},
		"X-Tenant of another tenant, twice": {"/order/x", "x-tenant: alpha\r\nApi-Key: key-b1\r\nX-TENANT: alpha\r\n", "beta"},
		"X-Tenant in Connection":            {"/order/x", "Api-Key: key-a1\r\nConnection: x-tenant\r\n", "alpha"},
		"forged X-Tenant in Connection":     {"/order/x", "Connection: X-Tenant\r\nX-Tenant: alpha\r\nApi-Key: key-b1\r\n", "beta"},
		"Api-Key in Connection":             {"/order/x", "Api-Key: key-a1\r\nConnection: Api-Key, X-Tenant\r\n", "alpha"},
		"forged X-Tenant on a public route": {"/open/x", "X-Tenant: alpha\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTenantHost(t)
			f := newTenantFront(t, &ledger{}, h)
			want(t, "status", f.do("POST", c.uri, "a1", timeLeft+c.header, "input").status, http.StatusOK)
			received := h.lastRequest()
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(received)))
			if err != nil {
				t.Fatal(err)
			}
			want(t, "X-Tenant at the host", strings.Join(req.Header.Values("X-Tenant"), ","), c.tenant)
			want(t, "Api-Key at the host", strings.Join(req.Header.Values("Api-Key"), ","), "")
		})
	}
	for name, c := range map[string]struct {
		header     string
		otherFront bool // which has no history in its cache
		status     int
	}{
		"turn of the same key":                          {"Api-Key: key-a1\r\nProgram: p1\r\n", false, http.StatusOK},
		"turn of the same tenant":                       {"Api-Key: key-a2\r\nProgram: p2\r\n", true, http.StatusOK},
		"turn of another tenant":                        {"Api-Key: key-b1\r\nProgram: p2\r\n", false, http.StatusNotFound},
		"turn of another tenant, other front":           {"Api-Key: key-b1\r\nProgram: p2\r\n", true, http.StatusNotFound},
		"turn of another tenant, same program":          {"Api-Key: key-b1\r\nProgram: p1\r\n", true, http.StatusNotFound},
		"turn of another tenant whose name was claimed": {"Api-Key: key-b1\r\nProgram: p1\r\nX-Tenant: alpha\r\n", false, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			newClient := newStoreClients(t)
			h := newTenantHost(t)
			first, second := newTenantFront(t, newClient(), h), newTenantFront(t, newClient(), h)
			a := first.do("POST", "/turn/x", "t1", timeLeft+"Api-Key: key-a1\r\nProgram: p1\r\n", "secret of alpha;")
			want(t, "status of the first turn", a.status, http.StatusOK)
			f := first
			if c.otherFront {
				f = second
			}
			want(t, "status", f.do("POST", "/turn/x", "t2", timeLeft+"Previous: t1\r\n"+c.header, "input").status, c.status)
			if ran := h.calls.Load() == 2; ran != (c.status == http.StatusOK) {
				t.Errorf("the host ran the turn: %v; its last request is %q", ran, h.lastRequest())
			}
			if _, body, _ := strings.Cut(h.lastRequest(), "\r\n\r\n"); c.status == http.StatusOK {
				want(t, "body", body, "secret of alpha;x\ninput")
			}
		})
	}
}
