// Package config reads and checks the operator's file: what a relay needs to know that no platform
// tells it. The file is HCL. Everything wrong with it is told at once, each fault with its file, line,
// column and what is allowed; a file with a fault yields nothing.
package config

import (
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/choice"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/hclfile"
	"larchrouter/internal/relay/override"
	"larchrouter/internal/relay/quota"
)

type (
	// Fault is one thing that is wrong with a file.
	Fault = hclfile.Fault
	// Faults are all that is wrong with a file, in the order of its lines.
	Faults = hclfile.Faults
)

// File is a file that was read without a fault, with the defaults filled in.
type File struct {
	Path       string
	Listen     string // host:port
	State      string // folder, absolute
	Limits     Limits
	Ends       Ends
	Control    Control
	Rules      choice.Rules
	Classes    []choice.Class
	Zones      []Zone
	Kinds      []Kind
	Partners   []Partner
	StopWithin time.Duration // an orderly stop takes no longer
	Journal    Journal
	Fleet      *Fleet // nil for a relay that shares nothing with others
}

// Fleet are the relays that share limits and drains. All of them have the same, but for Name and Listen.
type Fleet struct {
	Name   string   // this relay's
	Listen string   // where notes of the others come, ip:port
	Relays []Member // sorted by name, this one among them
}

// Member is a relay of a fleet.
type Member struct {
	Name    string
	Address string // where the others send notes for it, ip:port
	Weight  int    // parts that it has of each limit
}

// Self is the place of this relay among all.
func (f *Fleet) Self() int {
	return slices.IndexFunc(f.Relays, func(m Member) bool { return m.Name == f.Name })
}

// Weights are the parts that they have of each limit.
func (f *Fleet) Weights() (all []int) {
	for _, m := range f.Relays {
		all = append(all, m.Weight)
	}
	return all
}

// Names are those of all relays.
func (f *Fleet) Names() []string { return names(f.Relays, func(m Member) string { return m.Name }) }

// Journal is the durable record.
type Journal struct {
	Power bool // it outlasts a loss of power, not just the end of the process
}

// Limits bound what a relay uses.
type Limits struct {
	Held        int // messages
	Slots       int // calls out at once
	Attempts    int // for one message
	Descriptors int // half of them for clients
	MemoryMB    float64
	DiskMB      float64
	Cores       int // 0 for all
}

// Ends say how long the end of a message can be asked for.
type Ends struct {
	Keep int
	For  time.Duration
}

// Control is the local control socket.
type Control struct {
	Enabled bool
	Socket  string // absolute
}

// Zone is a place that endpoints are in.
type Zone struct {
	Name string
	Fee  float64 // share of a message's worth that a route into it costs
}

// Kind is a kind of partner.
type Kind struct {
	Name string
	choice.Kind
}

// Partner is one that messages are for.
type Partner struct {
	Name      string
	Number    int // stands for the name where the platform has a number; the same for a name at any time
	Kind      string
	Classes   []string // that it takes
	Endpoints []Endpoint
	Limit     *quota.Limit // of all relays together; nil where it is to be found out
}

// Endpoint is one place where a partner takes messages.
type Endpoint struct {
	ID      string
	Address string // host:port
	Zone    string
}

// The bounds of what a file may say.
const (
	maxFile    = 4 << 20 // bytes
	maxSocket  = 107     // bytes of a Unix socket's path, after unix(7)
	maxHeld    = 1_000_000
	maxSlots   = 10_000
	maxRelays  = fleetlimit.MaxQuotaRelays
	perHeld    = 1 << 10 // bytes on disk that a held message with a small body takes, half of them for compaction
	perEnd     = 512     // bytes on disk of an end, likewise
	keptBack   = 16      // descriptors for neither clients nor partners
	leastFiles = 64
)

var (
	defaultZone  = "default"
	builtinKinds = []Kind{
		{"separate", choice.Kind{Apart: true, PerCall: 1}},
		{"shared", choice.Kind{PerCall: 1}},
	}
	effects = map[string]choice.Effect{"safe": choice.Safe, "keyed": choice.Keyed, "unsafe": choice.Unsafe}
)

