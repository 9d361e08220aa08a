// Package config reads and checks the operator's file, which configures a relay that runs without a platform. The file is HCL.
// All faults of a file are reported at once, each with file, line, column and the allowed values; a file with a fault
// yields no File.
package config

import (
	"hash/crc32"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/hclfile"
	"larchrouter/internal/relay/quota"
)

type (
	// Fault is one thing that is wrong with a file.
	Fault = hclfile.Fault
	// Faults are all that is wrong with a file, in the order of its lines.
	Faults = hclfile.Faults
)

// File is a valid file with all defaults filled in.
type File struct {
	Path       string
	Listen     string // host:port
	State      string // directory, absolute
	Limits     Limits
	Ends       Ends
	Control    Control
	Rules      choice.Rules
	Classes    []choice.Class
	Zones      []Zone
	Kinds      []Kind
	Partners   []Partner
	StopWithin time.Duration // limit of a graceful stop
	Journal    Journal
	Fleet      *Fleet // nil without a fleet
}

// Journal configures the journal.
type Journal struct {
	Power bool // records survive a loss of power, not just the end of the process
}

// Limits limits the resources of a relay.
type Limits struct {
	Held        int // pending messages
	Slots       int // concurrent calls
	Attempts    int // for one message
	Descriptors int // half of them for clients
	MemoryMB    float64
	DiskMB      float64
	Cores       int // 0 for all
}

// Ends limits the retained outcomes of messages.
type Ends struct {
	Keep int
	For  time.Duration
}

// Control configures the local admin socket.
type Control struct {
	Enabled bool
	Socket  string // absolute
}

// Zone is a location of endpoints.
type Zone struct {
	Name string
	Fee  float64 // cost of a route into it, as a share of a message's value
}

// Kind is a kind of partner.
type Kind struct {
	Name string
	choice.Kind
}

// Partner is a recipient of messages.
type Partner struct {
	Name      string
	Number    int // from Number
	Kind      string
	Classes   []string // accepted classes
	Endpoints []Endpoint
	Limit     *quota.Limit // for all relays together; nil if unknown
}

// Endpoint is one address of a partner.
type Endpoint struct {
	ID      string
	Address string // host:port
	Zone    string
}

// Limits of a file, and sizes that are derived from it.
const (
	maxFile             = 4 << 20 // bytes
	maxSocket           = 107     // bytes of a Unix socket's path, after unix(7)
	maxHeld             = 1_000_000
	maxSlots            = 10_000
	maxRelays           = fleetlimit.MaxQuotaRelays
	bytesPerMessage     = 1 << 10 // on the disk, for a pending message with a small body; half of it for compaction
	bytesPerOutcome     = 512     // on the disk, for a retained outcome; half of it for compaction
	reservedDescriptors = 16      // descriptors used for neither clients nor partners
	minDescriptors      = 64
)

var (
	defaultZone  = "default"
	builtinKinds = []Kind{
		{"separate", choice.Kind{Apart: true, PerCall: 1}},
		{"shared", choice.Kind{PerCall: 1}},
	}
	effects = map[string]choice.Effect{"safe": choice.Safe, "keyed": choice.Keyed, "unsafe": choice.Unsafe}
)

// DefaultClasses returns the classes of a file without any.
func DefaultClasses() []choice.Class {
	return []choice.Class{
		{Name: "job-order", Effect: choice.Keyed, Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1, LateShare: 0.3,
			Window: 15 * time.Second, SameZone: true},
		{Name: "status-update", Effect: choice.Safe, Aim: 3 * time.Second, Deadline: 24 * time.Second, Worth: 2,
			LateShare: 0.5},
		{Name: "payment", Effect: choice.Unsafe, Aim: 4 * time.Second, Deadline: 20 * time.Second, Worth: 5, LateShare: 0.3},
	}
}

// DefaultRules returns the default operating rules.
func DefaultRules() choice.Rules {
	return choice.Rules{AnswerGrace: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond, OverloadFactor: 2,
		Fall: 2 * time.Second, ColdFrom: 0.22, Cold: 13 * time.Second}
}

// Number returns the number of a partner. It depends on the name only and never changes, as the journal stores it.
func Number(partner string) int { return int(crc32.ChecksumIEEE([]byte(partner)) & 0x7fffffff) }
