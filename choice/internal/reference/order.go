package reference

import "slices"

// Order of keys.

// hasTurn tells whether the order of its key lets a message go.
func (c *Chooser) hasTurn(m *message) bool {
	if !m.class.Ordered || m.Key == "" {
		return true
	}
	l := c.lines[m.Key]
	return l.queue[0] == m && c.now >= l.rest
}

func (c *Chooser) freeLines() {
	c.resting = slices.DeleteFunc(c.resting, func(l *line) bool {
		if len(l.queue) == 0 && c.now >= l.rest {
			delete(c.lines, l.key)
		}
		return len(l.queue) > 0 || c.now >= l.rest
	})
}