// DefaultClasses are those of a file that names none.
func DefaultClasses() []choice.Class {
	return []choice.Class{
		{Name: "job-order", Effect: choice.Keyed, Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1, LateShare: 0.3,
			Window: 15 * time.Second, SameZone: true},
		{Name: "status-update", Effect: choice.Safe, Aim: 3 * time.Second, Deadline: 24 * time.Second, Worth: 2, LateShare: 0.5},
		{Name: "payment", Effect: choice.Unsafe, Aim: 4 * time.Second, Deadline: 20 * time.Second, Worth: 5, LateShare: 0.3},
	}
}

// DefaultRules are the figures of the operating rules of a file that says nothing of them.
func DefaultRules() choice.Rules {
	return choice.Rules{AnswerGrace: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond, OverloadFactor: 2,
		Fall: 2 * time.Second, ColdFrom: 0.22, Cold: 13 * time.Second}
}

// Number is the number that stands for a partner's name. It depends on nothing else, as the journal holds it.
func Number(partner string) int { return int(crc32.ChecksumIEEE([]byte(partner)) & 0x7fffffff) }

// Read reads and checks a file. Paths in it are relative to its own folder.
func Read(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Faults{{File: path, Text: reason(err)}}
	}
	if info.Size() > maxFile {
		return nil, Faults{{File: path, Text: fmt.Sprintf("has %d bytes, %d at most", info.Size(), maxFile)}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Text: reason(err)}}
	}
	abs, err := filepath.Abs(path)
	if err != nil {
		return nil, Faults{{File: path, Text: err.Error()}}
	}
	return Parse(data, path, filepath.Dir(abs))
}

func reason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Parse checks what a file holds. Path is for the diagnostics; dir is the folder that paths in it are relative to.
func Parse(data []byte, path, dir string) (*File, error) {
	top, err := hclfile.Parse(data, path,
		[]string{"listen", "state", "stop_within"},
		map[string]string{"limits": "", "ends": "", "journal": "", "control": "", "rules": "", "fleet": "", "class": "name", "zone": "name", "kind": "name",
			"partner": "name"})
	if err != nil {
		return nil, err
	}
	f := &File{Path: path, Listen: top.Text("listen", ""), StopWithin: top.Span("stop_within", 10*time.Second, time.Second, time.Hour)}
	top.Need("listen", `where clients connect, such as listen = "127.0.0.1:8080"`)
	if top.Has("listen") && f.Listen != "" {
		address(top, "listen", f.Listen, 0)
	}
	f.State = under(dir, top.Text("state", "larchrouter-state"))
	f.limits(top)
	j, _ := top.One("journal", "durability")
	f.Journal.Power = j.Choose("durability", "process", "process", "power") == "power"
	f.control(top)
	f.Rules = ReadRules(top, time.Hour)
	f.classes(top)
	f.zones(top)
	f.kinds(top)
	f.partners(top)
	f.fleet(top)
	if top.Any() {
		return nil, top.Sorted()
	}
	return f, nil
}

func under(dir, path string) string {
	if filepath.IsAbs(path) {
		return filepath.Clean(path)
	}
	return filepath.Join(dir, path)
}

// address faults what is no host:port.
func address(b hclfile.Block, name, addr string, leastPort int) {
	host, port, err := net.SplitHostPort(addr)
	n, perr := strconv.Atoi(port)
	if err != nil || host == "" || perr != nil || n < leastPort || n > 65535 || strings.ContainsAny(host, " /\\") {
		b.Fault(b.Where(name), `%s is %q, must be host:port with a port from %d to 65535, such as "127.0.0.1:8080" or "[::1]:8080"`,
			name, addr, leastPort)
	}
}

