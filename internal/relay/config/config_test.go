package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

const smallest = `listen = "127.0.0.1:0"
partner "pay" {
  endpoint "pay-1" { address = "127.0.0.1:9001" }
}
`

func parse(text string) (*File, error) { return Parse([]byte(text), "f.hcl", "/srv/larch") }

func TestSmallestFile(t *testing.T) {
	f, err := parse(smallest)
	if err != nil {
		t.Fatal(err)
	}
	if f.State != "/srv/larch/larchrouter-state" || f.Control.Socket != "/srv/larch/larchrouter-state/control.sock" || !f.Control.Enabled {
		t.Errorf("state %q, control %+v", f.State, f.Control)
	}
	if f.Limits != (Limits{2000, 32, 6, 1024, 256, 256, 0}) || f.Ends != (Ends{10000, 24 * time.Hour}) || f.StopWithin != 10*time.Second {
		t.Errorf("limits %+v, ends %+v, stop %v", f.Limits, f.Ends, f.StopWithin)
	}
	if len(f.Classes) != 3 || f.Rules != DefaultRules() || len(f.Zones) != 1 {
		t.Errorf("classes %v, rules %v, zones %v", f.Classes, f.Rules, f.Zones)
	}
	p := f.Partners[0]
	if p.Kind != "separate" || len(p.Classes) != 3 || p.Endpoints[0] != (Endpoint{"pay-1", "127.0.0.1:9001", "default"}) || p.Number != Number("pay") {
		t.Errorf("partner %+v", p)
	}
}

