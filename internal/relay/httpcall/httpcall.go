// Package httpcall is the transport that sends attempts to hosts by HTTP/1.1: an attempt goes in, and what
// became of each of its messages comes out, with what proves that it never ran told apart from what proves
// nothing. It decides nothing: which host, how long and whether again are told to it.
package httpcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/choice"
)

var (
	errTimeout     = errors.New("time-out")
	errHostClosed  = errors.New("host drains or is gone")
	errHostWaiting = errors.New("host told to wait meanwhile")
	errNoMessages  = errors.New("its messages have left the call, or would come too late")
)

// ErrCalledOff is the cause of a context that ends because the attempt is called off.
var ErrCalledOff = errors.New("called off")

// Host is where calls go. Its connections are its own: another at the same address gets none of them.
type Host struct {
	Addr     string // host:port
	Waits    *Waits // shared with the hosts that wait together; nil for one that waits for itself
	ownWaits Waits
	closed   atomic.Bool
}

// Closed tells whether nothing new may go there.
func (h *Host) Closed() bool { return h.closed.Load() }

// SetClosed has nothing new go there from now on, or has it go again. It binds calls that wait for their
// connection as well: it is looked at right before the first byte.
func (h *Host) SetClosed(closed bool) { h.closed.Store(closed) }

func (h *Host) waits() *Waits {
	if h.Waits != nil {
		return h.Waits
	}
	return &h.ownWaits
}

// decisionStaleAfter is the age of a decision from which answers that have come meanwhile are read before it is carried
// out. A call that comes within 100 ms of the answer that told to wait is let through.
const decisionStaleAfter = 20 * time.Millisecond

// Message is one that a call carries.
type Message struct {
	ID   string
	Key  string // empty for none
	Body []byte // with those of the others, as Frames, 64 KiB at most
	// Until is when it must be at the host at the latest, by what its key allows; zero for any time. The connection may
	// come up late: it is looked at right before the first byte, with the way there as long as the connection took.
	Until time.Time
}

// Call is one attempt, with one message or several.
type Call struct {
	Host     *Host
	Messages []Message
	Timeout  time.Duration
	Decided  time.Time

	withdrawn []atomic.Bool
	mu        sync.Mutex // held from the look at left until the request is written, or not
	started   bool
}

// NewCall is a call that is decided now.
func NewCall(h *Host, timeout time.Duration, messages ...Message) *Call {
	return &Call{Host: h, Messages: messages, Timeout: timeout, Decided: time.Now(), withdrawn: make([]atomic.Bool, len(messages))}
}

// Leave takes a message, by its place, out of a call that has not begun. It tells whether that was in time: its
// attempt then has no first byte, and the call goes without it. Otherwise the call goes on with it. It never waits,
// and is safe for concurrent use with Exchange.
func (c *Call) Leave(i int) (unsent bool) {
	c.withdrawn[i].Store(true)
	if !c.mu.TryLock() { // it is being written
		return false
	}
	defer c.mu.Unlock()
	return !c.started
}

// remaining are the places of the messages that have not left, and that come in time if the way takes so long.
func (c *Call) remaining(way time.Duration) (in []int) {
	there := time.Now().Add(way)
	for i, m := range c.Messages {
		if !c.withdrawn[i].Load() && (m.Until.IsZero() || there.Before(m.Until)) {
			in = append(in, i)
		}
	}
	return in
}

// End is what a call tells of one message.
type End struct {
	Outcome choice.Outcome
	Done    bool // the host holds the message to be over
	Dialled bool // the call went out on a new connection, or failed to get one
}

// Frame is a message as it stands in the body of a call with several.
func Frame(id, key string, body []byte) []byte {
	if key == "" {
		key = "-"
	}
	return fmt.Appendf(nil, "%s %s %d\r\n%s\r\n", id, key, len(body), body)
}

// Exchange makes one call and tells each message's end, the time that it took, and a wait that the host told.
// It ends with the context; a cause of ErrCalledOff makes the ends Cancelled, or NotSent if nothing had gone. A message
// that left in time is NotSent. Took is taken here, so that no delay of the loop is learnt as latency.
func (p *Pool) Exchange(ctx context.Context, c *Call) (ends []End, took, wait time.Duration) {
	ctx, stop := context.WithTimeoutCause(ctx, c.Timeout, errTimeout)
	defer stop()
	begin := time.Now()
	conn, in, err := p.send(ctx, c)
	if err != nil {
		o := choice.NoConnection
		if errors.Is(err, errHostClosed) || errors.Is(err, errHostWaiting) || errors.Is(err, errNoMessages) || errors.Is(err, errNoDescriptor) ||
			errors.Is(context.Cause(ctx), ErrCalledOff) {
			o = choice.NotSent // nothing that the host did
		}
		return slices.Repeat([]End{{Outcome: o, Dialled: o == choice.NoConnection}}, len(c.Messages)), time.Since(begin), c.Host.waits().Left()
	}
	dialled := !conn.reused // read now: once it is put back, another call may have it
	defer func() {
		told := ends
		ends = slices.Repeat([]End{{Outcome: choice.NotSent}}, len(c.Messages)) // of those that left
		for n, i := range in {
			ends[i] = told[n]
			ends[i].Dialled = dialled
		}
	}()
	all := func(e End) []End { return slices.Repeat([]End{e}, len(in)) }
	a := conn.readResponse()
	took = time.Since(begin)
	if a.started { // before another call can have the connection
		conn.recordUse(false)
	}
	if a.reusable {
		p.put(conn)
	} else {
		conn.Close()
	}
	switch {
	case a.started:
		if a.status != 0 {
			took = a.receivedAt.Sub(begin)
		}
		if ends = all(singleEnd(a, len(in) > 1)); len(in) > 1 && a.status == http.StatusOK {
			ids := make([]string, len(in))
			for n, i := range in {
				ids[n] = c.Messages[i].ID
			}
			ends = batchEnds(a, ids)
		}
		return ends, took, a.retryAfter
	case errors.Is(context.Cause(ctx), ErrCalledOff):
		return all(End{Outcome: choice.Cancelled}), took, 0
	case errors.Is(context.Cause(ctx), errTimeout):
		return all(End{Outcome: choice.Timeout}), took, 0
	}
	conn.recordUse(true)
	if conn.reused { // it may have been dropped on the way, which is no sign of its host's health
		return all(End{Outcome: choice.Spoilt}), took, 0
	}
	return all(End{Outcome: choice.Reset}), took, 0
}

