package mast

import (
	"strings"
	"testing"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool {
		c.answer(201, "X-Host-Load: 1,0,4\r\nX-Other: a b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", "the bytes")
		return true
	})
	f := newFront(t, h)
	a := f.do("POST", "/order/a%2Fb;x/../c?q=%zz&r=1", "a1", timeLeft+"X-Model: m\r\nConnection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nX-Target-Instance: forged\r\n", "body\x00\r\n")
	want(t, "status", a.status, 201)
	want(t, "body", a.body, "the bytes")
	want(t, "seal", a.header.Get("X-Host-Seal"), "seal")
	want(t, "id", a.header.Get("X-Attempt-Id"), "a1")
	want(t, "other header", a.header.Get("X-Other"), "a b")
	want(t, "header of the host's connection", a.header.Get("X-Hop"), "")
	got := h.gotten()
	for _, has := range []string{"POST /order/a%2Fb;x/../c?q=%zz&r=1 HTTP/1.1\r\n", "\r\nHost: shop.example\r\n", "\r\nX-Attempt-Id: a1\r\n",
		"\r\nX-Target-Instance: i-1\r\n", "\r\nX-Model: m\r\n", "\r\nContent-Length: 7\r\n", "\r\n\r\nbody\x00\r\n"} {
		if !strings.Contains(got, has) {
			t.Errorf("the host got %q, without %q", got, has)
		}
	}
	for _, no := range []string{"X-Mine", "Keep-Alive", "forged", "Connection"} {
		if strings.Contains(got, no) {
			t.Errorf("the host got %q, with %q", got, no)
		}
	}
}
