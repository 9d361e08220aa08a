package choice

// Order of keys.

// hasTurn tells whether the order of its key lets a message go.
func (c *Chooser) keyAllows(msg *message) bool {
	if !msg.class.Ordered || msg.Key == "" {
		return true
	}
	order := c.keyOrders[msg.Key]
	first, _ := order.messages.Min()
	return first == msg && c.now >= order.settledAt
}

// advance lets the first message of a key go, or forgets a key without any, once the key has rested.
func (c *Chooser) advance(order *keyOrder) {
	first, ok := order.messages.Min()
	switch {
	case c.now < order.settledAt:
		c.settling.Set(order)
	case !ok:
		delete(c.keyOrders, order.key)
	case first.group != nil && !first.group.keyAllows:
		c.leaveGroup(first)
		c.joinGroup(first)
	}
}

func (c *Chooser) releaseSettledKeys() {
	for order, ok := c.settling.Min(); ok && order.settledAt <= c.now; order, ok = c.settling.Min() {
		c.settling.Remove(order)
		c.advance(order)
	}
}
