package simulation

import (
	"math/rand/v2"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/settings"
)

// CampusSettings returns the settings of a site: three classes, and two kinds of destination with independent endpoints, one of
// them with several messages per call.
func CampusSettings() settings.Settings {
	const s = time.Second
	set := settings.Settings{Peers: true, Zones: []string{"a", "b", "c"}, KindNames: []string{"batch", "single"},
		DialTimeout: s, MaxRetryAfter: 2 * s}
	set.Settings = choice.Settings{Workers: 4, MaxHeld: 76, MaxAttempts: 6, Tick: time.Millisecond, Cancels: true, ReportLimit: -1,
		Classes: []choice.Class{
			{Name: "job-order", Aim: 2 * s, Deadline: 12 * s, Worth: 1, LateShare: 0.3, Effect: choice.Keyed,
				SameZone: true, Window: 11 * s},
			{Name: "status-update", Aim: 3 * s, Deadline: 12 * s, Worth: 2, LateShare: 0.5, Effect: choice.Safe},
			{Name: "payment", Aim: 4 * s, Deadline: 12 * s, Worth: 5, LateShare: 0.3, Effect: choice.Unsafe},
		},
		Kinds:   []choice.Kind{{Apart: true, PerCall: 5}, {Apart: true, PerCall: 1}},
		ZoneFee: []float64{0, 0.05, 0.02}, Handshake: 0.06, IdleConn: 5 * s,
		Rules: choice.Rules{AnswerGrace: 5 * time.Millisecond, DrainGrace: s / 4, OverloadFactor: 2, Fall: 2 * s,
			ColdFrom: 0.22, Cold: 13 * s, OrderSettle: 100 * time.Millisecond}}
	return set
}

// Campus draws a day of a site with seven destinations. Load is the share of the limits that is offered. Load and limits do not
// depend on the number of relays, so that fleets of different sizes can be compared.
func Campus(relays int, load float64, seed uint64) Day {
	r := rand.New(rand.NewPCG(seed, 2))
	d := Day{Relays: relays, Settings: CampusSettings(), Span: 25 * time.Second, Seed: seed,
		Delay: [2]time.Duration{2 * time.Millisecond, 25 * time.Millisecond}}
	d.Settings.Workers, d.Settings.MaxHeld = max(4, 320/relays), max(76, 6080/relays) // capacity of the relays is not under test
	for i := range 7 {
		x := Destination{Kind: i % 2}
		if i == 0 {
			x.Kind = 1
		}
		limit := 0.0
		for z := range 2 + r.IntN(2) {
			one := Route{Limit: 8 + 30*r.Float64(), MinRetryAfter: time.Duration(500+r.IntN(300)) * time.Millisecond,
				RetryAfterShare: 0.35,
				ServiceTime:     time.Duration(20+r.IntN(60)) * time.Millisecond, Zone: z % 3}
			one.Burst, one.Debt = one.Limit, one.Limit*(0.8+0.2*r.Float64())
			x.Routes = append(x.Routes, one)
			limit += one.Limit
		}
		messages := 1.0 // per call, on average
		if x.Kind == 0 {
			messages = 1.5
		}
		x.Load = load * limit * messages * (0.8 + 0.4*r.Float64())
		d.Dests = append(d.Dests, x)
	}
	return d
}

// WithOutage adds an outage of four destinations from 6 s to 11 s; connections time out, or are refused.
func (d Day) WithOutage(refuse bool) Day {
	d.Faults = append(d.Faults, Fault{From: 6 * time.Second, To: 11 * time.Second, Dests: []int{0, 2, 4, 6}, Down: true,
		RefuseConnections: refuse})
	return d
}

// WithLoweredLimits adds a reduction of all limits to a third from 6 s to 15 s.
func (d Day) WithLoweredLimits() Day {
	d.Faults = append(d.Faults, Fault{From: 6 * time.Second, To: 15 * time.Second, Dests: []int{0, 1, 2, 3, 4, 5, 6},
		LimitFactor: 1.0 / 3})
	return d
}

// WithRestarts adds a kill of n relays at 8 s, which restart 0.6 s later.
func (d Day) WithRestarts(n int) Day {
	d.Faults = append(d.Faults, Fault{From: 8 * time.Second, To: 8600 * time.Millisecond, Kill: n})
	return d
}

// WithPartition adds a partition from 8 s to 14 s; drop reports whether gossip from one relay to another is lost.
func (d Day) WithPartition(drop func(from, to int) bool) Day {
	d.Faults = append(d.Faults, Fault{From: 8 * time.Second, To: 14 * time.Second, Drop: drop})
	return d
}
