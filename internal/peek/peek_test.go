package peek

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
)

func TestStatus(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK\r": 200, "HTTP/1.0 503 ": 503, "HTTP/1.1 421": 421, "HTTP/1.1 099 x": 0, "HTTP/1.1 2000 x": 0, "HTTP/1.1 -20 x": 0,
		"HTTP/2 200 OK": 0, "": 0, "HTTP/1.1": 0, "HTTP/1.1  200 OK": 0, "garbage 200": 0,
	} {
		if got := Status([]byte(line)); got != want {
			t.Errorf("status of %q is %d, want %d", line, got, want)
		}
	}
}

func TestFirstLineIsNotConsumed(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nA: b\r\n"
	in := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))
	if got := string(FirstLine(in)); got != "HTTP/1.1 200 OK\r" {
		t.Errorf("first line is %q", got)
	}
	if all, err := io.ReadAll(in); err != nil || string(all) != text {
		t.Errorf("unread are %q, %v", all, err)
	}
}

func TestFirstLineWithoutEnd(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "truncated": "HTTP/1.1 2", "longer than the buffer": strings.Repeat("x", 64)} {
		if got := FirstLine(bufio.NewReaderSize(strings.NewReader(text), 16)); got != nil {
			t.Errorf("%s: first line is %q, want none", name, got)
		}
	}
}

func TestQuiet(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(far *net.TCPConn) error
		want bool
	}{
		"nothing arrived": {func(*net.TCPConn) error { return nil }, true},
		"a byte":          {func(far *net.TCPConn) error { _, err := far.Write([]byte("x")); return err }, false},
		"end of stream":   {func(far *net.TCPConn) error { return far.CloseWrite() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			if err := c.act(far); err != nil {
				t.Fatal(err)
			}
			raw, err := near.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if !c.want {
				waitReadable(t, raw)
			}
			if got := Quiet(raw); got != c.want {
				t.Errorf("quiet is %v, want %v", got, c.want)
			}
		})
	}
}

// waitReadable returns once something has arrived, and does not consume it.
func waitReadable(t *testing.T, raw syscall.RawConn) {
	t.Helper()
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK)
		return n >= 0 || err != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
}

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err = net.DialTCP("tcp4", nil, l.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err = l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}