// encode is what a call with some of its messages, by their places, sends.
func (c *Call) encode(in []int) []byte {
	var b bytes.Buffer
	body := c.Messages[in[0]].Body
	if len(in) > 1 {
		body = nil
		for _, i := range in {
			m := &c.Messages[i]
			body = append(body, Frame(m.ID, m.Key, m.Body)...)
		}
		fmt.Fprintf(&b, "POST /receive-many HTTP/1.1\r\nHost: %s\r\n", c.Host.Addr)
	} else {
		m := &c.Messages[in[0]]
		fmt.Fprintf(&b, "POST /receive HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", c.Host.Addr, m.ID)
		if m.Key != "" {
			fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", m.Key)
		}
	}
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", max(1, c.Timeout.Milliseconds()), len(body))
	b.Write(body)
	return b.Bytes()
}

// send writes one request, with the messages that have not left by then, and tells their places. On an error its last
// byte was not written, so that it has not run.
func (p *Pool) send(ctx context.Context, c *Call) (conn *hostConn, in []int, err error) {
	for {
		if conn, err = p.get(ctx, c.Host); err != nil {
			return nil, nil, err
		}
		// It may have taken long to come up: nothing new goes to a host that drains by now, or that told
		// to wait. Where this process got no time, that answer may lie unread.
		if time.Since(c.Decided) > decisionStaleAfter {
			time.Sleep(time.Millisecond)
		}
		if c.Host.closed.Load() {
			conn.Close()
			return nil, nil, errHostClosed
		}
		if c.Host.waits().Left() > 0 {
			p.put(conn)
			return nil, nil, errHostWaiting
		}
		if in, err = c.write(conn); err == nil {
			return conn, in, nil
		}
		if errors.Is(err, errNoMessages) {
			p.put(conn)
			return nil, nil, err
		}
		conn.Close()
		// A kept connection that had ended before is no call yet: once more on another.
		if !conn.reused || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// write begins the call. One whose write fails has not begun: its messages may leave.
func (c *Call) write(to *hostConn) (in []int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in = c.remaining(to.dialTime); len(in) == 0 {
		return nil, errNoMessages
	}
	c.started = true
	if _, err = to.Write(c.encode(in)); err != nil {
		c.started = false
	}
	return in, err
}

// singleEnd reads an answer that holds for the whole call. A spoilt one proves nothing but that
// of 200 to a singleEnd message: the call may have run.
func singleEnd(a response, many bool) End {
	if a.status == http.StatusOK {
		return End{Outcome: choice.Served}
	}
	if a.status == 0 || !a.complete || a.trailingGarbage {
		return End{Outcome: choice.Spoilt}
	}
	switch a.status {
	case http.StatusTooManyRequests:
		return End{Outcome: choice.Refused}
	case http.StatusServiceUnavailable:
		if a.header.Get("X-Over-Slots") == "1" {
			return End{Outcome: choice.NotSent}
		}
		return End{Outcome: choice.Refused}
	case http.StatusGatewayTimeout:
		return End{Outcome: choice.NotSent}
	case http.StatusGone:
		return End{Outcome: choice.NotSent, Done: true}
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		if many {
			return End{Outcome: choice.NotSent}
		}
	}
	return End{Outcome: choice.Error}
}

// batchEnds reads the answer of a call with several messages. It proves something only if it
// tells of each of them once, and of nothing else; else all of them may have run.
func batchEnds(a response, ids []string) []End {
	nothing := slices.Repeat([]End{{Outcome: choice.Spoilt}}, len(ids))
	if !a.complete {
		return nothing
	}
	ends, told := make([]End, len(ids)), make([]bool, len(ids))
	for line := range strings.Lines(string(a.body)) {
		id, what, _ := strings.Cut(strings.TrimSpace(line), " ")
		if id == "" {
			continue
		}
		i := slices.Index(ids, id)
		if i < 0 || told[i] {
			return nothing
		}
		told[i] = true
		switch strings.TrimSpace(what) {
		case "ok":
			ends[i] = End{Outcome: choice.Served}
		case "error":
			ends[i] = End{Outcome: choice.Error}
		case "later":
			ends[i] = End{Outcome: choice.Refused}
		case "gone":
			ends[i] = End{Outcome: choice.NotSent, Done: true}
		case "exhausted":
			ends[i] = End{Outcome: choice.NotSent}
		default:
			return nothing
		}
	}
	if slices.Contains(told, false) {
		return nothing
	}
	return ends
}

// retryAfter reads a wait in seconds, whole or decimal, rounded up to milliseconds.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(math.Ceil(min(s, 3600)*1000)) * time.Millisecond
}
