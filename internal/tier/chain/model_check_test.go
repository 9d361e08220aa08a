package chain

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// appendedEntry is an entry and the entry that preceded it at the head that appended it. The value starts with its number in
// simulation.appended.
type appendedEntry struct {
	Entry
	previous *appendedEntry
}

const numberSize = 4

// findAppended returns the appended entry that equals an entry of a state, or nil if no head has appended it.
func (sim *simulation) findAppended(e Entry) *appendedEntry {
	if len(e.Value) < numberSize {
		return nil
	}
	number := int(binary.BigEndian.Uint32(e.Value))
	if number >= len(sim.appended) || !equalEntries(sim.appended[number].Entry, e) {
		return nil
	}
	return sim.appended[number]
}

func equalEntries(a, b Entry) bool {
	return a.Index == b.Index && a.Key == b.Key && bytes.Equal(a.Value, b.Value)
}

// checkCommitted checks that the committed entries of a member agree with those committed before, and records new ones.
func (sim *simulation) checkCommitted(i int) {
	member := sim.members[i]
	state := member.State()
	if state.Commit > state.LastIndex {
		sim.fail("%s committed index %d, has entries up to %d", member.self, state.Commit, state.LastIndex)
	}
	if state.Commit > int64(len(sim.committed)) {
		sim.checkNewCommit(member)
	}
	if sim.violation == nil && !sim.hasCommitted(state, state.Commit) {
		sim.fail("%s: %s differs from what was committed", member.self, stateString(state))
	}
}

// checkNewCommit records newly committed entries. Every member of that chain must have them.
func (sim *simulation) checkNewCommit(member *Chain) {
	state := member.State()
	sim.commits++
	position := slices.IndexFunc(state.Entries, func(entry Entry) bool { return entry.Index == state.Commit })
	if position < 0 {
		sim.fail("%s lacks its last committed entry: %s", member.self, stateString(state))
		return
	}
	var added []*appendedEntry
	entry := sim.findAppended(state.Entries[position])
	for ; entry != nil && entry.Index > int64(len(sim.committed)); entry = entry.previous {
		added = append(added, entry)
	}
	if len(sim.committed) > 0 && entry != sim.committed[len(sim.committed)-1] || len(sim.committed)+len(added) != int(state.Commit) {
		sim.fail("%s committed %d entries that do not follow the %d committed before", member.self, len(added), len(sim.committed))
		return
	}
	slices.Reverse(added)
	sim.committed = append(sim.committed, added...)
	for _, chained := range member.view.Chain {
		replica := sim.member(chained.ID).State()
		if replica.ActivatedEpoch < member.view.Epoch || replica.LastIndex < state.Commit || !sim.hasCommitted(replica, state.Commit) {
			sim.fail("%s committed index %d in epoch %d, but %s has %s",
				member.self, state.Commit, member.view.Epoch, chained.ID, stateString(replica))
		}
	}
}

// hasCommitted reports whether a state has every entry committed up to an index, or a later entry of the same key.
func (sim *simulation) hasCommitted(state *State, commit int64) bool {
	replaced := map[string]bool{}
	for i := len(state.Entries) - 1; i >= 0; i-- { // later committed entries may have replaced those up to the index
		if entry := state.Entries[i]; entry.Index > commit && entry.Index <= state.Commit {
			replaced[entry.Key] = true
		}
	}
	seen := map[string]bool{}
	for index := commit; index > 0; index-- {
		expected := sim.committed[index-1]
		if seen[expected.Key] {
			continue
		}
		seen[expected.Key] = true
		k := slices.IndexFunc(state.Entries, func(o Entry) bool { return o.Index == index })
		if k < 0 && replaced[expected.Key] {
			continue
		}
		if k < 0 || !equalEntries(state.Entries[k], expected.Entry) {
			return false
		}
	}
	return true
}

// checkConverged checks that all members have all entries after the fault-free period.
func (sim *simulation) checkConverged() {
	head := sim.member(sim.view.Head()).State()
	for _, member := range sim.members {
		state := member.State()
		if state.Commit != head.LastIndex || member.view.Position(member.self) >= 0 && !member.CommitIsCurrent() {
			sim.fail("not converged: %s has %s, the head %s", member.self, stateString(state), stateString(head))
		}
		for _, entry := range state.Entries {
			if last, _ := member.LastEntry(entry.Key); state.Commit == state.LastIndex && last.Index != entry.Index {
				sim.fail("%s is not compacted: %s", member.self, stateString(state))
			}
		}
	}
}
