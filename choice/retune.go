package choice

// Changes of settings while messages are pending. This file updates what is derived from the settings; their
// meaning for a message is decided in the other files.

import (
	"maps"
	"math"
	"slices"
	"time"

	"larchrouter/choice/oracle"
	"larchrouter/internal/relay/batching"
)

// Messages that expire together are answered in batches, at a rate that leaves a relay on one core time for
// its other work: it can record and send some 20,000 final answers a second.
const (
	answersPerSecond = 12_800
	minBatch         = 64              // messages
	batchLead        = 5 * time.Second // horizon of the schedule; answers are early by half of it at most
)

// deriveSettings updates the values that are derived from the settings.
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

// resizeBatches rebuilds the schedule of expiries if wakeInterval has changed.
func (c *Chooser) resizeBatches() {
	if c.batches != nil && c.batches.Slot() == c.wakeInterval {
		return
	}
	batch := max(minBatch, int(answersPerSecond*c.wakeInterval.Seconds()))
	c.batches = batching.New(c.wakeInterval, batch, int(batchLead/c.wakeInterval))
	for _, msg := range c.messages {
		if msg.group != nil {
			c.batches.Add(msg.expiresAt)
		}
	}
}

// applySettings changes the settings, or logs why they are invalid. Messages that may not be sent again under
// the new ones are answered.
func (c *Chooser) applySettings(changed Settings) {
	cfg := c.cfg
	cfg.Classes, cfg.MaxAttempts, cfg.MaxHeld = changed.Classes, changed.MaxAttempts, changed.MaxHeld
	cfg.Workers, cfg.Rules = changed.Workers, changed.Rules
	if err := cfg.Check(); err != nil {
		c.logf("settings not taken: %v", err)
		return
	}
	classes := len(c.cfg.Classes)
	if len(cfg.Classes) < classes || !slices.Equal(cfg.Classes[:classes], c.cfg.Classes) {
		c.logf("settings not taken: classes that messages may have were changed")
		return
	}
	c.cfg = cfg
	c.deriveSettings()
	c.addShedOrders()
	var exhausted []*message
	for _, msg := range c.messages {
		if msg.group != nil && c.exhausted(msg) {
			exhausted = append(exhausted, msg)
		}
	}
	slices.SortFunc(exhausted, compareExpiry)
	for _, msg := range exhausted {
		c.answer(msg, c.exhaustedReason(msg))
	}
	for _, id := range slices.Sorted(maps.Keys(c.destinations)) {
		c.markDirty(c.destinations[id]) // it may be sent to now, or at other times
	}
}
