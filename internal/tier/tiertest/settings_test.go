package tiertest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/tier/controlnode"
)

// TestAProcessNamesWhatItsSettingsLack starts real processes with settings that they cannot use.
func TestAProcessNamesWhatItsSettingsLack(t *testing.T) {
	bin, err := programs()
	must(t, err)
	platform, err := cloudapi.New(cloudapi.Options{})
	must(t, err)
	defer platform.Close()
	b, err := claimAddressBlock()
	must(t, err)
	defer b.release()
	tier := &Tier{Platform: platform, block: b, dir: t.TempDir()}
	for i, one := range []struct{ class, path, arg string }{{Core, bin.Control, "core"}, {Core, "", ""}, {Core, "", ""}, {Store, bin.Control, "store"}, {Front, bin.Proxy, ""}} {
		m := &Machine{Name: one.class + "-1", Class: one.class, IP: b.ip(i + 1), tier: tier, role: one.class, path: one.path, bootstrap: true}
		if one.arg != "" {
			m.args = []string{one.arg}
		}
		tier.Machines = append(tier.Machines, m)
	}
	for _, c := range []struct {
		class, without string // lines that begin so are left out
		says           []string
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
			m := tier.Class(c.class)[0]
			path := filepath.Join(t.TempDir(), "absent.yaml")
			if c.without != "" {
				var kept []string
				for line := range strings.Lines(tier.settings(m)) {
					if !strings.HasPrefix(line, c.without) {
						kept = append(kept, line)
					}
				}
				path = filepath.Join(t.TempDir(), "node.yaml")
				must(t, os.WriteFile(path, []byte(strings.Join(kept, "")), 0o600))
			}
			log := new(Log)
			p, err := startProcess(m.path, m.args, path, log)
			must(t, err)
			late := time.NewTimer(stepBound)
			defer late.Stop()
			select {
			case <-p.done:
			case <-late.C:
				_ = p.cmd.Process.Kill()
				<-p.done
				t.Fatalf("it did not end; it said %s", log)
			}
			if p.exitCode() != 1 {
				t.Errorf("exit code %d, want 1", p.exitCode())
			}
			for _, part := range c.says {
				if !strings.Contains(log.String(), part) {
					t.Errorf("it does not say %s:\n%s", part, log)
				}
			}
		})
	}
}

// TestOneLossOfPowerLosesNothing kills all processes at once, right after a configuration was acknowledged.
func TestOneLossOfPowerLosesNothing(t *testing.T) {
	p := newPlay(t, 3, 3, 2)
	p.serves("in calm")
	must(t, p.Configure(within(t), NewConfig(4, ReviewService, true)))
	for _, m := range p.Machines {
		m.Kill()
	}
	must(t, p.Machine("store-1").Wipe()) // as many disks as may be lost
	for _, m := range p.Machines {
		must(t, m.Start())
	}
	p.stable(3)
	must(t, p.AwaitReady(within(t), p.Class(Front)...))
	must(t, p.AwaitStatus(within(t), "version 4 is there", func(s *controlnode.Status) bool { return s.Version == 4 }))
	p.goOn("-again")
	p.serves("after the loss")
	p.judge()
}
