package proxy

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second // for what has to happen, on a busy machine

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func wait[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("%s does not come", what)
	}
	return v
}

// eventually polls until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come true", what)
		}
	}
}

// source is a feed.TablesProvider that a test sets.
type source struct {
	mu      sync.Mutex
	tables  *feed.Tables
	changed chan struct{}
}

func newSource() *source { return &source{tables: &feed.Tables{}, changed: make(chan struct{})} }

func (s *source) Tables() *feed.Tables { s.mu.Lock(); defer s.mu.Unlock(); return s.tables }

func (s *source) Changed() <-chan struct{} { s.mu.Lock(); defer s.mu.Unlock(); return s.changed }

func (s *source) set(change func(t *feed.Tables)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := *s.tables
	change(&t)
	s.tables = &t
	close(s.changed)
	s.changed = make(chan struct{})
}

// ledger is a Ledger that a test scripts. It logs its calls.
type ledger struct {
	mu       sync.Mutex
	history  map[string]string
	openErr  error
	onOpen   func(ctx context.Context) error
	onClose  func(ctx context.Context) error
	base     bool
	entries  []string
	recorded []*turnstore.Turn
}

func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, fmt.Sprintf(format, args...))
}

func (l *ledger) log() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.entries, "; ")
}

func (l *ledger) Open(ctx context.Context, o turnstore.OpenRequest) (*turnstore.OpenedTurn, error) {
	l.note("open %s %s<-%s %d/%d", o.Program, o.Turn, o.Previous, o.MaxTokens, o.Budget)
	if l.openErr != nil {
		return nil, l.openErr
	}
	if l.onOpen != nil {
		if err := l.onOpen(ctx); err != nil {
			return nil, err
		}
	}
	opened := &turnstore.OpenedTurn{OpenRequest: o, History: []byte(l.history[o.Previous]), ForeignBase: l.base}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.recorded {
		if t.ID == o.Previous {
			opened.CacheHost, opened.ContextTokens = t.CacheHost, t.ContextTokens
		}
	}
	return opened, nil
}

func (l *ledger) Close(ctx context.Context, turn *turnstore.Turn) error {
	l.mu.Lock()
	l.recorded = append(l.recorded, turn)
	l.mu.Unlock()
	l.note("close %s %d", turn.ID, turn.UsedTokens)
	if l.onClose != nil {
		return l.onClose(ctx)
	}
	return nil
}

func (l *ledger) Settle(program, turn string, used int) {
	l.note("settle %s %s %d", program, turn, used)
}

// oracle is a balancer.Oracle that a test sets.
type oracle struct {
	mu        sync.Mutex
	timeout   time.Duration
	lastTries []time.Duration // arguments of Timeout
	served    int
	cuts      int
}

func (o *oracle) Timeout(left, lastTry time.Duration, canRestart bool) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastTries = append(o.lastTries, lastTry)
	if o.timeout == 0 || !canRestart {
		return left
	}
	return min(left, max(o.timeout, lastTry+time.Millisecond))
}
func (o *oracle) Served(time.Duration) { o.mu.Lock(); defer o.mu.Unlock(); o.served++ }
func (o *oracle) Cut()                 { o.mu.Lock(); defer o.mu.Unlock(); o.cuts++ }

// call is a request that a host got, with its connection.
type call struct {
	net.Conn
	in     *bufio.Reader
	req    *http.Request
	head   string // as received
	body   string
	number int // on its connection, from 1
}

func (c *call) id() string { return c.req.Header.Get("X-Attempt-Id") }

// respond writes a complete response.
func (c *call) respond(status int, header, body string) { c.raw(reply(c.id(), status, header, body)) }

func (c *call) raw(s string) { _, _ = io.WriteString(c.Conn, s) }

func reply(id string, status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Host-Seal: seal\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
}

// host is a stand-in for a host. Its script responds to each call, and returns false to close the connection.
type host struct {
	id, addr string
	capacity int // on the list
	phase    string
	l        net.Listener
	calls    atomic.Int32
	conns    atomic.Int32
	wg       sync.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]bool
	requests []string               // head and body
	accept   func(nc net.Conn) bool // gets a new connection first; false closes it
}

