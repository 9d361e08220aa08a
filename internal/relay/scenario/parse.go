package scenario

import (
	"time"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/hclfile"
)

// Parse parses and validates a scenario. The error of an invalid one is hclfile.Faults, which has all that is wrong with it.
func Parse(data []byte, path string) (*Scenario, error) {
	top, err := hclfile.Parse(data, path,
		[]string{"title", "about", "seed", "form", "share", "listed", "relays", "slots", "held", "attempts"},
		map[string]string{"partner": "name", "phase": "name", "draw": "", "expect": "", "rules": ""})
	if err != nil {
		return nil, err
	}
	s := &Scenario{Title: top.Text("title", path), About: top.Text("about", " "), Seed: uint64(top.Whole("seed", 1, 0, 1<<31)),
		Relays: top.Whole("relays", 8, 1, MaxRelays), Slots: top.Whole("slots", 32, 1, 1000),
		MaxPending: top.Whole("held", 256, 1, 100_000),
		Attempts:   top.Whole("attempts", 6, 1, 100), Classes: config.DefaultClasses(), Rules: config.ReadRules(top, time.Minute)}
	s.Appliances = top.Choose("form", "platform", "platform", "appliance") == "appliance"
	if top.Has("listed") {
		s.InitialRelays = top.Whole("listed", 1, 1, s.Relays)
	}
	s.Standalone = !top.Truth("share", true)
	if s.Standalone && !s.Appliances {
		top.Fault(top.Where("share"), `relays of a platform share what it says: share = false goes with form = "appliance"`)
	}
	f := &parser{Scenario: s, names: map[string]Partner{}}
	f.parsePartners(top)
	f.parsePhases(top)
	s.Expect = parseExpectations(top, maxSpan)
	if !top.Any() && s.Span() > maxSpan {
		top.Fault(top.At, "the phases take %v together, %v at most", s.Span(), maxSpan)
	}
	if top.Any() {
		return nil, top.Sorted()
	}
	return s, nil
}

// parser fills in a scenario from its blocks.
type parser struct {
	*Scenario
	names map[string]Partner // partners that were parsed
}

func (f *parser) parsePartners(top hclfile.Block) {
	seen, rate := map[string]hcl.Range{}, 0.0
	for _, c := range top.Blocks {
		if c.Type != "partner" {
			continue
		}
		name, _ := top.Label("partner", c, seen)
		block := top.Open(c.Body, c.DefRange, nil, map[string]string{"host": "name", "load": "class", "limit": ""})
		p := Partner{Name: name}
		hosts := map[string]hcl.Range{}
		for _, c := range block.Blocks {
			if c.Type == "host" {
				p.Hosts = append(p.Hosts, parseHost(block, c, hosts))
				continue
			}
			if c.Type == "limit" {
				if !f.Appliances {
					block.Fault(c.DefRange, `a platform tells no limits: say form = "appliance"`)
				}
				continue
			}
			l := f.parseLoad(block, c)
			rate += l.Rate
			p.Loads = append(p.Loads, l)
		}
		p.Limit = config.ReadLimit(block, 0.1)
		if len(p.Hosts) == 0 {
			top.Fault(c.DefRange, `partner %q has no host: add host "a" { rate = 100 }`, name)
		}
		f.Partners = append(f.Partners, p)
		f.names[name] = p
	}
	if len(f.Partners) == 0 {
		top.Fault(top.At, `no partner: add partner "NAME" { host "a" { rate = 100 }  load "job-order" { rate = 50 } }`)
	} else if rate <= 0 || rate > maxRate {
		top.Fault(top.At, "the loads come to %s messages a second, must be above 0 and at most %d", hclfile.Show(rate), maxRate)
	}
}

func parseHost(b hclfile.Block, c *hcl.Block, seen map[string]hcl.Range) Host {
	n, _ := b.Label("host", c, seen)
	h := b.Open(c.Body, c.DefRange, []string{"rate", "burst", "debt", "at_once", "wait", "latency", "cold"}, nil)
	h.Need("rate", "calls a second that it takes, such as rate = 100")
	out := Host{Name: n, Rate: h.Number("rate", 1, 0.1, 1e5)}
	out.Burst, out.Debt = h.Number("burst", max(1, out.Rate/4), 1, 1e5), h.Number("debt", 0, 0, 1e5)
	out.MaxConcurrent, out.RetryAfter = h.Whole("at_once", 0, 0, 1e5), h.Span("wait", 0, 0, time.Minute)
	out.Latency, out.ColdStart = h.Span("latency", 20*time.Millisecond, 0, 10*time.Second), h.Truth("cold", false)
	return out
}

func (f *parser) parseLoad(b hclfile.Block, c *hcl.Block) Load {
	var names []string
	for _, k := range f.Classes {
		names = append(names, k.Name)
	}
	k, at := f.ClassByName(c.Labels[0])
	if at < 0 {
		b.Fault(c.LabelRanges[0], "class %q is unknown; allowed: %v", c.Labels[0], names)
		k.Deadline = time.Second
	}
	l := b.Open(c.Body, c.DefRange, []string{"rate", "within", "hot", "hot_times"}, nil)
	l.Need("rate", "messages a second of all clients, such as rate = 50")
	return Load{Class: c.Labels[0], Rate: l.Number("rate", 1, 0.1, maxRate),
		Timeout:   l.Span("within", min(3*time.Second, k.Deadline), 100*time.Millisecond, k.Deadline),
		HotRelays: l.Whole("hot", 0, 0, MaxRelays), HotFactor: l.Number("hot_times", 10, 1, 1000)}
}

func hasHost(p Partner, name string) bool {
	for _, h := range p.Hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}

func parseExpectations(b hclfile.Block, most time.Duration) (all []Expectation) {
	for _, c := range b.Blocks {
		if c.Type != "expect" {
			continue
		}
		k := b.Open(c.Body, c.DefRange, []string{"from", "to", "delivered", "offered", "refused"}, nil)
		e := Expectation{From: k.Span("from", 0, 0, most), To: k.Span("to", 0, 0, most), MinDelivered: k.Number("delivered", 0, 0, 1),
			MaxOffered: k.Number("offered", 0, 0, 100), MaxRefused: k.Number("refused", 0, 0, 1)}
		if e.To > 0 && e.To <= e.From {
			k.Fault(k.Where("to"), "to is %v, must be after from, %v", e.To, e.From)
		}
		if e.MinDelivered == 0 && e.MaxOffered == 0 && e.MaxRefused == 0 {
			k.Fault(k.At, "expect says nothing: give delivered, offered or refused")
		}
		all = append(all, e)
	}
	return all
}
