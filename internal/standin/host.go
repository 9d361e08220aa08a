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

// Behaviour is how a host treats calls.
type Behaviour struct {
	Latency time.Duration // from a call's last byte to its answer
	Refuse  bool          // turn calls away: 429 with Wait if that is set, else 503
	Wait    time.Duration
	Fail    bool // apply, then answer 500
	Hang    bool // apply, then answer nothing until the behaviour changes or the connection ends
	Break   bool // apply, then break the connection
	PerSec  int  // calls taken in each second; further ones are refused, with the rest of the second as wait; 0 for all
}

// Call is one message that a host was sent.
type Call struct {
	Host    string
	ID, Key string
	First   time.Time // its first byte came
	Last    time.Time // its last byte came
	Status  int       // answered; 0 for none
	Applied bool
	Wait    time.Duration // told
}

// Host is one endpoint of a partner. Its methods are safe for concurrent use.
type Host struct {
	Name, Zone string
	ledger     *Ledger
	port       *reservedport.Port // held while the host is down, so that it can come back

	mu      sync.Mutex
	how     Behaviour
	changed chan struct{} // closed when how changes
	l       net.Listener
	downs   int // how often it was closed
	conns   map[net.Conn]bool
	second  int64
	count   int      // of calls in that second
	limit   *limiter // nil for none
	keep    bool
	calls   []Call
	wg      sync.WaitGroup
}

// NewHost starts a host on a loopback port of its own. Its effects go to the ledger. With keep it remembers
// all calls.
func NewHost(name, zone string, ledger *Ledger, how Behaviour, keep bool) (*Host, error) {
	h := &Host{Name: name, Zone: zone, ledger: ledger, how: how, changed: make(chan struct{}), conns: map[net.Conn]bool{}, keep: keep}
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

// Addr is where it listens.
func (h *Host) Addr() string { return h.port.Addr() }

// Set changes how calls are treated, also those that hang.
func (h *Host) Set(how Behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.how = how
	close(h.changed)
	h.changed = make(chan struct{})
}

// Down closes the host: connections break, new ones are refused.
func (h *Host) Down() {
	h.mu.Lock()
	l := h.l
	h.l = nil
	h.downs++
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

// Up opens it again at its address.
func (h *Host) Up() error {
	h.mu.Lock()
	up := h.l != nil
	h.mu.Unlock()
	if up {
		return nil
	}
	l, err := net.Listen("tcp", h.Addr())
	if err == nil {
		h.mu.Lock()
		if h.limit != nil {
			h.limit.returned(time.Now())
		}
		h.mu.Unlock()
		h.serve(l)
	}
	return err
}

// Close ends the host and waits for its goroutines.
func (h *Host) Close() {
	h.Set(Behaviour{})
	h.Down()
	h.wg.Wait()
	h.port.Close()
}

// Calls are those it remembers, in the order of their last bytes.
func (h *Host) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Call(nil), h.calls...)
}

// Latest is when the first byte of the last call came that it remembers; zero for none.
func (h *Host) Latest() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.calls) == 0 {
		return time.Time{}
	}
	return h.calls[len(h.calls)-1].First
}

func (h *Host) serve(l net.Listener) {
	h.mu.Lock()
	h.l = l
	h.mu.Unlock()
	h.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			open := h.l == l
			if open {
				h.conns[c] = true
			}
			h.mu.Unlock()
			if !open {
				c.Close()
				return
			}
			h.wg.Go(func() {
				h.connection(c)
				c.Close()
				h.mu.Lock()
				delete(h.conns, c)
				h.mu.Unlock()
			})
		}
	})
}

const maxBody = 64 << 10

// connection serves calls one after the other.
func (h *Host) connection(c net.Conn) {
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
	batch := []part{{req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key"), body}}
	many := req.URL.Path == "/receive-many"
	if many {
		var err error
		if batch, err = parts(body); err != nil {
			return answer(c, http.StatusBadRequest, "", err.Error())
		}
	} else if req.URL.Path != "/receive" || req.Method != http.MethodPost {
		return answer(c, http.StatusNotFound, "", "")
	}
	how, changed, leave := h.admit(last)
	defer leave()
	status := how.status()
	if status != http.StatusTooManyRequests {
		how.Wait = 0
	}
	var list bytes.Buffer
	for _, p := range batch {
		if !how.Refuse {
			h.ledger.apply(p, h)
		}
		h.remember(Call{h.Name, p.id, p.key, first, last, status, !how.Refuse, how.Wait})
		fmt.Fprintf(&list, "%s ok\r\n", p.id)
	}
	if !many {
		list.Reset()
	}
	if how.Latency > 0 {
		time.Sleep(how.Latency)
	}
	switch {
	case how.Break:
		return false
	case how.Hang:
		hang(c, changed)
		return false
	}
	retry := ""
	if status == http.StatusTooManyRequests {
		retry = strconv.FormatFloat(max(0.001, how.Wait.Seconds()), 'f', 3, 64)
	}
	return answer(c, status, retry, list.String())
}

// admit returns how a call that came at a time is treated, with the limits applied, and a channel that is closed when the
// behaviour changes. The caller must call leave once the call has ended.
func (h *Host) admit(at time.Time) (how Behaviour, changed <-chan struct{}, leave func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	how, leave = h.how, func() {}
	if second := at.Unix(); second != h.second {
		h.second, h.count = second, 0
	}
	if how.PerSec > 0 && h.count >= how.PerSec {
		how.Refuse, how.Wait = true, max(time.Until(time.Unix(at.Unix()+1, 0)), time.Millisecond)
	}
	if !how.Refuse {
		h.count++
	}
	if h.limit != nil && !how.Refuse {
		ok, fell := h.limit.admit(at)
		if ok {
			leave = h.leave
		} else {
			how.Refuse, how.Wait = true, h.limit.Wait
		}
		if fell {
			h.wg.Go(h.fall)
		}
	}
	return how, h.changed, leave
}

// status returns the status that a call is answered with, 0 for none.
func (b *Behaviour) status() int {
	switch {
	case b.Refuse && b.Wait > 0:
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

// hang waits until the behaviour changes or the connection ends: the relay gives up, or the host closes.
func hang(c net.Conn, changed <-chan struct{}) {
	gone := make(chan struct{})
	go func() { c.Read(make([]byte, 1)); close(gone) }()
	select {
	case <-changed:
	case <-gone:
	}
}

func (h *Host) remember(c Call) {
	if !h.keep {
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