func (f *File) limits(top hclfile.Block) {
	b, _ := top.One("limits", "held", "slots", "attempts", "descriptors", "memory_mb", "disk_mb", "cores")
	f.Limits = Limits{
		Held: b.Whole("held", 2000, 1, maxHeld), Slots: b.Whole("slots", 32, 1, maxSlots), Attempts: b.Whole("attempts", 6, 1, 100),
		Descriptors: b.Whole("descriptors", 1024, leastFiles, 1_000_000), MemoryMB: b.Number("memory_mb", 256, 32, 1<<20),
		DiskMB: b.Number("disk_mb", 256, 1, 1<<20), Cores: b.Whole("cores", 0, 0, 1024)}
	if l, least := f.Limits, 2*(f.Limits.Slots+keptBack); l.Descriptors < least {
		b.Fault(b.Where("descriptors"), "descriptors is %d, must be at least %d for %d slots: half are for clients, %d are kept back, and each call out takes one",
			l.Descriptors, least, l.Slots, keptBack)
	}
	e, _ := top.One("ends", "keep", "for")
	f.Ends = Ends{Keep: e.Whole("keep", 10_000, 0, maxHeld), For: e.Span("for", 24*time.Hour, time.Second, 30*24*time.Hour)}
	least := 2 * (float64(f.Limits.Held)*perHeld + float64(f.Ends.Keep)*perEnd) / 1e6
	if f.Limits.DiskMB < least {
		b.Fault(b.Where("disk_mb"), "disk_mb is %s, must be at least %.0f for %d messages held and %d ends kept: what is live may take half of it, so that the rest can be compacted",
			hclfile.Show(f.Limits.DiskMB), least+0.5, f.Limits.Held, f.Ends.Keep)
	}
}

func (f *File) control(top hclfile.Block) {
	b, _ := top.One("control", "enabled", "socket")
	f.Control = Control{Enabled: b.Truth("enabled", true), Socket: under(f.State, b.Text("socket", "control.sock"))}
	if n := len(f.Control.Socket); f.Control.Enabled && n > maxSocket {
		b.Fault(b.Where("socket"), "the control socket's path %q has %d bytes, a Unix socket's may have %d: choose a shorter state folder or socket",
			f.Control.Socket, n, maxSocket)
	}
}

// ReadRules reads a rules block, in which cold may take so long.
func ReadRules(top hclfile.Block, mostCold time.Duration) choice.Rules {
	b, _ := top.One("rules", "overload_factor", "fall", "cold_from", "cold")
	r := DefaultRules()
	r.OverloadFactor = b.Number("overload_factor", r.OverloadFactor, 1, 100)
	r.Fall = b.Span("fall", r.Fall, 100*time.Millisecond, time.Minute)
	r.ColdFrom = b.Number("cold_from", r.ColdFrom, 0.01, 1)
	r.Cold = b.Span("cold", r.Cold, time.Second, mostCold)
	return r
}

// ReadLimit reads the limit block of a partner, whose rate is so much at least; nil if there is none.
func ReadLimit(partner hclfile.Block, leastRate float64) *quota.Limit {
	l, ok := partner.One("limit", "rate", "burst", "at_once")
	if !ok {
		return nil
	}
	l.Need("rate", "calls a second that all relays together may make, such as rate = 50")
	rate := l.Number("rate", 1, leastRate, 1e5)
	return &quota.Limit{Rate: rate, Burst: l.Number("burst", max(1, rate/4), 1, 1e5), MaxConcurrent: l.Whole("at_once", 0, 0, 1e5)}
}

func (f *File) classes(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	any := false
	for _, c := range top.Blocks {
		if c.Type != "class" {
			continue
		}
		any = true
		n, ok := top.Label("class", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"effect", "aim", "deadline", "worth", "late_share", "window", "same_zone"}, nil)
		b.Need("effect", "safe (a repeat does no harm), keyed (the partner drops repeats for the window) or unsafe (a repeat must never happen)")
		b.Need("deadline", "when a message is given up, such as \"20s\"")
		effect := effects[b.Choose("effect", "unsafe", "safe", "keyed", "unsafe")]
		k := choice.Class{Name: n, Effect: effect, Deadline: b.Span("deadline", 20*time.Second, 10*time.Millisecond, 24*time.Hour),
			Worth: b.Number("worth", 1, 0, 1e6), LateShare: b.Number("late_share", 0.3, 0, 1)}
		k.Aim = b.Span("aim", min(k.Deadline, 2*time.Second), 10*time.Millisecond, 24*time.Hour)
		if k.Aim > k.Deadline {
			b.Fault(b.Where("aim"), "aim is %v, must be at most the deadline, %v", k.Aim, k.Deadline)
		}
		if effect == choice.Keyed {
			b.Need("window", "how long partners remember a key, such as \"15s\"")
		} else {
			for _, a := range []string{"window", "same_zone"} {
				if b.Has(a) {
					b.Fault(b.Attrs[a].NameRange, "%s is for classes with effect = \"keyed\" alone", a)
				}
			}
		}
		k.Window = b.Span("window", 0, 0, 24*time.Hour)
		k.SameZone = b.Truth("same_zone", false)
		if ok {
			f.Classes = append(f.Classes, k)
		}
	}
	if !any {
		f.Classes = DefaultClasses()
	}
}

