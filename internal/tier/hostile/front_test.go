package hostile

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/tiertest"
)

// playAtFront plays a crowd against a front: while the crowd stays and after it has left, ordinary callers are served, and the front
// stays within its limits.
func playAtFront(t *testing.T, tt *testTier, clients int, send func(c net.Conn) error) {
	t.Helper()
	tt.expectLimitServed()
	front := watch(t, tt.front())
	c := gather(t, tt.front().FrontAddr(), clients, send)
	tt.expectOrdinaryServed("while the crowd sends")
	c.awaitSent()
	t.Logf("%d clients, %d of them refused while they sent", clients, c.refused.Load())
	tt.expectOrdinaryServed("while the crowd stays")
	front.expectWithin(maxFDs)
	c.disperse()
	tt.expectOrdinaryServed("after the crowd")
	tt.expectLimitServed()
	front.expectWithin(maxFDs)
	tt.expectBudgetEmpty(tt.front().ReadyAddr())
}

// Bodies in chunks of 32 KB that stop just short of their end.
func TestHostileChunkedBodiesStopShort(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return writeChunks(c, head(http.MethodPost, tiertest.WritePath, chunkedLine), maxBodyBytes/trickleChunk-1, 0)
	})
}

// Bodies of one chunk that stop just short of its end.
func TestHostileSingleChunkStopsShort(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strconv.FormatInt(maxBodyBytes, 16) + "\r\n" + strings.Repeat("x", maxBodyBytes-1)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return write(c, head(http.MethodPost, tiertest.WritePath, chunkedLine)+body)
	})
}

// Bodies with their length that stop just short of it.
func TestHostileAnnouncedBodiesStopShort(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strings.Repeat("x", maxBodyBytes-1)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return write(c, head(http.MethodPost, tiertest.WritePath, "Content-Length: "+strconv.Itoa(maxBodyBytes)+"\r\n")+body)
	})
}

// Chunks that come slowly, but come.
func TestHostileTrickledChunks(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return writeChunks(c, head(http.MethodPost, tiertest.WritePath, chunkedLine), maxBodyBytes/trickleChunk-1, trickleEvery)
	})
}

// Chunks of one byte each.
func TestHostileTinyChunks(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strings.Repeat("1\r\nx\r\n", tinyChunkBody)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return write(c, head(http.MethodPost, tiertest.WritePath, chunkedLine)+body)
	})
}

// Bodies in chunks that are far over the limit.
func TestHostileOversizedChunkedBodies(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return writeChunks(c, head(http.MethodPost, tiertest.WritePath, chunkedLine), oversizedBody/trickleChunk, 0)
	})
}

// Bodies whose announced length is far over the limit, and lengths with no body at all.
func TestHostileAnnouncements(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strings.Repeat("x", maxBodyBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		if c.LocalAddr().(*net.TCPAddr).Port%2 == 0 {
			return write(c, head(http.MethodPost, tiertest.WritePath, "Content-Length: "+strconv.Itoa(maxBodyBytes)+"\r\n"))
		}
		return write(c, head(http.MethodPost, tiertest.WritePath, "Content-Length: "+strconv.Itoa(oversizedBody)+"\r\n")+body)
	})
}

// Complete bodies at the limit, all at once, each sent again at once where it was refused.
func TestHostileProperBodiesAtOnce(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strings.Repeat("x", maxBodyBytes)
	addr := tt.front().FrontAddr()
	playAtFront(t, tt, bodyCrowd, func(net.Conn) error {
		for range returningTries {
			if sendProper(addr, body) == http.StatusOK {
				return nil
			}
		}
		return nil
	})
	runs := map[string]int{}
	for _, run := range tt.RunLog.Runs() {
		if runs[run.Attempt]++; runs[run.Attempt] > 1 {
			t.Errorf("%s ran %d times", run.Attempt, runs[run.Attempt])
		}
	}
}

