package override

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Each relay sends each other a message every HeartbeatInterval, with its heartbeat counter and those that it
// has heard of others, so that a relay is known to be reachable that any chain of links reaches. The message has
// a digest of the store. Relays whose digests are equal are in sync. Where they differ, each sends the other the
// overrides of the buckets that differ, every resendInterval, until the digests are equal; a new override is
// sent to all at once.
//
// So over a link that loses a share p of the messages and takes d, an override arrives within d +
// resendInterval*(n-1) except with a probability of p^n, and over a chain of k links within k times that. A
// relay that no chain joins is known to be unreachable UnreachableAfter after its last heartbeat that arrived. A
// link that works one way only carries overrides that way: newest first, with the heartbeats.
const (
	HeartbeatInterval = 200 * time.Millisecond
	UnreachableAfter  = 600 * time.Millisecond // three heartbeats
	// StatedConvergence is the time within which an override is applied by all relays that a chain of working
	// links joins to its origin, and StatedLossyConvergence where links lose three messages in ten
	// (docs/design/008-words.md).
	StatedConvergence      = time.Second
	StatedLossyConvergence = 3 * time.Second
	resendInterval         = 100 * time.Millisecond
	replyInterval          = 20 * time.Millisecond // least time between two messages to a peer
	// weightTTL is how long after its last message a relay's statement of the total weight counts.
	weightTTL         = 5 * time.Second
	maxHeartbeat      = 1 << 56 // a higher one is forged: no relay runs so long
	maxActiveVersions = 8
	maxBlindOverrides = 2 // sent with a heartbeat to a peer that is not received
	never             = time.Duration(math.MaxInt64)
)

// Settings of one relay's gossiper.
type Settings struct {
	// Names of all relays of the fleet, this one included, in the order that all use.
	Names []string
	Self  int // index of this relay in Names
	// Incarnation is drawn at each start: it separates delayed messages of an earlier incarnation
	Incarnation uint32
	// Weights are the relays' weights in the division of limits; nil if all are equal.
	Weights []int
}

// Gossiper spreads the overrides, heartbeats, observations and active versions of one relay. It is not safe for
// concurrent use.
type Gossiper struct {
	settings    Settings
	listDigest  uint64
	store       *Store
	heartbeat   uint64
	peers       []peer   // by number; that of this relay is unused
	recent      []string // subjects, last applied first; at most maxBlindOverrides
	removed     []int    // for good
	versions    []ActiveVersion
	storeDigest uint64 // combined digest of the store

	observations       observationSet
	observationCounter uint64 // of this relay's observations
}

// Message is to be sent to a relay.
type Message struct {
	To   int // number of the relay
	Data []byte
}

// New returns a relay's gossiper, with the overrides that it recorded before.
func New(s Settings, now time.Duration, recorded []Override) (*Gossiper, error) {
	if s.Weights != nil && len(s.Weights) != len(s.Names) {
		return nil, fmt.Errorf("override: %d weights of %d relays", len(s.Weights), len(s.Names))
	}
	if s.Self < 0 || s.Self >= len(s.Names) {
		return nil, fmt.Errorf("override: this relay has number %d of %d; numbers begin at 0", s.Self, len(s.Names))
	}
	g := &Gossiper{
		settings:     s,
		listDigest:   listDigest(s.Names),
		store:        NewStore(),
		heartbeat:    1,
		observations: newObservationSet(),
	}
	for i := range s.Names {
		// Heartbeats are spread, so that the messages of a fleet that starts together do not arrive together.
		g.peers = append(g.peers, peer{receivedAt: -1, heartbeatAt: -1, inSyncAt: -1, sentAt: now - HeartbeatInterval,
			nextHeartbeat: now + HeartbeatInterval*time.Duration((i+s.Self)%len(s.Names))/time.Duration(len(s.Names))})
	}
	for _, o := range recorded {
		g.store.Merge(o)
	}
	g.storeDigest = g.store.digest.combined()
	return g, nil
}

// Store returns the overrides of this relay. Only Apply changes them.
func (g *Gossiper) Store() *Store { return g.store }

