package hostile

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/tiertest"
)

// operatorTimeout is the time for each try of an operator.
const operatorTimeout = 4 * time.Second

// operate sends one call of an operator to the core node under attack, and reports whether its status is wanted within some tries.
func (tt *testTier) operate(when, method, path, ifMatch string, body []byte) {
	tt.t.Helper()
	var answers []string
	for range callerTries {
		ctx, stop := context.WithTimeout(tt.t.Context(), operatorTimeout)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+tt.core().ControlAddr()+path, bytes.NewReader(body))
		must(tt.t, err)
		if ifMatch != "" {
			req.Header.Set("If-Match", ifMatch)
		}
		status, answer := do(req)
		stop()
		if status == http.StatusOK {
			return
		}
		answers = append(answers, strconv.Itoa(status)+" "+answer)
	}
	tt.t.Errorf("%s, %s %s got %q", when, method, path, answers)
}

// expectOperatorServed expects that an operator's new configuration is taken, and that configuration and status can be read.
func (tt *testTier) expectOperatorServed(when string) {
	tt.t.Helper()
	next := tt.config
	next.Version++
	body, err := json.Marshal(next)
	must(tt.t, err)
	tt.operate(when, http.MethodPut, "/api/config", strconv.FormatInt(tt.config.Version, 10), body)
	tt.config = next
	tt.operate(when, http.MethodGet, "/api/config", "", nil)
	tt.operate(when, http.MethodGet, "/api/status", "", nil)
}

// playAtCore plays a crowd against a core node.
func playAtCore(t *testing.T, clients int, send func(c net.Conn) error) {
	t.Helper()
	tt := startTier(t, maxFDs, maxHeadBytes)
	core := watch(t, tt.core())
	c := gather(t, tt.core().ControlAddr(), clients, send)
	tt.expectOperatorServed("while the crowd sends")
	c.awaitSent()
	t.Logf("%d clients, %d of them refused while they sent", clients, c.refused.Load())
	tt.expectOperatorServed("while the crowd stays")
	core.expectWithin(maxFDs)
	c.disperse()
	tt.expectOperatorServed("after the crowd")
	core.expectWithin(maxFDs)
	tt.expectOrdinaryServed("after the crowd")
	tt.expectBudgetEmpty(tt.core().ControlAddr())
}

// putHead returns the head of an order for a configuration.
func putHead(lines string) string {
	return "PUT /api/config HTTP/1.1\r\nHost: core\r\nIf-Match: 1\r\nContent-Type: application/json\r\n" + lines + "\r\n"
}

// Configurations in chunks that stop just short of their end.
func TestHostileChunkedConfigs(t *testing.T) {
	playAtCore(t, configCrowd, func(c net.Conn) error {
		return writeChunks(c, putHead(chunkedLine), configBody/trickleChunk, 0)
	})
}

// Configurations with their length that stop just short of it.
func TestHostileAnnouncedConfigs(t *testing.T) {
	body := strings.Repeat("x", configBody-1)
	playAtCore(t, configCrowd, func(c net.Conn) error {
		return write(c, putHead("Content-Length: "+strconv.Itoa(configBody)+"\r\n")+body)
	})
}

// Configurations of the size of proper ones that stop just short of their end, more than there is memory for.
func TestHostileSmallConfigs(t *testing.T) {
	body := strings.Repeat("x", smallConfigBody-1)
	playAtCore(t, smallConfigCrowd, func(c net.Conn) error {
		return write(c, putHead("Content-Length: "+strconv.Itoa(smallConfigBody)+"\r\n")+body)
	})
}

// Configurations that come whole, all at once, and are no configurations.
func TestHostileInvalidConfigs(t *testing.T) {
	body := "{" + strings.Repeat(" ", configBody-1)
	playAtCore(t, configCrowd, func(c net.Conn) error {
		if err := write(c, putHead("Content-Length: "+strconv.Itoa(configBody)+"\r\n")+body); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	})
}

// Configurations that are far larger than any proper one.
func TestHostileHugeConfigs(t *testing.T) {
	playAtCore(t, hugeConfigs, func(c net.Conn) error {
		return writeChunks(c, putHead(chunkedLine), hugeConfigBody/trickleChunk, 0)
	})
}

// Idle connections to a core node's operator API, twice as many as there are descriptors.
func TestHostileCoreConnections(t *testing.T) {
	tt := startTier(t, fewFDs, maxHeadBytes)
	playIdle(t, tt.core(), tt.core().ControlAddr(), coreIdleCrowd, func(net.Conn) error { return nil }, tt.expectOperatorServed)
}

// partialFrame returns the beginning of a frame of the protocol between processes: a call whose body lacks its last byte.
func partialFrame() string {
	const lengthSize, restOfHeader = 4, 10 // bytes; the rest is kind, method and number
	header := make([]byte, lengthSize+restOfHeader)
	binary.BigEndian.PutUint32(header, uint32(restOfHeader+frameBytes))
	return string(header) + strings.Repeat("x", frameBytes-1)
}

// Frames at the port between processes of a core node that stop just short of their end.
func TestHostileFramesAtCore(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	playFrames(t, tt, tt.core())
	tt.expectOperatorServed("after the crowd")
}

// The same at a store.
func TestHostileFramesAtStore(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	playFrames(t, tt, tt.store())
}

func playFrames(t *testing.T, tt *testTier, m *tiertest.Machine) {
	t.Helper()
	process := watch(t, m)
	text := partialFrame()
	c := gather(t, m.PeerAddr(), frameCrowd, func(c net.Conn) error { return write(c, text) })
	c.awaitSent()
	tt.expectTurn("while the crowd stays")
	process.expectWithin(maxFDs)
	c.disperse()
	tt.expectTurn("after the crowd")
	process.expectWithin(maxFDs)
}

// Idle connections to the port between processes of a store, twice as many as there are descriptors.
func TestHostilePeerConnections(t *testing.T) {
	tt := startTier(t, fewFDs, maxHeadBytes)
	playIdle(t, tt.store(), tt.store().PeerAddr(), idleCrowd, func(net.Conn) error { return nil }, func(when string) { tt.expectTurn(when) })
}
