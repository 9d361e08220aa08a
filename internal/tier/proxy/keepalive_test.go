package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// The write deadline of a request ends with it: on a kept-alive connection, later responses are written after it has passed.
func TestWriteDeadlineEndsWithRequest(t *testing.T) {
	for name, c := range map[string]struct {
		header, body string
		wanted       string // the status lines that come
	}{
		"100 Continue":     {"X-Attempt-Id: b\r\nX-Time-Left-Ms: 100\r\nExpect: 100-continue\r\nContent-Length: 1\r\n", "x", "100 503"},
		"a faulty header":  {"X-Attempt-Id: b\r\nX-Time-Left-Ms: 100\r\nFinish-Ms: x\r\nContent-Length: 0\r\n", "", "400"},
		"faulty tokens":    {"X-Attempt-Id: b\r\nX-Token-Usage: x\r\nContent-Length: 0\r\n", "", "400"},
		"no identity":      {"Content-Length: 0\r\n", "", "400"},
		"a body too large": {"X-Attempt-Id: b\r\nExpect: 100-continue\r\nContent-Length: 100001\r\n", "", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, nil)
				want(t, "status of the one before", v.ask("/order/x", "a", "X-Time-Left-Ms: 100\r\n"), 503)
				time.Sleep(time.Second)
				_, _ = io.WriteString(v.client, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n"+c.header+"\r\n")
				statuses := ""
				for {
					response, err := http.ReadResponse(v.in, nil)
					if err != nil {
						t.Fatalf("%q, then %v, want %q", statuses, err, c.wanted)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					statuses += fmt.Sprint(response.StatusCode)
					if response.StatusCode != http.StatusContinue {
						break
					}
					statuses += " "
					_, _ = io.WriteString(v.client, c.body)
				}
				want(t, "statuses", statuses, c.wanted)
			})
		})
	}
}

// The response to HEAD has no body, also on a streaming route: no bytes are in the place of the next response.
func TestHeadOnStreamingRoute(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool {
		if c.req.Method == http.MethodHead {
			c.raw(streamHead(c))
			return true
		}
		return streams(c, event(1, "x"))
	})
	f := newFront(t, h)
	for _, path := range []string{"/stream/x", "/turn/x"} {
		c := f.dial()
		c.send(requestText(http.MethodHead, path, "a", turnHeader, ""))
		response, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodHead})
		if err != nil {
			t.Fatal(err)
		}
		want(t, "status", response.StatusCode, 200)
		c.send(requestText(http.MethodPost, path, "b", turnHeader, "x"))
		a := c.read()
		want(t, "status of the next, "+path, a.status, 200)
		want(t, "id of the next", a.header.Get("X-Attempt-Id"), "b")
		want(t, "body of the next", a.body, event(1, "x"))
	}
}

// The deadline of a pipelined request counts from its arrival, while the one before was served.
func TestPipelinedRequestDeadline(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"in one piece": 0, "while the first is served": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, nil)
				v.fill()
				const firstDeadline = 5 * time.Second
				begin := time.Now()
				first := requestText("POST", "/calm/high/x", "a", "X-Time-Left-Ms: 5000\r\n", "x")
				second := requestText("POST", "/calm/high/x", "b", "X-Time-Left-Ms: 6000\r\n", "x") +
					requestText("POST", "/calm/high/x", "c", "X-Time-Left-Ms: 7000\r\n", "x")
				go func() {
					if ahead == 0 {
						_, _ = io.WriteString(v.client, first+second)
						return
					}
					_, _ = io.WriteString(v.client, first)
					time.Sleep(ahead)
					_, _ = io.WriteString(v.client, second)
				}()
				for _, within := range []time.Duration{firstDeadline, ahead + 6*time.Second, ahead + 7*time.Second} {
					response, err := http.ReadResponse(v.in, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					want(t, "status", response.StatusCode, 503)
					if took := time.Since(begin); took > within {
						t.Errorf("answered after %v, want at most %v", took, within)
					}
				}
			})
		})
	}
}
