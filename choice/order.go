package choice

// Ordering keys: messages with the same key are sent one at a time.

// keyAllows reports whether a message may be sent as far as its ordering key is concerned.
func (c *Chooser) keyAllows(msg *message) bool {
	if !msg.class.Ordered || msg.Key == "" {
		return true
	}
	order := c.keyOrders[msg.Key]
	first, _ := order.messages.Min()
	return first == msg && c.now >= order.settledAt
}

// advance makes the first message of a key eligible, or removes a key without messages, once the key has
// settled.
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

// releaseSettledKeys advances the keys whose pause after an unknown outcome is over.
func (c *Chooser) releaseSettledKeys() {
	for order, ok := c.settling.Min(); ok && order.settledAt <= c.now; order, ok = c.settling.Min() {
		c.settling.Remove(order)
		c.advance(order)
	}
}
