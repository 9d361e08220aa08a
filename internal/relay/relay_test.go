package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/testbin"
)

const testSettings = `{"bounds":{"cancel":true,"conn-idle":5,"dial-timeout":1,"max-attempts":6,"max-retry-after":2,"most-held":50},
"classes":[{"aim":2,"effect":"deduplicated","give-up":16,"group":"zone","late-share":0.3,"name":"job-order","window":15,"worth":1},
{"aim":3,"effect":"idempotent","give-up":24,"group":"all","late-share":0.5,"name":"status-update","window":5,"worth":2},
{"aim":4,"effect":"at_most_once","give-up":20,"group":"all","late-share":0.3,"name":"payment","window":5,"worth":5}],
"family-info":{"late":"linear","own-limits":[true,true],"per-call":[5,1],"workers":7,"zone-fee":[0,0.05,0.02]},
"fleet-size":3,"index":0,"load-report":{"columns":[],"how":"off"},"registry-mode":"automatic",
"rules":{"cold":13,"cold-from":0.22,"drain-grace":0.25,"fall":2,"grace-to-answer":0.02,"overload-factor":2},
"skus":["marketplace","customer-system"],"tick":0.005,"weights":"off","zones":["taller","oficinas","almacen"]}`

// platform stands in for discovery and the taker of notices.
type platform struct {
	*httptest.Server
	mu      sync.Mutex
	now     hostList
	changed chan struct{}
	asked   chan string // raw queries, as far as a test reads them
	notices chan notice
	fail    int  // so many POSTs are answered 500 first
	deny    bool // watches are turned away

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

// seen is one call as a host got it.
type seen struct {
	host, id, key, body string
	at                  time.Time
	answer              chan int // status; a header may precede it
}

// fakeHost hands each call to the test and answers what the test says.
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

// newJournal is an empty one of the test's own.
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

// hand posts one message and returns status and Retry-After.
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

func TestDeliversUnchanged(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	status, _ := hand(t, r.Addr(), "m1", "job-order", "X-Retry", "again")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m1")
	want(t, "key", c.key, "key-m1")
	want(t, "body", c.body, "body of m1")
	c.answer <- 200
}

// Guards against a second delivery when a client repeats an id after its connection broke.
func TestRepeatedIDIsAdmittedOnce(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	for range 2 {
		status, _ := hand(t, r.Addr(), "m1", "payment")
		want(t, "status", status, 202)
	}
	wait(t, calls, "call").answer <- 200
	status, _ := hand(t, r.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id of the next call", c.id, "m2")
	c.answer <- 200
	status, _ = hand(t, r.Addr(), "m1", "payment") // by now over
	want(t, "status", status, 202)
	hand(t, r.Addr(), "m3", "payment")
	c = wait(t, calls, "call")
	want(t, "id of the next call", c.id, "m3")
	c.answer <- 200
}

// Guards against taking on a message whose client has already gone.
func TestMessageOfGoneClientIsWithdrawn(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	held := make(chan int, 1)
	in := &admission{entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}, class: 2, deadline: r.now() + time.Second, ctx: ctx,
		reply: make(chan response, 1)}
	r.post(func() { r.admit(in); held <- len(r.pending) })
	want(t, "messages held", wait(t, held, "count"), 0)
}

// Guards against losing a message that came on two connections when the first one broke.
func TestWithdrawKeepsResentMessage(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", "127.0.0.1:1", "taller")), nil)
	held := make(chan int, 1)
	r.post(func() {
		for _, id := range []string{"once", "twice"} {
			r.pending[id] = &message{Entry: &journal.Entry{ID: id}, resent: id == "twice"}
			r.withdraw(id)
		}
		held <- len(r.pending)
		delete(r.pending, "twice")
	})
	want(t, "messages held", wait(t, held, "count"), 1)
}

func TestMalformedRequests(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	for _, c := range [][2]string{{"X-Request-Id", ""}, {"X-Request-Id", "a b"}, {"X-Class", "nothing"}, {"X-Class", ""},
		{"X-Deadline-Ms", "0"}, {"X-Deadline-Ms", "-5"}, {"X-Deadline-Ms", "soon"}, {"X-Deadline-Ms", "99999999999999999999"},
		{"X-Addressing", ""}, {"X-Addressing", "dest=x"}, {"X-Addressing", "dest=8"}, {"Idempotency-Key", ""},
		{"X-Request-Id", strings.Repeat("x", maxTokenBytes+1)}} {
		if status, _ := hand(t, r.Addr(), "m1", "job-order", c[0], c[1]); status < 400 || status > 499 {
			t.Errorf("%s %q: status %d, want 4xx", c[0], c[1], status)
		}
	}
	req := httptest.NewRequest("POST", "/api", bytes.NewReader(make([]byte, maxBody+1)))
	for k, v := range map[string]string{"X-Request-Id": "m1", "X-Class": "payment", "X-Deadline-Ms": "9", "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	r.handler().ServeHTTP(w, req)
	want(t, "status of a body too long", w.Code, 413)
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "no HTTP at all\r\n\r\n")
	io.Copy(io.Discard, conn)
	conn.Close()
	status, _ := hand(t, r.Addr(), "m2", "payment")
	want(t, "status of a sound one", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

// Guards against taking on more than the settings allow, and against a refusal that says not when to come again.
func TestFullRelayRejects(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")),
		func(c *Config) { c.Settings.MaxHeld = 1 })
	var status int
	var after string
	for i := range 3 {
		status, after = hand(t, r.Addr(), fmt.Sprint("m", i), "payment")
	}
	want(t, "status", status, 503)
	if s, err := strconv.ParseFloat(after, 64); err != nil || s <= 0 {
		t.Fatalf("Retry-After is %q", after)
	}
}

// Guards against a call before the end of a wait, which has decimals.
func TestRetryAfterIsObserved(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	hand(t, r.Addr(), "m1", "status-update")
	c := wait(t, calls, "call")
	told := time.Now()
	c.answer <- 429
	c = wait(t, calls, "second call")
	if gap := c.at.Sub(told); gap < 300*time.Millisecond {
		t.Fatalf("called again after %v, told to wait 300 ms", gap)
	}
	c.answer <- 200
}

// Guards against sends to a host that the list withdraws while messages come in.
func TestDrainingHostGetsNoNewCalls(t *testing.T) {
	calls := make(chan *seen, 10)
	a, b := at("s-1", fakeHost(t, "a", calls), "taller"), at("s-2", fakeHost(t, "b", calls), "almacen")
	p := newPlatform(t, a, b)
	r := startRelay(t, p, nil)
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = wait(t, p.asked, "watch")
	}
	a.State = "leaving"
	p.publish(2, false, a)
	for q := ""; !strings.Contains(q, "since=2&"); {
		q = wait(t, p.asked, "next watch") // it is asked for after the change was handed on
	}
	for i := range 5 {
		hand(t, r.Addr(), fmt.Sprint("m", i), "payment")
		c := wait(t, calls, "call")
		want(t, "host", c.host, "b")
		c.answer <- 200
	}
}

// Guards against calls held back, or let through, by a whole list: it closes just the hosts it leaves out.
func TestFullListClosesMissingHosts(t *testing.T) {
	r := &Relay{hosts: map[string]*host{}, destinationSeen: map[int]time.Duration{},
		sharedWaits: map[int]*httpcall.Waits{}, journal: &journal.Journal{},
		pool: httpcall.NewPool(time.Second, time.Minute, 64)}
	r.applyHostList(hostList{1, true, []hostEntry{at("s-1", "x:1", "taller"), at("s-2", "x:2", "taller"), at("s-3", "x:3", "taller")}})
	one, two, three := r.hosts["s-1"], r.hosts["s-2"], r.hosts["s-3"]
	r.applyHostList(hostList{2, true, []hostEntry{at("s-1", "x:1", "taller"), at("s-3", "x:9", "taller")}})
	want(t, "the one that stays is closed", one.Closed(), false)
	want(t, "the one left out is closed", two.Closed(), true)
	want(t, "the one that moved is closed at its old place", three.Closed(), true)
	want(t, "and open at the new one", r.hosts["s-3"].Closed(), false)
}

// Guards against attempts that are neither sent nor reported while the disk is broken.
func TestBrokenJournalSendsNothing(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	set := make(chan bool)
	r.post(func() {
		r.journal.Broken = errors.New("disk gone")
		close(set)
	})
	<-set
	status, _ := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, 503)
	r.post(func() { r.journal.Broken = nil })
	status, _ = hand(t, r.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

// Guards against building changes on another history of the list.
func TestOlderVersionIsResynced(t *testing.T) {
	p := newPlatform(t, at("s-1", "127.0.0.1:1", "taller"))
	startRelay(t, p, nil)
	for q := "x"; !strings.Contains(q, "since=1&"); {
		q = wait(t, p.asked, "watch")
	}
	p.publish(0, false)
	want(t, "query after an older version", wait(t, p.asked, "query"), "")
}

// Guards against losing a notice that the platform did not take at once.
func TestNoticeIsRepeated(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	p.fail = 2
	r := startRelay(t, p, nil)
	hand(t, r.Addr(), "m1", "payment")
	wait(t, calls, "call").answer <- 500 // it may have run, and must not again
	n := wait(t, p.notices, "notice")
	want(t, "notice", n, notice{"m1", undeliverable, 0})
	owed := make(chan int)
	for {
		r.post(func() { owed <- r.pendingNotices + len(r.journal.Entries) })
		if wait(t, owed, "count") == 0 {
			break
		}
	}
}

func TestConfigErrors(t *testing.T) {
	p := newPlatform(t)
	good := string(testConfig(t, p))
	if _, err := readTestConfig(t, []byte(good), t.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{{`"listen"`, `"nothing"`}, {`"workers":7`, `"workers":0`}, {`"sockets":1024`, `"sockets":0`},
		{"{", "["}, {`"seed":"8`, `"seed":"x`}, {"deduplicated", "odd"}} {
		conf, err := readTestConfig(t, []byte(strings.Replace(good, c[0], c[1], 1)), t.TempDir())
		if err == nil {
			_, err = New(conf)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error is %v, want one line", c[1], c[0], err)
		}
	}
	if _, err := ReadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error without BALANCER_CONFIG")
	}
}

// Guards against a relay that sleeps past a deadline: a step for another reason comes just after a
// wake-up fell due and before its tick was read.
func TestOverdueWakeIsReplaced(t *testing.T) {
	r := &Relay{wakeTimer: time.NewTimer(time.Hour)}
	r.armWakeTimer(0, time.Nanosecond)
	r.armWakeTimer(time.Second, 50*time.Millisecond)
	want(t, "next wake-up", r.wakeAt, time.Second+50*time.Millisecond)
	begin := time.Now()
	<-r.wakeTimer.C
	if early := time.Since(begin) < 40*time.Millisecond; early {
		t.Fatal("the old tick came through")
	}
	r.armWakeTimer(2*time.Second, time.Second)
	r.armWakeTimer(2*time.Second, time.Minute)
	want(t, "earlier wake-up", r.wakeAt, 3*time.Second)
}

func TestMain(m *testing.M) { testbin.Main(m) }

// process starts the program and tells its address once it serves.
func process(t *testing.T, p *platform, state string) (*exec.Cmd, string) {
	t.Helper()
	cmd, addr := processAt(t, p, state, "127.0.0.1:0")
	return cmd, wait(t, addr, "address")
}

// processAt starts the program, to serve at an address, which it tells once it does.
func processAt(t *testing.T, p *platform, state, listen string) (*exec.Cmd, chan string) {
	t.Helper()
	return processWith(t, bytes.Replace(testConfig(t, p), []byte("127.0.0.1:0"), []byte(listen), 1), state)
}

// processWith starts the program with a configuration; the channel tells the address once it serves.
func processWith(t *testing.T, text []byte, state string) (*exec.Cmd, chan string) {
	t.Helper()
	path, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_STATE="+state)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	addr := make(chan string, 1)
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			if _, a, ok := strings.Cut(s.Text(), "addr="); ok {
				addr <- a
			}
		}
	}()
	return cmd, addr
}

