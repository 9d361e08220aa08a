package controlnode

import (
	"context"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/usage"
)

const (
	clockInterval = 2 * time.Second // between two rounds of clock samples
	clockTimeout  = 500 * time.Millisecond
)

// trueNow returns the true time as estimated by this node from the clocks of the voters.
func (s *Server) trueNow() time.Time { return s.trueTime.At(s.now()) }

// knowsTrueTime reports whether the estimate of the true time includes the clocks of a majority of the voters. It runs on the event
// loop.
func (s *Server) knowsTrueTime() bool {
	view := s.node.View()
	return s.trueTime.Clocks() >= view.Majority()
}

// handleClock returns the wall clock of this node.
func (s *Server) handleClock(context.Context, *feed.Empty) (*feed.ClockReading, error) {
	return &feed.ClockReading{UnixMicros: time.Now().UnixMicro()}, nil
}

// voterAddrsQuery reads the addresses of the other voters, by node ID. Voters whose address is not known are omitted.
type voterAddrsQuery struct{ addrs map[string]string }

func (q *voterAddrsQuery) handle(s *Server) {
	q.addrs = map[string]string{}
	view := s.node.View()
	for _, m := range view.Voters {
		if addr := s.node.addr(m.ID); m.ID != s.self.ID && addr != "" {
			q.addrs[m.ID] = addr
		}
	}
}

// sampleClocks samples the clocks of the other voters periodically, until the server stops. The head needs them for the windows of
// usage reports; every node takes samples, so that a new head has an estimate at once.
func (s *Server) sampleClocks() {
	if !s.settings.HasDuty(usageTaskName) {
		return
	}
	for s.ctx.Err() == nil {
		query := &voterAddrsQuery{}
		if s.runOnLoop(query) {
			for id, addr := range query.addrs {
				s.wg.Go(func() { s.sampleClock(id, addr) })
			}
		}
		s.sleep(clockInterval)
	}
}

// sampleClock takes a sample of the clock of one node.
func (s *Server) sampleClock(id, addr string) {
	ctx, cancel := context.WithTimeout(s.ctx, clockTimeout)
	defer cancel()
	startedAt := s.now()
	var reading feed.ClockReading
	if s.clients.To(addr).Call(ctx, feed.ClockCall, &feed.Empty{}, &reading) != nil {
		return
	}
	received := s.now()
	s.trueTime.Observe(usage.ClockSample{Node: id, Wall: time.UnixMicro(reading.UnixMicros), RoundTrip: received - startedAt,
		ReceivedAt: received})
}
