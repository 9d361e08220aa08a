package turnstore

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"larchrouter/internal/rpc"
)

// Limits and time-outs of a client.
const (
	callTimeout           = 700 * time.Millisecond  // of a call to one store; a partitioned one does not respond
	closeTimeout          = 1200 * time.Millisecond // of a call that stores a turn
	retryBackoff          = 50 * time.Millisecond   // before the first retry of a call that failed at once; doubles
	newerPlacementTimeout = 300 * time.Millisecond  // to receive a placement that a store has adopted already
	newerPlacementPoll    = 10 * time.Millisecond
	hedgeDelay            = 40 * time.Millisecond   // until a second store is asked for a history
	suspectDuration       = 1500 * time.Millisecond // for which a store that did not respond is asked last
	maxHistorySegments    = 64                      // segments from different stores in one history
	maxBackground         = 4096                    // calls and background operations at a time
	maxCallsPerStore      = 1024                    // calls in flight to one store, so that a stalled one does not use up maxBackground
	maxRepairNotices      = 16                      // in flight
	maxSuspects           = 1000                    // remembered at a time
)

// ClientCacheBytes is the size in bytes of the cache of histories of a client whose limits do not name one.
const ClientCacheBytes = 16 << 20

// settleBackoff are the delays before each attempt to settle a turn in the background.
var settleBackoff = []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 5 * time.Second}

// Client is the coordinator of reads and writes: it runs in a front and talks to the replicas of each program. It is
// safe for concurrent use.
type Client struct {
	placement    func() *Placement
	transport    transport
	zone         string
	log          *slog.Logger
	cache        *incrementCache
	callTimeout  time.Duration
	closeTimeout time.Duration
	closing      *closingLimit // nil for none

	ctx    context.Context // of all calls and background operations: they outlive the operation that began them
	cancel context.CancelFunc

	mu            sync.Mutex
	closed        bool                 // Shutdown was called: no operation begins any more
	background    int                  // calls in flight and background operations
	inFlight      map[string]int       // calls in flight by store ID; included in background
	idle          chan struct{}        // closed once closed is set and background is 0
	repairNotices int                  // in flight; included in background
	suspects      map[string]time.Time // store ID to the end of its suspicion
}

// NewClient returns a client. placement returns the placement in force, nil before the first was received; zone is the
// client's own, whose stores it prefers for reads.
func NewClient(placement func() *Placement, calls *rpc.Clients, zone string, log *slog.Logger) *Client {
	return newClient(placement, rpcTransport{calls}, zone, log)
}

func newClient(placement func() *Placement, calls transport, zone string, log *slog.Logger) *Client {
	c := &Client{placement: placement, transport: calls, zone: zone, log: log, cache: newIncrementCache(ClientCacheBytes),
		callTimeout: callTimeout, closeTimeout: closeTimeout, inFlight: map[string]int{}, suspects: map[string]time.Time{},
		idle: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Shutdown stops the client gracefully: it begins no further operations, waits for background operations until ctx
// ends, then cancels them. It returns once all goroutines of the client have ended.
func (c *Client) Shutdown(ctx context.Context) {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.background == 0 {
			close(c.idle)
		}
	}
	c.mu.Unlock()
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
	c.cancel()
	<-c.idle
}

// beginBackground counts a background operation, if fewer than limit calls and operations are in flight. The caller
// must call endBackground if it returns true.
func (c *Client) beginBackground(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.background >= limit {
		return false
	}
	c.background++
	return true
}

// beginCall counts a call to a store. Operations that began before Shutdown may make calls until they end. The caller
// must call endCall if it returns true.
func (c *Client) beginCall(store string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && c.background == 0 || c.background >= maxBackground || c.inFlight[store] >= maxCallsPerStore {
		return false
	}
	c.background++
	c.inFlight[store]++
	return true
}

func (c *Client) endCall(store string) {
	c.mu.Lock()
	if c.inFlight[store]--; c.inFlight[store] == 0 {
		delete(c.inFlight, store)
	}
	c.mu.Unlock()
	c.endBackground()
}

func (c *Client) endBackground() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.background--; c.background == 0 && c.closed {
		close(c.idle)
	}
}
