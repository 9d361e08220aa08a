package override

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"larchrouter/internal/relay/protofields"
)

// A sight is what one relay saw at first hand: an endpoint is out, or well again. It binds nobody, as who does not see the same
// may be right: it is there for people, who want to know whether a partner is out or a link. What binds (single trials, the
// budget of a cold return) goes with asks and grants, from whoever granted the calls.
//
// A sight has its origin and that one's count, and ages instead of times: since it began, and since it was said last. It is said
// again every sayAgain while it holds, and lapses SightFor after it was said last, wherever that is heard: so what nobody
// renews, because its origin is gone or cut off, is gone too. One that comes round to its origin changes nothing there;
// one of that from before it began anew has it count on above it and say anew what it sees now.
const (
	SightFor   = 30 * time.Second
	sayAgain   = 10 * time.Second
	MostSights = 32      // of one relay
	mostAge    = 1 << 32 // milliseconds
)

// Sight is what one relay saw.
type Sight struct {
	Subject string
	Origin  int // in the order of the list
	Bad     bool
	Since   time.Duration // ago, by its origin and the relays that passed it on; notes under way are not counted
	Said    time.Duration // ago, likewise
	Count   uint64
}

// sighted names what a sight is about.
type sighted struct {
	origin  int
	subject string
}

// seen is a sight as it is kept.
type seen struct {
	bad    bool
	count  uint64
	since  time.Duration // by this relay's clock
	saidAt time.Duration
}

// sights are those that one relay knows.
type sights struct {
	all    map[sighted]seen
	digest uint32
	cursor map[int]sighted // by peer, the last one sent
	lookAt time.Duration   // nothing lapses, or is to be said again, before
}

func newSights() sights {
	return sights{all: map[sighted]seen{}, cursor: map[int]sighted{}, lookAt: never}
}

func (s *sights) put(k sighted, v seen) {
	if was, ok := s.all[k]; ok {
		s.digest ^= k.sum(was)
	}
	s.all[k] = v
	s.digest ^= k.sum(v)
	s.lookAt = min(s.lookAt, v.saidAt+sayAgain)
}

func (s *sights) drop(k sighted) {
	s.digest ^= k.sum(s.all[k])
	delete(s.all, k)
}

// sum stands for a sight in the digest: all but its times.
func (k sighted) sum(v seen) uint32 {
	h := fnv.New32a()
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(k.origin)), v.count)
	h.Write(append(b, byte(protowire.EncodeBool(v.bad))))
	h.Write([]byte(k.subject))
	return h.Sum32()
}

// count is how many sights of an origin are kept.
func (s *sights) count(origin int) (n int) {
	for k := range s.all {
		if k.origin == origin {
			n++
		}
	}
	return n
}

// See takes in what this relay sees now. What it has not called bad before is not told to be well.
func (t *Talk) See(now time.Duration, subject string, bad bool) {
	k := sighted{t.set.Self, subject}
	was, known := t.sights.all[k]
	if known && was.bad == bad || !known && (!bad || t.sights.count(t.set.Self) >= MostSights) || len(subject) > MostSubject || subject == "" {
		return
	}
	t.counted++
	t.sights.put(k, seen{bad: bad, count: t.counted, since: now, saidAt: now})
	t.tellSights()
}

// tellSights has all others told of sights at once.
func (t *Talk) tellSights() {
	for i := range t.peers {
		t.peers[i].sights = true
	}
}

// hearSight takes in a sight from a note.
func (t *Talk) hearSight(now time.Duration, s Sight) {
	if s.Origin < 0 || s.Origin >= len(t.peers) || s.Subject == "" || len(s.Subject) > MostSubject || s.Said >= SightFor || s.Count == 0 || s.Count > mostCount {
		return
	}
	k := sighted{s.Origin, s.Subject}
	was, known := t.sights.all[k]
	if s.Origin == t.set.Self {
		if s.Count <= t.counted { // it came round
			return
		}
		t.counted = s.Count + 1 // from before this one began anew: what is seen now is newer
		bad, since := known && was.bad, now
		if bad {
			since = was.since
		}
		t.sights.put(k, seen{bad: bad, count: t.counted, since: since, saidAt: now})
		t.tellSights()
		return
	}
	if known && s.Count <= was.count || !known && t.sights.count(s.Origin) >= MostSights {
		return
	}
	t.sights.put(k, seen{bad: s.Bad, count: s.Count, since: now - s.Since, saidAt: now - s.Said})
	t.tellSights()
}

