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

func TestTroubleNamesUnresponsiveStores(t *testing.T) {
	well := Status{Epoch: 1, Role: RoleMember, Fresh: true, Version: 1, Voters: []Voter{{}, {}, {}}}
	one := []SilentStore{{Name: "store-2", SilentMs: 95_900}}
	two := append(slices.Clone(one), SilentStore{Name: "store-3", SilentMs: 4_000})
	for _, c := range []struct {
		silent  []SilentStore
		lacking int
		joint   bool
		want    string
	}{
		{nil, 0, false, "all is well"},
		{nil, 0, true, "the placement of stores changes"},
		{one, 0, true, "the placement of stores changes; silent: store-2 for 95 s"},
		{one, 0, false, "a store is silent (store-2 for 95 s); the others go on"},
		{two, 1, true, "more stores are silent than may be lost (store-2 for 95 s, store-3 for 4 s): bring 1 of them back with their disks"},
		{two, 1, false, "more stores are silent than may be lost (store-2 for 95 s, store-3 for 4 s): bring 1 of them back with their disks"},
	} {
		s := well
		s.Silent, s.Lacking, s.Joint = c.silent, c.lacking, c.joint
		if got := s.Trouble(); got != c.want {
			t.Errorf("%q, wanted %q", got, c.want)
		}
	}
}

// A full store is named, but after stores whose loss leaves programs without a majority.
func TestTroubleNamesFullStores(t *testing.T) {
	s := Status{Epoch: 1, Role: RoleMember, Fresh: true, Version: 1, Voters: []Voter{{}, {}, {}}, Full: []string{"store-1"}}
	const full = "a store opens no turns (store-1): its disk, or its memory of ledgers, is nearly full; its log says which"
	if got := s.Trouble(); got != full {
		t.Errorf("%q, wanted %q", got, full)
	}
	s.Silent, s.Lacking = []SilentStore{{Name: "store-2", SilentMs: 95_900}, {Name: "store-3", SilentMs: 4_000}}, 1
	const lacking = "more stores are silent than may be lost (store-2 for 95 s, store-3 for 4 s): bring 1 of them back with their disks"
	if got := s.Trouble(); got != lacking {
		t.Errorf("%q, wanted %q", got, lacking)
	}
}

// Two of four stores are lost where one may be lost, and a newcomer has replaced one: the change cannot end. All core
// nodes name the two, until one is back.
func TestStatusReportsStoresThatBlockAChange(t *testing.T) {
	c := newCluster(t, 3)
	swept := int64(0)
	register := func(ids string) {
		for _, id := range strings.Fields(ids) {
			one := turnstore.Store{ID: id, Name: "store-" + id, Addr: id + ":1"}
			_, _ = c.cores[1].handleRegister(t.Context(), &feed.Registration{Store: one, Generation: swept, SweptGeneration: swept})
		}
	}
	status := func(i int) (s Status) {
		_, text := c.send(i, http.MethodGet, "/api/status", "", nil)
		_ = json.Unmarshal([]byte(text), &s)
		return s
	}
	names := func(s Status) string {
		var all []string
		for _, one := range s.Silent {
			all = append(all, one.Name)
		}
		slices.Sort(all)
		return strings.Join(all, " ")
	}
	c.until("all stores are placed", func() bool { register("a b c d"); return len(status(0).Stores) == 4 })
	for i := range c.n {
		c.until("a node names both", func() bool {
			register("a b e")
			s := status(i)
			s.Version = 1 // that there is no configuration goes before
			return s.Joint && s.Lacking == 1 && names(s) == "store-c store-d" && strings.Contains(s.Trouble(), "store-d for ")
		})
	}
	before := status(0).Silent[0].SilentMs
	c.until("the stores stay unresponsive", func() bool {
		register("a b e")
		s := status(0).Silent
		return len(s) == 2 && s[0].SilentMs >= before+1000
	})
	c.until("one is back", func() bool { register("a b c e"); s := status(2); return s.Lacking == 0 && names(s) == "store-d" })
	swept = status(0).Gen
	c.until("the change ends", func() bool { register("a b c e"); return !status(0).Joint })
}
