package reservedport

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func reserve(t *testing.T) *Port {
	t.Helper()
	port, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Close)
	return port
}

// connectFrom makes an outgoing connection with a local address.
func connectFrom(t *testing.T, address string) error {
	t.Helper()
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	local, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := net.DialTCP("tcp4", local, other.Addr().(*net.TCPAddr))
	if err == nil {
		connection.Close()
	}
	return err
}

func TestListenersAtReservedPort(t *testing.T) {
	port := reserve(t)
	for range 3 {
		if connection, err := net.Dial("tcp4", port.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("%v, %v; want a refused connection while nothing listens", connection, err)
		}
		listener, err := net.Listen("tcp4", port.Addr())
		if err != nil {
			t.Fatal(err)
		}
		connection, err := net.Dial("tcp4", port.Addr())
		if err != nil {
			t.Fatal(err)
		}
		connection.Close()
		listener.Close()
	}
}

// An outgoing connection is given the port on purpose, as it may be by chance after the reservation ended.
func TestReservedPortIsNotAssignedToConnection(t *testing.T) {
	port := reserve(t)
	if err := connectFrom(t, port.Addr()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("%v; want the address to be in use", err)
	}
	port.Close()
	if err := connectFrom(t, port.Addr()); err != nil {
		t.Fatalf("after the end of the reservation: %v", err)
	}
}

func TestReservedPortsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		port := reserve(t)
		if seen[port.Addr()] {
			t.Fatalf("%s was reserved twice", port.Addr())
		}
		seen[port.Addr()] = true
	}
}

func TestCloseTwice(t *testing.T) {
	first := reserve(t)
	first.Close()
	second := reserve(t) // may reuse the first's file descriptor
	first.Close()
	if err := connectFrom(t, second.Addr()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("%v; the second reservation has ended", err)
	}
}
