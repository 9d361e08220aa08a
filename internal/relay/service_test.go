package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/testbin"
)

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn
}

// answered reads the status and header of a raw response, and whether the relay closed the connection after it.
func answered(t *testing.T, conn net.Conn) (status int, header http.Header, closed bool) {
	t.Helper()
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	if resp.Close {
		rest, _ := io.ReadAll(in)
		want(t, "further bytes", string(rest), "")
	}
	return resp.StatusCode, resp.Header, resp.Close
}

func request(id, more, body string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: payment\r\nX-Deadline-Ms: 15000\r\n" +
		"X-Addressing: dest=7\r\n" + more + "\r\n" + body
}

// A request hidden in the body of another is not served, whatever the stated lengths leave over.
func TestSmuggledRequestIsNotServed(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	hidden := request("hidden", "Content-Length: 1\r\n", "x")
	chunked := fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", 5+len(hidden))
	for name, text := range map[string]string{
		"both":        request("outer", chunked, "0\r\n\r\n"+hidden),
		"elsewhere":   strings.Replace(request("outer", chunked, "0\r\n\r\n"+hidden), "/api", "/nothing", 1),
		"chunked":     request("outer", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden),
		"HTTP/1.0":    strings.Replace(request("outer", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n", hidden), "/1.1", "/1.0", 1),
		"two codings": request("outer", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", hidden),
	} {
		conn := dial(t, r.Addr())
		io.WriteString(conn, text)
		status, _, closed := answered(t, conn)
		if status < 400 || !closed {
			t.Errorf("%s: status %d, closed %v, want an error and a close", name, status, closed)
		}
	}
	hand(t, r.Addr(), "m1", "payment")
	c := wait(t, calls, "call")
	want(t, "id of the first call", c.id, "m1")
	c.answer <- 200
}

// A body whose stated length is too large is not waited for.
func TestLongBodyIsRejectedAtOnce(t *testing.T) {
	r := startRelay(t, newPlatform(t), nil)
	conn := dial(t, r.Addr())
	io.WriteString(conn, request("m1", "Content-Length: 60000000\r\n", ""))
	status, _, closed := answered(t, conn)
	want(t, "status", status, 413)
	want(t, "closed", closed, true)
}

// An incomplete request does not keep its connection for longer than a client is owed a response.
func TestHalfRequestIsEndedSoon(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", "127.0.0.1:1", "taller")), nil)
	begin := time.Now()
	body, head := dial(t, r.Addr()), dial(t, r.Addr())
	io.WriteString(body, request("m1", "Content-Length: 10\r\n", "half"))
	io.WriteString(head, "POST /api HTTP/1.1\r\nHo")
	status, _, closed := answered(t, body)
	want(t, "status", status, 400)
	want(t, "closed", closed, true)
	io.Copy(io.Discard, head)
	if elapsed := time.Since(begin); elapsed > 4*time.Second {
		t.Fatalf("the connections were open for %v, 3 s are allowed", elapsed)
	}
}

// Silent and idle connections do not keep others from being accepted.
func TestIdleClientsAreEvicted(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), func(c *Config) { c.Sockets = 64 })
	silent := make([]net.Conn, 40)
	for i := range silent {
		silent[i] = dial(t, r.Addr())
	}
	conn := dial(t, r.Addr())
	io.WriteString(conn, request("m1", "Content-Length: 1\r\n", "x"))
	status, _, _ := answered(t, conn)
	want(t, "status", status, 202)
	silent[0].SetReadDeadline(time.Now().Add(readTimeout / 2)) // it was closed to make room, not by a time-out
	if _, err := silent[0].Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Fatalf("the oldest silent connection: %v, want its end", err)
	}
	wait(t, calls, "call").answer <- 200
}

// Another client's message is neither taken for the one with its id, nor does it affect it.
func TestForeignMessageWithPendingID(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	status, _ := hand(t, r.Addr(), "m1", "job-order")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	for range 2 {
		status, _ = hand(t, r.Addr(), "m1", "job-order", "Idempotency-Key", "other")
		want(t, "status of another message with that id", status, 409)
		c.answer <- 200
		hand(t, r.Addr(), "m2", "payment") // the next call comes after the first one's end
		c = wait(t, calls, "call")
		want(t, "id of the next call", c.id, "m2")
		status, _ = hand(t, r.Addr(), "m1", "job-order")
		want(t, "status of the same message", status, 202)
		return
	}
}

