package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// owner records the calls of its methods.
type owner struct {
	state    State
	listener *net.TCPListener
	refusal  error
	link     chan *Link
	serves   chan bool
	lost     chan bool
}

func (o *owner) Release(_ context.Context, to *Link) (State, *net.TCPListener, error) {
	if o.refusal != nil {
		return State{}, nil, o.refusal
	}
	to.Notify(Outcome{ID: "early"}) // before the successor has the state
	o.link <- to
	return o.state, o.listener, nil
}
func (o *owner) SuccessorServing() { o.serves <- true }
func (o *owner) SuccessorLost()    { o.lost <- true }
func (o *owner) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { io.WriteString(w, "served "+req.URL.Path) })
}

func newOwner(t *testing.T, dir string) *owner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &owner{
		listener: l.(*net.TCPListener), link: make(chan *Link, 1), serves: make(chan bool, 1), lost: make(chan bool, 1),
		state: State{
			InFlight: []InFlight{{"m", 0}}, RetryAfter: map[string]int64{"h": 7}, Ended: []Ended{{"p", 9}},
			HostList: []byte(`{"full":true}`),
		},
	}
	s, err := Listen(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); s.Close() })
	return o
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	c, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return c
}

// receive returns the next value of a channel, and fails the test if none comes in time.
func receive[T any](t *testing.T, ch chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// Listener, state and outcomes reach the successor in order, no client is refused in between, and a long path works.
func TestHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long/", 30))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	o := newOwner(t, dir)
	addr := o.listener.Addr().String()
	successor, err := Request(testContext(t), dir)
	if err != nil || successor == nil {
		t.Fatal(successor, err)
	}
	if !reflect.DeepEqual(successor.State, o.state) {
		t.Errorf("state %+v, want %+v", successor.State, o.state)
	}
	client, err := net.Dial("tcp", addr) // the owner has closed its own
	if err != nil {
		t.Fatal(err)
	}
	client.Close()
	if c, err := successor.Listener.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	link := receive(t, o.link, "link")
	for i := range 1000 {
		link.Notify(Outcome{ID: fmt.Sprint(i), Elapsed: time.Duration(i)})
	}
	outcomes, done := make(chan Outcome, 2000), make(chan bool, 1)
	go func() { successor.ReceiveOutcomes(t.Context(), func(o Outcome) { outcomes <- o }); done <- true }()
	receive(t, o.serves, "call of SuccessorServing")
	if first := receive(t, outcomes, "outcome"); first.ID != "early" {
		t.Errorf("first outcome %+v", first)
	}
	for i := range 1000 {
		if o := receive(t, outcomes, "outcome"); o.ID != fmt.Sprint(i) || o.Elapsed != time.Duration(i) {
			t.Fatalf("outcome %d is %+v", i, o)
		}
	}
	for !link.Flushed() { // it is updated right after the write
		time.Sleep(time.Millisecond)
	}
	resp, err := (&http.Client{Transport: Forwarder(dir)}).Get("http://relay/api/x")
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "served /api/x" {
		t.Errorf("forwarded: %q", body)
	}
	resp.Body.Close()
	link.Close()
	receive(t, done, "end of ReceiveOutcomes")
	receive(t, o.lost, "call of SuccessorLost")
	successor.Listener.Close()
	http.DefaultClient.CloseIdleConnections()
}

func TestRequestWithoutOwner(t *testing.T) {
	dir := t.TempDir()
	if successor, err := Request(testContext(t), filepath.Join(dir, "none")); successor != nil || err != nil {
		t.Errorf("no folder: %v, %v", successor, err)
	}
	if successor, err := Request(testContext(t), dir); successor != nil || err != nil {
		t.Errorf("no socket: %v, %v", successor, err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, socketName), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	if successor, err := Request(testContext(t), dir); successor != nil || err != nil {
		t.Errorf("socket of a dead process: %v, %v", successor, err)
	}
	o := newOwner(t, dir) // replaces the socket
	o.refusal = errors.New("the disk is full")
	var refused *RefusedError
	successor, err := Request(testContext(t), dir)
	if successor != nil || !errors.As(err, &refused) || !strings.Contains(err.Error(), "the disk is full") {
		t.Errorf("a refusal: %v, %v", successor, err)
	}
}

// SuccessorLost is called if the successor leaves before or after it serves.
func TestOwnerLearnsThatSuccessorLeft(t *testing.T) {
	for name, serves := range map[string]bool{"before it serves": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			o := newOwner(t, dir)
			successor, err := Request(testContext(t), dir)
			if err != nil {
				t.Fatal(err)
			}
			if serves {
				c, cancel := context.WithCancel(t.Context())
				go successor.ReceiveOutcomes(c, func(Outcome) {})
				receive(t, o.serves, "call of SuccessorServing")
				cancel()
				successor.Listener.Close()
			} else {
				successor.Close()
			}
			receive(t, o.lost, "call of SuccessorLost")
		})
	}
}

// A connection that breaks off, or carries something else, is an error and gives no state.
func TestRequestFailsOnBrokenConnection(t *testing.T) {
	for name, response := range map[string]string{
		"nothing": "", "half a refusal": `{"error":`, "no listener": `L{"state":{}}`, "noise": "\x00\xff",
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, err := net.Listen("unix", filepath.Join(dir, socketName))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err == nil {
					conn.Read(make([]byte, 100))
					io.WriteString(conn, response)
					conn.Close()
				}
			}()
			if successor, err := Request(testContext(t), dir); successor != nil || err == nil {
				t.Errorf("%v, %v, want an error", successor, err)
			}
		})
	}
}
