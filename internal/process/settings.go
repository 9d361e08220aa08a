package process

import (
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// SettingsVariable names the environment variable that holds the path of the settings file.
const SettingsVariable = "LARCHROUTER_NODE_FILE"

// ErrSettings marks settings that cannot be used; the message names field, value and remedy.
var ErrSettings = errors.New("settings file")

// Settings are those of one process, as the platform writes them. Unknown fields are ignored.
type Settings struct {
	NodeName     string            `yaml:"node_name"`
	NodeRole     string            `yaml:"node_role"`
	MachineClass string            `yaml:"machine_class"`
	ServedRoles  []string          `yaml:"served_roles"`
	IP           string            `yaml:"ip_addr"`
	Zone         string            `yaml:"zone_name"`
	Region       string            `yaml:"region_name"`
	Zones        map[string]string `yaml:"zones"` // zone to region
	Bind         struct {
		Front   string `yaml:"front_addr"`
		Ready   string `yaml:"ready_addr"`
		Control string `yaml:"control_addr"`
	} `yaml:"bind_addrs"`
	PortRange   []int    `yaml:"port_range"`
	Seeds       []string `yaml:"seed_nodes"` // control addresses
	Bootstrap   bool     `yaml:"bootstrap"`
	LossCounted bool     `yaml:"loss_counted"`
	Limits      struct {
		CPUShare float64 `yaml:"cpu_share"`
		Cores    float64 `yaml:"core_count"`
		MemoryMB float64 `yaml:"memory_mb"`
		MaxFDs   int     `yaml:"max_fds"`
		LinkMbps float64 `yaml:"link_mbps"`
		DiskMB   float64 `yaml:"disk_mb"`
	} `yaml:"limits"`
	DataDir   string `yaml:"data_dir"`
	Tolerance struct {
		Machines int `yaml:"machine_losses"`
		Zones    int `yaml:"zones"`
		Regions  int `yaml:"region_losses"`
	} `yaml:"fault_tolerance"`
	Bounds   TimingBounds `yaml:"timing_bounds"`
	Platform struct {
		Address  string  `yaml:"address"`
		Rate     float64 `yaml:"rate_per_s"`
		MaxLagMs float64 `yaml:"max_lag_ms"`
	} `yaml:"cloud_api"`
}

// TimingBounds are numbers by name; true is 1 and false is 0. What is neither a number nor one of those is left out, as
// unknown fields are.
type TimingBounds map[string]float64

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (f *TimingBounds) UnmarshalYAML(b []byte) error {
	var all map[string]any
	if err := yaml.Unmarshal(b, &all); err != nil {
		return errors.Wrap(err, "timing_bounds: give figures by name")
	}
	*f = TimingBounds{}
	for name, value := range all {
		switch v := value.(type) {
		case bool:
			if (*f)[name] = 0; v {
				(*f)[name] = 1
			}
		case uint64:
			(*f)[name] = float64(v)
		case int64:
			(*f)[name] = float64(v)
		case float64:
			(*f)[name] = v
		}
	}
	return nil
}

// Port is the place of a program's peer address in the port range: two roles may share a machine.
type Port int

// The programs that take calls from other nodes of the tier.
const (
	CorePort Port = iota + 1
	StorePort
)

// Load reads and checks the file that SettingsVariable names.
func Load() (*Settings, error) {
	path := os.Getenv(SettingsVariable)
	if path == "" {
		return nil, errors.Mark(errors.Newf("%s is not set: set it to the path of the node's settings file", SettingsVariable), ErrSettings)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "settings file: make it readable, or correct %s", SettingsVariable), ErrSettings)
	}
	return Parse(b)
}

// Parse reads and checks settings.
func Parse(b []byte) (*Settings, error) {
	s := new(Settings)
	if err := yaml.Unmarshal(b, s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings file is not the YAML that a node needs: correct the line named"), ErrSettings)
	}
	if err := s.check(); err != nil {
		return nil, errors.Mark(err, ErrSettings)
	}
	return s, nil
}

