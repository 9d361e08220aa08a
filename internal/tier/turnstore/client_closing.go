package turnstore

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	freeClosingBytes = 64 << 10 // of what a turn adds to the history, up to which it is closed at once
	copiesOfClosing  = 5        // of that which are held while a turn is closed: the record, its parts, and the calls to replicas
)

// closingLimit bounds the memory that is held for turns that are being closed, but for short ones.
type closingLimit struct {
	bytes     int64
	semaphore *semaphore.Weighted
}

// ClientLimits bound the memory of a client, in bytes.
type ClientLimits struct {
	Cache int64 // of the histories that it keeps; 0 for the default

	// Closing is held for turns that are being closed, but for short ones: others wait. A turn whose copies exceed it is closed alone.
	// 0 for no limit.
	Closing int64
}

// SetLimits sets the limits. It must be called before the first operation.
func (c *Client) SetLimits(limits ClientLimits) {
	if limits.Cache > 0 {
		c.cache = newIncrementCache(int(limits.Cache))
	}
	if limits.Closing > 0 {
		c.closing = &closingLimit{bytes: limits.Closing, semaphore: semaphore.NewWeighted(limits.Closing)}
	}
}

// acquireClosing waits for the memory to close a turn, until ctx ends. The caller calls release, if it is not nil,
// once all calls have ended.
func (c *Client) acquireClosing(ctx context.Context, t *Turn) (release func(), err error) {
	size := t.size()
	if c.closing == nil || size <= freeClosingBytes {
		return nil, nil
	}
	weight := min(copiesOfClosing*int64(size), c.closing.bytes)
	if err := c.closing.semaphore.Acquire(ctx, weight); err != nil {
		return nil, errors.Wrap(err, "the memory is held by other turns")
	}
	return func() { c.closing.semaphore.Release(weight) }, nil
}

// releaseAfter calls release, if it is not nil, once calls have ended.
func releaseAfter(calls *sync.WaitGroup, release func()) {
	if release == nil {
		return
	}
	go func() {
		calls.Wait()
		release()
	}()
}

// awaitResponses receives a number of responses.
func awaitResponses[R any](responses <-chan replicaResponse[R], count int) {
	for range count {
		<-responses
	}
}
