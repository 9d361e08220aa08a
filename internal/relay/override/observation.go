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
// again every renewInterval while it holds, and lapses ObservationTTL after it was said last, wherever that is heard: so what nobody
// renews, because its origin is gone or cut off, is gone too. One that comes round to its origin changes nothing there;
// one of that from before it began anew has it count on above it and say anew what it sees now.
const (
	ObservationTTL  = 30 * time.Second
	renewInterval   = 10 * time.Second
	MaxObservations = 32      // of one relay
	maxAgeMs        = 1 << 32 // milliseconds
)

// Observation is what one relay saw.
type Observation struct {
	Subject   string
	Origin    int // in the order of the list
	Unhealthy bool
	Since     time.Duration // ago, by its origin and the relays that passed it on; notes under way are not counted
	Renewed   time.Duration // ago, likewise
	Counter   uint64
}

// observationKey names what a sight is about.
type observationKey struct {
	origin  int
	subject string
}

// observed is a sight as it is kept.
type observed struct {
	unhealthy bool
	counter   uint64
	since     time.Duration // by this relay's clock
	renewedAt time.Duration
}

// observationSet are those that one relay knows.
type observationSet struct {
	all       map[observationKey]observed
	digest    uint32
	lastSent  map[int]observationKey // by peer, the last one sent
	nextCheck time.Duration          // nothing lapses, or is to be said again, before
}

func newObservationSet() observationSet {
	return observationSet{all: map[observationKey]observed{}, lastSent: map[int]observationKey{}, nextCheck: never}
}

func (s *observationSet) put(k observationKey, v observed) {
	if was, ok := s.all[k]; ok {
		s.digest ^= k.hash(was)
	}
	s.all[k] = v
	s.digest ^= k.hash(v)
	s.nextCheck = min(s.nextCheck, v.renewedAt+renewInterval)
}

func (s *observationSet) remove(k observationKey) {
	s.digest ^= k.hash(s.all[k])
	delete(s.all, k)
}

// hash stands for a sight in the digest: all but its times.
func (k observationKey) hash(v observed) uint32 {
	h := fnv.New32a()
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(k.origin)), v.counter)
	h.Write(append(b, byte(protowire.EncodeBool(v.unhealthy))))
	h.Write([]byte(k.subject))
	return h.Sum32()
}

// countOf is how many sights of an origin are kept.
func (s *observationSet) countOf(origin int) (n int) {
	for k := range s.all {
		if k.origin == origin {
			n++
		}
	}
	return n
}

// Observe takes in what this relay sees now. What it has not called bad before is not told to be well.
func (t *Gossiper) Observe(now time.Duration, subject string, bad bool) {
	k := observationKey{t.settings.Self, subject}
	was, known := t.observations.all[k]
	if known && was.unhealthy == bad || !known && (!bad || t.observations.countOf(t.settings.Self) >= MaxObservations) || len(subject) > MaxSubjectBytes || subject == "" {
		return
	}
	t.observationCounter++
	t.observations.put(k, observed{unhealthy: bad, counter: t.observationCounter, since: now, renewedAt: now})
	t.pushObservations()
}

// pushObservations has all others told of sights at once.
func (t *Gossiper) pushObservations() {
	for i := range t.peers {
		t.peers[i].observationsUnsent = true
	}
}

// receiveObservation takes in a sight from a note.
func (t *Gossiper) receiveObservation(now time.Duration, s Observation) {
	if s.Origin < 0 || s.Origin >= len(t.peers) || s.Subject == "" || len(s.Subject) > MaxSubjectBytes || s.Renewed >= ObservationTTL || s.Counter == 0 || s.Counter > maxCounter {
		return
	}
	k := observationKey{s.Origin, s.Subject}
	was, known := t.observations.all[k]
	if s.Origin == t.settings.Self {
		if s.Counter <= t.observationCounter { // it came round
			return
		}
		t.observationCounter = s.Counter + 1 // from before this one began anew: what is seen now is newer
		bad, since := known && was.unhealthy, now
		if bad {
			since = was.since
		}
		t.observations.put(k, observed{unhealthy: bad, counter: t.observationCounter, since: since, renewedAt: now})
		t.pushObservations()
		return
	}
	if known && s.Counter <= was.counter || !known && t.observations.countOf(s.Origin) >= MaxObservations {
		return
	}
	t.observations.put(k, observed{unhealthy: s.Unhealthy, counter: s.Counter, since: now - s.Since, renewedAt: now - s.Renewed})
	t.pushObservations()
}

