package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawableExchanges returns the exchanges that may be drawn: all but those that change what comes after them on purpose.
func drawableExchanges() (all []*exchange) {
	for i := range exchanges {
		if e := &exchanges[i]; e.act != nil && e.precededBy == nil {
			all = append(all, e)
		}
	}
	return all
}

// drawnHost returns a host that acts by an exchange for one request in three, drawn by the seed, the request, the host and how
// often it has received the request. An extra response to a request may be sent as the next response on the connection.
func drawnHost(t *testing.T, rec *record, id string, seed uint64) *host {
	all := drawableExchanges()
	x := &exchangeHost{host: id, record: rec}
	var mu sync.Mutex
	extra := map[net.Conn]string{}
	receipts := map[string]int{}
	return newHost(t, id, func(c *call) bool {
		x.recordReceived(c.id(), id)
		mu.Lock()
		receipts[c.id()]++
		h := xxhash.Sum64String(fmt.Sprint(seed, id, c.id(), receipts[c.id()]))
		ahead := extra[c.Conn]
		delete(extra, c.Conn)
		if h%7 == 0 {
			extra[c.Conn] = drawCopy(h>>24, c.id())
		}
		mu.Unlock()
		c.raw(ahead)
		if h>>8%3 != 0 {
			x.recordRun(c)
			return x.respond(c, 200, "Keep-Alive: timeout=20\r\n", "second")
		}
		e := all[h>>16%uint64(len(all))]
		goesOn := e.act(x, c)
		c.raw(e.trailing)
		return goesOn
	})
}

// Drawn requests of many clients at once, each on a kept-alive connection, at hosts that act by drawn exchanges: no rule is
// violated, and no client gets the response to another request. With one or two hosts, requests are sent to a host again.
func TestDrawnExchanges(t *testing.T) {
	for _, c := range []struct {
		hosts int
		seed  uint64
	}{{4, 1}, {4, 2}, {4, 3}, {4, rand.Uint64()}, {1, 1}, {1, 2}, {1, rand.Uint64()}, {2, 1}, {2, rand.Uint64()}} {
		t.Run(fmt.Sprint(c.hosts, " hosts, seed ", c.seed), func(t *testing.T) {
			seed := c.seed
			rec := newRecord()
			var hosts []*host
			for i := range c.hosts {
				hosts = append(hosts, drawnHost(t, rec, fmt.Sprint("i-", i), seed))
			}
			f := newFront(t, hosts...)
			f.oracle.timeout = 60 * time.Millisecond
			var clients sync.WaitGroup
			for n := range 8 {
				clients.Go(func() { drawnClient(f, rec, seed, n) })
			}
			clients.Wait()
			f.Server.Close()
			for _, h := range hosts {
				h.close()
			}
			for _, fault := range rec.violations() {
				t.Error(fault)
			}
			served := 0
			for _, s := range rec.seen {
				if s.status == 200 && s.err == nil {
					served++
				}
			}
			if served < len(rec.seen)/8 { // hosts that hang take most of the time on a busy machine
				t.Errorf("%d of %d are served", served, len(rec.seen))
			}
		})
	}
}

// drawnClient sends requests one after the other, some of them pipelined in pairs.
func drawnClient(f *front, rec *record, seed uint64, n int) {
	draw := rand.New(rand.NewPCG(seed, uint64(n)))
	c := f.dial()
	for i := 0; i < 60; {
		var text strings.Builder
		var under []observed
		for range 1 + draw.IntN(2) {
			r := routes[draw.IntN(len(routes))]
			id := fmt.Sprintf("d%d.%d", n, i)
			i++
			text.WriteString(requestText("POST", r.path, id, "X-Time-Left-Ms: 400\r\n", "the body"))
			under = append(under, observed{id: id, kind: r.kind, maxAttempts: r.maxAttempts})
		}
		c.send(text.String())
		ended := false
		for _, s := range under {
			if !ended {
				s.answer = c.read()
				ended = s.err != nil || s.close
			}
			rec.recordObserved(s)
		}
		if ended {
			c.Close()
			c = f.dial()
		}
	}
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	if b, _ := io.ReadAll(c.in); len(b) > 0 {
		f.t.Errorf("%q is received without a request", b)
	}
}
