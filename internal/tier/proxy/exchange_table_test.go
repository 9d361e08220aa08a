package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// proof is what an exchange with a host proves about the request.
type proof int

const (
	proofNotRun         proof = iota // has not run and never will: retried on another host, else 503 with Retry-After
	proofMayHaveRun                  // nothing is proven: retried if idempotent, else 502 or 504
	proofStreamStarted               // the same, but the head of a success came: a stream of which some was passed on ends with the connection
	proofRan                         // it ran: the response is passed on unchanged, but a 5xx is retried if idempotent
	proofDeniedByStatus              // it may have run, but the status denies it: not passed on
	proofRejected                    // it has not run, for a fault of the request: the response is passed on
	proofRace                        // depends on a race between the reset and the request
)

// exchange is one way in which an exchange with a host can go.
type exchange struct {
	name        string
	hangs       bool // nothing more comes from the host
	proof       proof
	status      int  // of the response that is passed on; 504 for a time-out; 0 for 502
	bodyStarted bool // with proofStreamStarted: some of the body came
	act         func(x *exchangeHost, c *call) bool
	accept      func(nc net.Conn) bool                // instead of act: on the next bytes of the connection
	precededBy  func(x *exchangeHost, c *call) string // sent before the response to the next request on the connection
	crosses     bool                                  // the end of the connection may cross the next request, which then may have run
	trailing    string                                // sent with the complete response
}

// exchangeHost is a host that acts by an exchange and records what it does.
type exchangeHost struct {
	host     string
	trailing string // sent with the complete response to request x, in one write, so that it is received with it
	*record
}

func (x *exchangeHost) head(c *call, status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%s", status, c.id(), header)
}

// respond sends a complete response with a seal.
func (x *exchangeHost) respond(c *call, status int, header, body string) bool {
	seal, behind := x.recordResponse(c.id(), status, body, true), ""
	if c.id() == "x" {
		behind = x.trailing
	}
	c.raw(x.head(c, status, fmt.Sprintf("X-Host-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s", seal, header, len(body), body)) + behind)
	return true
}

// respondPartially sends a partial response with a seal, and closes the connection.
func (x *exchangeHost) respondPartially(c *call, status int, rest, body string) bool {
	seal := x.recordResponse(c.id(), status, body, false)
	c.raw(x.head(c, status, "X-Host-Seal: "+seal+"\r\n"+rest))
	return false
}

func (x *exchangeHost) recordRun(c *call) { x.recordRan(c.id(), x.host) }

// tcp returns the TCP connection of a host, also below a rewritingConn.
func tcp(nc net.Conn) *net.TCPConn {
	if m, ok := nc.(*rewritingConn); ok {
		nc = m.Conn
	}
	return nc.(*net.TCPConn)
}

func resetConn(nc net.Conn) bool { _ = tcp(nc).SetLinger(0); return false }

func readThen(n int, then func(nc net.Conn) bool) func(nc net.Conn) bool {
	return func(nc net.Conn) bool {
		_, _ = io.ReadFull(nc, make([]byte, n))
		return then(nc)
	}
}

func closeConn(net.Conn) bool { return false }

// afterRun returns an act of a host that runs the request before.
func afterRun(act func(x *exchangeHost, c *call) bool) func(x *exchangeHost, c *call) bool {
	return func(x *exchangeHost, c *call) bool { x.recordRun(c); return act(x, c) }
}

func sendRaw(text string) func(x *exchangeHost, c *call) bool {
	return func(_ *exchangeHost, c *call) bool { c.raw(strings.ReplaceAll(text, "ID", c.id())); return false }
}

func respondsWith(status int) func(x *exchangeHost, c *call) bool {
	return afterRun(func(x *exchangeHost, c *call) bool { return x.respond(c, status, "", fmt.Sprint("said ", status)) })
}