// renewObservations says again what this relay still sees, and forgets what has lapsed.
func (t *Gossiper) renewObservations(now time.Duration) {
	if now < t.observations.nextCheck {
		return
	}
	t.observations.nextCheck = never
	for _, k := range slices.SortedFunc(maps.Keys(t.observations.all), compareObservationKeys) {
		switch v := t.observations.all[k]; {
		case k.origin == t.settings.Self && v.unhealthy && now-v.renewedAt >= renewInterval:
			t.observationCounter++
			v.counter, v.renewedAt = t.observationCounter, now
			t.observations.put(k, v)
		case now-v.renewedAt >= ObservationTTL:
			t.observations.remove(k)
		default:
			at := v.renewedAt + ObservationTTL
			if k.origin == t.settings.Self && v.unhealthy {
				at = v.renewedAt + renewInterval
			}
			t.observations.nextCheck = min(t.observations.nextCheck, at)
		}
	}
}

func compareObservationKeys(a, b observationKey) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.subject, b.subject))
}

// Observations are what is known, by subject and origin.
func (t *Gossiper) Observations(now time.Duration) (all []Observation) {
	for k, v := range t.observations.all {
		if now-v.renewedAt < ObservationTTL {
			all = append(all, Observation{Subject: k.subject, Origin: k.origin, Unhealthy: v.unhealthy, Since: now - v.since, Renewed: now - v.renewedAt, Counter: v.counter})
		}
	}
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}

// observationsFor are those to send a peer whose digest is another, from where the last note to it ended.
func (t *Gossiper) observationsFor(now time.Duration, to int) (all []Observation) {
	keys := slices.SortedFunc(maps.Keys(t.observations.all), compareObservationKeys)
	first, _ := slices.BinarySearchFunc(keys, t.observations.lastSent[to], compareObservationKeys)
	if first < len(keys) && keys[first] == t.observations.lastSent[to] {
		first++
	}
	for _, k := range append(slices.Clone(keys[first:]), keys[:first]...) {
		v := t.observations.all[k]
		all = append(all, Observation{Subject: k.subject, Origin: k.origin, Unhealthy: v.unhealthy, Since: now - v.since, Renewed: now - v.renewedAt, Counter: v.counter})
	}
	return all
}

// The numbers of a sight's fields. A number is never used anew.
const (
	observationSubject protowire.Number = iota + 1
	observationOrigin
	observationUnhealthy
	observationSince   // milliseconds
	observationRenewed // milliseconds
	observationCounter
)

func (s Observation) encode(b []byte) []byte {
	number := func(f protowire.Number, v uint64) {
		b = protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
	}
	b = protowire.AppendString(protowire.AppendTag(b, observationSubject, protowire.BytesType), s.Subject)
	number(observationOrigin, uint64(s.Origin))
	number(observationUnhealthy, protowire.EncodeBool(s.Unhealthy))
	number(observationSince, uint64(max(0, s.Since).Milliseconds()))
	number(observationRenewed, uint64(max(0, s.Renewed).Milliseconds()))
	number(observationCounter, s.Counter)
	return b
}

func decodeObservation(data []byte) (s Observation, err error) {
	err = eachField(data, func(n protowire.Number, f protofields.Field) error {
		ms := time.Duration(min(f.Number, maxAgeMs)) * time.Millisecond
		switch n {
		case observationSubject:
			s.Subject = string(f.Bytes)
		case observationOrigin:
			s.Origin = int(min(f.Number, 1<<20))
		case observationUnhealthy:
			s.Unhealthy = protowire.DecodeBool(f.Number)
		case observationSince:
			s.Since = ms
		case observationRenewed:
			s.Renewed = ms
		case observationCounter:
			s.Counter = f.Number
		}
		return nil
	})
	return s, err
}
