package controlnode

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/discovery"
)

// eventLoop owns the node. It handles events in batches: the changes of a batch are synced once, before any of its
// messages, completions and reads leave the node. It returns an error if the disk fails, as a node that cannot sync
// cannot promise anything. If the disk is full, it waits for space.
func (s *Server) eventLoop() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	lastPublished := publishedState{epoch: -1, commit: -1}
	for s.handleBatch(tick.C) {
		if err := s.becomeFounder(); err != nil {
			return err
		}
		if err := s.syncChanges(); err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			s.log.Error("cannot sync the control state to disk; the node stops", "err", err)
			return errors.Wrap(err, "sync the control state")
		}
		s.deliver()
		s.wakeConfirmedPolls()
		s.isHead.Store(s.node.IsConfirmedHead())
		s.viewEpoch.Store(s.node.View().Epoch)
		if len(s.settings.Platform.Duties) > 0 {
			s.updateLease()
		}
		s.publishChanges(&lastPublished)
	}
	return nil
}

// maxBatch bounds the number of events that are handled before anything is sent: many followers that call without
// pause must not delay this node's heartbeats.
const maxBatch = 256

// handleBatch waits for an event, and handles it together with the events that are already queued. It returns false
// once the server stops.
func (s *Server) handleBatch(tick <-chan time.Time) bool {
	select {
	case <-s.ctx.Done():
		return false
	case m := <-s.peerMessages:
		s.mergeReady(s.node.Receive(s.now(), m))
	case request := <-s.requests:
		s.handleRequest(request)
	case <-tick:
		s.tick()
	}
	for handled := 1; handled < maxBatch && s.handleNext(tick); handled++ {
	}
	return true
}

// handleNext handles one queued event, messages from other nodes first. It returns false if there is none.
func (s *Server) handleNext(tick <-chan time.Time) bool {
	select {
	case m := <-s.peerMessages:
		s.mergeReady(s.node.Receive(s.now(), m))
		return true
	default:
	}
	select {
	case request := <-s.requests:
		s.handleRequest(request)
	case <-tick:
		s.tick()
	default:
		return false
	}
	return true
}

// tick does the periodic work of the loop.
func (s *Server) tick() {
	now := time.Now()
	s.tickTimes.end(now)
	s.tickTimes.begin(now)
	s.mergeReady(s.node.Tick(s.now()))
	s.dropAbandoned()
	s.planPlacement()
}

// mergeReady adds a Ready of the node to the Ready of the batch.
func (s *Server) mergeReady(ready Ready) {
	s.ready.MustSync = s.ready.MustSync || ready.MustSync
	s.ready.Messages = append(s.ready.Messages, ready.Messages...)
	s.ready.Completed = append(s.ready.Completed, ready.Completed...)
}

// syncChanges writes the node's durable state to the disk and syncs it, if the batch has changed it.
func (s *Server) syncChanges() error {
	if !s.ready.MustSync {
		return nil
	}
	rows := s.saved.changedRows(s.node.Durable())
	s.syncTimes.begin(time.Now())
	err := s.syncRows(s.ctx, rows)
	s.syncTimes.end(time.Now())
	if errors.Is(err, sqlitelog.ErrFull) {
		return s.retrySyncUntilSpace(rows, err)
	}
	return err
}

// deliver sends the messages of the batch, wakes the callers of completed requests, and then the callers of
// runOnLoop.
func (s *Server) deliver() {
	for _, e := range s.ready.Messages {
		s.sendToPeer(e)
	}
	for _, completion := range s.ready.Completed {
		if p, ok := s.pendingRequests[completion.RequestID]; ok {
			delete(s.pendingRequests, completion.RequestID)
			p.completed <- completion
		}
	}
	s.ready = Ready{}
	s.reportSynced(true)
}

// reportSynced tells the callers of runOnLoop in this batch whether the state that they have read is on disk.
func (s *Server) reportSynced(ok bool) {
	for _, synced := range s.awaitingSync {
		synced <- ok
	}
	s.awaitingSync = s.awaitingSync[:0]
}

// publishedState is the state that was last logged and announced to followers.
type publishedState struct {
	epoch  int64
	commit int64
	hosts  *discovery.List
	fresh  bool
}

// publishChanges logs what has changed since the last call, and wakes the polls of followers if the commit index, the
// host list or the freshness has changed.
func (s *Server) publishChanges(last *publishedState) {
	if v := s.node.View(); v.Epoch != last.epoch {
		last.epoch = v.Epoch
		chain := strings.Join(s.chainNames(), " ")
		s.log.Info("view adopted", "epoch", v.Epoch, "voters", len(v.Voters), "chain", chain, "id", s.self.ID)
	}
	commit, hosts, fresh := s.node.Chain().State().Commit, s.node.Hosts(), s.node.Fresh()
	if commit == last.commit && hosts == last.hosts && fresh == last.fresh {
		return
	}
	if fresh != last.fresh {
		s.log.Debug("freshness changed", "fresh", fresh, "confirmation_age", s.node.ConfirmationAge(), "commit", commit)
	}
	if hosts != last.hosts {
		s.hostListHistory.Add(last.hosts, hosts)
	}
	last.commit, last.hosts, last.fresh = commit, hosts, fresh
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// chainNames returns the names of the machines in the chain, or their IDs where the names are unknown.
func (s *Server) chainNames() (names []string) {
	for _, member := range s.node.View().Chain {
		names = append(names, s.nodeName(member.ID))
	}
	return names
}

// nodeName returns the name of the machine with the given ID, or the ID if the name is unknown.
func (s *Server) nodeName(id string) string {
	if id == s.self.ID {
		return s.self.Name
	}
	if p := s.node.peers[id]; p != nil && p.member.Name != "" {
		return p.member.Name
	}
	v := s.node.View()
	if m, ok := v.Member(id); ok && m.Name != "" {
		return m.Name
	}
	return id
}
