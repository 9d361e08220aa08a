package override

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// How relays talk: each tells each other every HeartbeatInterval that it is there, with a count that goes up and those that it has
// heard of others, so that one is known to be there whom any chain of links reaches. With it goes a digest of the book.
// Relays whose digests are the same have nothing more to say. Where they differ, each sends the other words from the parts
// that differ, every resendInterval, until they agree; a new word goes to all at once.
//
// So over a link that loses a share p of the notes and takes d, a word is taken over within d + resendInterval*(n-1) but for one time
// in 1/p^n, and over a chain of k links within k times that. A relay that no chain joins is known to be cut off UnreachableAfter
// after its last beat that came through. A link that works one way only carries words that way: newest first, with the beats.
const (
	HeartbeatInterval = 200 * time.Millisecond
	UnreachableAfter  = 600 * time.Millisecond // three beats
	// StatedConvergence is within what a word is heeded by all that a chain of working links joins to its origin, and StatedLossy where
	// links lose three notes in ten (docs/design/008-words.md).
	StatedConvergence      = time.Second
	StatedLossyConvergence = 3 * time.Second
	resendInterval         = 100 * time.Millisecond
	replyInterval          = 20 * time.Millisecond // a relay is sent no more often than that, whatever it says
	// weightTTL is how long after it was heard last a relay's word counts on how many relays there are.
	weightTTL         = 5 * time.Second
	maxHeartbeat      = 1 << 56 // a higher one is made up: no relay lives so long
	maxBlindOverrides = 2       // words that go with a beat to one that is not heard
	never             = time.Duration(math.MaxInt64)
)

// Settings of one relay's part.
type Settings struct {
	Names       []string // of all relays of the fleet, this one's among them, in the order that all have
	Self        int      // this one's place in it
	Incarnation uint32   // drawn at each start: notes of one life that come late are told from those of the next
	// Weights are the parts that relays have of each limit; nil where all have one.
	Weights []int
}

// Gossiper is one relay's part in spreading words. It is not safe for concurrent use.
type Gossiper struct {
	settings    Settings
	listDigest  uint64
	store       *Store
	heartbeat   uint64
	peers       []peer
	recent      []string // subjects, the last one taken in first; at most so many as can matter
	removed     []int    // gone for good
	versions    []ActiveVersion
	storeDigest uint64 // digest of the book

	observations       observationSet
	observationCounter uint64 // of this relay's sights
}

// Message is to be sent to a relay.
type Message struct {
	To   int
	Data []byte
}

// New returns a relay's part, with the words that it recorded before.
func New(s Settings, now time.Duration, kept []Override) (*Gossiper, error) {
	if s.Weights != nil && len(s.Weights) != len(s.Names) {
		return nil, fmt.Errorf("verdict: %d weights of %d relays", len(s.Weights), len(s.Names))
	}
	if s.Self < 0 || s.Self >= len(s.Names) {
		return nil, fmt.Errorf("verdict: this relay has number %d of %d; numbers begin at 0", s.Self, len(s.Names))
	}
	t := &Gossiper{settings: s, listDigest: listDigest(s.Names), store: NewStore(), heartbeat: 1, observations: newObservationSet()}
	for i := range s.Names {
		// Beats are spread, so that the notes of a fleet that starts together do not come together.
		t.peers = append(t.peers, peer{receivedAt: -1, heartbeatAt: -1, inSyncAt: -1, sentAt: now - HeartbeatInterval,
			nextHeartbeat: now + HeartbeatInterval*time.Duration((i+s.Self)%len(s.Names))/time.Duration(len(s.Names))})
	}
	for _, w := range kept {
		t.store.Merge(w)
	}
	t.storeDigest = t.store.digest.combined()
	return t, nil
}

// Store is what this relay holds. It changes by Take alone.
func (t *Gossiper) Store() *Store { return t.store }

