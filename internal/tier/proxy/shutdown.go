package proxy

import (
	"context"
	"time"
)

const (
	drainIdleTimeout = 500 * time.Millisecond  // of kept connections while the server drains
	drainMargin      = time.Second             // of the grace period that Drain leaves
	unlistDelay      = 3500 * time.Millisecond // until the platform has seen two failed readiness checks and sends no more
)

// Drain is the graceful shutdown: the server is no longer ready, keeps no connection beyond its next response, and still
// serves what comes. Drain returns when no client is left after unlistDelay, when the grace period is over but for
// drainMargin, or when ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.clients {
		c.drain()
	}
	s.mu.Unlock()
	end := time.NewTimer(max(0, s.options.GracePeriod-drainMargin))
	defer end.Stop()
	unlisted := time.NewTimer(min(unlistDelay, max(0, s.options.GracePeriod-drainMargin)))
	defer unlisted.Stop()
	select {
	case <-unlisted.C:
	case <-end.C:
		return
	case <-ctx.Done():
		return
	}
	drained := make(chan struct{})
	s.mu.Lock()
	s.drained = drained
	s.notifyDrained()
	s.mu.Unlock()
	select {
	case <-drained:
	case <-end.C:
	case <-ctx.Done():
	}
}

// clientClosed removes a client whose connection has ended.
func (s *Server) clientClosed(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	s.notifyDrained()
}

// notifyDrained ends Drain if no client is left. From then on connections are closed unread, so that their clients may safely
// retry elsewhere. s.mu must be held.
func (s *Server) notifyDrained() {
	if s.drained != nil && len(s.clients) == 0 {
		s.closed = true
		close(s.drained)
		s.drained = nil
	}
}

// Close ends all connections and waits for all goroutines of the server.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	s.closed = true
	for c := range s.clients {
		c.abort()
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.dispatcher.close()
}
