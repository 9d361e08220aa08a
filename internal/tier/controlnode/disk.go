package controlnode

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// chainMeta is the state of the chain that is stored in addition to its entries. The order of the fields is that of the
// stored bytes.
type chainMeta struct{ ActivatedEpoch, LastIndex, Commit int64 }

// Keys of the table "vote"; they are part of the format on disk.
var (
	selfKey        = []byte("self")
	incarnationKey = []byte("life")
	acceptorKey    = []byte("acceptor")
	metaKey        = []byte("meta")
	verifiedKey    = []byte("verified") // the last incarnation whose entries on disk are known to be those in memory
)

// load reads the durable state from the disk, and syncs the start of a new incarnation before anything else is done. With an
// empty disk it creates the node's identity, which is synced before it is used.
func (s *Server) load() (d Durable, err error) {
	s.self = view.Member{Name: s.settings.NodeName, Addr: s.settings.PeerAddr(s.settings.IP, process.CorePort)}
	id, err := s.db.Get("vote", selfKey)
	if err != nil {
		return d, err
	}
	s.self.ID = string(id)
	if d, err = readDurable(s.db); err != nil {
		return d, err
	}
	s.saved.entries = d.State.Entries
	if err := s.startIncarnation(&d); err != nil {
		return d, err
	}
	if id == nil {
		return s.createIdentity()
	}
	return d, nil
}

// startIncarnation increments the incarnation and syncs it. A head that crashes and restarts within its epoch derives the
// numbers of its host lists from it: they must be higher than those of the last incarnation, of which nothing else is
// stored.
//
// Builds before the row verifiedKey could leave entries on a learner's disk that were replaced in memory. A node drops what
// such a build has written, and receives it again, unless its copy is one of those that the chain relies on.
func (s *Server) startIncarnation(d *Durable) error {
	previous, err := s.readNumber(incarnationKey)
	if err != nil {
		return err
	}
	verified, err := s.readNumber(verifiedKey)
	if err != nil {
		return err
	}
	s.incarnation = previous + 1
	rows := []sqlitelog.Write{{Table: "vote", Key: incarnationKey, Value: indexKey(s.incarnation)}}
	replaceable := !hasCompleteState(d, s.self.ID)
	if verified != previous && replaceable && len(d.State.Entries) > 0 {
		s.log.Warn("the entries on disk were written by an earlier build and are received again", "entries", len(d.State.Entries))
		d.State = chain.State{ActivatedEpoch: d.State.ActivatedEpoch}
		rows = append(rows, s.saved.changedRows(*d)...)
	}
	if verified == previous || replaceable {
		rows = append(rows, sqlitelog.Write{Table: "vote", Key: verifiedKey, Value: indexKey(s.incarnation)})
	}
	return s.db.Commit(s.ctx, rows)
}

// hasCompleteState reports whether a node is in the chain of its view and has had the chain's complete state, so that it may
// become the head of a later view.
func hasCompleteState(d *Durable, id string) bool {
	v := &d.Acceptor.View
	position := v.Position(id)
	return position >= 0 && d.State.ActivatedEpoch >= v.Chain[position].JoinedEpoch
}

// readNumber returns a number of the table "vote", or 0 if there is none.
func (s *Server) readNumber(key []byte) (int64, error) {
	value, err := s.db.Get("vote", key)
	if err != nil || len(value) != 8 {
		return 0, err
	}
	return int64(binary.BigEndian.Uint64(value)), nil
}

// rowReader reads the rows of a node's disk. *sqlitelog.DB implements it.
type rowReader interface {
	Get(table string, key []byte) ([]byte, error)
	Range(table string, from, to []byte, f func(key, value []byte) error) error
}

// readDurable returns the state that the rows of a disk hold.
func readDurable(rows rowReader) (d Durable, err error) {
	err = readRow(rows, acceptorKey, &d.Acceptor, "cannot decode the stored votes: empty the data folder to join as a new member")
	if err != nil {
		return d, err
	}
	var meta chainMeta
	err = readRow(rows, metaKey, &meta, "cannot decode the stored chain state: empty the data folder to join as a new member")
	if err != nil {
		return d, err
	}
	d.State = chain.State{ActivatedEpoch: meta.ActivatedEpoch, LastIndex: meta.LastIndex, Commit: meta.Commit}
	err = rows.Range("entries", nil, nil, func(_, value []byte) error {
		var e chain.Entry
		if err := rpc.Decode(value, &e); err != nil {
			return err
		}
		d.State.Entries = append(d.State.Entries, e)
		return nil
	})
	return d, err
}

