package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"larchrouter/internal/standin/reservedport"
)

// Behaviour is what a host does with calls.
type Behaviour struct {
	Latency        time.Duration // between the last byte of a call and the response
	Refuse         bool          // reject calls: with 429 if RetryAfter is set, else with 503
	RetryAfter     time.Duration
	Fail           bool // apply a call, then respond with 500
	Hang           bool // apply a call, then do not respond until the behaviour changes or the connection ends
	Break          bool // apply a call, then close the connection
	CallsPerSecond int  // accepted in each second of the clock; further ones are rejected until its end; 0 for any number
}

// Call is a message that a host has received.
type Call struct {
	Host       string
	ID, Key    string
	FirstByte  time.Time // when it was received
	LastByte   time.Time // when it was received
	Status     int       // of the response; 0 if there was none
	Applied    bool
	RetryAfter time.Duration // of the response
}

// Host is one endpoint of a partner. Its methods are safe for concurrent use.
type Host struct {
	Name, Zone string
	ledger     *Ledger
	port       *reservedport.Port // reserved while the host is down, so that it can listen there again

	mu          sync.Mutex
	behaviour   Behaviour
	changed     chan struct{} // closed when behaviour changes
	listener    net.Listener  // nil while the host is down
	downs       int           // number of calls of Down
	conns       map[net.Conn]bool
	second      int64    // Unix time
	accepted    int      // calls in that second
	limit       *limiter // nil for none
	recordCalls bool
	calls       []Call
	wg          sync.WaitGroup
}

// NewHost starts a host on a free loopback port. Its effects are counted in the ledger. It records its calls if recordCalls is set.
func NewHost(name, zone string, ledger *Ledger, behaviour Behaviour, recordCalls bool) (*Host, error) {
	h := &Host{Name: name, Zone: zone, ledger: ledger, behaviour: behaviour, changed: make(chan struct{}),
		conns: map[net.Conn]bool{}, recordCalls: recordCalls}
	port, err := reservedport.Reserve()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", port.Addr())
	if err != nil {
		port.Close()
		return nil, err
	}
	h.port = port
	h.serve(l)
	return h, nil
}

// Addr returns the address of the host.
func (h *Host) Addr() string { return h.port.Addr() }

// Set changes the behaviour, also for calls that hang.
func (h *Host) Set(behaviour Behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behaviour = behaviour
	close(h.changed)
	h.changed = make(chan struct{})
}

// Down takes the host down: its connections are closed, and new ones are refused.
func (h *Host) Down() {
	h.mu.Lock()
	listener := h.listener
	h.listener = nil
	h.downs++
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// Up has a host that is down listen at its address again.
func (h *Host) Up() error {
	h.mu.Lock()
	up := h.listener != nil
	h.mu.Unlock()
	if up {
		return nil
	}
	l, err := net.Listen("tcp", h.Addr())
	if err == nil {
		h.mu.Lock()
		if h.limit != nil {
			h.limit.restart(time.Now())
		}
		h.mu.Unlock()
		h.serve(l)
	}
	return err
}

// Close takes the host down for good and waits for its goroutines.
func (h *Host) Close() {
	h.Set(Behaviour{})
	h.Down()
	h.wg.Wait()
	h.port.Close()
}

// Calls returns the recorded calls, in the order of their last bytes.
func (h *Host) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Call(nil), h.calls...)
}

// LastCallAt returns when the first byte of the last recorded call was received, zero if there is none.
func (h *Host) LastCallAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.calls) == 0 {
		return time.Time{}
	}
	return h.calls[len(h.calls)-1].FirstByte
}

func (h *Host) serve(l net.Listener) {
	h.mu.Lock()
	h.listener = l
	h.mu.Unlock()
	h.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			open := h.listener == l
			if open {
				h.conns[c] = true
			}
			h.mu.Unlock()
			if !open {
				c.Close()
				return
			}
			h.wg.Go(func() {
				h.serveConn(c)
				c.Close()
				h.mu.Lock()
				delete(h.conns, c)
				h.mu.Unlock()
			})
		}
	})
}