// sendProper sends a request with a body on a connection of its own and returns the status of the response, 0 for none.
func sendProper(addr, body string) int {
	c, err := net.DialTimeout("tcp4", addr, stepTimeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(stepTimeout))
	_ = write(c, head(http.MethodPost, tiertest.WritePath, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")+body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Bodies that stop just short of their end, of clients that come again at once when they are refused.
func TestHostileReturningClients(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strings.Repeat("x", maxBodyBytes-1)
	addr := tt.front().FrontAddr()
	var stay sync.Mutex
	var staying []net.Conn
	t.Cleanup(func() {
		for _, c := range staying {
			c.Close()
		}
	})
	playAtFront(t, tt, bodyCrowd, func(net.Conn) error {
		for range returningTries {
			c, err := net.DialTimeout("tcp4", addr, stepTimeout)
			if err != nil {
				continue
			}
			_ = c.SetDeadline(time.Now().Add(settleTime))
			_ = write(c, head(http.MethodPost, tiertest.WritePath, "Content-Length: "+strconv.Itoa(maxBodyBytes)+"\r\n")+body)
			if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				stay.Lock()
				defer stay.Unlock()
				staying = append(staying, c)
				return nil
			}
			c.Close()
		}
		return nil
	})
}

// Small bodies that stop just short of their end, more than there is memory for.
func TestHostileSmallBodiesStopShort(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := strings.Repeat("x", smallBody-1)
	playAtFront(t, tt, smallCrowd, func(c net.Conn) error {
		return write(c, head(http.MethodPost, tiertest.WritePath, "Content-Length: "+strconv.Itoa(smallBody)+"\r\n")+body)
	})
}

// Complete bodies for a service whose hosts are slow: they are held at the front meanwhile.
func TestHostileBodiesAwaitHosts(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	const path = "/slow/"
	host := tt.addToolHost("slow", path, tiertest.ToolResponseBytes)
	host.SetFault(modelhost.Fault{Kind: modelhost.Stall})
	body := strings.Repeat("x", maxBodyBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return write(c, head(http.MethodPost, path, "Content-Length: "+strconv.Itoa(maxBodyBytes)+"\r\n")+body)
	})
}

// Bodies that are complete but for a trailer that does not end.
func TestHostileEndlessTrailers(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	body := chunk(maxBodyBytes-1) + "0\r\nX-Trailer: " + strings.Repeat("x", trailerBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		return write(c, head(http.MethodPost, tiertest.WritePath, chunkedLine)+body)
	})
}

// Long responses that nobody reads.
func TestHostileUnreadResponses(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	const path = "/long/"
	tt.addToolHost("long", path, unreadResponse)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		if err := write(c, head(http.MethodGet, path, "")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1)) // the response has begun
		return err
	})
}

// Heads that do not end.
func TestHostileEndlessHeads(t *testing.T) {
	tt := startTier(t, maxFDs, longHead)
	text := strings.TrimSuffix(head(http.MethodGet, tiertest.ReadPath, ""), "\r\n") + "X-Long: " + strings.Repeat("x", longHead-1024)
	playAtFront(t, tt, headCrowd, func(c net.Conn) error { return write(c, text) })
}

// Many requests on each connection, whose responses nobody reads.
func TestHostilePipelining(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	playAtFront(t, tt, bodyCrowd, func(c net.Conn) error {
		for range pipelinedCount {
			if err := write(c, head(http.MethodGet, tiertest.ReadPath, "")); err != nil {
				return err
			}
		}
		return nil
	})
}

// Connections that are idle, twice as many as there are descriptors. Half of them have been used for one request.
func TestHostileIdleConnections(t *testing.T) {
	tt := startTier(t, fewFDs, maxHeadBytes)
	playIdle(t, tt.front(), tt.front().FrontAddr(), idleCrowd, func(c net.Conn) error {
		if c.LocalAddr().(*net.TCPAddr).Port%2 == 0 {
			return nil
		}
		if err := write(c, head(http.MethodGet, tiertest.ReadPath, "")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}, func(when string) { tt.expectOrdinaryServed(when) })
	tt.expectBudgetEmpty(tt.front().ReadyAddr())
}

// Connections on which a request has begun and does not go on, twice as many as there are descriptors.
func TestHostileBegunConnections(t *testing.T) {
	tt := startTier(t, fewFDs, maxHeadBytes)
	playIdle(t, tt.front(), tt.front().FrontAddr(), idleCrowd, func(c net.Conn) error { return write(c, "GET /") },
		func(when string) { tt.expectOrdinaryServed(when) })
	tt.expectBudgetEmpty(tt.front().ReadyAddr())
}

// Idle connections at the address for the platform's readiness checks.
func TestHostileReadinessConnections(t *testing.T) {
	tt := startTier(t, fewFDs, maxHeadBytes)
	playIdle(t, tt.front(), tt.front().ReadyAddr(), readyCrowd, func(net.Conn) error { return nil }, func(when string) {
		tt.expectOrdinaryServed(when)
		ready := 0
		for range callerTries {
			if tt.front().Ready(t.Context()) {
				ready++
			}
		}
		if ready == 0 {
			t.Errorf("%s, the front answers no readiness check", when)
		}
	})
}

// playIdle opens connections to a machine that are then idle: what is expected holds while they stay and afterwards.
func playIdle(t *testing.T, m *tiertest.Machine, addr string, clients int, send func(c net.Conn) error, expect func(when string)) {
	t.Helper()
	process := watch(t, m)
	c := gather(t, addr, clients, send)
	c.awaitSent()
	expect("while the connections stay")
	process.expectWithin(fewFDs)
	c.disperse()
	expect("after the connections")
	process.expectWithin(fewFDs)
}
