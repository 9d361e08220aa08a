package chaostest

import (
	"fmt"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// platformConfig returns the configuration that a platform gives a relay in the file of BALANCER_CONFIG.
func platformConfig(p *process, plan scenario.Plan, peers []string, servers []standin.Server) map[string]any {
	s := plan.Scenario
	sec := func(d time.Duration) float64 { return d.Seconds() }
	effects := map[choice.Effect]string{choice.Safe: "idempotent", choice.Keyed: "deduplicated", choice.Unsafe: "at_most_once"}
	var classes []map[string]any
	for _, k := range s.Classes {
		group := "all"
		if k.SameZone {
			group = "zone"
		}
		classes = append(classes, map[string]any{"name": k.Name, "aim": sec(k.Aim), "give-up": sec(k.Deadline),
			"effect": effects[k.Effect], "group": group,
			"keep-order": k.Ordered, "late-share": k.LateShare, "window": sec(k.Window), "worth": k.Worth})
	}
	r := s.Rules
	return map[string]any{
		"name": fmt.Sprintf("relay-%d", p.index), "listen": p.listen, "discovery": p.agent.Addr(),
		"seed":        fmt.Sprintf("%016x", plan.Seed<<16+uint64(p.index)),
		"limits":      map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 16},
		"peer_listen": p.gossipAddr.String(), "peers": peers,
		"known": map[string]any{"version": 1, "full": true, "servers": servers},
		"settings": map[string]any{
			"bounds": map[string]any{"cancel": true, "conn-idle": 5, "dial-timeout": 1, "max-attempts": s.Attempts, "max-retry-after": 2,
				"most-held": s.MaxPending, "peers": true},
			"classes": classes,
			"family-info": map[string]any{"late": "linear", "own-limits": []bool{true}, "per-call": []int{1},
				"workers": s.Slots, "zone-fee": []float64{0}},
			"fleet-size": plan.Relays, "index": p.index, "load-report": map[string]any{"columns": []string{}, "how": "off"},
			"registry-mode": "automatic",
			"rules": map[string]any{"cold": sec(r.Cold), "cold-from": r.ColdFrom, "drain-grace": sec(r.DrainGrace), "fall": sec(r.Fall),
				"grace-to-answer": sec(r.AnswerGrace), "overload-factor": r.OverloadFactor},
			"skus": []string{"partner"}, "tick": 0.005, "weights": "off", "zones": []string{"here"},
		},
	}
}
