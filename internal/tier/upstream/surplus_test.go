package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A surplus response to HEAD has no body, which the next request on the connection does not know: nothing behind it is taken for a
// response.
func TestSurplusResponseToEarlierHead(t *testing.T) {
	body := "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nX-Forged: 1\r\nContent-Length: 0\r\n\r\n"
	own := ok("b", "", body)
	s := newStandin(t, func(l *line) bool {
		if l.id == "a" {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 7\r\n\r\n")
			return true
		}
		extra := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: %d\r\n\r\n", len(own)-len(body))
		l.raw(extra + own)
		return false
	})
	head := get("a")
	head.Method = http.MethodHead
	_, _, err := make1(s.Host, head, patient)
	want(t, "error of the one before", err, nil)
	want(t, "connections kept", s.OpenConns(), 1)
	res, _, _ := make1(s.Host, get("b"), patient)
	want(t, "connections", s.conns.Load(), 1)
	if res.Response != nil && res.Response.Header.Get("X-Forged") != "" {
		t.Error("a part of a body is taken for the response")
	}
	want(t, "outcome", res.Outcome, MayHaveRun)
}

// A response with two ids is to no request.
func TestResponseWithTwoIDs(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.raw(ok("a", "X-Attempt-Id: b\r\n", "yes")); return true })
	res, _, _ := make1(s.Host, get("a"), patient)
	want(t, "outcome", res.Outcome, MayHaveRun)
}

// The number of interim responses is bounded by the bytes of a head only.
func TestInterimResponses(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for n, outcome := range map[int]Outcome{1: Answered, 50: Answered, maxHeadBytes/len(interim) + 1: MayHaveRun} {
		s := newStandin(t, func(l *line) bool { l.raw(strings.Repeat(interim, n)); l.ok("yes"); return true })
		res, _, _ := make1(s.Host, get("a"), patient)
		want(t, fmt.Sprintf("outcome behind %d interim responses", n), res.Outcome, outcome)
	}
}

// Whether a body follows a surplus response depends on the method of its own request, so none is skipped for HEAD.
func TestSurplusResponseBeforeHead(t *testing.T) {
	s := newStandin(t, func(l *line) bool {
		l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 66\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\nX-Forged: 1\r\n\r\n")
		return false
	})
	r := get("a")
	r.Method = http.MethodHead
	res, _, _ := make1(s.Host, r, patient)
	want(t, "outcome", res.Outcome, MayHaveRun)
}

// surplusKinds are responses to a request that is sent again under its id, as the first bytes of a late second copy.
var surplusKinds = map[string]string{
	"503 not executed":    "HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfirst",
	"429 not executed":    "HTTP/1.1 429 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfirst",
	"400 not executed":    "HTTP/1.1 400 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nfirst",
	"421":                 "HTTP/1.1 421 X\r\nX-Attempt-Id: a\r\nContent-Length: 5\r\n\r\nfirst",
	"503 without a proof": "HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nContent-Length: 5\r\n\r\nfirst",
	"500":                 "HTTP/1.1 500 X\r\nX-Attempt-Id: a\r\nX-Host-Seal: s\r\nContent-Length: 5\r\n\r\nfirst",
	"504":                 "HTTP/1.1 504 X\r\nX-Attempt-Id: a\r\nX-Host-Seal: s\r\nContent-Length: 5\r\n\r\nfirst",
	"204":                 "HTTP/1.1 204 X\r\nX-Attempt-Id: a\r\nX-Host-Seal: s\r\n\r\n",
	"200 without a seal":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 5\r\n\r\nfirst",
	"200":                 "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Host-Seal: s\r\nContent-Length: 5\r\n\r\nfirst",
	"a stream":            "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
}

// Guards against an order that runs twice: a host sends its response to a request a second time, late, while it runs the same
// request that was sent to it again. The copy has the id of both, but is no response to the second.
func TestLateCopyIsNoResponseToRequestSentAgain(t *testing.T) {
	for name, first := range surplusKinds {
		for _, between := range []int{0, 1, 3} { // other requests on the connection
			t.Run(fmt.Sprintf("%s, %d requests between", name, between), func(t *testing.T) {
				var sent atomic.Int32 // times that the host got the request
				s := newStandin(t, func(l *line) bool {
					if l.id != "a" {
						l.ok("other")
						return true
					}
					if sent.Add(1) == 1 {
						l.raw(first)
						return true
					}
					if l.nth > 1 { // the connection has the first response
						l.raw(first)
					}
					l.ok("second")
					return true
				})
				if _, _, err := make1(s.Host, get("a"), patient); err != nil {
					t.Fatal(err)
				}
				for i := range between {
					_, _, err := make1(s.Host, get(fmt.Sprint("other", i)), patient)
					want(t, "error of a request between", err, nil)
				}
				want(t, "connections before", s.conns.Load(), 1)
				res, body, err := make1(s.Host, get("a"), patient)
				want(t, "error", err, nil)
				want(t, "outcome", res.Outcome, Answered)
				want(t, "body", body, "second")
				_, body, err = make1(s.Host, get("b"), patient)
				want(t, "error of the next", err, nil)
				want(t, "body of the next", body, "other")
			})
		}
	}
}

// At the connection limit, a request that was sent on all idle connections before takes the place of one of them.
func TestRequestSentAgainAtConnectionLimit(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	s.SetConnLimit(1)
	for range 3 {
		_, _, err := make1(s.Host, get("a"), patient)
		want(t, "error", err, nil)
	}
	want(t, "connections", s.conns.Load(), 3)
	want(t, "open", s.OpenConns(), 1)
}

// A request that was sent before uses an idle connection that has not carried it, if there is one, and leaves the other idle.
func TestRequestSentAgainUsesOtherIdleConnection(t *testing.T) {
	release := make(chan bool)
	s := newStandin(t, func(l *line) bool {
		if l.id == "b" {
			<-release
		}
		l.ok(fmt.Sprint(l.conn))
		return true
	})
	ended := make(chan error)
	go func() { _, _, err := make1(s.Host, get("b"), patient); ended <- err }()
	for end := time.Now().Add(patient); s.calls.Load() < 1 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	_, _, err := make1(s.Host, get("a"), patient) // on the second connection, as the first is busy
	want(t, "error", err, nil)
	close(release)
	want(t, "error of the other", wait(t, ended, "end"), nil)
	for _, expected := range []string{"1", "3"} {
		_, body, err := make1(s.Host, get("a"), patient)
		want(t, "error", err, nil)
		want(t, "connection", body, expected)
	}
	want(t, "open", s.OpenConns(), 3)
}

// A connection remembers the requests of its whole life: it is closed before they are too many to be kept.
func TestConnectionIsReplacedAfterMostRequests(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	for i := range maxRequestsPerConn + 1 {
		_, _, err := make1(s.Host, get(fmt.Sprint(i)), patient)
		want(t, "error", err, nil)
	}
	want(t, "connections", s.conns.Load(), 2)
	want(t, "open", s.OpenConns(), 1)
}
