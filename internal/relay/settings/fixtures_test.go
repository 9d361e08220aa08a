package settings

import (
	"reflect"
	"testing"
	"time"

	"larchrouter/choice"
)

// frozen is the settings object as platforms and simulators write it, with a different value for each key.
const frozen = `{
"bounds":{"cancel":true,"conn-idle":1,"dial-timeout":2,"max-retry-after":3,"max-attempts":4,"peers":true,"most-held":5},
"classes":[{"name":"c6","aim":7,"give-up":8,"effect":"at_most_once","group":"zone","keep-order":true,"late-share":0.25,"window":9,"worth":10},
	{"name":"c11","effect":"deduplicated","group":"all"},{"name":"c12","effect":"idempotent","group":"all"}],
"family-info":{"late":"halving","own-limits":[true,false],"per-call":[13,14],"workers":15,"zone-fee":[0.5]},
"prices":{"handshake":16.5},"fleet-size":17,"index":18,"load-report":{"columns":["x0","x1"],"how":"inline"},"registry-mode":"subscribe",
"rules":{"cold":19,"cold-from":20.5,"drain-grace":21,"fall":22,"grace-to-answer":23,"order-settle":24,"overload-factor":25.5},
"skus":["k26","k27"],"tick":28,"weights":"nominal","zones":["z29"]}`

// Every key of the frozen object is read. A key that is not read any more would leave its setting 0 without an
// error.
func TestSettingsAreReadAsFrozen(t *testing.T) {
	const s = time.Second
	want := Settings{Zones: []string{"z29"}, KindNames: []string{"k26", "k27"}, DialTimeout: 2 * s, MaxRetryAfter: 3 * s, Peers: true,
		Settings: choice.Settings{Index: 18, Fleet: 17, Workers: 15, MaxHeld: 5, MaxAttempts: 4, Tick: 28 * s, Handshake: 16.5, IdleConn: s,
			ZoneFee: []float64{0.5}, Halving: true, Listed: true, Cancels: true, Subscribe: true, ReportLimit: 1,
			Kinds: []choice.Kind{{Apart: true, PerCall: 13}, {PerCall: 14}},
			Classes: []choice.Class{
				{Name: "c6", Aim: 7 * s, Deadline: 8 * s, Worth: 10, LateShare: 0.25, Effect: choice.Unsafe, SameZone: true,
					Window: 9 * s, Ordered: true},
				{Name: "c11", Effect: choice.Keyed}, {Name: "c12", Effect: choice.Safe}},
			Rules: choice.Rules{AnswerGrace: 23 * s, DrainGrace: 21 * s, OverloadFactor: 25.5, Fall: 22 * s, ColdFrom: 20.5,
				Cold: 19 * s, OrderSettle: 24 * s}}}
	if got, err := Parse([]byte(frozen)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v, %v, want\n%+v", got, err, want)
	}
}