// Receive takes in a note. The words returned are news: they count once they are handed to Take.
func (t *Gossiper) Receive(now time.Duration, from int, data []byte) (news []Override) {
	if from < 0 || from >= len(t.peers) || from == t.settings.Self {
		return nil
	}
	n, err := decode(data)
	if err != nil {
		return nil
	}
	for _, w := range n.overrides { // they may be old; that is told by their counts
		if t.store.Changes(w) {
			news = append(news, w)
		}
	}
	p := &t.peers[from]
	if n.heartbeat > maxHeartbeat || n.incarnation == p.incarnation && n.heartbeat < p.ownHeartbeat {
		return news // what else it says was so before what was heard since
	}
	p.incarnation, p.ownHeartbeat = n.incarnation, n.heartbeat
	p.receivedAt, p.storeDigest, p.bucketDigest, p.listDigest, p.totalWeight, p.weight = now, n.storeDigest, n.bucketDigest, n.listDigest, n.totalWeight, n.weight
	p.observationDigest = n.observationDigest
	if len(n.versions) > 0 {
		p.versions = n.versions
	}
	p.heartbeat, p.heartbeatAt = n.heartbeat, now // its own word on itself, also where it began anew
	if n.listDigest == t.listDigest {
		for _, h := range n.heartbeats {
			t.receiveHeartbeat(now, h)
		}
		for _, s := range n.observations { // their origins are told by number
			t.receiveObservation(now, s)
		}
	}
	if p.storeDigest == t.storeDigest {
		p.inSyncAt, p.unsent = now, nil
	} else {
		p.owesReply = p.owesReply || n.wantsReply
	}
	return news
}

// receiveHeartbeat takes in what another relay heard of one.
func (t *Gossiper) receiveHeartbeat(now time.Duration, h relayHeartbeat) {
	switch {
	case h.relay >= len(t.peers) || h.heartbeat > maxHeartbeat:
	case h.relay == t.settings.Self:
		t.heartbeat = max(t.heartbeat, h.heartbeat) // from before this one began anew: what it says must be newer
	case h.heartbeat > t.peers[h.relay].heartbeat:
		p := &t.peers[h.relay]
		p.heartbeat, p.heartbeatAt = h.heartbeat, now
	}
}

// Apply takes words in that are durable and carried out here.
func (t *Gossiper) Apply(now time.Duration, words ...Override) {
	for _, w := range words {
		if !t.store.Merge(w) {
			continue
		}
		t.recent = slices.DeleteFunc(t.recent, func(s string) bool { return s == w.Subject })
		t.recent = slices.Insert(t.recent, 0, w.Subject)
		t.recent = t.recent[:min(len(t.recent), maxBlindOverrides)]
		for i := range t.peers {
			if p := &t.peers[i]; !slices.Contains(p.unsent, w.Subject) {
				p.unsent = append(p.unsent, w.Subject)
			}
		}
	}
	if t.storeDigest = t.store.digest.combined(); len(words) > 0 {
		for i := range t.peers {
			if p := &t.peers[i]; p.storeDigest == t.storeDigest && p.receivedAt >= 0 {
				p.inSyncAt, p.unsent = now, nil
			}
		}
	}
}

// SetActiveVersions says what this relay acts on, eight things at most; others are told with the next beat.
func (t *Gossiper) SetActiveVersions(on []ActiveVersion) { t.versions = on[:min(len(on), 8)] }

// ActiveVersions is what a relay said of itself last that it acts on.
func (t *Gossiper) ActiveVersions(relay int) []ActiveVersion {
	if relay == t.settings.Self {
		return t.versions
	}
	return t.peers[relay].versions
}

// due is when a relay is to be sent a note.
func (t *Gossiper) due(now time.Duration, p *peer) time.Duration {
	at := p.nextHeartbeat
	if p.receivedRecently(now) && p.storeDigest != t.storeDigest || len(p.unsent) > 0 && p.receivedAt >= 0 {
		wait := resendInterval
		if p.owesReply {
			wait = replyInterval
		}
		if len(p.unsent) > 0 && p.cursor != p.unsent[0] { // not sent yet
			wait = 0
		}
		at = min(at, p.sentAt+wait)
	}
	if p.receivedRecently(now) && p.listDigest == t.listDigest && p.observationDigest != t.observations.digest {
		wait := resendInterval
		if p.observationsUnsent {
			wait = replyInterval
		}
		at = min(at, p.sentAt+wait)
	}
	return at
}