const maxBody = 64 << 10 // bytes

// serveConn serves the calls on a connection one after the other.
func (h *Host) serveConn(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
		if err != nil || len(body) > maxBody {
			return
		}
		if !h.call(c, req, body, first, time.Now()) {
			return
		}
	}
}

// call serves one call and reports whether the connection can be used further.
func (h *Host) call(c net.Conn, req *http.Request, body []byte, first, last time.Time) bool {
	batch := []message{{req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key"), body}}
	isBatch := req.URL.Path == "/receive-many"
	if isBatch {
		var err error
		if batch, err = parseBatch(body); err != nil {
			return answer(c, http.StatusBadRequest, "", err.Error())
		}
	} else if req.URL.Path != "/receive" || req.Method != http.MethodPost {
		return answer(c, http.StatusNotFound, "", "")
	}
	behaviour, changed, done := h.admit(last)
	defer done()
	status := behaviour.status()
	if status != http.StatusTooManyRequests {
		behaviour.RetryAfter = 0
	}
	var list bytes.Buffer
	for _, msg := range batch {
		if !behaviour.Refuse {
			h.ledger.apply(msg, h)
		}
		h.record(Call{h.Name, msg.id, msg.key, first, last, status, !behaviour.Refuse, behaviour.RetryAfter})
		fmt.Fprintf(&list, "%s ok\r\n", msg.id)
	}
	if !isBatch {
		list.Reset()
	}
	if behaviour.Latency > 0 {
		time.Sleep(behaviour.Latency)
	}
	switch {
	case behaviour.Break:
		return false
	case behaviour.Hang:
		hang(c, changed)
		return false
	}
	retry := ""
	if status == http.StatusTooManyRequests {
		retry = strconv.FormatFloat(max(0.001, behaviour.RetryAfter.Seconds()), 'f', 3, 64)
	}
	return answer(c, status, retry, list.String())
}

// admit returns the behaviour for a call that was received at a time, with the limits applied, and a channel that is closed when the
// behaviour changes. The caller must call done once the call has ended.
func (h *Host) admit(at time.Time) (behaviour Behaviour, changed <-chan struct{}, done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	behaviour, done = h.behaviour, func() {}
	if second := at.Unix(); second != h.second {
		h.second, h.accepted = second, 0
	}
	if behaviour.CallsPerSecond > 0 && h.accepted >= behaviour.CallsPerSecond {
		behaviour.Refuse, behaviour.RetryAfter = true, max(time.Until(time.Unix(at.Unix()+1, 0)), time.Millisecond)
	}
	if !behaviour.Refuse {
		h.accepted++
	}
	if h.limit != nil && !behaviour.Refuse {
		ok, overloaded := h.limit.admit(at)
		if ok {
			done = h.callDone
		} else {
			behaviour.Refuse, behaviour.RetryAfter = true, h.limit.RetryAfter
		}
		if overloaded {
			h.wg.Go(h.restartOverloaded)
		}
	}
	return behaviour, h.changed, done
}

// status returns the status of the response to a call, 0 if there is none.
func (b *Behaviour) status() int {
	switch {
	case b.Refuse && b.RetryAfter > 0:
		return http.StatusTooManyRequests
	case b.Refuse:
		return http.StatusServiceUnavailable
	case b.Fail:
		return http.StatusInternalServerError
	case b.Hang, b.Break:
		return 0
	}
	return http.StatusOK
}

// hang waits until the behaviour changes or the connection is closed, by the relay or with the host.
func hang(c net.Conn, changed <-chan struct{}) {
	gone := make(chan struct{})
	go func() { c.Read(make([]byte, 1)); close(gone) }()
	select {
	case <-changed:
	case <-gone:
	}
}

func (h *Host) record(c Call) {
	if !h.recordCalls {
		return
	}
	h.mu.Lock()
	h.calls = append(h.calls, c)
	h.mu.Unlock()
}

func answer(c net.Conn, status int, retry, body string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if retry != "" {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", retry)
	}
	b.WriteString("\r\n" + body)
	_, err := c.Write(b.Bytes())
	return err == nil
}
