package turnstore

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"larchrouter/internal/rpc"
)

// Bounds of a client.
const (
	callTime     = 700 * time.Millisecond // a store that is cut off says nothing
	closeTime    = 1200 * time.Millisecond
	tryPause     = 50 * time.Millisecond  // after a call that failed at once; it doubles
	newerWait    = 300 * time.Millisecond // for a newer placement
	newerLook    = 10 * time.Millisecond
	hedgeAfter   = 40 * time.Millisecond // a second store is asked for the history
	suspectFor   = 1500 * time.Millisecond
	chainHops    = 64 // stores' parts that one history is put together from
	clientPieces = 16 << 20
	laterMost    = 4096 // things done in the background at once
	storeMost    = 1024 // calls of one store under way at once: one that stands still leaves room for the others
	repairMost   = 16
)

// settlePauses lie between the tries to settle in the background.
var settlePauses = []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 5 * time.Second}

// Client is a front's side of the turn store. It is safe for concurrent use.
type Client struct {
	placement func() *Placement
	calls     network
	zone      string
	log       *slog.Logger
	pieces    *pieces
	callTime  time.Duration
	closeTime time.Duration

	ctx     context.Context // of all that outlives an operation
	stop    context.CancelFunc
	mu      sync.Mutex
	closed  bool           // no operation begins any more
	later   int            // calls and operations in the background
	calling map[string]int // of these, the calls to each store
	idle    chan struct{}  // closed once there is none and closed is set
	repairs int
	suspect map[string]time.Time // stores that said nothing, until then
}

// NewClient makes a client by the placement in force, which is nil before it was heard of.
func NewClient(placement func() *Placement, calls *rpc.Clients, zone string, log *slog.Logger) *Client {
	return newClient(placement, connections{calls}, zone, log)
}

func newClient(placement func() *Placement, calls network, zone string, log *slog.Logger) *Client {
	c := &Client{placement: placement, calls: calls, zone: zone, log: log, pieces: newPieces(clientPieces),
		callTime: callTime, closeTime: closeTime, calling: map[string]int{}, suspect: map[string]time.Time{}, idle: make(chan struct{})}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// Shutdown takes no operations any more, gives what is done in the background until ctx ends, then ends it.
func (c *Client) Shutdown(ctx context.Context) {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.later == 0 {
			close(c.idle)
		}
	}
	c.mu.Unlock()
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
	c.stop()
	<-c.idle
}

// begin takes a place for an operation in the background.
func (c *Client) begin(most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.later >= most {
		return false
	}
	c.later++
	return true
}

// call takes a place for one call to a store; what goes on in the background may make calls until it ends.
func (c *Client) call(store string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && c.later == 0 || c.later >= laterMost || c.calling[store] >= storeMost {
		return false
	}
	c.later++
	c.calling[store]++
	return true
}

// called gives the place of a call back.
func (c *Client) called(store string) {
	c.mu.Lock()
	if c.calling[store]--; c.calling[store] == 0 {
		delete(c.calling, store)
	}
	c.mu.Unlock()
	c.end()
}

func (c *Client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.later--; c.later == 0 && c.closed {
		close(c.idle)
	}
}