func (f *File) zones(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	for _, c := range top.Blocks {
		if c.Type != "zone" {
			continue
		}
		n, ok := top.Label("zone", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"fee"}, nil)
		if fee := b.Number("fee", 0, 0, 1); ok {
			f.Zones = append(f.Zones, Zone{n, fee})
		}
	}
}

func (f *File) kinds(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	f.Kinds = append(f.Kinds, builtinKinds...)
	for _, c := range top.Blocks {
		if c.Type != "kind" {
			continue
		}
		n, ok := top.Label("kind", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"separate_limits", "per_call"}, nil)
		k := Kind{n, choice.Kind{Apart: b.Truth("separate_limits", true), PerCall: b.Whole("per_call", 1, 1, 100)}}
		if slices.ContainsFunc(builtinKinds, func(o Kind) bool { return o.Name == n }) {
			b.Fault(c.LabelRanges[0], "kind %q is built in; give yours another name", n)
		} else if ok {
			f.Kinds = append(f.Kinds, k)
		}
	}
}

func names[T any](all []T, name func(T) string) []string {
	var out []string
	for _, one := range all {
		out = append(out, name(one))
	}
	return out
}

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
		p := Partner{Name: n, Number: Number(n), Kind: b.Choose("kind", builtinKinds[0].Name, kinds...), Classes: b.Texts("classes")}
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
			b.Fault(b.Where("classes"), "classes is empty: leave it out for all, or name some of %s", strings.Join(classes, ", "))
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
			top.Fault(c.LabelRanges[0], "no partner takes class %q: add it to the classes of one, or take the class out", c.Labels[0])
		}
	}
	if len(f.Zones) == 0 { // none declared: those that are used
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

func (f *File) endpoint(b hclfile.Block, partner string, c *hcl.Block, ids map[string]hcl.Range, addrs map[string]string, zones []string) Endpoint {
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
		address(e, "address", end.Address, 1)
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

// fleet reads the relays of a fleet. Notes carry no keys yet, so their addresses must not be reachable from outside.
func (f *File) fleet(top hclfile.Block) {
	at := slices.IndexFunc(top.Blocks, func(c *hcl.Block) bool { return c.Type == "fleet" })
	if at < 0 {
		return
	}
	for _, c := range top.Blocks[at+1:] {
		if c.Type == "fleet" {
			top.Fault(c.DefRange, "a second fleet block; one is allowed, the first is in line %d", top.Blocks[at].DefRange.Start.Line)
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
			private(m, "address", addr, 1)
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
		b.Fault(b.Where("name"), "name is %q, but there is no relay %q { address = ... } in the block; it has: %s", fleet.Name, fleet.Name, strings.Join(fleet.Names(), ", "))
	case i >= 0 && !b.Has("listen"):
		fleet.Listen = fleet.Relays[i].Address
	}
	if b.Has("listen") {
		private(b, "listen", fleet.Listen, 1)
	}
	f.Fleet = fleet
}

// private faults what is no ip:port on loopback or in a private network.
func private(b hclfile.Block, name, addr string, leastPort uint16) {
	a, err := netip.ParseAddrPort(addr)
	switch ip := a.Addr().Unmap(); {
	case err != nil || a.Port() < leastPort:
		b.Fault(b.Where(name), `%s is %q, must be ip:port, such as "10.0.0.1:7946" or "[fd00::1]:7946"`, name, addr)
	case !ip.IsLoopback() && !ip.IsPrivate():
		b.Fault(b.Where(name), "%s is %q, must be on loopback or in a private network (RFC 1918, RFC 4193): notes between relays carry no keys", name, addr)
	}
}
