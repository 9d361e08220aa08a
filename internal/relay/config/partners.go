package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/choice"
	"larchrouter/internal/relay/hclfile"
)

// partners reads the partner blocks, and derives the zones from them if none are declared.
func (f *File) partners(top hclfile.Block) {
	classes := names(f.Classes, func(c choice.Class) string { return c.Name })
	kinds := names(f.Kinds, func(k Kind) string { return k.Name })
	zones := names(f.Zones, func(z Zone) string { return z.Name })
	seen, ids, addrs, numbers := map[string]hcl.Range{}, map[string]hcl.Range{}, map[string]string{}, map[int]string{}
	taken := map[string]bool{}
	any := false
	for _, c := range top.Blocks {
		if c.Type != "partner" {
			continue
		}
		any = true
		n, ok := top.Label("partner", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"kind", "classes"}, map[string]string{"endpoint": "id", "limit": ""})
		p := Partner{Name: n, Number: Number(n), Kind: b.Choose("kind", builtinKinds[0].Name, kinds...),
			Classes: b.Texts("classes")}
		if other, used := numbers[p.Number]; used && ok {
			b.Fault(c.LabelRanges[0], "partner %q has the number of partner %q, %d: rename one", n, other, p.Number)
		}
		numbers[p.Number] = n
		for _, k := range p.Classes {
			if !slices.Contains(classes, k) {
				b.Fault(b.Where("classes"), "class %q is unknown; allowed: %s", k, strings.Join(classes, ", "))
			}
		}
		if !b.Has("classes") {
			p.Classes = classes
		} else if len(p.Classes) == 0 {
			b.Fault(b.Where("classes"), "classes is empty: leave it out for all, or name some of %s",
				strings.Join(classes, ", "))
		}
		for _, e := range b.Blocks {
			if e.Type == "endpoint" {
				p.Endpoints = append(p.Endpoints, f.endpoint(b, n, e, ids, addrs, zones))
			}
		}
		p.Limit = ReadLimit(b, 0.01)
		if len(p.Endpoints) == 0 {
			b.Fault(c.DefRange, "partner %q has no endpoint: add endpoint \"%s-1\" { address = \"host:port\" }", n, n)
		}
		for _, k := range p.Classes {
			taken[k] = true
		}
		f.Partners = append(f.Partners, p)
	}
	if !any {
		top.Fault(top.At, `no partner: add partner "NAME" { endpoint "ID" { address = "host:port" } }`)
		return
	}
	for _, c := range top.Blocks {
		if c.Type == "class" && !taken[c.Labels[0]] {
			top.Fault(c.LabelRanges[0], "no partner takes class %q: add it to the classes of one, or take the class out",
				c.Labels[0])
		}
	}
	if len(f.Zones) == 0 { // without zone blocks: the zones of the endpoints
		for _, p := range f.Partners {
			for _, e := range p.Endpoints {
				if !slices.Contains(zones, e.Zone) {
					zones = append(zones, e.Zone)
					f.Zones = append(f.Zones, Zone{Name: e.Zone})
				}
			}
		}
	}
}

// endpoint reads an endpoint block. ids and addrs have those of all partners so far.
func (f *File) endpoint(b hclfile.Block, partner string, c *hcl.Block, ids map[string]hcl.Range, addrs map[string]string,
	zones []string) Endpoint {
	id, _ := b.Label("endpoint", c, ids)
	e := b.Open(c.Body, c.DefRange, []string{"address", "zone"}, nil)
	or := defaultZone
	if len(zones) > 0 {
		or = zones[0]
	}
	end := Endpoint{ID: id, Address: e.Text("address", ""), Zone: e.Text("zone", or)}
	e.Need("address", `where it takes messages, such as address = "127.0.0.1:9001"`)
	if len(zones) > 0 && !slices.Contains(zones, end.Zone) {
		e.Fault(e.Where("zone"), "zone %q is unknown; allowed: %s", end.Zone, strings.Join(zones, ", "))
	}
	if end.Address != "" {
		checkAddress(e, "address", end.Address, 1)
		if first, used := addrs[end.Address]; used {
			other, _, _ := strings.Cut(first, "/")
			what := "an endpoint has one place"
			if other != partner {
				what = "an endpoint belongs to one partner"
			}
			e.Fault(e.Where("address"), "address %s is that of endpoint %s already: %s", end.Address, first, what)
		} else {
			addrs[end.Address] = partner + "/" + id
		}
	}
	return end
}
