package process

import (
	"net"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// settingError describes a field that cannot be used as it is.
func settingError(field string, value any, remedy string) error {
	return errors.Newf("settings file: %s is %v: %s", field, value, remedy)
}

// RequireSetting returns an ErrSettings if a setting that a program cannot do without is empty, else nil.
func RequireSetting(field, value, remedy string) error {
	if value != "" {
		return nil
	}
	return errors.Mark(settingError(field, `""`, remedy), ErrSettings)
}

// check returns an error for the first field that no program can use.
func (s *Settings) check() error {
	switch {
	case s.NodeName == "":
		return settingError("node_name", `""`, "name the node")
	case net.ParseIP(s.IP).To4() == nil:
		return settingError("ip_addr", strconv.Quote(s.IP), "give the machine's IPv4 address")
	case !s.portRangeUsable():
		return settingError("port_range", s.PortRange, "give first and last of at least three free ports")
	case len(s.Seeds) == 0:
		return settingError("seed_nodes", "[]", "give the control address of at least one core node")
	case s.Tolerance.Machines < 0:
		return settingError("fault_tolerance.machine_losses", s.Tolerance.Machines, "give 0 or more")
	case s.Limits.MemoryMB < 0:
		return settingError("limits.memory_mb", s.Limits.MemoryMB, "give 0 (no limit) or more")
	case s.Limits.MaxFDs < 0:
		return settingError("limits.max_fds", s.Limits.MaxFDs, "give 0 (no limit) or more")
	}
	return s.checkAddresses()
}

// portRangeUsable reports whether the range has a port for each Port and one more.
func (s *Settings) portRangeUsable() bool {
	return len(s.PortRange) == 2 && s.PortRange[0] > 0 && s.PortRange[1] >= s.PortRange[0]+int(StorePort) && s.PortRange[1] <= 65535
}

// checkAddresses checks those addresses that are given; seeds are given always.
func (s *Settings) checkAddresses() error {
	seedField := func(i int) string { return "seed_nodes." + strconv.Itoa(i) }
	if i := slices.Index(s.Seeds, ""); i >= 0 {
		return settingError(seedField(i), `""`, "give HOST:PORT")
	}
	for _, a := range []struct{ field, addr string }{
		{"bind_addrs.front_addr", s.Bind.Front},
		{"bind_addrs.ready_addr", s.Bind.Ready},
		{"bind_addrs.control_addr", s.Bind.Control},
	} {
		if a.addr != "" && !isHostPort(a.addr, false) {
			return settingError(a.field, strconv.Quote(a.addr), "give HOST:PORT")
		}
	}
	if addr := s.Platform.Address; addr != "" && !isHostPort(addr, true) {
		return settingError("cloud_api.address", strconv.Quote(addr), "give HOST:PORT")
	}
	for i, addr := range s.Seeds {
		if !isHostPort(addr, true) {
			return settingError(seedField(i), strconv.Quote(addr), "give HOST:PORT")
		}
	}
	return nil
}

// isHostPort reports whether an address is HOST:PORT. One that this node calls has a host, and a port other than 0.
func isHostPort(addr string, called bool) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && (!called || host != "" && n != 0)
}
