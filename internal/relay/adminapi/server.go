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
	"net/url"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"
)

// The bounds of what clients can cost. A request over them is answered 429 at once.
const (
	maxConns  = 64                     // further ones wait in the kernel's queue
	maxAtOnce = 8                      // requests being answered
	perSecond = 200                    // requests
	burst     = 100                    // of requests
	maxBody   = 16 << 10               // bytes of a request
	headIn    = 2 * time.Second        // for a request's head, and its body after that
	answerIn  = 5 * time.Second        // for an answer to be made, and to be read
	idleIn    = 30 * time.Second       // between two requests
	waitTurn  = 250 * time.Millisecond // for one of those at once
)

// Server answers clients on a Unix socket.
type Server struct {
	backend Backend
	tail    *Tail
	path    string
	http    http.Server
	turns   chan struct{}
	pace    *rate.Limiter
	done    chan struct{}
}

// Listen makes the socket, for its owner alone, and serves until Close. A socket that a dead process left
// is replaced: the caller holds the lock on the state folder. Anything else at that path is an error.
func Listen(path string, backend Backend, tail *Tail) (*Server, error) {
	if err := removeDead(path); err != nil {
		return nil, err
	}
	old := syscall.Umask(0o177)
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{backend: backend, tail: tail, path: path, turns: make(chan struct{}, maxAtOnce),
		pace: rate.NewLimiter(perSecond, burst), done: make(chan struct{})}
	s.http = http.Server{Handler: s.handler(), ReadHeaderTimeout: headIn, ReadTimeout: 2 * headIn, WriteTimeout: answerIn,
		IdleTimeout: idleIn, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(netutil.LimitListener(l, maxConns)); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("the control socket has ended", "err", err)
		}
	}()
	return s, nil
}

// removeDead makes room for the socket.
func removeDead(path string) error {
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

// Close ends the server and removes the socket. Requests under way have a second to end.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	<-s.done
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	v := fmt.Sprintf("/v%d", Version)
	get := func(path string, f func(context.Context, *http.Request) (any, error)) {
		mux.HandleFunc("GET "+v+path, s.serve(f))
	}
	get("/status", func(ctx context.Context, _ *http.Request) (any, error) { return s.backend.Status(ctx) })
	get("/partners", func(ctx context.Context, _ *http.Request) (any, error) { return s.backend.Partners(ctx) })
	get("/overview", func(ctx context.Context, req *http.Request) (any, error) {
		o := Overview{Log: s.tail.After(after(req))}
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
	get("/log", func(_ context.Context, req *http.Request) (any, error) { return s.tail.After(after(req)), nil })
	get("/fleet", func(ctx context.Context, _ *http.Request) (any, error) { return s.backend.Fleet(ctx) })
	mux.HandleFunc("POST "+v+"/fleet/gone", s.serve(post(s.backend.Gone)))
	mux.HandleFunc("POST "+v+"/drain", s.serve(post(s.backend.Drain)))
	mux.HandleFunc("POST "+v+"/undrain", s.serve(post(s.backend.Undrain)))
	mux.HandleFunc("POST "+v+"/stop", s.serve(post(s.backend.Stop)))
	mux.HandleFunc("/", s.serve(func(_ context.Context, req *http.Request) (any, error) {
		return nil, Errorf(NotFound, "%s %s is not of version %d of this API", req.Method, req.URL.Path, Version)
	}))
	return mux
}

// after is the number of the last line of the log that a client has.
func after(req *http.Request) uint64 {
	n, _ := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64) // none: all that are remembered
	return n
}

// post reads the body of a request as JSON, and nothing else.
func post[Q, A any](f func(context.Context, Q) (A, error)) func(context.Context, *http.Request) (any, error) {
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

// serve answers one request within the bounds.
func (s *Server) serve(f func(context.Context, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), answerIn/2)
		defer cancel()
		got, err := s.turn(ctx, req, f)
		var data []byte
		if err == nil {
			data, err = json.Marshal(got)
		}
		status := http.StatusOK
		if err != nil {
			e := asError(err)
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

// turn waits for a turn for a while, and lets f make the answer. The turn is free again before the client
// reads the answer, however long that takes.
func (s *Server) turn(ctx context.Context, req *http.Request, f func(context.Context, *http.Request) (any, error)) (any, error) {
	if !s.pace.Allow() {
		return nil, Errorf(Busy, "more than %d requests a second; try again", perSecond)
	}
	wait := time.NewTimer(waitTurn)
	defer wait.Stop()
	select {
	case s.turns <- struct{}{}:
		defer func() { <-s.turns }()
		return f(ctx, req)
	case <-wait.C:
		return nil, Errorf(Busy, "%d requests are being answered; try again", maxAtOnce)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var statuses = map[string]int{NotFound: http.StatusNotFound, Invalid: http.StatusBadRequest, Conflict: http.StatusConflict,
	Busy: http.StatusTooManyRequests, Failed: http.StatusInternalServerError, Stopped: http.StatusServiceUnavailable}

func asError(err error) *Error {
	var e *Error
	if !errors.As(err, &e) {
		e = Errorf(Failed, "%v", err)
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			e = Errorf(Busy, "the relay did not answer in time; try again")
		}
	}
	if e.Status = statuses[e.Code]; e.Status == 0 {
		e.Status = http.StatusInternalServerError
	}
	return e
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // texts alone
	}
	return data
}

// queryNames are the parameters of a Query, in the order of encode.
var queryNames = []string{"partner", "class", "state", "ended", "older_ms", "newest", "limit", "cursor", "id"}

// encode writes a query as parameters.
func (q Query) encode() url.Values {
	v := url.Values{}
	set := func(name, value string, is bool) {
		if is {
			v.Set(name, value)
		}
	}
	set("partner", q.Partner, q.Partner != "")
	set("class", q.Class, q.Class != "")
	set("state", q.State, q.State != "")
	set("ended", "true", q.Ended)
	set("older_ms", strconv.FormatInt(q.Older.Milliseconds(), 10), q.Older != 0)
	set("newest", "true", q.Newest)
	set("limit", strconv.Itoa(q.Limit), q.Limit != 0)
	set("cursor", q.Cursor, q.Cursor != "")
	set("id", q.IDPrefix, q.IDPrefix != "")
	return v
}

// parseQuery reads what encode writes. What is not known is an error: a filter that is passed over would
// show what was not asked for.
func parseQuery(v url.Values) (Query, error) {
	for name, all := range v {
		if !slices.Contains(queryNames, name) || len(all) > 1 {
			return Query{}, Errorf(Invalid, "parameter %q is unknown or there twice", name)
		}
	}
	var bad error
	whole := func(name string) int64 {
		text := v.Get(name)
		if text == "" {
			return 0
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > 1e12 {
			bad = Errorf(Invalid, "%s is %q, must be a whole number", name, text)
		}
		return n
	}
	truth := func(name string) bool {
		b, err := strconv.ParseBool(v.Get(name))
		if err != nil && v.Has(name) {
			bad = Errorf(Invalid, "%s is %q, must be true or false", name, v.Get(name))
		}
		return b
	}
	q := Query{Partner: v.Get("partner"), Class: v.Get("class"), State: v.Get("state"), Ended: truth("ended"),
		Older: time.Duration(whole("older_ms")) * time.Millisecond, Newest: truth("newest"), Limit: int(whole("limit")),
		Cursor: v.Get("cursor"), IDPrefix: v.Get("id")}
	return q, bad
}
