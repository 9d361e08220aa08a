package httpcall

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Host is the destination of calls. Its connections are its own: another Host with the same address gets none
// of them.
type Host struct {
	Addr     string // host:port
	Waits    *Waits // shared by hosts that rate-limit together; nil for a host of its own
	ownWaits Waits
	closed   atomic.Bool
}

// Closed reports whether no new call may go to the host.
func (h *Host) Closed() bool { return h.closed.Load() }

// SetClosed sets whether no new call may go to the host. It applies to calls that are still dialling as well:
// they check it right before the first byte.
func (h *Host) SetClosed(closed bool) { h.closed.Store(closed) }

func (h *Host) waits() *Waits {
	if h.Waits != nil {
		return h.Waits
	}
	return &h.ownWaits
}

// Message is one message of a call.
type Message struct {
	ID   string
	Key  string // idempotency key; empty for none
	Body []byte // as Frames, the bodies of a call's messages have 64 KiB at most together
	// Until is the latest time at which the message may reach the host, as its idempotency key is forgotten
	// then; zero for no limit. It is checked right before the first byte, with the connection's dial time as
	// the estimate of the time to the host.
	Until time.Time
}

// Call is one attempt with one or more messages.
type Call struct {
	Host     *Host
	Messages []Message
	Timeout  time.Duration // of the call, dial included
	Decided  time.Time     // when the caller decided on the call

	withdrawn []atomic.Bool // by index of the message
	mu        sync.Mutex    // held from the check of withdrawn until the request is written or has failed
	started   bool          // the write of the request has begun, and has not failed
}

// NewCall returns a call that is decided now.
func NewCall(h *Host, timeout time.Duration, messages ...Message) *Call {
	return &Call{
		Host:      h,
		Messages:  messages,
		Timeout:   timeout,
		Decided:   time.Now(),
		withdrawn: make([]atomic.Bool, len(messages)),
	}
}

// Leave withdraws the message with index i from the call. It reports whether it was in time: then the call goes
// out without the message, or not at all. Otherwise the call goes on with it. Leave never blocks, and is safe
// for concurrent use with Exchange.
func (c *Call) Leave(i int) (unsent bool) {
	c.withdrawn[i].Store(true)
	if !c.mu.TryLock() { // the request is being written
		return false
	}
	defer c.mu.Unlock()
	return !c.started
}

// remaining returns the indexes of the messages that are not withdrawn and that reach the host in time if that
// takes the given time.
func (c *Call) remaining(travel time.Duration) (indexes []int) {
	arrival := time.Now().Add(travel)
	for i, m := range c.Messages {
		if !c.withdrawn[i].Load() && (m.Until.IsZero() || arrival.Before(m.Until)) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// write writes the request with the remaining messages and returns their indexes. After an error the call has
// not started, and messages may be withdrawn again.
func (c *Call) write(conn *hostConn) (indexes []int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if indexes = c.remaining(conn.dialTime); len(indexes) == 0 {
		return nil, errNoMessages
	}
	c.started = true
	if _, err = conn.Write(c.encode(indexes)); err != nil {
		c.started = false
	}
	return indexes, err
}

// encode returns the request for the messages with the given indexes, of which there is at least one.
func (c *Call) encode(indexes []int) []byte {
	var b bytes.Buffer
	first := &c.Messages[indexes[0]]
	body := first.Body
	if len(indexes) > 1 {
		body = nil
		for _, i := range indexes {
			m := &c.Messages[i]
			body = append(body, Frame(m.ID, m.Key, m.Body)...)
		}
		fmt.Fprintf(&b, "POST /receive-many HTTP/1.1\r\nHost: %s\r\n", c.Host.Addr)
	} else {
		fmt.Fprintf(&b, "POST /receive HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", c.Host.Addr, first.ID)
		if first.Key != "" {
			fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", first.Key)
		}
	}
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", max(1, c.Timeout.Milliseconds()), len(body))
	b.Write(body)
	return b.Bytes()
}

// Frame returns a message as it is encoded in the body of a call with several messages.
func Frame(id, key string, body []byte) []byte {
	if key == "" {
		key = "-"
	}
	return fmt.Appendf(nil, "%s %s %d\r\n%s\r\n", id, key, len(body), body)
}
