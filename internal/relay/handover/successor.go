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

// Successor is what a process has got from the owner whose place it takes.
type Successor struct {
	State    State
	Listener *net.TCPListener // where clients connect
	conn     *net.UnixConn
	decoder       *json.Decoder
}

// RefusedError is an owner's own word that it does not hand over.
type RefusedError struct{ Reason string }

// Error gives the owner's reason.
func (e *RefusedError) Error() string {
	return "handover: the running relay does not hand over: " + e.Reason
}

// Request has the owner of a state folder hand over. With no owner there it returns nil and no error.
func Request(ctx context.Context, dir string) (*Successor, error) {
	d, err := os.Open(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer d.Close()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socketPath(d), Net: "unix"})
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // none, or the socket of a dead one
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	h, err := requestTakeover(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return h, nil
}

func requestTakeover(conn *net.UnixConn) (*Successor, error) {
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n", takeoverPath); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	// The first byte comes alone, with the listener; or it begins a refusal.
	first, rights := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	n, rn, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil || n == 0 {
		return nil, fmt.Errorf("handover: the running relay broke off: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	h := &Successor{conn: conn}
	var rest io.Reader = io.LimitReader(conn, maxStateBytes)
	if first[0] == 'L' {
		if h.Listener, err = parseListener(rights[:rn]); err != nil {
			return nil, fmt.Errorf("handover: the listener: %w", err)
		}
	} else {
		rest = io.MultiReader(bytes.NewReader(first), rest)
	}
	var a takeoverResponse
	h.decoder = json.NewDecoder(rest)
	if err := h.decoder.Decode(&a); err == nil && h.Listener == nil {
		return nil, &RefusedError{a.Error}
	} else if err != nil {
		if h.Listener != nil {
			h.Listener.Close()
		}
		return nil, fmt.Errorf("handover: the running relay's state cannot be read: %w", err)
	}
	h.State = a.State
	return h, nil
}

func parseListener(rights []byte) (*net.TCPListener, error) {
	msgs, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(msgs) != 1 {
		return nil, fmt.Errorf("%d control messages, %w", len(msgs), errors.Join(err))
	}
	fds, err := syscall.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("%d descriptors, %w", len(fds), errors.Join(err))
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close() // FileListener has one of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("%s is no TCP listener", l.Addr())
	}
	return tcp, nil
}

// ReceiveOutcomes tells the owner that its heir serves, and hands on outcomes until the owner has left or the context ends.
func (h *Successor) ReceiveOutcomes(ctx context.Context, each func(Outcome)) {
	defer h.conn.Close()
	defer context.AfterFunc(ctx, func() { h.conn.Close() })()
	if _, err := io.WriteString(h.conn, "ready\n"); err != nil {
		return
	}
	h.decoder = json.NewDecoder(io.MultiReader(h.decoder.Buffered(), h.conn)) // no bound on all outcomes together
	for {
		var o Outcome
		if h.decoder.Decode(&o) != nil {
			return
		}
		each(o)
	}
}

// Close gives up what was got; the owner takes the relay up again.
func (h *Successor) Close() {
	h.Listener.Close()
	h.conn.Close()
}

// Forwarder passes requests on to the owner of a state folder, as it is then.
func Forwarder(dir string) *http.Transport {
	return &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			d, err := os.Open(dir)
			if err != nil {
				return nil, err
			}
			defer d.Close()
			return (&net.Dialer{}).DialContext(ctx, "unix", socketPath(d))
		}}
}
