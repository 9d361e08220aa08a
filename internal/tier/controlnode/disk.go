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

// chainMeta is the chain's state on disk beside its entries.
type chainMeta struct{ ActivatedEpoch, LastIndex, Commit int64 }

// Rows of the table of votes.
var (
	selfKey        = []byte("self")
	incarnationKey = []byte("life")
	acceptorKey    = []byte("acceptor")
	metaKey        = []byte("meta")
)

// load reads what the disk has; with an empty one the node gets its identity, which is on disk before it is used.
func (c *Server) load() (d Durable, err error) {
	c.self = view.Member{Name: c.settings.NodeName, Addr: c.settings.PeerAddr(c.settings.IP, process.CorePort)}
	if err := c.beginIncarnation(); err != nil {
		return d, err
	}
	id, err := c.db.Get("vote", selfKey)
	if err != nil {
		return d, err
	}
	if id == nil {
		c.self.ID, _ = c.db.Identity()
		if c.settings.Bootstrap && slices.Contains(c.settings.Seeds, c.settings.Bind.Control) {
			var founders []view.Member
			for _, seed := range c.settings.Seeds {
				addr := c.settings.PeerAddr(seed, process.CorePort)
				founders = append(founders, view.Member{ID: "seed-" + addr, Addr: addr})
			}
			c.self.ID = "seed-" + c.self.Addr
			d = Founding(founders)
		}
		return d, c.db.Commit(c.ctx, append(c.changedRows(d), sqlitelog.Write{Table: "vote", Key: selfKey, Value: []byte(c.self.ID)}))
	}
	c.self.ID = string(id)
	if b, err := c.db.Get("vote", acceptorKey); err != nil {
		return d, err
	} else if b != nil {
		if err := rpc.Decode(b, &d.Acceptor); err != nil {
			return d, errors.Wrap(err, "the vote on disk cannot be read: empty the data folder, the node joins anew")
		}
	}
	var m chainMeta
	if b, err := c.db.Get("vote", metaKey); err != nil {
		return d, err
	} else if b != nil {
		if err := rpc.Decode(b, &m); err != nil {
			return d, errors.Wrap(err, "the state on disk cannot be read: empty the data folder, the node joins anew")
		}
	}
	d.State = chain.State{ActivatedEpoch: m.ActivatedEpoch, LastIndex: m.LastIndex, Commit: m.Commit}
	err = c.db.Range("entries", nil, nil, func(k, v []byte) error {
		var e chain.Entry
		if err := rpc.Decode(v, &e); err != nil {
			return err
		}
		d.State.Entries = append(d.State.Entries, e)
		c.savedHashes[e.Index] = entryHash(&e)
		return nil
	})
	return d, err
}

// beginIncarnation counts the starts. A head that dies and starts again within its epoch numbers its lists of hosts on from
// above those of its life before, of which nothing but this is left.
func (c *Server) beginIncarnation() error {
	b, err := c.db.Get("vote", incarnationKey)
	if err != nil {
		return err
	}
	if len(b) == 8 {
		c.incarnation = int64(binary.BigEndian.Uint64(b))
	}
	c.incarnation++
	return c.db.Commit(c.ctx, []sqlitelog.Write{{Table: "vote", Key: incarnationKey, Value: indexKey(c.incarnation)}})
}

func indexKey(index int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(index)) }

// changedRows are the writes that bring the disk to what the node has.
func (c *Server) changedRows(d Durable) []sqlitelog.Write {
	w := []sqlitelog.Write{
		{Table: "vote", Key: acceptorKey, Value: rpc.Encode(&d.Acceptor)},
		{Table: "vote", Key: metaKey, Value: rpc.Encode(&chainMeta{d.State.ActivatedEpoch, d.State.LastIndex, d.State.Commit})},
	}
	replaced := d.State.ActivatedEpoch != c.savedState.ActivatedEpoch // entries may have been replaced under their indexes
	now := make(map[int64]uint64, len(d.State.Entries))
	for _, e := range d.State.Entries {
		old, saved := c.savedHashes[e.Index]
		hash := old
		if !saved || replaced {
			hash = entryHash(&e)
		}
		now[e.Index] = hash
		if !saved || hash != old {
			w = append(w, sqlitelog.Write{Table: "entries", Key: indexKey(e.Index), Value: rpc.Encode(&e)})
		}
	}
	for index := range c.savedHashes {
		if _, kept := now[index]; !kept {
			w = append(w, sqlitelog.Write{Table: "entries", Key: indexKey(index)})
		}
	}
	c.savedHashes, c.savedState = now, d.State
	return w
}

// entryHash tells entries under the same index apart.
func entryHash(e *chain.Entry) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(e.Value)
	return h.Sum64()
}
