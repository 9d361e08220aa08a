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
	"strings"
	"sync"
	"testing"
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
	hostEndedAt  time.Duration // when a host was last at work on it
	status       int           // 0: the connection ended without a response
	complete     bool          // the response is complete
	body         string
	endedAt      time.Duration
	notConnected bool // the front took no connections any more
}

// newDrainRun returns a run whose hosts work on a request as long as its X-Work-Ms says, with the SIGTERM after this time.
func newDrainRun(t *testing.T, hosts int, termAfter time.Duration) *drainRun {
	t.Helper()
	v := newVirtual(t, nil)
	d := &drainRun{virtual: v, listener: newPipeListener(), term: time.Now().Add(termAfter), attempts: map[string]*drainAttempt{}}
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
	defer d.observe(id, func(a *drainAttempt) { a.hostWorking, a.hostEndedAt = false, time.Since(d.term) })
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
	added := d.add(a)
	c := d.listener.dial()
	if c == nil {
		d.observe(added.id, func(a *drainAttempt) { a.notConnected = true })
		return
	}
	defer c.Close()
	d.exchange(c, bufio.NewReader(c), added)
}

// keep sends requests one after the other on a connection, until the front closes it.
func (d *drainRun) keep(requests []drainAttempt) {
	c := d.listener.dial()
	if c == nil {
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i := range requests {
		if !d.exchange(c, in, d.add(requests[i])) {
			return
		}
	}
}

// add records a request that is sent now.
func (d *drainRun) add(a drainAttempt) *drainAttempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.id = fmt.Sprint("a", len(d.attempts))
	a.sentAt = time.Since(d.term)
	d.attempts[a.id] = &a
	return &a
}

// exchange sends a request on a connection and records what becomes of it. It reports whether the connection goes on.
func (d *drainRun) exchange(c net.Conn, in *bufio.Reader, a *drainAttempt) (goesOn bool) {
	header := fmt.Sprintf("X-Time-Left-Ms: %d\r\nX-Work-Ms: %d\r\n", a.timeLeft.Milliseconds(), a.work.Milliseconds())
	_, err := io.WriteString(c, requestText("POST", a.path, a.id, header, "x"))
	d.observe(a.id, func(a *drainAttempt) { a.read = err == nil }) // a pipe has no buffer
	resp, err := http.ReadResponse(in, nil)
	status, complete, body := 0, false, ""
	if err == nil {
		b, err := io.ReadAll(resp.Body)
		status, complete, body = resp.StatusCode, err == nil, string(b)
		goesOn = complete && !resp.Close
	}
	d.observe(a.id, func(a *drainAttempt) {
		a.status, a.complete, a.body, a.endedAt = status, complete, body, time.Since(d.term)
		if a.hostWorking {
			a.hostEndedAt = a.endedAt
		}
	})
	return goesOn
}

// terminate stops the front as its program does after SIGTERM, by a plan, while clients do what during does. It waits for them.
func (d *drainRun) terminate(plan func(now time.Time) drainPlan, during func()) {
	time.Sleep(time.Until(d.term))
	d.clients.Go(during)
	d.drainBy(context.Background(), plan(d.term))
	d.Server.Close()
	d.serving.Wait()
	if took := time.Since(d.term); took > ruleGrace {
		d.t.Errorf("the front ends %v after SIGTERM, want at most %v", took, ruleGrace)
	}
	d.clients.Wait()
}

// standardPlan is the plan of a front.
func standardPlan(now time.Time) drainPlan { return newDrainPlan(now, ruleGrace) }

// errLost marks a request that was lost by the platform's rule.
var errLost = errors.New("lost")

// lost applies the platform's rule LOST to a request around a SIGTERM.
func (a *drainAttempt) lost() error {
	switch {
	case a.notConnected, !a.read, a.complete:
		return nil
	case a.endedAt >= a.sentAt+a.timeLeft-responseMargin:
		return nil // the deadline was reached
	case a.sentAt <= ruleExcusedFor && a.hostEndedAt >= ruleGrace-ruleGrace/6:
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

// check returns what the front did wrong.
func (d *drainRun) check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []error
	for _, a := range d.attempts {
		all = append(all, a.broken())
		if a.sentAt < fullIntakeTime-dialing && strings.Contains(a.body, "shutting down") && a.status == 503 && a.endedAt < 5*time.Second {
			all = append(all, fmt.Errorf("%s %s, sent %v after SIGTERM, is rejected", a.id, a.path, a.sentAt))
		}
	}
	return errors.Join(all...)
}