// Due returns the notes that are to go now, and when to ask again.
func (t *Gossiper) Due(now time.Duration) (notes []Message, at time.Duration) {
	at = never
	beaten := false
	t.renewObservations(now)
	for i := range t.peers {
		if i == t.settings.Self {
			continue
		}
		p := &t.peers[i]
		if t.due(now, p) <= now {
			if p.nextHeartbeat <= now {
				if p.nextHeartbeat = max(p.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2); !beaten {
					t.heartbeat, beaten = t.heartbeat+1, true
				}
			}
			notes = append(notes, Message{i, t.messageTo(now, i)})
		}
		at = min(at, max(t.due(now, p), now+time.Millisecond))
	}
	return notes, at
}

// messageTo is what a relay is told now.
func (t *Gossiper) messageTo(now time.Duration, to int) []byte {
	p := &t.peers[to]
	n := message{incarnation: t.settings.Incarnation, heartbeat: t.heartbeat, listDigest: t.listDigest, totalWeight: t.listedWeight(), weight: t.weight(t.settings.Self), versions: t.versions, storeDigest: t.storeDigest, observationDigest: t.observations.digest, heartbeats: t.recentHeartbeats(now)}
	if !p.receivedRecently(now) || p.observationDigest != t.observations.digest {
		n.observations = t.observationsFor(now, to)
	}
	switch {
	case !p.receivedRecently(now): // it may hear this one all the same
		for _, s := range t.recent {
			n.overrides = append(n.overrides, t.store.overrides[s])
		}
	case p.storeDigest != t.storeDigest:
		n.wantsReply, n.bucketDigest = !p.owesReply || len(p.unsent) > 0, &t.store.digest
		n.overrides = t.overridesFor(p)
	}
	data, words, sights := n.encode()
	if sights > 0 {
		t.observations.lastSent[to] = observationKey{n.observations[sights-1].Origin, n.observations[sights-1].Subject}
	}
	p.observationsUnsent = p.observationsUnsent && len(n.observations) > 0 && sights < len(n.observations)
	if words > 0 && p.receivedRecently(now) {
		p.cursor = n.overrides[words-1].Subject
	}
	p.sentAt, p.owesReply = now, false
	p.unsent = slices.DeleteFunc(p.unsent, func(s string) bool { // they go again by the digest
		return slices.ContainsFunc(n.overrides[:words], func(w Override) bool { return w.Subject == s })
	})
	return data
}

// overridesFor are words that a relay may lack: those taken in since it agreed first, then those of the parts that differ, from
// where the last note to it ended.
func (t *Gossiper) overridesFor(p *peer) (words []Override) {
	for _, s := range p.unsent {
		words = append(words, t.store.overrides[s])
	}
	var rest []Override
	for _, w := range t.store.All() {
		if p.bucketDigest != nil && p.bucketDigest[bucketOf(w.Subject)] == t.store.digest[bucketOf(w.Subject)] || slices.Contains(p.unsent, w.Subject) {
			continue
		}
		rest = append(rest, w)
	}
	first, _ := slices.BinarySearchFunc(rest, p.cursor, func(w Override, s string) int { return cmp.Compare(w.Subject, s) })
	if first < len(rest) && rest[first].Subject == p.cursor {
		first++
	}
	return append(append(words, rest[first:]...), rest[:first]...)
}

// recentHeartbeats are those heard of late, the latest first.
func (t *Gossiper) recentHeartbeats(now time.Duration) (all []relayHeartbeat) {
	for i := range t.peers {
		if p := &t.peers[i]; i != t.settings.Self && p.heartbeatAt >= 0 && now-p.heartbeatAt < UnreachableAfter {
			all = append(all, relayHeartbeat{i, p.heartbeat})
		}
	}
	slices.SortStableFunc(all, func(a, b relayHeartbeat) int {
		return cmp.Compare(t.peers[b.relay].heartbeatAt, t.peers[a.relay].heartbeatAt)
	})
	return all
}
