package lease

import (
	"fmt"
	"slices"
	"time"
)

// node is a machine with its core node. All state that is not on its disk is lost when it is killed.
type node struct {
	sim     *simulation
	machine int
	id      int // member id; a new one after its disk was lost
	disk    durableState

	rate        float64       // of its clock, relative to true time
	clockOffset time.Duration // of its clock at true time 0

	up          bool
	incarnation int
	frozenUntil time.Duration
	readClock   time.Duration // clock value read for the present event before a freeze; 0 for none

	lease           *Lease
	unanswered      map[*Call]bool // calls of this process that were sent, and were neither answered nor given up
	leaving         bool
	proposal        *proposal
	ballotSeen      int64
	promisedAt      time.Duration
	electionTimeout time.Duration // without progress, until it proposes another view
	headLastHeardAt time.Duration
	rounds          []time.Duration // send time of each round
	confirmed       map[int]int     // newest round that a voter has echoed in this epoch
	confirmedAt     time.Duration
	hasConfirmed    bool
	memoryToken     int64 // fault tokenFromMemory: the counter that replaces the epoch
	memoryEpoch     int64
}

func newNode(sim *simulation, machine int, extremeClock bool) *node {
	share := 2*sim.rng.Float64() - 1
	if extremeClock {
		share = float64(2*sim.rng.IntN(2) - 1)
	}
	if sim.classes&drift == 0 {
		share = 0
	}
	return &node{
		sim: sim, machine: machine, id: machine,
		rate:        1 + share*DefaultMaxDrift,
		clockOffset: sim.between(time.Second, time.Hour),
	}
}

// String returns the machine and the member id, for traces.
func (n *node) String() string {
	if n == nil {
		return "lost"
	}
	return fmt.Sprintf("m%d/%d", n.machine, n.id)
}

// clock returns the node's monotonic clock for the present event. It may have been read before a freeze.
func (n *node) clock() time.Duration {
	if n.readClock > 0 {
		return n.readClock
	}
	return n.clockNow()
}

// clockNow reads the node's monotonic clock, which keeps running while the node is frozen.
func (n *node) clockNow() time.Duration {
	return n.clockOffset + time.Duration(float64(n.sim.now)*n.rate)
}

// start starts the process with the state on its disk.
func (n *node) start() {
	now := n.clock()
	n.up, n.frozenUntil, n.leaving, n.proposal, n.ballotSeen = true, 0, false, nil, 0
	n.incarnation++
	n.promisedAt, n.headLastHeardAt = now, now
	n.electionTimeout = n.sim.randomElectionTimeout()
	n.rounds, n.confirmed, n.hasConfirmed = nil, map[int]int{}, false
	n.memoryToken, n.memoryEpoch = 0, 0
	n.unanswered = map[*Call]bool{}
	n.lease = New(n.sim.params.underFault(n.sim.planted), now)
	if n.sim.planted == noWaitAfterStart {
		n.lease.startedAt = -time.Hour
	}
	n.sim.logEvent("%s starts in epoch %d, clock rate %.3f", n, n.disk.view.epoch, n.rate)
	n.observe()
	n.every(n.sim.interval, n.tick)
	n.every(n.sim.interval+time.Millisecond, n.callPlatform)
}

// every runs do at an interval as long as this incarnation runs.
func (n *node) every(interval time.Duration, do func()) {
	n.sim.schedule(n.sim.between(0, interval), n, n.incarnation, func() { n.repeat(interval, do) })
}

func (n *node) repeat(interval time.Duration, do func()) {
	do()
	n.sim.schedule(interval, n, n.incarnation, func() { n.repeat(interval, do) })
}

func (n *node) kill() {
	n.up = false
	n.sim.logEvent("%s is killed", n)
}

func (n *node) freeze(d time.Duration) {
	n.frozenUntil = max(n.frozenUntil, n.sim.now+d)
	n.sim.logEvent("%s is frozen until %s", n, n.frozenUntil)
}

// leave begins a graceful shutdown: a head first hands over to another one.
func (n *node) leave() {
	n.leaving = true
	n.sim.logEvent("%s leaves", n)
	n.observe()
	n.proposeIfNeeded()
}

// tick is the periodic work of a node.
func (n *node) tick() {
	if n.disk.view.head == n.id {
		n.startRound()
	}
	n.proposeIfNeeded()
	n.observe()
}

func (n *node) send(to int, m message) { n.sendLater(0, to, m) }

func (n *node) sendLater(delay time.Duration, to int, m message) {
	m.epoch = n.disk.view.epoch
	n.sim.send(n, to, delay, m)
}

func (n *node) sendToVoters(m message) {
	for _, id := range n.disk.view.voters {
		if id != n.id {
			n.send(id, m)
		}
	}
}

