package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"
)

// Limits of the load that clients can cause. A request beyond them is answered with 429.
const (
	maxConns          = 64                     // further ones wait in the kernel's queue
	maxConcurrent     = 8                      // concurrent requests
	requestsPerSecond = 200                    // requests
	requestBurst      = 100                    // of requests
	maxBody           = 16 << 10               // bytes of a request
	readTimeout       = 2 * time.Second        // for the header of a request, and again for its body
	answerTimeout     = 5 * time.Second        // for computing and sending an answer
	idleTimeout       = 30 * time.Second       // between two requests
	slotTimeout       = 250 * time.Millisecond // for one of the concurrent requests
)

// Server serves the API on a Unix socket.
type Server struct {
	backend Backend
	tail    *Tail
	path    string
	http    http.Server
	slots   chan struct{}
	limiter *rate.Limiter
	done    chan struct{}
}

// Listen creates the socket, accessible to its owner only, and serves until Close. A stale socket of an earlier process is
// replaced, as the caller holds the lock of the state directory; any other file at that path is an error.
func Listen(path string, backend Backend, tail *Tail) (*Server, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	old := syscall.Umask(0o177)
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{backend: backend, tail: tail, path: path, slots: make(chan struct{}, maxConcurrent),
		limiter: rate.NewLimiter(requestsPerSecond, requestBurst), done: make(chan struct{})}
	s.http = http.Server{Handler: s.handler(), ReadHeaderTimeout: readTimeout, ReadTimeout: 2 * readTimeout,
		WriteTimeout: answerTimeout,
		IdleTimeout:  idleTimeout, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(netutil.LimitListener(l, maxConns)); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("the control socket has ended", "err", err)
		}
	}()
	return s, nil
}

// removeStaleSocket removes a socket that no process listens on.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return fmt.Errorf("control socket: %s is there and is no socket; it is left alone", path)
	}
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		conn.Close()
		return fmt.Errorf("control socket: %s is in use by a process that lives", path)
	}
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return nil
}

// Close stops the server and removes the socket. It waits up to a second for requests in progress.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	<-s.done
}

// handler returns the routes of the API.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	v := fmt.Sprintf("/v%d", Version)
	get := func(path string, f func(context.Context, *http.Request) (any, error)) {
		mux.HandleFunc("GET "+v+path, s.serve(f))
	}
	get("/status", func(ctx context.Context, _ *http.Request) (any, error) { return s.backend.Status(ctx) })
	get("/partners", func(ctx context.Context, _ *http.Request) (any, error) { return s.backend.Partners(ctx) })
	get("/overview", func(ctx context.Context, req *http.Request) (any, error) {
		o := Overview{Log: s.tail.After(lastLineNumber(req))}
		var err error
		if o.Status, err = s.backend.Status(ctx); err == nil {
			o.Partners, err = s.backend.Partners(ctx)
		}
		return o, err
	})
	get("/messages", func(ctx context.Context, req *http.Request) (any, error) {
		q, err := parseQuery(req.URL.Query())
		if err != nil {
			return nil, err
		}
		return s.backend.Messages(ctx, q)
	})
	// The id is a parameter: in a path, one such as ".." would lead elsewhere.
	get("/message", func(ctx context.Context, req *http.Request) (any, error) {
		return s.backend.Message(ctx, req.URL.Query().Get("id"))
	})
	get("/log", func(_ context.Context, req *http.Request) (any, error) { return s.tail.After(lastLineNumber(req)), nil })
	get("/fleet", func(ctx context.Context, _ *http.Request) (any, error) { return s.backend.Fleet(ctx) })
	mux.HandleFunc("POST "+v+"/fleet/gone", s.serve(decodeBody(s.backend.Gone)))
	mux.HandleFunc("POST "+v+"/drain", s.serve(decodeBody(s.backend.Drain)))
	mux.HandleFunc("POST "+v+"/undrain", s.serve(decodeBody(s.backend.Undrain)))
	mux.HandleFunc("POST "+v+"/stop", s.serve(decodeBody(s.backend.Stop)))
	mux.HandleFunc("/", s.serve(func(_ context.Context, req *http.Request) (any, error) {
		return nil, Errorf(NotFound, "%s %s is not of version %d of this API", req.Method, req.URL.Path, Version)
	}))
	return mux
}

// lastLineNumber returns the number of the last log line that a client has, or 0.
func lastLineNumber(req *http.Request) uint64 {
	n, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64) // 0 for all retained lines
	return n
}

// decodeBody returns a handler that decodes the body of a request as JSON; unknown fields are an error.
func decodeBody[Q, A any](f func(context.Context, Q) (A, error)) func(context.Context, *http.Request) (any, error) {
	return func(ctx context.Context, req *http.Request) (any, error) {
		var q Q
		dec := json.NewDecoder(io.LimitReader(req.Body, maxBody))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&q); err != nil {
			return nil, Errorf(Invalid, "the request cannot be read: %v", err)
		}
		return f(ctx, q)
	}
}

// serve returns an HTTP handler that answers within the limits.
func (s *Server) serve(f func(context.Context, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), answerTimeout/2)
		defer cancel()
		got, err := s.answerInSlot(ctx, req, f)
		var data []byte
		if err == nil {
			data, err = json.Marshal(got)
		}
		status := http.StatusOK
		if err != nil {
			e := toError(err)
			status, data = e.Status, mustMarshal(map[string]*Error{"error": e})
		}
		w.Header().Set("Content-Type", "application/json")
		if status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "0.25")
		}
		w.WriteHeader(status)
		w.Write(append(data, '\n'))
	}
}

// answerInSlot waits for one of the slots of concurrent requests, and computes the answer in it. The slot is free again
// before the client reads the answer.
func (s *Server) answerInSlot(ctx context.Context, req *http.Request,
	f func(context.Context, *http.Request) (any, error)) (any, error) {
	if !s.limiter.Allow() {
		return nil, Errorf(Busy, "more than %d requests a second; try again", requestsPerSecond)
	}
	wait := time.NewTimer(slotTimeout)
	defer wait.Stop()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
		return f(ctx, req)
	case <-wait.C:
		return nil, Errorf(Busy, "%d requests are being answered; try again", maxConcurrent)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// mustMarshal returns a value as JSON.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only types of this package
	}
	return data
}
