package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

func TestDeliversUnchanged(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	status, _ := hand(t, r.Addr(), "m1", "job-order", "X-Retry", "again")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m1")
	want(t, "key", c.key, "key-m1")
	want(t, "body", c.body, "body of m1")
	c.answer <- 200
}

// A message that a client repeats after its connection broke is not delivered twice.
func TestRepeatedIDIsAdmittedOnce(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	for range 2 {
		status, _ := hand(t, r.Addr(), "m1", "payment")
		want(t, "status", status, 202)
	}
	wait(t, calls, "call").answer <- 200
	status, _ := hand(t, r.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id of the next call", c.id, "m2")
	c.answer <- 200
	status, _ = hand(t, r.Addr(), "m1", "payment") // it has ended by now
	want(t, "status", status, 202)
	hand(t, r.Addr(), "m3", "payment")
	c = wait(t, calls, "call")
	want(t, "id of the next call", c.id, "m3")
	c.answer <- 200
}

// A message whose client has gone is not admitted.
func TestMessageOfGoneClientIsWithdrawn(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pending := make(chan int, 1)
	in := &admission{entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}, class: 2, deadline: r.now() + time.Second, ctx: ctx,
		reply: make(chan response, 1)}
	r.post(func() { r.admit(in); pending <- len(r.pending) })
	want(t, "pending messages", wait(t, pending, "count"), 0)
}

// A message that was submitted on two connections is not lost when the first one breaks.
func TestWithdrawKeepsResentMessage(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", "127.0.0.1:1", "taller")), nil)
	pending := make(chan int, 1)
	r.post(func() {
		for _, id := range []string{"once", "twice"} {
			r.pending[id] = &message{Entry: &journal.Entry{ID: id}, resent: id == "twice"}
			r.withdraw(id)
		}
		pending <- len(r.pending)
		delete(r.pending, "twice")
	})
	want(t, "pending messages", wait(t, pending, "count"), 1)
}

func TestMalformedRequests(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	for _, c := range [][2]string{{"X-Request-Id", ""}, {"X-Request-Id", "a b"}, {"X-Class", "nothing"}, {"X-Class", ""},
		{"X-Deadline-Ms", "0"}, {"X-Deadline-Ms", "-5"}, {"X-Deadline-Ms", "soon"}, {"X-Deadline-Ms", "99999999999999999999"},
		{"X-Addressing", ""}, {"X-Addressing", "dest=x"}, {"X-Addressing", "dest=8"}, {"Idempotency-Key", ""},
		{"X-Request-Id", strings.Repeat("x", maxTokenBytes+1)}} {
		if status, _ := hand(t, r.Addr(), "m1", "job-order", c[0], c[1]); status < 400 || status > 499 {
			t.Errorf("%s %q: status %d, want 4xx", c[0], c[1], status)
		}
	}
	req := httptest.NewRequest("POST", "/api", bytes.NewReader(make([]byte, maxBody+1)))
	for k, v := range map[string]string{"X-Request-Id": "m1", "X-Class": "payment", "X-Deadline-Ms": "9", "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	r.handler().ServeHTTP(w, req)
	want(t, "status of a body too long", w.Code, 413)
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "no HTTP at all\r\n\r\n")
	io.Copy(io.Discard, conn)
	conn.Close()
	status, _ := hand(t, r.Addr(), "m2", "payment")
	want(t, "status of a sound one", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

// No more messages are pending than the settings allow, and a rejection has Retry-After.
func TestFullRelayRejects(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")),
		func(c *Config) { c.Settings.MaxHeld = 1 })
	var status int
	var after string
	for i := range 3 {
		status, after = hand(t, r.Addr(), fmt.Sprint("m", i), "payment")
	}
	want(t, "status", status, 503)
	if s, err := strconv.ParseFloat(after, 64); err != nil || s <= 0 {
		t.Fatalf("Retry-After is %q", after)
	}
}

// No call is made before the end of a host's Retry-After, which may be fractional.
func TestRetryAfterIsObserved(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	hand(t, r.Addr(), "m1", "status-update")
	c := wait(t, calls, "call")
	answeredAt := time.Now()
	c.answer <- 429
	c = wait(t, calls, "second call")
	if gap := c.at.Sub(answeredAt); gap < 300*time.Millisecond {
		t.Fatalf("called again after %v, Retry-After was 300 ms", gap)
	}
	c.answer <- 200
}

// Nothing is sent to a host that the list withdraws while messages arrive.
func TestDrainingHostGetsNoNewCalls(t *testing.T) {
	calls := make(chan *seen, 10)
	a, b := at("s-1", fakeHost(t, "a", calls), "taller"), at("s-2", fakeHost(t, "b", calls), "almacen")
	p := newPlatform(t, a, b)
	r := startRelay(t, p, nil)
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = wait(t, p.asked, "watch")
	}
	a.State = "leaving"
	p.publish(2, false, a)
	for q := ""; !strings.Contains(q, "since=2&"); {
		q = wait(t, p.asked, "next watch") // requested after the change was applied
	}
	for i := range 5 {
		hand(t, r.Addr(), fmt.Sprint("m", i), "payment")
		c := wait(t, calls, "call")
		want(t, "host", c.host, "b")
		c.answer <- 200
	}
}

