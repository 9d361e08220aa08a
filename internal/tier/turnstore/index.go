package turnstore

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchrouter/internal/tier/budget"
)

const (
	bucketCount             = 32               // of the digest that two stores compare
	retainMargin            = 15 * time.Second // for which a turn is retained longer than requested
	openTurnRetention       = 5 * time.Minute  // since the last use: an open turn retains its program's turns at most so long
	ledgerRetention         = 2 * time.Hour    // of a ledger without turns, since its last use
	ledgerPressureRetention = 5 * time.Minute  // the same, where nine tenths of maxLedgerEntries are in use
	expiredRetention        = 10 * time.Minute // of the digests of expired programs; up to twice as long
	maxLedgerEntries        = 400_000          // of all ledgers, in memory
	minRetain               = 10 * time.Second // of a program's turns
	minRefetchRetention     = 5 * time.Second  // that a peer must confirm for turns that have expired here
)

// index is the part of a store's state that is in memory: the ledgers, and which turns there are. It is pure: time is an
// argument of the calls. It is not safe for concurrent use; Server.mu guards it.
type index struct {
	programs [bucketCount]map[string]*program // by key, in the bucket of the key
	turns    map[string]*turn                 // by ID, of all programs
	entries  int                              // of all ledgers
	// expiredDigests maps the hash of an expired program's key to the digest of the turns it had. The newer generation
	// comes first; the older one is dropped with each rotation.
	expiredDigests   [2]map[uint64]uint64
	expiredRotatedAt time.Time
}

// program is a program's ledger and the turns that the store has of it. Its turns expire together.
type program struct {
	key            string
	ledger         budget.Ledger
	turns          []*turn
	turnsDigest    uint64        // exclusive or of the hashes of the turns' IDs
	retain         time.Duration // longest that was requested for a turn
	retainedUntil  time.Time     // its turns do not expire before
	lastUsed       time.Time
	confirmedUntil time.Time // retainedUntil as far as it follows from uses at this store, not from a restart or a peer
	replicasUnder  *Placement
	replicas       []string // cache: IDs of the program's replicas under that placement
}

// turn is a stored turn.
type turn struct {
	program       *program
	id            string
	previous      string
	root          bool   // its increment is the complete history
	cacheHost     string // hint, not persisted
	contextTokens int
}

func newIndex() *index {
	ix := &index{turns: map[string]*turn{}}
	for b := range ix.programs {
		ix.programs[b] = map[string]*program{}
	}
	ix.expiredDigests[0], ix.expiredDigests[1] = map[uint64]uint64{}, map[uint64]uint64{}
	return ix
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// get returns a program, nil if the store has none of it.
func (ix *index) get(key string) *program { return ix.programs[bucketOf(key)][key] }

// getOrCreate returns a program and marks it as used.
func (ix *index) getOrCreate(key string, now time.Time) *program {
	m := ix.programs[bucketOf(key)]
	p := m[key]
	if p == nil {
		p = &program{key: key, retain: minRetain}
		m[key] = p
	}
	p.lastUsed = now
	return p
}

// hasCapacity reports whether one more ledger entry may be added.
func (ix *index) hasCapacity() bool { return ix.entries < maxLedgerEntries }

// joinEntry joins an entry into a program's ledger. It returns the resulting entry of the turn and whether it changed.
func (ix *index) joinEntry(key string, e budget.Entry, now time.Time) (budget.Entry, bool) {
	p := ix.getOrCreate(key, now)
	n := p.ledger.Len()
	e, changed := p.ledger.Add(e)
	ix.entries += p.ledger.Len() - n
	return e, changed
}

// entry returns the current ledger entry of a turn.
func (ix *index) entry(id entryID) (budget.Entry, bool) {
	p := ix.get(id.program)
	if p == nil {
		return budget.Entry{}, false
	}
	return p.ledger.Get(id.turn)
}

// extendRetention restarts the retention time of a program's turns.
func (ix *index) extendRetention(key string, now time.Time) {
	if p := ix.get(key); p != nil && len(p.turns) > 0 {
		p.confirmedUntil = now.Add(p.retain + retainMargin)
		p.retainedUntil = latest(p.retainedUntil, p.confirmedUntil)
	}
}

// addTurn adds a turn that is on disk. remaining is for how long the peer that it came from retains it; below 0 it ended
// just now.
func (ix *index) addTurn(key, id string, row indexRow, remaining time.Duration, now time.Time) {
	p := ix.getOrCreate(key, now)
	p.retain = max(p.retain, time.Duration(row.RetainSeconds)*time.Second)
	if remaining < 0 {
		remaining = p.retain + retainMargin
		p.confirmedUntil = now.Add(remaining)
		ix.clearExpired(key)
	}
	p.retainedUntil = latest(p.retainedUntil, now.Add(remaining))
	if ix.turns[id] != nil {
		return
	}
	t := &turn{program: p, id: id, previous: row.Previous, root: row.Root}
	p.turns = append(p.turns, t)
	p.turnsDigest ^= xxhash.Sum64String(id)
	ix.turns[id] = t
}

// setCacheHost records which host has the context of a turn in its prefix cache.
func (ix *index) setCacheHost(id, host string, contextTokens int) {
	if t := ix.turns[id]; t != nil {
		t.cacheHost, t.contextTokens = host, contextTokens
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// findTurn returns a turn of a program, or of any where the key is empty; nil if there is none.
func (ix *index) findTurn(key, id string) *turn {
	t := ix.turns[id]
	if t == nil || key != "" && t.program.key != key {
		return nil
	}
	return t
}

// chain returns the IDs of the turns whose increments make up a turn's history, oldest first. If the chain does not
// reach its root, missing is the turn before the first.
func (ix *index) chain(t *turn) (ids []string, missing string) {
	for {
		ids = append(ids, t.id)
		if t.root {
			break
		}
		before := ix.findTurn(t.program.key, t.previous)
		if before == nil || len(ids) > len(ix.turns) {
			missing = t.previous
			break
		}
		t = before
	}
	slices.Reverse(ids)
	return ids, missing
}
