package override

import (
	"slices"
	"time"
)

// peer is the state of another relay as this one knows it.
type peer struct {
	receivedAt         time.Duration // its last message; -1 before the first
	incarnation        uint32
	ownHeartbeat       uint64        // that it sent last itself in that incarnation
	heartbeat          uint64        // highest one heard of
	heartbeatAt        time.Duration // when it was; -1 before the first
	storeDigest        uint64        // of its last message
	bucketDigest       *Digest
	inSyncAt           time.Duration // last known to hold the same overrides; -1 if never
	listDigest         uint64
	totalWeight        int // of its list
	weight             int // its own, by its list
	versions           []ActiveVersion
	sentAt             time.Duration
	nextHeartbeat      time.Duration
	cursor             string   // last subject sent of those that differ
	unsent             []string // subjects that changed here and were not sent to it
	owesReply          bool     // it sent its bucket digest and is to be answered
	observationDigest  uint32
	observationsUnsent bool // there is an observation that it may lack
}

// receivedRecently reports whether a message of the relay itself arrived recently.
func (p *peer) receivedRecently(now time.Duration) bool {
	return p.receivedAt >= 0 && now-p.receivedAt < UnreachableAfter
}

// PeerView is a relay as this one knows it, for operators.
type PeerView struct {
	Name           string
	Self           bool          // this relay
	SinceMessage   time.Duration // of its own; -1 for never
	SinceHeartbeat time.Duration // by whatever way it came; -1 for never
	Reachable      bool          // a chain of links joins it to this relay
	InSync         bool          // it held the same overrides at its last message
	SinceInSync    time.Duration // as far as is known here; -1 for never
	ListDiffers    bool          // its list of relays, or its own weight in it, differs
}

// PeerViews returns all relays, in the order of the list.
func (g *Gossiper) PeerViews(now time.Duration) (all []PeerView) {
	ago := func(at time.Duration) time.Duration {
		if at < 0 {
			return -1
		}
		return now - at
	}
	for i, name := range g.settings.Names {
		p := &g.peers[i]
		if i == g.settings.Self {
			all = append(all, PeerView{Name: name, Self: true, Reachable: true, InSync: true})
			continue
		}
		all = append(all, PeerView{
			Name:           name,
			SinceMessage:   ago(p.receivedAt),
			SinceHeartbeat: ago(p.heartbeatAt),
			Reachable:      p.heartbeatAt >= 0 && now-p.heartbeatAt < UnreachableAfter,
			InSync:         p.receivedAt >= 0 && p.storeDigest == g.storeDigest,
			SinceInSync:    ago(p.inSyncAt),
			ListDiffers:    p.receivedAt >= 0 && g.listDiffers(i),
		})
	}
	return all
}

// listDiffers reports whether a peer's list of relays, or its own weight in it, differs.
func (g *Gossiper) listDiffers(relay int) bool {
	p := &g.peers[relay]
	return p.listDigest != g.listDigest || p.weight != g.weight(relay) && !slices.Contains(g.removed, relay)
}