// Receive processes a message, and returns the overrides in it that would change the store. They count only
// after the caller made them durable and passed them to Apply.
func (g *Gossiper) Receive(now time.Duration, from int, data []byte) (changes []Override) {
	if from < 0 || from >= len(g.peers) || from == g.settings.Self {
		return nil
	}
	m, err := decode(data)
	if err != nil {
		return nil
	}
	for _, o := range m.overrides { // also of a delayed message: counters order them
		if g.store.Changes(o) {
			changes = append(changes, o)
		}
	}
	p := &g.peers[from]
	if m.heartbeat > maxHeartbeat || m.incarnation == p.incarnation && m.heartbeat < p.ownHeartbeat {
		return changes // the rest of the message is older than what was received since
	}
	p.update(now, m)
	if m.listDigest == g.listDigest { // relays are identified by number
		for _, h := range m.heartbeats {
			g.receiveHeartbeat(now, h)
		}
		for _, o := range m.observations {
			g.receiveObservation(now, o)
		}
	}
	if p.storeDigest == g.storeDigest {
		p.inSyncAt, p.unsent = now, nil
	} else {
		p.owesReply = p.owesReply || m.wantsReply
	}
	return changes
}

// update records what a message reports of its sender.
func (p *peer) update(now time.Duration, m message) {
	p.incarnation, p.ownHeartbeat, p.receivedAt = m.incarnation, m.heartbeat, now
	p.storeDigest, p.bucketDigest, p.observationDigest = m.storeDigest, m.bucketDigest, m.observationDigest
	p.listDigest, p.totalWeight, p.weight = m.listDigest, m.totalWeight, m.weight
	if len(m.versions) > 0 {
		p.versions = m.versions
	}
	p.heartbeat, p.heartbeatAt = m.heartbeat, now // authoritative, also if it restarted
}

// receiveHeartbeat processes the heartbeat of a relay that another one heard of.
func (g *Gossiper) receiveHeartbeat(now time.Duration, h relayHeartbeat) {
	switch {
	case h.relay >= len(g.peers) || h.heartbeat > maxHeartbeat:
	case h.relay == g.settings.Self:
		g.heartbeat = max(g.heartbeat, h.heartbeat) // from before a restart: the next one must be higher
	case h.heartbeat > g.peers[h.relay].heartbeat:
		p := &g.peers[h.relay]
		p.heartbeat, p.heartbeatAt = h.heartbeat, now
	}
}

// Apply adds overrides that are durable and carried out here.
func (g *Gossiper) Apply(now time.Duration, overrides ...Override) {
	for _, o := range overrides {
		if !g.store.Merge(o) {
			continue
		}
		g.recent = slices.DeleteFunc(g.recent, func(subject string) bool { return subject == o.Subject })
		g.recent = slices.Insert(g.recent, 0, o.Subject)
		g.recent = g.recent[:min(len(g.recent), maxBlindOverrides)]
		for i := range g.peers {
			if p := &g.peers[i]; !slices.Contains(p.unsent, o.Subject) {
				p.unsent = append(p.unsent, o.Subject)
			}
		}
	}
	if g.storeDigest = g.store.digest.combined(); len(overrides) > 0 {
		for i := range g.peers {
			if p := &g.peers[i]; p.storeDigest == g.storeDigest && p.receivedAt >= 0 {
				p.inSyncAt, p.unsent = now, nil
			}
		}
	}
}

// SetActiveVersions sets the versions that this relay acts on, at most maxActiveVersions. They are sent with the
// next heartbeat.
func (g *Gossiper) SetActiveVersions(versions []ActiveVersion) {
	g.versions = versions[:min(len(versions), maxActiveVersions)]
}

// ActiveVersions returns the versions that a relay reported last for itself.
func (g *Gossiper) ActiveVersions(relay int) []ActiveVersion {
	if relay == g.settings.Self {
		return g.versions
	}
	return g.peers[relay].versions
}

// due returns when a message to a relay is due.
func (g *Gossiper) due(now time.Duration, p *peer) time.Duration {
	at := p.nextHeartbeat
	if p.receivedRecently(now) && p.storeDigest != g.storeDigest || len(p.unsent) > 0 && p.receivedAt >= 0 {
		wait := resendInterval
		if p.owesReply {
			wait = replyInterval
		}
		if len(p.unsent) > 0 && p.cursor != p.unsent[0] { // not sent yet
			wait = 0
		}
		at = min(at, p.sentAt+wait)
	}
	if p.receivedRecently(now) && p.listDigest == g.listDigest && p.observationDigest != g.observations.digest {
		wait := resendInterval
		if p.observationsUnsent {
			wait = replyInterval
		}
		at = min(at, p.sentAt+wait)
	}
	return at
}

