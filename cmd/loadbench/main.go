// Command loadbench measures the relay's program under load and in trouble, as ratios to calm in the same run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/relay/loadbench"
)

func main() {
	if err := loadbench.Proxy(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

// scenarios are those of a run without --only; the first is calm.
func scenarios(dests int) (all []loadbench.Scenario) {
	add := func(s loadbench.Scenario) {
		if s.Dests == 0 {
			s.Dests = dests
		}
		all = append(all, s)
	}
	add(loadbench.Scenario{Name: "calm"})
	add(loadbench.Scenario{Name: "proxy", Proxy: true})
	for _, trouble := range []string{"refuse", "hang", "slow", "wait"} {
		for _, share := range []float64{0.1, 0.5, 0.9} {
			add(loadbench.Scenario{Name: fmt.Sprintf("%s-%.0f%%", trouble, 100*share), Fault: trouble, FaultShare: share})
		}
	}
	for _, n := range []int{10, 320, 5000} {
		add(loadbench.Scenario{Name: fmt.Sprintf("dests-%d", n), Dests: n})
	}
	add(loadbench.Scenario{Name: "dests-5000-refuse-50%", Dests: 5000, Fault: "refuse", FaultShare: 0.5})
	add(loadbench.Scenario{Name: "disk-3MB", DiskMB: 3}) // the journal is always being compacted
	add(loadbench.Scenario{Name: "return-50%", Fault: "refuse", FaultShare: 0.5, Recover: true})
	add(loadbench.Scenario{Name: "due-20000", Backlog: 20_000, DueAtOnce: true})
	for _, n := range []int{1000, 20_000, 200_000} {
		add(loadbench.Scenario{Name: fmt.Sprintf("held-%d", n), Backlog: n, MaxPending: 2 * n})
	}
	return all
}

func command() *cobra.Command {
	var o loadbench.Options
	var dests int
	var only, other, asJSON string
	c := &cobra.Command{Use: "loadbench", SilenceUsage: true, Args: cobra.NoArgs,
		Short: "Measure the relay under load, beside a plain reverse proxy",
		Long: "Starts the relay's program on a core of its own, among stand-in partners and clients on loopback, and\n" +
			"prints what each scenario costs: in all, and as a ratio to calm, measured right before it. Nothing leaves this machine."}
	f := c.Flags()
	f.StringVar(&o.Program, "program", "", "path of the program; it is built if this is empty")
	f.StringVar(&other, "other", "", "path of a second build, to be measured in turn with the first")
	f.StringVar(&only, "only", "", "regular expression of the scenarios to run")
	f.DurationVar(&o.Span, "span", 4*time.Second, "how long each is measured, after half of that to warm up")
	f.IntVar(&o.Clients, "clients", 64, "that hand in one message after the other")
	f.Float64Var(&o.Rate, "rate", 0, "messages a second of all clients together; 0 for as many as are answered")
	f.DurationVar(&o.Deadline, "deadline", 10*time.Second, "of a message")
	f.IntVar(&o.Body, "body", 300, "bytes of a message")
	f.IntVar(&o.MaxPending, "room", 100_000, "messages that the relay holds at most")
	f.IntVar(&o.Slots, "slots", 512, "calls out at most")
	f.IntVar(&dests, "dests", 32, "destinations, where the scenario does not say")
	f.StringVar(&asJSON, "json", "", "file for the figures")
	c.RunE = func(c *cobra.Command, _ []string) error {
		pattern, err := regexp.Compile("^(?:" + only + ")$")
		if err != nil {
			return fmt.Errorf("--only: %w", err)
		}
		if o.Span <= 0 || o.Clients < 1 || dests < 1 || o.Body < 0 || o.Slots < 1 || o.MaxPending < 0 || o.Rate < 0 || o.Deadline < time.Millisecond {
			return fmt.Errorf("span, clients, dests, slots and deadline must be above 0, body, room and rate not below")
		}
		if o.Dir, err = os.MkdirTemp("", "loadbench"); err != nil {
			return err
		}
		defer os.RemoveAll(o.Dir)
		if o.Self, err = os.Executable(); err != nil {
			return err
		}
		if o.Program == "" {
			o.Program = filepath.Join(o.Dir, "larchrouter")
			if out, err := exec.Command("go", "build", "-o", o.Program, "larchrouter/cmd/larchrouter").CombinedOutput(); err != nil {
				return fmt.Errorf("building the program: %w\n%s", err, out)
			}
		}
		programs := []string{o.Program}
		if other != "" {
			programs = append(programs, other)
		}
		return measure(c, o, programs, dests, func(name string) bool { return only == "" || pattern.MatchString(name) }, asJSON)
	}
	return c
}

func measure(c *cobra.Command, o loadbench.Options, programs []string, dests int, wanted func(string) bool, asJSON string) error {
	core := loadbench.Core()
	out := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "scenario\tprogram\ttaken/s\trefused/s\terrors\tCPU us/taken\tratio\tus/asked\tus/delivered\tratio\tp50 ms\tp99 ms\tratio\tmax ms\twell/s\tratio\tMB\t")
	var all []loadbench.Figures
	calm := scenarios(dests)[0]
	for _, s := range scenarios(dests) {
		if !wanted(s.Name) {
			continue
		}
		for i, path := range programs {
			if s.Proxy && i > 0 {
				continue
			}
			o.Program = path
			before, err := loadbench.Run(calm, o, core) // the machine's speed drifts
			if err != nil {
				return err
			}
			f, err := loadbench.Run(s, o, core)
			if err != nil {
				return err
			}
			all = append(all, f)
			ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
			name := strings.Repeat("other", i)
			fmt.Fprintf(out, "%s\t%s\t%.0f\t%.0f\t%d\t%.0f\t%.2f\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.2f\t%.0f\t%.1f\t%.2f\t%.0f\t\n", s.Name, name, f.Accepted, f.Rejected,
				f.Failed, f.CPUPerAccepted, f.CPUPerAccepted/before.CPUPerAccepted, f.CPUPerRequest, f.CPUPerDelivery, f.CPUPerDelivery/before.CPUPerDelivery, ms(f.P50), ms(f.P99), f.P99.Seconds()/max(1e-9, before.P99.Seconds()), ms(f.Max), f.HealthyDelivered,
				f.HealthyDelivered/max(1e-9, before.HealthyDelivered), f.MemoryMB)
			if s.DueAtOnce {
				fmt.Fprintf(os.Stderr, "%s: of %d messages due at one instant %d heard of their end over 300 ms late\n", s.Name, f.Backlog, f.LateNotices)
			}
			fmt.Fprintf(os.Stderr, "%s %s done\n", s.Name, name)
		}
	}
	if err := out.Flush(); err != nil || asJSON == "" {
		return err
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(asJSON, data, 0o644)
}
