package cloudapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRejected marks the error of a request that the tier has rejected by a final answer. The message has the status.
var ErrRejected = errors.New("order refused")

// The limits of an operator.
const (
	maxRedirects       = 2           // of an attempt
	maxClientErrors    = 3           // answers 4xx that are not final by themselves, after which a request counts as rejected
	requestTimeout     = time.Second // of an attempt
	timeoutPerMegabyte = time.Second // added for each full megabyte of the body
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
)

// Operator sends requests to the control addresses of the tier, in rotation and with exponential backoff, until there is
// a clear answer. It is safe for concurrent use.
type Operator struct {
	client  http.Client
	timeout time.Duration
	sleep   func(ctx context.Context, d time.Duration) error

	mu    sync.Mutex
	addrs []string
	next  int // counts picks
}

// NewOperator returns an operator who knows some control addresses.
func NewOperator(addrs ...string) *Operator {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: noRedirect}
	return &Operator{addrs: addrs, timeout: requestTimeout, sleep: sleep, client: client}
}

// SetAddrs replaces the list of control addresses.
func (o *Operator) SetAddrs(addrs ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addrs = addrs
}

// pick returns the next control address.
func (o *Operator) pick() (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.addrs) == 0 {
		return "", errors.New("no control address is known: give one")
	}
	o.next++
	return o.addrs[o.next%len(o.addrs)], nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// request is a request of the operators' API. The functions below return all that an operator may send.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

func putConfigRequest(config []byte, base int64) request {
	header := http.Header{"If-Match": {strconv.FormatInt(base, 10)}, "Content-Type": {"application/json"}}
	return request{http.MethodPut, "/api/config", header, config}
}

func getConfigRequest() request { return request{method: http.MethodGet, path: "/api/config"} }

func retireRequest(node string, within time.Duration) request {
	return request{http.MethodPost, "/api/retire/" + url.PathEscape(node), http.Header{"Content-Type": {"application/json"}},
		fmt.Appendf(nil, `{"within_s":%g}`, within.Seconds())}
}

func phaseRequest(node string) request {
	return request{method: http.MethodGet, path: "/api/retire/" + url.PathEscape(node)}
}

// Put sends a configuration that replaces the version base, until it is acknowledged or rejected.
func (o *Operator) Put(ctx context.Context, config []byte, base int64) error {
	_, err := o.do(ctx, putConfigRequest(config, base))
	return err
}

// Config returns the newest configuration.
func (o *Operator) Config(ctx context.Context) ([]byte, error) { return o.do(ctx, getConfigRequest()) }

// Retire asks the tier to move the contents of a store elsewhere within a time.
func (o *Operator) Retire(ctx context.Context, node string, within time.Duration) error {
	_, err := o.do(ctx, retireRequest(node, within))
	return err
}

// Phase returns the phase of a store's retirement.
func (o *Operator) Phase(ctx context.Context, node string) (string, error) {
	b, err := o.do(ctx, phaseRequest(node))
	if err != nil {
		return "", err
	}
	var answer struct {
		Phase string `json:"phase"`
	}
	return answer.Phase, errors.Wrap(json.Unmarshal(b, &answer), "phase of a store")
}

// do sends a request until there is a clear answer, 200 or a rejection, and returns the body.
func (o *Operator) do(ctx context.Context, req request) ([]byte, error) {
	clientErrors := 0
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		addr, err := o.pick()
		if err != nil {
			return nil, err
		}
		status, body, err := o.send(ctx, "http://"+addr+req.path, req)
		if err == nil && status == http.StatusOK {
			return body, nil
		}
		if err == nil {
			err = errors.Newf("status %d: %s", status, bytes.TrimSpace(body))
		}
		if status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			clientErrors++
			if isFinal(status) {
				clientErrors = maxClientErrors
			}
			if clientErrors >= maxClientErrors {
				return nil, errors.Mark(errors.Wrapf(err, "%s %s", req.method, req.path), ErrRejected)
			}
		}
		if ended := o.sleep(ctx, backoff); ended != nil {
			return nil, errors.Wrapf(ended, "%s %s has no clear answer, last %v", req.method, req.path, err)
		}
	}
}

// isFinal reports whether a status rejects a request for good.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// send makes one attempt of a request at a URL, and follows redirects.
func (o *Operator) send(ctx context.Context, to string, req request) (status int, body []byte, err error) {
	ctx, stop := context.WithTimeout(ctx, o.timeout+timeoutPerMegabyte*time.Duration(len(req.body)>>20))
	defer stop()
	for hops := 0; ; hops++ {
		httpReq, err := http.NewRequestWithContext(ctx, req.method, to, bytes.NewReader(req.body))
		if err != nil {
			return 0, nil, err
		}
		for name, values := range req.header {
			httpReq.Header[name] = values
		}
		resp, err := o.client.Do(httpReq)
		if err != nil {
			return 0, nil, err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		location, err := resp.Location()
		if resp.StatusCode != http.StatusTemporaryRedirect || err != nil || hops == maxRedirects {
			return resp.StatusCode, body, nil
		}
		to = location.String()
	}
}