func newHost(t *testing.T, id string, script func(c *call) bool) *host {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{id: id, addr: l.Addr().String(), capacity: 4, l: l, open: map[net.Conn]bool{}}
	h.wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			h.conns.Add(1)
			h.mu.Lock()
			h.open[nc] = true
			h.mu.Unlock()
			h.wg.Go(func() { defer nc.Close(); h.serve(nc, script) })
		}
	})
	t.Cleanup(h.close)
	return h
}

func (h *host) close() {
	h.l.Close()
	h.mu.Lock()
	for c := range h.open {
		c.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

func (h *host) serve(nc net.Conn, script func(c *call) bool) {
	h.mu.Lock()
	accept := h.accept
	h.mu.Unlock()
	if accept != nil && !accept(nc) {
		return
	}
	in := bufio.NewReader(nc)
	for nth := 1; ; nth++ {
		var head strings.Builder
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			head.WriteString(line)
			if line == "\r\n" {
				break
			}
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
		if err != nil {
			return
		}
		body := make([]byte, max(0, req.ContentLength))
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		h.calls.Add(1)
		h.mu.Lock()
		h.requests = append(h.requests, head.String()+string(body))
		h.mu.Unlock()
		c := &call{Conn: nc, in: in, req: req, head: head.String(), body: string(body), number: nth}
		if !script(c) {
			return
		}
	}
}

// lastRequest returns the head and body of the last request.
func (h *host) lastRequest() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.requests) == 0 {
		return ""
	}
	return h.requests[len(h.requests)-1]
}

func respondsOK(text string) func(c *call) bool {
	return func(c *call) bool { c.respond(200, "", text); return true }
}

// front is a server under test with its stand-ins.
type front struct {
	*Server
	t      *testing.T
	source *source
	ledger *ledger
	oracle *oracle
	log    *logBuffer
	addr   string
	ready  string
}

// logBuffer has what a front has logged. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string { b.mu.Lock(); defer b.mu.Unlock(); return b.text.String() }

