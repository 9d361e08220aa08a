package controlnode

import (
	"time"

	"larchrouter/internal/tier/discovery"
)

// Hosts is the newest list of hosts, nil for none.
func (n *Node) Hosts() *discovery.List { return n.hosts.list }

// PublishHosts has a list of hosts spread; it is soft state.
func (n *Node) PublishHosts(now time.Duration, l *discovery.List) Ready {
	return n.step(now, func() {
		if !l.Newer(n.hosts.list) {
			return
		}
		if n.hosts.list != nil { // whoever has another list says so with its next heartbeat
			n.sendToVoters(Message{Kind: msgHostList, Delta: []discovery.Delta{discovery.Diff(n.hosts.list, l)}})
		} else {
			n.sendToVoters(Message{Kind: msgHostList, Hosts: []discovery.List{*l}})
		}
		n.hosts.list = l
	})
}

func (n *Node) hostListTerm() int64 {
	if n.hosts.list == nil {
		return 0
	}
	return n.hosts.list.Term
}

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
