package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
)

func caller() *Relay {
	return &Relay{hostSide: newTransport(time.Second, time.Minute, 7, 64)}
}

func oneCall(addr, body string) *call {
	return &call{host: &host{addr: addr}, body: []byte(body), key: "k", timeout: 20 * time.Second}
}

func outcome(r *Relay, ctx context.Context, c *call) choice.Outcome {
	ends, _, _ := r.exchange(ctx, c, []string{"m1"})
	return ends[0].outcome
}

// Guards against net/http sending a request again by itself: one with an Idempotency-Key goes out
// twice if its connection was kept from before and breaks. An empty body needs the guard too.
func TestNoResendAfterReset(t *testing.T) {
	for _, body := range []string{"hello", ""} {
		var got atomic.Int32
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					for in := bufio.NewReader(conn); ; {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						io.Copy(io.Discard, req.Body)
						if got.Add(1) == 2 {
							return // read whole, never answered
						}
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		r := caller()
		want(t, "first outcome", outcome(r, context.Background(), oneCall(l.Addr().String(), body)), choice.Served)
		want(t, "outcome of a call that breaks", outcome(r, context.Background(), oneCall(l.Addr().String(), body)), choice.Reset)
		want(t, "requests on the wire", got.Load(), 2)
	}
}

// Guards against calling it a reset where nothing can have run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	want(t, "outcome", outcome(caller(), context.Background(), oneCall(addr, "x")), choice.NoConnection)
}

// Guards against sending over a connection that came up only after its host began to drain.
func TestDrainWhileConnecting(t *testing.T) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	dial := r.hostSide.DialContext
	r.hostSide.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.host.closed.Store(true)
		return dial(ctx, network, addr)
	}
	want(t, "outcome", outcome(r, context.Background(), c), choice.NotSent)
	want(t, "requests", got.Load(), 0)
}

// Guards against mixing up the ends of a call that nobody answers.
func TestUnansweredCalls(t *testing.T) {
	came := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		came <- true
		<-req.Context().Done()
	}))
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	c.timeout = 50 * time.Millisecond
	if o := outcome(r, context.Background(), c); o != choice.Timeout {
		// A machine so busy that the request was not even written in time proves it never ran.
		want(t, "outcome", o, choice.NoConnection)
	} else {
		wait(t, came, "call")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.timeout = time.Minute
	go func() { <-came; cancel(errCalled) }()
	want(t, "outcome", outcome(r, ctx, c), choice.Cancelled)
}

func TestStatuses(t *testing.T) {
	for status, o := range map[int]end{200: {choice.Served, false}, 500: {choice.Error, false}, 429: {choice.Refused, false},
		503: {choice.Refused, false}, 504: {choice.NotSent, false}, 410: {choice.NotSent, true}, 418: {choice.Error, false}} {
		want(t, fmt.Sprint("end after ", status), single(&http.Response{StatusCode: status}, false), o)
	}
	over := &http.Response{StatusCode: 503, Header: http.Header{"X-Over-Slots": {"1"}}}
	want(t, "end without a slot", single(over, false), end{choice.NotSent, false})
	want(t, "end of a call too large", single(&http.Response{StatusCode: 413}, true), end{choice.NotSent, false})
}

// Guards against a connection for each message.
func TestConnectionsAreKept(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 10000))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	r := caller()
	for range 5 {
		want(t, "outcome", outcome(r, context.Background(), oneCall(s.Listener.Addr().String(), "x")), choice.Served)
	}
	want(t, "connections", conns.Load(), 1)
}

func TestBatch(t *testing.T) {
	bodies := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + "\n" + string(b)
		w.Header().Set("Retry-After", "0.5")
		io.WriteString(w, "a ok\r\nb error\r\nc later\r\nd gone\r\ne exhausted\r\n")
	}))
	defer s.Close()
	r := caller()
	r.began, r.inbox = time.Now(), make(chan func(), 1)
	r.calls = context.Background()
	c := &call{host: &host{addr: s.Listener.Addr().String()}}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		c.members = append(c.members, &message{entry: &entry{ID: id, Key: strings.Repeat("k", len(c.members)), Body: []byte("\r\n" + id)},
			due: time.Hour, over: true})
		c.sends = append(c.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
	}
	r.start(c)
	want(t, "start of the request", strings.HasPrefix(wait(t, bodies, "call"), "/receive-many\na - 3\r\n\r\na\r\nb k 3\r\n"), true)
	wait(t, r.inbox, "result")()
	var got []choice.Outcome
	for _, e := range r.events {
		got = append(got, e.(choice.Result).Outcome)
		want(t, "wait", e.(choice.Result).Wait, 500*time.Millisecond)
	}
	if !slices.Equal(got, []choice.Outcome{choice.Served, choice.Error, choice.Refused, choice.NotSent, choice.NotSent, choice.Error}) {
		t.Fatalf("outcomes %v", got)
	}
	want(t, "end of the fourth", r.events[3].(choice.Result).Done, true)
	want(t, "end of the fifth", r.events[4].(choice.Result).Done, false)
}

// Guards against a body over 64 KiB, which a host need not take: sends that do not fit one call go in another.
func TestLargeMessagesDoNotShareACall(t *testing.T) {
	r := caller()
	r.began, r.inbox, r.calls = time.Now(), make(chan func(), 10), context.Background()
	r.journal = open(t, t.TempDir(), 3e6)
	h := &host{id: "s-1", addr: "127.0.0.1:1", dest: 7, perCall: 5}
	r.hosts, r.held = map[string]*host{"s-1": h}, map[string]*message{}
	var sends []choice.Send
	for i, size := range []int{maxBody, maxBody / 2, 10} {
		id := fmt.Sprint("m", i)
		put(t, r.journal, taken(id, size))
		r.held[id] = &message{entry: r.journal.entries[id], due: time.Hour}
		sends = append(sends, choice.Send{ID: id, Host: "s-1", Timeout: time.Minute})
	}
	r.dispatch(sends)
	want(t, "calls", r.out, 2)
	want(t, "messages in the second", len(r.held["m1"].call.members), 2)
}

// Guards against taking a message for safe to repeat that a garbled answer says nothing sure of.
func FuzzBatchEnds(f *testing.F) {
	f.Add("a ok\r\nb later\r\n")
	f.Add("a  gone\nb")
	f.Add("\x00 ok\r\na exhausted")
	f.Fuzz(func(t *testing.T, body string) {
		ids := []string{"a", "b"}
		ends := batchEnds([]byte(body), ids)
		if len(ends) != len(ids) {
			t.Fatalf("%d ends for %d messages", len(ends), len(ids))
		}
		for i, e := range ends {
			if e.outcome != choice.Error && !strings.Contains(body, ids[i]) {
				t.Fatalf("%q is %v without being named", ids[i], e)
			}
		}
	})
}
