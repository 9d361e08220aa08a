package chaostest

import (
	"fmt"
	"strings"
	"time"

	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// Relays of their own (larchrouter run) in place of the platform's: their partners and their fleet come from an operator's
// file, operators talk to them through the control socket, and the ends of messages are asked for.

const (
	commandTimeout = 2 * time.Second // an operator waits for an answer
	maxQueries     = 8               // ends asked of one relay at a time
)

func relayName(i int) string { return fmt.Sprintf("r%02d", i) }

// operatorsFile is what an operator would write for a relay of a scenario.
func operatorsFile(p *process, plan scenario.Plan, peers []string, servers []standin.Server) string {
	s := plan.Scenario
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("listen = %q\nstate = %q\nstop_within = \"2s\"", p.listen, p.stateDir())
	line("limits {\n held = %d\n slots = %d\n attempts = %d\n memory_mb = 192\n disk_mb = 64\n}", s.MaxPending, s.Slots, s.Attempts)
	line("ends {\n keep = 50000\n}")
	line("rules {\n overload_factor = %g\n fall = %q\n cold_from = %g\n cold = %q\n}", s.Rules.OverloadFactor, s.Rules.Fall, s.Rules.ColdFrom, s.Rules.Cold)
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
