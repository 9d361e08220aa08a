package scenario

import (
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/internal/relay/hclfile"
)

func (f *parser) parsePhases(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	for _, c := range top.Blocks {
		switch c.Type {
		case "phase":
			n, _ := top.Label("phase", c, seen)
			f.Phases = append(f.Phases, f.parsePhase(top, n, c))
		case "draw":
			b := top.Open(c.Body, c.DefRange, []string{"phases", "for", "calm"}, nil)
			f.RandomSchedule = &RandomSchedule{Phases: b.Whole("phases", 6, 1, maxPhases),
				FaultDuration: b.Span("for", 5*time.Second, time.Second, time.Minute),
				CalmDuration:  b.Span("calm", 6*time.Second, time.Second, time.Minute)}
		}
	}
	if len(f.Phases) == 0 || len(f.Phases) > maxPhases {
		top.Fault(top.At, `%d phases, must be from 1 to %d: add phase "whole" { for = "10s" }`, len(f.Phases), maxPhases)
	}
}

func (f *parser) parsePhase(top hclfile.Block, name string, c *hcl.Block) Phase {
	b := top.Open(c.Body, c.DefRange, []string{"for"}, map[string]string{"cut": "shape", "links": "", "stop": "", "kill": "",
		"agents": "", "say": "what", "grow": "", "partner": "name", "expect": ""})
	b.Need("for", `how long it lasts, such as for = "8s"`)
	p := Phase{Name: name, Duration: b.Span("for", time.Second, 100*time.Millisecond, maxSpan),
		Expect: parseExpectations(b, maxSpan)}
	p.Links = parseLinks(b)
	p.Resize = f.parseResize(b)
	for _, block := range b.Blocks {
		switch block.Type {
		case "cut":
			p.Cuts = append(p.Cuts, parseCut(b, block))
		case "stop":
			p.Stops = append(p.Stops, f.parseStop(b, block, p.Duration))
		case "kill":
			p.Kills = append(p.Kills, f.parseKill(b, block, p.Duration))
		case "agents":
			k := b.Open(block.Body, block.DefRange, append([]string{"silent"}, relaySelectorAttrs...), nil)
			if k.Truth("silent", true) {
				p.SilentAgents = append(p.SilentAgents, SilentAgent{f.parseRelays(k)})
			}
		case "say":
			p.Commands = append(p.Commands, f.parseCommand(b, block, p.Duration))
		case "partner":
			p.HostChanges = append(p.HostChanges, f.parseHostChange(b, block, p.Duration))
		}
	}
	return p
}

func parseLinks(b hclfile.Block) Links {
	l, _ := b.One("links", "lose", "double", "reorder", "delay", "jitter", "late")
	return Links{Lose: l.Number("lose", 0, 0, 1), Double: l.Number("double", 0, 0, 1), Reorder: l.Number("reorder", 0, 0, 1),
		Delay: l.Span("delay", 0, 0, time.Minute), Jitter: l.Span("jitter", 0, 0, time.Minute),
		Late: l.Span("late", 50*time.Millisecond, 0, time.Minute)}
}

// parseResize returns nil for a phase that does not change the fleet's size.
func (f *parser) parseResize(b hclfile.Block) *Resize {
	g, ok := b.One("grow", "to", "every")
	if !ok {
		return nil
	}
	g.Need("to", "how many relays there are then")
	resize := &Resize{g.Whole("to", 1, 1, f.Relays), g.Span("every", 1500*time.Millisecond, 100*time.Millisecond, time.Minute)}
	if !f.Appliances {
		g.Fault(g.At, `a platform's fleet does not grow here: say form = "appliance"`)
	}
	return resize
}

func (f *parser) parseStop(b hclfile.Block, c *hcl.Block, phase time.Duration) Stop {
	k := b.Open(c.Body, c.DefRange, append([]string{"at", "for"}, relaySelectorAttrs...), nil)
	at := k.Span("at", 0, 0, phase)
	return Stop{RelaySelector: f.parseRelays(k), At: at, Duration: k.Span("for", phase-at, 10*time.Millisecond, maxSpan)}
}

func (f *parser) parseKill(b hclfile.Block, c *hcl.Block, phase time.Duration) Kill {
	k := b.Open(c.Body, c.DefRange, append([]string{"at", "again", "empty", "term"}, relaySelectorAttrs...), nil)
	return Kill{RelaySelector: f.parseRelays(k), At: k.Span("at", 0, 0, phase), RestartAfter: k.Span("again", 0, 0, maxSpan),
		EmptyDisk: k.Truth("empty", false), Graceful: k.Truth("term", false)}
}

