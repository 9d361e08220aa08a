package turnstore

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

// pieces is a cache of what turns add to a history, bounded in bytes; the least recently used go first.
type pieces struct {
	mu    sync.Mutex
	most  int
	bytes int
	all   map[string]*list.Element
	order list.List // newest first
}

type piece struct {
	key      string // program
	id       string
	previous string // empty: the bytes are the whole history
	bytes    []byte
	until    time.Time // zero: no bound
}

const pieceCost = 200 // of one in the cache, beside its bytes

func newPieces(most int) *pieces { return &pieces{most: most, all: map[string]*list.Element{}} }

func (c *pieces) cost(p *piece) int {
	return len(p.bytes) + len(p.id) + len(p.key) + len(p.previous) + pieceCost
}

func (c *pieces) put(p *piece) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.all[p.id]; e != nil {
		c.drop(e)
	}
	if c.cost(p) > c.most/4 {
		return
	}
	c.all[p.id] = c.order.PushFront(p)
	for c.bytes += c.cost(p); c.bytes > c.most; {
		c.drop(c.order.Back())
	}
}

func (c *pieces) drop(e *list.Element) {
	p := c.order.Remove(e).(*piece)
	delete(c.all, p.id)
	c.bytes -= c.cost(p)
}

func (c *pieces) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.all[id]; e != nil {
		c.drop(e)
	}
}

// get gives one piece's bytes.
func (c *pieces) get(id string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.all[id]
	if e == nil {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*piece).bytes, true
}

// history gives the whole history of a turn if every piece of it is here and the turn is known to be kept.
func (c *pieces) history(id string, now time.Time) (key string, history []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain []*piece
	size := 0
	for next := id; ; {
		e := c.all[next]
		if e == nil || len(chain) > len(c.all) {
			return "", nil, false
		}
		p := e.Value.(*piece)
		if len(chain) == 0 && !p.until.IsZero() && !now.Before(p.until) {
			c.drop(e)
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
		c.order.MoveToFront(c.all[p.id])
	}
	return chain[0].key, history, true
}
