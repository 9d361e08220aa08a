package fencedcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/netdial"
)

// HTTP header fields of a call.
const (
	holderHeader = "X-Duty-Holder"
	tokenHeader  = "X-Fence-Token"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 20 * time.Second
	maxResponseBody = 1 << 16 // bytes
)

// Outcome is what the caller knows about a call that has ended.
type Outcome int

// The outcomes.
const (
	Accepted Outcome = iota + 1 // the platform has applied it, now or on an earlier attempt
	Refused                     // the platform has seen a higher fencing token
	Busy                        // not applied: rate limit exceeded, or the platform is overloaded
	Invalid                     // not applied, and a retry would not be applied either
	NotSent                     // no byte was sent: the fence did not permit it, or no connection was made
	Unknown                     // it may have been applied
)

var outcomeNames = [...]string{"none", "accepted", "refused", "busy", "invalid", "not sent", "unknown"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "outcome " + strconv.Itoa(int(o))
	}
	return outcomeNames[o]
}

// Fence reports whether a call with a token may be sent now.
type Fence func(token int64) bool

// errFenced is returned for a call or write that the fence did not permit.
var errFenced = errors.New("lease expired or lost: call not sent")

// Client makes calls to the platform, one at a time. It is safe for concurrent use.
type Client struct {
	addr, holder string
	fence        Fence
	httpClient   *http.Client

	mu        sync.Mutex   // held during a call
	token     atomic.Int64 // of the call
	bytesSent atomic.Bool  // the call has written to the connection
}

// NewClient returns a client of the platform at an address, HOST:PORT, that names itself as the holder. The caller must call Close.
func NewClient(addr, holder string, fence Fence) *Client {
	c := &Client{addr: addr, holder: holder, fence: fence}
	transport := &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, Proxy: nil}
	c.httpClient = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // calls go to the configured address only
	}}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// dial connects to the platform.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := netdial.DialContext(ctx, net.Dialer{Timeout: dialTimeout}, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closing the connection discards unsent data
	}
	return &fencedConn{Conn: conn, client: c}, nil
}

// fencedConn is a connection that checks the fence before each write.
type fencedConn struct {
	net.Conn
	client *Client
}

func (f *fencedConn) Write(b []byte) (int, error) {
	if !f.client.fence(f.client.token.Load()) {
		return 0, errFenced
	}
	f.client.bytesSent.Store(true)
	return f.Conn.Write(b)
}

// Post makes a call with a JSON body under a fencing token and returns its outcome. For every outcome but Accepted the error gives
// the reason.
func (c *Client) Post(ctx context.Context, path string, token int64, body []byte) (Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token.Store(token)
	c.bytesSent.Store(false)
	if !c.fence(token) {
		return NotSent, errFenced
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return Invalid, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(holderHeader, c.holder)
	request.Header.Set(tokenHeader, strconv.FormatInt(token, 10))
	response, err := c.httpClient.Do(request)
	switch {
	case err != nil && !c.bytesSent.Load():
		return NotSent, err
	case err != nil:
		return Unknown, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBody)) // lets the connection be reused
	return outcomeOf(response.StatusCode)
}

// outcomeOf returns the outcome for a response status.
func outcomeOf(status int) (Outcome, error) {
	switch {
	case status >= 200 && status < 300:
		return Accepted, nil
	case status == http.StatusConflict:
		return Refused, errors.New("the platform has seen a higher fencing token")
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Busy, errors.Newf("the platform responded %d: rate limited or overloaded", status)
	case status >= 500 || status < 400:
		return Unknown, errors.Newf("the platform responded %d", status)
	}
	return Invalid, errors.Newf("the platform responded %d: request not valid", status)
}
