package controlnode

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
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
)

// load reads the durable state from the disk. With an empty disk it creates the node's identity, which is synced before
// it is used.
func (s *Server) load() (d Durable, err error) {
	s.self = view.Member{Name: s.settings.NodeName, Addr: s.settings.PeerAddr(s.settings.IP, process.CorePort)}
	if err := s.incrementIncarnation(); err != nil {
		return d, err
	}
	id, err := s.db.Get("vote", selfKey)
	if err != nil {
		return d, err
	}
	if id == nil {
		return s.createIdentity()
	}
	s.self.ID = string(id)
	err = s.loadRow(acceptorKey, &d.Acceptor, "cannot decode the stored votes: empty the data folder to join as a new member")
	if err != nil {
		return d, err
	}
	var meta chainMeta
	err = s.loadRow(metaKey, &meta, "cannot decode the stored chain state: empty the data folder to join as a new member")
	if err != nil {
		return d, err
	}
	d.State = chain.State{ActivatedEpoch: meta.ActivatedEpoch, LastIndex: meta.LastIndex, Commit: meta.Commit}
	err = s.db.Range("entries", nil, nil, func(_, value []byte) error {
		var e chain.Entry
		if err := rpc.Decode(value, &e); err != nil {
			return err
		}
		d.State.Entries = append(d.State.Entries, e)
		s.savedHashes[e.Index] = entryHash(&e)
		return nil
	})
	return d, err
}

// createIdentity returns the durable state of a node with an empty disk, and syncs it together with the node's ID. The
// ID of a seed that bootstraps the cluster is derived from its address; any other node gets a random one.
func (s *Server) createIdentity() (d Durable, err error) {
	s.self.ID, _ = s.db.Identity()
	if s.settings.Bootstrap && slices.Contains(s.settings.Seeds, s.settings.Bind.Control) {
		var founders []view.Member
		for _, addr := range seedAddrs(s.settings) {
			founders = append(founders, view.Member{ID: "seed-" + addr, Addr: addr})
		}
		s.self.ID = "seed-" + s.self.Addr
		d = BootstrapState(founders)
	}
	rows := append(s.changedRows(d), sqlitelog.Write{Table: "vote", Key: selfKey, Value: []byte(s.self.ID)})
	return d, s.db.Commit(s.ctx, rows)
}

// loadRow decodes a row of the table "vote", if it exists. If the row cannot be decoded, the error is prefixed with the
// advice.
func (s *Server) loadRow(key []byte, v any, advice string) error {
	b, err := s.db.Get("vote", key)
	if err != nil || b == nil {
		return err
	}
	return errors.Wrap(rpc.Decode(b, v), advice)
}

// incrementIncarnation increments the incarnation and syncs it before anything else is done. A head that crashes and
// restarts within its epoch derives the numbers of its host lists from it: they must be higher than those of the last
// incarnation, of which nothing else is stored.
func (s *Server) incrementIncarnation() error {
	value, err := s.db.Get("vote", incarnationKey)
	if err != nil {
		return err
	}
	if len(value) == 8 {
		s.incarnation = int64(binary.BigEndian.Uint64(value))
	}
	s.incarnation++
	return s.db.Commit(s.ctx, []sqlitelog.Write{{Table: "vote", Key: incarnationKey, Value: indexKey(s.incarnation)}})
}

// indexKey returns the key of an index in the table "entries"; keys sort in the order of their indexes.
func indexKey(index int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(index)) }

// changedRows returns the writes that bring the disk to the given durable state, and records that state as saved. It
// runs on the event loop, or before the loop starts.
func (s *Server) changedRows(d Durable) []sqlitelog.Write {
	writes := []sqlitelog.Write{
		{Table: "vote", Key: acceptorKey, Value: rpc.Encode(&d.Acceptor)},
		{Table: "vote", Key: metaKey, Value: rpc.Encode(&chainMeta{d.State.ActivatedEpoch, d.State.LastIndex, d.State.Commit})},
	}
	replaced := d.State.ActivatedEpoch != s.savedState.ActivatedEpoch // then entries may differ at the same indexes
	hashes := make(map[int64]uint64, len(d.State.Entries))
	for _, e := range d.State.Entries {
		oldHash, saved := s.savedHashes[e.Index]
		hash := oldHash
		if !saved || replaced {
			hash = entryHash(&e)
		}
		hashes[e.Index] = hash
		if !saved || hash != oldHash {
			writes = append(writes, sqlitelog.Write{Table: "entries", Key: indexKey(e.Index), Value: rpc.Encode(&e)})
		}
	}
	for index := range s.savedHashes {
		if _, kept := hashes[index]; !kept {
			writes = append(writes, sqlitelog.Write{Table: "entries", Key: indexKey(index)})
		}
	}
	s.savedHashes, s.savedState = hashes, d.State
	return writes
}

// entryHash returns a hash that distinguishes entries with the same index.
func entryHash(e *chain.Entry) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(e.Value)
	return h.Sum64()
}
