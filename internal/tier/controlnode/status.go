package controlnode

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// Status is what one core node knows, for operators.
type Status struct {
	Node      string            `json:"node"`
	Epoch     int64             `json:"epoch"`
	Head      string            `json:"head"`
	Tail      string            `json:"tail"`
	Chain     []string          `json:"chain"`
	Voters    []Voter           `json:"voters"`
	Sealed    bool              `json:"sealed"`
	Fresh     bool              `json:"fresh"`
	Place     int64             `json:"place"`
	Commit    int64             `json:"commit"`
	Version   int64             `json:"config_version"`
	Hosts     int               `json:"hosts"`
	Gen       int64             `json:"placement_gen"`
	Joint     bool              `json:"placement_joint"`
	Stores    []turnstore.Store `json:"stores"`
	Full      []string          `json:"full_stores"`    // as far as the head knows
	Silent    []SilentStore     `json:"silent_stores"`  // of the placement, as the head tells; the longest first
	Lacking   int               `json:"lacking_stores"` // how many of them have to come back for a change to end
	Followers []FollowerStatus  `json:"followers"`
	Role      string            `json:"role"`
	Transfers []Transfer        `json:"transfers"` // that this node sends
}

// SilentStore is a store of the placement that has not been heard for so long that another may take its place.
type SilentStore struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	SilentMs int64  `json:"silent_ms"` // at least: nobody may have listened while the head changed
}

// Transfer is a member that this node brings up to date.
type Transfer struct {
	To     string `json:"to"`
	Place  int64  `json:"place"` // all up to it has come
	Target int64  `json:"target"`
	Bytes  int64  `json:"bytes"` // of the entry after it
}

// Roles of a core node, as its status names them.
const (
	RoleMember     = "member"      // it keeps a copy of all that is committed
	RoleCatchingUp = "catching up" // it votes, and is not a copy yet
	RoleApplicant  = "applicant"   // it has no vote yet
)

func (c *Server) role() string {
	switch {
	case c.node.Chain().CommitIsCurrent():
		return RoleMember
	case c.node.acceptor.View.IsVoter(c.self.ID):
		return RoleCatchingUp
	}
	return RoleApplicant
}

// Voter is a core node as another sees it.
type Voter struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	SilentMs int64  `json:"silent_ms"`
}

// FollowerStatus is a follower of this node's feed.
type FollowerStatus struct {
	Name     string `json:"name"`
	Class    string `json:"class"`
	Version  int64  `json:"config_version"`
	Place    int64  `json:"place"`
	SilentMs int64  `json:"silent_ms"`
}

func (c *Server) status() *Status {
	s := &Status{Node: c.self.Name}
	c.runOnLoop(func() {
		v := c.node.View()
		s.Epoch, s.Chain, s.Sealed, s.Fresh = v.Epoch, c.chainNames(), c.node.acceptor.HasPromised(), c.node.Fresh()
		if len(s.Chain) > 0 {
			s.Head, s.Tail = s.Chain[0], s.Chain[len(s.Chain)-1]
		}
		for _, m := range v.Voters {
			one := Voter{ID: m.ID, Name: m.Name, Addr: c.node.addr(m.ID)}
			if p := c.node.peers[m.ID]; p != nil && m.ID != c.self.ID {
				one.Name, one.SilentMs = cmp.Or(p.member.Name, m.Name), (c.now() - p.lastHeard).Milliseconds()
			} else if m.ID == c.self.ID {
				one.Name = c.self.Name
			}
			s.Voters = append(s.Voters, one)
		}
		s.Role = c.role()
		for _, t := range c.node.Chain().Transfers() {
			s.Transfers = append(s.Transfers, Transfer{To: c.name(t.ID), Place: t.LastIndex, Target: t.Target, Bytes: t.PartialBytes})
		}
		s.Place, s.Commit = c.node.Chain().State().LastIndex, c.node.Chain().State().Commit
		if h := c.node.Hosts(); h != nil {
			s.Hosts = len(h.Hosts)
		}
		if known, err := orders.ReadState(c.node.Chain().Committed(0), c.settings.FaultTolerance()); err == nil {
			s.Version = known.Version()
			if p := known.Placement; p != nil {
				s.Gen, s.Joint, s.Stores = p.Generation, len(p.New) > 0, p.Stores()
				c.addUnresponsiveStores(s, p)
			}
		}
		s.Full = c.fullStores()
	})
	c.followers.Range(func(_, v any) bool {
		f := v.(*Follower)
		s.Followers = append(s.Followers, FollowerStatus{Name: f.Name, Class: f.Class, Version: f.ActiveVersion, Place: f.AppliedIndex, SilentMs: time.Since(f.LastSeen).Milliseconds()})
		return true
	})
	return s
}

