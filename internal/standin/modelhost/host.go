package modelhost

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is one incarnation of a host. Its methods are safe for concurrent use.
type Host struct {
	opts     Options
	runLog   *RunLog
	listener net.Listener
	ctx      context.Context // ends with the host
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu           sync.Mutex
	conns        map[net.Conn]bool
	running      int       // requests that have a slot
	waiting      []*waiter // in the order in which they get a slot
	runCount     int
	version      int
	draining     bool
	fault        Fault
	faultChanged chan struct{} // closed when the fault changes
	cache        prefixCache
	rejected     int
}

// New starts a host. The caller closes it.
func New(o Options) (*Host, error) {
	o.Capacity, o.EventTokens = max(1, o.Capacity), max(1, o.EventTokens)
	o.HealthPath, o.Addr = cmp.Or(o.HealthPath, "/health"), cmp.Or(o.Addr, "127.0.0.1:0")
	listener, err := net.Listen("tcp4", o.Addr)
	if err != nil {
		return nil, err
	}
	o.Addr = listener.Addr().String()
	if o.RunLog == nil {
		o.RunLog = new(RunLog)
	}
	h := &Host{opts: o, runLog: o.RunLog, listener: listener, conns: map[net.Conn]bool{}, version: o.Version,
		faultChanged: make(chan struct{}), cache: prefixCache{capacity: o.CacheTokens}}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.wg.Go(h.accept)
	return h, nil
}

// Options returns the options that it was started with, with defaults filled in; Addr is the address that it listens on.
func (h *Host) Options() Options { return h.opts }

// Addr returns the address that it listens on.
func (h *Host) Addr() string { return h.opts.Addr }

// RunLog returns the log of its runs.
func (h *Host) RunLog() *RunLog { return h.runLog }

// Rejected returns the number of requests that it rejected without executing them.
func (h *Host) Rejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}

// Conns returns the number of open connections.
func (h *Host) Conns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Load returns the number of requests that run and that wait.
func (h *Host) Load() (running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running, len(h.waiting)
}

// SetFault sets the fault of the requests that get a slot from now on. Stalled requests continue.
func (h *Host) SetFault(f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
	close(h.faultChanged)
	h.faultChanged = make(chan struct{})
}

// nextFault returns the fault of one more request and a channel that is closed when the fault changes.
func (h *Host) nextFault() (Fault, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fault := h.fault
	if fault.Times > 0 {
		if h.fault.Times--; h.fault.Times == 0 {
			h.fault = Fault{}
		}
	}
	return fault, h.faultChanged
}

// SetVersion sets the version of the weights, also for streams in progress.
func (h *Host) SetVersion(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
}

// Drain makes it drain: it executes requests, but closes the connection after each answer, and its health checks fail.
func (h *Host) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Close ends it at once, as a crash would, and waits for its goroutines.
func (h *Host) Close() {
	h.stop()
	h.listener.Close()
	h.mu.Lock()
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.wg.Wait()
}

func (h *Host) accept() {
	for {
		netConn, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		if h.ctx.Err() != nil {
			netConn.Close()
		} else if h.opts.ConnLimit > 0 && len(h.conns) >= h.opts.ConnLimit {
			reset(netConn)
		} else {
			h.conns[netConn] = true
			h.wg.Go(func() { h.serve(netConn) })
		}
		h.mu.Unlock()
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// conn is a connection of a caller. Its requests are served one after the other.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	recorded  *bytes.Buffer // the answer that is being written, if it is to be sent again; else nil
	duplicate []byte        // an earlier answer to send before the next one
	err       error         // of the first write that failed
}

func (c *conn) write(b []byte) {
	if c.recorded != nil {
		c.recorded.Write(b)
	}
	if c.err == nil {
		_, c.err = c.Write(b)
	}
}

// serve serves the requests of a connection.
func (h *Host) serve(netConn net.Conn) {
	defer func() {
		netConn.Close()
		h.mu.Lock()
		delete(h.conns, netConn)
		h.mu.Unlock()
	}()
	c := &conn{Conn: netConn, reader: bufio.NewReader(netConn)}
	for keepAlive := true; keepAlive && c.err == nil; {
		idleDeadline := time.Time{}
		if h.opts.IdleTimeout > 0 {
			idleDeadline = time.Now().Add(h.opts.IdleTimeout)
		}
		_ = c.SetReadDeadline(idleDeadline)
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		req, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if c.duplicate != nil {
			c.write(c.duplicate)
			c.duplicate = nil
		}
		keepAlive = h.handle(c, req, body) && !req.Close
	}
}

// handle answers one request. It reports whether the connection stays open.
func (h *Host) handle(c *conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	target := req.Header.Get("X-Target-Instance")
	expectedVersion := req.Header.Get("Expect-Version")
	h.mu.Lock()
	version := strconv.Itoa(h.version)
	h.mu.Unlock()
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/api/report" && h.opts.Model != "":
		return h.respond(c, http.StatusOK, "Content-Type: application/json\r\n", h.report())
	case req.Method == http.MethodGet && req.URL.Path == h.opts.HealthPath:
		return h.health(c, req)
	case id == "":
		return h.reject(c, id, http.StatusBadRequest)
	case target != "" && target != h.opts.ID, h.opts.Model != "" && expectedVersion != "" && expectedVersion != version:
		return h.reject(c, id, http.StatusMisdirectedRequest)
	}
	return h.execute(c, req, body, id)
}

// health answers a health check, which needs a slot as other requests do.
func (h *Host) health(c *conn, req *http.Request) bool {
	ctx, stop := h.requestContext(c, req)
	defer stop()
	release, ok := h.admit(ctx, req)
	if !ok {
		return h.reject(c, "", http.StatusServiceUnavailable)
	}
	h.mu.Lock()
	status := http.StatusOK
	if h.draining {
		status = http.StatusServiceUnavailable
	}
	h.mu.Unlock()
	release()
	return h.respond(c, status, "X-Instance-Id: "+h.opts.ID+"\r\n", nil)
}
