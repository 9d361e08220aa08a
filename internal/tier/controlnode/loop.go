package controlnode

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/discovery"
)

// runOnLoop has the loop run f, and waits until what the loop knew then is on disk: the caller may tell what f has read.
func (c *Server) runOnLoop(f func()) bool {
	done := make(chan struct{})
	select {
	case c.requests <- func() { f(); c.awaitingSync = append(c.awaitingSync, done) }:
	case <-c.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *Server) mergeReady(o Ready) {
	c.ready.MustSync = c.ready.MustSync || o.MustSync
	c.ready.Messages = append(c.ready.Messages, o.Messages...)
	c.ready.Completed = append(c.ready.Completed, o.Completed...)
}

// eventLoop owns the node. What a batch of events changed is synced once, before anything of it is told.
func (c *Server) eventLoop() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	told := publishedState{epoch: -1, commit: -1}
	for c.handleBatch(tick.C) {
		if err := c.syncChanges(); err != nil {
			if c.ctx.Err() != nil {
				return nil
			}
			c.log.Trouble("msg", "the disk does not take the node's state; it stops", "err", err)
			return errors.Wrap(err, "sync the control state")
		}
		c.deliver()
		c.wakeConfirmedPolls()
		c.isHead.Store(c.node.IsConfirmedHead())
		c.notifyChanges(&told)
	}
	return nil
}

// maxBatch bounds the events that are taken before anything is sent: many followers that call without a pause must not
// keep this node from being heard by the others.
const maxBatch = 256

// handleBatch waits for an event, and takes those that have come as well. It returns false once the node stops.
func (c *Server) handleBatch(tick <-chan time.Time) bool {
	select {
	case <-c.ctx.Done():
		return false
	case m := <-c.peerMessages:
		c.mergeReady(c.node.Receive(c.now(), m))
	case f := <-c.requests:
		f()
	case <-tick:
		c.tick()
	}
	for taken := 1; taken < maxBatch && c.handleNext(tick); taken++ {
	}
	return true
}

// handleNext takes one event that has come, messages of other nodes first. It returns false if there is none.
func (c *Server) handleNext(tick <-chan time.Time) bool {
	select {
	case m := <-c.peerMessages:
		c.mergeReady(c.node.Receive(c.now(), m))
		return true
	default:
	}
	select {
	case f := <-c.requests:
		f()
	case <-tick:
		c.tick()
	default:
		return false
	}
	return true
}

func (c *Server) tick() {
	c.mergeReady(c.node.Tick(c.now()))
	c.dropAbandoned()
	c.planPlacement()
}

// syncChanges brings the disk to what the node has.
func (c *Server) syncChanges() error {
	if !c.ready.MustSync {
		return nil
	}
	return c.syncRows(c.ctx, c.changedRows(c.node.Durable()))
}

// deliver tells what came of the batch: to other nodes, to those that wait for a Done, and to those that had f run by do.
func (c *Server) deliver() {
	for _, e := range c.ready.Messages {
		c.sendToPeer(e)
	}
	for _, d := range c.ready.Completed {
		if w, waits := c.pendingRequests[d.RequestID]; waits {
			delete(c.pendingRequests, d.RequestID)
			w.done <- d
		}
	}
	c.ready = Ready{}
	for _, done := range c.awaitingSync {
		close(done)
	}
	c.awaitingSync = c.awaitingSync[:0]
}

// publishedState is what followers and the log were last told of.
type publishedState struct {
	epoch  int64
	commit int64
	hosts  *discovery.List
	fresh  bool
}

// notifyChanges wakes followers and writes to the log where something has changed since.
func (c *Server) notifyChanges(told *publishedState) {
	if v := c.node.View(); v.Epoch != told.epoch {
		told.epoch = v.Epoch
		c.log.Say("msg", "view", "epoch", v.Epoch, "voters", len(v.Voters), "chain", strings.Join(c.chainNames(), " "), "self", c.self.ID)
	}
	commit, hosts, fresh := c.node.Chain().State().Commit, c.node.Hosts(), c.node.Fresh()
	if commit == told.commit && hosts == told.hosts && fresh == told.fresh {
		return
	}
	if fresh != told.fresh {
		_ = c.log.Log("msg", "relied on by followers", "fresh", fresh, "age", c.node.ConfirmationAge(), "commit", commit)
	}
	if hosts != told.hosts {
		c.hostListHistory.Add(told.hosts, hosts)
	}
	told.commit, told.hosts, told.fresh = commit, hosts, fresh
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// chainNames are the machines of the chain, by id as long as one has not been heard.
func (c *Server) chainNames() (names []string) {
	for _, l := range c.node.View().Chain {
		names = append(names, c.name(l.ID))
	}
	return names
}

// name is the machine that bears an identity, or the identity as long as the machine has not been heard.
func (c *Server) name(id string) string {
	if id == c.self.ID {
		return c.self.Name
	}
	if p := c.node.peers[id]; p != nil && p.member.Name != "" {
		return p.member.Name
	}
	v := c.node.View()
	if m, ok := v.Member(id); ok && m.Name != "" {
		return m.Name
	}
	return id
}
