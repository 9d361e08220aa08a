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
	maxHead    = 32 << 10               // of an answer
	maxBody    = 64 << 10               // of a call, and of an answer
	maxInterim = 8                      // 1xx answers ahead of one
	restIn     = 200 * time.Millisecond // for the rest of an answer that has begun
)

var errNoDescriptor = errors.New("no descriptor is free for a connection")

// Pool keeps the connections to hosts. net/http's Transport is not used: it pools them by
// address, so that a new host gets those of a gone one; it hands what lies behind an answer to
// the next call; and it does not tell whether the last byte of a request was written.
type Pool struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	rest time.Duration // one that stood idle for so long is closed
	most int           // open or coming up

	mu    sync.Mutex
	open  int
	idle  map[*Host][]*hostConn // the one used last at the end
	stale staleness
}

// staleness learns how long a connection may stand idle and still be used: something on the way
// may drop it long before its host would, and the next call on it is a reset that may have run.
type staleness struct {
	used, broke [10]float64 // by idle time: under 25 ms, 50 ms, 100 ms, ...
	trust       time.Duration
	until       time.Time
}

const (
	firstIdle  = 25 * time.Millisecond
	brokeLeast = 3   // resets, before they mean anything
	brokeShare = 0.1 // of the calls after such a time
	doubtFor   = 30 * time.Second
)

// note takes in how a call on a kept connection went.
func (s *staleness) note(idle time.Duration, broke bool, now time.Time) {
	i := 0
	for most := firstIdle; idle >= most && i < len(s.used)-1; most *= 2 {
		i++
	}
	if s.used[i]++; broke {
		s.broke[i]++
	}
	if s.used[i] > 200 { // old ones fade
		s.used[i], s.broke[i] = s.used[i]/2, s.broke[i]/2
	}
	if s.broke[i] >= brokeLeast && s.broke[i] >= brokeShare*s.used[i] {
		least := time.Duration(0)
		if i > 0 {
			least = firstIdle << (i - 1)
		}
		if s.until.Before(now) || least < s.trust {
			s.trust = least
		}
		s.until = now.Add(doubtFor)
		s.used[i], s.broke[i] = 0, 0
	}
}

// trusts tells whether a connection that stood idle for so long may be used.
func (s *staleness) trusts(idle time.Duration, now time.Time) bool {
	return idle < s.trust || !now.Before(s.until)
}

type hostConn struct {
	net.Conn
	set    *Pool
	host   *Host
	room   io.LimitedReader // bounds what in reads
	in     *bufio.Reader
	kept   bool          // from an earlier call
	way    time.Duration // that it took to come up: a round trip at least
	since  time.Time     // idle
	stood  time.Duration // idle before its call
	expiry *time.Timer   // while idle
	unbind func() bool   // from the context of its call
	once   sync.Once
}

// NewPool returns a pool of so many connections at most, open or coming up. One that is not up after dial has
// failed; one that stood idle for rest is closed.
func NewPool(dial, rest time.Duration, most int) *Pool {
	return &Pool{dial: (&net.Dialer{Timeout: dial}).DialContext, rest: rest, most: most, idle: map[*Host][]*hostConn{}}
}

// get returns a kept connection to a host, or a new one. It ends with the context.
func (s *Pool) get(ctx context.Context, h *Host) (*hostConn, error) {
	for c := s.pop(h); c != nil; c = s.pop(h) {
		if s.trusts(c) && c.quiet() {
			c.kept, c.stood = true, time.Since(c.since)
			c.bind(ctx)
			return c, nil
		}
		c.Close()
	}
	if !s.reserve() {
		return nil, errNoDescriptor
	}
	begin := time.Now()
	conn, err := s.dial(ctx, "tcp", h.Addr)
	if err != nil {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, own) {
				return nil, errNoDescriptor
			}
		}
		return nil, err
	}
	c := &hostConn{Conn: conn, set: s, host: h, way: time.Since(begin)}
	c.room.R = conn
	c.in = bufio.NewReader(&c.room)
	c.bind(ctx)
	return c, nil
}

func (s *Pool) trusts(c *hostConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.stale.trusts(now.Sub(c.since), now)
}

