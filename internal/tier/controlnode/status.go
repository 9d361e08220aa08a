package controlnode

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// Status is the state of the control plane as one control node knows it, for operators. The operator API serves it as
// JSON with the keys of the tags; between nodes it is encoded by the order of its fields.
type Status struct {
	Node                string              `json:"node"`
	Epoch               int64               `json:"epoch"`
	Head                string              `json:"head"`
	Tail                string              `json:"tail"`
	Chain               []string            `json:"chain"`
	Voters              []Voter             `json:"voters"`
	Promised            bool                `json:"sealed"` // the node has sent a promise for the next epoch
	Fresh               bool                `json:"fresh"`
	LastIndex           int64               `json:"place"` // index of the last entry on this node's disk
	Commit              int64               `json:"commit"`
	ConfigVersion       int64               `json:"config_version"`
	Hosts               int                 `json:"hosts"`
	PlacementGeneration int64               `json:"placement_gen"`
	PlacementJoint      bool                `json:"placement_joint"`
	Stores              []turnstore.Store   `json:"stores"`
	FullStores          []string            `json:"full_stores"`    // known to the head only
	UnresponsiveStores  []UnresponsiveStore `json:"silent_stores"`  // of the placement, as observed by the head, longest first
	StoresRequired      int                 `json:"lacking_stores"` // how many have to return for a placement change to complete
	Followers           []FollowerStatus    `json:"followers"`
	Role                string              `json:"role"`
	Transfers           []Transfer          `json:"transfers"` // sent by this node
}

// UnresponsiveStore is a store of the placement that has not registered for so long that another may replace it.
type UnresponsiveStore struct {
	ID                  string `json:"id"`
	Name                string `json:"name"`
	Addr                string `json:"addr"`
	SinceRegistrationMs int64  `json:"silent_ms"` // a lower bound, since the head may have changed meanwhile
}

// Transfer is the progress of a chain member or learner to which this node sends missing entries.
type Transfer struct {
	To        string `json:"to"`
	LastIndex int64  `json:"place"`  // the member has all entries up to this index
	Target    int64  `json:"target"` // index that the member has to reach
	Bytes     int64  `json:"bytes"`  // received of the next entry
}

// Roles of a control node in the status.
const (
	RoleMember     = "member"      // in the chain, with all committed entries
	RoleLearner    = "learner"     // votes and has all committed entries, outside a chain that needs no further member
	RoleCatchingUp = "catching up" // votes, and its replica is not complete yet
	RoleApplicant  = "applicant"   // has no vote yet
)

// Voter is a control node as another sees it.
type Voter struct {
	ID                 string `json:"id"`
	Name               string `json:"name"`
	Addr               string `json:"addr"`
	SinceLastMessageMs int64  `json:"silent_ms"`
}

// FollowerStatus is a follower of a node's feed.
type FollowerStatus struct {
	Name            string `json:"name"`
	Class           string `json:"class"`
	ActiveVersion   int64  `json:"config_version"`
	AppliedIndex    int64  `json:"place"`
	SinceLastPollMs int64  `json:"silent_ms"`
}

// role returns this node's role. It runs on the event loop.
func (s *Server) role() string {
	switch {
	case s.node.Chain().CommitIsCurrent():
		return RoleMember
	case s.node.isVotingLearner() && s.node.Fresh():
		return RoleLearner
	case s.node.acceptor.View.IsVoter(s.self.ID):
		return RoleCatchingUp
	}
	return RoleApplicant
}

// statusQuery reads the status without the followers.
type statusQuery struct{ status Status }

func (q *statusQuery) handle(s *Server) {
	s.addViewStatus(&q.status)
	s.addChainStatus(&q.status)
	if h := s.node.Hosts(); h != nil {
		q.status.Hosts = len(h.Hosts)
	}
	if state, err := orders.ReadState(s.node.Chain().Committed(0), s.settings.FaultTolerance()); err == nil {
		q.status.ConfigVersion = state.Version()
		if p := state.Placement; p != nil {
			q.status.PlacementGeneration, q.status.PlacementJoint, q.status.Stores = p.Generation, len(p.New) > 0, p.Stores()
			s.addUnresponsiveStores(&q.status, p)
		}
	}
	q.status.FullStores = s.fullStoreNames()
}

