package proxy

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// Bodies of tenant_table in which ana has the keys key-1 and key-2, or has lost key-1; ben has key-3.
const (
	tenantsBefore = `{"name":"ana","api_keys":["key-1","key-2"]},{"name":"ben","api_keys":["key-3"]}`
	tenantsAfter  = `{"name":"ana","api_keys":["key-2"]},{"name":"ben","api_keys":["key-3"]}`
)

// withTenants returns testConfig with a tenant_table.
func withTenants(version, tenants string) []byte {
	return []byte(strings.Replace(testConfig, `{"config_version":1,`,
		`{"config_version":`+version+`,"tenant_table":[`+tenants+`],`, 1))
}

// Guards against the failure CONFIG: a key that a confirmed configuration took away still runs requests, or an
// invalid configuration, in which two tenants share a key, is accepted.
func TestRevokedKeyRunsNothing(t *testing.T) {
	paths := []string{"/tool/x", "/order/x", "/stream/x", "/turn/x", "/draft/x"}
	key := func(name string) string { return timeLeft + "Api-Key: " + name + "\r\n" }
	setConfig := func(t *testing.T, f *front, version, tenants string, confirmedAt time.Time) {
		t.Helper()
		c, err := routing.Parse(withTenants(version, tenants))
		if err != nil {
			t.Fatal(err)
		}
		f.source.set(func(tb *feed.Tables) { tb.Config, tb.ConfirmedAt = c, confirmedAt })
	}
	// refused checks a response that no host has seen and the number of requests that hosts have seen.
	refused := func(t *testing.T, what string, got answer, status int, h *host, calls int32) {
		t.Helper()
		want(t, "status of "+what, got.status, status)
		want(t, "number of requests at the host after "+what, h.calls.Load(), calls)
	}

	t.Run("a key that the configuration in force lacks", func(t *testing.T) {
		h := newHost(t, "i-1", respondsOK("x"))
		f := newFront(t, h)
		setConfig(t, f, "2", tenantsBefore, time.Now())
		open := make([]*conn, len(paths))
		for i := range paths {
			open[i] = f.dial()
			for _, name := range []string{"key-1", "key-2", "key-3"} {
				open[i].send(requestText("POST", "/order/x", name+paths[i], key(name), "x"))
				want(t, "status of "+name+" before it is revoked", open[i].read().status, 200)
			}
		}
		before := h.calls.Load()

		setConfig(t, f, "3", tenantsAfter, time.Now())
		refused(t, "an unknown key", f.do("POST", "/order/x", "unknown", key("key-4"), "x"), 401, h, before)
		refused(t, "a request without a key", f.do("POST", "/order/x", "none", timeLeft, "x"), 401, h, before)
		for i, path := range paths {
			c := open[i]
			c.send(requestText("POST", path, "revoked"+path, key("key-1"), "x"))
			refused(t, "the revoked key at "+path, c.read(), 401, h, before)
		}
		want(t, "calls of the ledger", f.ledger.log(), "")

		setConfig(t, f, "4", tenantsBefore, time.Now())
		want(t, "status once the key is back", f.do("POST", "/order/x", "back", key("key-1"), "x").status, 200)
	})

	t.Run("a key while the tables may be older than a revocation allows", func(t *testing.T) {
		h := newHost(t, "i-1", respondsOK("x"))
		scripted := &ledger{}
		options := Options{Ledger: scripted, RevocationBound: 5 * time.Second}
		f := newFrontWithOptions(t, options, h)
		setConfig(t, f, "2", tenantsBefore, time.Now())
		c := f.dial()
		c.send(requestText("POST", "/order/x", "fresh", key("key-1"), "x"))
		want(t, "status while the tables are fresh", c.read().status, 200)

		setConfig(t, f, "2", tenantsBefore, time.Time{}) // not confirmed yet, as after the download of a large configuration
		refused(t, "a key of tables that were never confirmed", f.do("POST", "/order/x", "unconfirmed", key("key-1"), "x"), 503, h, 1)

		setConfig(t, f, "2", tenantsBefore, time.Now().Add(-time.Hour))
		for _, path := range paths {
			got := f.do("POST", path, "stale"+path, key("key-1"), "x")
			refused(t, "a key of tables that may be old at "+path, got, 503, h, 1)
			if got.header.Get("Retry-After") == "" {
				t.Errorf("the response at %s is without Retry-After", path)
			}
		}
		c.send(requestText("POST", "/order/x", "stale", key("key-1"), "x"))
		refused(t, "a key of tables that may be old, on an open connection", c.read(), 503, h, 1)
		want(t, "calls of the ledger", scripted.log(), "")

		setConfig(t, f, "2", tenantsBefore, time.Now())
		want(t, "status once the tables are fresh again", f.do("POST", "/order/x", "again", key("key-1"), "x").status, 200)
	})

	t.Run("a configuration in which two tenants share a key", func(t *testing.T) {
		if _, err := routing.Parse(withTenants("2", tenantsBefore)); err != nil {
			t.Fatal("a configuration whose tenants share no key is refused:", err)
		}
		for _, tenants := range []string{
			`{"name":"ana","api_keys":["key-1"]},{"name":"ben","api_keys":["key-1"]}`,
			`{"name":"ana","api_keys":["key-1","key-2"]},{"name":"ben","api_keys":["key-3"]},{"name":"cai","api_keys":["key-4","key-2"]}`,
		} {
			if c, err := routing.Parse(withTenants("2", tenants)); !errors.Is(err, routing.ErrInvalid) || c != nil {
				t.Errorf("with the tenants %s the error is %v, want routing.ErrInvalid and no configuration", tenants, err)
			}
		}
	})
}
