package appliance_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/appliance"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/rig"
)

// node is a relay of a fleet under test.
type node struct {
	path string // of the operator's file
	a    *appliance.Appliance
	*adminapi.Client
}

func (n *node) start(t *testing.T) {
	t.Helper()
	f, err := config.Read(n.path)
	if err != nil {
		t.Fatal(err)
	}
	if n.a, err = appliance.Start(f, "test", nil); err != nil {
		t.Fatal(err)
	}
}

// newNodes starts n relays of one fleet.
func newNodes(t *testing.T, n int) (nodes []*node) {
	t.Helper()
	dir := t.TempDir()
	addrs, err := rig.Addresses(n)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("r%d", i))
	}
	for i, name := range names {
		text := fmt.Sprintf("listen = \"127.0.0.1:0\"\nstate = %q\nstop_within = \"1s\"\n", name) + rig.Fleet(name, addrs[i], names, addrs) + `
partner "pay" {
  limit { rate = 50 }
  endpoint "pay-1" { address = "127.0.0.1:9001" }
  endpoint "pay-2" { address = "127.0.0.1:9002" }
}
`
		m := &node{path: filepath.Join(dir, name+".hcl")}
		if err := os.WriteFile(m.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		m.start(t)
		m.Client = adminapi.Dial(filepath.Join(dir, name, "control.sock"))
		t.Cleanup(func() {
			m.Close()
			m.a.Stop("test")
		})
		nodes = append(nodes, m)
	}
	return nodes
}

