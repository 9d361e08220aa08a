package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"larchrouter/choice"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/settings"
)

// maxClasses bounds the classes that one process has known: each new meaning of a name takes an index for good. More need
// a restart.
const maxClasses = 256

// classes are all that the process has known, by the index that messages and the engine use, and those that clients may use
// now. They are immutable.
type classes struct {
	all     []choice.Class
	current map[string]int
}

func newClasses(all []choice.Class) *classes {
	c := &classes{all: slices.Clone(all), current: map[string]int{}}
	for i, k := range all {
		c.current[k.Name] = i
	}
	return c
}

// withCurrent returns classes of which clients may use those given. A class that equals an earlier one takes its index.
// Messages under way keep their index, whether or not the name is in use.
func (c *classes) withCurrent(now []choice.Class) (*classes, error) {
	n := &classes{all: slices.Clone(c.all), current: map[string]int{}}
	for _, k := range now {
		n.current[k.Name] = n.index(k)
	}
	if len(n.all) > maxClasses {
		return nil, fmt.Errorf("%w: %d, %d at most", ErrTooManyClasses, len(n.all), maxClasses)
	}
	return n, nil
}

// index returns the index of a class, and appends it if it is new.
func (c *classes) index(k choice.Class) int {
	i := slices.Index(c.all, k)
	if i < 0 {
		i = len(c.all)
		c.all = append(c.all, k)
	}
	return i
}

// ErrTooManyClasses reports settings that were not applied, since the process has known too many classes already.
var ErrTooManyClasses = errors.New("too many different classes since the start: a restart takes the new file")

// ReloadSettings applies the settings of a file that was read again: classes, attempts, the limit of pending messages,
// slots, rules, and the maximum of Retry-After. Other settings need a restart. Messages under way keep their class.
//
// After it has returned nil, every request is judged by these settings. After ErrTooManyClasses the settings before stay in
// force. After another error, which is that of the context or that the relay has ended, they may still be applied.
func (r *Relay) ReloadSettings(ctx context.Context, read settings.Settings) error {
	refused, err := onLoop(ctx, r, func() error { return r.applySettings(read) })
	return cmp.Or(err, refused)
}

// applySettings is ReloadSettings on the loop.
func (r *Relay) applySettings(read settings.Settings) error {
	next, err := r.classes.Load().withCurrent(read.Classes)
	if err != nil {
		return err
	}
	set := r.settings
	set.Classes, set.MaxAttempts, set.MaxHeld, set.Workers = next.all, read.MaxAttempts, read.MaxHeld, read.Workers
	set.Rules, set.MaxRetryAfter = read.Rules, read.MaxRetryAfter
	r.useSettings(next, set)
	slog.Info("settings taken", "classes", slices.Sorted(maps.Keys(next.current)), "attempts", set.MaxAttempts)
	return nil
}

// useSettings replaces the settings of clients' requests, the engine and the loop, on the loop.
func (r *Relay) useSettings(n *classes, set settings.Settings) {
	r.settings = set
	r.classes.Store(n)
	r.adjustSlots()
}

// classAs returns the class of a message that an earlier process admitted: with the effect that it had then, since the first
// attempt settled what a repeat does, and everything else as the name means now. If the name is no longer in use, the
// message continues under the most restrictive figures of the other classes; a standalone relay ends it.
func (r *Relay) classAs(entry *journal.Entry) (class int, ok bool) {
	known := r.classes.Load()
	class, ok = known.current[entry.Class]
	if entry.Effect == 0 || ok && 1+int(known.all[class].Effect) == entry.Effect || !ok && r.standalone != nil {
		return class, ok
	}
	merged := mostRestrictive(known.all)
	if ok {
		merged = known.all[class]
	}
	merged.Name, merged.Effect = entry.Class, choice.Effect(entry.Effect-1)
	next := &classes{all: slices.Clone(known.all), current: known.current}
	class = next.index(merged)
	set := r.settings
	set.Classes = next.all
	r.useSettings(next, set)
	return class, true
}

// mostRestrictive returns a class with the shortest window and latency target of those given, bound to a zone, and the
// longest deadline.
func mostRestrictive(all []choice.Class) choice.Class {
	k := all[0]
	for _, o := range all[1:] {
		k.Aim, k.Window, k.Worth = min(k.Aim, o.Aim), min(k.Window, o.Window), min(k.Worth, o.Worth)
		k.Deadline, k.LateShare = max(k.Deadline, o.Deadline), min(k.LateShare, o.LateShare)
	}
	k.SameZone = true
	return k
}
