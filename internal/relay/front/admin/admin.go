// Package admin is the second address, at which the platform asks a relay for its health and has it send its
// clients away. It shares nothing with the clients' address: neither its connections nor its limits, so that it
// answers whatever the load there.
package admin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"larchrouter/internal/relay/front/httpapi"
)

// A call is owed its answer within a second of being sent, and callers that send nothing, or half a call, must
// not keep others waiting: each connection has its own goroutine, one call, and little time.
const (
	requestReadTimeout   = 800 * time.Millisecond // for a call to come in whole
	healthTimeout        = 500 * time.Millisecond // for the relay to show that it decides
	responseWriteTimeout = time.Second            // for the answer to be written
)

// MostCalls is how many connections are open at once; one more has the oldest silent one closed.
const MostCalls = 12

// Relay is what the calls are about.
type Relay interface {
	// Serving returns nil if messages can be decided on now. It gives up when the context ends.
	Serving(context.Context) error
	// Quiesce sends clients away until Resume; the process goes on, and delivers what it holds.
	Quiesce()
	Resume()
}

// Server answers at the second address.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen listens on an address. The relay is not asked before Serve.
func Listen(addr string) (*Server, error) {
	l, err := httpapi.Listen(addr, MostCalls)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l}, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers for a relay until Close.
func (s *Server) Serve(r Relay) {
	s.server = &http.Server{Handler: newHandler(r), ReadTimeout: requestReadTimeout, WriteTimeout: requestReadTimeout + responseWriteTimeout,
		MaxHeaderBytes: 4 << 10, ConnContext: httpapi.WithClient, ConnState: httpapi.ClientState}
	s.server.SetKeepAlivesEnabled(false) // one call to a connection
	go s.server.Serve(s.listener)
}

// Close ends it; calls under way are broken off.
func (s *Server) Close() {
	if s.server != nil {
		s.server.Close()
	}
	s.listener.Close()
}

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
