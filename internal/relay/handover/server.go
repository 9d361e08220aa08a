package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Owner is the relay that runs. The methods are called from the goroutine of the successor's connection.
type Owner interface {
	// Release gives up ownership: once it returns, nothing more is decided and all decisions are recorded. Outcomes of
	// calls in flight go to the link from then on. An error leaves the relay as it was.
	Release(ctx context.Context, to *Link) (State, *net.TCPListener, error)
	// SuccessorServing is called once the successor has reported that it serves.
	SuccessorServing()
	// SuccessorLost is called after every Release that succeeded, when the successor's connection has ended.
	SuccessorLost()
	// Handler serves requests that an earlier owner forwards.
	Handler() http.Handler
}

const (
	socketName     = "handover"
	takeoverPath   = "/takeover"
	readyLine      = "ready\n"
	listenerByte   = 'L'
	releaseTimeout = 2 * time.Second // for the owner to release the relay
	readyTimeout   = 6 * time.Second // for the successor to serve; the platform allows no more
	writeTimeout   = time.Second     // for one batch of outcomes to be written
	maxStateBytes  = 8 << 20
)

// socketPath is the socket's path by way of an open folder, since the path of the folder may be longer than a socket
// address can be.
func socketPath(dir *os.File) string { return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), socketName) }

// Server accepts takeover requests for an owner, and requests that an earlier owner forwards.
type Server struct {
	dir    *os.File
	server *http.Server
}

// Listen serves takeover requests for an owner at the socket in a state folder, in place of an earlier owner.
func Listen(dir string, owner Owner) (*Server, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(filepath.Join(dir, socketName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		folder.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath(folder), Net: "unix"})
	if err != nil {
		folder.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener.SetUnlinkOnClose(false) // by then the path may belong to the successor
	os.Chmod(filepath.Join(dir, socketName), 0o600)
	mux := http.NewServeMux()
	mux.Handle("/", owner.Handler())
	mux.HandleFunc("POST "+takeoverPath, func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Time{})
		serveTakeover(conn.(*net.UnixConn), owner)
	})
	s := &Server{dir: folder, server: &http.Server{Handler: mux, ReadHeaderTimeout: releaseTimeout}}
	go s.server.Serve(listener)
	return s, nil
}

// Close stops accepting requests. Links stay open.
func (s *Server) Close() {
	s.server.Close()
	s.dir.Close()
}

// serveTakeover transfers the relay over a connection, and returns when the successor has closed it.
func serveTakeover(conn *net.UnixConn, owner Owner) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	link := newLink(conn)
	state, listener, err := owner.Release(ctx, link)
	if err != nil {
		json.NewEncoder(conn).Encode(takeoverResponse{Error: err.Error()})
		return
	}
	defer owner.SuccessorLost()
	defer link.stop()
	if err := sendListener(conn, listener); err != nil {
		listener.Close()
		return
	}
	listener.Close() // the successor's copy stays open, so that no client is refused in between
	conn.SetWriteDeadline(time.Now().Add(readyTimeout))
	if json.NewEncoder(conn).Encode(takeoverResponse{State: state}) != nil {
		return
	}
	go link.writeLoop()
	conn.SetReadDeadline(time.Now().Add(readyTimeout))
	reader := bufio.NewReaderSize(conn, 16)
	if line, err := reader.ReadString('\n'); err != nil || line != readyLine {
		return
	}
	conn.SetReadDeadline(time.Time{})
	owner.SuccessorServing()
	io.Copy(io.Discard, reader)
}

// sendListener sends listenerByte with the descriptor of the listener.
func sendListener(conn *net.UnixConn, listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	err = raw.Control(func(fd uintptr) {
		_, _, sendErr = conn.WriteMsgUnix([]byte{listenerByte}, syscall.UnixRights(int(fd)), nil)
	})
	if err != nil {
		return err
	}
	return sendErr
}
