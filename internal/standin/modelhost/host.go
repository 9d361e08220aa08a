// Package modelhost has stand-ins for the hosts behind the serving tier, written from the protocol: inference servers that
// stream events, and servers of plain calls (tools). They serve tests and the demo. All work is waiting; what comes out
// depends on the attempt's id alone, so that a test knows it beforehand. A ledger that hosts share has every run.
package modelhost

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Options of a host.
type Options struct {
	ID         string // of this incarnation
	Service    string
	Zone       string
	Addr       string // to listen at; "" for a port of its own
	Capacity   int    // requests at a time; 0 for one
	Queue      int    // requests that wait
	ConnLimit  int    // connections from all callers; 0 for no bound
	HealthPath string // "" for /health
	TellsLoad  bool
	Idle       time.Duration // of a connection until it is closed; 0 for never
	Ledger     *Ledger       // nil for one of its own

	Work time.Duration // of a tool's call
	Size int           // of a tool's answer, in bytes at least

	Model       string        // "" for a tool
	Version     int           // of the weights
	Events      int           // of a stream; 0 for as many as the request allows
	EventTokens int           // in each event; 0 for one
	CacheTokens int           // memory; 0 for no bound
	First       time.Duration // to the first event of an idle host
	PerToken    time.Duration // of the prompt that is not kept
	Step        time.Duration // between events
}

// Kind of a fault.
type Kind int

// The faults. All but Full let the request run.
const (
	None    Kind = iota
	Break        // the answer is broken off after so many events, or bytes of a tool's answer
	Silence      // nothing comes after so many events, until the fault is changed; then it goes on
	Lose         // the connection is closed without an answer
	Fail         // 500
	Noise        // bytes that are no answer, then a close
	Extra        // bytes behind the whole answer
	Surplus      // the whole answer, and once more where the next one on the connection is due
	Leave        // the whole answer with Connection: close
	Full         // rejected as though the host were full
)

// Fault is what goes wrong with requests.
type Fault struct {
	Kind  Kind
	After int // events, or bytes of a tool's answer
	Times int // for so many requests; 0 for all until it is changed
}

// Host is one incarnation. Its methods are safe for concurrent use.
type Host struct {
	opts   Options
	ledger *Ledger
	l      net.Listener
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  int
	waiting  []*waiter // in the order in which they get a slot
	number   int       // of runs
	version  int
	draining bool
	fault    Fault
	changed  chan struct{} // closed when the fault changes
	cache    cache
	refused  int
}

type waiter struct {
	priority int
	admitted chan struct{}
}

// New starts a host.
func New(o Options) (*Host, error) {
	o.Capacity, o.EventTokens = max(1, o.Capacity), max(1, o.EventTokens)
	o.HealthPath, o.Addr = cmp.Or(o.HealthPath, "/health"), cmp.Or(o.Addr, "127.0.0.1:0")
	l, err := net.Listen("tcp4", o.Addr)
	if err != nil {
		return nil, err
	}
	o.Addr = l.Addr().String()
	if o.Ledger == nil {
		o.Ledger = new(Ledger)
	}
	h := &Host{opts: o, ledger: o.Ledger, l: l, conns: map[net.Conn]bool{}, version: o.Version, changed: make(chan struct{}),
		cache: cache{most: o.CacheTokens}}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.wg.Go(h.accept)
	return h, nil
}

// Options are those that it was started with; Addr is where it listens.
func (h *Host) Options() Options { return h.opts }

// Addr is where it listens.
func (h *Host) Addr() string { return h.opts.Addr }

// Ledger has its runs.
func (h *Host) Ledger() *Ledger { return h.ledger }

// Refused counts the requests that it rejected without running them.
func (h *Host) Refused() int { h.mu.Lock(); defer h.mu.Unlock(); return h.refused }

// Conns counts the open connections.
func (h *Host) Conns() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.conns) }