func up(t *testing.T, addr string) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/up")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status of /up", resp.StatusCode, 200)
}

// Guards against loss and against a second effect when a relay is killed with a call out: what is
// safe goes again, what is keyed goes again in the same zone, what is unsafe ends by a notice.
func TestKillAndRestart(t *testing.T) {
	for _, class := range []string{"job-order", "status-update", "payment"} {
		t.Run(class, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"), at("s-2", fakeHost(t, "b", calls), "almacen"))
			state := t.TempDir()
			cmd, addr := process(t, p, state)
			up(t, addr)
			status, _ := hand(t, addr, "m1", class)
			want(t, "status", status, 202)
			first := wait(t, calls, "call")
			cmd.Process.Kill()
			cmd.Wait()
			_, addr = process(t, p, state)
			up(t, addr)
			if class == "payment" {
				want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
				hand(t, addr, "m2", class)
				c := wait(t, calls, "call")
				want(t, "id of the next call", c.id, "m2")
				c.answer <- 200
				return
			}
			c := wait(t, calls, "call after the restart")
			want(t, "id", c.id, "m1")
			want(t, "body", c.body, first.body)
			want(t, "key", c.key, first.key)
			if class == "job-order" {
				want(t, "host, which alone remembers the key", c.host, first.host)
			}
			c.answer <- 200
		})
	}
}

