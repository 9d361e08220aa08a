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

// An observation is what one relay saw at first hand: an endpoint is unhealthy, or healthy again. It binds no
// other relay, as one that does not see the same may be right: it is there for operators, who want to know
// whether a partner is out or a link. What binds (single trial calls, the budget of a route that is warming up)
// is carried by requests and grants, from the relay that granted the calls.
//
// An observation has its origin and the origin's counter, and ages instead of times: since it began, and since
// it was renewed. It is renewed every renewInterval while it holds, and expires ObservationTTL after its
// renewal, at every relay: so what nobody renews, because its origin is dead or partitioned, disappears. One
// that returns to its origin changes nothing there; one from before a restart of its origin has the origin count
// on above it and send what it sees now.
const (
	ObservationTTL  = 30 * time.Second
	renewInterval   = 10 * time.Second
	MaxObservations = 32      // of one relay
	maxAgeMs        = 1 << 32 // milliseconds
)

// Observation is what one relay saw of a subject at first hand.
type Observation struct {
	Subject   string
	Origin    int // number, in the order of the list
	Unhealthy bool
	// Age, by the clocks of its origin and of the relays that passed it on; time in transit is not counted.
	Since   time.Duration
	Renewed time.Duration // age of the last renewal, likewise
	Counter uint64        // of its origin
}

// observationKey identifies an observation.
type observationKey struct {
	origin  int
	subject string
}

// observed is the state of an observation in the set.
type observed struct {
	unhealthy bool
	counter   uint64
	since     time.Duration // by this relay's clock
	renewedAt time.Duration // by this relay's clock
}

// observation returns the observation with its ages.
func (v observed) observation(now time.Duration, k observationKey) Observation {
	return Observation{Subject: k.subject, Origin: k.origin, Unhealthy: v.unhealthy, Counter: v.counter,
		Since: now - v.since, Renewed: now - v.renewedAt}
}

// observationSet holds the observations that one relay knows.
type observationSet struct {
	all       map[observationKey]observed
	digest    uint32
	lastSent  map[int]observationKey // by peer
	nextCheck time.Duration          // nothing expires or has to be renewed before
}

// newObservationSet returns an empty set.
func newObservationSet() observationSet {
	return observationSet{all: map[observationKey]observed{}, lastSent: map[int]observationKey{}, nextCheck: never}
}

// put adds or replaces an observation.
func (s *observationSet) put(k observationKey, v observed) {
	if previous, ok := s.all[k]; ok {
		s.digest ^= k.hash(previous)
	}
	s.all[k] = v
	s.digest ^= k.hash(v)
	s.nextCheck = min(s.nextCheck, v.renewedAt+renewInterval)
}

// remove removes an observation.
func (s *observationSet) remove(k observationKey) {
	s.digest ^= k.hash(s.all[k])
	delete(s.all, k)
}

// hash returns the contribution of an observation to the digest: of all but its times.
func (k observationKey) hash(v observed) uint32 {
	h := fnv.New32a()
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(k.origin)), v.counter)
	h.Write(append(b, byte(protowire.EncodeBool(v.unhealthy))))
	h.Write([]byte(k.subject))
	return h.Sum32()
}

// countOf returns the number of observations of an origin.
func (s *observationSet) countOf(origin int) (n int) {
	for k := range s.all {
		if k.origin == origin {
			n++
		}
	}
	return n
}

// Observe records what this relay sees now. That a subject is healthy is gossiped only if it was unhealthy before.
func (g *Gossiper) Observe(now time.Duration, subject string, unhealthy bool) {
	k := observationKey{g.settings.Self, subject}
	previous, known := g.observations.all[k]
	if len(subject) > MaxSubjectBytes || subject == "" || known && previous.unhealthy == unhealthy {
		return
	}
	if !known && (!unhealthy || g.observations.countOf(g.settings.Self) >= MaxObservations) {
		return
	}
	g.observationCounter++
	g.observations.put(k, observed{unhealthy: unhealthy, counter: g.observationCounter, since: now, renewedAt: now})
	g.pushObservations()
}

// pushObservations makes observations due for all peers at once.
func (g *Gossiper) pushObservations() {
	for i := range g.peers {
		g.peers[i].observationsUnsent = true
	}
}

