package proxy

import (
	"bufio"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// countingReader counts the bytes that come.
type countingReader struct {
	io.Reader
	count int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.count += int64(n)
	return n, err
}

// markArrival notes when the next request came: now, if its first byte did not come together with an earlier one.
func (c *client) markArrival() {
	if first := c.source.count - int64(c.reader.Buffered()); first >= c.nextArrivedCount {
		c.nextArrivedAt, c.nextArrivedCount = time.Now(), c.source.count
	}
}

// watch has the client watched beside the request that is served: a byte behind those that have come begins the next
// request, or goes on with it; an error says that the client has gone. A full buffer cannot be watched behind.
func (c *client) watch() {
	have := c.reader.Buffered()
	if c.pipelined = have > 0; c.pipelined {
		c.markArrival()
	}
	c.watching = true
	c.server.wg.Go(func() {
		err := c.awaitBytes(have + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err == nil {
			c.markArrival()
		}
		c.watchDone <- c.watchEnded(err)
	})
}

// watchEnded takes in how the watch has watchEnded, and tells whether the client has gone.
func (c *client) watchEnded(err error) error {
	c.mu.Lock()
	if c.watchStopped && isTimeout(err) {
		err = nil
	}
	c.disconnected = err != nil
	f := c.onDisconnect
	c.mu.Unlock()
	if err != nil && f != nil {
		f()
	}
	return err
}

// stopWatch ends the watch behind a request that waits, which need not come further to be read.
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

// awaitBytes waits for so many bytes, the last of which is new.
func (c *client) awaitBytes(n int) error {
	for {
		_, err := c.reader.Peek(n)
		if !isTimeout(err) || !c.extendIdle(time.Now()) {
			return err
		}
	}
}

// extendIdle tells whether a connection whose idle time has passed is waited for longer: up to the newest configuration's idle
// time, and then for one last look, since a request may have come while this process did not run.
func (c *client) extendIdle(now time.Time) bool {
	idle := c.server.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	if end := c.idleSince.Add(idle); now.Before(end) && !c.server.draining.Load() {
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

// setOnDisconnect has f called when the client goes while a request is under way; nil ends that.
func (c *client) setOnDisconnect(f func()) {
	c.mu.Lock()
	c.onDisconnect = f
	gone := c.disconnected
	c.mu.Unlock()
	if gone && f != nil {
		f()
	}
}
