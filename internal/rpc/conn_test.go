package rpc

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"larchrouter/internal/standin/reservedport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	echo Method = iota + 1
	refuse
	wait
	note
	read
	nothing
	large
)

type line struct {
	N    int
	Text string
}

// bound ends a test that hangs; no test comes near it.
func bound(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// serve has calls handled and gives a client for them.
func serve(t *testing.T, handlers map[Method]Handler) (*Server, *Client) {
	s, l := NewServer(handlers), listen(t)
	c := NewClient(l.Addr().String())
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	t.Cleanup(func() { c.Close(); s.Close(); serving.Wait() })
	return s, c
}

func echoing(_ context.Context, body []byte) (any, error) {
	var l line
	err := Decode(body, &l)
	return l, err
}

// raw takes one connection, reads one frame and hands both over.
func raw(t *testing.T, l net.Listener, then func(c net.Conn, number uint64)) <-chan struct{} {
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _, number, _, err := readFrame(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
		}
		then(c, number)
	}()
	return done
}

func wantKind(t *testing.T, err, kind error, text string) {
	t.Helper()
	for _, k := range []error{ErrUnsent, ErrLost, ErrRemote} {
		if errors.Is(err, k) != (k == kind) { //nolint:errorlint // which of the kinds it is, no error of a call
			t.Fatalf("%v, want of kind %q only", err, kind)
		}
	}
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Fatalf("%v, want it to say %q", err, text)
	}
}

func TestCallsEnd(t *testing.T) {
	_, c := serve(t, map[Method]Handler{
		echo:    echoing,
		refuse:  func(context.Context, []byte) (any, error) { return nil, errors.New("not today: come tomorrow") },
		nothing: func(context.Context, []byte) (any, error) { return nil, nil },
		large:   func(context.Context, []byte) (any, error) { return struct{ B []byte }{make([]byte, MaxFrame)}, nil },
	})
	ctx := bound(t)
	for i := range 3 {
		var got line
		if err := c.Call(ctx, echo, &line{i, "ü"}, &got); err != nil || got != (line{i, "ü"}) {
			t.Fatal(got, err)
		}
	}
	wantKind(t, c.Call(ctx, refuse, line{}, new(line)), ErrRemote, "not today: come tomorrow")
	wantKind(t, c.Call(ctx, Method(200), line{}, nil), ErrRemote, "unknown call")
	if err := c.Call(ctx, nothing, nil, nil); err != nil {
		t.Fatal(err)
	}
	wantKind(t, c.Call(ctx, nothing, nil, new(line)), ErrLost, "version")
	wantKind(t, c.Call(ctx, echo, nil, new(line)), ErrRemote, "version")
	wantKind(t, c.Call(ctx, large, nil, nil), ErrRemote, "ask for less")
	wantKind(t, c.Call(ctx, echo, struct{ B []byte }{make([]byte, MaxFrame)}, nil), ErrUnsent, "send at most")
	wantKind(t, c.Notify(ctx, echo, struct{ B []byte }{make([]byte, MaxFrame)}), ErrUnsent, "send at most")
	if err := c.Call(ctx, echo, line{7, ""}, new(line)); err != nil {
		t.Fatal("after all that:", err)
	}
}

func TestAnswersComeInAnyOrder(t *testing.T) {
	first, entered := make(chan struct{}), make(chan struct{})
	_, c := serve(t, map[Method]Handler{echo: echoing, wait: func(ctx context.Context, body []byte) (any, error) {
		close(entered)
		<-first
		return echoing(ctx, body)
	}})
	ctx := bound(t)
	done := make(chan error, 1)
	var slow, quick line
	go func() { done <- c.Call(ctx, wait, line{1, "slow"}, &slow) }()
	<-entered
	if err := c.Call(ctx, echo, line{2, "quick"}, &quick); err != nil || quick.N != 2 {
		t.Fatal(quick, err)
	}
	close(first)
	if err := <-done; err != nil || slow.N != 1 {
		t.Fatal(slow, err)
	}
}

func TestEachCallerGetsItsAnswer(t *testing.T) {
	var conns atomic.Int32
	s, l := NewServer(map[Method]Handler{echo: echoing}), listen(t)
	counted := countingListener{l, &conns}
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(counted) })
	c := NewClient(l.Addr().String())
	ctx := bound(t)
	var all sync.WaitGroup
	for g := range 16 {
		all.Go(func() {
			for i := range 50 {
				want := line{g*1000 + i, strings.Repeat("x", i*i)}
				var got line
				if err := c.Call(ctx, echo, want, &got); err != nil || got != want {
					t.Errorf("%d was answered %d: %v", want.N, got.N, err)
				}
			}
		})
	}
	all.Wait()
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections were made", n)
	}
	c.Close()
	s.Close()
	serving.Wait()
}

type countingListener struct {
	net.Listener
	n *atomic.Int32
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.Add(1)
	}
	return c, err
}

