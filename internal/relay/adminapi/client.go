package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"
)

// maxAnswer is the size up to which a client reads an answer, in bytes.
const maxAnswer = 16 << 20

// Backoff of a client while the relay is busy. Each pause is drawn from half to one and a half times its nominal length.
const (
	firstPause = 40 * time.Millisecond
	longPause  = 500 * time.Millisecond
)

// ErrNoRelay reports that no process serves the socket.
var ErrNoRelay = errors.New("no relay runs there")

// Client calls the API of a relay. It is safe for concurrent use.
type Client struct {
	path string
	http http.Client
}

// Dial returns a client for a socket. It connects on the first call, and again when a connection is lost.
func Dial(path string) *Client {
	c := &Client{path: path}
	c.http.Transport = &http.Transport{DisableCompression: true, MaxConnsPerHost: 4, IdleConnTimeout: 20 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Path returns the path of the socket.
func (c *Client) Path() string { return c.path }

// call makes a request, and retries it while the relay is busy until the context ends.
func call[A any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (A, error) {
	var a A
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		err := c.once(ctx, method, path, query, body, &a)
		if !IsCode(err, Busy) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, err
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

// once makes one request and decodes the answer.
func (c *Client) once(ctx context.Context, method, path string, query url.Values, body, into any) error {
	u := url.URL{Scheme: "http", Host: "relay", Path: fmt.Sprintf("/v%d%s", Version, path), RawQuery: query.Encode()}
	var data io.Reader
	if body != nil {
		data = bytes.NewReader(mustMarshal(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), data)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s: %w", c.path, ErrNoRelay)
		}
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err
		}
		return fmt.Errorf("%s: %w", c.path, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	if resp.StatusCode != http.StatusOK {
		var e struct{ Error *Error }
		if json.Unmarshal(answer, &e) != nil || e.Error == nil {
			return fmt.Errorf("%s: status %d with no reason that can be read", c.path, resp.StatusCode)
		}
		e.Error.Status = resp.StatusCode
		return e.Error
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("%s: the answer cannot be read: %w", c.path, err)
	}
	return nil
}

// Status returns the state of the relay.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", nil, nil)
}

// Partners returns all partners.
func (c *Client) Partners(ctx context.Context) ([]Partner, error) {
	return call[[]Partner](ctx, c, http.MethodGet, "/partners", nil, nil)
}

// Overview returns the state of the relay, all partners, and the log lines after a number.
func (c *Client) Overview(ctx context.Context, after uint64) (Overview, error) {
	return call[Overview](ctx, c, http.MethodGet, "/overview", url.Values{"after": {strconv.FormatUint(after, 10)}}, nil)
}

// Messages returns a page of messages.
func (c *Client) Messages(ctx context.Context, q Query) (Page, error) {
	return call[Page](ctx, c, http.MethodGet, "/messages", q.encode(), nil)
}

// Message returns a message with its attempts.
func (c *Client) Message(ctx context.Context, id string) (Message, error) {
	if id == "" {
		return Message{}, Errorf(Invalid, "the id is empty")
	}
	return call[Message](ctx, c, http.MethodGet, "/message", url.Values{"id": {id}}, nil)
}

// Log returns the log lines after a number; 0 for all that are retained.
func (c *Client) Log(ctx context.Context, after uint64) ([]LogLine, error) {
	return call[[]LogLine](ctx, c, http.MethodGet, "/log", url.Values{"after": {strconv.FormatUint(after, 10)}}, nil)
}

// Drain drains a target, or with DryRun only returns the consequences.
func (c *Client) Drain(ctx context.Context, q DrainRequest) (DrainAnswer, error) {
	return call[DrainAnswer](ctx, c, http.MethodPost, "/drain", nil, q)
}

// Undrain cancels the drain of a target.
func (c *Client) Undrain(ctx context.Context, q DrainRequest) (DrainAnswer, error) {
	return call[DrainAnswer](ctx, c, http.MethodPost, "/undrain", nil, q)
}

// Stop starts a graceful stop.
func (c *Client) Stop(ctx context.Context, q StopRequest) (StopAnswer, error) {
	return call[StopAnswer](ctx, c, http.MethodPost, "/stop", nil, q)
}

// Fleet returns the fleet, and the limits of which the relay has a share.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	return call[Fleet](ctx, c, http.MethodGet, "/fleet", nil, nil)
}

// Gone declares a relay as gone for good, or as back.
func (c *Client) Gone(ctx context.Context, q GoneRequest) (Fleet, error) {
	return call[Fleet](ctx, c, http.MethodPost, "/fleet/gone", nil, q)
}