// Memory for pending bodies is bounded.
func TestBodiesHaveABudget(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), func(c *Config) { c.MemoryMB = 0.5 })
	body := strings.Repeat("x", 40<<10)
	post := func(id string) (int, http.Header) {
		conn := dial(t, r.Addr())
		io.WriteString(conn, request(id, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body))
		status, header, _ := answered(t, conn)
		return status, header
	}
	status, _ := post("m1")
	want(t, "status", status, 202)
	first := wait(t, calls, "call")
	status, header := post("m2")
	want(t, "status over the budget", status, 503)
	want(t, "Retry-After", header.Get("Retry-After"), "1.000")
	first.answer <- 200
	for status != 202 { // as soon as the first has ended
		status, _ = post("m3")
	}
	wait(t, calls, "call").answer <- 200

	r = &Relay{maxBodyBytes: 5 << 10}
	if _, err := r.readBody(strings.NewReader(body), len(body)); err != errNoBodyMemory { //nolint:errorlint // as it is: clients get its text
		t.Fatalf("error is %v, want no room", err)
	}
	if _, err := r.readBody(strings.NewReader("short"), 60<<10); err != io.ErrUnexpectedEOF { //nolint:errorlint // as it comes from the reader
		t.Fatalf("error is %v, want an early end", err)
	}
	want(t, "bytes of bodies being read", r.readingBytes.Load(), 0)
}

// The loop does not block when there are more notices than fit anywhere.
func TestNoticesNeverBlock(t *testing.T) {
	o := newOutbox()
	for range 100_000 {
		o.put(notice{"m", deferred, 0})
	}
	n := 0
	for len(o.ready) > 0 {
		<-o.ready
		n += len(o.take())
	}
	want(t, "notices", n, 100_000)
}

// A notice that is always rejected does not block the others.
func TestRejectedNoticeDoesNotBlockOthers(t *testing.T) {
	notified := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if bytes.Contains(body, []byte(`"bad"`)) {
			w.WriteHeader(400)
			return
		}
		for dec := json.NewDecoder(bytes.NewReader(body)); ; {
			var n notice
			if dec.Decode(&n) != nil {
				break
			}
			notified <- n.ID
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(s.CloseClientConnections)
	r := startRelay(t, newPlatform(t), func(c *Config) { c.Discovery = []string{s.Listener.Addr().String()} })
	r.post(func() {
		for _, id := range []string{"a", "bad", "b"} {
			r.queueNotice(notice{id, undeliverable, 0}, "")
		}
	})
	want(t, "first", wait(t, notified, "notice"), "a")
	want(t, "second", wait(t, notified, "notice"), "b")
}

// State does not grow when ids of hosts are never reused.
func TestGoneHostsAreForgotten(t *testing.T) {
	long := time.Now().Add(-time.Hour).UnixMilli()
	r := &Relay{hosts: map[string]*host{}, destinationSeen: map[int]time.Duration{},
		sharedWaits: map[int]*httpcall.Waits{},
		journal: newJournal(t, journal.Record{Op: journal.OpHealth, ID: "s-0", Ran: true, At: long},
			journal.Record{Op: journal.OpHealth, ID: "s-1", Ran: true, At: long}),
		startedAt: time.Now().Add(-time.Hour), pool: httpcall.NewPool(time.Second, time.Minute, 64)}
	r.destinationSeen[6] = 0
	r.applyHostList(hostList{1, true, []hostEntry{at("s-1", "x:1", "nowhere")}})
	r.flush()
	want(t, "the gone one's outage is kept", r.journal.Unhealthy["s-0"].Ran, false)
	want(t, "the listed one's outage is kept", r.journal.Unhealthy["s-1"].Ran, true)
	want(t, "destination 6 is known", r.knownDestination(6), false)
	want(t, "destination 7 is known", r.knownDestination(7), true)
	first, again := r.zoneNumber("nowhere"), r.zoneNumber("nowhere")
	want(t, "the number of an unnamed zone, asked again", again, first)
	want(t, "two unnamed zones share a number", r.zoneNumber("a") == r.zoneNumber("b"), false)
	want(t, "zones", len(r.settings.Zones), 0)
}

// SIGHUP does not end the process, and moves the list and the notices to the new address of discovery.
func TestReload(t *testing.T) {
	calls := make(chan *seen, 10)
	old := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	next := newPlatform(t, at("s-2", fakeHost(t, "b", calls), "taller"))
	path, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	config, state := filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	write := func(data []byte) {
		if err := os.WriteFile(config, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	logs := make(chan string, 1000)
	start := func() (*exec.Cmd, string) {
		cmd := exec.Command(path)
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_STATE="+state, "BALANCER_DISCOVERY="+old.addr())
		out, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		go func() {
			for s := bufio.NewScanner(out); s.Scan(); {
				logs <- s.Text()
			}
		}()
		for {
			if _, addr, ok := strings.Cut(wait(t, logs, "log"), "addr="); ok {
				return cmd, addr
			}
		}
	}
	write(testConfig(t, old))
	cmd, addr := start()
	hangup := func(until string) {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for !strings.Contains(wait(t, logs, "log"), until) {
		}
	}
	deliver := func(id, from string) {
		status, _ := hand(t, addr, id, "payment")
		want(t, "status", status, 202)
		c := wait(t, calls, "call")
		want(t, "host", c.host, from)
		c.answer <- 500 // its notice is pending
	}
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = wait(t, old.asked, "watch")
	}
	notified := func(p *platform, id, before string) { // the previous one may be repeated until the relay has read its answer
		t.Helper()
		for got := ""; got != id; {
			if got = wait(t, p.notices, "notice").ID; got != id && got != before {
				t.Fatalf("notice is %s, want %s, or %s again", got, id, before)
			}
		}
	}
	deliver("m0", "a")
	notified(old, "m0", "")
	deliver("m1", "a")
	notified(old, "m1", "m0") // notices are posted one after the other: m0's is acknowledged, and may not be repeated

	write([]byte("{"))
	hangup("not read again")
	write(testConfig(t, next))
	hangup("read again")
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = wait(t, next.asked, "watch at the new address")
	}
	deliver("m2", "b")
	notified(next, "m2", "m1")

	// The environment still names the old address, where nobody listens any more.
	cmd.Process.Kill()
	cmd.Wait()
	old.CloseClientConnections()
	old.Listener.Close()
	_, addr = start()
	for len(next.asked) > 0 {
		<-next.asked
	}
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = wait(t, next.asked, "watch after the restart")
	}
	deliver("m3", "b")
	for wait(t, next.notices, "notice").ID != "m3" { // m2's may be repeated: the kill came before its end was recorded
	}
}