// The relays of a fleet are sorted, whatever their order in the file.
func TestFleet(t *testing.T) {
	f, err := parse(smallest + `fleet {
  name = "b"
  relay "c" {
    address = "10.0.0.3:7946"
    weight  = 3
  }
  relay "b" { address = "[fd00::2]:7946" }
  relay "a" { address = "127.0.0.1:7946" }
}`)
	if err != nil {
		t.Fatal(err)
	}
	if f.Fleet.Self() != 1 || fmt.Sprint(f.Fleet.Names()) != "[a b c]" || f.Fleet.Listen != "[fd00::2]:7946" || f.Fleet.Relays[2].Address != "10.0.0.3:7946" || fmt.Sprint(f.Fleet.Weights()) != "[1 1 3]" {
		t.Errorf("%+v", f.Fleet)
	}
	relay := func(name, address string) string {
		return fmt.Sprintf("\n relay %q {\n  address = %q\n }", name, address)
	}
	for text, want := range map[string]string{
		"fleet {}": `name is missing`,
		"fleet {\n name = \"x\"" + relay("a", "10.0.0.1:1") + "\n}":                            `there is no relay "x"`,
		"fleet {\n name = \"a\"\n relay \"a\" {\n address = \"10.0.0.1:1\"\n weight = 0\n}\n}": "weight is 0, must be from 1 to 100",
		"fleet {\n name = \"a\"" + relay("a", "8.8.8.8:53") + "\n}":                            "must be on loopback or in a private network",
		"fleet {\n name = \"a\"" + relay("a", "host:53") + "\n}":                               "must be ip:port",
		"fleet {\n name = \"a\"" + relay("a", "10.0.0.1:1") + relay("b", "10.0.0.1:1") + "\n}": `is that of relay "a" already`,
		"fleet {\n name = \"a\"" + relay("a", "10.0.0.1:1") + relay("a", "10.0.0.1:2") + "\n}": `relay "a" is there twice`,
		"fleet {\n name = \"a\"" + relay("a", "10.0.0.1:1") + "\n}\nfleet {}":                  "a second fleet block",
	} {
		if _, err := parse(smallest + text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	f, err = parse(strings.Replace(smallest, "  endpoint", "  limit { rate = 8 }\n  endpoint", 1))
	if err != nil || *f.Partners[0].Limit != (quota.Limit{Rate: 8, Burst: 2}) {
		t.Errorf("%+v, %v", f, err)
	}
	if _, err = parse(strings.Replace(smallest, "  endpoint", "  limit {}\n  endpoint", 1)); err == nil || !strings.Contains(err.Error(), "rate is missing") {
		t.Errorf("a limit without a rate: %v", err)
	}
}

// The example is valid, and its documented defaults are those of a file that omits them.
func TestExample(t *testing.T) {
	f, err := Read("../../../deploy/appliance.hcl")
	if err != nil {
		t.Fatal(err)
	}
	small, err := parse(smallest)
	if err != nil {
		t.Fatal(err)
	}
	if f.Limits != small.Limits || f.Ends != small.Ends || f.Rules != small.Rules || f.StopWithin != small.StopWithin ||
		fmt.Sprint(f.Classes) != fmt.Sprint(small.Classes) || filepath.Base(f.State) != filepath.Base(small.State) {
		t.Errorf("the example differs from the defaults:\n%+v\n%+v", f, small)
	}
	if got := f.Kinds[2]; got.Name != "marketplace" || got.PerCall != 5 || !got.Apart {
		t.Errorf("kind %+v", got)
	}
	if z := f.Partners[1].Endpoints[0].Zone; z != "taller" {
		t.Errorf("an endpoint without a zone is in %q, want the first one", z)
	}
}

// Every fault has a position, a description and the allowed values; such a file yields no File.
func TestFaults(t *testing.T) {
	with := func(s string) string { return smallest + s }
	class := func(s string) string { return with("class \"a\" {\n" + s + "\n}\n") }
	const good = `effect = "safe"
deadline = "9s"
`
	for name, c := range map[string]struct{ text, at, says string }{
		"syntax":               {"listen = \n", "1:", ""},
		"empty":                {"", "1:1", "listen is missing"},
		"no partner":           {`listen = "127.0.0.1:1"`, "1:1", `no partner: add partner "NAME"`},
		"no endpoint":          {with("partner \"x\" {}\n"), "5:1", `partner "x" has no endpoint`},
		"no address":           {with("partner \"x\" {\n  endpoint \"e\" {}\n}\n"), "6:3", "address is missing"},
		"bad address":          {with("partner \"x\" {\n  endpoint \"e\" { address = \"nowhere\" }\n}\n"), "6:28", "must be host:port"},
		"port 0":               {with("partner \"x\" {\n  endpoint \"e\" { address = \"h:0\" }\n}\n"), "6:28", "a port from 1 to 65535"},
		"bad listen":           {strings.Replace(smallest, "127.0.0.1:0", "127.0.0.1:70000", 1), "1:10", "a port from 0 to 65535"},
		"unknown key":          {with("lisen = \"x\"\n"), "5:1", "allowed here: class { }, control { }"},
		"unknown key, hint":    {with("limits {\n  hold = 5\n}\n"), "6:3", `allowed here: attempts, cores, descriptors`},
		"unknown block":        {with("partners \"x\" {}\n"), "5:1", "allowed here:"},
		"key in endpoint":      {with("partner \"x\" {\n  endpoint \"e\" {\n    address = \"h:1\"\n    port = 5\n  }\n}\n"), "8:5", "allowed here: address, zone"},
		"partner twice":        {with("partner \"pay\" {\n  endpoint \"e\" { address = \"h:1\" }\n}\n"), "5:9", `partner "pay" is there twice, first in line 2`},
		"endpoint twice":       {with("partner \"x\" {\n  endpoint \"pay-1\" { address = \"h:1\" }\n}\n"), "6:12", `endpoint "pay-1" is there twice, first in line 3`},
		"endpoint of two":      {with("partner \"x\" {\n  endpoint \"e\" { address = \"127.0.0.1:9001\" }\n}\n"), "6:28", "that of endpoint pay/pay-1 already: an endpoint belongs to one partner"},
		"address twice":        {with("partner \"x\" {\n  endpoint \"e\" { address = \"h:1\" }\n  endpoint \"f\" { address = \"h:1\" }\n}\n"), "7:28", "an endpoint has one place"},
		"bad name":             {with("partner \"a b\" {\n  endpoint \"e\" { address = \"h:1\" }\n}\n"), "5:9", "a name has 1 to 100 letters"},
		"unknown kind":         {with("partner \"x\" {\n  kind = \"big\"\n  endpoint \"e\" { address = \"h:1\" }\n}\n"), "6:10", "must be one of separate, shared"},
		"kind twice":           {with("kind \"k\" {}\nkind \"k\" {}\n"), "6:6", "twice"},
		"built-in kind":        {with("kind \"shared\" {}\n"), "5:6", "built in"},
		"unknown zone":         {with("zone \"z\" {}\npartner \"x\" {\n  endpoint \"e\" {\n    address = \"h:1\"\n    zone = \"y\"\n  }\n}\n"), "9:12", `zone "y" is unknown; allowed: z`},
		"unknown class":        {with("partner \"x\" {\n  classes = [\"post\"]\n  endpoint \"e\" { address = \"h:1\" }\n}\n"), "6:13", `class "post" is unknown; allowed: job-order, status-update, payment`},
		"no classes":           {with("partner \"x\" {\n  classes = []\n  endpoint \"e\" { address = \"h:1\" }\n}\n"), "6:13", "classes is empty"},
		"class nobody takes":   {"listen = \"127.0.0.1:0\"\nclass \"a\" {\n" + good + "}\nclass \"b\" {\n" + good + "}\npartner \"x\" {\n  classes = [\"a\"]\n  endpoint \"e\" { address = \"h:1\" }\n}\n", "6:7", `no partner takes class "b"`},
		"class twice":          {class(good) + "class \"a\" {\n" + good + "}\n", "10:7", "twice"},
		"no effect":            {class(`deadline = "9s"`), "5:1", "effect is missing: safe"},
		"no deadline":          {class(`effect = "safe"`), "5:1", "deadline is missing"},
		"bad effect":           {class("effect = \"once\"\ndeadline = \"9s\""), "6:10", "must be one of safe, keyed, unsafe"},
		"deadline under aim":   {class("effect = \"safe\"\ndeadline = \"1s\"\naim = \"2s\""), "8:7", "aim is 2s, must be at most the deadline, 1s"},
		"bad time":             {class("effect = \"safe\"\ndeadline = \"soon\""), "7:12", `must be a time such as "250ms"`},
		"time as number":       {class("effect = \"safe\"\ndeadline = 5"), "7:12", "a time in quotes"},
		"time out of bounds":   {class("effect = \"safe\"\ndeadline = \"48h\""), "7:12", "must be from 10ms to 24h0m0s"},
		"worth below 0":        {class(good + "worth = -1"), "8:9", "must be from 0 to 1000000"},
		"late share":           {class(good + "late_share = 1.5"), "8:14", "must be from 0 to 1"},
		"keyed without window": {class("effect = \"keyed\"\ndeadline = \"9s\""), "5:1", "window is missing"},
		"window without key":   {class(good + "window = \"5s\""), "8:1", `for classes with effect = "keyed" alone`},
		"held none":            {with("limits {\n  held = 0\n}\n"), "6:10", "held is 0, must be from 1 to 1000000"},
		"held no whole":        {with("limits {\n  held = 1.5\n}\n"), "6:10", "whole number"},
		"held as text":         {with("limits {\n  held = \"many\"\n}\n"), "6:10", "held must be a number"},
		"null":                 {with("limits {\n  held = null\n}\n"), "6:10", "held must be a number"},
		"variable":             {with("state = var.x\n"), "5:9", ""},
		"slots over files":     {with("limits {\n  slots = 600\n}\n"), "5:1", "descriptors is 1024, must be at least 1232 for 600 slots"},
		"held over disk":       {with("limits {\n  held = 200000\n}\n"), "5:1", "disk_mb is 256, must be at least"},
		"limits twice":         {with("limits {}\nlimits {}\n"), "6:1", "a second limits block"},
		"control as text":      {with("control {\n  enabled = \"yes\"\n}\n"), "6:13", "enabled must be true or false"},
		"long socket":          {with("control {\n  socket = \"" + strings.Repeat("x", 100) + "\"\n}\n"), "6:12", "a Unix socket's may have 107"},
		"empty text":           {with("state = \"\"\n"), "5:9", "state must not be empty"},
		"durability":           {with("journal {\n  durability = \"disk\"\n}\n"), "6:16", "must be one of process, power"},
		"texts":                {with("partner \"x\" {\n  classes = [1]\n  endpoint \"e\" { address = \"h:1\" }\n}\n"), "6:13", "a list of texts"},
	} {
		t.Run(name, func(t *testing.T) {
			f, err := parse(c.text)
			var faults Faults
			if f != nil || !errors.As(err, &faults) {
				t.Fatalf("%v, %v; want faults", f, err)
			}
			for _, one := range faults {
				if strings.HasPrefix(one.Error(), "f.hcl:"+c.at) && strings.Contains(one.Text, c.says) {
					return
				}
			}
			t.Errorf("got\n%v\nwant one at %s that says %q", err, c.at, c.says)
		})
	}
}

// All faults of a file are reported at once.
func TestAllFaultsAtOnce(t *testing.T) {
	_, err := parse(`listen = "nowhere"
typo   = 1
limits {
  held = 0
}
partner "x" {
  kind = "big"
}
`)
	var faults Faults
	errors.As(err, &faults)
	lines := []int{}
	for _, f := range faults {
		lines = append(lines, f.Line)
	}
	if fmt.Sprint(lines) != "[1 2 4 6 7]" {
		t.Errorf("faults in lines %v, want 1 2 4 6 7:\n%v", lines, err)
	}
}

func TestUnreadableFile(t *testing.T) {
	dir := t.TempDir()
	for path, says := range map[string]string{filepath.Join(dir, "none.hcl"): "no such file", dir: ""} {
		if f, err := Read(path); f != nil || err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v, %v", path, f, err)
		}
	}
	big := filepath.Join(dir, "big.hcl")
	if err := os.WriteFile(big, make([]byte, maxFile+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(big); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Errorf("a file too long: %v", err)
	}
}

// Any bytes are either a valid file, which the decisions accept, or refused with a position.
func FuzzParse(f *testing.F) {
	f.Add(smallest)
	if data, err := os.ReadFile("../../../deploy/appliance.hcl"); err == nil {
		f.Add(string(data))
	}
	f.Add("class \"a\" { effect = [1] }\n")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := parse(text)
		if err != nil {
			var faults Faults
			if got != nil || !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("%v, %v", got, err)
			}
			return
		}
		if _, err := choice.New(choice.Settings{Fleet: 1, Workers: got.Limits.Slots, MaxHeld: got.Limits.Held,
			MaxAttempts: got.Limits.Attempts, Tick: time.Millisecond, Classes: got.Classes, Rules: got.Rules}, 1); err != nil {
			t.Fatal(err)
		}
	})
}
