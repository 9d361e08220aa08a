// Package scenario reads a scenario of load and faults, an HCL file that people write, and works out from it what
// happens when: to which link, relay, agent and host. It decides nothing about relays and does no I/O, so the same file
// can be played with real processes (internal/relay/chaostest) and in virtual time.
package scenario

import (
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/choice"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/hclfile"
	"larchrouter/internal/relay/quota"
)

// The bounds of a scenario: a trial ends by itself, on a machine that has other things to do.
const (
	MaxRelays = 64
	maxSpan   = 15 * time.Minute
	maxRate   = 2000 // messages a second
	maxPhases = 200
)

// Scenario is a file that was read without a fault, with the defaults filled in.
type Scenario struct {
	Title, About   string
	Seed           uint64
	Standalone     bool // relays of their own that share nothing
	Appliances     bool // relays of their own, with an operator's file each, in place of the platform's
	Relays         int
	InitialRelays  int // of them in the relays' files at first, and started; 0 for all
	Slots          int // calls out at once, for each relay
	MaxPending     int // messages that each relay holds at most
	Attempts       int // for one message
	Rules          choice.Rules
	Classes        []choice.Class
	Partners       []Partner
	Phases         []Phase
	RandomSchedule *RandomSchedule // further phases, drawn by the seed; nil for none
	Expect         []Expectation
}

// Partner is one destination and the messages that clients have for it.
type Partner struct {
	Name  string
	Hosts []Host
	Loads []Load
	Limit *quota.Limit // told to the relays; nil where they have to find it out
}

// Endpoint is the name of a host's endpoint, by which relays of their own know it.
func (p Partner) Endpoint(h Host) string { return p.Name + "-" + h.Name }

// Host is one endpoint, with a limit of its own.
type Host struct {
	Name          string
	Rate          float64       // calls a second, from all relays
	Burst         float64       // calls that it takes at once after a rest
	Debt          float64       // refused calls use the limit up, to so many below none
	MaxConcurrent int           // calls that it works on at once; 0 for any number
	RetryAfter    time.Duration // told with a refusal; 0 for none
	Latency       time.Duration
	ColdStart     bool // it comes back with the rules' share of its rate, and falls over when it is pushed
}

// Load are messages that clients hand in, at times by chance.
type Load struct {
	Class     string
	Rate      float64       // a second, of all clients
	Timeout   time.Duration // how long a message may be delivered
	HotRelays int           // so many relays get ...
	HotFactor float64       // ... so many times what the others get
}

// Phase is a span of the scenario in which the same faults hold.
type Phase struct {
	Name         string
	Duration     time.Duration
	Cuts         []Cut
	Links        Links
	Stops        []Stop
	Kills        []Kill
	SilentAgents []SilentAgent
	HostChanges  []HostChange
	Commands     []Say
	Resize       *Resize // nil for a fleet that stays as it is
	Expect       []Expectation
}

// Shape is how a cut parts the fleet.
type Shape string

// The shapes.
const (
	CutSides  Shape = "sides"  // so many, relay by relay in turn; a relay hears its own side
	CutAlone  Shape = "alone"  // so many relays hear nobody and are heard by nobody
	CutNobody Shape = "nobody" // hears anybody
	CutChain  Shape = "chain"  // each hears the relays before and after it in number
)

// Cut loses all notes between some relays.
type Cut struct {
	Shape  Shape
	Number int           // of sides, or of relays that are alone
	OneWay bool          // relays of odd sides, or those that are alone, still hear the others and are not heard
	Flap   time.Duration // the cut comes and goes, so long each; 0 for a cut that stays
}

// Links is what becomes of notes that are not cut off.
type Links struct {
	Lose, Double, Reorder float64 // share of the notes; a reordered one comes after Late
	Delay, Jitter, Late   time.Duration
}

// RelaySelector selects relays: by number or share, drawn by the seed, with or without a partner's steward.
type RelaySelector struct {
	Number             int     // 0 for Share
	Share              float64 // of the fleet
	Coordinator        string  // the steward of this partner's destination is the first of them
	ExcludeCoordinator string  // the steward of this partner's destination is not one of them
}

// Stop has relays stand still (SIGSTOP) and go on (SIGCONT) without knowing it.
type Stop struct {
	RelaySelector
	At, Duration time.Duration
}

// Kill ends relays.
type Kill struct {
	RelaySelector
	At           time.Duration
	RestartAfter time.Duration // until they start again; 0 for never
	EmptyDisk    bool          // with an empty folder
	Graceful     bool          // SIGTERM, and SIGKILL 3.7 s later, in place of SIGKILL
}

// SilentAgent has the platform's agents of relays be silent for the phase.
type SilentAgent struct{ RelaySelector }

// Command is what an operator says for the whole fleet.
type Command string

