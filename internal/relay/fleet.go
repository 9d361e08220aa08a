package relay

import (
	"context"
	"log/slog"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/override"
)

// joinFleet receives messages of other relays until the context ends. If that fails, the relay goes on without them and
// grants its calls to itself.
func (r *Relay) joinFleet(ctx context.Context) {
	conn, err := gossip.Listen(ctx, r.config.PeerListen)
	if err == nil {
		if err = conn.SetPeers(r.config.Peers); err != nil {
			conn.Close()
		}
	}
	if err != nil {
		if ctx.Err() == nil {
			slog.Error("no notes from other relays", "err", err)
		}
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	inCluster := r.cluster != nil
	r.post(func() {
		r.peers = conn
		if inCluster {
			r.sendOverrides()
		}
	})
	conn.Receive(func(from int, note []byte) {
		if inCluster && len(note) > 0 && note[0] == override.Version {
			r.post(func() { r.receiveOverrides(from, note) })
			return
		}
		r.post(func() { r.events = append(r.events, choice.Heard{From: from, Note: note}) })
	})
}

// closePeers ends the exchange with other relays when a successor takes over. It runs on the loop.
func (r *Relay) closePeers() {
	if r.peers != nil {
		r.peers.Close()
		r.peers = nil
	}
}

// sendToPeer sends a message to another relay.
func (r *Relay) sendToPeer(t choice.Tell) {
	if r.peers != nil {
		r.peers.Send(t.To, t.Note)
	}
}
