package proxy

import (
	"context"
	"time"
)

const (
	drainIdleTimeout = 500 * time.Millisecond // of kept connections while the server drains
	maxCutLogged     = 8                      // requests cut at the end of a drain that are logged one by one
)

// Drain is the graceful shutdown: the server is no longer ready, keeps no connection beyond its next response, and still
// serves what comes, as far as it can be served within the grace period (see drainPlan). Drain returns when no client is left
// after fullIntakeTime, when the grace period is nearly over, or when ctx ends. The caller then calls Close.
func (s *Server) Drain(ctx context.Context) {
	s.drainBy(ctx, newDrainPlan(time.Now(), s.options.GracePeriod))
}

// drainBy is Drain by a given plan.
func (s *Server) drainBy(ctx context.Context, plan drainPlan) {
	s.beginDrain(plan)
	s.logDrain("drain begins")
	defer s.logDrain("drain ends")
	if !awaitTime(ctx, plan.selectiveAt, nil) {
		return
	}
	s.logDrain("drain goes on until no client is left")
	drained := s.awaitNoClient()
	if !awaitTime(ctx, plan.expiresAt, drained) {
		return
	}
	s.logDrain("drain ends requests in flight")
	s.expire()
	awaitTime(ctx, plan.endsAt, drained)
}

// beginDrain sets the plan of the drain and closes idle connections.
func (s *Server) beginDrain(plan drainPlan) {
	s.drain.Store(&plan)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainBegan = time.Now()
	for c := range s.clients {
		c.drain()
	}
}

// awaitTime waits until t and reports whether that time came before ctx ended and before done was closed.
func awaitTime(ctx context.Context, t time.Time, done <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
	case <-ctx.Done():
	}
	return false
}

// awaitNoClient returns a channel that is closed once no client is left.
func (s *Server) awaitNoClient() <-chan struct{} {
	drained := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = drained
	s.notifyDrained()
	return drained
}

// expire ends the requests in flight that have no response yet: their clients get an error that says whether the request may
// have run. New connections are closed unread.
func (s *Server) expire() {
	s.expired.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.clients {
		if r := c.requestInFlight(); r != nil {
			r.expire()
		}
	}
}

// clientClosed removes a client whose connection has ended.
func (s *Server) clientClosed(c *client) {
	s.evictable.remove(c)
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
		if c.requestInFlight() != nil {
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
		if r := c.requestInFlight(); r != nil && logged < maxCutLogged {
			logged++
			s.options.Log.Info("request cut by the end of the drain", "attempt", r.id,
				"arrived", r.arrivedAt.Sub(s.drainBegan), "accepted", c.acceptedAt.Sub(s.drainBegan))
		}
	}
}
