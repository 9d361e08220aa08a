// Package admin serves the second address of a relay, on which the platform checks its health and has it drain
// its client connections. It shares neither connections nor limits with the clients' address, so that it
// responds under any load there. Server is safe for concurrent use, except that Close must not run at the same
// time as Serve.
package admin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"larchrouter/internal/relay/front/httpapi"
)

// The platform expects a response within a second. Clients that send nothing, or an incomplete request, must
// not delay others: each connection has its own goroutine and carries one request, with short time-outs.
const (
	requestReadTimeout   = 800 * time.Millisecond // for a complete request
	healthTimeout        = 500 * time.Millisecond // for Relay.Serving
	responseWriteTimeout = time.Second
)

// MostCalls is the maximum number of open connections. For each above it, one without a pending request is closed.
const MostCalls = 12

// Relay is the relay that a Server controls. Its methods are called concurrently.
type Relay interface {
	// Serving returns nil if the relay can decide on messages now, and an error at the latest when the context
	// ends.
	Serving(context.Context) error
	// Quiesce drains the client connections until Resume. The process keeps running and delivers its pending
	// messages.
	Quiesce()
	// Resume admits clients again.
	Resume()
}

// Server serves the second address.
type Server struct {
	listener net.Listener
	server   *http.Server // nil before Serve
}

// Listen listens on an address. Connections are not served before Serve.
func Listen(addr string) (*Server, error) {
	l, err := httpapi.Listen(addr, MostCalls)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l}, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve starts to serve requests to a relay, until Close. It does not block.
func (s *Server) Serve(r Relay) {
	s.server = &http.Server{
		Handler:        newHandler(r),
		ReadTimeout:    requestReadTimeout,
		WriteTimeout:   requestReadTimeout + responseWriteTimeout,
		MaxHeaderBytes: 4 << 10,
		ConnContext:    httpapi.WithClient,
		ConnState:      httpapi.ClientState,
	}
	s.server.SetKeepAlivesEnabled(false) // one request per connection
	go s.server.Serve(s.listener)
}

// Close closes the listener and all connections; requests under way are aborted.
func (s *Server) Close() {
	if s.server != nil {
		s.server.Close()
	}
	s.listener.Close()
}

// newHandler returns the handler of the health, quiesce and resume requests.
func newHandler(r Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), healthTimeout)
		defer cancel()
		if err := r.Serving(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST /admin/quiesce", func(w http.ResponseWriter, _ *http.Request) {
		r.Quiesce()
		slog.Info("clients are sent away")
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST /admin/resume", func(w http.ResponseWriter, _ *http.Request) {
		r.Resume()
		slog.Info("clients are let in again")
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
