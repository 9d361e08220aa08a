package proxy

import (
	"context"
	"time"
)

const (
	drainIdleTimeout = 500 * time.Millisecond  // of kept connections while the server drains
	drainMargin      = time.Second             // of the grace period that Drain leaves
	unlistDelay      = 3500 * time.Millisecond // until the platform has seen two failed readiness checks and sends no more
	maxCutLogged     = 8                       // requests cut at the end of a drain that are logged one by one
)

// Drain is the graceful shutdown: the server is no longer ready, keeps no connection beyond its next response, and still
// serves what comes. Drain returns when no client is left after unlistDelay, when the grace period is over but for
// drainMargin, or when ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.mu.Lock()
	s.drainBegan = time.Now()
	for c := range s.clients {
		c.drain()
	}
	s.mu.Unlock()
	s.logDrain("drain begins")
	defer s.logDrain("drain ends")
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
	s.logDrain("drain goes on until no client is left")
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
	s.logCut()
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

// logDrain logs a stage of the drain, with how many connections are open, how many of them serve a request, and how many were
// accepted since the drain began.
func (s *Server) logDrain(stage string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving, accepted := 0, 0
	for c := range s.clients {
		if _, ok := c.requestInFlight(); ok {
			serving++
		}
		if c.acceptedAt.After(s.drainBegan) {
			accepted++
		}
	}
	s.options.Log.Info(stage, "after", time.Since(s.drainBegan), "connections", len(s.clients), "serving", serving,
		"accepted", accepted)
}

// logCut logs the requests that Close cuts after a drain, and since when they and their connections exist.
func (s *Server) logCut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainBegan.IsZero() {
		return
	}
	logged := 0
	for c := range s.clients {
		if f, ok := c.requestInFlight(); ok && logged < maxCutLogged {
			logged++
			s.options.Log.Info("request cut by the end of the drain", "attempt", f.attempt,
				"arrived", f.arrivedAt.Sub(s.drainBegan), "accepted", c.acceptedAt.Sub(s.drainBegan))
		}
	}
}
