package turnstore

import (
	"context"
	"sync"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
)

// Bounds of a client.
const (
	callTimeout     = 700 * time.Millisecond // a store that is cut off says nothing
	closeTimeout    = 1200 * time.Millisecond
	retryBackoff     = 50 * time.Millisecond  // after a call that failed at once; it doubles
	newerPlacementTimeout    = 300 * time.Millisecond // for a newer placement
	newerPlacementPoll    = 10 * time.Millisecond
	hedgeDelay   = 40 * time.Millisecond // a second store is asked for the history
	suspectDuration   = 1500 * time.Millisecond
	maxHistorySegments    = 64 // stores' parts that one history is put together from
	clientCacheBytes = 16 << 20
	maxBackground    = 4096 // things done in the background at once
	maxCallsPerStore    = 1024 // calls of one store under way at once: one that stands still leaves room for the others
	maxRepairNotices   = 16
)

// settleBackoff lie between the tries to settle in the background.
var settleBackoff = []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 5 * time.Second}

// Client is a front's side of the turn store. It is safe for concurrent use.
type Client struct {
	placement func() *Placement
	transport     transport
	zone      string
	log       *process.Ring
	cache    *incrementCache
	callTimeout  time.Duration
	closeTimeout time.Duration

	ctx     context.Context // of all that outlives an operation
	cancel    context.CancelFunc
	mu      sync.Mutex
	closed  bool           // no operation begins any more
	background   int            // calls and operations in the background
	inFlight map[string]int // of these, the calls to each store
	idle    chan struct{}  // closed once there is none and closed is set
	repairNotices int
	suspects map[string]time.Time // stores that said nothing, until then
}

// NewClient makes a client by the placement in force, which is nil before it was heard of.
func NewClient(placement func() *Placement, calls *rpc.Clients, zone string, log *process.Ring) *Client {
	return newClient(placement, rpcTransport{calls}, zone, log)
}

func newClient(placement func() *Placement, calls transport, zone string, log *process.Ring) *Client {
	c := &Client{placement: placement, transport: calls, zone: zone, log: log, cache: newIncrementCache(clientCacheBytes),
		callTimeout: callTimeout, closeTimeout: closeTimeout, inFlight: map[string]int{}, suspects: map[string]time.Time{}, idle: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Shutdown takes no operations any more, gives what is done in the background until ctx ends, then ends it.
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

// beginBackground takes a place for an operation in the background.
func (c *Client) beginBackground(most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.background >= most {
		return false
	}
	c.background++
	return true
}

// beginCall takes a place for one beginCall to a store; what goes on in the background may make calls until it ends.
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

// endCall gives the place of a call back.
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
