package relay

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"larchrouter/choice"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/settings"
)

// maxClasses that one process has known: each new meaning of a name takes a place for good. More need a restart.
const maxClasses = 256

// classes are all that the process has known, in the places by which decisions and messages know them, and those
// that clients may use now. They are never changed, only replaced.
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

// withCurrent gives clients other classes to use. A class that means what one has meant before takes its place; messages
// under way keep theirs, whether or not its name is in use.
func (c *classes) withCurrent(now []choice.Class) (*classes, error) {
	n := &classes{all: slices.Clone(c.all), current: map[string]int{}}
	for _, k := range now {
		n.current[k.Name] = n.index(k)
	}
	if len(n.all) > maxClasses {
		return nil, fmt.Errorf("%d different classes since the start, %d at most: a restart takes the new file", len(n.all), maxClasses)
	}
	return n, nil
}

// index is where a class stands; a new one is put last.
func (c *classes) index(k choice.Class) int {
	i := slices.Index(c.all, k)
	if i < 0 {
		i = len(c.all)
		c.all = append(c.all, k)
	}
	return i
}

// ReloadSettings takes the settings of a file that was read again: classes, attempts, what may be held, slots, rules, and
// how long clients heed advice. All else needs a restart. Messages under way keep their class.
func (r *Relay) ReloadSettings(s settings.Settings) {
	r.post(func() {
		n, err := r.classes.Load().withCurrent(s.Classes)
		if err != nil {
			slog.Error("settings not taken", "err", err)
			return
		}
		set := r.settings
		set.Classes, set.MaxAttempts, set.MaxHeld, set.Workers = n.all, s.MaxAttempts, s.MaxHeld, s.Workers
		set.Rules, set.MaxRetryAfter = s.Rules, s.MaxRetryAfter
		r.useSettings(n, set)
		slog.Info("settings taken", "classes", slices.Sorted(maps.Keys(n.current)), "attempts", set.MaxAttempts)
	})
}

// useSettings has clients, decisions and the loop go by other settings, in the loop.
func (r *Relay) useSettings(n *classes, set settings.Settings) {
	r.settings = set
	r.classes.Store(n)
	r.adjustSlots()
}

// classAs is the class of a message that an earlier process took on: with the effect that it had then, since what a
// repeat does was settled with the first try; all else as the name means now. Where the name is no longer in use
// the message goes on under the most careful figures of the others, unless a relay alone ends it.
func (r *Relay) classAs(e *journal.Entry) (class int, ok bool) {
	c := r.classes.Load()
	class, ok = c.current[e.Class]
	if e.Effect == 0 || ok && 1+int(c.all[class].Effect) == e.Effect || !ok && r.standalone != nil {
		return class, ok
	}
	k := mostRestrictive(c.all)
	if ok {
		k = c.all[class]
	}
	k.Name, k.Effect = e.Class, choice.Effect(e.Effect-1)
	n := &classes{all: slices.Clone(c.all), current: c.current}
	class = n.index(k)
	set := r.settings
	set.Classes = n.all
	r.useSettings(n, set)
	return class, true
}

// mostRestrictive is a class with the shortest window and aim of some, bound to a zone, and the longest time.
func mostRestrictive(all []choice.Class) choice.Class {
	k := all[0]
	for _, o := range all[1:] {
		k.Aim, k.Window, k.Worth = min(k.Aim, o.Aim), min(k.Window, o.Window), min(k.Worth, o.Worth)
		k.Deadline, k.LateShare = max(k.Deadline, o.Deadline), min(k.LateShare, o.LateShare)
	}
	k.SameZone = true
	return k
}
