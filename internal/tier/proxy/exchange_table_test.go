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
	proofNotRun         proof = iota // it has not run there and never will: another host may get it, else 503 with Retry-After
	proofMayHaveRun                  // nothing is known: another host only where it may be repeated, else 502 or 504
	proofStreamStarted               // the same, but the head of a success came: a stream that passed some on is cut
	proofRan                         // it ran, and the answer is passed on as it is; where it may be repeated, not a 5xx
	proofDeniedByStatus              // it may have run, and the status would promise that it has not: it is not passed on
	proofRejected                    // it has not run for a fault of its own: the answer is passed on
	proofRace                        // it depends on what comes first, the reset or the request
)

// exchange is one way for an exchange with a host to go.
type exchange struct {
	name        string
	proof       proof
	status      int  // of the answer that stands or is a refusal; 504 where time runs out; 0 for 502
	bodyStarted bool // begun: some of the body came
	act         func(x *exchangeHost, c *call) bool
	accept      func(nc net.Conn) bool                // in place of act: on the connection's next bytes
	precededBy  func(x *exchangeHost, c *call) string // sent on the connection ahead of the next request's answer
	crosses     bool                                  // the end of the connection may cross the next request, which then may have run
	trailing    string                                // goes out with the whole answer
}

// exchangeHost is a host that acts by an exchange, and notes what it does.
type exchangeHost struct {
	host     string
	trailing string // goes out with the whole answer to request x, in one write, so that it is there when that is read
	*record
}

func (x *exchangeHost) head(c *call, status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%s", status, c.id(), header)
}

// respond answers respond, with a seal.
func (x *exchangeHost) respond(c *call, status int, header, body string) bool {
	seal, behind := x.recordResponse(c.id(), status, body, true), ""
	if c.id() == "x" {
		behind = x.trailing
	}
	c.raw(x.head(c, status, fmt.Sprintf("X-Host-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s", seal, header, len(body), body)) + behind)
	return true
}

// respondPartially answers with a seal and what is not all of it, and closes.
func (x *exchangeHost) respondPartially(c *call, status int, rest, body string) bool {
	seal := x.recordResponse(c.id(), status, body, false)
	c.raw(x.head(c, status, "X-Host-Seal: "+seal+"\r\n"+rest))
	return false
}

func (x *exchangeHost) recordRun(c *call) { x.recordRan(c.id(), x.host) }

// tcp gives the connection below a changed one.
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

// afterRun has a host run the request before it does the rest.
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

// exchanges are all ways: docs/design/014-host-exchanges.md has them as a table.
var exchanges = []exchange{
	// Ahead of an answer.
	{name: "reset at once", proof: proofRace, accept: resetConn},
	{name: "reset in the request line", proof: proofMayHaveRun, accept: readThen(1, resetConn)},
	{name: "close in the head", proof: proofMayHaveRun, accept: readThen(40, closeConn)},
	{name: "reset in the head", proof: proofMayHaveRun, accept: readThen(40, resetConn)},
	{name: "close after the request", proof: proofMayHaveRun, act: func(*exchangeHost, *call) bool { return false }},
	{name: "close while it runs", proof: proofMayHaveRun, act: afterRun(func(*exchangeHost, *call) bool { return false })},
	{name: "reset after the request", proof: proofMayHaveRun, act: func(_ *exchangeHost, c *call) bool { return resetConn(c.Conn) }},
	{name: "reset while it runs", proof: proofMayHaveRun, act: afterRun(func(_ *exchangeHost, c *call) bool { return resetConn(c.Conn) })},
	{name: "silence", proof: proofMayHaveRun, status: 504, act: func(_ *exchangeHost, c *call) bool { return hangs(c) }},
	{name: "silence while it runs", proof: proofMayHaveRun, status: 504, act: afterRun(func(_ *exchangeHost, c *call) bool { return hangs(c) })},
	// In an answer.
	{name: "garbage", proof: proofMayHaveRun, act: afterRun(sendRaw("\x00\x01 what\r\n\r\n"))},
	{name: "a status line without end", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 20"))},
	{name: "half a head", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Ho"))},
	{name: "two lengths", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Host-Seal: f\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nnot"))},
	{name: "an end that is not known", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Host-Seal: f\r\n\r\nnot"))},
	{name: "an unasked switch", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"))},
	{name: "interim answers alone", proof: proofMayHaveRun, act: afterRun(sendRaw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"))},
	{name: "a head alone", proof: proofStreamStarted, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 200, "Content-Length: 9\r\n\r\n", "")
	})},
	{name: "half a body", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
	})},
	{name: "a reset in the body", proof: proofStreamStarted, bodyStarted: true, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
		_ = tcp(c.Conn).CloseWrite() // so that what was sent is read ahead of the end
		return false
	})},
	{name: "silence in the body", proof: proofStreamStarted, bodyStarted: true, status: 504, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
		return hangs(c)
	})},
	{name: "silence in the body, its rest in the next one's place", proof: proofStreamStarted, bodyStarted: true, status: 504, act: afterRun(func(x *exchangeHost, c *call) bool {
		x.respondPartially(c, 200, "Content-Length: 9\r\n\r\nhalf", "half")
		if _, err := c.in.Peek(1); err != nil {
			return false
		}
		c.raw(" rest" + fmt.Sprintf(forged200, "after")) // the proxy has kept the connection for the next
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
	// Whole answers.
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
	{name: "503 not executed, then silence", proof: proofNotRun, act: func(_ *exchangeHost, c *call) bool {
		c.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: " + c.id() + "\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nha")
		return hangs(c)
	}},
	{name: "503 without a proof, then silence", proof: proofDeniedByStatus, status: 503, act: afterRun(func(x *exchangeHost, c *call) bool {
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
	// More than an answer.
	{name: "interim answers ahead", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		c.raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n")
		return x.respond(c, 200, "", "said 200")
	})},
	{name: "an extra answer ahead", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		c.raw(fmt.Sprintf(forged200, "other"))
		return x.respond(c, 200, "", "said 200")
	})},
	{name: "an extra answer behind", proof: proofRan, status: 200, act: respondsWith(200), trailing: fmt.Sprintf(forged200, "other")},
	{name: "an answer to the next behind", proof: proofRan, status: 200, act: respondsWith(200), trailing: fmt.Sprintf(forged200, "after")},
	{name: "garbage behind", proof: proofRan, status: 200, act: respondsWith(200), trailing: "\x00what"},
	{name: "an extra answer in the next one's place", proof: proofRan, status: 200, act: respondsWith(200),
		precededBy: func(_ *exchangeHost, _ *call) string { return fmt.Sprintf(forged200, "x") }},
	{name: "close told and done", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		return !x.respond(c, 200, "Connection: close\r\n", "said 200")
	})},
	{name: "close told, not done", proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool {
		return x.respond(c, 200, "Connection: close\r\n", "said 200")
	})},
	{name: "close behind an answer", crosses: true, proof: proofRan, status: 200, act: afterRun(func(x *exchangeHost, c *call) bool { return !x.respond(c, 200, "", "said 200") })},
}
