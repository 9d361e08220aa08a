package proxy

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/membudget"
)

// isOutOfMemory reports whether an error says that the memory for requests is exhausted.
func isOutOfMemory(err error) bool { return errors.Is(err, membudget.ErrExhausted) }

// streamMemory is what is kept of the stream of a request. It gives way to others by the end of the client's connection, at any time. It
// implements eventstream.Memory.
type streamMemory struct {
	request *request
	account *membudget.Account // nil while nothing is drawn
	gaveWay atomic.Bool
}

// Draw implements eventstream.Memory.
func (m *streamMemory) Draw(bytes int64) error {
	if m.account == nil {
		m.account = m.request.server().options.Memory.Open(m.giveWay)
	}
	return m.account.Draw(bytes)
}

// giveWay ends the request. It is called by the budget, and does not block.
func (m *streamMemory) giveWay() {
	m.gaveWay.Store(true)
	m.request.client.Conn.Close()
	m.request.disconnect()
}

// release returns all that was drawn.
func (m *streamMemory) release() {
	if m.account != nil {
		m.account.Release()
		m.account = nil
	}
}