// receiveObservation processes an observation of a message.
func (g *Gossiper) receiveObservation(now time.Duration, s Observation) {
	if !g.valid(s) {
		return
	}
	k := observationKey{s.Origin, s.Subject}
	previous, known := g.observations.all[k]
	if s.Origin == g.settings.Self {
		g.receiveOwnObservation(now, s)
		return
	}
	if known && s.Counter <= previous.counter || !known && g.observations.countOf(s.Origin) >= MaxObservations {
		return
	}
	g.observations.put(k, observed{unhealthy: s.Unhealthy, counter: s.Counter, since: now - s.Since, renewedAt: now - s.Renewed})
	g.pushObservations()
}

// valid reports whether the fields of a received observation are within their bounds.
func (g *Gossiper) valid(s Observation) bool {
	return s.Origin >= 0 && s.Origin < len(g.peers) && s.Subject != "" && len(s.Subject) <= MaxSubjectBytes &&
		s.Renewed < ObservationTTL && s.Counter != 0 && s.Counter <= maxCounter
}

// receiveOwnObservation processes an observation of this relay that another one returned.
func (g *Gossiper) receiveOwnObservation(now time.Duration, s Observation) {
	if s.Counter <= g.observationCounter { // sent in this incarnation
		return
	}
	k := observationKey{s.Origin, s.Subject}
	previous, known := g.observations.all[k]
	g.observationCounter = s.Counter + 1 // from before a restart: what is seen now is newer
	unhealthy, since := known && previous.unhealthy, now
	if unhealthy {
		since = previous.since
	}
	g.observations.put(k, observed{unhealthy: unhealthy, counter: g.observationCounter, since: since, renewedAt: now})
	g.pushObservations()
}

// renewObservations renews what this relay still sees, and drops what has expired.
func (g *Gossiper) renewObservations(now time.Duration) {
	if now < g.observations.nextCheck {
		return
	}
	g.observations.nextCheck = never
	for _, k := range slices.SortedFunc(maps.Keys(g.observations.all), compareObservationKeys) {
		switch v := g.observations.all[k]; {
		case k.origin == g.settings.Self && v.unhealthy && now-v.renewedAt >= renewInterval:
			g.observationCounter++
			v.counter, v.renewedAt = g.observationCounter, now
			g.observations.put(k, v)
		case now-v.renewedAt >= ObservationTTL:
			g.observations.remove(k)
		default:
			at := v.renewedAt + ObservationTTL
			if k.origin == g.settings.Self && v.unhealthy {
				at = v.renewedAt + renewInterval
			}
			g.observations.nextCheck = min(g.observations.nextCheck, at)
		}
	}
}

// compareObservationKeys orders observations by origin and subject.
func compareObservationKeys(a, b observationKey) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.subject, b.subject))
}

// Observations returns what is known, by subject and origin.
func (g *Gossiper) Observations(now time.Duration) (all []Observation) {
	for k, v := range g.observations.all {
		if now-v.renewedAt < ObservationTTL {
			all = append(all, v.observation(now, k))
		}
	}
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Origin, b.Origin))
	})
	return all
}

// observationsFor returns the observations to send to a peer whose digest differs, continued where the last
// message to it ended.
func (g *Gossiper) observationsFor(now time.Duration, to int) (all []Observation) {
	keys := slices.SortedFunc(maps.Keys(g.observations.all), compareObservationKeys)
	first, _ := slices.BinarySearchFunc(keys, g.observations.lastSent[to], compareObservationKeys)
	if first < len(keys) && keys[first] == g.observations.lastSent[to] {
		first++
	}
	for _, k := range append(slices.Clone(keys[first:]), keys[:first]...) {
		v := g.observations.all[k]
		all = append(all, v.observation(now, k))
	}
	return all
}

// Field numbers of an observation. A number is never reused.
const (
	observationSubject protowire.Number = iota + 1
	observationOrigin
	observationUnhealthy
	observationSince   // milliseconds
	observationRenewed // milliseconds
	observationCounter
)

// encode appends the encoded observation.
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

// decodeObservation decodes an observation. Unknown fields are ignored.
func decodeObservation(data []byte) (s Observation, err error) {
	err = eachField(data, func(n protowire.Number, f protofields.Field) error {
		ms := time.Duration(min(f.Number, maxAgeMs)) * time.Millisecond
		switch n {
		case observationSubject:
			s.Subject = string(f.Bytes)
		case observationOrigin:
			s.Origin = int(min(f.Number, maxNumber))
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