// addViewStatus adds the view and its voters. It runs on the event loop.
func (s *Server) addViewStatus(status *Status) {
	v := s.node.View()
	status.Epoch, status.Chain = v.Epoch, s.chainNames()
	status.Promised, status.Fresh = s.node.acceptor.HasPromised(), s.node.Fresh()
	if len(status.Chain) > 0 {
		status.Head, status.Tail = status.Chain[0], status.Chain[len(status.Chain)-1]
	}
	for _, m := range v.Voters {
		voter := Voter{ID: m.ID, Name: m.Name, Addr: s.node.addr(m.ID)}
		if p := s.node.peers[m.ID]; p != nil && m.ID != s.self.ID {
			voter.Name, voter.SinceLastMessageMs = cmp.Or(p.member.Name, m.Name), (s.now() - p.lastHeard).Milliseconds()
		} else if m.ID == s.self.ID {
			voter.Name = s.self.Name
		}
		status.Voters = append(status.Voters, voter)
	}
}

// addChainStatus adds the state of this node's replica. It runs on the event loop.
func (s *Server) addChainStatus(status *Status) {
	status.Role = s.role()
	for _, t := range s.node.Chain().Transfers() {
		status.Transfers = append(status.Transfers, Transfer{
			To:        s.nodeName(t.ID),
			LastIndex: t.LastIndex,
			Target:    t.Target,
			Bytes:     t.PartialBytes,
		})
	}
	status.LastIndex, status.Commit = s.node.Chain().State().LastIndex, s.node.Chain().State().Commit
}

// addUnresponsiveStores adds the stores that do not register. It runs on the event loop.
func (s *Server) addUnresponsiveStores(status *Status, p *turnstore.Placement) {
	unresponsive := s.currentObservations().FailedStores(s.placementTimings())
	status.StoresRequired = placement.StoresRequired(p, unresponsive)
	for _, u := range unresponsive {
		i := slices.IndexFunc(status.Stores, func(o turnstore.Store) bool { return o.ID == u.ID })
		if i < 0 {
			continue
		}
		store := &status.Stores[i]
		status.UnresponsiveStores = append(status.UnresponsiveStores, UnresponsiveStore{
			ID:                  u.ID,
			Name:                store.Name,
			Addr:                store.Addr,
			SinceRegistrationMs: u.Elapsed.Milliseconds(),
		})
	}
}

// status returns the status of this node, including the followers that poll it.
func (s *Server) status() *Status {
	query := &statusQuery{status: Status{Node: s.self.Name}}
	s.runOnLoop(query)
	status := &query.status
	s.followers.Range(func(_, v any) bool {
		f := v.(*Follower)
		status.Followers = append(status.Followers, FollowerStatus{
			Name:            f.Name,
			Class:           f.Class,
			ActiveVersion:   f.ActiveVersion,
			AppliedIndex:    f.AppliedIndex,
			SinceLastPollMs: time.Since(f.LastSeen).Milliseconds(),
		})
		return true
	})
	return status
}

// peerStatusTimeout bounds the requests to other nodes for their followers.
const peerStatusTimeout = 300 * time.Millisecond

// mergeFollowersOfPeers merges the followers of the other control nodes into a status. Each follower polls one node at
// a time, so that the most recent poll is the valid one.
func (s *Server) mergeFollowersOfPeers(ctx context.Context, status *Status) {
	ctx, cancel := context.WithTimeout(ctx, peerStatusTimeout)
	defer cancel()
	responses := make(chan []FollowerStatus, len(status.Voters))
	requests := 0
	for _, v := range status.Voters {
		if v.ID == s.self.ID || v.Addr == "" {
			continue
		}
		requests++
		go func() {
			var other Status
			if s.clients.To(v.Addr).Call(ctx, feed.StatusCall, &feed.Empty{}, &other) != nil {
				other.Followers = nil
			}
			responses <- other.Followers
		}()
	}
	latest := map[string]FollowerStatus{}
	merge := func(followers []FollowerStatus) {
		for _, f := range followers {
			if old, known := latest[f.Name]; !known || f.SinceLastPollMs < old.SinceLastPollMs {
				latest[f.Name] = f
			}
		}
	}
	merge(status.Followers)
	for range requests {
		merge(<-responses)
	}
	status.Followers = slices.SortedFunc(maps.Values(latest), func(a, b FollowerStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// getStatus serves GET /api/status.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	status := s.status()
	s.mergeFollowersOfPeers(r.Context(), status)
	body, err := json.Marshal(status)
	if err != nil {
		writeReply(w, &feed.OperatorResponse{Status: http.StatusInternalServerError, Text: err.Error()})
		return
	}
	writeReply(w, &feed.OperatorResponse{Status: http.StatusOK, Body: body})
}
