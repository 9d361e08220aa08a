package controlnode

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/routing"
)

const (
	configPath       = "/api/config"
	maxConfigBody    = 32 << 20
	maxForwardedBody = 256 << 10 // a larger body would cross a second link of 30 Mbit/s within the second that callers wait
	maxOrderBody     = 1 << 16
	retryInterval    = 40 * time.Millisecond
)

// operatorCalls is the table of what operators call on a core node.
var operatorCalls = []struct {
	Pattern string // method and path
	Serve   func(c *Server, w http.ResponseWriter, r *http.Request)
}{
	{"PUT " + configPath, (*Server).putConfig},
	{"GET " + configPath, (*Server).getConfig},
	{"POST /api/retire/{node}", (*Server).postRetire},
	{"GET /api/retire/{node}", (*Server).getRetire},
	{"GET /api/status", (*Server).getStatus},
}

func (c *Server) operatorAPI() http.Handler {
	mux := http.NewServeMux()
	for _, call := range operatorCalls {
		mux.HandleFunc(call.Pattern, func(w http.ResponseWriter, r *http.Request) { call.Serve(c, w, r) })
	}
	return mux
}

func writeReply(w http.ResponseWriter, r *feed.Reply) {
	b := r.Body
	if len(b) == 0 { // one that another node gave has an empty body, not none
		b, _ = json.Marshal(struct {
			Message string `json:"message"`
		}{r.Text})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if r.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "0.2")
	}
	if r.Location != "" {
		w.Header().Set("Location", r.Location)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(b)
}

// redirect sends a caller to another node, given by its address for calls of nodes. All nodes serve operators at one port.
func (c *Server) redirect(node, path string) *feed.Reply {
	host, _, err := net.SplitHostPort(node)
	_, port, ownErr := net.SplitHostPort(c.settings.Bind.Control)
	if err != nil || ownErr != nil {
		return &feed.Reply{Status: http.StatusServiceUnavailable, Text: errOutcomeUnknown.Error()}
	}
	at := "http://" + net.JoinHostPort(host, port) + path
	return &feed.Reply{Status: http.StatusTemporaryRedirect, Text: "too large to be passed on: send it to " + at, Location: at}
}

func badRequest(w http.ResponseWriter, text string) {
	writeReply(w, &feed.Reply{Status: http.StatusBadRequest, Text: text})
}

func (c *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBody))
	if err != nil {
		badRequest(w, "the configuration did not come whole: send it again")
		return
	}
	match, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil || match < 0 {
		badRequest(w, "If-Match: give the version on which the configuration builds, 0 for the first")
		return
	}
	q := &feed.PutRequest{IfMatch: match, Body: body}
	order := putOrder(q)
	writeReply(w, retryUntilTimeout(r.Context(), func(ctx context.Context) (*feed.Reply, error) { return c.put(ctx, q, order) }))
}

// putOrder makes an order of a request, once it is needed: to read a large configuration takes time.
func putOrder(q *feed.PutRequest) func() orders.PutConfig {
	return sync.OnceValue(func() orders.PutConfig {
		o := orders.PutConfig{IfMatch: q.IfMatch, Digest: orders.Digest(q.Body), Body: q.Body}
		if config, err := routing.Parse(q.Body); err != nil {
			o.Invalid = err.Error()
		} else {
			o.Version = config.Version
		}
		return o
	})
}

// handlePut takes a configuration that another node has passed on.
func (c *Server) handlePut(ctx context.Context, q *feed.PutRequest) (*feed.Reply, error) {
	return c.put(ctx, q, putOrder(q))
}