// The sayings. Drains and their ends have a target, the others a relay.
const (
	CommandDrain   Command = "drain"
	CommandUndrain Command = "undrain"
	CommandRemove  Command = "gone" // a relay, for good
	CommandRestore Command = "back" // it is not gone any more
)

// Say has an operator say something at a relay.
type Say struct {
	What   Command
	Target string // of a drain: partner:NAME or endpoint:PARTNER-HOST
	Of     int    // the relay that is gone
	Relay  int    // at which it is said
	At     time.Duration
	Within time.Duration // a relay that some chain of links joins to that one goes by it
}

// Resize has the fleet become larger or smaller, as operators are told to: those that leave end first, the others get files with
// the new list and are restarted one after another, and those that are new start last.
type Resize struct {
	To       int
	Interval time.Duration // from one restart to the next
}

// HostChange is what becomes of a partner's hosts for a time.
type HostChange struct {
	Partner      string
	Hosts        []string // empty for all
	At, Duration time.Duration
	Factor       float64       // of the rate
	Down         bool          // no connection
	Hang         bool          // no answer
	RetryAfter   time.Duration // every call is turned away and told to wait so long; 0 for no such thing
}

// RandomSchedule is a course of faults drawn by the seed: so many phases, each with a fault and a calm one after it.
type RandomSchedule struct {
	Phases                      int
	FaultDuration, CalmDuration time.Duration
}

// Expectation is a bound on a part of a phase, or of the whole scenario.
type Expectation struct {
	From, To     time.Duration // of the phase; To is 0 for its end
	MinDelivered float64       // at least, of what could be: what hosts take, or what is handed in if that is less
	MaxOffered   float64       // at most, calls of any one second over what hosts take in it, less their bursts; 0 for no bound
	MaxRefused   float64       // at most, of the calls; 0 for no bound
}

// Span is how long messages are handed in.
func (s *Scenario) Span() (d time.Duration) {
	for _, p := range s.Phases {
		d += p.Duration
	}
	if s.RandomSchedule != nil {
		d += time.Duration(s.RandomSchedule.Phases) * (s.RandomSchedule.FaultDuration + s.RandomSchedule.CalmDuration)
	}
	return d
}

// ClassByName is the class of a name.
func (s *Scenario) ClassByName(name string) (choice.Class, int) {
	for i, c := range s.Classes {
		if c.Name == name {
			return c, i
		}
	}
	return choice.Class{}, -1
}

