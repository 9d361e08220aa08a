package controlnode

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/tier/view"
)

// ElectionStatus is what a control node knows of the change of its view, and how long its disk and its event loop take: it tells apart
// proposals that overtake each other, messages that do not arrive, slow syncs and a process that stands still.
type ElectionStatus struct {
	Node            string          `json:"node"`
	Epoch           int64           `json:"epoch"`    // of the view
	Promised        BallotStatus    `json:"promised"` // for the next epoch; a number of 0 for none
	Accepted        BallotStatus    `json:"accepted"`
	BallotNumber    int64           `json:"ballot_number"` // the highest that the node has used or seen
	Proposal        *ProposalStatus `json:"proposal"`      // of this node, in progress
	FailedProposals int             `json:"failed_proposals"`
	NextProposalMs  int64           `json:"next_proposal_ms"` // until this node may propose
	ChangeWantedMs  int64           `json:"change_wanted_ms"` // since this node wants another view; 0 while it does not
	TimeoutMs       int64           `json:"proposal_timeout_ms"`
	LoopBlocked     bool            `json:"loop_blocked"` // the event loop did not answer; what it knows is missing
	Syncs           DurationStatus  `json:"syncs"`        // of the durable state
	Ticks           DurationStatus  `json:"ticks"`        // times between two ticks of the event loop
}

// BallotStatus is a ballot.
type BallotStatus struct {
	Number   int64  `json:"number"`
	Proposer string `json:"proposer"`
}

// ProposalStatus is a proposal of this node.
type ProposalStatus struct {
	Ballot   BallotStatus `json:"ballot"`
	Epoch    int64        `json:"epoch"`
	AgeMs    int64        `json:"age_ms"`
	Promises int          `json:"promises"`
	Chosen   bool         `json:"chosen"` // the view that it proposes
	Accepts  int          `json:"accepts"`
}

// DurationStatus describes durations of one kind.
type DurationStatus struct {
	Count     int64 `json:"count"`
	LastMs    int64 `json:"last_ms"`
	LongestMs int64 `json:"longest_ms"`    // within recentTime, about
	CurrentMs int64 `json:"unfinished_ms"` // of the one that has begun; 0 for none
}

// electionStatusTimeout bounds the wait for the event loop.
const electionStatusTimeout = 300 * time.Millisecond

// recentTime is the time for which a longest duration counts, at least.
const recentTime = time.Minute

// durations has durations of one kind. It is safe for concurrent use.
type durations struct {
	mu       sync.Mutex
	status   DurationStatus
	beganAt  time.Time // of the one that has not ended; zero for none
	previous int64     // longest one of the recentTime before, in milliseconds
	since    time.Time // since which LongestMs counts
}

// begin begins a duration.
func (d *durations) begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beganAt = now
}

// end ends the duration that has begun.
func (d *durations) end(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.beganAt.IsZero() {
		return
	}
	if now.Sub(d.since) > recentTime {
		d.previous, d.status.LongestMs, d.since = d.status.LongestMs, 0, now
	}
	d.status.Count++
	d.status.LastMs = now.Sub(d.beganAt).Milliseconds()
	d.status.LongestMs = max(d.status.LongestMs, d.status.LastMs)
	d.beganAt = time.Time{}
}

// report returns the durations so far.
func (d *durations) report(now time.Time) DurationStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.status
	status.LongestMs = max(status.LongestMs, d.previous)
	if !d.beganAt.IsZero() {
		status.CurrentMs = now.Sub(d.beganAt).Milliseconds()
	}
	return status
}

// electionQuery reads the state of the election.
type electionQuery struct{ status ElectionStatus }

func (q *electionQuery) handle(s *Server) {
	node, status := s.node, &q.status
	acceptor, election := &node.acceptor, &node.election
	status.Epoch = acceptor.View.Epoch
	status.Promised, status.Accepted = ballotStatus(acceptor.Promised), ballotStatus(acceptor.AcceptedBallot)
	status.BallotNumber, status.FailedProposals = election.ballotNumber, election.failedProposals
	status.NextProposalMs = max(0, election.nextProposalAt-node.now).Milliseconds()
	status.TimeoutMs = node.proposalTimeout().Milliseconds()
	if since := election.changeWantedSince; since > 0 {
		status.ChangeWantedMs = (node.now - since).Milliseconds()
	}
	if p := election.proposal; p != nil {
		status.Proposal = &ProposalStatus{Ballot: ballotStatus(p.ballot), Epoch: p.epoch, AgeMs: (node.now - p.startedAt).Milliseconds(),
			Promises: len(p.promises), Chosen: p.view.Epoch > 0, Accepts: len(p.accepts)}
	}
}

func ballotStatus(b view.Ballot) BallotStatus { return BallotStatus{b.Number, b.Proposer} }

// electionStatus returns the state of the election, without what the event loop knows if that does not answer in time.
func (s *Server) electionStatus() ElectionStatus {
	answered := make(chan ElectionStatus, 1)
	go func() {
		query := &electionQuery{}
		s.runOnLoop(query)
		answered <- query.status
	}()
	var status ElectionStatus
	select {
	case status = <-answered:
	case <-time.After(electionStatusTimeout):
		status.LoopBlocked = true
	}
	now := time.Now()
	status.Node, status.Syncs, status.Ticks = s.self.Name, s.syncTimes.report(now), s.tickTimes.report(now)
	return status
}

// getElection serves the ElectionStatus as JSON.
func (s *Server) getElection(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.electionStatus())
}
