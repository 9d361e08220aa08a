package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"larchrouter/internal/relay"
)

const settings = `{"bounds":{"cancel":true,"conn-idle":5,"dial-timeout":1,"max-attempts":6,"max-retry-after":2,"most-held":50},
"classes":[{"aim":2,"effect":"idempotent","give-up":16,"group":"all","late-share":0.3,"name":"update","window":5,"worth":1}],
"family-info":{"late":"linear","own-limits":[true],"per-call":[1],"workers":7,"zone-fee":[0]},
"fleet-size":3,"index":0,"load-report":{"columns":[],"how":"off"},"registry-mode":"automatic",
"rules":{"cold":13,"cold-from":0.22,"drain-grace":0.25,"fall":2,"grace-to-answer":0.02,"overload-factor":2},
"skus":["partner"],"tick":0.005,"weights":"off","zones":["z"]}`

// config returns the configuration of a relay with the given state folder and address of the discovery agent.
func config(t *testing.T, state, discovery string) relay.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"settings":%s}`, discovery, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"BALANCER_CONFIG": path, "BALANCER_STATE": state}
	c, err := relay.ReadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// agent starts a discovery agent without servers. requested gets a value for each request.
func agent(t *testing.T) (addr string, requested chan bool) {
	t.Helper()
	requested = make(chan bool, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case requested <- true:
		default:
		}
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
			return
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), requested
}

// Signals that arrive after a relay's configuration was read and before the relay can be notified are applied:
// it uses the reloaded discovery agent, and it stops.
func TestSignalsDuringStart(t *testing.T) {
	old, _ := agent(t)
	moved, requested := agent(t)
	state := t.TempDir()
	conf, reloaded := config(t, state, old), config(t, state, moved)
	sup := new(supervisor)
	sup.reloaded.Store(&reloaded) // SIGHUP
	sup.stopping.Store(true)      // SIGTERM
	ended := make(chan error, 1)
	go func() {
		_, err := serve(conf, nil, sup)
		ended <- err
	}()
	select {
	case <-requested:
	case <-time.After(30 * time.Second):
		t.Error("the reloaded discovery agent got no request")
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the relay does not stop after a signal to stop")
	}
}
