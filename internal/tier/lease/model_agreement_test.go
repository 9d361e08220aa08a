package lease

import "slices"

// modelView is a view of the model; voters and head are member ids.
type modelView struct {
	epoch  int64
	voters []int
	head   int
}

func (v *modelView) isVoter(id int) bool { return slices.Contains(v.voters, id) }

func (v *modelView) majority() int { return len(v.voters)/2 + 1 }

// durableState is what a node has on its disk: its view, and its votes on the next one. Every change is synced before a message is
// sent.
type durableState struct {
	view       modelView
	promised   int64 // ballot
	acceptedAt int64 // ballot of accepted
	accepted   modelView
}

// proposal is a node's proposal for the next view.
type proposal struct {
	ballot   int64
	promises map[int]message
	view     modelView // epoch 0 until one is chosen
	accepts  map[int]bool
}

type messageKind int

const (
	msgRound messageKind = iota
	msgEcho
	msgPrepare
	msgPromise
	msgAccept
	msgAccepted
	msgDecide
	msgRelease
)

// message is a message between nodes.
type message struct {
	kind        messageKind
	from, to    int
	epoch       int64 // of the sender's view
	incarnation int   // of the node that sent the round; set for rounds and echoes
	round       int
	ballot      int64
	acceptedAt  int64
	view        modelView
	release     Release
}

// propose sends prepare requests for the next view under a new ballot. The low four bits of a ballot are the number of the machine,
// which makes ballots unique.
func (n *node) propose() {
	if !n.disk.view.isVoter(n.id) {
		return
	}
	n.sim.injectProposalFaults(n)
	n.disk.promised = (max(n.disk.promised, n.ballotSeen)/16+1)*16 + int64(n.machine)
	n.promisedAt = n.clock()
	n.proposal = &proposal{ballot: n.disk.promised, promises: map[int]message{
		n.id: {acceptedAt: n.disk.acceptedAt, view: n.disk.accepted},
	}}
	n.sendToVoters(message{kind: msgPrepare, ballot: n.disk.promised})
}

func (n *node) handlePrepare(m message) {
	if m.epoch != n.disk.view.epoch || !n.disk.view.isVoter(n.id) || m.ballot < n.disk.promised {
		n.ballotSeen = max(n.ballotSeen, n.disk.promised)
		return
	}
	n.disk.promised, n.promisedAt = m.ballot, n.clock()
	if n.proposal != nil && n.proposal.ballot < m.ballot {
		n.proposal = nil
	}
	n.send(m.from, message{kind: msgPromise, ballot: m.ballot, acceptedAt: n.disk.acceptedAt, view: n.disk.accepted})
}

func (n *node) handlePromise(m message) {
	p := n.proposal
	if p == nil || p.ballot != m.ballot || m.epoch != n.disk.view.epoch || p.view.epoch > 0 {
		return
	}
	p.promises[m.from] = m
	if len(p.promises) < n.disk.view.majority() || n.disk.promised != p.ballot {
		return
	}
	p.view = n.chooseView(p)
	n.disk.acceptedAt, n.disk.accepted = p.ballot, p.view
	p.accepts = map[int]bool{n.id: true}
	n.sendToVoters(message{kind: msgAccept, ballot: p.ballot, view: p.view})
}

// chooseView returns the view that was accepted under the highest ballot, or else a new one.
func (n *node) chooseView(p *proposal) modelView {
	var highest message
	for _, m := range p.promises {
		if m.acceptedAt > highest.acceptedAt {
			highest = m
		}
	}
	if highest.acceptedAt > 0 {
		return highest.view
	}
	return n.randomView()
}

// randomView returns a random next view. At most one voter is replaced, preferably one whose disk was lost.
func (n *node) randomView() modelView {
	sim, current := n.sim, &n.disk.view
	next := modelView{epoch: current.epoch + 1, voters: slices.Clone(current.voters)}
	var spare, candidates []int
	for _, other := range sim.nodes {
		if other.up && !other.leaving && !current.isVoter(other.id) {
			spare = append(spare, other.id)
		}
	}
	replace := -1
	for i, id := range current.voters {
		if sim.member(id) == nil {
			replace = i
		}
	}
	if replace < 0 && sim.oneIn(4, replacements) {
		replace = sim.rng.IntN(len(current.voters))
	}
	if replace >= 0 && len(spare) > 0 {
		next.voters[replace] = spare[sim.rng.IntN(len(spare))]
	}
	for _, id := range next.voters {
		if other := sim.member(id); other != nil && other.up && !other.leaving {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		candidates = next.voters
	}
	next.head = candidates[sim.rng.IntN(len(candidates))]
	if slices.Contains(candidates, n.id) && sim.rng.IntN(2) == 0 {
		next.head = n.id
	}
	return next
}

func (n *node) handleAccept(m message) {
	if m.epoch != n.disk.view.epoch || !n.disk.view.isVoter(n.id) || m.ballot < n.disk.promised {
		return
	}
	n.disk.promised, n.disk.acceptedAt, n.disk.accepted, n.promisedAt = m.ballot, m.ballot, m.view, n.clock()
	n.send(m.from, message{kind: msgAccepted, ballot: m.ballot})
}

func (n *node) handleAccepted(m message) {
	p := n.proposal
	if p == nil || p.ballot != m.ballot || m.epoch != n.disk.view.epoch || p.view.epoch == 0 {
		return
	}
	p.accepts[m.from] = true
	if len(p.accepts) < n.disk.view.majority() {
		return
	}
	before, v := n.disk.view, p.view
	n.sim.decide(v)
	n.sim.injectDecisionFaults(n, n.sim.member(before.head))
	n.adopt(v)
	notify := slices.Clone(before.voters)
	for _, id := range v.voters {
		if !before.isVoter(id) {
			notify = append(notify, id)
		}
	}
	for _, id := range notify {
		if id != n.id {
			n.send(id, message{kind: msgDecide, view: v})
		}
	}
}

// decide records a decided view.
func (sim *simulation) decide(v modelView) {
	known, ok := sim.decided[v.epoch]
	if ok && (known.head != v.head || !slices.Equal(known.voters, v.voters)) {
		sim.fail("agreement: two views decided in epoch %d", v.epoch)
	}
	if !ok {
		sim.decided[v.epoch] = v
		sim.stats.views++
		sim.logEvent("epoch %d decided, head %s, voters %v", v.epoch, sim.member(v.head), v.voters)
	}
}

// adopt makes a decided view the node's view.
func (n *node) adopt(v modelView) {
	if v.epoch <= n.disk.view.epoch {
		return
	}
	n.disk = durableState{view: v}
	n.proposal, n.confirmed, n.hasConfirmed, n.headLastHeardAt = nil, map[int]int{}, false, n.clock()
	n.sim.logEvent("%s adopts epoch %d", n, v.epoch)
	n.observe()
	if v.head == n.id {
		n.startRound()
	}
}

// proposeIfNeeded proposes a view if the head does not respond, if this node is a leaving head, or if no view has been decided
// within the election timeout after this node's last promise.
func (n *node) proposeIfNeeded() {
	now := n.clock()
	isHead := n.disk.view.head == n.id
	stuck := n.disk.promised > 0 && !(isHead && n.sim.planted == promiseIgnored) && now-n.promisedAt > n.electionTimeout
	headSilent := !isHead && now-n.headLastHeardAt > n.electionTimeout
	leavingHead := isHead && n.leaving && n.disk.promised == 0
	if stuck || headSilent || leavingHead {
		n.electionTimeout = n.sim.randomElectionTimeout()
		n.headLastHeardAt = now
		n.propose()
	}
}