func (s *Settings) check() error {
	bad := func(field string, value any, remedy string) error {
		return errors.Newf("settings file: %s is %v: %s", field, value, remedy)
	}
	switch {
	case s.NodeName == "":
		return bad("node_name", `""`, "name the node")
	case net.ParseIP(s.IP).To4() == nil:
		return bad("ip_addr", strconv.Quote(s.IP), "give the machine's IPv4 address")
	case len(s.PortRange) != 2 || s.PortRange[0] <= 0 || s.PortRange[1] < s.PortRange[0]+int(StorePort) || s.PortRange[1] > 65535:
		return bad("port_range", s.PortRange, "give first and last of at least three free ports")
	case len(s.Seeds) == 0:
		return bad("seed_nodes", "[]", "give the control address of at least one core node")
	case s.Tolerance.Machines < 0:
		return bad("fault_tolerance.machine_losses", s.Tolerance.Machines, "give 0 or more")
	case s.Limits.MemoryMB < 0:
		return bad("limits.memory_mb", s.Limits.MemoryMB, "give 0 (no limit) or more")
	case s.Limits.MaxFDs < 0:
		return bad("limits.max_fds", s.Limits.MaxFDs, "give 0 (no limit) or more")
	}
	type addr struct {
		field, value string
		called       bool // by this node, so that it must be whole
	}
	addrs := []addr{{"bind_addrs.front_addr", s.Bind.Front, false}, {"bind_addrs.ready_addr", s.Bind.Ready, false},
		{"bind_addrs.control_addr", s.Bind.Control, false}, {"cloud_api.address", s.Platform.Address, true}}
	for i, seed := range s.Seeds {
		field := "seed_nodes." + strconv.Itoa(i)
		if seed == "" {
			return bad(field, `""`, "give HOST:PORT")
		}
		addrs = append(addrs, addr{field, seed, true})
	}
	for _, a := range addrs {
		if a.value == "" {
			continue
		}
		host, port, err := net.SplitHostPort(a.value)
		n, wrong := strconv.ParseUint(port, 10, 16)
		if err != nil || wrong != nil || a.called && (host == "" || n == 0) {
			return bad(a.field, strconv.Quote(a.value), "give HOST:PORT")
		}
	}
	return nil
}

// RequireSetting gives the error for a setting that a program cannot do without and that is empty; nil where it is not.
func RequireSetting(field, value, remedy string) error {
	if value != "" {
		return nil
	}
	return errors.Mark(errors.Newf("settings file: %s is \"\": %s", field, remedy), ErrSettings)
}

// PeerAddr is the address at which a program of the tier on the machine of an address takes calls of other nodes.
func (s *Settings) PeerAddr(ip string, p Port) string {
	if host, _, err := net.SplitHostPort(ip); err == nil {
		ip = host
	}
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+int(p)))
}

// TimingBound is a figure of the rules that is stated in milliseconds (name ends in _ms) or seconds (_s).
func (s *Settings) TimingBound(name string, otherwise time.Duration) time.Duration {
	v, ok := s.Bounds[name]
	if !ok || v < 0 {
		return otherwise
	}
	if len(name) > 3 && name[len(name)-3:] == "_ms" {
		return time.Duration(v * float64(time.Millisecond))
	}
	return time.Duration(v * float64(time.Second))
}

// FaultTolerance is how many copies of a thing may be lost at once: copies stand in as many zones as there are, so that a zone
// that is lost takes one along.
func (s *Settings) FaultTolerance() int { return max(s.Tolerance.Machines, s.Tolerance.Zones) }

// ReplicationFactor is how many machines keep each thing: with as many lost as are tolerated, a majority is left.
func (s *Settings) ReplicationFactor() int { return 2*s.FaultTolerance() + 1 }

// SameRegion tells whether a zone lies in this node's region.
func (s *Settings) SameRegion(zone string) bool { return s.Zones[zone] == s.Region }

// TuneRuntime keeps the heap within what the machine gives: the collector works harder before the limit is met.
func (s *Settings) TuneRuntime() {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB * 0.6 * (1 << 20)))
	}
}
