package rpc

import (
	"context"
	"time"

	"larchrouter/internal/membudget"
)

const (
	drawRetryInterval = 5 * time.Millisecond // between two tries of a draw that waits for calls to end

	// maxDrawWait is the time for which a draw waits. It is less than the time-outs of the callers, and more than a call takes that
	// goes on.
	maxDrawWait = 300 * time.Millisecond
)

// callMemory is what one call makes a server hold. The account is opened with the first draw.
type callMemory struct {
	budget  *membudget.Budget
	cost    int                // bytes that are drawn for each byte of the call's body
	account *membudget.Account // nil if nothing was drawn
}

// callMemoryKey is the key of a call's memory in the context of its handler.
type callMemoryKey struct{}

// Draw counts bytes that the handler of a call is about to hold, until its response is written. It returns an error if the memory
// of the server is exhausted. The handler must not call it concurrently with itself. ctx is the handler's.
func Draw(ctx context.Context, bytes int) error {
	memory, ok := ctx.Value(callMemoryKey{}).(*callMemory)
	if !ok {
		return nil
	}
	if memory.account == nil {
		memory.open(func() {})
		memory.account.Complete()
	}
	return memory.drawWaiting(bytes)
}

// open opens the account.
func (m *callMemory) open(evict func()) { m.account = m.budget.Open(evict) }

// bodyDraws returns the draw of readBody for a body of n bytes: first what is read ahead, then all that the call costs, at once, so that
// calls do not wait for each other with a part of it.
func (m *callMemory) bodyDraws(n int) func(bytes int) error {
	left := m.cost * n
	return func(bytes int) error {
		if left < m.cost*n {
			bytes = left
		}
		left -= bytes
		return m.drawWaiting(bytes)
	}
}

// drawWaiting draws bytes. While there is no room it waits for other calls to end, as to give way costs the callers of a connection all
// calls on it; after maxDrawWait, those whose bodies are not complete give way.
func (m *callMemory) drawWaiting(bytes int) error {
	for deadline := time.Now().Add(maxDrawWait); time.Now().Before(deadline); time.Sleep(drawRetryInterval) {
		if m.account.TryDraw(int64(bytes)) {
			return nil
		}
	}
	return m.account.Draw(int64(bytes))
}

// release releases what was drawn.
func (m *callMemory) release() {
	if m.account != nil {
		m.account.Release()
		m.account = nil
	}
}
