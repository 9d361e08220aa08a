// Package handover passes a relay from the process that runs to one that takes its place, while messages come and
// calls are out. Both meet at a Unix socket in the state folder.
//
// One process decides at any time, and writes the journal: the owner. Its heir asks for the relay; the owner
// decides no more, closes the journal, and hands over the clients' listener and what the journal does not have:
// which calls are still out, the waits that hosts told, the ids of messages that have ended. From then on it only
// lets its calls end and tells their outcomes, and passes on what clients still send it. If it dies, what it has not
// told counts as after a crash; if the heir dies, the owner takes the relay up again from the journal.
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

// State is what an owner knows beside its journal.
type State struct {
	InFlight   []InFlight            `json:"out,omitempty"`
	RetryAfter map[string]int64 `json:"waits,omitempty"` // milliseconds left, by host
	Ended  []Ended           `json:"past,omitempty"`
	HostList  json.RawMessage  `json:"list,omitempty"` // of hosts, in discovery's form
}

// InFlight is a message with a call that is still out. Those of one call have the same number.
type InFlight struct {
	ID   string `json:"i"`
	Call int    `json:"c"`
}

// Ended is a message that has ended: its id may come again.
type Ended struct {
	ID  string `json:"i"`
	Sum uint32 `json:"s"`
}

// Outcome is how the attempt of a message that was out has ended.
type Outcome struct {
	ID      string        `json:"i"`
	Host    string        `json:"h"`
	Outcome int           `json:"o"` // a choice.Outcome
	Elapsed    time.Duration `json:"t"`
	RetryAfter    time.Duration `json:"w,omitempty"` // told by the host
	Done    bool          `json:"d,omitempty"` // the host holds the message to be over
}

// Owner is the relay that runs.
type Owner interface {
	// Release gives the relay up: nothing is decided any more and all is recorded once it returns. Later outcomes
	// go to the link. An error leaves the relay as it is.
	Release(ctx context.Context, to *Link) (State, *net.TCPListener, error)
	// SuccessorServing says that the heir serves.
	SuccessorServing()
	// SuccessorLost says that the heir has gone.
	SuccessorLost()
	// Handler serves what an earlier owner passes on.
	Handler() http.Handler
}

const (
	socketName = "handover"
	takeoverPath   = "/takeover"
	releaseTimeout  = 2 * time.Second // for the owner to give the relay up
	readyTimeout    = 6 * time.Second // for the heir to serve; the platform gives it no longer
	writeTimeout     = time.Second     // for a line to be taken
	maxStateBytes   = 8 << 20
)

// socketPath is the socket's socketPath by way of an open folder: the real one may be longer than a socket's may be.
func socketPath(dir *os.File) string { return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), socketName) }

// Server is where an heir finds the owner.
type Server struct {
	dir    *os.File
	server *http.Server
}

// Listen has heirs find an owner in a state folder, in the place of an earlier one.
func Listen(dir string, owner Owner) (*Server, error) {
	d, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(filepath.Join(dir, socketName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		d.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath(d), Net: "unix"})
	if err != nil {
		d.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may be the heir's
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
	s := &Server{dir: d, server: &http.Server{Handler: mux, ReadHeaderTimeout: releaseTimeout}}
	go s.server.Serve(l)
	return s, nil
}

// Close ends it. Links that were made stay.
func (s *Server) Close() {
	s.server.Close()
	s.dir.Close()
}

// takeoverResponse precedes all else that an owner says.
type takeoverResponse struct {
	Error string `json:"error,omitempty"`
	State State  `json:"state"`
}

// serveTakeover hands the relay over on a connection, and returns when the heir has gone.
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
	listener.Close() // the heir's stays: no client's connection is refused between the two
	conn.SetWriteDeadline(time.Now().Add(readyTimeout))
	if json.NewEncoder(conn).Encode(takeoverResponse{State: state}) != nil {
		return
	}
	go link.writeLoop()
	conn.SetReadDeadline(time.Now().Add(readyTimeout))
	in := bufio.NewReaderSize(conn, 16)
	if line, err := in.ReadString('\n'); err != nil || line != "ready\n" {
		return
	}
	conn.SetReadDeadline(time.Time{})
	owner.SuccessorServing()
	io.Copy(io.Discard, in)
}

// sendListener sends one byte and the listener with it.
func sendListener(conn *net.UnixConn, l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) { _, _, sent = conn.WriteMsgUnix([]byte{'L'}, syscall.UnixRights(int(fd)), nil) }); err != nil {
		return err
	}
	return sent
}
