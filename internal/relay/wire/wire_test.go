package wire

import (
	"fmt"
	"strings"
	"testing"
)

const sample = `{"bounds":{"cancel":true,"max-attempts":4,"most-held":50,"probes":false,"unheard-of":1},` +
	`"classes":[{"aim":2.0,"effect":"idempotent","give-up":10.0,"group":"all","late-share":0.5,"name":"s","window":5,"worth":1},` +
	`{"aim":2.0,"effect":"at_most_once","give-up":10.0,"group":"all","late-share":0.5,"name":"u","window":5,"worth":1}],` +
	`"family-info":{"late":"linear","own-limits":[false],"per-call":[1],"workers":4,"zone-fee":[0.0]},"fleet-size":2,"index":0,` +
	`"load-report":{"columns":[],"how":"off"},"registry-mode":"%s","rules":{"cold":10,"cold-from":0.2,"drain-grace":1,` +
	`"fall":2,"grace-to-answer":0.02,"overload-factor":2},"skus":["k"],"tick":0.005,"weights":"nominal","new-key":{"a":[1]}}`

func start(id, mode string) string {
	return "CONFIGURE\trelay-id=" + id + "\tentropy=5\tconfig=" + fmt.Sprintf(sample, mode) + "\n" +
		"CATALOG\tsheet=0\trecords=1\nHOST\tsize=100\tkind=0\thost=10.0.0.1:80\track-zone=0\tcondition=1\tcell=7\n" +
		"UPDATE\trelay-id=" + id + "\trev=1\tsheet=0\tscope=2\n"
}

func batch(clock string, lines ...string) string {
	return "BATCH\tclock=" + clock + "\n" + strings.Join(lines, "") + "YOUR_TURN\n"
}

const accept = "ACCEPT\trelay-id=relay_0\top-id=m\toptions=0\tpriority=1\tleft=10\tfar-end=7\n"

func TestRoundTrips(t *testing.T) {
	place := "PLACE\trelay-id=relay_0\top-id=m\thost=10.0.0.1:80\tmax-wait=10\n"
	arm := "ARM\trelay-id=relay_0\twait=1\ttag=1\n" // for the check of an unresponsive host, or the next discovery poll
	for name, tc := range map[string]struct{ in, want string }{
		"no input":    {"", ""},
		"empty batch": {batch("1"), "DONE\n"},
		"subscribes":  {batch("1", start("relay_0", "subscribe")), "OBSERVE\trelay-id=relay_0\twant=1\nDONE\n"},
		"sends": {batch("1", start("relay_0", "automatic")) + batch("1.5", accept),
			"DONE\n" + place + arm + "DONE\n"},
		"served": {batch("1", start("relay_0", "automatic"), accept) + batch("1.2",
			"ATTEMPT_END\trelay-id=relay_0\top-id=m\thow=served\ttry=0\tover=1\tcost-time=0.2\thost=10.0.0.1:80\n"),
			place + arm + "DONE\nDONE\n"},
		"an error ends an unsafe message": {batch("1", start("relay_0", "automatic"), accept) + batch("1.2",
			"ATTEMPT_END\trelay-id=relay_0\top-id=m\thow=server_error\ttry=0\tcost-time=0.2\thost=10.0.0.1:80\n"),
			place + arm + "DONE\nSURRENDER\trelay-id=relay_0\top-id=m\nDONE\n"},
		"events of ended messages": {batch("1", start("relay_0", "automatic")) + batch("2",
			"CLIENT_GONE\trelay-id=relay_0\top-id=old\n", "FIRED\trelay-id=relay_0\ttag=9\n"), "DONE\nDONE\n"},
		"no output without an event": {batch("1", start("relay_0", "automatic"), start("relay_1", "automatic")) +
			batch("2", accept), "DONE\n" + place + arm + "DONE\n"},
		"restart under one name": {batch("1", start("relay_0", "automatic"), accept, "DETACH\trelay-id=relay_0\n",
			start("relay_0", "automatic")), "DONE\n"},
		"a catalog replaced": {batch("1", start("relay_0", "automatic"),
			"CATALOG\tsheet=0\trecords=1\nHOST\thost=10.0.0.1:80\tcondition=2\tcell=7\n",
			"UPDATE\trelay-id=relay_0\trev=2\tsheet=0\tscope=0\n", accept),
			"ARM\trelay-id=relay_0\twait=9.97\ttag=1\nDONE\n"}, // its deadline
		"failed update": {batch("1", start("relay_0", "automatic"), "UPDATE\trelay-id=relay_0\trev=2\tscope=3\n"),
			arm + "DONE\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			if err := Serve(strings.NewReader(tc.in), &out); err != nil {
				t.Fatal(err)
			}
			if out.String() != tc.want {
				t.Errorf("got\n%swant\n%s", out.String(), tc.want)
			}
		})
	}
}

func TestMalformedInput(t *testing.T) {
	for name, tc := range map[string]struct{ in, want string }{
		"no batch":        {"HELLO\n", "line 1: HELLO where BATCH was due"},
		"bad clock":       {"BATCH\tclock=x\n", `line 1: BATCH: field clock: "x" is no number`},
		"unknown message": {batch("1", start("relay_0", "automatic"), "DANCE\trelay-id=relay_0\n"), `line 6: unknown message "DANCE"`},
		"missing field": {batch("1", start("relay_0", "automatic"), "ACCEPT\trelay-id=relay_0\top-id=m\tleft=1\n"),
			"line 6: ACCEPT: field far-end: missing"},
		"bad number": {batch("1", start("relay_0", "automatic"), "ACCEPT\trelay-id=relay_0\top-id=m\tleft=1\tfar-end=7.5.1\n"),
			"field far-end"},
		"unknown outcome": {batch("1", start("relay_0", "automatic"), "ATTEMPT_END\trelay-id=relay_0\top-id=m\thow=fine\thost=a\n"),
			`"fine" is no outcome`},
		"no name=value": {"BATCH\tclock\n", "is not name=value"},
		"truncated":     {"BATCH\tclock=1\n", "batch ends without YOUR_TURN"},
		"no instance":   {batch("1", accept), "relay_0 was never configured"},
		"no sheet": {batch("1", start("relay_0", "automatic"), "UPDATE\trelay-id=relay_0\trev=2\tsheet=3\tscope=1\n"),
			"no CATALOG 3"},
		"bad settings": {batch("1", "CONFIGURE\trelay-id=relay_0\tentropy=1\tconfig={}\n"), "field config"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := Serve(strings.NewReader(tc.in), &out)
			if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with %q", err, tc.want)
			}
		})
	}
}
