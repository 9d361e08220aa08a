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
)

// Header fields of a call.
const (
	holderHeader = "X-Duty-Holder"
	tokenHeader  = "X-Fence-Token"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 20 * time.Second
	maxResponseBody = 1 << 16 // bytes
)

// Outcome is what is known of a call after it.
type Outcome int

// The outcomes.
const (
	Accepted Outcome = iota + 1 // the platform has applied it, or had applied it before
	Refused                     // the platform has seen a higher token
	Busy                        // not applied: over the rate, or the platform is overloaded
	Invalid                     // not applied, and no repetition will be
	NotSent                     // no byte of it left, as the fence did not permit it
	Unknown                     // it may have been applied
)

var outcomeNames = [...]string{"none", "accepted", "refused", "busy", "invalid", "not sent", "unknown"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "outcome " + strconv.Itoa(int(o))
	}
	return outcomeNames[o]
}

// Fence reports whether a call with a token may leave now.
type Fence func(token int64) bool

// errFenced reports that the fence did not permit a write.
var errFenced = errors.New("the lease is over: the call was not sent")

// Client calls the platform. It makes one call at a time and is safe for concurrent use.
type Client struct {
	addr, holder string
	fence        Fence
	httpClient   *http.Client

	mu        sync.Mutex   // held during a call
	token     atomic.Int64 // of the call
	bytesSent atomic.Bool  // some bytes of the call have left
}

// NewClient returns a client of the platform at an address, HOST:PORT, that calls as a holder. Close must be called at the end.
func NewClient(addr, holder string, fence Fence) *Client {
	c := &Client{addr: addr, holder: holder, fence: fence}
	transport := &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, Proxy: nil}
	c.httpClient = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a call goes to the platform's address and nowhere else
	}}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// dial connects to the platform.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // what a closed connection has not sent is dropped
	}
	return &fencedConn{Conn: conn, client: c}, nil
}

// fencedConn is a connection that asks the fence before each write.
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

// Post makes a call with a JSON body, under a token, and returns what is known of it. The error gives the reason of every outcome
// but Accepted.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBody)) // so that the connection can be used again
	return outcomeOf(response.StatusCode)
}

// outcomeOf returns the outcome that a status stands for.
func outcomeOf(status int) (Outcome, error) {
	switch {
	case status >= 200 && status < 300:
		return Accepted, nil
	case status == http.StatusConflict:
		return Refused, errors.New("the platform has seen a higher fencing token")
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Busy, errors.Newf("the platform answers %d: call less often", status)
	case status >= 500 || status < 400:
		return Unknown, errors.Newf("the platform answers %d", status)
	}
	return Invalid, errors.Newf("the platform answers %d: the call is not as it wants it", status)
}
