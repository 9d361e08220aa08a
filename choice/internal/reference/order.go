package reference

import "slices"

// Order of keys.

// hasTurn tells whether the order of its key lets a message go.
func (c *Chooser) keyAllows(msg *message) bool {
	if !msg.class.Ordered || msg.Key == "" {
		return true
	}
	order := c.keyOrders[msg.Key]
	return order.messages[0] == msg && c.now >= order.settledAt
}

func (c *Chooser) releaseSettledKeys() {
	c.settling = slices.DeleteFunc(c.settling, func(order *keyOrder) bool {
		if len(order.messages) == 0 && c.now >= order.settledAt {
			delete(c.keyOrders, order.key)
		}
		return len(order.messages) > 0 || c.now >= order.settledAt
	})
}