// Guards against a stop that drops a call out, or refuses clients that still come.
func TestSIGTERM(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	cmd, addr := process(t, p, t.TempDir())
	hand(t, addr, "m1", "payment")
	first := wait(t, calls, "call")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	status, _ := hand(t, addr, "m2", "payment")
	want(t, "status after SIGTERM", status, 202)
	first.answer <- 200
	wait(t, calls, "second call").answer <- 200
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v, want 0", err)
	}
	if len(p.notices) > 0 {
		t.Fatalf("notice %v, want none", <-p.notices)
	}
}

// Guards against a late notice for what ran out of time while the relay was down.
func TestExpiredMessageGetsNoticeAtOnce(t *testing.T) {
	for _, c := range []struct {
		class, status string
		tried         bool
	}{{"status-update", deferred, true}, {"payment", deferred, false}, {"payment", undeliverable, true}} {
		calls := make(chan *seen, 10)
		p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
		startRelay(t, p, func(conf *Config) {
			j, err := journal.Open(conf.State, journal.Options{Budget: 3e6})
			if err != nil {
				t.Fatal(err)
			}
			past := time.Now().Add(-time.Second).UnixMilli()
			recs := []journal.Record{{Op: journal.OpTaken, Entry: &journal.Entry{ID: "m1", Class: c.class, Dest: 7, Due: past}}}
			if c.tried {
				recs = append(recs, journal.Record{Op: journal.OpTry, ID: "m1", At: past})
			}
			if err := j.Append(recs...); err != nil {
				t.Fatal(err)
			}
		})
		want(t, "status", wait(t, p.notices, "notice").Status, c.status)
		want(t, "calls", len(calls), 0)
	}
}

