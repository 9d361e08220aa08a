package proxy

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// Guards against LOST: a key was moved to another tenant, whose turn is continued with it at a front that is not in touch with the
// core and does not know. It cannot be sure that the turn belongs to another tenant: 503, not 404.
func TestStaleFrontIsNotSureWhoseTurnItIs(t *testing.T) {
	const before = `[{"name":"alpha","api_keys":["k1"]},{"name":"beta","api_keys":["k2"]}]`
	const after = `[{"name":"alpha"},{"name":"beta","api_keys":["k1","k2"]}]`
	const live = -1 // confirmed again and again, also since the request came
	for name, c := range map[string]struct {
		table  string        // that the front acts on, when the turn is continued with k1
		age    time.Duration // of its confirmation
		status int
	}{
		"confirmed, key moved":                  {after, live, http.StatusOK},
		"confirmed, key not moved":              {before, live, http.StatusNotFound},
		"stale, key moved as it knows":          {after, 2 * staleTimeout, http.StatusOK},
		"stale, key may be moved":               {before, 2 * staleTimeout, http.StatusServiceUnavailable},
		"confirmed just before the request":     {before, 0, http.StatusServiceUnavailable},
		"confirmed 0.1 s before the request":    {before, 100 * time.Millisecond, http.StatusServiceUnavailable},
		"confirmed 1.4 s before the request":    {before, 1400 * time.Millisecond, http.StatusServiceUnavailable},
		"confirmed before, key moved meanwhile": {after, 100 * time.Millisecond, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			newClient, h := newStoreClients(t), newTenantHost(t)
			tt := &tenantTurns{t: t, host: h, newClient: newClient}
			status, _ := tt.take(parseTenantConfig(t, after), "k1", "")
			want(t, "status of the first turn", status, http.StatusOK)
			f := newTenantFront(t, newClient(), h)
			config := parseTenantConfig(t, c.table)
			f.source.set(func(tb *feed.Tables) { tb.Config, tb.ConfirmedAt = config, time.Now().Add(-c.age) })
			if c.age == live {
				keepConfirmed(t, f)
			}
			a := f.do("POST", "/turn/x", "t2", timeLeft+"Program: p1\r\nApi-Key: k1\r\nPrevious: t1\r\n", "input 2;")
			want(t, "status", a.status, c.status)
		})
	}
}

// keepConfirmed confirms the tables of a front again and again until the test ends.
func keepConfirmed(t *testing.T, f *front) {
	t.Helper()
	done := make(chan struct{})
	var confirming sync.WaitGroup
	confirming.Go(func() {
		for {
			f.source.set(func(tb *feed.Tables) { tb.ConfirmedAt = time.Now() })
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	t.Cleanup(func() {
		close(done)
		confirming.Wait()
	})
}

// Guards against LOST and UNASKED on public routes: a front whose tables are beyond the bound cannot tell whose key it is, so that it
// neither denies a turn that exists nor has a host run a request of a tenant without its name.
func TestPublicRouteWithKeyAtCutOffFront(t *testing.T) {
	newClient, h := newStoreClients(t), newTenantHost(t)
	config, err := routing.Parse([]byte(strings.Replace(tenantConfig, `"path_prefix":"/turn/"`, `"public":true,"path_prefix":"/turn/"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	frontOf := func(age time.Duration) *front {
		f := newFrontWithOptions(t, Options{Ledger: newClient(), RevocationBound: 5 * time.Second}, h)
		f.source.set(func(tb *feed.Tables) { tb.Config, tb.ConfirmedAt = config, time.Now().Add(-age) })
		return f
	}
	const key = timeLeft + "Program: p1\r\nApi-Key: key-a1\r\n"
	want(t, "status of the first turn", frontOf(0).do("POST", "/turn/x", "t1", key, "input 1;").status, http.StatusOK)
	cutOff := frontOf(6 * time.Second)
	want(t, "status of the next turn", cutOff.do("POST", "/turn/x", "t2", key+"Previous: t1\r\n", "input 2;").status, http.StatusServiceUnavailable)
	want(t, "status on a public route", cutOff.do("POST", "/open/x", "o1", key, "x").status, http.StatusServiceUnavailable)
	want(t, "status without a key", cutOff.do("POST", "/open/x", "o2", timeLeft, "x").status, http.StatusOK)
}
