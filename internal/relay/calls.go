package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"larchrouter/choice"
)

// maxHead is what a peer's answer may have before its body.
const maxHead = 32 << 10

var (
	errTimeout  = errors.New("time-out")
	errCalled   = errors.New("called off")
	errStopping = errors.New("relay stops")
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

// hostConn remembers whether a write failed: then the last byte never went out.
type hostConn struct {
	net.Conn
	failed atomic.Bool
}

func (c *hostConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// onceBody is a request body that net/http cannot rewind. It guards against
// the library's own resends: a request that bears an Idempotency-Key is sent
// again after a broken connection if its body is empty or has GetBody.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// newTransport returns the client side towards hosts.
func newTransport(dial, idle time.Duration, workers, conns int) *http.Transport {
	d := &net.Dialer{Timeout: dial}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &hostConn{Conn: c}, nil
		},
		MaxIdleConns: conns,
		// A host may get all of the slots at once; the library's 2 would close the rest after each call.
		MaxIdleConnsPerHost: workers,
		// Hosts end idle connections; a request that crosses that is lost as a reset.
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}
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
	all := func(o choice.Outcome) []end {
		ends := make([]end, len(ids))
		for i := range ends {
			ends[i].outcome = o
		}
		return ends
	}
	begin := time.Now()
	resp, never, reused, gated, err := r.send(ctx, c, ids)
	// A kept connection that had ended before anything was written is no call yet: once more on another.
	for tries := 0; err != nil && never && reused && ctx.Err() == nil && !gated && tries < 3; tries++ {
		resp, never, reused, gated, err = r.send(ctx, c, ids)
	}
	took = time.Since(begin)
	if err == nil {
		defer resp.Body.Close()
		body, rerr := io.ReadAll(io.LimitReader(resp.Body, maxBody)) // drained, so that the connection is kept
		wait = retryAfter(resp.Header)
		if len(ids) > 1 && resp.StatusCode == http.StatusOK {
			took = time.Since(begin)
			if rerr == nil {
				return batchEnds(body, ids), took, wait
			}
			never, err = false, rerr
		} else {
			ends = all(choice.Error)
			for i := range ends {
				ends[i] = single(resp, len(ids) > 1)
			}
			return ends, took, wait
		}
	}
	switch cause := context.Cause(ctx); {
	case gated:
		return all(choice.NotSent), took, 0
	case never:
		return all(choice.NoConnection), took, 0
	case cause == errCalled:
		return all(choice.Cancelled), took, 0
	case cause == errTimeout:
		return all(choice.Timeout), took, 0
	}
	return all(choice.Reset), took, 0
}

// send writes one request. On an error, never tells that its last byte
// certainly did not go out; unsure counts as gone.
func (r *Relay) send(ctx context.Context, c *call, ids []string) (
	resp *http.Response, never, reused, gated bool, err error) {
	var conn *hostConn
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			conn, _ = i.Conn.(*hostConn)
			reused = i.Reused
			// It may have taken long to come up: nothing new goes to a host that drains by now.
			if gated = c.host.closed.Load(); gated {
				i.Conn.Close()
			}
		},
		// It comes before the last flush, so it proves nothing; its absence does.
		WroteRequest: func(i httptrace.WroteRequestInfo) { wrote.Store(i.Err == nil) },
	})
	path := "/receive"
	if len(ids) > 1 {
		path = "/receive-many"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.addr+path, nil)
	if err != nil {
		return nil, true, false, false, err
	}
	req.Body, req.ContentLength = onceBody{bytes.NewReader(c.body)}, int64(len(c.body))
	if len(ids) == 1 {
		req.Header.Set("X-Request-Id", ids[0])
		if c.key != "" {
			req.Header.Set("Idempotency-Key", c.key)
		}
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, c.timeout.Milliseconds()), 10))
	resp, err = r.hostSide.RoundTrip(req)
	never = err != nil && (conn == nil || !wrote.Load() || conn.failed.Load())
	return resp, never, reused, gated, err
}

// single reads an answer that holds for the whole call.
func single(resp *http.Response, many bool) end {
	switch resp.StatusCode {
	case http.StatusOK:
		return end{outcome: choice.Served}
	case http.StatusTooManyRequests:
		return end{outcome: choice.Refused}
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Over-Slots") == "1" {
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

// batchEnds reads the answer of a call with several messages. One that is not told of may have run.
func batchEnds(body []byte, ids []string) []end {
	told := map[string]end{}
	for line := range strings.Lines(string(body)) {
		id, what, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch strings.TrimSpace(what) {
		case "ok":
			told[id] = end{outcome: choice.Served}
		case "later":
			told[id] = end{outcome: choice.Refused}
		case "gone":
			told[id] = end{outcome: choice.NotSent, done: true}
		case "exhausted":
			told[id] = end{outcome: choice.NotSent}
		default:
			told[id] = end{outcome: choice.Error}
		}
	}
	ends := make([]end, len(ids))
	for i, id := range ids {
		e, ok := told[id]
		if !ok {
			e = end{outcome: choice.Error}
		}
		ends[i] = e
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
