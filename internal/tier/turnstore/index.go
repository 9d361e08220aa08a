package turnstore

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchrouter/internal/tier/budget"
)

const (
	bucketCount     = 32
	retainMargin  = 15 * time.Second // a turn is kept so much longer than was asked for
	openTurnRetention   = 5 * time.Minute  // a turn under way keeps its program's turns, at most so long
	ledgerRetention = 2 * time.Hour    // after the last call for a program
	ledgerPressureRetention  = 5 * time.Minute  // a ledger unused for so long may go when there are too many
	expiredRetention   = 10 * time.Minute
	maxLedgerEntries  = 400_000 // of all ledgers, in memory
	minRetain = 10 * time.Second
	minRefetchRetention   = 5 * time.Second // of turns that come back
)

// index is what a store knows without its disk: the ledgers, and which turns there are. It is pure: time comes with
// the calls.
type index struct {
	programs [bucketCount]map[string]*program
	turns    map[string]*turn
	entries  int
	expiredDigests     [2]map[uint64]uint64 // programs whose turns have expired, with the digest of these: they do not come back by a sweep
	expiredRotatedAt   time.Time            // when the older half of gone was dropped
}

type program struct {
	key    string
	ledger budget.Ledger
	turns  []*turn
	turnsDigest uint64 // of the turns
	retain time.Duration
	retainedUntil  time.Time // its turns are kept
	lastUsed   time.Time // used
	confirmedUntil   time.Time // as until, as far as its use here tells, and no guess at a start
	replicasUnder  *Placement
	replicas []string // identities of the stores that should hold it, under that placement
}

