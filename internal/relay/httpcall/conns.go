package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/peek"
)

const (
	maxHeaderBytes      = 32 << 10               // of an answer
	maxBodyBytes        = 64 << 10               // of a call, and of an answer
	maxInterimResponses = 8                      // 1xx answers ahead of one
	responseReadTimeout = 200 * time.Millisecond // for the rest of an answer that has begun
)

var errNoDescriptor = errors.New("no descriptor is free for a connection")

// Pool keeps the connections to hosts. net/http's Transport is not used: it pools them by
// address, so that a new host gets those of a gone one; it hands what lies behind an answer to
// the next call; and it does not tell whether the last byte of a request was written.
type Pool struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration // one that stood idle for so long is closed
	maxConns    int           // open or coming up

	mu        sync.Mutex
	open      int
	idle      map[*Host][]*hostConn // the one used last at the end
	idleTrust idleTrust
}

// idleTrust learns how long a connection may stand idle and still be used: something on the way
// may drop it long before its host would, and the next call on it is a reset that may have run.
type idleTrust struct {
	uses, resets  [10]float64 // by idle time: under 25 ms, 50 ms, 100 ms, ...
	trustedIdle   time.Duration
	distrustUntil time.Time
}

const (
	firstIdleBucket = 25 * time.Millisecond
	minResets       = 3   // resets, before they mean anything
	minResetRatio   = 0.1 // of the calls after such a time
	distrustPeriod  = 30 * time.Second
)

// record takes in how a call on a kept connection went.
func (s *idleTrust) record(idle time.Duration, broke bool, now time.Time) {
	i := 0
	for most := firstIdleBucket; idle >= most && i < len(s.uses)-1; most *= 2 {
		i++
	}
	if s.uses[i]++; broke {
		s.resets[i]++
	}
	if s.uses[i] > 200 { // old ones fade
		s.uses[i], s.resets[i] = s.uses[i]/2, s.resets[i]/2
	}
	if s.resets[i] >= minResets && s.resets[i] >= minResetRatio*s.uses[i] {
		least := time.Duration(0)
		if i > 0 {
			least = firstIdleBucket << (i - 1)
		}
		if s.distrustUntil.Before(now) || least < s.trustedIdle {
			s.trustedIdle = least
		}
		s.distrustUntil = now.Add(distrustPeriod)
		s.uses[i], s.resets[i] = 0, 0
	}
}

// trusts tells whether a connection that stood idle for so long may be used.
func (s *idleTrust) trusts(idle time.Duration, now time.Time) bool {
	return idle < s.trustedIdle || !now.Before(s.distrustUntil)
}

type hostConn struct {
	net.Conn
	pool           *Pool
	host           *Host
	limit          io.LimitedReader // bounds what in reads
	reader         *bufio.Reader
	reused         bool          // from an earlier call
	dialTime       time.Duration // that it took to come up: a round trip at least
	idleSince      time.Time     // idle
	idleBeforeCall time.Duration // idle before its call
	idleTimer      *time.Timer   // while idle
	unbindContext  func() bool   // from the context of its call
	closeOnce      sync.Once
}

// NewPool returns a pool of so many connections at most, open or coming up. One that is not up after dial has
// failed; one that stood idle for rest is closed.
func NewPool(dial, rest time.Duration, most int) *Pool {
	return &Pool{dial: (&net.Dialer{Timeout: dial}).DialContext, idleTimeout: rest, maxConns: most, idle: map[*Host][]*hostConn{}}
}

// get returns a kept connection to a host, or a new one. It ends with the context.
func (p *Pool) get(ctx context.Context, h *Host) (*hostConn, error) {
	for c := p.popIdle(h); c != nil; c = p.popIdle(h) {
		if p.trusts(c) && c.quiet() {
			c.reused, c.idleBeforeCall = true, time.Since(c.idleSince)
			c.bindContext(ctx)
			return c, nil
		}
		c.Close()
	}
	if !p.reserve() {
		return nil, errNoDescriptor
	}
	begin := time.Now()
	conn, err := p.dial(ctx, "tcp", h.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, own) {
				return nil, errNoDescriptor
			}
		}
		return nil, err
	}
	c := &hostConn{Conn: conn, pool: p, host: h, dialTime: time.Since(begin)}
	c.limit.R = conn
	c.reader = bufio.NewReader(&c.limit)
	c.bindContext(ctx)
	return c, nil
}

func (p *Pool) trusts(c *hostConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.idleTrust.trusts(now.Sub(c.idleSince), now)
}

