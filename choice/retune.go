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
	answersASecond = 12_800
	leastPiece     = 64
	ahead          = 5 * time.Second
)

// measure derives from the settings what the decisions go by.
func (c *Chooser) measure() {
	c.bound, c.minAim, c.mostWorth = 0, math.MaxInt64, 1e-9
	for _, k := range c.set.Classes {
		c.bound, c.minAim = max(c.bound, k.Aim), min(c.minAim, k.Aim)
		c.mostWorth = max(c.mostWorth, k.Worth)
	}
	c.nap = max(c.set.Tick, c.minAim/glance)
	c.cut()
	c.pool.Rescale(c.bound / oracle.Buckets)
	for _, d := range c.dests {
		d.table.Rescale(c.bound / oracle.Buckets)
	}
}

// cut cuts the ends of what waits into pieces anew if the time between looks has changed.
func (c *Chooser) cut() {
	if c.pieces != nil && c.pieces.Slot() == c.nap {
		return
	}
	c.pieces = batching.New(c.nap, max(leastPiece, int(answersASecond*c.nap.Seconds())), int(ahead/c.nap))
	for _, m := range c.msgs {
		if m.group != nil {
			c.pieces.Add(m.endAt)
		}
	}
}

// retune takes other settings, or logs why not.
func (c *Chooser) retune(s Settings) {
	set := c.set
	set.Classes, set.MaxAttempts, set.MaxHeld, set.Workers, set.Rules = s.Classes, s.MaxAttempts, s.MaxHeld, s.Workers, s.Rules
	if err := set.Check(); err != nil {
		c.log("settings not taken: %v", err)
		return
	}
	if n := len(c.set.Classes); len(set.Classes) < n || !slices.Equal(set.Classes[:n], c.set.Classes) {
		c.log("settings not taken: classes that messages may have were changed")
		return
	}
	c.set = set
	c.measure()
	c.moreClasses()
	var spent []*message
	for _, m := range c.msgs {
		if m.group != nil && c.spent(m) {
			spent = append(spent, m)
		}
	}
	slices.SortFunc(spent, func(a, b *message) int { return byEnd(a, b) })
	for _, m := range spent {
		c.final(m, c.whySpent(m))
	}
	for _, id := range slices.Sorted(maps.Keys(c.dests)) {
		c.touch(c.dests[id]) // more may go now, or at other times
	}
}