func rejectsWith(status int) func(x *exchangeHost, c *call) bool {
	return func(_ *exchangeHost, c *call) bool {
		c.raw(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno", status, c.id()))
		return true
	}
}

const (
	forged200 = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Host-Seal: forged\r\nContent-Length: 3\r\n\r\nnot"
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
)

// exchanges are all exchanges of the table in docs/design/014-host-exchanges.md.
var exchanges = []exchange{
	// Before a response.
	{name: "reset at once", proof: proofRace, accept: resetConn},
	{name: "reset in the request line", proof: proofMayHaveRun, accept: readThen(1, resetConn)},
	{name: "close in the head", proof: proofMayHaveRun, accept: readThen(40, closeConn)},
	{name: "reset in the head", proof: proofMayHaveRun, accept: readThen(40, resetConn)},
	{name: "close after the request", proof: proofMayHaveRun, act: func(*exchangeHost, *call) bool { return false }},
	{name: "close while it runs", proof: proofMayHaveRun, act: afterRun(func(*exchangeHost, *call) bool { return false })},
	{name: "reset after the request", proof: proofMayHaveRun, act: func(_ *exchangeHost, c *call) bool { return resetConn(c.Conn) }},
	{name: "reset while it runs", proof: proofMayHaveRun, act: afterRun(func(_ *exchangeHost, c *call) bool { return resetConn(c.Conn) })},
	{name: "no response", hangs: true, proof: proofMayHaveRun, status: 504, act: func(_ *exchangeHost, c *call) bool { return hangs(c) }},
	{name: "no response while it runs", hangs: true, proof: proofMayHaveRun, status: 504, act: afterRun(func(_ *exchangeHost, c *call) bool { return hangs(c) })},
	// In a response.
	{name: "garbage", proof: proofMayHaveRun, act: afterRun(sendRaw("\x00\x01 what\r\n\r\n"))},
	{name: "a status line without end", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 20"))},
	{name: "half a head", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Ho"))},
	{name: "two lengths", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Host-Seal: f\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nnot"))},
	{name: "an end that is not known", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Host-Seal: f\r\n\r\nnot"))},
	{name: "an unasked switch", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"))},
	{name: "interim responses alone", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"))},
	{name: "a head alone", proof: proofStreamStarted, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 200, "Content-Length: 9\r\n\r\n", "")
	})},
	{name: "half a body", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
	})},
	{name: "a reset in the body", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
		_ = tcp(c.Conn).CloseWrite() // so that what was sent is received before the end
		return false
	})},
	{name: "stall in the body", hangs: true, proof: proofStreamStarted, bodyStarted: true, status: 504, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
		return hangs(c)
	})},
	{name: "stall in the body, its rest as the next response", hangs: true, proof: proofStreamStarted, bodyStarted: true, status: 504, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
		if _, err := c.in.Peek(1); err != nil {
			return false
		}
		c.raw(" rest" + fmt.Sprintf(forged200, "after")) // the proxy has kept the connection alive for the next
		return true
	})},
	{name: "half a chunk", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool { return x.respondPartially(c, 200, chunked+"9\r\nhalf", "half") })},
	{name: "chunks without end", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 200, chunked+"4\r\nhalf\r\n", "half")
	})},
	{name: "an end without its blank line", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 200, chunked+"4\r\nhalf\r\n0\r\n", "half")
	})},
	{name: "half of a 500", proof: proofMayHaveRun, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 500, "Content-Length: 9\r\n\r\nhalf", "half")
	})},
	// Complete responses.
	{name: "200", proof: proofRan, status: 200, act: respondsWith(200)},
	{name: "200 in chunks", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		seal := x.recordResponse(c.id(), 200, "said 200", true)
		c.raw(x.head(c, 200, "X-Host-Seal: "+seal+"\r\n"+chunked+"4\r\nsaid\r\n4\r\n 200\r\n0\r\nX-Trailer: 1\r\n\r\n"))
		return true
	})},
	{name: "404", proof: proofRan, status: 404, act: respondsWith(404)},
	{name: "500", proof: proofRan, status: 500, act: respondsWith(500)},
	{name: "504", proof: proofRan, status: 504, act: respondsWith(504)},
	{name: "402 without a proof", proof: proofDeniedByStatus, status: 402, act: respondsWith(402)},
	{name: "408 without a proof", proof: proofDeniedByStatus, status: 408, act: respondsWith(408)},
	{name: "429 without a proof", proof: proofDeniedByStatus, status: 429, act: respondsWith(429)},
	{name: "503 without a proof", proof: proofDeniedByStatus, status: 503, act: respondsWith(503)},
	{name: "400 not executed", proof: proofRejected, status: 400, act: rejectsWith(400)},
	{name: "429 not executed", proof: proofNotRun, act: rejectsWith(429)},
	{name: "503 not executed", proof: proofNotRun, act: rejectsWith(503)},
	{name: "503 not executed, half of it", proof: proofNotRun, act: sendRaw("HTTP/1.1 503 X\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nha")},
	{name: "503 not executed, then a stall", proof: proofNotRun, act: func(_ *exchangeHost, c *call) bool {
		c.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: " + c.id() + "\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nha")
		return hangs(c)
	}},
	{name: "503 without a proof, then a stall", proof: proofDeniedByStatus, status: 503, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 503, "Content-Length: 9\r\n\r\nhalf", "half")
		return hangs(c)
	})},
	{name: "400 not executed, half of it", proof: proofNotRun, act: sendRaw("HTTP/1.1 400 X\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nha")},
	{name: "503 not executed, of no id", proof: proofMayHaveRun, act: sendRaw("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")},
	{name: "503 not executed, of another id", proof: proofMayHaveRun, act: sendRaw("HTTP/1.1 503 X\r\nX-Attempt-Id: other\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")},
	{name: "421, the address is another's", proof: proofNotRun, act: sendRaw("HTTP/1.1 421 X\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n")},
	{name: "421 of no id", proof: proofMayHaveRun, act: sendRaw("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")},
	{name: "200 without a seal", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 3\r\n\r\nnot"))},
	{name: "200 of no id", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Host-Seal: f\r\nContent-Length: 3\r\n\r\nnot"))},
	{name: "200 of another id", proof: proofMayHaveRun, act: afterRun(sendRaw(fmt.Sprintf(forged200, "other")))},
	// More than a response.
	{name: "interim responses ahead", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		c.raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n")
		return x.respond(c, 200, "", "said 200")
	})},
	{name: "an extra response ahead", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		c.raw(fmt.Sprintf(forged200, "other"))
		return x.respond(c, 200, "", "said 200")
	})},
	{name: "an extra response behind", proof: proofRan, status: 200, act: respondsWith(200), trailing: fmt.Sprintf(forged200, "other")},
	{name: "a response to the next behind", proof: proofRan, status: 200, act: respondsWith(200), trailing: fmt.Sprintf(forged200, "after")},
	{name: "garbage behind", proof: proofRan, status: 200, act: respondsWith(200), trailing: "\x00what"},
	{name: "an extra response as the next response", proof: proofRan, status: 200, act: respondsWith(200),
		precededBy: func(_ *exchangeHost, _ *call) string { return fmt.Sprintf(forged200, "x") }},
	{name: "close announced and done", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		return !x.respond(c, 200, "Connection: close\r\n", "said 200")
	})},
	{name: "close announced, not done", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respond(c, 200, "Connection: close\r\n", "said 200")
	})},
	{name: "close behind a response", crosses: true, proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool { return !x.respond(c, 200, "", "said 200") })},
}
