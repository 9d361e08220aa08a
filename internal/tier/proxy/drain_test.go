package proxy

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The bounds of the platform's rule about requests around a SIGTERM (LOST).
const (
	ruleGrace      = 8 * time.Second        // between SIGTERM and SIGKILL
	ruleExcusedFor = 3 * time.Second        // after SIGTERM, in which requests may be sent that outlast the grace period
	ruleLossSlack  = 200 * time.Millisecond // after the last byte of a request, in which its connection may be closed
)

// pipeListener is a net.Listener whose connections are pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns a new connection, or nil once the listener is closed.
func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near
	case <-l.closed:
		return nil
	}
}

// drainRun is a front that gets SIGTERM while clients send requests to it, in virtual time.
type drainRun struct {
	*virtual
	listener *pipeListener
	term     time.Time // of the SIGTERM
	serving  sync.WaitGroup
	clients  sync.WaitGroup

	mu       sync.Mutex
	attempts map[string]*drainAttempt
}

// drainAttempt is a request as its client and the host observed it. Times count from the SIGTERM.
type drainAttempt struct {
	id, path     string
	sentAt       time.Duration
	timeLeft     time.Duration // by X-Time-Left-Ms
	work         time.Duration // of the host
	read         bool          // the front has read the whole request
	hostBegan    bool          // a host began to work on it
	hostWorking  bool          // a host is at work on it
	hostWasAt    bool          // a host was at work on it when the client's connection ended
	status       int           // 0: the connection ended without a response
	complete     bool          // the response is complete
	retryAfter   string        // header of the response
	endedAt      time.Duration
	notConnected bool // the front took no connections any more
}

// newDrainRun returns a run whose hosts work on a request as long as its X-Work-Ms says.
func newDrainRun(t *testing.T, hosts int) *drainRun {
	t.Helper()
	v := newVirtual(t, nil)
	d := &drainRun{virtual: v, listener: newPipeListener(), attempts: map[string]*drainAttempt{}}
	v.host = d.work
	v.list(hosts)
	d.serving.Go(func() { v.Serve(d.listener, nil) })
	return d
}

// work is a host: it answers after the time of X-Work-Ms, with a stream in four pieces if the path asks for one.
func (d *drainRun) work(nc net.Conn, in *bufio.Reader, r *http.Request) bool {
	ms, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
	id := r.Header.Get("X-Attempt-Id")
	d.observe(id, func(a *drainAttempt) { a.hostBegan, a.hostWorking = true, true })
	defer d.observe(id, func(a *drainAttempt) { a.hostWorking = false })
	pieces := []string{"", reply(id, 200, "", "yes")}
	if isStream(r.URL.Path) {
		pieces = []string{streamOf(id) + chunked, chunkOf("data: a\n\n"), chunkOf("data: b\n\n"), "0\r\n\r\n"}
	}
	for _, piece := range pieces {
		_ = nc.SetReadDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond / time.Duration(len(pieces))))
		if _, err := in.Peek(1); !isTimeout(err) {
			return false // the front has closed the connection
		}
		if _, err := io.WriteString(nc, piece); err != nil {
			return false
		}
	}
	_ = nc.SetReadDeadline(time.Time{})
	return true
}

func isStream(path string) bool { return path != "/order/x" && path != "/tool/x" }

