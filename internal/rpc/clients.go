package rpc

import "sync"

// Clients keeps one Client for each address. Its zero value is ready for use, by many goroutines.
type Clients struct {
	Dial DialFunc // opens connections; nil for TCP. It must be set before the first call

	mu      sync.Mutex
	clients map[string]*Client // by address
	closed  bool
}

// To returns the client of an address HOST:PORT. Clients are kept until Close. After Close their calls end in ErrUnsent.
func (c *Clients) To(addr string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]*Client{}
	}
	if c.clients[addr] == nil {
		dial := c.Dial
		if dial == nil {
			dial = dialTCP
		}
		c.clients[addr] = newClient(addr, dial)
		if c.closed {
			c.clients[addr].Close()
		}
	}
	return c.clients[addr]
}

// Close closes all clients for good.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, client := range c.clients {
		client.Close()
	}
}