func (f *parser) parseCommand(b hclfile.Block, c *hcl.Block, most time.Duration) Say {
	s := Say{What: Command(c.Labels[0])}
	attrs := []string{"relay", "at", "within", "target"}
	switch s.What {
	case CommandDrain, CommandUndrain:
	case CommandRemove, CommandRestore:
		attrs[3] = "of"
	default:
		b.Fault(c.LabelRanges[0], "say %q is unknown; allowed: %s, %s, %s, %s", s.What,
			CommandDrain, CommandUndrain, CommandRemove, CommandRestore)
	}
	if !f.Appliances {
		b.Fault(c.DefRange, `operators say nothing for the fleet to a platform's relays: say form = "appliance"`)
	}
	k := b.Open(c.Body, c.DefRange, attrs, nil)
	s.Relay, s.Of = k.Whole("relay", 0, 0, MaxRelays-1), k.Whole("of", 0, 0, MaxRelays-1)
	s.At, s.Within = k.Span("at", 0, 0, most), k.Span("within", time.Second, 10*time.Millisecond, time.Minute)
	if s.What == CommandDrain || s.What == CommandUndrain {
		k.Need("target", "partner:NAME or endpoint:PARTNER-HOST")
		s.Target = k.Text("target", "")
		scope, name, _ := strings.Cut(s.Target, ":")
		known := false
		for _, p := range f.Partners {
			known = known || scope == "partner" && name == p.Name
			for _, h := range p.Hosts {
				known = known || scope == "endpoint" && name == p.Endpoint(h)
			}
		}
		if !known && k.Has("target") {
			k.Fault(k.Where("target"), "target %q is none of the scenario: partner:NAME or endpoint:PARTNER-HOST", s.Target)
		}
	} else {
		k.Need("of", "the number of the relay that is gone")
	}
	return s
}

func parseCut(b hclfile.Block, c *hcl.Block) Cut {
	shape := Shape(c.Labels[0])
	k := b.Open(c.Body, c.DefRange, []string{"number", "one_way", "flap"}, nil)
	out := Cut{Shape: shape, OneWay: k.Truth("one_way", false), Flap: k.Span("flap", 0, 10*time.Millisecond, time.Minute)}
	switch shape {
	case CutSides:
		out.Number = k.Whole("number", 2, 2, MaxRelays)
	case CutAlone:
		out.Number = k.Whole("number", 1, 1, MaxRelays)
	case CutNobody, CutChain:
		if k.Has("number") || out.OneWay {
			b.Fault(c.DefRange, "cut %q takes neither number nor one_way", shape)
		}
	default:
		b.Fault(c.LabelRanges[0], "cut %q is unknown; allowed: %s, %s, %s, %s", shape, CutSides, CutAlone, CutNobody, CutChain)
	}
	return out
}

var relaySelectorAttrs = []string{"relays", "share", "steward_of", "spare_steward_of"}

func (f *parser) parseRelays(b hclfile.Block) RelaySelector {
	w := RelaySelector{Number: b.Whole("relays", 0, 1, MaxRelays), Share: b.Number("share", 0, 0, 1),
		Coordinator: b.Text("steward_of", ""), ExcludeCoordinator: b.Text("spare_steward_of", "")}
	if b.Has("relays") == b.Has("share") {
		b.Fault(b.At, "say which: relays = NUMBER, or share = PART of the fleet")
	}
	for _, a := range []string{"steward_of", "spare_steward_of"} {
		if b.Has(a) {
			f.knownPartner(b, a, b.Text(a, ""))
		}
	}
	return w
}

func (f *parser) knownPartner(b hclfile.Block, attr, name string) Partner {
	p, ok := f.names[name]
	if !ok {
		b.Fault(b.Where(attr), "partner %q is unknown", name)
	}
	return p
}

func (f *parser) parseHostChange(b hclfile.Block, c *hcl.Block, most time.Duration) HostChange {
	k := b.Open(c.Body, c.DefRange, []string{"hosts", "at", "for", "factor", "down", "hang", "wait"}, nil)
	at := k.Span("at", 0, 0, most)
	h := HostChange{Partner: c.Labels[0], Hosts: k.Texts("hosts"), At: at,
		Duration: k.Span("for", most-at, 10*time.Millisecond, maxSpan),
		Factor:   k.Number("factor", 1, 0.001, 1000), Down: k.Truth("down", false), Hang: k.Truth("hang", false),
		RetryAfter: k.Span("wait", 0, 0, time.Minute)}
	p, ok := f.names[h.Partner]
	if !ok {
		b.Fault(c.LabelRanges[0], "partner %q is unknown", h.Partner)
	}
	for _, n := range h.Hosts {
		if !hasHost(p, n) {
			k.Fault(k.Where("hosts"), "partner %q has no host %q", p.Name, n)
		}
	}
	return h
}
