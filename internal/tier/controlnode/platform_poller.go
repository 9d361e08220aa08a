package controlnode

import (
	"slices"
	"time"

	"larchrouter/internal/tier/discovery"
)

// publishHostsRequest publishes the platform's hosts with the verdicts on them, if this node is the confirmed head and
// the list differs from the one published last.
type publishHostsRequest struct {
	hosts         []discovery.Host // as the platform lists them
	lastPublished *discovery.List  // published last by this node as the head; nil for none
	published     *discovery.List  // the current list; nil if this node is not the head
	nextChange    time.Duration    // time until a verdict expires; 0 for none
}

func (r *publishHostsRequest) handle(s *Server) {
	if !s.node.IsConfirmedHead() {
		return
	}
	tracker := s.assumeHealthRole()
	hosts := tracker.Apply(s.now(), r.hosts)
	if at, ok := tracker.NextChange(s.now()); ok {
		r.nextChange = at - s.now()
	}
	if r.published = r.lastPublished; r.published != nil && slices.EqualFunc(r.published.Hosts, hosts, discovery.Host.Equal) {
		return
	}
	list := &discovery.List{Hosts: hosts, Term: s.node.View().Epoch}
	list.Number = discovery.NextNumber(list.Term, s.incarnation, s.node.Hosts())
	s.mergeReady(s.node.PublishHosts(s.now(), list))
	s.logVerdicts(r.lastPublished, list)
	r.published = list
}

// logVerdicts logs the hosts that are ejected in the next list and were not in the last one, which may be nil.
func (s *Server) logVerdicts(last, next *discovery.List) {
	ejected := map[string]bool{}
	if last != nil {
		for _, host := range last.Hosts {
			ejected[host.ID] = host.Phase == discovery.Ejected
		}
	}
	for _, host := range next.Hosts {
		if host.Phase == discovery.Ejected && !ejected[host.ID] {
			s.log.Info("host ejected", "host", host.ID, "service", host.Service, "addr", host.Addr)
		}
	}
}

// pollPlatform is a singleton role: on the head it polls the platform's list of hosts, and publishes each change of the
// list or of the verdicts on hosts.
func (s *Server) pollPlatform() {
	client := discovery.NewClient(s.settings.Platform.Address)
	defer client.Close()
	var lastPublished *discovery.List
	var hosts []discovery.Host // fetched last; nil if this node was not the head at that time
	for s.ctx.Err() == nil {
		if !s.isHead.Load() || s.settings.Platform.Address == "" {
			lastPublished, hosts = nil, nil
			s.sleep(tickInterval)
			continue
		}
		startedAt := time.Now()
		end := startedAt.Add(hostPollInterval)
		if fetched, err := client.FetchHosts(s.ctx); err == nil {
			hosts = fetched
		} else {
			s.log.Debug("fetching the host list from the platform failed", "err", err)
			end = time.Now().Add(hostPollInterval / 3)
		}
		if hosts == nil {
			s.sleep(time.Until(end))
			continue
		}
		lastPublished = s.publishUntil(end, hosts, lastPublished)
	}
}

// publishUntil publishes the platform's hosts, and again with each change of the verdicts until the end time. It
// returns the current list, nil if this node is not the head.
func (s *Server) publishUntil(end time.Time, hosts []discovery.Host, lastPublished *discovery.List) *discovery.List {
	for s.ctx.Err() == nil {
		request := &publishHostsRequest{hosts: hosts, lastPublished: lastPublished}
		if !s.runOnLoop(request) || request.published == nil {
			return nil
		}
		lastPublished = request.published
		s.sleep(min(minHealthInterval, time.Until(end)))
		wait := time.Until(end)
		if request.nextChange > 0 {
			wait = min(wait, request.nextChange)
		}
		if !s.awaitHealthReport(wait) && !time.Now().Before(end) {
			break
		}
	}
	return lastPublished
}

// awaitHealthReport waits for a report of a front for at most the given time, and reports whether one arrived.
func (s *Server) awaitHealthReport(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.healthReported:
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}