func TestNoticesKeepTheirOrder(t *testing.T) {
	var told []int
	_, c := serve(t, map[Method]Handler{
		note: func(_ context.Context, body []byte) (any, error) {
			var l line
			err := Decode(body, &l)
			told = append(told, l.N)
			return l, err // dropped
		},
		read: func(context.Context, []byte) (any, error) { return line{len(told), fmt.Sprint(told)}, nil },
	})
	ctx := bound(t)
	var want []int
	for i := range 300 {
		want = append(want, i)
		if err := c.Notify(ctx, note, line{i, ""}); err != nil {
			t.Fatal(err)
		}
		if err := c.Notify(ctx, Method(200), line{}); err != nil { // nobody handles it
			t.Fatal(err)
		}
	}
	var got line
	if err := c.Call(ctx, read, nil, &got); err != nil || got.Text != fmt.Sprint(want) {
		t.Fatal(got, err)
	}
}

func TestAServerThatCloses(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	ctx := bound(t)
	gone := raw(t, l, func(nc net.Conn, _ uint64) { nc.Close() })
	wantKind(t, c.Call(ctx, echo, line{}, nil), ErrLost, "EOF")
	<-gone
	s := NewServer(map[Method]Handler{echo: echoing}) // the next one at the address
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	var got line
	if err := c.Call(ctx, echo, line{N: 4}, &got); err != nil || got.N != 4 {
		t.Fatal(got, err)
	}
	s.Close()
	serving.Wait()
}

func TestASilentServer(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	ctx, cancel := context.WithCancel(bound(t))
	raw(t, l, func(nc net.Conn, number uint64) {
		cancel()
		_, _, _, _, err := readFrame(bufio.NewReader(nc)) // the next call
		if err != nil {
			t.Error(err)
		}
		_, _ = nc.Write(frame(kindAnswer, echo, number, nil)) // too late, and nobody waits for it
		_, _ = nc.Write(frame(kindAnswer, echo, number+1, Encode(line{N: 5})))
		_, _, _, _, _ = readFrame(bufio.NewReader(nc))
		nc.Close()
	})
	err := c.Call(ctx, echo, line{}, new(line))
	wantKind(t, err, ErrLost, "canceled")
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	var got line
	if err := c.Call(bound(t), echo, line{}, &got); err != nil || got.N != 5 {
		t.Fatal(got, err)
	}
	c.Close()
}

func TestAServerThatDoesNotRead(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	ctx := bound(t)
	blocked := make(chan error, 1)
	go func() { blocked <- c.Call(ctx, echo, struct{ B []byte }{make([]byte, MaxFrame/2)}, nil) }()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := nc.Read(make([]byte, 1)); err != nil { // its write has begun
		t.Fatal(err)
	}
	short, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Call(short, echo, line{}, nil) }()
	for n := 0; n == 0 && ctx.Err() == nil; { // until the second is on the books
		c.mu.Lock()
		c.link.mu.Lock()
		if len(c.link.calls) == 2 {
			n = 2
		}
		c.link.mu.Unlock()
		c.mu.Unlock()
		runtime.Gosched()
	}
	cancel()
	wantKind(t, <-done, ErrUnsent, "canceled")
	select {
	case err := <-blocked:
		t.Fatal("the first gave up with the second:", err)
	default:
	}
	c.Close()
	wantKind(t, <-blocked, ErrLost, "")
}

func TestADeadPort(t *testing.T) {
	port, err := reservedport.Reserve() // nobody listens there, and nobody comes to
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	c := NewClient(port.Addr())
	defer c.Close()
	for range 3 { // by a refusal, or remembering one
		wantKind(t, c.Call(bound(t), echo, line{}, nil), ErrUnsent, "")
		wantKind(t, c.Notify(bound(t), echo, line{}), ErrUnsent, "")
	}
}

func TestACallWhoseTimeIsUp(t *testing.T) {
	var handled atomic.Int32
	_, c := serve(t, map[Method]Handler{echo: func(ctx context.Context, body []byte) (any, error) {
		handled.Add(1)
		return echoing(ctx, body)
	}})
	over, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		wantKind(t, c.Call(over, echo, line{}, nil), ErrUnsent, "canceled")
		wantKind(t, c.Notify(over, echo, line{}), ErrUnsent, "canceled")
	}
	if err := c.Call(bound(t), echo, line{}, new(line)); err != nil || handled.Load() != 1 {
		t.Fatal(handled.Load(), err)
	}
}

func TestClientThatIsClosed(t *testing.T) {
	entered := make(chan struct{})
	gone := make(chan struct{})
	_, c := serve(t, map[Method]Handler{wait: func(ctx context.Context, _ []byte) (any, error) {
		close(entered)
		<-ctx.Done() // ends with the connection
		close(gone)
		return nil, ctx.Err()
	}})
	done := make(chan error, 1)
	go func() { done <- c.Call(bound(t), wait, nil, nil) }()
	<-entered
	c.Close()
	wantKind(t, <-done, ErrLost, "")
	<-gone
	wantKind(t, c.Call(bound(t), echo, line{}, nil), ErrUnsent, "closed")
	wantKind(t, c.Notify(bound(t), echo, line{}), ErrUnsent, "closed")
}

