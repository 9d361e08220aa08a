package reference

// Ordering keys: messages with the same key are sent one at a time.

import "slices"

// keyAllows reports whether a message may be sent as far as its ordering key is concerned.
func (c *Chooser) keyAllows(msg *message) bool {
	if !msg.class.Ordered || msg.Key == "" {
		return true
	}
	order := c.keyOrders[msg.Key]
	return order.messages[0] == msg && c.now >= order.settledAt
}

// releaseSettledKeys removes the keys without messages whose pause after an unknown outcome is over.
func (c *Chooser) releaseSettledKeys() {
	c.settling = slices.DeleteFunc(c.settling, func(order *keyOrder) bool {
		if len(order.messages) == 0 && c.now >= order.settledAt {
			delete(c.keyOrders, order.key)
		}
		return len(order.messages) > 0 || c.now >= order.settledAt
	})
}