// Busy tells how many requests run and how many wait.
func (h *Host) Busy() (running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running, len(h.waiting)
}

// Set changes what goes wrong from now on. Requests that are silent go on.
func (h *Host) Set(f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
	close(h.changed)
	h.changed = make(chan struct{})
}

// SetVersion changes the weights, also amid streams.
func (h *Host) SetVersion(v int) { h.mu.Lock(); defer h.mu.Unlock(); h.version = v }

// Drain has it leave: it serves on, but says in each answer that the connection closes, and is not healthy any more.
func (h *Host) Drain() { h.mu.Lock(); defer h.mu.Unlock(); h.draining = true }

// Close ends it at once, as a crash does, and waits for that.
func (h *Host) Close() {
	h.stop()
	h.l.Close()
	h.mu.Lock()
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

func (h *Host) accept() {
	for {
		nc, err := h.l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		if h.ctx.Err() != nil {
			nc.Close()
		} else if h.opts.ConnLimit > 0 && len(h.conns) >= h.opts.ConnLimit {
			reset(nc)
		} else {
			h.conns[nc] = true
			h.wg.Go(func() { h.serve(nc) })
		}
		h.mu.Unlock()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// conn is a connection of a caller, on which one request is served at a time.
type conn struct {
	net.Conn
	in      *bufio.Reader
	tee     *bytes.Buffer // the answer that is written, if it is to be sent once more
	surplus []byte        // is sent ahead of the next answer
	err     error         // of the first write that failed
}

func (c *conn) write(b []byte) {
	if c.tee != nil {
		c.tee.Write(b)
	}
	if c.err == nil {
		_, c.err = c.Write(b)
	}
}

func (h *Host) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		h.mu.Lock()
		delete(h.conns, nc)
		h.mu.Unlock()
	}()
	c := &conn{Conn: nc, in: bufio.NewReader(nc)}
	for keep := true; keep && c.err == nil; {
		idle := time.Time{}
		if h.opts.Idle > 0 {
			idle = time.Now().Add(h.opts.Idle)
		}
		_ = c.SetReadDeadline(idle)
		if _, err := c.in.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if c.surplus != nil {
			c.write(c.surplus)
			c.surplus = nil
		}
		keep = h.handle(c, req, body) && !req.Close
	}
}

// handle answers one request and tells whether the connection stays.
func (h *Host) handle(c *conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	target := req.Header.Get("X-Target-Instance")
	expect := req.Header.Get("Expect-Version")
	h.mu.Lock()
	version := strconv.Itoa(h.version)
	h.mu.Unlock()
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/api/report" && h.opts.Model != "":
		return h.answer(c, http.StatusOK, "Content-Type: application/json\r\n", h.report())
	case req.Method == http.MethodGet && req.URL.Path == h.opts.HealthPath:
		return h.health(c, req)
	case id == "":
		return h.reject(c, id, http.StatusBadRequest)
	case target != "" && target != h.opts.ID, h.opts.Model != "" && expect != "" && expect != version:
		return h.reject(c, id, http.StatusMisdirectedRequest)
	}
	return h.run(c, req, body, id)
}

func (h *Host) health(c *conn, req *http.Request) bool {
	ctx, stop := h.watch(c, req)
	defer stop()
	end, ok := h.admit(ctx, req)
	if !ok {
		return h.reject(c, "", http.StatusServiceUnavailable)
	}
	h.mu.Lock()
	status := http.StatusOK
	if h.draining {
		status = http.StatusServiceUnavailable
	}
	h.mu.Unlock()
	end()
	return h.answer(c, status, "X-Instance-Id: "+h.opts.ID+"\r\n", nil)
}

// reject answers without running a request.
func (h *Host) reject(c *conn, id string, status int) bool {
	h.mu.Lock()
	h.refused++
	h.mu.Unlock()
	return h.answer(c, status, attempt(id)+"X-Not-Executed: 1\r\n", nil)
}