// effects counts what happens to messages where it happens: at hosts that answer, refuse, fail, break off and hang
// in turn, the same way for the same number and try.
type effects struct {
	mu       sync.Mutex
	ran      map[string]map[string]int // by message and host
	tries    map[string]int
	over     map[string]bool
	progress chan struct{}
	of       int // of so many calls one is refused, one fails, one breaks off, one hangs; the others are answered
}

var effectClasses = []string{"job-order", "status-update", "payment"}

// of is a message's number and class.
func effectOf(id string) (n int, class string) {
	n, _ = strconv.Atoi(id[1:])
	return n, effectClasses[n%3]
}

func newEffects() *effects {
	return &effects{ran: map[string]map[string]int{}, tries: map[string]int{}, over: map[string]bool{}, progress: make(chan struct{}, 1_000_000), of: 5}
}

// host starts one.
func (f *effects) host(t *testing.T, name string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		n, _ := effectOf(id)
		f.mu.Lock()
		f.tries[id]++
		how := (n/3 + f.tries[id] - 1) % f.of
		if how != 1 {
			if f.ran[id] == nil {
				f.ran[id] = map[string]int{}
			}
			f.ran[id][name]++
		}
		f.over[id] = f.over[id] || how == 0 || how > 4
		f.mu.Unlock()
		f.progress <- struct{}{}
		switch how {
		case 1:
			w.Header().Set("Retry-After", "0.02")
			w.WriteHeader(429)
		case 2:
			w.WriteHeader(500)
		case 3:
			panic(http.ErrAbortHandler)
		case 4:
			<-req.Context().Done()
		}
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// ends waits until each message that was taken on has been delivered or told of.
func (f *effects) ends(t *testing.T, p *platform, took map[string]bool) {
	t.Helper()
	for left := true; left; {
		select {
		case n := <-p.notices:
			f.mu.Lock()
			f.over[n.ID] = true
			f.mu.Unlock()
		case <-f.progress:
		case <-time.After(30 * time.Second):
			f.mu.Lock()
			defer f.mu.Unlock()
			for id, ok := range took {
				if ok && !f.over[id] {
					t.Errorf("%s has no end after %d tries", id, f.tries[id])
				}
			}
			t.FailNow()
		}
		left = false
		f.mu.Lock()
		for id, ok := range took {
			left = left || ok && !f.over[id]
		}
		f.mu.Unlock()
	}
}

// check holds all that was sent against the rules.
func (f *effects) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, tries := range f.tries {
		_, class := effectOf(id)
		a, b := f.ran[id]["a"], f.ran[id]["b"]
		if class == "payment" && a+b > 1 {
			t.Errorf("payment %s may have run %d times", id, a+b)
		}
		if class == "job-order" && a > 0 && b > 0 {
			t.Errorf("job order %s may have run in both buildings", id)
		}
		if tries > 6 {
			t.Errorf("%s went out %d times, 6 are allowed", id, tries)
		}
	}
}

