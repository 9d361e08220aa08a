package tiertest

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The settings that all processes of a tier share.
const (
	zone, region    = "pier", "coast"
	seedCount       = 3 // core machines that every process knows from its start
	machineLosses   = 1 // fault tolerance: machines that may be lost at once
	diskMB          = 64
	defaultMemoryMB = 284
	defaultMaxFDs   = 4100
	platformRate    = 40 // calls a second that the platform accepts
	gracePeriod     = 8 * time.Second
	contactTimeout  = 3 * time.Second // without contact, after which a machine counts as lost
)

// ApplyTimeout is the time within which an acknowledged configuration has to be in force.
const ApplyTimeout = 2 * time.Second

// servedRoles are the roles by class of machine, in the platform's words.
var servedRoles = map[string]string{Core: "control", Front: "front", Store: "store"}

// settings returns the settings file of a process in the platform's format.
func (t *Tier) settings(m *Machine) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name: %q\nnode_role: %q\nmachine_class: %q\nserved_roles: [%q]", m.Name, m.role, m.Class, servedRoles[m.Class])
	line("ip_addr: %q\nzone_name: %q\nregion_name: %q\nzones: {%q: %q}", m.IP, zone, region, zone, region)
	switch m.Class {
	case Core:
		line("bind_addrs: {control_addr: %q}", m.ControlAddr())
	case Front:
		line("bind_addrs: {front_addr: %q, ready_addr: %q}", m.FrontAddr(), m.readyAddr())
	default:
		line("bind_addrs: {}")
	}
	line("port_range: [%d, %d]", t.block.basePort+firstPeerPort, t.block.basePort+lastPeerPort)
	line("seed_nodes:")
	for _, core := range t.Class(Core)[:seedCount] {
		line("  - %q", core.ControlAddr())
	}
	line("bootstrap: %v\nloss_counted: %v", m.bootstrap, m.Class != Front)
	disk, dir := 0, "null"
	if m.Class != Front {
		disk, dir = diskMB, strconv.Quote(m.dataDir())
	}
	line("limits: {cpu_share: 0.4, core_count: 1, memory_mb: %d, max_fds: %d, link_mbps: 1000.0, disk_mb: %d}",
		t.limits.MemoryMB, t.limits.MaxFDs, disk)
	line("data_dir: %s\ndiscovery_source: \"cloud_api\"\nentry_mode: \"virtual_ip\"", dir)
	line("fault_tolerance: {machine_losses: %d, zones: 0, region_losses: 0}", machineLosses)
	line("timing_bounds: {contact_ms: %d, ack_max_ms: 4000, drain_max_ms: 3000, grace_period_s: %d, "+
		"config_apply_ms: %d, recovery_s: 12, usage_window_s: 2, usage_late_s: 4, revocation: %v, revoke_max_ms: %d}",
		contactTimeout.Milliseconds(), int(gracePeriod.Seconds()), ApplyTimeout.Milliseconds(),
		t.EventLog.revocationBound > 0, t.EventLog.revocationBound.Milliseconds())
	line("cloud_api: {address: %q, rate_per_s: %d, duty_list: [%s], max_lag_ms: 0}", t.Platform.Addr(), platformRate,
		strings.Join(t.duties, ", "))
	return b.String()
}
