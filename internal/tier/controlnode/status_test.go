package controlnode

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

func TestSummaryNamesUnresponsiveStores(t *testing.T) {
	healthy := Status{Epoch: 1, Role: RoleMember, Fresh: true, ConfigVersion: 1, Voters: []Voter{{}, {}, {}}}
	one := []UnresponsiveStore{{Name: "store-2", SinceRegistrationMs: 95_900}}
	two := append(slices.Clone(one), UnresponsiveStore{Name: "store-3", SinceRegistrationMs: 4_000})
	for _, c := range []struct {
		unresponsive []UnresponsiveStore
		required     int
		joint        bool
		want         string
	}{
		{nil, 0, false, "all is well"},
		{nil, 0, true, "a placement change is in progress"},
		{one, 0, true, "a placement change is in progress; unresponsive: store-2 for 95 s"},
		{one, 0, false, "a store is unresponsive (store-2 for 95 s); the others continue"},
		{two, 1, true, "more stores are unresponsive than may be lost (store-2 for 95 s, store-3 for 4 s): bring 1 of them back with their disks"},
		{two, 1, false, "more stores are unresponsive than may be lost (store-2 for 95 s, store-3 for 4 s): bring 1 of them back with their disks"},
	} {
		s := healthy
		s.UnresponsiveStores, s.StoresRequired, s.PlacementJoint = c.unresponsive, c.required, c.joint
		if got := s.Summary(); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}

// Unresponsive stores take precedence over a full store if programs have no majority of replicas without them.
func TestSummaryNamesFullStores(t *testing.T) {
	s := Status{Epoch: 1, Role: RoleMember, Fresh: true, ConfigVersion: 1, Voters: []Voter{{}, {}, {}}, FullStores: []string{"store-1"}}
	const full = "a store rejects new turns (store-1): its disk or its ledger memory is nearly full, see its log"
	if got := s.Summary(); got != full {
		t.Errorf("%q, want %q", got, full)
	}
	s.UnresponsiveStores, s.StoresRequired = []UnresponsiveStore{{Name: "store-2", SinceRegistrationMs: 95_900}, {Name: "store-3", SinceRegistrationMs: 4_000}}, 1
	const required = "more stores are unresponsive than may be lost (store-2 for 95 s, store-3 for 4 s): bring 1 of them back with their disks"
	if got := s.Summary(); got != required {
		t.Errorf("%q, want %q", got, required)
	}
}

// Two of four stores are lost where one may be lost, and a new store has replaced one of them: the placement change
// cannot complete. All core nodes name both lost stores until one returns.
func TestStatusReportsStoresThatBlockAChange(t *testing.T) {
	c := newCluster(t, 3)
	sweptGeneration := int64(0)
	register := func(ids string) {
		for _, id := range strings.Fields(ids) {
			one := turnstore.Store{ID: id, Name: "store-" + id, Addr: id + ":1"}
			_, _ = c.cores[1].handleRegister(t.Context(), &feed.Registration{Store: one, Generation: sweptGeneration, SweptGeneration: sweptGeneration})
		}
	}
	status := func(i int) (s Status) {
		_, text := c.send(i, http.MethodGet, "/api/status", "", nil)
		_ = json.Unmarshal([]byte(text), &s)
		return s
	}
	unresponsiveNames := func(s Status) string {
		var all []string
		for _, one := range s.UnresponsiveStores {
			all = append(all, one.Name)
		}
		slices.Sort(all)
		return strings.Join(all, " ")
	}
	c.until("all stores are placed", func() bool { register("a b c d"); return len(status(0).Stores) == 4 })
	for i := range c.n {
		c.until("the node names both stores", func() bool {
			register("a b e")
			s := status(i)
			s.ConfigVersion = 1 // a missing configuration would take precedence in the summary
			return s.PlacementJoint && s.StoresRequired == 1 && unresponsiveNames(s) == "store-c store-d" && strings.Contains(s.Summary(), "store-d for ")
		})
	}
	before := status(0).UnresponsiveStores[0].SinceRegistrationMs
	c.until("the stores stay unresponsive", func() bool {
		register("a b e")
		s := status(0).UnresponsiveStores
		return len(s) == 2 && s[0].SinceRegistrationMs >= before+1000
	})
	c.until("one store has returned", func() bool {
		register("a b c e")
		s := status(2)
		return s.StoresRequired == 0 && unresponsiveNames(s) == "store-d"
	})
	sweptGeneration = status(0).PlacementGeneration
	c.until("the placement change is complete", func() bool { register("a b c e"); return !status(0).PlacementJoint })
}
