package controlnode

import (
	"slices"
	"time"

	"larchrouter/internal/tier/discovery"
)

// publishHostsRequest numbers and publishes a list of hosts, if this node is the confirmed head.
type publishHostsRequest struct {
	list      *discovery.List // its hosts are set by the caller, term and number by handle
	published bool
}

func (r *publishHostsRequest) handle(s *Server) {
	if !s.node.IsConfirmedHead() {
		return
	}
	r.list.Term = s.node.View().Epoch
	r.list.Number = discovery.NextNumber(r.list.Term, s.incarnation, s.node.Hosts())
	s.mergeReady(s.node.PublishHosts(s.now(), r.list))
	r.published = true
}

// pollPlatform is the other singleton role: at the head it polls the platform's list of hosts and publishes
// each change.
func (s *Server) pollPlatform() {
	client := discovery.NewClient(s.settings.Platform.Address)
	defer client.Close()
	var lastPublished *discovery.List
	for s.ctx.Err() == nil {
		if !s.isHead.Load() || s.settings.Platform.Address == "" {
			lastPublished = nil
			s.sleep(tickInterval)
			continue
		}
		startedAt := time.Now()
		hosts, err := client.FetchHosts(s.ctx)
		if err != nil {
			s.log.Debug("the platform's list was not fetched", "err", err)
			s.sleep(hostPollInterval / 3)
			continue
		}
		if lastPublished == nil || !slices.EqualFunc(lastPublished.Hosts, hosts, discovery.Host.Equal) {
			request := &publishHostsRequest{list: &discovery.List{Hosts: hosts}}
			if s.runOnLoop(request) && request.published {
				lastPublished = request.list
			}
		}
		s.sleep(hostPollInterval - time.Since(startedAt))
	}
}