// Due returns the messages to send now, and when to call it again.
func (g *Gossiper) Due(now time.Duration) (messages []Message, at time.Duration) {
	at = never
	counted := false
	g.renewObservations(now)
	for i := range g.peers {
		if i == g.settings.Self {
			continue
		}
		p := &g.peers[i]
		if g.due(now, p) <= now {
			if p.nextHeartbeat <= now {
				if p.nextHeartbeat = max(p.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2); !counted {
					g.heartbeat, counted = g.heartbeat+1, true
				}
			}
			messages = append(messages, Message{i, g.messageTo(now, i)})
		}
		at = min(at, max(g.due(now, p), now+time.Millisecond))
	}
	return messages, at
}

// messageTo returns the encoded message for a relay, and records what is sent with it.
func (g *Gossiper) messageTo(now time.Duration, to int) []byte {
	p := &g.peers[to]
	m := message{
		incarnation:       g.settings.Incarnation,
		heartbeat:         g.heartbeat,
		listDigest:        g.listDigest,
		totalWeight:       g.listedWeight(),
		weight:            g.weight(g.settings.Self),
		versions:          g.versions,
		storeDigest:       g.storeDigest,
		observationDigest: g.observations.digest,
		heartbeats:        g.recentHeartbeats(now),
	}
	if !p.receivedRecently(now) || p.observationDigest != g.observations.digest {
		m.observations = g.observationsFor(now, to)
	}
	switch {
	case !p.receivedRecently(now): // it may receive this relay all the same
		for _, subject := range g.recent {
			m.overrides = append(m.overrides, g.store.overrides[subject])
		}
	case p.storeDigest != g.storeDigest:
		m.wantsReply, m.bucketDigest = !p.owesReply || len(p.unsent) > 0, &g.store.digest
		m.overrides = g.overridesFor(p)
	}
	data, overrides, observations := m.encode()
	g.recordSent(now, to, m, overrides, observations)
	return data
}

// recordSent records that a message with so many of its overrides and observations was sent to a relay.
func (g *Gossiper) recordSent(now time.Duration, to int, m message, overrides, observations int) {
	p := &g.peers[to]
	if observations > 0 {
		last := m.observations[observations-1]
		g.observations.lastSent[to] = observationKey{last.Origin, last.Subject}
	}
	p.observationsUnsent = p.observationsUnsent && len(m.observations) > 0 && observations < len(m.observations)
	if overrides > 0 && p.receivedRecently(now) {
		p.cursor = m.overrides[overrides-1].Subject
	}
	p.sentAt, p.owesReply = now, false
	p.unsent = slices.DeleteFunc(p.unsent, func(subject string) bool { // they are sent again if the digests differ
		return slices.ContainsFunc(m.overrides[:overrides], func(o Override) bool { return o.Subject == subject })
	})
}

// overridesFor returns the overrides that a relay may lack: first those applied since it was in sync, then those
// of the buckets that differ, continued where the last message to it ended.
func (g *Gossiper) overridesFor(p *peer) (overrides []Override) {
	for _, subject := range p.unsent {
		overrides = append(overrides, g.store.overrides[subject])
	}
	var rest []Override
	for _, o := range g.store.All() {
		bucket := bucketOf(o.Subject)
		inSync := p.bucketDigest != nil && p.bucketDigest[bucket] == g.store.digest[bucket]
		if inSync || slices.Contains(p.unsent, o.Subject) {
			continue
		}
		rest = append(rest, o)
	}
	first, _ := slices.BinarySearchFunc(rest, p.cursor, func(o Override, subject string) int {
		return cmp.Compare(o.Subject, subject)
	})
	if first < len(rest) && rest[first].Subject == p.cursor {
		first++
	}
	return append(append(overrides, rest[first:]...), rest[:first]...)
}

// recentHeartbeats returns the heartbeats heard of recently, the latest first.
func (g *Gossiper) recentHeartbeats(now time.Duration) (all []relayHeartbeat) {
	for i := range g.peers {
		if p := &g.peers[i]; i != g.settings.Self && p.heartbeatAt >= 0 && now-p.heartbeatAt < UnreachableAfter {
			all = append(all, relayHeartbeat{i, p.heartbeat})
		}
	}
	slices.SortStableFunc(all, func(a, b relayHeartbeat) int {
		return cmp.Compare(g.peers[b.relay].heartbeatAt, g.peers[a.relay].heartbeatAt)
	})
	return all
}
