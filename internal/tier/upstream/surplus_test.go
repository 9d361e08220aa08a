package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
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
