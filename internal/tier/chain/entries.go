package chain

// commit advances the commit index and compacts the log: of the committed entries of a key only the last is kept.
func (c *Chain) commit(index int64) {
	if index <= c.state.Commit {
		return
	}
	c.state.Commit = index
	last := map[string]int64{}
	for _, entry := range c.state.Entries {
		if entry.Index <= index {
			last[entry.Key] = entry.Index
		}
	}
	kept := make([]Entry, 0, len(last)+4)
	for _, entry := range c.state.Entries {
		if entry.Index > index || last[entry.Key] == entry.Index {
			kept = append(kept, entry)
		}
	}
	c.state.Entries = kept
}

// EntriesAfter returns the entries after an index. The entries must be in order of their indexes; the result shares their memory.
func EntriesAfter(entries []Entry, index int64) []Entry {
	i := len(entries)
	for i > 0 && entries[i-1].Index > index {
		i--
	}
	return entries[i:]
}

// Committed returns the committed entries after an index. The result must not be modified.
func (c *Chain) Committed(index int64) []Entry {
	all := EntriesAfter(c.state.Entries, index)
	for i, e := range all {
		if e.Index > c.state.Commit {
			return all[:i]
		}
	}
	return all
}

// CommittedBytes returns the total size of the values committed after an index.
func (c *Chain) CommittedBytes(index int64) (bytes int64) {
	for _, e := range c.Committed(index) {
		bytes += int64(len(e.Value))
	}
	return bytes
}

// LastEntry returns the last entry of a key, committed or not.
func (c *Chain) LastEntry(key string) (Entry, bool) {
	for i := len(c.state.Entries) - 1; i >= 0; i-- {
		if c.state.Entries[i].Key == key {
			return c.state.Entries[i], true
		}
	}
	return Entry{}, false
}
