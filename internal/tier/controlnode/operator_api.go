package controlnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/feed"
)

// Paths and bounds of the operator API, in bytes.
const (
	configPath       = "/api/config"
	maxConfigBody    = 32 << 20
	maxForwardedBody = 256 << 10 // a larger body would cross a second link of 30 Mbit/s within the second that callers wait
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

// retryAfterUndecided is the Retry-After, in seconds, of an order that another try may decide.
const retryAfterUndecided = "0.2"

// writeReply writes a reply as an HTTP response. A 503 asks the caller to try again here.
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

// badBody answers a request whose body could not be read: 413 with the limit if it is longer than that, else 400 with a text.
func badBody(w http.ResponseWriter, err error, text string) {
	var tooLong *http.MaxBytesError
	if !errors.As(err, &tooLong) {
		badRequest(w, text)
		return
	}
	text = fmt.Sprintf("the body is longer than %d bytes: send a shorter one", tooLong.Limit)
	writeReply(w, &feed.OperatorResponse{Status: http.StatusRequestEntityTooLarge, Text: text})
}

// badRequest answers 400 with a text.
func badRequest(w http.ResponseWriter, text string) {
	writeReply(w, &feed.OperatorResponse{Status: http.StatusBadRequest, Text: text})
}

// redirect returns a reply that sends the caller to another node, given by its address for calls of nodes.
// All nodes serve the operator API at one port.
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

// putConfig serves PUT /api/config: it reads the configuration and the version that it builds on, and repeats
// the order until it is decided or the time is over.
func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBody))
	if err != nil {
		badBody(w, err, "the configuration did not come whole: send it again")
		return
	}
	match, err := strconv.ParseInt(strings.Trim(strings.TrimSpace(r.Header.Get("If-Match")), `"`), 10, 64)
	if err != nil || match < 0 {
		badRequest(w, "If-Match: give the version on which the configuration builds, 0 for the first")
		return
	}
	request := &feed.PutConfigRequest{IfMatch: match, Body: body}
	order := putOrder(request)
	writeReply(w, s.retryUntilTimeout(r.Context(), r.Method+" "+r.URL.Path, func(ctx context.Context) (*feed.OperatorResponse, error) {
		return s.put(ctx, request, order)
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
	if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBody)); err != nil {
		badBody(w, err, "the order did not come whole: send it again")
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
