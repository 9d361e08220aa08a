package chain

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// written is an entry with the one that its head had before it. The value begins with its number.
type written struct {
	Entry
	before *written
}

const numberSize = 4

// written finds what an entry of a state was written as; nil for one that no head wrote.
func (w *world) written(e Entry) *written {
	if len(e.Value) < numberSize {
		return nil
	}
	number := int(binary.BigEndian.Uint32(e.Value))
	if number >= len(w.entries) || !same(w.entries[number].Entry, e) {
		return nil
	}
	return w.entries[number]
}

func same(a, b Entry) bool {
	return a.Index == b.Index && a.Key == b.Key && bytes.Equal(a.Value, b.Value)
}

// check compares what a member has committed with what was committed, and takes down what is committed first.
func (w *world) check(i int) {
	c := w.members[i]
	s := c.State()
	if s.Commit > s.LastIndex {
		w.fail("%s committed %d, has %d", c.self, s.Commit, s.LastIndex)
	}
	if s.Commit > int64(len(w.truth)) {
		w.rise(c)
	}
	if w.err == nil && !w.holds(s, s.Commit) {
		w.fail("%s: committed %s, differs from what was committed", c.self, text(s))
	}
}

// rise is a commit of more than was committed before: every member of that chain has to have it.
func (w *world) rise(c *Chain) {
	s := c.State()
	w.rises++
	k := slices.IndexFunc(s.Entries, func(e Entry) bool { return e.Index == s.Commit })
	if k < 0 {
		w.fail("%s lacks the last that it committed: %s", c.self, text(s))
		return
	}
	var added []*written
	e := w.written(s.Entries[k])
	for ; e != nil && e.Index > int64(len(w.truth)); e = e.before {
		added = append(added, e)
	}
	if len(w.truth) > 0 && e != w.truth[len(w.truth)-1] || len(w.truth)+len(added) != int(s.Commit) {
		w.fail("%s committed %d entries after another %d", c.self, len(added), len(w.truth))
		return
	}
	slices.Reverse(added)
	w.truth = append(w.truth, added...)
	for _, l := range c.view.Chain {
		m := w.member(l.ID).State()
		if m.ActivatedEpoch < c.view.Epoch || m.LastIndex < s.Commit || !w.holds(m, s.Commit) {
			w.fail("%s committed %d in epoch %d, %s has %s", c.self, s.Commit, c.view.Epoch, l.ID, text(m))
		}
	}
}

// holds tells whether a state has all that was committed up to an index, or what replaced it.
func (w *world) holds(s *State, commit int64) bool {
	replaced := map[string]bool{}
	for i := len(s.Entries) - 1; i >= 0; i-- { // what this member has beyond may have compacted what is asked for
		if e := s.Entries[i]; e.Index > commit && e.Index <= s.Commit {
			replaced[e.Key] = true
		}
	}
	seen := map[string]bool{}
	for index := commit; index > 0; index-- {
		e := w.truth[index-1]
		if seen[e.Key] {
			continue
		}
		seen[e.Key] = true
		k := slices.IndexFunc(s.Entries, func(o Entry) bool { return o.Index == index })
		if k < 0 && replaced[e.Key] {
			continue
		}
		if k < 0 || !same(s.Entries[k], e.Entry) {
			return false
		}
	}
	return true
}

// settled checks that all have all after a time without trouble.
func (w *world) settled() {
	head := w.member(w.view.Head()).State()
	for _, c := range w.members {
		s := c.State()
		if s.Commit != head.LastIndex || c.view.Position(c.self) >= 0 && !c.CommitIsCurrent() {
			w.fail("settled: %s has %s, the head %s", c.self, text(s), text(head))
		}
		for _, e := range s.Entries {
			if last, _ := c.LastEntry(e.Key); s.Commit == s.LastIndex && last.Index != e.Index {
				w.fail("%s is not compacted: %s", c.self, text(s))
			}
		}
	}
}
