package proxy

import (
	"net/http"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
)

// Guards against LOST: a key was moved to another tenant, whose turn is continued with it at a front that is not in touch with the
// core and does not know. It cannot be sure that the turn belongs to another tenant: 503, not 404.
func TestStaleFrontIsNotSureWhoseTurnItIs(t *testing.T) {
	const before = `[{"name":"alpha","api_keys":["k1"]},{"name":"beta","api_keys":["k2"]}]`
	const after = `[{"name":"alpha"},{"name":"beta","api_keys":["k1","k2"]}]`
	for name, c := range map[string]struct {
		table  string        // that the front acts on, when the turn is continued with k1
		age    time.Duration // of its confirmation
		status int
	}{
		"confirmed, key moved":         {after, 0, http.StatusOK},
		"confirmed, key not moved":     {before, 0, http.StatusNotFound},
		"stale, key moved as it knows": {after, 2 * staleTimeout, http.StatusOK},
		"stale, key may be moved":      {before, 2 * staleTimeout, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			newClient, h := newStoreClients(t), newTenantHost(t)
			tt := &tenantTurns{t: t, host: h, newClient: newClient}
			status, _ := tt.take(parseTenantConfig(t, after), "k1", "")
			want(t, "status of the first turn", status, http.StatusOK)
			f := newTenantFront(t, newClient(), h)
			config := parseTenantConfig(t, c.table)
			f.source.set(func(tb *feed.Tables) { tb.Config, tb.ConfirmedAt = config, time.Now().Add(-c.age) })
			a := f.do("POST", "/turn/x", "t2", timeLeft+"Program: p1\r\nApi-Key: k1\r\nPrevious: t1\r\n", "input 2;")
			want(t, "status", a.status, c.status)
		})
	}
}
