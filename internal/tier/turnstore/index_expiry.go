package turnstore

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// expireTurns removes the turns of programs whose retention time is over and returns them: about limit at a time, always
// whole programs.
func (ix *index) expireTurns(now time.Time, limit int) []*turn {
	if now.Sub(ix.expiredRotatedAt) > expiredRetention {
		ix.expiredDigests[1], ix.expiredDigests[0], ix.expiredRotatedAt = ix.expiredDigests[0], map[uint64]uint64{}, now
	}
	var out []*turn
	for _, m := range ix.programs {
		for _, p := range m {
			open := p.ledger.Open() > 0 && now.Sub(p.lastUsed) < openTurnRetention
			if len(p.turns) == 0 || now.Before(p.retainedUntil) || open {
				continue
			}
			if len(out) > 0 && len(out)+len(p.turns) > limit {
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

// dropLedgers removes ledgers without turns that were not used for ledgerRetention (under pressure sooner) and returns
// their programs: about limit entries at a time.
func (ix *index) dropLedgers(now time.Time, limit int) []*program {
	retention := ledgerRetention
	if ix.entries > maxLedgerEntries*9/10 {
		retention = ledgerPressureRetention
	}
	var out []*program
	n := 0
	for _, m := range ix.programs {
		for key, p := range m {
			if len(p.turns) > 0 || now.Sub(p.lastUsed) < retention {
				continue
			}
			if n += p.ledger.Len(); n > limit && len(out) > 0 {
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

// restore puts back what expireTurns and dropLedgers returned and what could not be deleted on disk, so that the next
// pass returns it again.
func (ix *index) restore(turns []*turn, programs []*program, now time.Time) {
	for _, p := range programs {
		last := ix.lastUse(p)
		for _, e := range p.ledger.Entries() {
			ix.joinEntry(p.key, e, last)
		}
	}
	for _, t := range turns {
		last := ix.lastUse(t.program)
		row := indexRow{Previous: t.previous, Root: t.root, RetainSeconds: int(t.program.retain / time.Second)}
		ix.addTurn(t.program.key, t.id, row, 0, now)
		ix.get(t.program.key).lastUsed = last
	}
}

// lastUse returns when a program that was removed, or the one that has replaced it in the index, was last used.
func (ix *index) lastUse(p *program) time.Time {
	if current := ix.get(p.key); current != nil {
		return latest(current.lastUsed, p.lastUsed)
	}
	return p.lastUsed
}

// confirmedRetention returns for how long a program's turns are retained for certain, 0 if that is not known.
func (p *program) confirmedRetention(now time.Time) time.Duration {
	if len(p.turns) == 0 {
		return 0
	}
	return max(0, p.confirmedUntil.Sub(now))
}

// rejectsRefetch reports whether the turns of a key have expired here and must not be fetched again from a peer that has
// turns with the given digest and confirms their retention for a time. Where the program went on at the peer, so that it
// has other turns and retains them for longer than minRefetchRetention, they are fetched; that bound keeps expiring
// turns from travelling from store to store.
func (ix *index) rejectsRefetch(key string, confirmed time.Duration, turnsDigest uint64) bool {
	digest, expired := ix.expiredDigest(xxhash.Sum64String(key))
	return expired && (confirmed < minRefetchRetention || turnsDigest == digest)
}

// expiredDigest returns the digest of the turns that an expired program had, by the hash of its key.
func (ix *index) expiredDigest(keyHash uint64) (digest uint64, expired bool) {
	if digest, expired = ix.expiredDigests[0][keyHash]; !expired {
		digest, expired = ix.expiredDigests[1][keyHash]
	}
	return digest, expired
}

func (ix *index) clearExpired(key string) {
	h := xxhash.Sum64String(key)
	delete(ix.expiredDigests[0], h)
	delete(ix.expiredDigests[1], h)
}