const testConfig = `{"config_version":1,"route_table":[
{"name":"r1","host_name":"shop.example","path_prefix":"/tool/","route_kind":"idempotent","deadline_ms":8000,"target_ms":400,"rank":1,"target_service":"plain","max_attempts":3},
{"name":"r2","host_name":"shop.example","path_prefix":"/order/","route_kind":"non_idempotent","deadline_ms":8000,"target_ms":400,"rank":0,"target_service":"plain","max_attempts":3},
{"name":"r3","host_name":"shop.example","path_prefix":"/stream/","route_kind":"streaming","deadline_ms":8000,"target_ms":400,"rank":0,"target_service":"plain","max_attempts":3,"gap_aim_ms":400},
{"name":"r4","host_name":"shop.example","path_prefix":"/turn/","route_kind":"streaming","deadline_ms":8000,"target_ms":400,"rank":0,"target_service":"engine","max_attempts":2,"retained":true,"retain_s":60,"affinity":true,"gap_aim_ms":400},
{"name":"r5","host_name":"shop.example","path_prefix":"/calm/high/","route_kind":"non_idempotent","deadline_ms":40000,"target_ms":40000,"rank":0,"target_service":"plain","max_attempts":1},
{"name":"r6","host_name":"shop.example","path_prefix":"/calm/low/","route_kind":"non_idempotent","deadline_ms":40000,"target_ms":40000,"rank":1,"target_service":"plain","max_attempts":1},
{"name":"r7","host_name":"shop.example","path_prefix":"/draft/","route_kind":"streaming","deadline_ms":8000,"target_ms":400,"rank":1,"target_service":"engine","max_attempts":2,"retained":false,"affinity":true,"resumable":true,"gap_aim_ms":400},
{"name":"r8","host_name":"shop.example","path_prefix":"/chat/","route_kind":"streaming","deadline_ms":8000,"target_ms":400,"rank":1,"target_service":"engine","max_attempts":2,"affinity":true,"gap_aim_ms":400}],
"service_table":[{"name":"plain","health_path":"/health","conn_limit":64,"protocol":"h1","tls_mode":false},
{"name":"engine","health_path":"/health","conn_limit":64,"protocol":"h1","tls_mode":false,"backend":{"capacity":8,"cache_tokens":10000,"event_tokens":2,"model_list":[{"name":"m"}]}}],
"limits":{"max_header_bytes":6000,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func newFront(t *testing.T, hosts ...*host) *front {
	t.Helper()
	scripted := &ledger{}
	f := newFrontWithLedger(t, scripted, hosts...)
	f.ledger = scripted
	return f
}

// newFrontWithLedger returns a front whose ledger is not scripted; its field ledger is nil.
func newFrontWithLedger(t *testing.T, shared Ledger, hosts ...*host) *front {
	t.Helper()
	return newFrontWithOptions(t, Options{Ledger: shared}, hosts...)
}

// newFrontWithOptions returns a front with options of which the test sets some; its field ledger is nil.
func newFrontWithOptions(t *testing.T, o Options, hosts ...*host) *front {
	t.Helper()
	f := &front{t: t, source: newSource(), oracle: &oracle{}, log: &logBuffer{}}
	cfg, err := routing.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	f.source.set(func(tb *feed.Tables) { tb.Config, tb.Placement = cfg, &turnstore.Placement{} })
	f.setHosts(hosts...)
	o.Zone, o.Source, o.Seed, o.GracePeriod, o.Log = "z", f.source, 1, 4*time.Second, process.NewLogger(f.log)
	o.NewOracle = func(time.Duration) balancer.Oracle { return f.oracle }
	f.Server = New(o)
	f.addr, f.ready = serve(t, f.Server)
	return f
}

// wantNothingHeld checks that a closed server holds nothing for its clients any more, whatever way their requests ended.
func wantNothingHeld(t *testing.T, s *Server) {
	t.Helper()
	if usage := s.options.Memory.Usage(); usage.Used != 0 || usage.Accounts != 0 {
		t.Errorf("the server still holds %+v for its clients", usage)
	}
}

func serve(t *testing.T, s *Server) (addr, ready string) {
	t.Helper()
	fl, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rl, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.Serve(fl, rl) })
	t.Cleanup(func() { s.Close(); wg.Wait(); wantNothingHeld(t, s) })
	eventually(t, "hosts are applied", func() bool {
		s.dispatcher.mu.Lock()
		defer s.dispatcher.mu.Unlock()
		return s.dispatcher.hosts == s.options.Source.Tables().Hosts
	})
	return fl.Addr().String(), rl.Addr().String()
}

// setHosts sets the host list, with each host for both services.
func (f *front) setHosts(hosts ...*host) {
	l := &discovery.List{Term: 1, Number: time.Now().UnixNano()}
	for _, h := range hosts {
		for _, service := range []string{"plain", "engine"} {
			id := h.id
			if service == "engine" {
				id += "-e"
			}
			l.Hosts = append(l.Hosts, discovery.Host{ID: id, Service: service, Addr: h.addr, Zone: "z", Capacity: h.capacity, Phase: cmp.Or(h.phase, discovery.Ready)})
		}
	}
	f.source.set(func(tb *feed.Tables) { tb.Hosts = l })
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (f *front) dial() *conn {
	f.t.Helper()
	nc, err := net.Dial("tcp4", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = nc.SetDeadline(time.Now().Add(2 * testTimeout))
	f.t.Cleanup(func() { nc.Close() })
	return &conn{Conn: nc, t: f.t, in: bufio.NewReader(nc)}
}

func requestText(method, uri, id, header, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, uri, id, header, len(body), body)
}

func (c *conn) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the body; nil if it is complete
	close  bool  // by the Connection field
}

// read reads one response. A status of 0 is the end of the connection without one.
func (c *conn) read() answer {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err, resp.Close}
}

// do sends one request on a connection of its own.
func (f *front) do(method, uri, id, header, body string) answer {
	f.t.Helper()
	c := f.dial()
	defer c.Close()
	c.send(requestText(method, uri, id, header, body))
	return c.read()
}

const timeLeft = "X-Time-Left-Ms: 8000\r\n"
