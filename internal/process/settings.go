package process

import (
	"net"
	"os"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// SettingsVariable is the name of the environment variable that has the path of the settings file.
const SettingsVariable = "LARCHROUTER_NODE_FILE"

// ErrSettings marks errors of settings that cannot be used. The message names the field, its value and a remedy.
var ErrSettings = errors.New("settings file")

// ErrNoSettingsFile marks the error of a process to which no settings file was named. It is an ErrSettings too.
var ErrNoSettingsFile = errors.New("no settings file was named")

// Settings are the contents of the settings file of one process, as the platform writes it. Unknown fields of the file
// are ignored. A checked value does not change.
type Settings struct {
	NodeName     string            `yaml:"node_name"`     // of the machine; never empty
	NodeRole     string            `yaml:"node_role"`     // not used
	MachineClass string            `yaml:"machine_class"` // shown to operators
	ServedRoles  []string          `yaml:"served_roles"`  // not used
	IP           string            `yaml:"ip_addr"`       // IPv4, under which other nodes call this one
	Zone         string            `yaml:"zone_name"`
	Region       string            `yaml:"region_name"`
	Zones        map[string]string `yaml:"zones"` // region of each zone

	// Addresses to listen at, HOST:PORT; empty where a program has no use for one.
	Bind struct {
		Front   string `yaml:"front_addr"`   // for clients
		Ready   string `yaml:"ready_addr"`   // for the platform's readiness probes
		Control string `yaml:"control_addr"` // for operators and, at core nodes, one of the seeds
	} `yaml:"bind_addrs"`

	PortRange   []int    `yaml:"port_range"`   // first and last; the same on all machines; see PeerAddr
	Seeds       []string `yaml:"seed_nodes"`   // control addresses of core nodes, at least one
	Bootstrap   bool     `yaml:"bootstrap"`    // the seeds found the core; true at the very first start only
	LossCounted bool     `yaml:"loss_counted"` // not used

	// What the platform grants the process; 0 means no limit.
	Limits struct {
		CPUShare float64 `yaml:"cpu_share"`  // of a core; see GrantedCores
		Cores    float64 `yaml:"core_count"` // how many times as fast that core is
		MemoryMB float64 `yaml:"memory_mb"`  // in MiB
		MaxFDs   int     `yaml:"max_fds"`    // file descriptors
		LinkMbps float64 `yaml:"link_mbps"`  // see LinkBytesPerSecond
		DiskMB   float64 `yaml:"disk_mb"`    // in MiB
	} `yaml:"limits"`

	DataDir string `yaml:"data_dir"` // folder of the process; empty where it has no disk

	// How many failures at once must not lose anything; see FaultTolerance.
	Tolerance struct {
		Machines int `yaml:"machine_losses"`
		Zones    int `yaml:"zones"`
		Regions  int `yaml:"region_losses"` // not used
	} `yaml:"fault_tolerance"`

	Bounds TimingBounds `yaml:"timing_bounds"` // see TimingBound

	// The platform: its list of hosts, and the duties that it expects of one node at a time.
	Platform struct {
		Address  string   `yaml:"address"`    // HOST:PORT; empty where there is none
		Rate     float64  `yaml:"rate_per_s"` // not used
		MaxLagMs float64  `yaml:"max_lag_ms"` // not used
		Duties   []string `yaml:"duty_list"`
		DutyRate float64  `yaml:"duty_per_s"` // calls a second that it takes for all duties; not used: the tier makes a few
	} `yaml:"cloud_api"`

	contents []byte // of the file
}

// HasDuty reports whether the platform expects a duty.
func (s *Settings) HasDuty(name string) bool { return slices.Contains(s.Platform.Duties, name) }

// Load reads and checks the file that SettingsVariable names. Its errors are ErrSettings.
func Load() (*Settings, error) {
	path := os.Getenv(SettingsVariable)
	if path == "" {
		err := errors.Newf("%s is not set: set it to the path of the node's settings file", SettingsVariable)
		return nil, errors.Mark(errors.Mark(err, ErrNoSettingsFile), ErrSettings)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		err = errors.Wrapf(err, "settings file: make it readable, or correct %s", SettingsVariable)
		return nil, errors.Mark(err, ErrSettings)
	}
	return Parse(b)
}

// Parse reads and checks the contents of a settings file. Its errors are ErrSettings.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{contents: b}
	if err := yaml.Unmarshal(b, s); err != nil {
		err = errors.Wrap(err, "settings file is not the YAML that a node needs: correct the line named")
		return nil, errors.Mark(err, ErrSettings)
	}
	if err := s.check(); err != nil {
		return nil, errors.Mark(err, ErrSettings)
	}
	return s, nil
}

// Port is the offset of a program's peer address in the port range: programs of two roles may share a machine.
type Port int

// The programs that take calls from other nodes of the tier.
const (
	CorePort Port = iota + 1
	StorePort
)

// PeerAddr returns the address HOST:PORT at which a program takes calls of other nodes, on the machine of an IP address
// or of a HOST:PORT.
func (s *Settings) PeerAddr(ip string, p Port) string {
	if host, _, err := net.SplitHostPort(ip); err == nil {
		ip = host
	}
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+int(p)))
}

// SeedPeerAddrs returns the addresses of the seeds for calls between nodes.
func (s *Settings) SeedPeerAddrs() (addrs []string) {
	for _, seed := range s.Seeds {
		addrs = append(addrs, s.PeerAddr(seed, CorePort))
	}
	return addrs
}

// FaultTolerance returns how many replicas may be lost at once. Replicas are spread over as many zones as there are, so
// that the loss of a zone is the loss of one replica.
func (s *Settings) FaultTolerance() int { return max(s.Tolerance.Machines, s.Tolerance.Zones) }

// ReplicationFactor returns how many replicas there are: when as many are lost as are tolerated, a majority is left.
func (s *Settings) ReplicationFactor() int { return 2*s.FaultTolerance() + 1 }

// SameRegion reports whether a zone is in this node's region.
func (s *Settings) SameRegion(zone string) bool { return s.Zones[zone] == s.Region }
