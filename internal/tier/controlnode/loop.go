package controlnode

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/discovery"
)

// do has the loop run f, and waits until what the loop knew then is on disk: the caller may tell what f has read.
func (c *Core) do(f func()) bool {
	done := make(chan struct{})
	select {
	case c.events <- func() { f(); c.finished = append(c.finished, done) }:
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

func (c *Core) add(o Output) {
	c.out.Dirty = c.out.Dirty || o.Dirty
	c.out.Send = append(c.out.Send, o.Send...)
	c.out.Done = append(c.out.Done, o.Done...)
}

// loop owns the node. What a batch of events changed is synced once, before anything of it is told.
func (c *Core) loop() error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	told := published{epoch: -1, commit: -1}
	for c.takeBatch(tick.C) {
		if err := c.syncChanges(); err != nil {
			if c.ctx.Err() != nil {
				return nil
			}
			c.log.Error("the disk does not take the node's state; it stops", "err", err)
			return errors.Wrap(err, "sync the control state")
		}
		c.deliver()
		c.wakeConfirmed()
		c.head.Store(c.node.Head())
		c.publish(&told)
	}
	return nil
}

// maxBatch bounds the events that are taken before anything is sent: many followers that call without a pause must not
// keep this node from being heard by the others.
const maxBatch = 256

// takeBatch waits for an event, and takes those that have come as well. It returns false once the node stops.
func (c *Core) takeBatch(tick <-chan time.Time) bool {
	select {
	case <-c.ctx.Done():
		return false
	case m := <-c.peers:
		c.add(c.node.Receive(c.now(), m))
	case f := <-c.events:
		f()
	case <-tick:
		c.tick()
	}
	for taken := 1; taken < maxBatch && c.takeNext(tick); taken++ {
	}
	return true
}

// takeNext takes one event that has come, messages of other nodes first. It returns false if there is none.
func (c *Core) takeNext(tick <-chan time.Time) bool {
	select {
	case m := <-c.peers:
		c.add(c.node.Receive(c.now(), m))
		return true
	default:
	}
	select {
	case f := <-c.events:
		f()
	case <-tick:
		c.tick()
	default:
		return false
	}
	return true
}

func (c *Core) tick() {
	c.add(c.node.Tick(c.now()))
	c.dropAbandoned()
	c.plan()
}

// syncChanges brings the disk to what the node has.
func (c *Core) syncChanges() error {
	if !c.out.Dirty {
		return nil
	}
	return c.commit(c.ctx, c.rows(c.node.Durable()))
}

// deliver tells what came of the batch: to other nodes, to those that wait for a Done, and to those that had f run by do.
func (c *Core) deliver() {
	for _, e := range c.out.Send {
		c.send(e)
	}
	for _, d := range c.out.Done {
		if w, waits := c.pending[d.RequestID]; waits {
			delete(c.pending, d.RequestID)
			w.done <- d
		}
	}
	c.out = Output{}
	for _, done := range c.finished {
		close(done)
	}
	c.finished = c.finished[:0]
}

// published is what followers and the log were last told of.
type published struct {
	epoch  int64
	commit int64
	hosts  *discovery.List
	fresh  bool
}

// publish wakes followers and writes to the log where something has changed since.
func (c *Core) publish(told *published) {
	if v := c.node.View(); v.Epoch != told.epoch {
		told.epoch = v.Epoch
		c.log.Info("view", "epoch", v.Epoch, "voters", len(v.Voters), "chain", strings.Join(c.chainNames(), " "), "id", c.self.ID)
	}
	commit, hosts, fresh := c.node.Chain().State().Commit, c.node.Hosts(), c.node.Fresh()
	if commit == told.commit && hosts == told.hosts && fresh == told.fresh {
		return
	}
	if fresh != told.fresh {
		c.log.Debug("relied on by followers", "fresh", fresh, "age", c.node.Age(), "commit", commit)
	}
	if hosts != told.hosts {
		c.history.Add(told.hosts, hosts)
	}
	told.commit, told.hosts, told.fresh = commit, hosts, fresh
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// chainNames are the machines of the chain, by id as long as one has not been heard.
func (c *Core) chainNames() (names []string) {
	for _, l := range c.node.View().Chain {
		names = append(names, c.name(l.ID))
	}
	return names
}

// name is the machine that bears an identity, or the identity as long as the machine has not been heard.
func (c *Core) name(id string) string {
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