// receive handles a message. To a sender in an earlier epoch the node sends the decided view; a sender in a later epoch gets an
// echo with the epoch of the node, which shows that the node is behind.
func (n *node) receive(m message) {
	switch {
	case m.kind == msgDecide:
		n.adopt(m.view)
	case m.kind == msgRelease:
		n.handleRelease(m.release)
	case m.epoch < n.disk.view.epoch && !(n.sim.planted == echoOtherEpoch && m.kind == msgRound):
		n.send(m.from, message{kind: msgDecide, view: n.disk.view})
	case m.epoch > n.disk.view.epoch && m.kind != msgRound:
		n.send(m.from, message{kind: msgEcho})
	}
	switch m.kind {
	case msgRound:
		n.handleRound(m)
	case msgEcho:
		n.handleEcho(m)
	case msgPrepare:
		n.handlePrepare(m)
	case msgPromise:
		n.handlePromise(m)
	case msgAccept:
		n.handleAccept(m)
	case msgAccepted:
		n.handleAccepted(m)
	}
	n.observe()
}

// startRound starts a confirmation round.
func (n *node) startRound() {
	n.rounds = append(n.rounds, n.clock())
	n.sendToVoters(message{kind: msgRound, round: len(n.rounds), incarnation: n.incarnation})
}

// handleRound echoes a round if it is of the same epoch and no promise was made. Otherwise the response carries the epoch only.
func (n *node) handleRound(m message) {
	if m.epoch == n.disk.view.epoch && m.from == n.disk.view.head {
		n.headLastHeardAt = n.clock()
	}
	promised := n.disk.promised > 0 && n.sim.planted != echoAfterPromise
	sameEpoch := m.epoch == n.disk.view.epoch || n.sim.planted == echoOtherEpoch
	echo := message{kind: msgEcho}
	if sameEpoch && !promised {
		echo.round, echo.incarnation = m.round, m.incarnation
	}
	n.send(m.from, echo)
}

// handleEcho counts an echo. A round that was sent in an earlier epoch may be confirmed in this one, as in controlnode.
func (n *node) handleEcho(m message) {
	sameEpoch := m.epoch == n.disk.view.epoch || n.sim.planted == echoOtherEpoch
	if !sameEpoch || m.incarnation != n.incarnation || m.round <= n.confirmed[m.from] {
		return
	}
	n.confirmed[m.from] = m.round
	round := n.majorityRound()
	if round == 0 {
		return
	}
	at := n.rounds[round-1]
	if n.sim.planted == termFromReply {
		at = n.clock()
	}
	n.confirmedAt, n.hasConfirmed = max(n.confirmedAt, at), true
}

// majorityRound returns the newest round that a majority has confirmed in this epoch, 0 for none.
func (n *node) majorityRound() int {
	var confirmed []int
	for _, id := range n.disk.view.voters {
		if id == n.id {
			confirmed = append(confirmed, len(n.rounds))
		} else {
			confirmed = append(confirmed, n.confirmed[id])
		}
	}
	slices.Sort(confirmed)
	return confirmed[len(confirmed)-n.disk.view.majority()]
}

// observe passes the node's present state to the lease, and sends the release that it returns.
func (n *node) observe() {
	now, v := n.clock(), &n.disk.view
	isHead := v.head == n.id
	promised := n.disk.promised > 0 && n.sim.planted != promiseIgnored
	o := Observation{
		Epoch: v.epoch, IsHead: isHead, Active: isHead && !promised && !n.leaving,
		ConfirmedAt: n.confirmedAt, HasConfirmed: n.hasConfirmed,
	}
	release, ok := n.observeUnderFault(now, o)
	if !ok {
		return
	}
	n.sim.stats.releases++
	n.sim.logEvent("%s releases %+v to %s", n, release, n.sim.member(v.head))
	n.sim.injectReleaseFaults(n)
	if n.sim.oneIn(10, slowReleases) {
		return
	}
	copies := 1
	if n.sim.oneIn(2, slowReleases) {
		copies = 2
	}
	for range copies {
		var delay time.Duration
		if n.sim.oneIn(3, slowReleases) {
			delay = n.sim.between(0, 10*time.Second)
		}
		n.sendLater(delay, v.head, message{kind: msgRelease, release: release})
	}
}

func (n *node) handleRelease(r Release) {
	held, now := n.holdsLease(), n.clock()
	if n.sim.planted == releaseOfAnyEpoch && n.lease.tenure != nil {
		r.Epoch = n.lease.tenure.firstEpoch - 1
	}
	n.lease.HandleRelease(now, r)
	if n.sim.planted == releaseBeforeAdoption {
		n.lease.earlyRelease = nil
	}
	if !held && n.lease.RemainingWait(now) == 0 && n.lease.tenure != nil {
		n.sim.stats.heldAfterRelease++
	}
}

// holdsLease reports whether the node has a grant now.
func (n *node) holdsLease() bool {
	if !n.up {
		return false
	}
	_, ok := n.lease.Grant(n.clockNow())
	return ok
}
