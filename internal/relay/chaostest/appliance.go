package chaostest

import (
	"fmt"
	"strings"
	"time"

	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// Appliances are relays that run without a platform (larchrouter run): an operator's file lists their partners and fleet,
// operators use the control socket, and the outcomes of messages are queried.

const (
	commandTimeout = 2 * time.Second // of an operator's request
	maxQueries     = 8               // in flight, per relay
)

func relayName(i int) string { return fmt.Sprintf("r%02d", i) }

// operatorsFile returns the configuration file of a scenario's appliance.
func operatorsFile(p *process, plan scenario.Plan, peers []string, servers []standin.Server) string {
	s := plan.Scenario
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("listen = %q\nstate = %q\nstop_within = \"2s\"", p.listen, p.stateDir())
	line("limits {\n held = %d\n slots = %d\n attempts = %d\n memory_mb = 192\n disk_mb = 64\n}", s.MaxPending, s.Slots, s.Attempts)
	line("ends {\n keep = 50000\n}")
	line("rules {\n overload_factor = %g\n fall = %q\n cold_from = %g\n cold = %q\n}",
		s.Rules.OverloadFactor, s.Rules.Fall, s.Rules.ColdFrom, s.Rules.Cold)
	if len(peers) > 1 && !s.Standalone {
		line("fleet {\n name = %q\n listen = %q", relayName(p.index), p.gossipAddr)
		for i, at := range peers {
			line(" relay %q {\n  address = %q\n }", relayName(i), at)
		}
		line("}")
	}
	for dest, partner := range s.Partners {
		line("partner %q {", partner.Name)
		if l := partner.Limit; l != nil {
			line(" limit {\n  rate = %g\n  burst = %g\n  at_once = %d\n }", l.Rate, l.Burst, l.MaxConcurrent)
		}
		n := 0
		for _, v := range servers {
			if v.Cell == dest {
				line(" endpoint %q {\n  address = %q\n }", partner.Endpoint(partner.Hosts[n]), v.Addr)
				n++
			}
		}
		line("}")
	}
	return b.String()
}
