package relay

import (
	"fmt"
	"net/http"
	"testing"

	"larchrouter/internal/relay/settings"
)

// The settings of deployments unlike each other, as a platform gives them; testSettings is a fourth.
var deployments = map[string]string{
	"two classes, configured limits, shared waits": `{"bounds":{"cancel":true,"conn-idle":10,"dial-timeout":1.5,"max-attempts":8,"max-retry-after":3,"most-held":30},
"classes":[{"aim":2.5,"effect":"deduplicated","give-up":24,"group":"all","late-share":0.3,"name":"entries","window":6,"worth":1},
{"aim":1,"effect":"idempotent","give-up":5,"group":"all","late-share":0.1,"name":"scores","window":5,"worth":2}],
"family-info":{"late":"linear","own-limits":[false,false,false],"per-call":[1,1,1],"workers":4},
"fleet-size":2,"index":1,"load-report":{"columns":["x0","x1"],"how":"inline"},"registry-mode":"automatic",
"rules":{"cold":9,"cold-from":0.3,"drain-grace":0.25,"fall":2,"grace-to-answer":0.005,"overload-factor":1.5},
"skus":["groups","single","agents"],"tick":0.005,"weights":"rough","zones":["east","west"]}`,
	"short deadlines, nothing unsafe": `{"bounds":{"cancel":true,"conn-idle":8,"dial-timeout":0.6,"max-attempts":3,"max-retry-after":1.2,"most-held":12,"probes":true},
"classes":[{"aim":0.6,"effect":"idempotent","give-up":3,"group":"all","late-share":0.1,"name":"reading","window":5,"worth":1},
{"aim":0.9,"effect":"deduplicated","give-up":4,"group":"all","late-share":0.4,"name":"warning","window":5,"worth":6},
{"aim":1.2,"effect":"deduplicated","give-up":6,"group":"zone","late-share":0.2,"name":"note","window":4,"worth":2}],
"family-info":{"late":"halving","own-limits":[false,true],"per-call":[1,3],"workers":4,"zone-fee":[0.01,0]},
"fleet-size":4,"index":3,"load-report":{"columns":[],"how":"off"},"registry-mode":"automatic",
"rules":{"cold":6,"cold-from":0.4,"drain-grace":0.4,"fall":1.5,"grace-to-answer":0.005,"overload-factor":2.5},
"skus":["sirens","pagers"],"tick":0.005,"weights":"nominal","zones":["quay","tower"]}`,
	"ordered class, few slots": `{"bounds":{"cancel":true,"conn-idle":12,"dial-timeout":1.2,"max-attempts":10,"max-retry-after":4,"most-held":14},
"classes":[{"aim":5,"effect":"at_most_once","give-up":30,"group":"all","keep-order":true,"late-share":0.5,"name":"dose","window":5,"worth":4},
{"aim":2.5,"effect":"idempotent","give-up":12,"group":"all","late-share":0.2,"name":"bed","window":5,"worth":1}],
"family-info":{"late":"linear","own-limits":[false,false],"per-call":[1,1],"workers":2},
"fleet-size":3,"index":0,"load-report":{"columns":["x0","x1"],"how":"inline"},"registry-mode":"automatic",
"rules":{"cold":12,"cold-from":0.3,"drain-grace":0.6,"fall":3,"grace-to-answer":0.005,"order-settle":0,"overload-factor":3},
"skus":["pharmacy","wards"],"tick":0.005,"weights":"rough","zones":["north","south","annex","lab"]}`,
	"as in other tests": testSettings,
}

// The relay starts with the settings of each deployment, and serves each of its classes and no others.
func TestDeployments(t *testing.T) {
	for name, text := range deployments {
		t.Run(name, func(t *testing.T) {
			set, err := settings.Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			calls := make(chan *seen, 10)
			host := at("s-1", fakeHost(t, "a", calls), set.Zones[len(set.Zones)-1])
			host.Kind, host.Weight = set.KindNames[0], 100
			r := startRelay(t, newPlatform(t, host), func(c *Config) { c.Settings = set })
			for i, k := range set.Classes {
				id := fmt.Sprint("m", i)
				status, _ := hand(t, r.Addr(), id, k.Name, "X-Deadline-Ms", fmt.Sprint(k.Deadline.Milliseconds()))
				want(t, "status of "+k.Name, status, http.StatusAccepted)
				c := wait(t, calls, "call")
				want(t, "id", c.id, id)
				c.answer <- 200
			}
			for other, text := range deployments {
				theirs, err := settings.Parse([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if other != name {
					status, _ := hand(t, r.Addr(), "x", theirs.Classes[0].Name)
					want(t, "status of a class of "+other, status, http.StatusBadRequest)
				}
			}
		})
	}
}
