package relay

import (
	"context"
	"log/slog"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/override"
)

// joinFleet listens for the notes of other relays until the context ends. A relay that cannot goes on without them:
// then it grants its calls to itself.
func (r *Relay) joinFleet(ctx context.Context) {
	c, err := gossip.Listen(ctx, r.conf.PeerListen)
	if err == nil {
		if err = c.SetPeers(r.conf.Peers); err != nil {
			c.Close()
		}
	}
	if err != nil {
		if ctx.Err() == nil {
			slog.Error("no notes from other relays", "err", err)
		}
		return
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	words := r.company != nil
	r.post(func() {
		r.peers = c
		if words {
			r.talk()
		}
	})
	c.Receive(func(from int, note []byte) {
		if words && len(note) > 0 && note[0] == override.Version {
			r.post(func() { r.hearTalk(from, note) })
			return
		}
		r.post(func() { r.events = append(r.events, choice.Heard{From: from, Note: note}) })
	})
}

// leaveFleet hears no more notes: another process takes this one's place. It runs in the loop.
func (r *Relay) leaveFleet() {
	if r.peers != nil {
		r.peers.Close()
		r.peers = nil
	}
}

// tellPeer sends a note.
func (r *Relay) tellPeer(t choice.Tell) {
	if r.peers != nil {
		r.peers.Send(t.To, t.Note)
	}
}
