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

// Status is what one control node knows, for operators. It is JSON of the operator API, whose keys are in the
// tags, and is also sent between nodes by the order of its fields.
type Status struct {
	Node      string            `json:"node"`
	Epoch     int64             `json:"epoch"`
	Head      string            `json:"head"`
	Tail      string            `json:"tail"`
	Chain     []string          `json:"chain"`
	Voters    []Voter           `json:"voters"`
	Sealed    bool              `json:"sealed"` // the node has promised to the next epoch
	Fresh     bool              `json:"fresh"`
	Place     int64             `json:"place"` // index of the last entry on this node's disk
	Commit    int64             `json:"commit"`
	Version   int64             `json:"config_version"`
	Hosts     int               `json:"hosts"`
	Gen       int64             `json:"placement_gen"` // generation
	Joint     bool              `json:"placement_joint"`
	Stores    []turnstore.Store `json:"stores"`
	Full      []string          `json:"full_stores"`    // as far as the head knows
	Silent    []SilentStore     `json:"silent_stores"`  // of the placement, by the head's observations; the longest first
	Lacking   int               `json:"lacking_stores"` // how many of them have to come back for a change to end
	Followers []FollowerStatus  `json:"followers"`
	Role      string            `json:"role"`
	Transfers []Transfer        `json:"transfers"` // that this node sends
}

// SilentStore is a store of the placement that has not registered for so long that another may replace it.
type SilentStore struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	SilentMs int64  `json:"silent_ms"` // since its last registration, at least: the head may have changed meanwhile
}

// Transfer is the progress of a member that this node brings up to date.
type Transfer struct {
	To     string `json:"to"`
	Place  int64  `json:"place"` // index up to which it has all
	Target int64  `json:"target"`
	Bytes  int64  `json:"bytes"` // of the entry after it
}

// Roles of a control node in the status.
const (
	RoleMember     = "member"      // it is in the chain, and has a replica of all that is committed
	RoleLearner    = "learner"     // it votes and has all that is committed, outside a chain that needs no further member
	RoleCatchingUp = "catching up" // it votes, and its replica is not complete yet
	RoleApplicant  = "applicant"   // it has no vote yet
)

// Voter is a control node as another sees it; SilentMs is the time since its last message.
type Voter struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	SilentMs int64  `json:"silent_ms"`
}

// FollowerStatus is a follower of a node's feed; Place is its applied index, SilentMs the time since its last
// poll.
type FollowerStatus struct {
	Name     string `json:"name"`
	Class    string `json:"class"`
	Version  int64  `json:"config_version"`
	Place    int64  `json:"place"`
	SilentMs int64  `json:"silent_ms"`
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

// statusQuery reads the status, but for the followers.
type statusQuery struct{ status Status }

func (q *statusQuery) handle(s *Server) {
	s.addViewStatus(&q.status)
	s.addChainStatus(&q.status)
	if h := s.node.Hosts(); h != nil {
		q.status.Hosts = len(h.Hosts)
	}
	if state, err := orders.ReadState(s.node.Chain().Committed(0), s.settings.FaultTolerance()); err == nil {
		q.status.Version = state.Version()
		if p := state.Placement; p != nil {
			q.status.Gen, q.status.Joint, q.status.Stores = p.Generation, len(p.New) > 0, p.Stores()
			s.addUnresponsiveStores(&q.status, p)
		}
	}
	q.status.Full = s.fullStores()
}

// addViewStatus adds the view and its voters. It runs on the event loop.
func (s *Server) addViewStatus(status *Status) {
	v := s.node.View()
	status.Epoch, status.Chain = v.Epoch, s.chainNames()
	status.Sealed, status.Fresh = s.node.acceptor.HasPromised(), s.node.Fresh()
	if len(status.Chain) > 0 {
		status.Head, status.Tail = status.Chain[0], status.Chain[len(status.Chain)-1]
	}
	for _, m := range v.Voters {
		voter := Voter{ID: m.ID, Name: m.Name, Addr: s.node.addr(m.ID)}
		if p := s.node.peers[m.ID]; p != nil && m.ID != s.self.ID {
			voter.Name, voter.SilentMs = cmp.Or(p.member.Name, m.Name), (s.now() - p.lastHeard).Milliseconds()
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
			To:     s.nodeName(t.ID),
			Place:  t.LastIndex,
			Target: t.Target,
			Bytes:  t.PartialBytes,
		})
	}
	status.Place, status.Commit = s.node.Chain().State().LastIndex, s.node.Chain().State().Commit
}

// addUnresponsiveStores adds the stores that do not register. It runs on the event loop.
func (s *Server) addUnresponsiveStores(status *Status, p *turnstore.Placement) {
	unresponsive := s.currentObservations().FailedStores(s.placementTimings())
	status.Lacking = placement.StoresRequired(p, unresponsive)
	for _, u := range unresponsive {
		i := slices.IndexFunc(status.Stores, func(o turnstore.Store) bool { return o.ID == u.ID })
		if i < 0 {
			continue
		}
		store := &status.Stores[i]
		status.Silent = append(status.Silent, SilentStore{
			ID:       u.ID,
			Name:     store.Name,
			Addr:     store.Addr,
			SilentMs: u.Elapsed.Milliseconds(),
		})
	}
}

// status returns the status of this node, with the followers that poll it.
func (s *Server) status() *Status {
	query := &statusQuery{status: Status{Node: s.self.Name}}
	s.runOnLoop(query)
	status := &query.status
	s.followers.Range(func(_, v any) bool {
		f := v.(*Follower)
		status.Followers = append(status.Followers, FollowerStatus{
			Name:     f.Name,
			Class:    f.Class,
			Version:  f.ActiveVersion,
			Place:    f.AppliedIndex,
			SilentMs: time.Since(f.LastSeen).Milliseconds(),
		})
		return true
	})
	return status
}

// gatherTimeout bounds the time in which other nodes are asked for their followers.
const gatherTimeout = 300 * time.Millisecond

// gatherFollowers merges the followers of the other control nodes into a status: each follower polls one node
// at a time, and what another has of it is older.
func (s *Server) gatherFollowers(ctx context.Context, status *Status) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	responses := make(chan []FollowerStatus, len(status.Voters))
	asked := 0
	for _, v := range status.Voters {
		if v.ID == s.self.ID || v.Addr == "" {
			continue
		}
		asked++
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
			if old, known := latest[f.Name]; !known || f.SilentMs < old.SilentMs {
				latest[f.Name] = f
			}
		}
	}
	merge(status.Followers)
	for range asked {
		merge(<-responses)
	}
	status.Followers = slices.SortedFunc(maps.Values(latest), func(a, b FollowerStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// getStatus serves GET /api/status.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	status := s.status()
	s.gatherFollowers(r.Context(), status)
	body, err := json.Marshal(status)
	if err != nil {
		writeReply(w, &feed.OperatorResponse{Status: http.StatusInternalServerError, Text: err.Error()})
		return
	}
	writeReply(w, &feed.OperatorResponse{Status: http.StatusOK, Body: body})
}