// drained reports whether an endpoint is drained at this relay.
func (n *node) drained(t *testing.T, endpoint string) bool {
	t.Helper()
	partners, err := n.Partners(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range partners {
		for _, e := range p.Endpoints {
			if e.ID == endpoint {
				return e.State == "drained"
			}
		}
	}
	t.Fatalf("no endpoint %s", endpoint)
	return false
}

// fleet returns this relay's view of its fleet.
func (n *node) fleet(t *testing.T) adminapi.Fleet {
	t.Helper()
	f, err := n.Fleet(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Overrides for the fleet: an operator drains an endpoint through one relay, undrains it through another, and
// declares a relay removed. All of it survives restarts.
func TestFleetOverrides(t *testing.T) {
	all := newNodes(t, 3)
	a, b, c := all[0], all[1], all[2]
	everywhere := func(what string, holds func(n *node) bool) {
		eventually(t, what, func() bool {
			for _, n := range all {
				if !holds(n) {
					return false
				}
			}
			return true
		})
	}
	seesRelays := func(n *node, want int) bool {
		got := 0
		for _, r := range n.fleet(t).Relays {
			if r.There {
				got++
			}
		}
		return got == want
	}
	everywhere("each relay sees all", func(n *node) bool { return seesRelays(n, 3) })
	d, err := a.Drain(t.Context(), adminapi.DrainRequest{Target: "endpoint:pay-1", By: "ana", Fleet: true})
	if err != nil || d.Result != "drained for the fleet" || d.Fleet == nil {
		t.Fatalf("%+v, %v", d, err)
	}
	everywhere("it is drained at all relays", func(n *node) bool { return n.drained(t, "pay-1") })
	eventually(t, "the first relay knows that all have the override", func() bool { w := a.fleet(t).Words; return len(w) == 1 && len(w[0].Missing) == 0 })
	if d, err := b.Undrain(t.Context(), adminapi.DrainRequest{Target: "endpoint:pay-1", By: "b"}); err != nil ||
		d.Result != "still drained for the fleet" || !b.drained(t, "pay-1") {
		t.Errorf("undrained at one relay alone: %+v, %v", d, err)
	}
	for what, q := range map[string]adminapi.DrainRequest{
		adminapi.Conflict: {Target: "endpoint:pay-2", Fleet: true}, // the last one
		adminapi.NotFound: {Target: "endpoint:nobody", Fleet: true},
		adminapi.Invalid:  {Target: "relay", Fleet: true},
	} {
		if d, err := c.Drain(t.Context(), q); !adminapi.IsCode(err, what) {
			t.Errorf("%+v: %+v, %v, want %s", q, d, err, what)
		}
	}
	if _, err := a.Gone(t.Context(), adminapi.GoneRequest{Relay: "r2", By: "ana"}); !adminapi.IsCode(err, adminapi.Conflict) {
		t.Errorf("a live relay is removed: %v", err)
	}
	c.a.Stop("test")
	eventually(t, "the stopped relay is not seen", func() bool { return seesRelays(a, 2) })
	if _, err := a.Gone(t.Context(), adminapi.GoneRequest{Relay: "r2", By: "ana"}); err != nil {
		t.Fatal(err)
	}
	if d, err := b.Drain(t.Context(), adminapi.DrainRequest{Target: "partner:pay", By: "b"}); err != nil || d.Result != "drained" {
		t.Errorf("%+v, %v", d, err)
	}
	if d, err := b.Undrain(t.Context(), adminapi.DrainRequest{Target: "endpoint:pay-1", By: "b", Fleet: true}); err != nil ||
		d.Result != "undrained for the fleet, still drained here" {
		t.Errorf("%+v, %v", d, err)
	}
	c.start(t)
	eventually(t, "it has the overrides that were made meanwhile", func() bool {
		f := c.fleet(t)
		return len(f.Words) == 2 && f.Words[0].Subject == "endpoint:pay-1" && !f.Words[0].Holds &&
			f.Words[1].Subject == "gone:r2" && f.Words[1].Holds
	})
	if c.drained(t, "pay-1") {
		t.Error("an endpoint that was undrained while the relay was down is drained there")
	}
	if _, err := c.Gone(t.Context(), adminapi.GoneRequest{Relay: "r2", Back: true, By: "c"}); err != nil {
		t.Fatal(err)
	}
	everywhere("it is in the fleet again at all relays", func(n *node) bool { f := n.fleet(t); return !f.Relays[2].Gone && f.Parts == 3 })
	b.a.Stop("test")
	b.start(t)
	if f := b.fleet(t); len(f.Words) != 2 || f.Words[0].Holds || f.Words[1].Holds {
		t.Errorf("after a restart: %+v", f.Words)
	}
	if d, err := a.Drain(t.Context(), adminapi.DrainRequest{Target: "partner:pay", By: "ana", Fleet: true, DryRun: true}); err != nil ||
		d.Result != "" || len(a.fleet(t).Words) != 2 {
		t.Errorf("a dry run: %+v, %v", d, err)
	}
}

// A file that reaches two of three relays: all show the third as behind, until it has the file too.
func TestVersionsBehind(t *testing.T) {
	all := newNodes(t, 3)
	behind := func(n *node) (text string) {
		for _, v := range n.fleet(t).Versions {
			if v.State != "current" {
				text += fmt.Sprintf("%s %s %s, %d have the newest; ", v.Relay, v.Kind, v.State, v.Newest)
			}
		}
		return text
	}
	everywhere := func(what, want string) {
		t.Helper()
		for _, n := range all {
			eventually(t, what, func() bool { return behind(n) == want })
		}
	}
	for _, n := range all { // versions that arrive in the first two seconds count as present before
		eventually(t, "all have the same for a while", func() bool {
			for _, v := range n.fleet(t).Versions {
				if v.State != "current" || v.ForMs < 2100 {
					return false
				}
			}
			return true
		})
	}
	reload := func(n *node) {
		text, err := os.ReadFile(n.path)
		if err != nil {
			t.Fatal(err)
		}
		f, err := config.Parse([]byte(strings.Replace(string(text), "rate = 50", "rate = 60", 1)), n.path, filepath.Dir(n.path))
		if err != nil {
			t.Fatal(err)
		}
		if restart := n.a.Reload(f); len(restart) > 0 {
			t.Errorf("%v needs a restart", restart)
		}
	}
	reload(all[0])
	everywhere("two lack it", "r1 partners behind, 1 have the newest; r2 partners behind, 1 have the newest; ")
	reload(all[1])
	everywhere("one lacks it", "r2 partners behind, 2 have the newest; ")
	reload(all[2])
	everywhere("all have it", "")
	if v := all[0].fleet(t).Versions; len(v) != 12 {
		t.Errorf("%d rows of three relays and four kinds", len(v))
	}
}

// A relay without a fleet reports none, and rejects operations on the fleet.
func TestNoFleet(t *testing.T) {
	dir := t.TempDir()
	f, err := config.Parse([]byte("listen = \"127.0.0.1:0\"\npartner \"pay\" {\n  endpoint \"pay-1\" {\n    address = \"127.0.0.1:9001\"\n  }\n}\n"), "f.hcl", dir)
	if err != nil {
		t.Fatal(err)
	}
	a, err := appliance.Start(f, "test", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Stop("test")
	c := adminapi.Dial(a.Socket())
	defer c.Close()
	later, err := config.Parse([]byte("listen = \"127.0.0.1:0\"\npartner \"pay\" {\n  limit {\n    rate = 5\n  }\n  endpoint \"pay-1\" {\n    address = \"127.0.0.1:9001\"\n  }\n}\n"), "f.hcl", dir)
	if err != nil {
		t.Fatal(err)
	}
	if restart := a.Reload(later); fmt.Sprint(restart) != "[limit]" {
		t.Errorf("a first limit: %v needs a restart, want [limit]", restart)
	}
	if v, err := c.Fleet(context.Background()); err != nil || v.Name != "" || len(v.Relays) != 0 {
		t.Errorf("%+v, %v", v, err)
	}
	if _, err := c.Drain(context.Background(), adminapi.DrainRequest{Target: "partner:pay", Fleet: true}); !adminapi.IsCode(err, adminapi.Conflict) {
		t.Errorf("a drain for the fleet: %v", err)
	}
	if _, err := c.Gone(context.Background(), adminapi.GoneRequest{Relay: "x"}); !adminapi.IsCode(err, adminapi.Conflict) {
		t.Errorf("removal of a relay: %v", err)
	}
}
