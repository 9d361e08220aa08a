package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newHost(t *testing.T, l *Ledger, behaviour Behaviour) *Host {
	t.Helper()
	h, err := NewHost("h", "z", l, behaviour, true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func dial(t *testing.T, h *Host) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c, bufio.NewReader(c)
}

func send(c net.Conn, id, key string) {
	fmt.Fprintf(c, "POST /receive HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\nhi", id, key)
}

func status(t *testing.T, in *bufio.Reader) (int, http.Header, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body)
}

// Each behaviour gives the outcome that the protocol names, and the effect is counted if it happened.
func TestBehaviours(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour Behaviour
		status    int
		effects   int
	}{
		"well":    {Behaviour{}, 200, 1},
		"wait":    {Behaviour{Refuse: true, RetryAfter: 500 * time.Millisecond}, 429, 0},
		"refuse":  {Behaviour{Refuse: true}, 503, 0},
		"fail":    {Behaviour{Fail: true}, 500, 1},
		"break":   {Behaviour{Break: true}, 0, 1},
		"latency": {Behaviour{Latency: 20 * time.Millisecond}, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(time.Minute)
			h := newHost(t, l, c.behaviour)
			conn, in := dial(t, h)
			begin := time.Now()
			send(conn, "m1", "k1")
			if c.status == 0 {
				if _, err := in.ReadByte(); err != io.EOF {
					t.Errorf("%v, want the end of the connection", err)
				}
			} else {
				got, header, _ := status(t, in)
				if got != c.status || c.behaviour.RetryAfter > 0 && header.Get("Retry-After") != "0.500" {
					t.Errorf("status %d, Retry-After %q", got, header.Get("Retry-After"))
				}
			}
			if took := time.Since(begin); took < c.behaviour.Latency {
				t.Errorf("answered after %v", took)
			}
			if n := l.Effects("m1"); n != c.effects {
				t.Errorf("%d effects, want %d", n, c.effects)
			}
			if calls := h.Calls(); len(calls) != 1 || calls[0].Applied != (c.effects == 1) || calls[0].FirstByte.After(calls[0].LastByte) {
				t.Errorf("calls %+v", calls)
			}
		})
	}
}

func TestLedger(t *testing.T) {
	l := NewLedger(time.Minute)
	a, b := &Host{Zone: "a"}, &Host{Zone: "b"}
	l.apply(message{id: "p"}, a)
	l.apply(message{id: "p"}, b)
	l.apply(message{id: "k", key: "x"}, a)
	l.apply(message{id: "k", key: "x"}, a) // dropped: the same zone
	if got := l.Repeated(func(string) bool { return true }); len(got) != 1 || got[0] != "p" {
		t.Errorf("repeated: %v, want p", got)
	}
	l.apply(message{id: "k", key: "x"}, b)
	if l.Effects("k") != 2 || l.Effects("p") != 2 {
		t.Errorf("effects %d and %d, want 2 and 2", l.Effects("k"), l.Effects("p"))
	}
	l.rotatedAt = l.rotatedAt.Add(-2 * l.retention) // effects of the previous period still count
	l.apply(message{id: "p"}, a)
	if total, dropped := l.Total(); l.Effects("p") != 3 || total != 5 || dropped != 1 {
		t.Errorf("%d effects, total %d, dropped %d", l.Effects("p"), total, dropped)
	}
}

func TestDownAndUp(t *testing.T) {
	h := newHost(t, NewLedger(0), Behaviour{})
	conn, in := dial(t, h)
	send(conn, "m1", "")
	status(t, in)
	h.Down()
	if _, err := in.ReadByte(); err == nil {
		t.Error("a connection outlives the host")
	}
	if c, err := net.Dial("tcp", h.Addr()); err == nil {
		c.Close()
		t.Error("a host that is down takes connections")
	}
	if err := h.Up(); err != nil {
		t.Fatal(err)
	}
	conn, in = dial(t, h)
	send(conn, "m2", "")
	if got, _, _ := status(t, in); got != 200 {
		t.Errorf("status %d after it is up again", got)
	}
}

// While a host was down, a connection of another program took its port, so that the host could not listen again.
func TestPortOfDownHostIsReserved(t *testing.T) {
	h := newHost(t, NewLedger(0), Behaviour{})
	other := newHost(t, NewLedger(0), Behaviour{})
	h.Down()
	local, err := net.ResolveTCPAddr("tcp4", h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	connection, err := (&net.Dialer{LocalAddr: local}).Dial("tcp4", other.Addr())
	if err == nil {
		defer connection.Close()
		t.Error("a connection took the port of a host that is down")
	}
	if err := h.Up(); err != nil {
		t.Error(err)
	}
}

func TestHangEndsWithTheBehaviour(t *testing.T) {
	l := NewLedger(0)
	h := newHost(t, l, Behaviour{Hang: true})
	conn, in := dial(t, h)
	send(conn, "m1", "")
	for l.Effects("m1") == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Set(Behaviour{})
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%v, want the end of the connection", err)
	}
}

func TestSeveralInACall(t *testing.T) {
	l := NewLedger(0)
	h := newHost(t, l, Behaviour{})
	conn, in := dial(t, h)
	body := "a - 2\r\nhi\r\nb k 0\r\n\r\n"
	fmt.Fprintf(conn, "POST /receive-many HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if got, _, text := status(t, in); got != 200 || text != "a ok\r\nb ok\r\n" {
		t.Errorf("status %d, %q", got, text)
	}
	for _, bad := range []string{"", "a - 5\r\nhi\r\n", "a - 0\r\n\r\na - 0\r\n\r\n", "a - x\r\n\r\n", "a"} {
		fmt.Fprintf(conn, "POST /receive-many HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(bad), bad)
		if got, _, _ := status(t, in); got != 400 {
			t.Errorf("%q: status %d, want 400", bad, got)
		}
	}
	if total, _ := l.Total(); total != 2 {
		t.Errorf("%d effects, want 2", total)
	}
}

// Of the calls whose last bytes are received in one second, CallsPerSecond are accepted. On a slow machine consecutive calls may be in
// different seconds.
func TestCallsASecond(t *testing.T) {
	l := NewLedger(0)
	h := newHost(t, l, Behaviour{CallsPerSecond: 2})
	conn, in := dial(t, h)
	most := 0 // in one second
	for n := 0; most < 3 && n < 300; n++ {
		send(conn, fmt.Sprint("m", n), "")
		got, header, _ := status(t, in)
		calls := h.Calls()
		last, before := calls[len(calls)-1], 0
		for _, c := range calls[:len(calls)-1] {
			if c.LastByte.Unix() == last.LastByte.Unix() {
				before++
			}
		}
		most = max(most, before+1)
		want := 200
		if before >= 2 {
			want = 429
		}
		if got != want || (header.Get("Retry-After") != "") != (want == 429) {
			t.Errorf("call %d of its second: status %d, Retry-After %q; want status %d", before+1, got, header.Get("Retry-After"), want)
		}
	}
	if most < 3 {
		t.Errorf("no second had 3 calls, but %d", most)
	}
}
