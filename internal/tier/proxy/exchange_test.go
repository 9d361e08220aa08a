package proxy

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// route is a route of testConfig.
type route struct {
	path, kind  string
	maxAttempts int
}

var routes = []route{{"/tool/x", "idempotent", 3}, {"/order/x", "non_idempotent", 3}, {"/stream/x", "streaming", 3}, {"/turn/x", "streaming", 2}}

// expected returns what the client has to get, as answer.summary has it; several results that are allowed are separated by "|". second
// reports whether another host would serve the request.
func (e *exchange) expected(r route, second bool) string {
	repeat := r.kind == "idempotent"
	broken := fmt.Sprint(max(e.status, 502))
	switch {
	case e.proof == proofRace && repeat && second, e.proof == proofNotRun && second:
		return "200 second"
	case e.proof == proofRace && repeat, e.proof == proofRace && !second:
		return "502|503 retry"
	case e.proof == proofRace:
		return "200 second|502"
	case e.proof == proofNotRun:
		return "503 retry"
	case e.proof == proofRejected:
		return "400 no"
	case e.proof == proofDeniedByStatus && (!repeat || !second || e.status < 500):
		return "502"
	case e.proof == proofRan && (!repeat || !second || e.status < 500):
		return fmt.Sprintf("%d said %d", e.status, e.status)
	case repeat && second:
		return "200 second"
	case e.proof == proofStreamStarted && e.bodyStarted && r.kind == "streaming":
		return "cut"
	}
	return broken
}

// summary returns what a client got: status and body of a host's response, status of the proxy's, or "cut".
func (a answer) summary() string {
	switch {
	case a.err != nil:
		return "cut"
	case a.header.Get("X-Host-Seal") != "" || a.status == 400:
		return fmt.Sprint(a.status, " ", a.body)
	case a.header.Get("Retry-After") != "":
		return fmt.Sprint(a.status, " retry")
	}
	return fmt.Sprint(a.status)
}

// exchangeTest is a front with two hosts for one exchange.
type exchangeTest struct {
	*front
	*record
	hosts      []*host // that act by the exchange
	secondAddr string  // of the host that is picked second
	fault      plantedFault
}

// plantedFault is a fault of a proxy, planted in the bytes between it and the others. The zero value is none.
type plantedFault struct {
	toHost     func(s *exchangeTest, x *exchangeHost, c *call) // called with a request that a host got
	fromHost   func(id string, b []byte) []byte                // rewrites a response of a host
	fromClient func(a answer) answer                           // rewrites a response to the client
}

// rewritingConn is a connection of a host that rewrites what is written.
type rewritingConn struct {
	net.Conn
	change func(b []byte) []byte
}

