package controlnode

import (
	"encoding/binary"
	"slices"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/view"
)

// simulatedDisk holds the rows of a node's disk in memory. They are written and read by the functions that Server uses. The
// zero value is an empty disk.
type simulatedDisk struct {
	vote    map[string][]byte // by key
	entries map[int64][]byte  // by index
	saved   savedState
	state   Durable // that the rows hold
}

// Get and Range implement rowReader.
func (d *simulatedDisk) Get(_ string, key []byte) ([]byte, error) { return d.vote[string(key)], nil }

func (d *simulatedDisk) Range(_ string, _, _ []byte, f func(key, value []byte) error) error {
	indexes := make([]int64, 0, len(d.entries))
	for index := range d.entries {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	for _, index := range indexes {
		if err := f(indexKey(index), d.entries[index]); err != nil {
			return err
		}
	}
	return nil
}

// open returns the state for a node that starts with the disk.
func (d *simulatedDisk) open() Durable {
	d.saved = savedState{entries: d.state.State.Entries}
	return d.state
}

// save writes the rows that differ from a state.
func (d *simulatedDisk) save(state Durable, bugs injectedBugs) {
	keepReplaced := bugs.keepsReplacedRows && state.State.ActivatedEpoch == d.state.State.ActivatedEpoch
	for _, w := range d.saved.changedRows(state) {
		switch {
		case w.Table == "vote":
			d.put(w)
		case w.Value == nil:
			delete(d.entries, indexOf(w))
		case keepReplaced && d.entries[indexOf(w)] != nil:
		default:
			d.entries[indexOf(w)] = w.Value
		}
	}
	var err error
	if d.state, err = readDurable(d); err != nil {
		panic(err)
	}
}

func (d *simulatedDisk) put(w sqlitelog.Write) {
	if d.vote == nil {
		d.vote, d.entries = map[string][]byte{}, map[int64][]byte{}
	}
	d.vote[string(w.Key)] = w.Value
}

func indexOf(w sqlitelog.Write) int64 { return int64(binary.BigEndian.Uint64(w.Key)) }

// checkDisk requires a restart of a node to find its state in memory after a step, except that the commit index on disk may be
// older, and committed entries that were compacted away since may still be there.
func (c *simulation) checkDisk(m *machine) {
	disk, memory := &m.disk.state, m.node.Durable()
	same := disk.State.ActivatedEpoch == memory.State.ActivatedEpoch && disk.State.LastIndex == memory.State.LastIndex &&
		disk.State.Commit <= memory.State.Commit && equalVotes(&disk.Acceptor, &memory.Acceptor)
	onDisk := disk.State.Entries
	for _, e := range memory.State.Entries {
		for len(onDisk) > 0 && onDisk[0].Index < e.Index && onDisk[0].Index <= memory.State.Commit {
			onDisk = onDisk[1:]
		}
		if len(onDisk) == 0 || onDisk[0].Index != e.Index || !equalEntries(&onDisk[0], &e) {
			same = false
			break
		}
		onDisk = onDisk[1:]
	}
	if !same || len(onDisk) > 0 {
		c.failf("the disk of %s has %+v, its memory %+v", m.addr, disk, memory)
	}
}

func equalVotes(a, b *view.Acceptor) bool {
	return a.View.Epoch == b.View.Epoch && a.Promised == b.Promised &&
		a.AcceptedBallot == b.AcceptedBallot && a.Accepted.Epoch == b.Accepted.Epoch
}
