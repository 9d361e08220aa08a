package rpc

import (
	"sync"
)

// Clients keeps one Client for each address. Its zero value is ready for use.
type Clients struct {
	Dial DialFunc // opens connections; nil for TCP. It is set before the first call

	mu      sync.Mutex
	clients map[string]*Client
	closed  bool
}

// To gives the client of an address.
func (c *Clients) To(addr string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]*Client{}
	}
	if c.clients[addr] == nil {
		open := c.Dial
		if open == nil {
			open = dialTCP
		}
		c.clients[addr] = newClient(addr, open)
		if c.closed {
			c.clients[addr].Close()
		}
	}
	return c.clients[addr]
}

// Close ends all connections for good.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, one := range c.clients {
		one.Close()
	}
}