func TestServerCloseWaitsForHandlers(t *testing.T) {
	entered := make(chan struct{})
	ended := false
	s, c := serve(t, map[Method]Handler{wait: func(ctx context.Context, _ []byte) (any, error) {
		close(entered)
		<-ctx.Done()
		ended = true
		return nil, nil
	}})
	done := make(chan error, 1)
	go func() { done <- c.Call(bound(t), wait, nil, nil) }()
	<-entered
	s.Close()
	if !ended {
		t.Fatal("Close came back before the handler ended")
	}
	wantKind(t, <-done, ErrLost, "")
	l := listen(t)
	s.Serve(l) // comes back at once
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatal("a closed server left its listener open:", err)
	}
}

func TestFramesOfOtherPrograms(t *testing.T) {
	huge := frame(kindCall, echo, 1, nil)
	copy(huge, []byte{4, 0, 0, 11}) // one byte more than MaxFrame allows
	short := frame(kindCall, echo, 1, nil)
	copy(short, []byte{0, 0, 0, 9})
	for _, c := range []struct {
		name string
		sent []byte
	}{{"oversize", huge}, {"shorter than a header", short}, {"of HTTP", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			s := NewServer(nil)
			var serving sync.WaitGroup
			serving.Go(func() { s.Serve(l) })
			nc, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := nc.Write(c.sent); err != nil {
				t.Fatal(err)
			}
			_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
			if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Fatal("the server kept the connection:", n, err)
			}
			nc.Close()
			s.Close()
			serving.Wait()

			other := listen(t)
			client := NewClient(other.Addr().String())
			defer client.Close()
			raw(t, other, func(nc net.Conn, _ uint64) {
				_, _ = nc.Write(c.sent)
				_, _ = nc.Read(make([]byte, 1)) // until the client closes
				nc.Close()
			})
			wantKind(t, client.Call(bound(t), echo, line{}, nil), ErrLost, "speaks as this program does")
		})
	}
}

func TestAFrameCutOff(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	raw(t, l, func(nc net.Conn, number uint64) {
		whole := frame(kindAnswer, echo, number, Encode(line{1, "text"}))
		_, _ = nc.Write(whole[:len(whole)-1])
		nc.Close()
	})
	wantKind(t, c.Call(bound(t), echo, line{}, new(line)), ErrLost, "unexpected EOF")
}

func TestFrames(t *testing.T) {
	body := []byte("body")
	kind, m, number, got, err := readFrame(bufio.NewReader(bytes.NewReader(frame(kindError, refuse, 1<<40+3, body))))
	if kind != kindError || m != refuse || number != 1<<40+3 || !bytes.Equal(got, body) || err != nil {
		t.Fatal(kind, m, number, got, err)
	}
}

// tired fails to accept at first, as it does when descriptors run out.
type tired struct {
	net.Listener
	fails int
}

func (l *tired) Accept() (net.Conn, error) {
	if l.fails--; l.fails >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

func TestAcceptThatFailsForAMoment(t *testing.T) {
	l := listen(t)
	s := NewServer(map[Method]Handler{echo: echoing})
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(&tired{l, 3}) })
	c := NewClient(l.Addr().String())
	if err := c.Call(bound(t), echo, line{}, new(line)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	l.Close() // by somebody else
	serving.Wait()
	s.Close()
}

func TestClients(t *testing.T) {
	_, c := serve(t, map[Method]Handler{echo: echoing})
	var all Clients
	one := all.To(c.addr)
	if all.To(c.addr) != one || all.To("127.0.0.1:1") == one {
		t.Fatal("not one client for each address")
	}
	if err := one.Call(bound(t), echo, line{}, new(line)); err != nil {
		t.Fatal(err)
	}
	all.Close()
	wantKind(t, one.Call(bound(t), echo, line{}, nil), ErrUnsent, "closed")
	wantKind(t, all.To("127.0.0.1:2").Call(bound(t), echo, line{}, nil), ErrUnsent, "closed")
}

func TestCloseUnderLoad(t *testing.T) {
	for range 20 {
		s, c := serve(t, map[Method]Handler{echo: echoing, note: echoing})
		ctx := bound(t)
		var all sync.WaitGroup
		answered := make(chan struct{}, 1)
		for g := range 8 {
			all.Go(func() {
				for i := 0; ; i++ {
					_ = c.Notify(ctx, note, line{i, ""})
					var got line
					err := c.Call(ctx, echo, line{i, ""}, &got)
					if err != nil {
						if !errors.Is(err, ErrLost) && !errors.Is(err, ErrUnsent) {
							t.Error(err)
						}
						return
					}
					if got.N != i {
						t.Errorf("goroutine %d: %d was answered %d", g, i, got.N)
					}
					select {
					case answered <- struct{}{}:
					default:
					}
				}
			})
		}
		<-answered
		s.Close()
		c.Close()
		all.Wait()
	}
}