// Guards the two rules that matter most across every kind of failure and two kills: what was taken on
// ends, and what may not be repeated is not.
func TestNothingLostOrRepeatedAcrossKills(t *testing.T) {
	const messages = 60
	f := newEffects()
	p := newPlatform(t, at("s-1", f.host(t, "a"), "taller"), at("s-2", f.host(t, "b"), "almacen"))
	state := t.TempDir()
	cmd, addr := process(t, p, state)
	took := map[string]bool{}
	for n := range messages {
		if n == messages/3 || n == 2*messages/3 {
			wait(t, f.progress, "call")
			cmd.Process.Kill()
			cmd.Wait()
			cmd, addr = process(t, p, state)
		}
		id := fmt.Sprint("m", n)
		_, class := effectOf(id)
		status, _ := hand(t, addr, id, class, "X-Deadline-Ms", "2000")
		took[id] = status == 202
	}
	f.ends(t, p, took)
	f.check(t)
}

// Guards against a stop that waits for a host that never answers, until SIGKILL ends it: the call is
// left to the journal, and the next process ends the message.
func TestSIGTERMWithCallThatHangs(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	state := t.TempDir()
	cmd, addr := process(t, p, state)
	hand(t, addr, "m1", "payment")
	wait(t, calls, "call")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v, want 0", err)
	}
	if len(p.notices) > 0 {
		t.Fatalf("notice %v before the message's time was up", <-p.notices)
	}
	process(t, p, state)
	want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
	want(t, "further calls", len(calls), 0)
}
