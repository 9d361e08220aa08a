package turnstore

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// isReplica reports whether a store is a replica of the program under a placement, by either list.
func (p *program) isReplica(placement *Placement, store string) bool {
	if p.replicasUnder != placement {
		p.replicasUnder, p.replicas = placement, p.replicas[:0]
		for _, g := range placement.ReplicaSets(p.key) {
			for _, s := range g {
				p.replicas = append(p.replicas, s.ID)
			}
		}
	}
	return slices.Contains(p.replicas, store)
}

// digest returns a hash of the program's key, turns and ledger.
func (p *program) digest() uint64 {
	h := xxhash.Sum64String(p.key)
	return h ^ p.turnsDigest*0x9e3779b97f4a7c15 ^ p.ledger.Digest()*0xd6e8feb86659fd93
}

// digestOfTurns returns what program.turnsDigest is with the given turns.
func digestOfTurns(turns []string) (d uint64) {
	for _, id := range turns {
		d ^= xxhash.Sum64String(id)
	}
	return d
}

// bucketDigests returns the digest of each bucket over the programs that have both stores as replicas.
func (ix *index) bucketDigests(placement *Placement, storeA, storeB string) (out [bucketCount]uint64) {
	for i, m := range ix.programs {
		for _, p := range m {
			if p.isReplica(placement, storeA) && p.isReplica(placement, storeB) {
				out[i] ^= p.digest()
			}
		}
	}
	return out
}

// digestPage returns the digests of up to limit programs that want selects, ordered by bucket and key, from after a key
// in a bucket on. buckets restricts them to some buckets, unless it is empty. more reports whether the limit was reached.
func (ix *index) digestPage(buckets []int, bucket int, after string, limit int, now time.Time,
	want func(*program) bool) (out []keyDigest, more bool) {
	for b := bucket; b < bucketCount; b++ {
		if b > bucket {
			after = ""
		}
		if len(buckets) > 0 && !slices.Contains(buckets, b) {
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
			if len(out) >= limit {
				return out, true
			}
			p := ix.programs[b][key]
			out = append(out, keyDigest{Key: key, TurnsDigest: int64(p.turnsDigest), LedgerDigest: int64(p.ledger.Digest()),
				ConfirmedMs: int(p.confirmedRetention(now).Milliseconds())})
		}
	}
	return out, false
}

// needsFetch reports whether a program must be fetched from a peer that has it with the given digests.
func (ix *index) needsFetch(d keyDigest) bool {
	p := ix.get(d.Key)
	rejected := ix.rejectsRefetch(d.Key, time.Duration(d.ConfirmedMs)*time.Millisecond, uint64(d.TurnsDigest))
	if p == nil {
		return !rejected
	}
	if int64(p.ledger.Digest()) != d.LedgerDigest {
		return true
	}
	return int64(p.turnsDigest) != d.TurnsDigest && d.TurnsDigest != 0 && !rejected
}
