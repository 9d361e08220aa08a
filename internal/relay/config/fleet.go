package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/internal/relay/hclfile"
	"larchrouter/internal/relay/override"
)

// Fleet is the relays that share limits and drains. It is the same for all of them, but for Name and Listen.
type Fleet struct {
	Name   string   // of this relay
	Listen string   // address for messages of other relays, ip:port
	Relays []Member // sorted by name, this one among them
}

// Member is a relay of a fleet.
type Member struct {
	Name    string
	Address string // where other relays send messages for it, ip:port
	Weight  int    // its share of each limit, relative to the others
}

// Self returns the index of this relay in Relays, or a negative number.
func (f *Fleet) Self() int {
	return slices.IndexFunc(f.Relays, func(m Member) bool { return m.Name == f.Name })
}

// Weights returns the weights of all relays, in their order.
func (f *Fleet) Weights() (all []int) {
	for _, m := range f.Relays {
		all = append(all, m.Weight)
	}
	return all
}

// Names returns the names of all relays, in their order.
func (f *Fleet) Names() []string { return names(f.Relays, func(m Member) string { return m.Name }) }

// fleet reads the fleet block. Messages between relays are not authenticated, so their addresses must not be reachable from
// outside.
func (f *File) fleet(top hclfile.Block) {
	at := slices.IndexFunc(top.Blocks, func(c *hcl.Block) bool { return c.Type == "fleet" })
	if at < 0 {
		return
	}
	for _, c := range top.Blocks[at+1:] {
		if c.Type == "fleet" {
			top.Fault(c.DefRange, "a second fleet block; one is allowed, the first is in line %d",
				top.Blocks[at].DefRange.Start.Line)
		}
	}
	b := top.Open(top.Blocks[at].Body, top.Blocks[at].DefRange, []string{"name", "listen"}, map[string]string{"relay": "name"})
	b.Need("name", "which of the relays this one is")
	fleet := &Fleet{Name: b.Text("name", ""), Listen: b.Text("listen", "")}
	seen, addrs := map[string]hcl.Range{}, map[string]string{}
	for _, c := range b.Blocks {
		n, _ := b.Label("relay", c, seen)
		if len(n) > override.MaxNameBytes {
			b.Fault(c.LabelRanges[0], "relay %q: a name has at most %d bytes", n, override.MaxNameBytes)
		}
		m := b.Open(c.Body, c.DefRange, []string{"address", "weight"}, nil)
		m.Need("address", `where the others send notes for it, such as address = "10.0.0.1:7946"`)
		if addr := m.Text("address", ""); addr != "" {
			checkPrivateAddress(m, "address", addr, 1)
			if other, used := addrs[addr]; used {
				m.Fault(m.Where("address"), "address %s is that of relay %q already", addr, other)
			}
			addrs[addr] = n
			fleet.Relays = append(fleet.Relays, Member{n, addr, m.Whole("weight", 1, 1, override.MaxWeight)})
		}
	}
	slices.SortFunc(fleet.Relays, func(x, y Member) int { return strings.Compare(x.Name, y.Name) })
	if n := len(fleet.Relays); n > maxRelays {
		b.Fault(b.At, "a fleet of %d relays, %d at most", n, maxRelays)
	}
	switch i := fleet.Self(); {
	case fleet.Name != "" && i < 0:
		b.Fault(b.Where("name"), "name is %q, but there is no relay %q { address = ... } in the block; it has: %s", fleet.Name,
			fleet.Name, strings.Join(fleet.Names(), ", "))
	case i >= 0 && !b.Has("listen"):
		fleet.Listen = fleet.Relays[i].Address
	}
	if b.Has("listen") {
		checkPrivateAddress(b, "listen", fleet.Listen, 1)
	}
	f.Fleet = fleet
}
