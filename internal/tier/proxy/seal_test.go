package proxy

import (
	"fmt"
	"testing"
)

// An error has the seal of a host only with the status of that host. A status that states that the request has not run is not
// passed on without a proof; the client gets an error of the proxy instead.
func TestSealOnlyWithStatusOfHost(t *testing.T) {
	for _, path := range []string{"/tool/x", "/order/x", "/stream/x", "/turn/x"} {
		for _, status := range []int{400, 402, 404, 408, 409, 410, 413, 429, 500, 501, 502, 503, 504, 507} {
			h := newHost(t, "i-1", func(c *call) bool { c.respond(status, "", "said"); return true })
			f := newFront(t, h)
			a := f.do("POST", path, "a", timeLeft, "x")
			what := fmt.Sprintf("%d on %s: answer", status, path)
			if map[int]bool{402: true, 408: true, 421: true, 429: true, 503: true}[status] {
				want(t, what, fmt.Sprint(a.status, a.header.Get("X-Host-Seal"), a.header.Get("Retry-After")), "502")
				continue
			}
			want(t, what, fmt.Sprint(a.status, a.header.Get("X-Host-Seal"), a.body), fmt.Sprint(status, "sealsaid"))
		}
	}
}

// A success without the seal of a host is a failure: its sender may have run the request.
func TestSuccessWithoutSealIsFailure(t *testing.T) {
	for path, wanted := range map[string]string{"/tool/x": "200 two 2", "/order/x": "502 1", "/stream/x": "502 1"} {
		calls := 0
		script := func(c *call) bool {
			if calls++; calls > 1 {
				c.respond(200, "", "two")
			} else {
				c.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 4\r\n\r\nfake")
			}
			return true
		}
		f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script))
		a := f.do("POST", path, "a", timeLeft, "x")
		got := fmt.Sprint(a.status, " ", calls)
		if a.status == 200 {
			got = fmt.Sprint(a.status, " ", a.body, " ", calls)
		}
		want(t, "answer on "+path, got, wanted)
	}
}

// The Connection field of a host cannot remove the seal from its response.
func TestSealIsEndToEnd(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", func(c *call) bool {
		c.respond(200, "Connection: X-Host-Seal, X-Attempt-Id\r\n", "yes")
		return true
	}))
	a := f.do("POST", "/order/x", "a", timeLeft, "x")
	want(t, "seal", a.header.Get("X-Host-Seal"), "seal")
	want(t, "id", a.header.Get("X-Attempt-Id"), "a")
}

// A rejection whose text is truncated is not passed on; as the request has not run, it is retried.
func TestTruncatedRejectionIsRetried(t *testing.T) {
	calls := 0
	script := func(c *call) bool {
		if calls++; calls == 1 {
			c.raw("HTTP/1.1 400 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nhal")
			return false
		}
		c.respond(200, "", "two")
		return true
	}
	f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script))
	a := f.do("POST", "/order/x", "a", timeLeft, "x")
	want(t, "answer", fmt.Sprint(a.status, a.body), "200two")
}