// addUnresponsiveStores adds the stores that are not heard. It runs in the loop.
func (c *Server) addUnresponsiveStores(s *Status, p *turnstore.Placement) {
	silent := c.currentObservations().FailedStores(c.placementTimings())
	s.Lacking = placement.StoresRequired(p, silent)
	for _, one := range silent {
		if i := slices.IndexFunc(s.Stores, func(o turnstore.Store) bool { return o.ID == one.ID }); i >= 0 {
			s.Silent = append(s.Silent, SilentStore{ID: one.ID, Name: s.Stores[i].Name, Addr: s.Stores[i].Addr, SilentMs: one.Elapsed.Milliseconds()})
		}
	}
}

// gatherTimeout bounds how long others are asked for what followers have told them.
const gatherTimeout = 300 * time.Millisecond

// gatherFollowers brings in the followers of the other core nodes: each follows one at a time, and what it told another before is old.
func (c *Server) gatherFollowers(ctx context.Context, s *Status) {
	ctx, done := context.WithTimeout(ctx, gatherTimeout)
	defer done()
	told := make(chan []FollowerStatus, len(s.Voters))
	asked := 0
	for _, v := range s.Voters {
		if v.ID == c.self.ID || v.Addr == "" {
			continue
		}
		asked++
		go func() {
			var other Status
			if c.clients.To(v.Addr).Call(ctx, feed.StatusCall, &feed.Empty{}, &other) != nil {
				other.Followers = nil
			}
			told <- other.Followers
		}()
	}
	latest := map[string]FollowerStatus{}
	take := func(all []FollowerStatus) {
		for _, f := range all {
			if old, known := latest[f.Name]; !known || f.SilentMs < old.SilentMs {
				latest[f.Name] = f
			}
		}
	}
	take(s.Followers)
	for range asked {
		take(<-told)
	}
	s.Followers = slices.SortedFunc(maps.Values(latest), func(a, b FollowerStatus) int { return cmp.Compare(a.Name, b.Name) })
}

func (c *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	s := c.status()
	c.gatherFollowers(r.Context(), s)
	b, err := json.Marshal(s)
	if err != nil {
		writeReply(w, &feed.Reply{Status: http.StatusInternalServerError, Text: err.Error()})
		return
	}
	writeReply(w, &feed.Reply{Status: http.StatusOK, Body: b})
}

// Trouble names the one thing that is wrong, as far as this node can tell.
func (s *Status) Trouble() string {
	silent := 0
	for _, v := range s.Voters {
		if v.SilentMs > 1000 {
			silent++
		}
	}
	switch {
	case s.Epoch == 0:
		return "it knows no view: no core node that has one answers it"
	case len(s.Voters)-silent < len(s.Voters)/2+1:
		return "it hears no majority of the core nodes: what it tells may be old"
	case s.Sealed:
		return "the view changes"
	case s.Role == RoleApplicant:
		return "it has no vote yet: the others have to take it in"
	case s.Role == RoleCatchingUp:
		return "it is not a copy yet: the others bring it up to date"
	case !s.Fresh:
		return "no majority has confirmed lately that what it has is the newest"
	case silent > 0:
		return "some core nodes are silent; a majority goes on"
	case s.Version == 0:
		return "no configuration was taken yet"
	case s.Lacking > 0:
		return fmt.Sprintf("more stores are silent than may be lost (%s): bring %d of them back with their disks", s.describeUnresponsive(), s.Lacking)
	case len(s.Full) > 0:
		return "a store opens no turns (" + strings.Join(s.Full, ", ") + "): its disk, or its memory of ledgers, is nearly full; its log says which"
	case s.Joint && len(s.Silent) > 0:
		return "the placement of stores changes; silent: " + s.describeUnresponsive()
	case s.Joint:
		return "the placement of stores changes"
	case len(s.Silent) > 0:
		return "a store is silent (" + s.describeUnresponsive() + "); the others go on"
	}
	return "all is well"
}

// describeUnresponsive names the stores that are not heard, with how long.
func (s *Status) describeUnresponsive() string {
	var all []string
	for _, one := range s.Silent {
		all = append(all, fmt.Sprintf("%s for %d s", one.Name, one.SilentMs/1000))
	}
	return strings.Join(all, ", ")
}