// A full list closes just the hosts that it does not contain, for calls about to begin.
func TestFullListClosesMissingHosts(t *testing.T) {
	r := &Relay{hosts: map[string]*host{}, destinationSeen: map[int]time.Duration{},
		sharedWaits: map[int]*httpcall.Waits{}, journal: &journal.Journal{},
		pool: httpcall.NewPool(time.Second, time.Minute, 64)}
	r.applyHostList(hostList{1, true, []hostEntry{at("s-1", "x:1", "taller"), at("s-2", "x:2", "taller"), at("s-3", "x:3", "taller")}})
	one, two, three := r.hosts["s-1"], r.hosts["s-2"], r.hosts["s-3"]
	r.applyHostList(hostList{2, true, []hostEntry{at("s-1", "x:1", "taller"), at("s-3", "x:9", "taller")}})
	want(t, "the one that stays is closed", one.Closed(), false)
	want(t, "the one left out is closed", two.Closed(), true)
	want(t, "the one that moved is closed at its old address", three.Closed(), true)
	want(t, "and open at the new one", r.hosts["s-3"].Closed(), false)
}

// While the disk is broken no attempt is sent, and each is reported as not sent.
func TestBrokenJournalSendsNothing(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	set := make(chan bool)
	r.post(func() {
		r.journal.Broken = errors.New("disk gone")
		close(set)
	})
	<-set
	status, _ := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, 503)
	r.post(func() { r.journal.Broken = nil })
	status, _ = hand(t, r.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

// Changes are not applied to another history of the list.
func TestOlderVersionIsResynced(t *testing.T) {
	p := newPlatform(t, at("s-1", "127.0.0.1:1", "taller"))
	startRelay(t, p, nil)
	for q := "x"; !strings.Contains(q, "since=1&"); {
		q = wait(t, p.asked, "watch")
	}
	p.publish(0, false)
	want(t, "query after an older version", wait(t, p.asked, "query"), "")
}

// A notice that the platform did not acknowledge is repeated.
func TestNoticeIsRepeated(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	p.fail = 2
	r := startRelay(t, p, nil)
	hand(t, r.Addr(), "m1", "payment")
	wait(t, calls, "call").answer <- 500 // it may have run, and must not run again
	n := wait(t, p.notices, "notice")
	want(t, "notice", n, notice{"m1", undeliverable, 0})
	owed := make(chan int)
	for {
		r.post(func() { owed <- r.pendingNotices + len(r.journal.Entries) })
		if wait(t, owed, "count") == 0 {
			break
		}
	}
}

func TestConfigErrors(t *testing.T) {
	p := newPlatform(t)
	good := string(testConfig(t, p))
	if _, err := readTestConfig(t, []byte(good), t.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{{`"listen"`, `"nothing"`}, {`"workers":7`, `"workers":0`}, {`"sockets":1024`, `"sockets":0`},
		{"{", "["}, {`"seed":"8`, `"seed":"x`}, {"deduplicated", "odd"}} {
		conf, err := readTestConfig(t, []byte(strings.Replace(good, c[0], c[1], 1)), t.TempDir())
		if err == nil {
			_, err = New(conf)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error is %v, want one line", c[1], c[0], err)
		}
	}
	if _, err := ReadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error without BALANCER_CONFIG")
	}
}

// The relay does not sleep past a deadline when a step for another reason comes just after a wake-up fell due, before its
// tick was read.
func TestOverdueWakeIsReplaced(t *testing.T) {
	r := &Relay{wakeTimer: time.NewTimer(time.Hour)}
	r.armWakeTimer(0, time.Nanosecond)
	r.armWakeTimer(time.Second, 50*time.Millisecond)
	want(t, "next wake-up", r.wakeAt, time.Second+50*time.Millisecond)
	begin := time.Now()
	<-r.wakeTimer.C
	if early := time.Since(begin) < 40*time.Millisecond; early {
		t.Fatal("the old tick came through")
	}
	r.armWakeTimer(2*time.Second, time.Second)
	r.armWakeTimer(2*time.Second, time.Minute)
	want(t, "earlier wake-up", r.wakeAt, 3*time.Second)
}
