package proxy

import (
	"container/list"
	"sync"
)

// maxEvicting bounds the connections that were told to give way and are not closed yet.
const maxEvicting = 64

// evictableConns are the client connections that give way to new ones once there are as many as permitted: those that are idle,
// the one that has been so for the longest time first, then those whose request is not read completely. It is safe for concurrent
// use.
type evictableConns struct {
	mu       sync.Mutex
	idle     list.List // of *client, the one that has been idle for the longest time first
	reading  list.List // of *client, the one whose request began first ahead
	evicting int       // told to give way, and not removed yet
}

// evictable is the place of a client in evictableConns, whose mu guards it.
type evictable struct {
	list    *list.List // that has the client; nil for none
	element *list.Element
	evicted bool
}

// setIdle makes a connection evictable as one that is between requests, or has sent none.
func (e *evictableConns) setIdle(c *client) { e.move(c, &e.idle) }

// setReading makes a connection evictable as one whose request is being read. It returns false if it was told to give way.
func (e *evictableConns) setReading(c *client) bool { return e.move(c, &e.reading) }

// setServing makes a connection one that does not give way. It returns false if it was told to give way before.
func (e *evictableConns) setServing(c *client) bool { return e.move(c, nil) }

func (e *evictableConns) move(c *client, to *list.List) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.take(c)
	if c.evictable.evicted {
		return false
	}
	if to != nil {
		c.evictable.list, c.evictable.element = to, to.PushBack(c)
	}
	return true
}

// take takes a client out of its list. mu must be held.
func (e *evictableConns) take(c *client) {
	if c.evictable.list != nil {
		c.evictable.list.Remove(c.evictable.element)
		c.evictable.list, c.evictable.element = nil, nil
	}
}

// remove removes a connection that is closed.
func (e *evictableConns) remove(c *client) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.take(c)
	if c.evictable.evicted {
		e.evicting--
	}
}

// mustClose reports whether a connection was told to give way to another one.
func (e *evictableConns) mustClose(c *client) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.evictable.evicted
}

// evictOne tells one connection to give way. It returns false if there is none, or if too many are giving way already.
func (e *evictableConns) evictOne() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.evicting >= maxEvicting {
		return false
	}
	for _, candidates := range []*list.List{&e.idle, &e.reading} {
		if first := candidates.Front(); first != nil {
			c := first.Value.(*client)
			e.take(c)
			c.evictable.evicted = true
			e.evicting++
			if candidates == &e.idle {
				c.Conn.Close() // unread, so that the client may safely retry elsewhere
			} else {
				c.giveWay()
			}
			return true
		}
	}
	return false
}

// evictingCount returns the number of connections that were told to give way and are not closed yet.
func (e *evictableConns) evictingCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evicting
}
