package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/relay/journal"
)

const testSettings = `{"bounds":{"cancel":true,"conn-idle":5,"dial-timeout":1,"max-attempts":6,"max-retry-after":2,"most-held":50},
"classes":[{"aim":2,"effect":"deduplicated","give-up":16,"group":"zone","late-share":0.3,"name":"job-order","window":15,"worth":1},
{"aim":3,"effect":"idempotent","give-up":24,"group":"all","late-share":0.5,"name":"status-update","window":5,"worth":2},
{"aim":4,"effect":"at_most_once","give-up":20,"group":"all","late-share":0.3,"name":"payment","window":5,"worth":5}],
"family-info":{"late":"linear","own-limits":[true,true],"per-call":[5,1],"workers":7,"zone-fee":[0,0.05,0.02]},
"fleet-size":3,"index":0,"load-report":{"columns":[],"how":"off"},"registry-mode":"automatic",
"rules":{"cold":13,"cold-from":0.22,"drain-grace":0.25,"fall":2,"grace-to-answer":0.02,"overload-factor":2},
"skus":["marketplace","customer-system"],"tick":0.005,"weights":"off","zones":["taller","oficinas","almacen"]}`

// platform stands in for discovery and the receiver of notices.
type platform struct {
	*httptest.Server
	mu      sync.Mutex
	now     hostList
	changed chan struct{}
	asked   chan string // raw queries, as far as a test reads them
	notices chan notice
	fail    int  // number of POSTs to answer 500 first
	deny    bool // watches are rejected

	silent bool // notices are read and never answered
}

func newPlatform(t *testing.T, servers ...hostEntry) *platform {
	p := &platform{now: hostList{1, true, servers}, changed: make(chan struct{}), asked: make(chan string, 100),
		notices: make(chan notice, 100)}
	p.Server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.CloseClientConnections)
	return p
}

func (p *platform) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/status" {
		p.mu.Lock()
		fails := p.fail > 0
		if fails {
			p.fail--
		}
		silent := p.silent
		p.mu.Unlock()
		if fails {
			w.WriteHeader(500)
			return
		}
		for dec := json.NewDecoder(req.Body); ; {
			var n notice
			if dec.Decode(&n) != nil {
				break
			}
			p.notices <- n
		}
		if silent {
			<-req.Context().Done()
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	select {
	case p.asked <- req.URL.RawQuery:
	default:
	}
	p.mu.Lock()
	l, changed, deny := p.now, p.changed, p.deny
	p.mu.Unlock()
	if deny && req.URL.RawQuery != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64); err == nil && since == l.Version {
		select {
		case <-changed:
			p.mu.Lock()
			l = p.now
			p.mu.Unlock()
		case <-req.Context().Done():
			return
		}
	}
	json.NewEncoder(w).Encode(l)
}

func (p *platform) publish(version int64, full bool, servers ...hostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = hostList{version, full, servers}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) addr() string { return p.Listener.Addr().String() }

// seen is one call as a host received it.
type seen struct {
	host, id, key, body string
	at                  time.Time
	answer              chan int // status; a header may precede it
}

// fakeHost passes each call to the test, and answers with the status that the test sends.
func fakeHost(t *testing.T, name string, calls chan *seen) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		c := &seen{name, req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key"), string(body), time.Now(),
			make(chan int, 1)}
		calls <- c
		select {
		case status := <-c.answer:
			if status == 429 {
				w.Header().Set("Retry-After", "0.3")
			}
			w.WriteHeader(status)
		case <-req.Context().Done():
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// newJournal returns a journal with the given records.
func newJournal(t *testing.T, recs ...journal.Record) *journal.Journal {
	t.Helper()
	j, err := journal.Open(t.TempDir(), journal.Options{Budget: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	if err := j.Append(recs...); err != nil {
		t.Fatal(err)
	}
	return j
}

func testConfig(t *testing.T, p *platform) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, err := json.Marshal(p.now)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":%s,"settings":%s}`,
		p.addr(), known, testSettings)
}

func readTestConfig(t *testing.T, data []byte, state string) (Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"BALANCER_CONFIG": path, "BALANCER_STATE": state}
	return ReadConfig(func(name string) string { return env[name] })
}

func startRelay(t *testing.T, p *platform, change func(*Config)) *Relay {
	t.Helper()
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&conf)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	t.Cleanup(func() { r.stop(); <-done })
	return r
}

// hand submits one message and returns status and Retry-After.
func hand(t *testing.T, addr, id, class string, more ...string) (int, string) {
	t.Helper()
	req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("body of "+id))
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Deadline-Ms": "15000",
		"Idempotency-Key": "key-" + id, "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	for i := 0; i+1 < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

func wait[T any](t *testing.T, ch chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

func at(id, addr, zone string) hostEntry {
	return hostEntry{ID: id, Addr: addr, Zone: zone, Kind: "customer-system", Cell: 7, State: "active", Weight: 1}
}
