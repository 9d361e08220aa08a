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

// ErrRejected marks an order that the tier has refused for good; the message has the status.
var ErrRejected = errors.New("order refused")

// The bounds of an operator.
const (
	maxRedirects       = 2
	maxClientErrors    = 3 // answers of another 4xx that end an order
	requestTimeout     = time.Second
	timeoutPerMegabyte = time.Second // longer for large bodies
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = 500 * time.Millisecond
)

// Operator sends orders to the relays that serve control, one after the other until there is a clear answer. It is
// safe for concurrent use.
type Operator struct {
	client  http.Client
	timeout time.Duration
	sleep   func(ctx context.Context, d time.Duration) error

	mu    sync.Mutex
	addrs []string
	next  int
}

// NewOperator is one who knows these control addresses.
func NewOperator(addrs ...string) *Operator {
	return &Operator{addrs: addrs, timeout: requestTimeout, sleep: sleep, client: http.Client{Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// SetAddrs changes the list of control addresses.
func (o *Operator) SetAddrs(addrs ...string) { o.mu.Lock(); defer o.mu.Unlock(); o.addrs = addrs }

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
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// request is what an operator may ask for; all are declared here.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

func putConfigRequest(config []byte, base int64) request {
	return request{http.MethodPut, "/api/config", http.Header{"If-Match": {strconv.FormatInt(base, 10)}, "Content-Type": {"application/json"}}, config}
}

func getConfigRequest() request { return request{method: http.MethodGet, path: "/api/config"} }

func retireRequest(node string, within time.Duration) request {
	return request{http.MethodPost, "/api/retire/" + url.PathEscape(node), http.Header{"Content-Type": {"application/json"}},
		fmt.Appendf(nil, `{"within_s":%g}`, within.Seconds())}
}

func phaseRequest(node string) request {
	return request{method: http.MethodGet, path: "/api/retire/" + url.PathEscape(node)}
}

// Put sends a configuration that builds on a version, until it is taken or refused.
func (o *Operator) Put(ctx context.Context, config []byte, base int64) error {
	_, err := o.do(ctx, putConfigRequest(config, base))
	return err
}

// Config reads the newest configuration back.
func (o *Operator) Config(ctx context.Context) ([]byte, error) { return o.do(ctx, getConfigRequest()) }

// Retire asks for a store to be emptied.
func (o *Operator) Retire(ctx context.Context, node string, within time.Duration) error {
	_, err := o.do(ctx, retireRequest(node, within))
	return err
}

// Phase tells how far that is.
func (o *Operator) Phase(ctx context.Context, node string) (string, error) {
	b, err := o.do(ctx, phaseRequest(node))
	if err != nil {
		return "", err
	}
	var a struct {
		Phase string `json:"phase"`
	}
	return a.Phase, errors.Wrap(json.Unmarshal(b, &a), "phase of a store")
}

// do sends an order until there is a clear answer: 200, or a refusal.
func (o *Operator) do(ctx context.Context, what request) ([]byte, error) {
	struck := 0
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		addr, err := o.pick()
		if err != nil {
			return nil, err
		}
		status, body, err := o.send(ctx, "http://"+addr+what.path, what)
		if err == nil && status == http.StatusOK {
			return body, nil
		}
		if err == nil {
			err = errors.Newf("status %d: %s", status, bytes.TrimSpace(body))
		}
		if status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			struck++
			switch status {
			case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
				struck = maxClientErrors
			}
			if struck >= maxClientErrors {
				return nil, errors.Mark(errors.Wrapf(err, "%s %s", what.method, what.path), ErrRejected)
			}
		}
		if stop := o.sleep(ctx, wait); stop != nil {
			return nil, errors.Wrapf(stop, "%s %s has no clear answer, last %v", what.method, what.path, err)
		}
	}
}

// send makes one try, and follows where it is sent on to.
func (o *Operator) send(ctx context.Context, to string, what request) (status int, body []byte, err error) {
	ctx, stop := context.WithTimeout(ctx, o.timeout+timeoutPerMegabyte*time.Duration(len(what.body)>>20))
	defer stop()
	for hops := 0; ; hops++ {
		req, err := http.NewRequestWithContext(ctx, what.method, to, bytes.NewReader(what.body))
		if err != nil {
			return 0, nil, err
		}
		for name, values := range what.header {
			req.Header[name] = values
		}
		resp, err := o.client.Do(req)
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