// Parse reads a scenario. What is wrong with it are hclfile.Faults.
func Parse(data []byte, path string) (*Scenario, error) {
	top, err := hclfile.Parse(data, path,
		[]string{"title", "about", "seed", "form", "share", "listed", "relays", "slots", "held", "attempts"},
		map[string]string{"partner": "name", "phase": "name", "draw": "", "expect": "", "rules": ""})
	if err != nil {
		return nil, err
	}
	s := &Scenario{Title: top.Text("title", path), About: top.Text("about", " "), Seed: uint64(top.Whole("seed", 1, 0, 1<<31)),
		Relays: top.Whole("relays", 8, 1, MaxRelays), Slots: top.Whole("slots", 32, 1, 1000), MaxPending: top.Whole("held", 256, 1, 100_000),
		Attempts: top.Whole("attempts", 6, 1, 100), Classes: config.DefaultClasses(), Rules: config.ReadRules(top, time.Minute)}
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

// parser is a scenario while it is read.
type parser struct {
	*Scenario
	names map[string]Partner
}

func (f *parser) parsePartners(top hclfile.Block) {
	seen, rate := map[string]hcl.Range{}, 0.0
	for _, c := range top.Blocks {
		if c.Type != "partner" {
			continue
		}
		n, _ := top.Label("partner", c, seen)
		b := top.Open(c.Body, c.DefRange, nil, map[string]string{"host": "name", "load": "class", "limit": ""})
		p := Partner{Name: n}
		hosts := map[string]hcl.Range{}
		for _, c := range b.Blocks {
			if c.Type == "host" {
				p.Hosts = append(p.Hosts, parseHost(b, c, hosts))
				continue
			}
			if c.Type == "limit" {
				if !f.Appliances {
					b.Fault(c.DefRange, `a platform tells no limits: say form = "appliance"`)
				}
				continue
			}
			l := f.parseLoad(b, c)
			rate += l.Rate
			p.Loads = append(p.Loads, l)
		}
		p.Limit = config.ReadLimit(b, 0.1)
		if len(p.Hosts) == 0 {
			top.Fault(c.DefRange, `partner %q has no host: add host "a" { rate = 100 }`, n)
		}
		f.Partners = append(f.Partners, p)
		f.names[n] = p
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
	return Load{Class: c.Labels[0], Rate: l.Number("rate", 1, 0.1, maxRate), Timeout: l.Span("within", min(3*time.Second, k.Deadline), 100*time.Millisecond, k.Deadline),
		HotRelays: l.Whole("hot", 0, 0, MaxRelays), HotFactor: l.Number("hot_times", 10, 1, 1000)}
}

func (f *parser) parsePhases(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	for _, c := range top.Blocks {
		switch c.Type {
		case "phase":
			n, _ := top.Label("phase", c, seen)
			f.Phases = append(f.Phases, f.parsePhase(top, n, c))
		case "draw":
			b := top.Open(c.Body, c.DefRange, []string{"phases", "for", "calm"}, nil)
			f.RandomSchedule = &RandomSchedule{Phases: b.Whole("phases", 6, 1, maxPhases), FaultDuration: b.Span("for", 5*time.Second, time.Second, time.Minute),
				CalmDuration: b.Span("calm", 6*time.Second, time.Second, time.Minute)}
		}
	}
	if len(f.Phases) == 0 || len(f.Phases) > maxPhases {
		top.Fault(top.At, `%d phases, must be from 1 to %d: add phase "whole" { for = "10s" }`, len(f.Phases), maxPhases)
	}
}

func (f *parser) parsePhase(top hclfile.Block, name string, c *hcl.Block) Phase {
	b := top.Open(c.Body, c.DefRange, []string{"for"}, map[string]string{"cut": "shape", "links": "", "stop": "", "kill": "", "agents": "", "say": "what", "grow": "",
		"partner": "name", "expect": ""})
	b.Need("for", `how long it lasts, such as for = "8s"`)
	p := Phase{Name: name, Duration: b.Span("for", time.Second, 100*time.Millisecond, maxSpan), Expect: parseExpectations(b, maxSpan)}
	l, _ := b.One("links", "lose", "double", "reorder", "delay", "jitter", "late")
	p.Links = Links{Lose: l.Number("lose", 0, 0, 1), Double: l.Number("double", 0, 0, 1), Reorder: l.Number("reorder", 0, 0, 1),
		Delay: l.Span("delay", 0, 0, time.Minute), Jitter: l.Span("jitter", 0, 0, time.Minute), Late: l.Span("late", 50*time.Millisecond, 0, time.Minute)}
	if g, ok := b.One("grow", "to", "every"); ok {
		g.Need("to", "how many relays there are then")
		if p.Resize = (&Resize{g.Whole("to", 1, 1, f.Relays), g.Span("every", 1500*time.Millisecond, 100*time.Millisecond, time.Minute)}); !f.Appliances {
			g.Fault(g.At, `a platform's fleet does not grow here: say form = "appliance"`)
		}
	}
	for _, c := range b.Blocks {
		switch c.Type {
		case "cut":
			p.Cuts = append(p.Cuts, parseCut(b, c))
		case "stop":
			k := b.Open(c.Body, c.DefRange, append([]string{"at", "for"}, relaySelectorAttrs...), nil)
			at := k.Span("at", 0, 0, p.Duration)
			p.Stops = append(p.Stops, Stop{RelaySelector: f.parseRelays(k), At: at, Duration: k.Span("for", p.Duration-at, 10*time.Millisecond, maxSpan)})
		case "kill":
			k := b.Open(c.Body, c.DefRange, append([]string{"at", "again", "empty", "term"}, relaySelectorAttrs...), nil)
			p.Kills = append(p.Kills, Kill{RelaySelector: f.parseRelays(k), At: k.Span("at", 0, 0, p.Duration), RestartAfter: k.Span("again", 0, 0, maxSpan),
				EmptyDisk: k.Truth("empty", false), Graceful: k.Truth("term", false)})
		case "agents":
			k := b.Open(c.Body, c.DefRange, append([]string{"silent"}, relaySelectorAttrs...), nil)
			if k.Truth("silent", true) {
				p.SilentAgents = append(p.SilentAgents, SilentAgent{f.parseRelays(k)})
			}
		case "say":
			p.Commands = append(p.Commands, f.parseCommand(b, c, p.Duration))
		case "partner":
			p.HostChanges = append(p.HostChanges, f.parseHostChange(b, c, p.Duration))
		}
	}
	return p
}

func (f *parser) parseCommand(b hclfile.Block, c *hcl.Block, most time.Duration) Say {
	s := Say{What: Command(c.Labels[0])}
	attrs := []string{"relay", "at", "within", "target"}
	switch s.What {
	case CommandDrain, CommandUndrain:
	case CommandRemove, CommandRestore:
		attrs[3] = "of"
	default:
		b.Fault(c.LabelRanges[0], "say %q is unknown; allowed: %s, %s, %s, %s", s.What, CommandDrain, CommandUndrain, CommandRemove, CommandRestore)
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
	h := HostChange{Partner: c.Labels[0], Hosts: k.Texts("hosts"), At: at, Duration: k.Span("for", most-at, 10*time.Millisecond, maxSpan),
		Factor: k.Number("factor", 1, 0.001, 1000), Down: k.Truth("down", false), Hang: k.Truth("hang", false), RetryAfter: k.Span("wait", 0, 0, time.Minute)}
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