// keepSights says again what this relay still sees, and forgets what has lapsed.
func (t *Talk) keepSights(now time.Duration) {
	if now < t.sights.lookAt {
		return
	}
	t.sights.lookAt = never
	for _, k := range slices.SortedFunc(maps.Keys(t.sights.all), compareSighted) {
		switch v := t.sights.all[k]; {
		case k.origin == t.set.Self && v.bad && now-v.saidAt >= sayAgain:
			t.counted++
			v.count, v.saidAt = t.counted, now
			t.sights.put(k, v)
		case now-v.saidAt >= SightFor:
			t.sights.drop(k)
		default:
			at := v.saidAt + SightFor
			if k.origin == t.set.Self && v.bad {
				at = v.saidAt + sayAgain
			}
			t.sights.lookAt = min(t.sights.lookAt, at)
		}
	}
}

func compareSighted(a, b sighted) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.subject, b.subject))
}

// Sights are what is known, by subject and origin.
func (t *Talk) Sights(now time.Duration) (all []Sight) {
	for k, v := range t.sights.all {
		if now-v.saidAt < SightFor {
			all = append(all, Sight{Subject: k.subject, Origin: k.origin, Bad: v.bad, Since: now - v.since, Said: now - v.saidAt, Count: v.count})
		}
	}
	slices.SortFunc(all, func(a, b Sight) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}

// differingSights are those to send a peer whose digest is another, from where the last note to it ended.
func (t *Talk) differingSights(now time.Duration, to int) (all []Sight) {
	keys := slices.SortedFunc(maps.Keys(t.sights.all), compareSighted)
	first, _ := slices.BinarySearchFunc(keys, t.sights.cursor[to], compareSighted)
	if first < len(keys) && keys[first] == t.sights.cursor[to] {
		first++
	}
	for _, k := range append(slices.Clone(keys[first:]), keys[:first]...) {
		v := t.sights.all[k]
		all = append(all, Sight{Subject: k.subject, Origin: k.origin, Bad: v.bad, Since: now - v.since, Said: now - v.saidAt, Count: v.count})
	}
	return all
}

// The numbers of a sight's fields. A number is never used anew.
const (
	sightSubject protowire.Number = iota + 1
	sightOrigin
	sightBad
	sightSince // milliseconds
	sightSaid  // milliseconds
	sightCount
)

func (s Sight) encode(b []byte) []byte {
	number := func(f protowire.Number, v uint64) {
		b = protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
	}
	b = protowire.AppendString(protowire.AppendTag(b, sightSubject, protowire.BytesType), s.Subject)
	number(sightOrigin, uint64(s.Origin))
	number(sightBad, protowire.EncodeBool(s.Bad))
	number(sightSince, uint64(max(0, s.Since).Milliseconds()))
	number(sightSaid, uint64(max(0, s.Said).Milliseconds()))
	number(sightCount, s.Count)
	return b
}

func decodeSight(data []byte) (s Sight, err error) {
	err = fields(data, func(n protowire.Number, f protofields.Field) error {
		ms := time.Duration(min(f.Number, mostAge)) * time.Millisecond
		switch n {
		case sightSubject:
			s.Subject = string(f.Bytes)
		case sightOrigin:
			s.Origin = int(min(f.Number, 1<<20))
		case sightBad:
			s.Bad = protowire.DecodeBool(f.Number)
		case sightSince:
			s.Since = ms
		case sightSaid:
			s.Said = ms
		case sightCount:
			s.Count = f.Number
		}
		return nil
	})
	return s, err
}
