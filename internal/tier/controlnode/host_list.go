package controlnode

import (
	"time"

	"larchrouter/internal/tier/discovery"
)

// hostList is the newest list of hosts that this node knows. It is soft state: the head publishes it, and sends it to
// voters whose heartbeats show an older one. Invariant: only a list with a higher (term, number) replaces it.
type hostList struct {
	list *discovery.List // the newest; nil for none
}

// Hosts returns the newest list of hosts, nil for none.
func (n *Node) Hosts() *discovery.List { return n.hosts.list }

// PublishHosts sends a newer list of hosts to all voters, as a delta if there is a previous list.
func (n *Node) PublishHosts(now time.Duration, list *discovery.List) Ready {
	return n.step(now, func() {
		if !list.Newer(n.hosts.list) {
			return
		}
		if n.hosts.list != nil { // the next heartbeat of a voter with another list shows that, and the complete list is sent
			n.sendToVoters(Message{Kind: msgHostList, Delta: []discovery.Delta{discovery.Diff(n.hosts.list, list)}})
		} else {
			n.sendToVoters(Message{Kind: msgHostList, Hosts: []discovery.List{*list}})
		}
		n.hosts.list = list
	})
}

// hostListTerm returns the term of the newest list, 0 for none.
func (n *Node) hostListTerm() int64 {
	if n.hosts.list == nil {
		return 0
	}
	return n.hosts.list.Term
}

// handleHostList applies a list of hosts, or a delta, if the result is newer than the current list.
func (n *Node) handleHostList(m Message) {
	if len(m.Hosts) == 1 && m.Hosts[0].Newer(n.hosts.list) {
		n.hosts.list = &m.Hosts[0]
	}
	if len(m.Delta) == 1 {
		if l, ok := n.hosts.list.Apply(m.Delta[0]); ok && l.Newer(n.hosts.list) {
			n.hosts.list = l
		}
	}
}
