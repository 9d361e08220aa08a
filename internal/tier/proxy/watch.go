package proxy

import (
	"bufio"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// countingReader counts the bytes that it reads.
type countingReader struct {
	io.Reader
	count int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.count += int64(n)
	return n, err
}

// markArrival sets the arrival time of the next request to now, unless its first byte came together with bytes before whose
// arrival is marked already.
func (c *client) markArrival() {
	if first := c.source.count - int64(c.reader.Buffered()); first >= c.nextArrivedCount {
		c.nextArrivedAt, c.nextArrivedCount = time.Now(), c.source.count
	}
}

// watch starts to watch for a disconnect while a request is served, by waiting for a byte beyond those that are buffered. A byte
// belongs to the next request; an error is a disconnect. If the buffer is full there is nothing to wait for.
func (c *client) watch() {
	buffered := c.reader.Buffered()
	if c.pipelined = buffered > 0; c.pipelined {
		c.markArrival()
	}
	c.watching = true
	c.server.wg.Go(func() {
		err := c.awaitBytes(buffered + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err == nil {
			c.markArrival()
		}
		c.watchDone <- c.watchEnded(err)
	})
}

// watchEnded records the result of the watch and calls onDisconnect if the client has disconnected. It returns the error of the
// disconnect, if any.
func (c *client) watchEnded(err error) error {
	c.mu.Lock()
	if c.watchStopped && isTimeout(err) {
		err = nil
	}
	c.disconnected = err != nil
	onDisconnect := c.onDisconnect
	c.mu.Unlock()
	if err != nil && onDisconnect != nil {
		onDisconnect()
	}
	return err
}

// stopWatch stops the watch although no byte came, so that a pipelined request that is buffered can be read.
func (c *client) stopWatch() error {
	c.mu.Lock()
	c.watchStopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.mu.Unlock()
	err := <-c.watchDone
	c.watching = false
	c.mu.Lock()
	c.watchStopped = false
	c.mu.Unlock()
	return err
}

// setOnDisconnect sets what is called when the client disconnects while a request is served; nil for nothing. If it has
// disconnected already, the function is called at once.
func (c *client) setOnDisconnect(onDisconnect func()) {
	c.mu.Lock()
	c.onDisconnect = onDisconnect
	disconnected := c.disconnected
	c.mu.Unlock()
	if disconnected && onDisconnect != nil {
		onDisconnect()
	}
}

// awaitBytes waits until n bytes are buffered.
func (c *client) awaitBytes(n int) error {
	for {
		_, err := c.reader.Peek(n)
		if !isTimeout(err) || !c.extendIdle(time.Now()) {
			return err
		}
	}
}

// extendIdle extends the read deadline of an idle connection that has timed out, and reports whether it did: up to the idle
// time-out of the newest configuration, and then once by finalPeekTimeout, since a request may have come in while this process
// was not running.
func (c *client) extendIdle(now time.Time) bool {
	timeout := c.server.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	if end := c.idleSince.Add(timeout); now.Before(end) && !c.server.draining() {
		_ = c.SetReadDeadline(end)
		return true
	}
	if c.finalPeekDone {
		return false
	}
	c.finalPeekDone = true
	_ = c.SetReadDeadline(now.Add(finalPeekTimeout))
	return true
}
