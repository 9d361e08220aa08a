package tiertest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/standin/cloudapi"
)

// newSettingsTier returns a tier with a machine of each class, none of which runs, to write settings files for.
func newSettingsTier(t *testing.T) *Tier {
	t.Helper()
	programs, err := buildPrograms()
	must(t, err)
	platform, err := cloudapi.New(cloudapi.Options{})
	must(t, err)
	t.Cleanup(platform.Close)
	block, err := claimAddressBlock()
	must(t, err)
	t.Cleanup(block.release)
	tier := &Tier{EventLog: &EventLog{}, Platform: platform, block: block, dir: t.TempDir()}
	for i, c := range []struct {
		class string
		args  []string
	}{{Core, []string{"core"}}, {Core, nil}, {Core, nil}, {Store, []string{"store"}}, {Front, nil}} {
		m := &Machine{Name: c.class + "-1", Class: c.class, IP: block.ip(i + 1), tier: tier, role: c.class,
			path: programs.forClass(c.class), args: c.args, bootstrap: true}
		tier.Machines = append(tier.Machines, m)
	}
	return tier
}

// writeSettings writes the settings of a machine without the lines with a prefix, and returns the path. For the prefix ""
// it writes no file.
func writeSettings(t *testing.T, m *Machine, without string) (path string) {
	t.Helper()
	if without == "" {
		return filepath.Join(t.TempDir(), "absent.yaml")
	}
	var lines []string
	for line := range strings.Lines(m.tier.settings(m)) {
		if !strings.HasPrefix(line, without) {
			lines = append(lines, line)
		}
	}
	path = filepath.Join(t.TempDir(), "node.yaml")
	must(t, os.WriteFile(path, []byte(strings.Join(lines, "")), 0o600))
	return path
}

// exitSettings is the exit code of a process whose settings cannot be used.
const exitSettings = 78

// TestProcessReportsMissingSetting starts real processes with settings that lack something.
func TestProcessReportsMissingSetting(t *testing.T) {
	tier := newSettingsTier(t)
	for _, c := range []struct {
		class, without string // prefix of the lines that are left out; "" for no file
		output         []string
	}{
		{Core, "node_name", []string{"node_name", `""`, "name the node"}},
		{Core, "ip_addr", []string{"ip_addr", `""`, "IPv4"}},
		{Core, "port_range", []string{"port_range", "[]", "three free ports"}},
		{Core, "bind_addrs", []string{"bind_addrs.control_addr", `""`, "HOST:PORT"}},
		{Core, "data_dir", []string{"data_dir", `""`, "folder"}},
		{Store, "  - ", []string{"seed_nodes", "[]", "at least one core node"}},
		{Store, "data_dir", []string{"data_dir", `""`, "folder"}},
		{Front, "bind_addrs", []string{"bind_addrs.front_addr", `""`, "HOST:PORT"}},
		{Front, "node_name", []string{"node_name", `""`, "name the node"}},
		{Front, "", []string{"LARCHROUTER_NODE_FILE", "absent.yaml", "make it readable"}},
	} {
		t.Run(c.class+" without "+strings.TrimSpace(c.without), func(t *testing.T) {
			t.Parallel() // each reads its file again for a while
			m := tier.Class(c.class)[0]
			log := new(Log)
			p, err := startProcess(m.path, m.args, writeSettings(t, m, c.without), nil, log)
			must(t, err)
			if code := awaitExit(t, p); code != exitSettings {
				t.Errorf("exit code %d, want %d", code, exitSettings)
			}
			for _, part := range c.output {
				if !strings.Contains(log.String(), part) {
					t.Errorf("%s is not in its output:\n%s", part, log)
				}
			}
		})
	}
}
