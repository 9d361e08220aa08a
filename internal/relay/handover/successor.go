package handover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Successor is what a process received from the owner that it replaces.
type Successor struct {
	State    State
	Listener *net.TCPListener // where clients connect
	conn     *net.UnixConn
	decoder  *json.Decoder
}

// RefusedError reports that the owner does not hand over.
type RefusedError struct{ Reason string }

// Error returns the owner's reason.
func (e *RefusedError) Error() string {
	return "handover: the running relay does not hand over: " + e.Reason
}

// Request asks the owner of a state folder to hand over. It returns nil and no error if there is no owner.
func Request(ctx context.Context, dir string) (*Successor, error) {
	folder, err := os.Open(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer folder.Close()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socketPath(folder), Net: "unix"})
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // no socket, or that of a dead process
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	successor, err := requestTakeover(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return successor, nil
}

// requestTakeover sends the request and reads the listener and the state, or the refusal.
func requestTakeover(conn *net.UnixConn) (*Successor, error) {
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n", takeoverPath); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	// The first byte comes alone, with the listener; otherwise it begins a refusal.
	first, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	n, rightsLen, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil || n == 0 {
		return nil, fmt.Errorf("handover: the running relay broke off: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	successor := &Successor{conn: conn}
	var rest io.Reader = io.LimitReader(conn, maxStateBytes)
	if first[0] == listenerByte {
		if successor.Listener, err = parseListener(rights[:rightsLen]); err != nil {
			return nil, fmt.Errorf("handover: the listener: %w", err)
		}
	} else {
		rest = io.MultiReader(bytes.NewReader(first), rest)
	}
	var response takeoverResponse
	successor.decoder = json.NewDecoder(rest)
	if err := successor.decoder.Decode(&response); err == nil && successor.Listener == nil {
		return nil, &RefusedError{response.Error}
	} else if err != nil {
		if successor.Listener != nil {
			successor.Listener.Close()
		}
		return nil, fmt.Errorf("handover: the running relay's state cannot be read: %w", err)
	}
	successor.State = response.State
	return successor, nil
}

// parseListener returns the listener whose descriptor came in a control message.
func parseListener(rights []byte) (*net.TCPListener, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, fmt.Errorf("%d control messages, %w", len(messages), errors.Join(err))
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return nil, fmt.Errorf("%d descriptors, %w", len(descriptors), errors.Join(err))
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener")
	defer file.Close() // FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, fmt.Errorf("%s is no TCP listener", listener.Addr())
	}
	return tcp, nil
}

// ReceiveOutcomes reports to the owner that its successor serves, and calls handle with each outcome until the owner
// has closed the connection or the context ends. It closes the connection.
func (s *Successor) ReceiveOutcomes(ctx context.Context, handle func(Outcome)) {
	defer s.conn.Close()
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	if _, err := io.WriteString(s.conn, readyLine); err != nil {
		return
	}
	s.decoder = json.NewDecoder(io.MultiReader(s.decoder.Buffered(), s.conn)) // outcomes together have no bound
	for {
		var o Outcome
		if s.decoder.Decode(&o) != nil {
			return
		}
		handle(o)
	}
}

// Close gives up the relay; the owner resumes it.
func (s *Successor) Close() {
	s.Listener.Close()
	s.conn.Close()
}

// Forwarder returns a transport that forwards requests to whichever process owns a state folder when it connects.
func Forwarder(dir string) *http.Transport {
	return &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			folder, err := os.Open(dir)
			if err != nil {
				return nil, err
			}
			defer folder.Close()
			return (&net.Dialer{}).DialContext(ctx, "unix", socketPath(folder))
		}}
}
