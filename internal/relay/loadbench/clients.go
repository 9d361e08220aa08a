package loadbench

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// load is a load of clients, each with one request in flight.
type load struct {
	addr     string
	clients  int
	rate     float64        // messages per second of all clients; 0 for no pause between requests
	dests    func() int     // returns the next message's destination
	deadline time.Duration  // of a message
	dueAt    time.Time      // deadline of all messages, in place of a relative one
	body     int            // bytes
	prefix   string         // of ids
	lastID   *atomic.Uint64 // of the last message; ids are unique in a site
}

// responseCounts counts clients' responses.
type responseCounts struct {
	accepted, rejected, failed int64
	latency                    *hdrhistogram.Histogram // of accepted messages, in microseconds
	slowest                    time.Duration           // response of all
}

func newResponseCounts() *responseCounts {
	return &responseCounts{latency: hdrhistogram.New(1, 60_000_000, 3)}
}

func (a *responseCounts) add(b *responseCounts) {
	a.accepted, a.rejected, a.failed = a.accepted+b.accepted, a.rejected+b.rejected, a.failed+b.failed
	a.latency.Merge(b.latency)
	a.slowest = max(a.slowest, b.slowest)
}

// classes are the classes of messages, with the share of each.
var classes = []struct {
	name  string
	share float64
	key   bool
}{{"status-update", 0.6, false}, {"job-order", 0.3, true}, {"payment", 0.1, false}}

// run submits messages for a span; if most is above 0, at most that many. It ends in time also without responses.
func (l *load) run(span time.Duration, most int64) *responseCounts {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var begun atomic.Int64
	all, end := newResponseCounts(), time.Now().Add(span)
	for i := range l.clients {
		wg.Go(func() {
			own := newResponseCounts()
			r := rand.New(rand.NewPCG(uint64(i), 1))
			var conn net.Conn
			var in *bufio.Reader
			begin := time.Now()
			for n := 0; ; n++ {
				if l.rate > 0 { // an equal share for each client, with jitter
					at := begin.Add(time.Duration((float64(n) + r.Float64()) * float64(l.clients) / l.rate * float64(time.Second)))
					time.Sleep(time.Until(at))
				}
				if !time.Now().Before(end) || most > 0 && begun.Add(1) > most {
					break
				}
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", l.addr, time.Second); err != nil {
						conn = nil
						own.failed++
						time.Sleep(10 * time.Millisecond)
						continue
					}
					in = bufio.NewReader(conn)
				}
				if !l.sendOne(conn, in, own, r) {
					conn.Close()
					conn = nil
				}
			}
			if conn != nil {
				conn.Close()
			}
			mu.Lock()
			all.add(own)
			mu.Unlock()
		})
	}
	wg.Wait()
	return all
}

// sendOne submits one message and reports whether the connection can be reused.
func (l *load) sendOne(conn net.Conn, in *bufio.Reader, own *responseCounts, r *rand.Rand) bool {
	class := 0
	for x := r.Float64() - classes[0].share; x > 0 && class < len(classes)-1; x -= classes[class].share {
		class++
	}
	id := fmt.Sprintf("%s%016x", l.prefix, l.lastID.Add(1))
	key := ""
	if classes[class].key {
		key = "Idempotency-Key: " + id + "\r\n"
	}
	begin, deadline := time.Now(), l.deadline
	if !l.dueAt.IsZero() {
		deadline = max(time.Millisecond, l.dueAt.Sub(begin))
	}
	conn.SetDeadline(begin.Add(2 * time.Second))
	_, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\n%sX-Deadline-Ms: %d\r\n"+
		"X-Addressing: dest=%d\r\nContent-Length: %d\r\n\r\n%s",
		id, classes[class].name, key, deadline.Milliseconds(), l.dests(), l.body,
		strings.Repeat("x", l.body))
	if err != nil {
		own.failed++
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		own.failed++
		return false
	}
	io.Copy(io.Discard, resp.Body)
	took := time.Since(begin)
	own.slowest = max(own.slowest, took)
	switch resp.StatusCode {
	case http.StatusAccepted, http.StatusOK:
		own.accepted++
		own.latency.RecordValue(min(took.Microseconds(), 60_000_000))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		own.rejected++
	default:
		own.failed++
	}
	return !resp.Close
}
