package turnstore

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchrouter/internal/tier/budget"
)

const (
	buckets     = 32
	keepMargin  = 15 * time.Second // a turn is kept so much longer than was asked for
	openKeeps   = 5 * time.Minute  // a turn under way keeps its program's turns, at most so long
	ledgerKeeps = 2 * time.Hour    // after the last call for a program
	ledgerIdle  = 5 * time.Minute  // a ledger unused for so long may go when there are too many
	goneKeeps   = 10 * time.Minute
	maxEntries  = 400_000 // of all ledgers, in memory
	leastRetain = 10 * time.Second
	leastStay   = 5 * time.Second // of turns that come back
)

// index is what a store knows without its disk: the ledgers, and which turns there are. It is pure: time comes with
// the calls.
type index struct {
	programs [buckets]map[string]*program
	turns    map[string]*turn
	entries  int
	gone     [2]map[uint64]uint64 // programs whose turns have expired, with the digest of these: they do not come back by a sweep
	turned   time.Time            // when the older half of gone was dropped
}

type program struct {
	key    string
	ledger budget.Ledger
	turns  []*turn
	digest uint64 // of the turns
	retain time.Duration
	until  time.Time // its turns are kept
	last   time.Time // used
	sure   time.Time // as until, as far as its use here tells, and no guess at a start
	under  *Placement
	copies []string // identities of the stores that should hold it, under that placement
}

type turn struct {
	program  *program
	id       string
	previous string
	root     bool
	home     string // a hint, in memory only
	context  int
}

func newIndex() *index {
	ix := &index{turns: map[string]*turn{}}
	for b := range ix.programs {
		ix.programs[b] = map[string]*program{}
	}
	ix.gone[0], ix.gone[1] = map[uint64]uint64{}, map[uint64]uint64{}
	return ix
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % buckets) }

func (ix *index) get(key string) *program { return ix.programs[bucketOf(key)][key] }

func (ix *index) need(key string, now time.Time) *program {
	m := ix.programs[bucketOf(key)]
	p := m[key]
	if p == nil {
		p = &program{key: key, retain: leastRetain}
		m[key] = p
	}
	p.last = now
	return p
}

// room tells whether one more entry may be taken.
func (ix *index) room() bool { return ix.entries < maxEntries }

