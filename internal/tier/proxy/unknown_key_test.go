package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

const (
	keyOfTenant = "Api-Key: key-1\r\n"
	unknownKey  = "Api-Key: key-9\r\n"
)

var keyedPaths = map[string]string{ // by the kind of their route, in testConfig
	routing.Idempotent: "/tool/x", routing.NonIdempotent: "/order/x", routing.Streaming: "/stream/x",
}

// configOfTenants is testConfig with two tenants. Its routes are public if public is set.
func configOfTenants(t *testing.T, public bool) *routing.Config {
	t.Helper()
	text := strings.Replace(testConfig, `"route_table":`, `"tenant_table":[{"name":"hule","api_keys":["key-1","key-2"]},`+
		`{"name":"fida","api_keys":["key-3"]}],"route_table":`, 1)
	if public {
		text = strings.ReplaceAll(text, `"host_name":`, `"public":true,"host_name":`)
	}
	c, err := routing.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newKeyedFront returns a front with a configuration, nil for testConfig, and its only host, which serves all routes.
func newKeyedFront(t *testing.T, c *routing.Config) (*front, *host) {
	t.Helper()
	h := newHost(t, "i-1", func(c *call) bool {
		if c.req.URL.Path == keyedPaths[routing.Streaming] {
			return streams(c, event(1, "yes"))
		}
		c.respond(200, "", "yes")
		return true
	})
	f := newFront(t, h)
	if c != nil {
		f.source.set(func(tb *feed.Tables) { tb.Config = c })
	}
	return f, h
}

// Guards against ROUTE: a request ran although no configuration had ever held its key, or although it had none.
func TestUnknownKeyRunsNowhere(t *testing.T) {
	// runs sends one request and checks its status and whether it has reached the host.
	runs := func(t *testing.T, f *front, h *host, path, header string, status int, reaches bool) answer {
		t.Helper()
		before := h.calls.Load()
		a := f.do("POST", path, fmt.Sprint("a", before), timeLeft+header, "x")
		want(t, fmt.Sprintf("status with %q", header), a.status, status)
		want(t, fmt.Sprintf("whether %q reaches the host", header), h.calls.Load() > before, reaches)
		return a
	}
	for kind, path := range keyedPaths {
		t.Run("keyed "+kind, func(t *testing.T) {
			f, h := newKeyedFront(t, configOfTenants(t, false))
			for _, key := range []string{"key-1", "key-2", "key-3"} {
				runs(t, f, h, path, "Api-Key: "+key+"\r\n", 200, true)
			}
			for _, header := range []string{unknownKey, "Api-Key: KEY-1\r\n", "Api-Key: key-\r\n", "Api-Key: key-1, key-3\r\n",
				"Api-Key: hule\r\n", unknownKey + "X-Tenant: hule\r\n",
				"", "Api-Key:\r\n", "X-Tenant: hule\r\n"} { // the last three have no key
				runs(t, f, h, path, header, http.StatusUnauthorized, false)
			}
			for _, header := range []string{keyOfTenant + unknownKey, unknownKey + keyOfTenant, keyOfTenant + keyOfTenant} {
				runs(t, f, h, path, header, http.StatusBadRequest, false)
			}
		})
		t.Run("public "+kind, func(t *testing.T) {
			f, h := newKeyedFront(t, configOfTenants(t, true))
			for _, header := range []string{"", unknownKey, "X-Tenant: forged\r\n", unknownKey + "X-Tenant: forged\r\n"} {
				runs(t, f, h, path, header, 200, true)
				got := h.lastRequest()
				if strings.Contains(got, "Api-Key:") || strings.Contains(got, "X-Tenant: forged") {
					t.Errorf("of a request with %q the host got %q", header, got)
				}
			}
		})
		t.Run("stale "+kind, func(t *testing.T) {
			f, h := newKeyedFront(t, configOfTenants(t, false))
			f.source.set(func(tb *feed.Tables) { tb.ConfirmedAt = time.Now().Add(-2 * staleTimeout) })
			a := runs(t, f, h, path, unknownKey, http.StatusServiceUnavailable, false)
			want(t, "whether there is a Retry-After", a.header.Get("Retry-After") != "", true)
			f.source.set(func(tb *feed.Tables) { tb.ConfirmedAt = time.Now().Add(testTimeout) }) // confirmed throughout
			runs(t, f, h, path, unknownKey, http.StatusUnauthorized, false)
		})
		t.Run("without tenants "+kind, func(t *testing.T) {
			f, h := newKeyedFront(t, nil)
			runs(t, f, h, path, "", 200, true)
		})
	}
}