func attempt(id string) string {
	if id == "" {
		return ""
	}
	return "X-Attempt-Id: " + id + "\r\n"
}

// head of an answer, with the blank line behind it; whether the connection stays open is told in it.
func (h *Host) head(status int, header string, length int, leave bool) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), header)
	if h.opts.TellsLoad {
		fmt.Fprintf(&b, "X-Host-Load: %d,%d,%d\r\n", h.running, len(h.waiting), h.opts.Capacity)
	}
	if h.opts.Model != "" {
		fmt.Fprintf(&b, "Versions: %d\r\n", h.version)
	}
	leave = leave || h.draining
	if leave {
		b.WriteString("Connection: close\r\n")
	} else if s := int(h.opts.Idle / time.Second); s > 0 {
		fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\n", s)
	}
	if length < 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	}
	return b.Bytes(), !leave
}

func (h *Host) answer(c *conn, status int, header string, body []byte) bool {
	b, keep := h.head(status, header, len(body), false)
	c.write(append(b, body...))
	return keep
}

func (h *Host) report() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"pipeline_stage": "both", "model_list": ModelList(h.opts.Model, h.version), "utilization": false, "call_seq": 0,
		"queued": len(h.waiting), "active": h.running, "cache_used": h.cache.held, "cache_capacity": h.opts.CacheTokens, "open_handles": 0,
	})
	return b
}

// ModelList is what a host holds, as hosts and the platform tell it.
func ModelList(model string, version int) []any {
	if model == "" {
		return []any{}
	}
	return []any{map[string]any{"name": model, "config_version": version, "adapter_list": []any{}}}
}

// take gives the fault for one more request, and what is closed once faults change.
func (h *Host) take() (Fault, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.fault
	if f.Times > 0 {
		if h.fault.Times--; h.fault.Times == 0 {
			h.fault = Fault{}
		}
	}
	return f, h.changed
}

// admit waits for a slot, and gives what gives it back; false if the host is full, the caller has gone or its time is up.
func (h *Host) admit(ctx context.Context, req *http.Request) (end func(), ok bool) {
	w := &waiter{priority: 5, admitted: make(chan struct{})}
	if p, err := strconv.Atoi(req.Header.Get("Priority")); err == nil {
		w.priority = p
	}
	h.mu.Lock()
	if h.running < h.opts.Capacity {
		h.running++
		close(w.admitted)
	} else if len(h.waiting) < h.opts.Queue {
		i, _ := slices.BinarySearchFunc(h.waiting, w, func(a, b *waiter) int { return cmp.Or(cmp.Compare(a.priority, b.priority), -1) })
		h.waiting = slices.Insert(h.waiting, i, w)
	} else {
		h.mu.Unlock()
		return nil, false
	}
	h.mu.Unlock()
	select {
	case <-w.admitted:
		return h.release, true
	case <-ctx.Done():
	}
	h.mu.Lock()
	i := slices.Index(h.waiting, w)
	if i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	h.mu.Unlock()
	if i < 0 { // admitted just now
		h.release()
	}
	return nil, false
}

func (h *Host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.waiting) > 0 {
		close(h.waiting[0].admitted)
		h.waiting = slices.Delete(h.waiting, 0, 1)
		return
	}
	h.running--
}

// watch gives a context that ends with the request's time, the connection or the host. Nothing else may read from the
// connection until stop.
func (h *Host) watch(c *conn, req *http.Request) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	end := func() {}
	if ms, err := strconv.Atoi(req.Header.Get("X-Time-Left-Ms")); err == nil {
		ctx, end = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.in.Peek(1); err != nil && !isTimeout(err) {
			cancel(errGone)
		}
	}()
	return ctx, func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
		end()
		cancel(nil)
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// after waits; false if the context ends before.
func after(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// size of the memory that a request takes while it runs.
func size(req *http.Request) int {
	in, out := tokens(req.Header.Get("X-Token-Usage"))
	return in + out
}
