package choice

// Settings that change while messages are under way. This file only brings what is derived from the settings up
// to date; what they mean for a message is decided where it ever was.

import (
	"maps"
	"math"
	"slices"
	"time"

	"larchrouter/choice/oracle"
	"larchrouter/internal/relay/batching"
)

// What falls due together is answered at this pace, begun sooner by half of ahead at most. A relay on one core can
// record and tell some 20,000 ends a second beside its other work.
const (
	answersPerSecond = 12_800
	minBatch         = 64
	batchLead        = 5 * time.Second
)

// measure derives from the settings what the decisions go by.
func (c *Chooser) deriveSettings() {
	c.maxTimeout, c.minTarget, c.maxValue = 0, math.MaxInt64, 1e-9
	for _, class := range c.cfg.Classes {
		c.maxTimeout, c.minTarget = max(c.maxTimeout, class.Aim), min(c.minTarget, class.Aim)
		c.maxValue = max(c.maxValue, class.Worth)
	}
	c.wakeInterval = max(c.cfg.Tick, c.minTarget/wakesPerTarget)
	c.resizeBatches()
	c.pooledLatencies.Rescale(c.maxTimeout / oracle.Buckets)
	for _, dest := range c.destinations {
		dest.latencies.Rescale(c.maxTimeout / oracle.Buckets)
	}
}

// cut cuts the ends of what waits into pieces anew if the time between looks has changed.
func (c *Chooser) resizeBatches() {
	if c.batches != nil && c.batches.Slot() == c.wakeInterval {
		return
	}
	c.batches = batching.New(c.wakeInterval, max(minBatch, int(answersPerSecond*c.wakeInterval.Seconds())), int(batchLead/c.wakeInterval))
	for _, msg := range c.messages {
		if msg.group != nil {
			c.batches.Add(msg.expiresAt)
		}
	}
}

// retune takes other settings, or logs why not.
func (c *Chooser) applySettings(changed Settings) {
	cfg := c.cfg
	cfg.Classes, cfg.MaxAttempts, cfg.MaxHeld, cfg.Workers, cfg.Rules = changed.Classes, changed.MaxAttempts, changed.MaxHeld, changed.Workers, changed.Rules
	if err := cfg.Check(); err != nil {
		c.logf("settings not taken: %v", err)
		return
	}
	if classes := len(c.cfg.Classes); len(cfg.Classes) < classes || !slices.Equal(cfg.Classes[:classes], c.cfg.Classes) {
		c.logf("settings not taken: classes that messages may have were changed")
		return
	}
	c.cfg = cfg
	c.deriveSettings()
	c.addShedOrders()
	var spent []*message
	for _, msg := range c.messages {
		if msg.group != nil && c.exhausted(msg) {
			spent = append(spent, msg)
		}
	}
	slices.SortFunc(spent, func(a, b *message) int { return compareExpiry(a, b) })
	for _, msg := range spent {
		c.answer(msg, c.exhaustedReason(msg))
	}
	for _, id := range slices.Sorted(maps.Keys(c.destinations)) {
		c.markDirty(c.destinations[id]) // more may go now, or at other times
	}
}
