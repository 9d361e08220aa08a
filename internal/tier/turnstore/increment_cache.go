package turnstore

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// incrementCache is an LRU cache of what turns add to a history, bounded in bytes. It is safe for concurrent use.
type incrementCache struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int                      // sum of sizeOf of all elements
	byID     map[string]*list.Element // by turn ID; values are *cachedIncrement
	recency  list.List                // most recently used first
}

// cachedIncrement is the increment of one turn, or a complete history.
type cachedIncrement struct {
	key      string // program
	id       string // turn
	previous string // turn that the bytes follow; empty: they are the complete history
	bytes    []byte
	until    time.Time // the turn may not be continued from afterwards; zero: no bound
}

const incrementOverhead = 200 // bytes of an element besides its strings and contents, estimated

func newIncrementCache(maxBytes int) *incrementCache {
	return &incrementCache{maxBytes: maxBytes, byID: map[string]*list.Element{}}
}

func (c *incrementCache) sizeOf(p *cachedIncrement) int {
	return len(p.bytes) + len(p.id) + len(p.key) + len(p.previous) + incrementOverhead
}

// put adds an increment in place of an earlier one of the turn. One of more than a quarter of the bound is not cached.
func (c *incrementCache) put(p *cachedIncrement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byID[p.id]; e != nil {
		c.evict(e)
	}
	if c.sizeOf(p) > c.maxBytes/4 {
		return
	}
	c.byID[p.id] = c.recency.PushFront(p)
	for c.bytes += c.sizeOf(p); c.bytes > c.maxBytes; {
		c.evict(c.recency.Back())
	}
}

func (c *incrementCache) evict(e *list.Element) {
	p := c.recency.Remove(e).(*cachedIncrement)
	delete(c.byID, p.id)
	c.bytes -= c.sizeOf(p)
}

func (c *incrementCache) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byID[id]; e != nil {
		c.evict(e)
	}
}

// get returns the increment of a turn.
func (c *incrementCache) get(id string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil, false
	}
	c.recency.MoveToFront(e)
	return e.Value.(*cachedIncrement).bytes, true
}

// history returns the complete history of a turn and its program, if every increment of the chain is cached and the
// turn's time has not passed.
func (c *incrementCache) history(id string, now time.Time) (key string, history []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain []*cachedIncrement
	size := 0
	for next := id; ; {
		e := c.byID[next]
		if e == nil || len(chain) > len(c.byID) {
			return "", nil, false
		}
		p := e.Value.(*cachedIncrement)
		if len(chain) == 0 && !p.until.IsZero() && !now.Before(p.until) {
			c.evict(e)
			return "", nil, false
		}
		chain = append(chain, p)
		size += len(p.bytes)
		if p.previous == "" {
			break
		}
		next = p.previous
	}
	history = make([]byte, 0, size)
	for _, p := range slices.Backward(chain) {
		history = append(history, p.bytes...)
		c.recency.MoveToFront(c.byID[p.id])
	}
	return chain[0].key, history, true
}
