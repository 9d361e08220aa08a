package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/tier/tiertest"
)

const (
	orderPath    = "/order/"  // not idempotent, three sends
	pairPath     = "/pair/"   // not idempotent, two sends
	lookupPath   = "/lookup/" // idempotent
	orderService = "counter"

	orders      = 10                     // on each route
	fullFor     = 30 * time.Millisecond  // for which the host is full when an order comes
	orderWork   = 200 * time.Millisecond // of an order
	surplusLate = 120 * time.Millisecond // after a rejection, its second copy
	maxShare    = 0.03                   // of the host's answers that are sent twice
)

// counterHost is a host of a plain service. It works on requests of different connections at once, and on those of one
// connection one after the other.
type counterHost struct {
	s        *session
	id       string
	listener net.Listener

	mu        sync.Mutex
	fullUntil time.Time
	answers   int
	surplus   int
	runs      map[string]int // by X-Attempt-Id
	done      int
}

func newCounterHost(s *session, id string) (*counterHost, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &counterHost{s: s, id: id, listener: listener, runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h, nil
}

// setFull makes the host full for a time, as other callers' requests have all its slots.
func (h *counterHost) setFull(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fullUntil = time.Now().Add(d)
}

func (h *counterHost) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	write := func(b []byte) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = conn.Write(b)
	}
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		full := h.countAnswer(req)
		switch {
		case req.Header.Get("X-Target-Instance") != h.id:
			write(answer(http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", "another host\n"))
		case full:
			b := answer(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", "full\n")
			write(b)
			h.s.note("host: %s rejected with 503 and X-Not-Executed, connection %s", id, conn.RemoteAddr())
			if h.takeSurplus() {
				time.AfterFunc(surplusLate, func() {
					h.s.note("host: the answer 503 to %s is sent once more, late, connection %s", id, conn.RemoteAddr())
					write(b)
				})
			}
		default:
			n := h.begin(id)
			work := 2 * time.Millisecond
			if !strings.HasPrefix(req.URL.Path, lookupPath) {
				work = orderWork
				h.s.note("host: %s begins to run, run %d, connection %s", id, n, conn.RemoteAddr())
			}
			time.Sleep(work)
			write(answer(http.StatusOK, id, "X-Host-Seal: "+h.id+"."+strconv.Itoa(n)+"\r\n", "done for "+id+"\n"))
			h.end()
		}
	}
}

// countAnswer counts an answer and reports whether the host is full for the request.
func (h *counterHost) countAnswer(req *http.Request) (full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers++
	return !strings.HasPrefix(req.URL.Path, lookupPath) && time.Now().Before(h.fullUntil)
}

// takeSurplus reports whether one more answer may be sent twice.
func (h *counterHost) takeSurplus() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.s.trouble || float64(h.surplus+1) > maxShare*float64(h.answers) {
		return false
	}
	h.surplus++
	return true
}

func (h *counterHost) begin(id string) (run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id]++
	return h.runs[id]
}

func (h *counterHost) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done++
}

func answer(status int, id, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, header, len(body), body)
}

// runSurplus: an order meets a full host, which rejects it and has room a moment later. Rule TWICE, and REFUSED.
func runSurplus(s *session) error {
	host, err := newCounterHost(s, "i-counter-1")
	if err != nil {
		return err
	}
	defer host.listener.Close()
	other, err := newCounterHost(s, "i-archive-1") // of another service, without trouble
	if err != nil {
		return err
	}
	defer other.listener.Close()
	for service, h := range map[string]*counterHost{orderService: host, "archive": other} {
		s.tier.Platform.Put(cloudapi.Entry{Service: service, Addr: h.listener.Addr().String(), Zone: "pier", Version: "v1",
			Capacity: 6, Phase: "ready", ID: h.id})
	}
	route := func(name, path, kind string, attempts int) tiertest.Route {
		return tiertest.Route{Name: name, Host: tiertest.Hostname, Prefix: path, Kind: kind, DeadlineMs: 3000, TargetMs: 600,
			Service: orderService, MaxAttempts: attempts}
	}
	config := tiertest.Config{Version: 1, Routes: []tiertest.Route{route("order", orderPath, tiertest.NonIdempotent, 3),
		route("pair", pairPath, tiertest.NonIdempotent, 2), route("lookup", lookupPath, tiertest.Idempotent, 2)},
		Services: []tiertest.Service{{Name: orderService, HealthPath: "/health", ConnLimit: 110, Protocol: "h1"},
			{Name: "archive", HealthPath: "/health", ConnLimit: 110, Protocol: "h1"}},
		Limits: tiertest.Limits{MaxHeader: 16384, MaxBody: 4194304, HeaderMs: 3000, IdleMs: 15000}}
	if err := s.tier.Configure(s.ctx, config); err != nil {
		return err
	}
	fronts := s.tier.Class(tiertest.Front)
	if err := s.tier.AwaitReady(s.ctx, fronts...); err != nil {
		return err
	}
	if err := s.awaitServed(fronts[0].FrontAddr()); err != nil {
		return err
	}
	for n := range 2 * orders {
		path, name := orderPath, "order"
		if n%2 == 1 {
			path, name = pairPath, "pair"
		}
		for i := range 40 { // other answers of the host, so that few of all are sent twice
			if status, err := s.request(fronts[0].FrontAddr(), "GET", lookupPath+"1", fmt.Sprintf("lookup-%d-%d", n, i)); err != nil || status != 200 {
				return fmt.Errorf("lookup: status %d, %v", status, err)
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		host.setFull(fullFor)
		s.note("client: %s is sent", id)
		status, err := s.request(fronts[0].FrontAddr(), "POST", path+"1", id)
		s.note("client: %s is answered %d, %v", id, status, err)
		time.Sleep(3*orderWork + 100*time.Millisecond) // until all runs have ended
		host.mu.Lock()
		runs := host.runs[id]
		host.mu.Unlock()
		s.note("host: %s ran %d times", id, runs)
		switch {
		case runs > 1:
			s.breach("TWICE: %s, which is not idempotent, ran %d times", id, runs)
		case runs > 0 && (status == 503 || status == 429):
			s.breach("REFUSED: %s has run and was answered %d", id, status)
		}
	}
	s.note("the host gave %d answers, %d of them twice", host.answers, host.surplus)
	return nil
}

// awaitServed waits until a front serves a lookup.
func (s *session) awaitServed(addr string) error {
	return tiertest.Await(s.ctx, "a lookup is served", func(context.Context) bool {
		status, err := s.request(addr, "GET", lookupPath+"1", fmt.Sprintf("first-%d", time.Now().UnixNano()))
		return err == nil && status == 200
	})
}

// request sends one request on a connection of its own and returns the status of the answer.
func (s *session) request(addr, method, path, id string) (status int, err error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	body := []byte{}
	if method == "POST" {
		body = []byte("two plates")
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 3000\r\nContent-Length: %d\r\n\r\n",
		method, path, tiertest.Hostname, id, len(body))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if resp.StatusCode == 200 && !bytes.Contains(got, []byte(id)) {
		return resp.StatusCode, fmt.Errorf("the body is of another request: %q", got)
	}
	return resp.StatusCode, err
}