func (m *rewritingConn) Write(b []byte) (int, error) {
	if _, err := m.Conn.Write(m.change(b)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// newExchangeTest has host i-1, which is picked first, act by the exchange for request x; and host i-2 too, if everywhere.
func newExchangeTest(t *testing.T, e *exchange, everywhere bool, p plantedFault) *exchangeTest {
	t.Helper()
	s := &exchangeTest{record: newRecord(), fault: p}
	script := func(x *exchangeHost, acts bool) func(c *call) bool {
		return func(c *call) bool {
			x.recordReceived(c.id(), x.host)
			if p.fromHost != nil {
				c.Conn = &rewritingConn{c.Conn, func(b []byte) []byte { return p.fromHost(c.id(), b) }}
			}
			if p.toHost != nil {
				p.toHost(s, x, c)
			}
			switch {
			case c.id() == "x" && acts && e.act != nil:
				return e.act(x, c)
			case c.id() == "ahead" && acts && e.accept != nil:
				x.recordRun(c)
				x.respond(c, 200, "Keep-Alive: timeout=20\r\n", "second")
				return e.accept(c.Conn)
			case c.id() == "after" && acts && e.precededBy != nil:
				c.raw(e.precededBy(x, c))
			}
			x.recordRun(c)
			return x.respond(c, 200, "Keep-Alive: timeout=20\r\n", "second")
		}
	}
	first := newHost(t, "i-1", script(&exchangeHost{"i-1", e.trailing, s.record}, true))
	second := newHost(t, "i-2", script(&exchangeHost{"i-2", e.trailing, s.record}, everywhere))
	first.capacity = 99
	s.front = newFront(t, first, second)
	s.hosts, s.secondAddr = []*host{first}, second.addr
	if everywhere {
		s.hosts = append(s.hosts, second)
	}
	return s
}

// setAccept has new connections to the hosts act by the exchange.
func (s *exchangeTest) setAccept(e *exchange) {
	for _, h := range s.hosts {
		h.mu.Lock()
		h.accept = e.accept
		h.mu.Unlock()
	}
}

// request sends a request on a connection of its own and records the response.
func (s *exchangeTest) request(r route, id, header string) answer {
	a := s.do("POST", r.path, id, header, "the body of the request, longer than a few bytes")
	if s.fault.fromClient != nil {
		a = s.fault.fromClient(a)
	}
	s.recordObserved(observed{id, r.kind, r.maxAttempts, a})
	return a
}

// runExchange runs an exchange: a request before it if the connection is to be reused, the request, and one after it.
func runExchange(t *testing.T, e *exchange, r route, kept, everywhere bool, p plantedFault) (answer, []string) {
	t.Helper()
	s := newExchangeTest(t, e, everywhere, p)
	if kept {
		want(t, "status of the one before", s.request(r, "ahead", timeLeft).status, 200)
	}
	s.setAccept(e)
	left := timeLeft
	if e.hangs {
		s.oracle.timeout = 200 * time.Millisecond // after which an idempotent call is restarted
		if r.kind != "idempotent" || everywhere {
			left = "X-Time-Left-Ms: 150\r\n"
		}
	}
	a := s.request(r, "x", left)
	after := s.request(r, "after", timeLeft)
	s.Server.Close()
	faults := s.violations()
	if e.accept == nil && !e.crosses && after.summary() != "200 second" { // it reaches a host that serves it
		faults = append(faults, "AFTER: the next request gets "+after.summary())
	}
	return a, faults
}

// All exchanges, for each kind of route, on new and reused connections, with and without another host that would serve: the
// client gets what the proof allows, no rule is violated, and the request after it gets its own response.
func TestExchanges(t *testing.T) {
	for i := range exchanges {
		e := &exchanges[i]
		t.Run(e.name, func(t *testing.T) {
			for _, r := range routes {
				for _, kept := range []bool{false, true} {
					for _, everywhere := range []bool{false, true} {
						a, faults := runExchange(t, e, r, kept, everywhere, plantedFault{})
						what := fmt.Sprintf("%s, reused %v, everywhere %v", r.path, kept, everywhere)
						if allowed := e.expected(r, !everywhere); !strings.Contains("|"+allowed+"|", "|"+a.summary()+"|") {
							t.Errorf("%s: the client gets %q, want %q", what, a.summary(), allowed)
						}
						for _, f := range faults {
							t.Errorf("%s: %s", what, f)
						}
					}
				}
			}
		})
	}
}

// A response that is truncated after any of its bytes does not look complete, a request that is not idempotent is not retried,
// and the requests after it get their own responses.
func TestTruncatedResponseIsNotPassedOn(t *testing.T) {
	for _, framing := range []string{"Content-Length: 8\r\n\r\nsaid 200", chunked + "4\r\nsaid\r\n4\r\n 200\r\n0\r\n\r\n"} {
		for _, r := range routes {
			rec := newRecord()
			script := func(host string) func(c *call) bool {
				x := &exchangeHost{host: host, record: rec}
				return func(c *call) bool {
					x.recordReceived(c.id(), host)
					x.recordRun(c)
					var cut int
					if _, err := fmt.Sscanf(c.id(), "cut%d", &cut); err != nil {
						return x.respond(c, 200, "", "whole")
					}
					text := x.head(c, 200, "X-Host-Seal: "+x.recordResponse(c.id(), 200, "said 200", false)+"\r\n"+framing)
					c.raw(text[:min(cut, len(text)-1)])
					return false
				}
			}
			f := newFront(t, newHost(t, "i-1", script("i-1")), newHost(t, "i-2", script("i-2")))
			for cut := range 100 + len(framing) {
				for _, id := range []string{fmt.Sprint("cut", cut), fmt.Sprint("whole", cut)} {
					a := f.do("POST", r.path, id, timeLeft, "x")
					rec.recordObserved(observed{id, r.kind, r.maxAttempts, a})
					if cuts := strings.HasPrefix(id, "cut"); cuts != (a.status != 200 || a.err != nil) {
						t.Errorf("%s on %s: %d, %v", id, r.path, a.status, a.err)
					}
				}
			}
			f.Server.Close()
			for _, fault := range rec.violations() {
				t.Error(fault)
			}
		}
	}
}

// The design note has each exchange of the table.
func TestDesignNoteHasAllExchanges(t *testing.T) {
	b, err := os.ReadFile("../../../docs/design/014-host-exchanges.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.ReplaceAll(string(b), " | ", "; ; ")
	for _, e := range exchanges {
		if !strings.Contains(rows, "; "+e.name+";") && !strings.Contains(rows, "; "+e.name+" (") {
			t.Errorf("the note has no exchange %q", e.name)
		}
	}
}