func chunkOf(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func (d *drainRun) observe(id string, change func(*drainAttempt)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.attempts[id]; a != nil {
		change(a)
	}
}

// send sends a request on a connection of its own and waits for the end of its response.
func (d *drainRun) send(a drainAttempt) {
	d.mu.Lock()
	a.id = fmt.Sprint("a", len(d.attempts))
	a.sentAt = time.Since(d.term)
	d.attempts[a.id] = &a
	d.mu.Unlock()
	c := d.listener.dial()
	if c == nil {
		d.observe(a.id, func(a *drainAttempt) { a.notConnected = true })
		return
	}
	defer c.Close()
	d.exchange(c, bufio.NewReader(c), &a)
}

// exchange sends a request on a connection and records what becomes of it. It reports whether the connection goes on.
func (d *drainRun) exchange(c net.Conn, in *bufio.Reader, a *drainAttempt) (goesOn bool) {
	header := fmt.Sprintf("X-Time-Left-Ms: %d\r\nX-Work-Ms: %d\r\n", a.timeLeft.Milliseconds(), a.work.Milliseconds())
	_, err := io.WriteString(c, requestText("POST", a.path, a.id, header, "x"))
	d.observe(a.id, func(a *drainAttempt) { a.read = err == nil }) // a pipe has no buffer
	resp, err := http.ReadResponse(in, nil)
	status, complete, retryAfter := 0, false, ""
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		status, complete, retryAfter = resp.StatusCode, err == nil, resp.Header.Get("Retry-After")
		goesOn = complete && !resp.Close
	}
	d.observe(a.id, func(a *drainAttempt) {
		a.status, a.complete, a.retryAfter, a.endedAt = status, complete, retryAfter, time.Since(d.term)
		a.hostWasAt = a.hostWorking
	})
	return goesOn
}

// terminate stops the front as its program does after SIGTERM, while clients do what during does, and waits for them.
func (d *drainRun) terminate(during func()) {
	d.term = time.Now()
	d.clients.Go(during)
	ctx, stop := context.WithTimeout(context.Background(), ruleGrace-500*time.Millisecond)
	defer stop()
	d.Drain(ctx)
	d.Server.Close()
	d.serving.Wait()
	if took := time.Since(d.term); took > ruleGrace {
		d.t.Errorf("the front ends %v after SIGTERM, want at most %v", took, ruleGrace)
	}
	d.clients.Wait()
}

// errLost marks a request that was lost by the platform's rule.
var errLost = errors.New("lost")

// lost applies the platform's rule LOST to a request around a SIGTERM.
func (a *drainAttempt) lost() error {
	switch {
	case a.notConnected, !a.read, a.complete:
		return nil
	case a.endedAt >= a.sentAt+a.timeLeft-responseMargin:
		return nil // the deadline was reached
	case a.sentAt <= ruleExcusedFor && a.hostWasAt && a.endedAt >= ruleGrace-ruleGrace/6:
		return nil // too long for the grace period
	case a.hostBegan, a.endedAt-a.sentAt > ruleLossSlack:
		return fmt.Errorf("%w: %s %s, sent %v after SIGTERM with %v left and %v of work, read, at a host: %v, ends at %v with status %d",
			errLost, a.id, a.path, a.sentAt, a.timeLeft, a.work, a.hostBegan, a.endedAt, a.status)
	}
	return nil
}

// broken returns what a front must not do with a request around a SIGTERM: lose it, or promise that it has not run if it has.
func (a *drainAttempt) broken() error {
	var refused error
	if a.hostBegan && statusPromisesNotRun(a.status) {
		refused = fmt.Errorf("refused with %d although it has run: %s %s", a.status, a.id, a.path)
	}
	return cmp.Or(a.lost(), refused)
}

func (d *drainRun) check() {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.attempts {
		if err := a.broken(); err != nil {
			d.t.Error(err)
		}
	}
}

// While fewer than half of a zone's fronts are ready, the platform sends new connections to all of them, so that a draining
// front gets requests until it has gone. None of those that it reads may be cut at the end of its drain.
func TestRequestTakenLateInDrainIsAnswered(t *testing.T) {
	for name, path := range map[string]string{
		"not idempotent": "/order/x", "idempotent": "/tool/x", "stream": "/stream/x", "retained turn": "/turn/x",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDrainRun(t, 4)
				d.terminate(func() {
					for time.Since(d.term) < ruleGrace {
						d.clients.Go(func() { d.send(drainAttempt{path: path, timeLeft: 6 * time.Second, work: 400 * time.Millisecond}) })
						time.Sleep(100 * time.Millisecond)
					}
				})
				d.check()
			})
		})
	}
}