// put takes a configuration at the head, or passes it on to it.
func (c *Server) put(ctx context.Context, q *feed.PutRequest, order func() orders.PutConfig) (*feed.Reply, error) {
	here, head, err := c.headStatus()
	switch {
	case err != nil:
		return nil, err
	case !here && q.Forwarded:
		return nil, errOutcomeUnknown
	case !here && len(q.Body) > maxForwardedBody && head != "":
		return c.redirect(head, configPath), nil
	case !here:
		on := *q
		on.Forwarded = true
		return forward[feed.PutRequest, feed.Reply](ctx, c, head, feed.PutCall, &on)
	}
	began := time.Now()
	d, err := c.decideAtHead(ctx, order())
	if err != nil {
		return nil, err
	}
	if d.Kind == orders.Accept {
		c.log.Say("msg", "configuration taken", "version", order().Version, "ms", time.Since(began).Milliseconds())
	}
	return replyFor(d), nil
}

func (c *Server) postRetire(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBody)); err != nil {
		badRequest(w, "the order did not come whole: send it again")
		return
	}
	q := &feed.OrderRequest{Name: r.PathValue("node")}
	writeReply(w, retryUntilTimeout(r.Context(), func(ctx context.Context) (*feed.Reply, error) { return c.handleRetire(ctx, q) }))
}

// handleRetire takes an order to empty a store at the head, or passes it on to it.
func (c *Server) handleRetire(ctx context.Context, q *feed.OrderRequest) (*feed.Reply, error) {
	here, head, err := c.headStatus()
	switch {
	case err != nil:
		return nil, err
	case !here && q.Forwarded:
		return nil, errOutcomeUnknown
	case !here:
		on := &feed.OrderRequest{Name: q.Name, Forwarded: true}
		return forward[feed.OrderRequest, feed.Reply](ctx, c, head, feed.RetireCall, on)
	}
	d, err := c.decideAtHead(ctx, orders.RetireStore{Name: q.Name})
	if err != nil {
		return nil, err
	}
	return replyFor(d), nil
}

func (c *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	q := &feed.OrderRequest{}
	writeReply(w, retryUntilTimeout(r.Context(), func(ctx context.Context) (*feed.Reply, error) { return c.handleRead(ctx, q) }))
}

// handleRead reads the newest configuration at the tail.
func (c *Server) handleRead(ctx context.Context, q *feed.OrderRequest) (*feed.Reply, error) {
	return c.answerQuery(ctx, q, orders.ReadConfig{}, feed.ReadCall)
}

func (c *Server) getRetire(w http.ResponseWriter, r *http.Request) {
	q := &feed.OrderRequest{Name: r.PathValue("node")}
	writeReply(w, retryUntilTimeout(r.Context(), func(ctx context.Context) (*feed.Reply, error) { return c.handlePhase(ctx, q) }))
}

// handlePhase tells, at the tail, how far the emptying of a store is.
func (c *Server) handlePhase(ctx context.Context, q *feed.OrderRequest) (*feed.Reply, error) {
	return c.answerQuery(ctx, q, orders.StorePhase{Name: q.Name}, feed.PhaseCall)
}

// answerQuery decides at the tail an order that only asks, or passes it on to the tail.
func (c *Server) answerQuery(ctx context.Context, q *feed.OrderRequest, o orders.Order, call rpc.Method) (*feed.Reply, error) {
	d, tail, err := c.decideAtTail(ctx, o)
	switch {
	case err != nil:
		return nil, err
	case tail != "" && !q.Forwarded && call == feed.ReadCall && c.configSize() > maxForwardedBody:
		return c.redirect(tail, configPath), nil
	case tail != "" && !q.Forwarded:
		on := &feed.OrderRequest{Name: q.Name, Forwarded: true}
		return forward[feed.OrderRequest, feed.Reply](ctx, c, tail, call, on)
	case d.Kind == 0:
		return nil, errOutcomeUnknown
	}
	return replyFor(d), nil
}

// configSize is that of the configuration as this node has it, in bytes.
func (c *Server) configSize() (size int) {
	c.runOnLoop(func() {
		e, _ := c.node.Chain().LastEntry(feed.ConfigKey)
		size = len(e.Value)
	})
	return size
}