// join takes an entry and gives what the ledger has of the turn then.
func (ix *index) join(key string, e budget.Entry, now time.Time) (budget.Entry, bool) {
	p := ix.need(key, now)
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

// open marks a program as used: its turns are kept for a while from now on.
func (ix *index) open(key string, now time.Time) {
	if p := ix.get(key); p != nil && len(p.turns) > 0 {
		p.sure = now.Add(p.retain + keepMargin)
		p.until = later(p.until, p.sure)
	}
}

// add takes a turn that is on disk. left is how long another store keeps it; below 0 it ended just now.
func (ix *index) add(key, id string, row indexRow, left time.Duration, now time.Time) {
	p := ix.need(key, now)
	p.retain = max(p.retain, time.Duration(row.Retain)*time.Second)
	if left < 0 {
		left = p.retain + keepMargin
		p.sure = now.Add(left)
		ix.revive(key)
	}
	p.until = later(p.until, now.Add(left))
	if ix.turns[id] != nil {
		return
	}
	t := &turn{program: p, id: id, previous: row.Previous, root: row.Root}
	p.turns = append(p.turns, t)
	p.digest ^= xxhash.Sum64String(id)
	ix.turns[id] = t
}

// hint remembers which host has the prompt of a turn in its cache.
func (ix *index) hint(id, home string, context int) {
	if t := ix.turns[id]; t != nil {
		t.home, t.context = home, context
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// find gives a turn under a key, or under any where the key is empty.
func (ix *index) find(key, id string) *turn {
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
		before := ix.find(t.program.key, t.previous)
		if before == nil || len(ids) > len(ix.turns) {
			missing = t.previous
			break
		}
		t = before
	}
	slices.Reverse(ids)
	return ids, missing
}

// expire drops the turns of programs whose time is over, and gives them.
func (ix *index) expire(now time.Time, most int) []*turn {
	if now.Sub(ix.turned) > goneKeeps {
		ix.gone[1], ix.gone[0], ix.turned = ix.gone[0], map[uint64]uint64{}, now
	}
	var out []*turn
	for _, m := range ix.programs {
		for _, p := range m {
			if len(p.turns) == 0 || now.Before(p.until) || p.ledger.Open() > 0 && now.Sub(p.last) < openKeeps {
				continue
			}
			if len(out) > 0 && len(out)+len(p.turns) > most {
				return out
			}
			for _, t := range p.turns {
				delete(ix.turns, t.id)
			}
			out = append(out, p.turns...)
			ix.gone[0][xxhash.Sum64String(p.key)] = p.digest
			p.turns, p.digest = nil, 0
		}
	}
	return out
}

// stays tells for how long a program's turns stay for sure, 0 if that is not known.
func (p *program) stays(now time.Time) time.Duration {
	if len(p.turns) == 0 {
		return 0
	}
	return max(0, p.sure.Sub(now))
}

// expired tells whether the turns of a key were dropped here and are not to come back from a store that has some with a
// digest, for sure for as long as given. Where a program went on they come back: there are others then, and they stay
// for longer than a moment, so that they do not go from store to store.
func (ix *index) expired(key string, stays time.Duration, digest uint64) bool {
	dropped, gone := ix.dropped(xxhash.Sum64String(key))
	return gone && (stays < leastStay || digest == dropped)
}

func (ix *index) dropped(h uint64) (digest uint64, gone bool) {
	if digest, gone = ix.gone[0][h]; !gone {
		digest, gone = ix.gone[1][h]
	}
	return digest, gone
}

func (ix *index) revive(key string) {
	h := xxhash.Sum64String(key)
	delete(ix.gone[0], h)
	delete(ix.gone[1], h)
}

// forget drops ledgers that were not used for long, sooner where there are too many, and gives their programs.
func (ix *index) forget(now time.Time, most int) []*program {
	keep := ledgerKeeps
	if ix.entries > maxEntries*9/10 {
		keep = ledgerIdle
	}
	var out []*program
	n := 0
	for _, m := range ix.programs {
		for key, p := range m {
			if len(p.turns) > 0 || now.Sub(p.last) < keep {
				continue
			}
			if n += p.ledger.Len(); n > most && len(out) > 0 {
				return out
			}
			delete(m, key)
			h := xxhash.Sum64String(key)
			ix.gone[0][h], _ = ix.dropped(h)
			ix.entries -= p.ledger.Len()
			out = append(out, p)
		}
	}
	return out
}

// takeBack takes what expire and forget gave and could not be deleted on disk, so that they give it again.
func (ix *index) takeBack(turns []*turn, programs []*program, now time.Time) {
	for _, p := range programs {
		last := ix.lastUse(p)
		for _, e := range p.ledger.Entries() {
			ix.join(p.key, e, last)
		}
	}
	for _, t := range turns {
		last := ix.lastUse(t.program)
		ix.add(t.program.key, t.id, indexRow{Previous: t.previous, Root: t.root, Retain: int(t.program.retain / time.Second)}, 0, now)
		ix.get(t.program.key).last = last
	}
}

// lastUse is when a program was used last, it or what has taken its place in the index.
func (ix *index) lastUse(p *program) time.Time {
	if now := ix.get(p.key); now != nil {
		return later(now.last, p.last)
	}
	return p.last
}

// holds tells whether a store should have a copy of a program under a placement.
func (p *program) holds(pl *Placement, store string) bool {
	if p.under != pl {
		p.under, p.copies = pl, p.copies[:0]
		for _, g := range pl.ReplicaSets(p.key) {
			for _, s := range g {
				p.copies = append(p.copies, s.ID)
			}
		}
	}
	return slices.Contains(p.copies, store)
}

// sums gives a digest for each bucket over the programs that two stores should both hold.
func (ix *index) sums(pl *Placement, a, b string) (out [buckets]uint64) {
	for i, m := range ix.programs {
		for _, p := range m {
			if p.holds(pl, a) && p.holds(pl, b) {
				out[i] ^= p.sum()
			}
		}
	}
	return out
}

func digestOf(turns []string) (d uint64) {
	for _, id := range turns {
		d ^= xxhash.Sum64String(id)
	}
	return d
}

func (p *program) sum() uint64 {
	h := xxhash.Sum64String(p.key)
	return h ^ p.digest*0x9e3779b97f4a7c15 ^ p.ledger.Digest()*0xd6e8feb86659fd93
}

// page gives digests of keys in order, from after a key in a bucket on; more tells that the page was full.
func (ix *index) page(in []int, bucket int, after string, most int, now time.Time, want func(*program) bool) (out []keyDigest, more bool) {
	for b := bucket; b < buckets; b++ {
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
			out = append(out, keyDigest{Key: key, Turns: int64(p.digest), Ledger: int64(p.ledger.Digest()), StaysMs: int(p.stays(now).Milliseconds())})
		}
	}
	return out, false
}

// differs tells whether a program is to be fetched from a store that has it with the given digests.
func (ix *index) differs(d keyDigest) bool {
	p := ix.get(d.Key)
	gone := ix.expired(d.Key, time.Duration(d.StaysMs)*time.Millisecond, uint64(d.Turns))
	if p == nil {
		return !gone
	}
	return int64(p.ledger.Digest()) != d.Ledger || int64(p.digest) != d.Turns && d.Turns != 0 && !gone
}
