package override

import (
	"slices"
	"time"
)

// peer is another relay as this one knows it.
type peer struct {
	receivedAt         time.Duration // a note came from it; below 0 before the first
	incarnation        uint32
	ownHeartbeat       uint64        // its beat, as it said last in that life
	heartbeat          uint64        // the highest heard of
	heartbeatAt        time.Duration // when it was; below 0 before
	storeDigest        uint64        // of its book, as it said last
	bucketDigest       *Digest
	inSyncAt           time.Duration // last known to hold the same book; below 0 before
	listDigest         uint64
	totalWeight        int // of the weights in its list
	weight             int // of itself, by that
	versions           []ActiveVersion
	sentAt             time.Duration
	nextHeartbeat      time.Duration
	cursor             string // the last subject sent of those that differ
	unsent             []string
	owesReply          bool // it said what differs: it is answered
	observationDigest  uint32
	observationsUnsent bool // there is a sight that it may not have been told of
}

// receivedRecently tells whether a relay itself was heard of late.
func (p *peer) receivedRecently(now time.Duration) bool {
	return p.receivedAt >= 0 && now-p.receivedAt < UnreachableAfter
}

// PeerView is another relay as this one knows it, for people.
type PeerView struct {
	Name           string
	Self           bool
	SinceMessage   time.Duration // since a note of its own came; below 0 for never
	SinceHeartbeat time.Duration // since a beat of it came, by whatever way; below 0 for never
	Reachable      bool          // some chain of links joins it to this relay
	InSync         bool          // it held the same words when it was heard last
	SinceInSync    time.Duration // since it did last, as far as is known here; below 0 for never
	ListDiffers    bool          // its list of relays, or its own weight in it, is another
}

// PeerViews are all relays, in the order of the list.
func (t *Gossiper) PeerViews(now time.Duration) (all []PeerView) {
	ago := func(at time.Duration) time.Duration {
		if at < 0 {
			return -1
		}
		return now - at
	}
	for i, name := range t.settings.Names {
		p := &t.peers[i]
		if i == t.settings.Self {
			all = append(all, PeerView{Name: name, Self: true, Reachable: true, InSync: true})
			continue
		}
		all = append(all, PeerView{Name: name, SinceMessage: ago(p.receivedAt), SinceHeartbeat: ago(p.heartbeatAt), Reachable: p.heartbeatAt >= 0 && now-p.heartbeatAt < UnreachableAfter,
			InSync: p.receivedAt >= 0 && p.storeDigest == t.storeDigest, SinceInSync: ago(p.inSyncAt), ListDiffers: p.receivedAt >= 0 && (p.listDigest != t.listDigest || p.weight != t.weight(i) && !slices.Contains(t.removed, i))})
	}
	return all
}