// readRow decodes a row of the table "vote", if it exists. If the row cannot be decoded, the error is prefixed with the
// advice.
func readRow(rows rowReader, key []byte, v any, advice string) error {
	b, err := rows.Get("vote", key)
	if err != nil || b == nil {
		return err
	}
	return errors.Wrap(rpc.Decode(b, v), advice)
}

// createIdentity returns the durable state of a node with an empty disk, and syncs it together with the node's ID. The
// ID of a seed that bootstraps the cluster is derived from its address; any other node gets a random one.
func (s *Server) createIdentity() (d Durable, err error) {
	s.self.ID, _ = s.db.Identity()
	if s.settings.Bootstrap && slices.Contains(s.settings.Seeds, s.settings.Bind.Control) {
		s.self.ID, d = s.founderState()
	}
	rows := append(s.saved.changedRows(d), sqlitelog.Write{Table: "vote", Key: selfKey, Value: []byte(s.self.ID)})
	return d, s.db.Commit(s.ctx, rows)
}

// founderState returns the ID and the durable state of this node as a seed that bootstraps the cluster.
func (s *Server) founderState() (id string, d Durable) {
	var founders []view.Member
	for _, addr := range s.settings.SeedPeerAddrs() {
		founders = append(founders, view.Member{ID: founderID(addr), Addr: addr})
	}
	return founderID(s.self.Addr), BootstrapState(founders)
}

// founderID returns the ID of the seed with the given address.
func founderID(addr string) string { return "seed-" + addr }

// indexKey returns the key of an index in the table "entries"; keys sort in the order of their indexes.
func indexKey(index int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(index)) }

// savedState is what the rows of a disk hold of a node's durable state, as far as it decides which rows must be written.
type savedState struct{ entries []chain.Entry }

// changedRows returns the writes that bring the disk to the given durable state, and records that state as saved.
func (s *savedState) changedRows(d Durable) []sqlitelog.Write {
	meta := chainMeta{ActivatedEpoch: d.State.ActivatedEpoch, LastIndex: d.State.LastIndex, Commit: d.State.Commit}
	writes := []sqlitelog.Write{
		{Table: "vote", Key: acceptorKey, Value: rpc.Encode(&d.Acceptor)},
		{Table: "vote", Key: metaKey, Value: rpc.Encode(&meta)},
	}
	writes = append(writes, changedEntryRows(s.entries, d.State.Entries)...)
	s.entries = d.State.Entries
	return writes
}

// changedEntryRows returns the writes that turn the rows of saved entries into those of the current ones, both in the
// order of their indexes. Entries with the same index are compared by key and value in every role of the node: a learner
// replaces uncommitted entries by committed ones at the same indexes.
func changedEntryRows(saved, current []chain.Entry) (writes []sqlitelog.Write) {
	remove := func(e *chain.Entry) {
		writes = append(writes, sqlitelog.Write{Table: "entries", Key: indexKey(e.Index)})
	}
	for i := range current {
		entry := &current[i]
		for len(saved) > 0 && saved[0].Index < entry.Index {
			remove(&saved[0])
			saved = saved[1:]
		}
		if len(saved) > 0 && saved[0].Index == entry.Index {
			unchanged := equalEntries(&saved[0], entry)
			saved = saved[1:]
			if unchanged {
				continue
			}
		}
		writes = append(writes, sqlitelog.Write{Table: "entries", Key: indexKey(entry.Index), Value: rpc.Encode(entry)})
	}
	for i := range saved {
		remove(&saved[i])
	}
	return writes
}

// equalEntries reports whether two entries with the same index are equal. It takes constant time for values that share
// their memory, as those do that a node has kept since its last sync.
func equalEntries(a, b *chain.Entry) bool { return a.Key == b.Key && bytes.Equal(a.Value, b.Value) }