// note takes in whether a call on a kept connection broke without an answer.
func (c *hostConn) note(broke bool) {
	if c.kept {
		c.set.mu.Lock()
		c.set.stale.note(c.stood, broke, time.Now())
		c.set.mu.Unlock()
	}
}

// bind closes the connection when the context ends: so a call is given up.
func (c *hostConn) bind(ctx context.Context) { c.unbind = context.AfterFunc(ctx, c.close) }

func (s *Pool) pop(h *Host) *hostConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.idle[h]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	s.remove(c)
	return c
}

// remove takes an idle connection out. The lock is held.
func (s *Pool) remove(c *hostConn) {
	c.expiry.Stop()
	all := s.idle[c.host]
	for i := range all {
		if all[i] == c {
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	if s.idle[c.host] = all; len(all) == 0 {
		delete(s.idle, c.host)
	}
}

// reserve makes room for one more connection, in the place of the one idle for longest if need be.
func (s *Pool) reserve() bool {
	s.mu.Lock()
	var oldest *hostConn
	if s.open >= s.most {
		for _, all := range s.idle {
			if oldest == nil || all[0].since.Before(oldest.since) {
				oldest = all[0]
			}
		}
		if oldest == nil {
			s.mu.Unlock()
			return false
		}
		s.remove(oldest)
	}
	s.open++
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return true
}

// put keeps a connection whose answer was read whole, with nothing behind it.
func (s *Pool) put(c *hostConn) {
	if !c.unbind() || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	s.mu.Lock()
	keep := !c.host.closed.Load()
	if keep {
		c.since = time.Now()
		c.expiry = time.AfterFunc(s.rest, func() { s.expire(c) })
		s.idle[c.host] = append(s.idle[c.host], c)
	}
	s.mu.Unlock()
	if !keep {
		c.Close()
	}
}

func (s *Pool) expire(c *hostConn) {
	s.mu.Lock()
	idle := false
	for _, o := range s.idle[c.host] {
		idle = idle || o == c
	}
	if idle {
		s.remove(c)
	}
	s.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Shut closes the idle connections of a host that gets no further calls. Its closed is set before.
func (s *Pool) Shut(h *Host) {
	for c := s.pop(h); c != nil; c = s.pop(h) {
		c.Close()
	}
}

// CloseIdle closes all idle connections.
func (s *Pool) CloseIdle() {
	for {
		s.mu.Lock()
		var one *hostConn
		for _, all := range s.idle {
			one = all[0]
			s.remove(one)
			break
		}
		s.mu.Unlock()
		if one == nil {
			return
		}
		one.Close()
	}
}

// Open is how many connections are open or coming up.
func (s *Pool) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (c *hostConn) close() { c.Close() }

func (c *hostConn) Close() (err error) {
	c.once.Do(func() {
		err = c.Conn.Close()
		c.set.mu.Lock()
		c.set.open--
		c.set.mu.Unlock()
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

// reply is what came back of one call.
type reply struct {
	begun  bool // something came
	status int  // of the first line; 0 if it could not be read
	at     time.Time
	header http.Header
	wait   time.Duration // told; 0 if none was
	body   []byte
	whole  bool // header and body were read to their end
	noise  bool // what lies behind it is no further answer
	clean  bool // nothing lies behind it: the connection may be used again
}

// reply reads an answer. However it ends, what was read until then stands.
func (c *hostConn) reply() (a reply) {
	for range maxInterim {
		c.room.N = maxHead
		if _, err := c.in.Peek(1); err != nil {
			return a
		}
		a.begun, a.at = true, time.Now()
		c.SetReadDeadline(a.at.Add(restIn))
		a.status = peek.Status(peek.FirstLine(c.in))
		if a.status == 0 {
			return a
		}
		resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return a
		}
		if a.status/100 == 1 {
			a.status = 0
			c.SetReadDeadline(time.Time{})
			continue
		}
		c.room.N = maxBody + maxHead
		a.header = resp.Header
		if a.wait = retryAfter(a.header); a.wait > 0 {
			c.host.waits().Tell(a.wait)
		}
		a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		a.whole = err == nil && len(a.body) <= maxBody
		behind, _ := c.in.Peek(c.in.Buffered())
		a.noise = len(behind) > 0 && !bytes.HasPrefix(behind, []byte("HTTP/1."))
		a.clean = a.whole && !resp.Close && len(behind) == 0
		return a
	}
	return a
}