type turn struct {
	program  *program
	id       string
	previous string
	root     bool
	cacheHost     string // a hint, in memory only
	contextTokens  int
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

func (ix *index) get(key string) *program { return ix.programs[bucketOf(key)][key] }

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

// hasCapacity tells whether one more entry may be taken.
func (ix *index) hasCapacity() bool { return ix.entries < maxLedgerEntries }

// joinEntry takes an entry and gives what the ledger has of the turn then.
func (ix *index) joinEntry(key string, e budget.Entry, now time.Time) (budget.Entry, bool) {
	p := ix.getOrCreate(key, now)
	n := p.ledger.Len()
	e, changed := p.ledger.Add(e)
	ix.entries += p.ledger.Len() - n
	return e, changed
}

// entry gives the entry of a turn, as it is in the ledger now.
func (ix *index) entry(id entryID) (budget.Entry, bool) {
	p := ix.get(id.program)
	if p == nil {
		return budget.Entry{}, false
	}
	return p.ledger.Get(id.turn)
}

// extendRetention marks a program as used: its turns are kept for a while from now on.
func (ix *index) extendRetention(key string, now time.Time) {
	if p := ix.get(key); p != nil && len(p.turns) > 0 {
		p.confirmedUntil = now.Add(p.retain + retainMargin)
		p.retainedUntil = latest(p.retainedUntil, p.confirmedUntil)
	}
}

// addTurn takes a turn that is on disk. left is how long another store keeps it; below 0 it ended just now.
func (ix *index) addTurn(key, id string, row indexRow, left time.Duration, now time.Time) {
	p := ix.getOrCreate(key, now)
	p.retain = max(p.retain, time.Duration(row.RetainSeconds)*time.Second)
	if left < 0 {
		left = p.retain + retainMargin
		p.confirmedUntil = now.Add(left)
		ix.clearExpired(key)
	}
	p.retainedUntil = latest(p.retainedUntil, now.Add(left))
	if ix.turns[id] != nil {
		return
	}
	t := &turn{program: p, id: id, previous: row.Previous, root: row.Root}
	p.turns = append(p.turns, t)
	p.turnsDigest ^= xxhash.Sum64String(id)
	ix.turns[id] = t
}

// setCacheHost remembers which host has the prompt of a turn in its cache.
func (ix *index) setCacheHost(id, home string, context int) {
	if t := ix.turns[id]; t != nil {
		t.cacheHost, t.contextTokens = home, context
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// findTurn gives a turn under a key, or under any where the key is empty.
func (ix *index) findTurn(key, id string) *turn {
	t := ix.turns[id]
	if t == nil || key != "" && t.program.key != key {
		return nil
	}
	return t
}

// chain gives the turns that make a history, oldest first, and the first that is missing before them, if any.
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

// expireTurns drops the turns of programs whose time is over, and gives them.
func (ix *index) expireTurns(now time.Time, most int) []*turn {
	if now.Sub(ix.expiredRotatedAt) > expiredRetention {
		ix.expiredDigests[1], ix.expiredDigests[0], ix.expiredRotatedAt = ix.expiredDigests[0], map[uint64]uint64{}, now
	}
	var out []*turn
	for _, m := range ix.programs {
		for _, p := range m {
			if len(p.turns) == 0 || now.Before(p.retainedUntil) || p.ledger.Open() > 0 && now.Sub(p.lastUsed) < openTurnRetention {
				continue
			}
			if len(out) > 0 && len(out)+len(p.turns) > most {
				return out
			}
			for _, t := range p.turns {
				delete(ix.turns, t.id)
			}
			out = append(out, p.turns...)
			ix.expiredDigests[0][xxhash.Sum64String(p.key)] = p.turnsDigest
			p.turns, p.turnsDigest = nil, 0
		}
	}
	return out
}

// confirmedRetention tells for how long a program's turns stay for sure, 0 if that is not known.
func (p *program) confirmedRetention(now time.Time) time.Duration {
	if len(p.turns) == 0 {
		return 0
	}
	return max(0, p.confirmedUntil.Sub(now))
}

// rejectsRefetch tells whether the turns of a key were dropped here and are not to come back from a store that has some with a
// digest, for sure for as long as given. Where a program went on they come back: there are others then, and they stay
// for longer than a moment, so that they do not go from store to store.
func (ix *index) rejectsRefetch(key string, stays time.Duration, digest uint64) bool {
	dropped, gone := ix.expiredDigest(xxhash.Sum64String(key))
	return gone && (stays < minRefetchRetention || digest == dropped)
}

func (ix *index) expiredDigest(h uint64) (digest uint64, gone bool) {
	if digest, gone = ix.expiredDigests[0][h]; !gone {
		digest, gone = ix.expiredDigests[1][h]
	}
	return digest, gone
}

func (ix *index) clearExpired(key string) {
	h := xxhash.Sum64String(key)
	delete(ix.expiredDigests[0], h)
	delete(ix.expiredDigests[1], h)
}

// dropLedgers drops ledgers that were not used for long, sooner where there are too many, and gives their programs.
func (ix *index) dropLedgers(now time.Time, most int) []*program {
	keep := ledgerRetention
	if ix.entries > maxLedgerEntries*9/10 {
		keep = ledgerPressureRetention
	}
	var out []*program
	n := 0
	for _, m := range ix.programs {
		for key, p := range m {
			if len(p.turns) > 0 || now.Sub(p.lastUsed) < keep {
				continue
			}
			if n += p.ledger.Len(); n > most && len(out) > 0 {
				return out
			}
			delete(m, key)
			h := xxhash.Sum64String(key)
			ix.expiredDigests[0][h], _ = ix.expiredDigest(h)
			ix.entries -= p.ledger.Len()
			out = append(out, p)
		}
	}
	return out
}

// restore takes what expire and forget gave and could not be deleted on disk, so that they give it again.
func (ix *index) restore(turns []*turn, programs []*program, now time.Time) {
	for _, p := range programs {
		last := ix.lastUse(p)
		for _, e := range p.ledger.Entries() {
			ix.joinEntry(p.key, e, last)
		}
	}
	for _, t := range turns {
		last := ix.lastUse(t.program)
		ix.addTurn(t.program.key, t.id, indexRow{Previous: t.previous, Root: t.root, RetainSeconds: int(t.program.retain / time.Second)}, 0, now)
		ix.get(t.program.key).lastUsed = last
	}
}

// lastUse is when a program was used last, it or what has taken its place in the index.
func (ix *index) lastUse(p *program) time.Time {
	if now := ix.get(p.key); now != nil {
		return latest(now.lastUsed, p.lastUsed)
	}
	return p.lastUsed
}

// isReplica tells whether a store should have a copy of a program under a placement.
func (p *program) isReplica(pl *Placement, store string) bool {
	if p.replicasUnder != pl {
		p.replicasUnder, p.replicas = pl, p.replicas[:0]
		for _, g := range pl.ReplicaSets(p.key) {
			for _, s := range g {
				p.replicas = append(p.replicas, s.ID)
			}
		}
	}
	return slices.Contains(p.replicas, store)
}

// bucketDigests gives a digest for each bucket over the programs that two stores should both hold.
func (ix *index) bucketDigests(pl *Placement, a, b string) (out [bucketCount]uint64) {
	for i, m := range ix.programs {
		for _, p := range m {
			if p.isReplica(pl, a) && p.isReplica(pl, b) {
				out[i] ^= p.digest()
			}
		}
	}
	return out
}

func digestOfTurns(turns []string) (d uint64) {
	for _, id := range turns {
		d ^= xxhash.Sum64String(id)
	}
	return d
}

func (p *program) digest() uint64 {
	h := xxhash.Sum64String(p.key)
	return h ^ p.turnsDigest*0x9e3779b97f4a7c15 ^ p.ledger.Digest()*0xd6e8feb86659fd93
}

// digestPage gives digests of keys in order, from after a key in a bucket on; more tells that the digestPage was full.
func (ix *index) digestPage(in []int, bucket int, after string, most int, now time.Time, want func(*program) bool) (out []keyDigest, more bool) {
	for b := bucket; b < bucketCount; b++ {
		if b > bucket {
			after = ""
		}
		if len(in) > 0 && !slices.Contains(in, b) {
			continue
		}
		var keys []string
		for key, p := range ix.programs[b] {
			if key > after && want(p) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		for _, key := range keys {
			if len(out) >= most {
				return out, true
			}
			p := ix.programs[b][key]
			out = append(out, keyDigest{Key: key, TurnsDigest: int64(p.turnsDigest), LedgerDigest: int64(p.ledger.Digest()), ConfirmedMs: int(p.confirmedRetention(now).Milliseconds())})
		}
	}
	return out, false
}

// needsFetch tells whether a program is to be fetched from a store that has it with the given digests.
func (ix *index) needsFetch(d keyDigest) bool {
	p := ix.get(d.Key)
	gone := ix.rejectsRefetch(d.Key, time.Duration(d.ConfirmedMs)*time.Millisecond, uint64(d.TurnsDigest))
	if p == nil {
		return !gone
	}
	return int64(p.ledger.Digest()) != d.LedgerDigest || int64(p.turnsDigest) != d.TurnsDigest && d.TurnsDigest != 0 && !gone
}