// settled waits until all notices are acknowledged; all that came meanwhile must be repetitions of one.
func settled(t *testing.T, r *Relay, p *platform, again string) {
	t.Helper()
	for owed := -1; owed != 0; {
		var err error
		if owed, err = onLoop(t.Context(), r, func() int { return r.pendingNotices }); err != nil {
			t.Fatal(err)
		}
	}
	for len(p.notices) > 0 {
		want(t, "a notice that comes again", (<-p.notices).ID, again)
	}
}

// A notice that was read at the old address and not answered is posted at the new one, and one that was answered is not.
func TestUnansweredNoticeGoesToNewAddress(t *testing.T) {
	calls := make(chan *seen, 10)
	host := at("s-1", fakeHost(t, "a", calls), "taller")
	old, next := newPlatform(t, host), newPlatform(t, host)
	r := startRelay(t, old, nil)
	undelivered := func(id string) {
		t.Helper()
		status, _ := hand(t, r.Addr(), id, "payment")
		want(t, "status", status, 202)
		wait(t, calls, "call").answer <- 500
	}
	undelivered("answered")
	want(t, "notice", wait(t, old.notices, "notice").ID, "answered")
	settled(t, r, old, "answered")
	old.mu.Lock()
	old.silent = true
	old.mu.Unlock()
	undelivered("unanswered")
	want(t, "notice", wait(t, old.notices, "notice").ID, "unanswered")
	r.Rediscover([]string{next.addr()})
	want(t, "notice at the new address", wait(t, next.notices, "notice").ID, "unanswered")
	settled(t, r, next, "unanswered")
}

// A relay whose disk is full answers 503 and goes on.
func TestFullDiskRejects(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	set := func(budget int64) (old int64) {
		was := make(chan int64)
		r.post(func() {
			was <- r.journal.Budget()
			r.journal.SetBudget(budget)
		})
		return wait(t, was, "budget")
	}
	old := set(1000)
	status, _ := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, 503)
	set(old)
	status, _ = hand(t, r.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}