// recordUse takes in whether a call on a kept connection broke without an answer.
func (c *hostConn) recordUse(broke bool) {
	if c.reused {
		c.pool.mu.Lock()
		c.pool.idleTrust.record(c.idleBeforeCall, broke, time.Now())
		c.pool.mu.Unlock()
	}
}

// bindContext closes the connection when the context ends: so a call is given up.
func (c *hostConn) bindContext(ctx context.Context) {
	c.unbindContext = context.AfterFunc(ctx, c.closeIgnoringError)
}

func (p *Pool) popIdle(h *Host) *hostConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[h]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.removeIdle(c)
	return c
}

// removeIdle takes an idle connection out. The lock is held.
func (p *Pool) removeIdle(c *hostConn) {
	c.idleTimer.Stop()
	all := p.idle[c.host]
	for i := range all {
		if all[i] == c {
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	if p.idle[c.host] = all; len(all) == 0 {
		delete(p.idle, c.host)
	}
}

// reserve makes room for one more connection, in the place of the one idle for longest if need be.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	var oldest *hostConn
	if p.open >= p.maxConns {
		for _, all := range p.idle {
			if oldest == nil || all[0].idleSince.Before(oldest.idleSince) {
				oldest = all[0]
			}
		}
		if oldest == nil {
			p.mu.Unlock()
			return false
		}
		p.removeIdle(oldest)
	}
	p.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return true
}

// put keeps a connection whose answer was read whole, with nothing behind it.
func (p *Pool) put(c *hostConn) {
	if !c.unbindContext() || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	keep := !c.host.closed.Load()
	if keep {
		c.idleSince = time.Now()
		c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.expire(c) })
		p.idle[c.host] = append(p.idle[c.host], c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

func (p *Pool) expire(c *hostConn) {
	p.mu.Lock()
	idle := false
	for _, o := range p.idle[c.host] {
		idle = idle || o == c
	}
	if idle {
		p.removeIdle(c)
	}
	p.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Shut closes the idle connections of a host that gets no further calls. Its closed is set before.
func (p *Pool) Shut(h *Host) {
	for c := p.popIdle(h); c != nil; c = p.popIdle(h) {
		c.Close()
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for {
		p.mu.Lock()
		var one *hostConn
		for _, all := range p.idle {
			one = all[0]
			p.removeIdle(one)
			break
		}
		p.mu.Unlock()
		if one == nil {
			return
		}
		one.Close()
	}
}

// Open is how many connections are open or coming up.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (c *hostConn) closeIgnoringError() { c.Close() }

func (c *hostConn) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.open--
		c.pool.mu.Unlock()
	})
	return err
}

// quiet tells whether nothing has come on an idle connection: neither its end, nor bytes that
// would pass for the next answer.
func (c *hostConn) quiet() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	return peek.Quiet(raw)
}

// response is what came back of one call.
type response struct {
	started         bool // something came
	status          int  // of the first line; 0 if it could not be read
	receivedAt      time.Time
	header          http.Header
	retryAfter      time.Duration // told; 0 if none was
	body            []byte
	complete        bool // header and body were read to their end
	trailingGarbage bool // what lies behind it is no further answer
	reusable        bool // nothing lies behind it: the connection may be used again
}

// readResponse reads an answer. However it ends, what was read until then stands.
func (c *hostConn) readResponse() (a response) {
	for range maxInterimResponses {
		c.limit.N = maxHeaderBytes
		if _, err := c.reader.Peek(1); err != nil {
			return a
		}
		a.started, a.receivedAt = true, time.Now()
		c.SetReadDeadline(a.receivedAt.Add(responseReadTimeout))
		a.status = peek.Status(peek.FirstLine(c.reader))
		if a.status == 0 {
			return a
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return a
		}
		if a.status/100 == 1 {
			a.status = 0
			c.SetReadDeadline(time.Time{})
			continue
		}
		c.limit.N = maxBodyBytes + maxHeaderBytes
		a.header = resp.Header
		if a.retryAfter = retryAfter(a.header); a.retryAfter > 0 {
			c.host.waits().Tell(a.retryAfter)
		}
		a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
		a.complete = err == nil && len(a.body) <= maxBodyBytes
		behind, _ := c.reader.Peek(c.reader.Buffered())
		a.trailingGarbage = len(behind) > 0 && !bytes.HasPrefix(behind, []byte("HTTP/1."))
		a.reusable = a.complete && !resp.Close && len(behind) == 0
		return a
	}
	return a
}
