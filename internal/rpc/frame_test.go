package rpc

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestInvalidFrames(t *testing.T) {
	huge := frame{kindCall, echo, 1, nil}.encode()
	copy(huge, []byte{4, 0, 0, 11}) // one byte more than MaxFrame allows
	short := frame{kindCall, echo, 1, nil}.encode()
	copy(short, []byte{0, 0, 0, 9})
	for _, c := range []struct {
		name string
		sent []byte
	}{{"oversize", huge}, {"shorter than a header", short}, {"of HTTP", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}} {
		t.Run(c.name+" to a server", func(t *testing.T) { checkServerCloses(t, c.sent) })
		t.Run(c.name+" to a client", func(t *testing.T) { checkCallIsLost(t, c.sent) })
	}
}

// checkServerCloses reports an error if a server keeps a connection on which it gets some bytes.
func checkServerCloses(t *testing.T, sent []byte) {
	t.Helper()
	l := listen(t)
	s := NewServer(nil)
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	nc, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Write(sent); err != nil {
		t.Fatal(err)
	}
	_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Fatal("the server kept the connection:", n, err)
	}
	nc.Close()
	s.Close()
	serving.Wait()
}

// checkCallIsLost reports an error if a call to which some bytes are the response does not end in ErrLost.
func checkCallIsLost(t *testing.T, sent []byte) {
	t.Helper()
	l := listen(t)
	client := NewClient(l.Addr().String())
	defer client.Close()
	serveRaw(t, l, func(nc net.Conn, _ uint64) {
		_, _ = nc.Write(sent)
		_, _ = nc.Read(make([]byte, 1)) // until the client closes
		nc.Close()
	})
	wantErrorClass(t, client.Call(testContext(t), echo, line{}, nil), ErrLost, "speaks as this program does")
}

func TestTruncatedFrame(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	serveRaw(t, l, func(nc net.Conn, number uint64) {
		response := frame{kindResponse, echo, number, Encode(line{1, "text"})}.encode()
		_, _ = nc.Write(response[:len(response)-1])
		nc.Close()
	})
	wantErrorClass(t, c.Call(testContext(t), echo, line{}, new(line)), ErrLost, "unexpected EOF")
}

func TestFrameRoundTrip(t *testing.T) {
	body := []byte("body")
	got, err := readFrame(bufio.NewReader(bytes.NewReader(frame{kindError, refuse, 1<<40 + 3, body}.encode())))
	if got.kind != kindError || got.method != refuse || got.number != 1<<40+3 || !bytes.Equal(got.body, body) || err != nil {
		t.Fatal(got, err)
	}
}
