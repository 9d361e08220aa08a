package relay

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
	"time"

	"larchrouter/choice"
)

var (
	errTimeout  = errors.New("time-out")
	errCalled   = errors.New("called off")
	errStopping = errors.New("relay stops")
	errGated    = errors.New("host drains or is gone")
)

// call is one call out, with one message or several.
type call struct {
	host    *host
	members []*message
	sends   []choice.Send
	body    []byte
	key     string
	size    int           // of its members' frames
	timeout time.Duration // the longest of its members'
	cancel  context.CancelCauseFunc
}

// end is what a call tells of one message.
type end struct {
	outcome choice.Outcome
	done    bool // the host holds the message to be over
}

// start builds the call here in the loop, so that its goroutine shares nothing with it.
func (r *Relay) start(c *call) {
	now := r.now()
	for i, m := range c.members {
		m.call = c
		c.timeout = max(c.timeout, c.sends[i].Timeout)
	}
	if len(c.members) == 1 {
		c.body, c.key = c.members[0].Body, c.members[0].Key
	} else {
		for _, m := range c.members {
			c.body = append(c.body, frameOf(m)...)
		}
		// The members share one connection until the longest of their time-outs. One whose own time
		// is up before that gets its end then; before it, a restart would be a second copy.
		for _, m := range c.members {
			if left := m.due - now; left < c.timeout {
				time.AfterFunc(left, func() {
					r.post(func() { r.ended(c, m, end{outcome: choice.Timeout}, left, 0) })
				})
			}
		}
	}
	ctx, cancel := context.WithCancelCause(r.calls)
	c.cancel = cancel
	r.out++
	if r.alone != nil {
		r.alone.count.totals.calls++
	}
	ids := make([]string, len(c.members))
	for i, m := range c.members {
		ids[i] = m.ID
	}
	go func() {
		defer cancel(nil)
		ends, took, wait := r.exchange(ctx, c, ids)
		if errors.Is(context.Cause(ctx), errStopping) {
			r.post(func() { r.out-- }) // no outcome: the journal has it as one that may have run
			return
		}
		r.post(func() {
			r.out--
			for i, m := range c.members {
				r.ended(c, m, ends[i], took, wait)
			}
		})
	}()
}

// frameOf is a message as it stands in the body of a call with several.
func frameOf(m *message) []byte {
	key := m.Key
	if key == "" {
		key = "-"
	}
	return fmt.Appendf(nil, "%s %s %d\r\n%s\r\n", m.ID, key, len(m.Body), m.Body)
}

// exchange makes one call and tells each member's end. Took is taken here, so
// that no delay of the loop is learnt as latency.
func (r *Relay) exchange(ctx context.Context, c *call, ids []string) (ends []end, took, wait time.Duration) {
	ctx, stop := context.WithTimeoutCause(ctx, c.timeout, errTimeout)
	defer stop()
	all := func(e end) []end { return slices.Repeat([]end{e}, len(ids)) }
	begin := time.Now()
	conn, err := r.send(ctx, c, ids)
	if err != nil {
		o := choice.NoConnection
		if err == errGated || err == errNoDescriptor || context.Cause(ctx) == errCalled {
			o = choice.NotSent // nothing that the host did
		}
		return all(end{outcome: o}), time.Since(begin), 0
	}
	a := conn.reply()
	took = time.Since(begin)
	if a.begun { // before another call can have the connection
		conn.note(false)
	}
	if a.clean {
		r.conns.put(conn)
	} else {
		conn.Close()
	}
	switch {
	case a.begun:
		if a.status != 0 {
			took = a.at.Sub(begin)
		}
		if ends = all(single(a, len(ids) > 1)); len(ids) > 1 && a.status == http.StatusOK {
			ends = batchEnds(a, ids)
		}
		return ends, took, retryAfter(a.header)
	case context.Cause(ctx) == errCalled:
		return all(end{outcome: choice.Cancelled}), took, 0
	case context.Cause(ctx) == errTimeout:
		return all(end{outcome: choice.Timeout}), took, 0
	}
	conn.note(true)
	if conn.kept { // it may have been dropped on the way, which is no sign of its host's health
		return all(end{outcome: choice.Spoilt}), took, 0
	}
	return all(end{outcome: choice.Reset}), took, 0
}

// send writes one request. On an error its last byte was not written, so that it has not run.
func (r *Relay) send(ctx context.Context, c *call, ids []string) (*hostConn, error) {
	var b bytes.Buffer
	if len(ids) > 1 {
		fmt.Fprintf(&b, "POST /receive-many HTTP/1.1\r\nHost: %s\r\n", c.host.addr)
	} else {
		fmt.Fprintf(&b, "POST /receive HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", c.host.addr, ids[0])
		if c.key != "" {
			fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.key)
		}
	}
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", max(1, c.timeout.Milliseconds()), len(c.body))
	b.Write(c.body)
	for {
		conn, err := r.conns.get(ctx, c.host)
		if err != nil {
			return nil, err
		}
		// It may have taken long to come up: nothing new goes to a host that drains by now.
		if c.host.closed.Load() {
			conn.Close()
			return nil, errGated
		}
		if _, err = conn.Write(b.Bytes()); err == nil {
			return conn, nil
		}
		conn.Close()
		// A kept connection that had ended before is no call yet: once more on another.
		if !conn.kept || ctx.Err() != nil {
			return nil, err
		}
	}
}

// single reads an answer that holds for the whole call. A spoilt one proves nothing but that
// of 200 to a single message: the call may have run.
func single(a reply, many bool) end {
	if a.status == http.StatusOK {
		return end{outcome: choice.Served}
	}
	if a.status == 0 || !a.whole || a.noise {
		return end{outcome: choice.Spoilt}
	}
	switch a.status {
	case http.StatusTooManyRequests:
		return end{outcome: choice.Refused}
	case http.StatusServiceUnavailable:
		if a.header.Get("X-Over-Slots") == "1" {
			return end{outcome: choice.NotSent}
		}
		return end{outcome: choice.Refused}
	case http.StatusGatewayTimeout:
		return end{outcome: choice.NotSent}
	case http.StatusGone:
		return end{outcome: choice.NotSent, done: true}
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		if many {
			return end{outcome: choice.NotSent}
		}
	}
	return end{outcome: choice.Error}
}

// batchEnds reads the answer of a call with several messages. It proves something only if it
// tells of each of them once, and of nothing else; else all of them may have run.
func batchEnds(a reply, ids []string) []end {
	nothing := slices.Repeat([]end{{outcome: choice.Spoilt}}, len(ids))
	if !a.whole {
		return nothing
	}
	ends, told := make([]end, len(ids)), make([]bool, len(ids))
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
			ends[i] = end{outcome: choice.Served}
		case "error":
			ends[i] = end{outcome: choice.Error}
		case "later":
			ends[i] = end{outcome: choice.Refused}
		case "gone":
			ends[i] = end{outcome: choice.NotSent, done: true}
		case "exhausted":
			ends[i] = end{outcome: choice.NotSent}
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
