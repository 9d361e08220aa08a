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

// owner notes what becomes of it.
type owner struct {
	state    State
	listener *net.TCPListener
	refuses  error
	link     chan *Link
	serves   chan bool
	orphaned chan bool
}

func (o *owner) Release(_ context.Context, to *Link) (State, *net.TCPListener, error) {
	if o.refuses != nil {
		return State{}, nil, o.refuses
	}
	to.Notify(Outcome{ID: "early"}) // before the heir knows the state
	o.link <- to
	return o.state, o.listener, nil
}
func (o *owner) SuccessorServing() { o.serves <- true }
func (o *owner) SuccessorLost()  { o.orphaned <- true }
func (o *owner) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { io.WriteString(w, "served "+req.URL.Path) })
}

func newOwner(t *testing.T, dir string) *owner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &owner{listener: l.(*net.TCPListener), link: make(chan *Link, 1), serves: make(chan bool, 1), orphaned: make(chan bool, 1),
		state: State{InFlight: []InFlight{{"m", 0}}, RetryAfter: map[string]int64{"h": 7}, Ended: []Ended{{"p", 9}}, HostList: []byte(`{"full":true}`)}}
	s, err := Listen(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); s.Close() })
	return o
}

func testContext(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return c
}

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

// Listener, state and outcomes reach the heir, in order; no client is refused in between; the longest path will do.
func TestHandover(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long/", 30))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	o := newOwner(t, dir)
	addr := o.listener.Addr().String()
	h, err := Request(testContext(t), dir)
	if err != nil || h == nil {
		t.Fatal(h, err)
	}
	if !reflect.DeepEqual(h.State, o.state) {
		t.Errorf("state %+v, want %+v", h.State, o.state)
	}
	client, err := net.Dial("tcp", addr) // the owner has closed its own
	if err != nil {
		t.Fatal(err)
	}
	client.Close()
	if c, err := h.Listener.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	link := receive(t, o.link, "link")
	for i := range 1000 {
		link.Notify(Outcome{ID: fmt.Sprint(i), Elapsed: time.Duration(i)})
	}
	outcomes, left := make(chan Outcome, 2000), make(chan bool, 1)
	go func() { h.ReceiveOutcomes(t.Context(), func(o Outcome) { outcomes <- o }); left <- true }()
	receive(t, o.serves, "word that the heir serves")
	if first := receive(t, outcomes, "outcome"); first.ID != "early" {
		t.Errorf("first outcome %+v", first)
	}
	for i := range 1000 {
		if o := receive(t, outcomes, "outcome"); o.ID != fmt.Sprint(i) || o.Elapsed != time.Duration(i) {
			t.Fatalf("outcome %d is %+v", i, o)
		}
	}
	for !link.Flushed() { // it counts what is written, right after
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
	receive(t, left, "end of following")
	receive(t, o.orphaned, "word that the link has ended")
	h.Listener.Close()
	http.DefaultClient.CloseIdleConnections()
}

func TestRequestWithoutOwner(t *testing.T) {
	dir := t.TempDir()
	if h, err := Request(testContext(t), filepath.Join(dir, "none")); h != nil || err != nil {
		t.Errorf("no folder: %v, %v", h, err)
	}
	if h, err := Request(testContext(t), dir); h != nil || err != nil {
		t.Errorf("no socket: %v, %v", h, err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, socketName), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	if h, err := Request(testContext(t), dir); h != nil || err != nil {
		t.Errorf("the socket of a dead process: %v, %v", h, err)
	}
	o := newOwner(t, dir) // takes its place
	o.refuses = errors.New("the disk is full")
	var refused *RefusedError
	if h, err := Request(testContext(t), dir); h != nil || !errors.As(err, &refused) || !strings.Contains(err.Error(), "the disk is full") {
		t.Errorf("a refusal: %v, %v", h, err)
	}
}

// An owner whose heir goes, before or after it serves, is told so.
func TestOwnerLearnsThatSuccessorLeft(t *testing.T) {
	for name, serves := range map[string]bool{"before it serves": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			o := newOwner(t, dir)
			h, err := Request(testContext(t), dir)
			if err != nil {
				t.Fatal(err)
			}
			if serves {
				c, cancel := context.WithCancel(t.Context())
				go h.ReceiveOutcomes(c, func(Outcome) {})
				receive(t, o.serves, "word that the heir serves")
				cancel()
				h.Listener.Close()
			} else {
				h.Close()
			}
			receive(t, o.orphaned, "word that the heir has gone")
		})
	}
}

// An owner that breaks off in the middle is an error, not a state; so is noise.
func TestRequestFailsOnBrokenConnection(t *testing.T) {
	for name, says := range map[string]string{"nothing": "", "half a refusal": `{"error":`, "no listener": `L{"state":{}}`, "noise": "\x00\xff"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, err := net.Listen("unix", filepath.Join(dir, socketName))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err == nil {
					c.Read(make([]byte, 100))
					io.WriteString(c, says)
					c.Close()
				}
			}()
			if h, err := Request(testContext(t), dir); h != nil || err == nil {
				t.Errorf("%v, %v, want an error", h, err)
			}
		})
	}
}
