package controlnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/membudget"
	"larchrouter/internal/tier/feed"
)

// Paths, size limits in bytes, and the retry interval of the operator API.
const (
	configPath       = "/api/config"
	maxConfigBody    = 32 << 20
	configMemoryPart = 16        // divides memory_mb: a configuration is no longer than that part
	maxForwardedBody = 256 << 10 // a larger one would have to cross a second 30 Mbit/s link within the callers' time-out of 1 s
	maxOrderBody     = 1 << 16
	retryInterval    = 40 * time.Millisecond
)

// operatorCalls are the calls of the operator API.
var operatorCalls = []struct {
	Pattern string // method and path
	Serve   func(s *Server, w http.ResponseWriter, r *http.Request)
}{
	{"PUT " + configPath, (*Server).putConfig},
	{"GET " + configPath, (*Server).getConfig},
	{"POST /api/retire/{node}", (*Server).postRetire},
	{"GET /api/retire/{node}", (*Server).getRetire},
	{"GET /api/status", (*Server).getStatus},
	{"GET /api/duties", (*Server).getTaskStatus},
	{"GET /api/memory", (*Server).getMemory},
	{"GET /api/election", (*Server).getElection},
}

// operatorAPI returns the HTTP handler of the operator API.
func (s *Server) operatorAPI() http.Handler {
	mux := http.NewServeMux()
	for _, call := range operatorCalls {
		mux.HandleFunc(call.Pattern, func(w http.ResponseWriter, r *http.Request) {
			if !s.rejectIfDiskFull(w) {
				call.Serve(s, w, r)
			}
		})
	}
	return mux
}

// retryAfterUndecided is the Retry-After, in seconds, of an order that a retry may decide.
const retryAfterUndecided = "0.2"

// writeReply writes a reply as an HTTP response. A 503 has a Retry-After.
func writeReply(w http.ResponseWriter, reply *feed.OperatorResponse) {
	if reply.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterUndecided)
	}
	writeResponse(w, reply)
}

// writeResponse writes a reply as an HTTP response, without Retry-After.
func writeResponse(w http.ResponseWriter, reply *feed.OperatorResponse) {
	body := reply.Body
	if len(body) == 0 { // a forwarded reply has an empty body instead of nil
		body, _ = json.Marshal(struct {
			Message string `json:"message"`
		}{reply.Text})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if reply.Location != "" {
		w.Header().Set("Location", reply.Location)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(body)
}

// writeBodyError answers a request whose body could not be read: 413 with the limit if the body exceeds it, 503 if
// the memory is exhausted, else 400 with a text.
func writeBodyError(w http.ResponseWriter, err error, text string) {
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		text = fmt.Sprintf("the body is longer than %d bytes: send a shorter one", tooLong.Limit)
		writeReply(w, &feed.OperatorResponse{Status: http.StatusRequestEntityTooLarge, Text: text})
	case errors.Is(err, membudget.ErrExhausted):
		writeReply(w, &feed.OperatorResponse{Status: http.StatusServiceUnavailable,
			Text: "this core node has no memory left for the body: send it again, or to another one"})
	default:
		writeBadRequest(w, text)
	}
}

// writeBadRequest answers 400 with a text.
func writeBadRequest(w http.ResponseWriter, text string) {
	writeReply(w, &feed.OperatorResponse{Status: http.StatusBadRequest, Text: text})
}

// redirect returns a reply that redirects the caller to another node, given by its address for calls between nodes. All
// nodes serve the operator API on the same port.
func (s *Server) redirect(node, path string) *feed.OperatorResponse {
	host, _, err := net.SplitHostPort(node)
	_, port, ownErr := net.SplitHostPort(s.settings.Bind.Control)
	if err != nil || ownErr != nil {
		return &feed.OperatorResponse{Status: http.StatusServiceUnavailable, Text: errOutcomeUnknown.Error()}
	}
	location := "http://" + net.JoinHostPort(host, port) + path
	return &feed.OperatorResponse{
		Status:   http.StatusTemporaryRedirect,
		Text:     "too large to be passed on: send it to " + location,
		Location: location,
	}
}

// putConfig serves PUT /api/config: it reads the configuration and its base version, and retries the order until it is
// decided or times out.
func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	order := s.newOrderBody(w, r)
	defer order.release()
	body, err := order.read(s.maxConfigBody())
	if err != nil {
		writeBodyError(w, err, "the configuration did not come whole: send it again")
		return
	}
	baseVersion, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil || baseVersion < 0 {
		writeBadRequest(w, "If-Match: give the version on which the configuration builds, 0 for the first")
		return
	}
	request := &feed.PutConfigRequest{IfMatch: baseVersion, Body: body}
	decided := putOrder(request)
	writeReply(w, s.retryUntilTimeout(r.Context(), r.Method+" "+r.URL.Path, func(ctx context.Context) (*feed.OperatorResponse, error) {
		return s.put(ctx, request, decided)
	}))
}

// getConfig serves GET /api/config.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	request := &feed.OperatorRequest{}
	writeReply(w, s.retryUntilTimeout(r.Context(), r.Method+" "+r.URL.Path, func(ctx context.Context) (*feed.OperatorResponse, error) {
		return s.handleRead(ctx, request)
	}))
}

// postRetire serves POST /api/retire/{node}.
func (s *Server) postRetire(w http.ResponseWriter, r *http.Request) {
	order := s.newOrderBody(w, r)
	defer order.release()
	if _, err := order.read(maxOrderBody); err != nil {
		writeBodyError(w, err, "the order did not come whole: send it again")
		return
	}
	request := &feed.OperatorRequest{Name: r.PathValue("node")}
	writeReply(w, s.retryUntilTimeout(r.Context(), r.Method+" "+r.URL.Path, func(ctx context.Context) (*feed.OperatorResponse, error) {
		return s.handleRetire(ctx, request)
	}))
}

// getRetire serves GET /api/retire/{node}.
func (s *Server) getRetire(w http.ResponseWriter, r *http.Request) {
	request := &feed.OperatorRequest{Name: r.PathValue("node")}
	writeReply(w, s.retryUntilTimeout(r.Context(), r.Method+" "+r.URL.Path, func(ctx context.Context) (*feed.OperatorResponse, error) {
		return s.handlePhase(ctx, request)
	}))
}
