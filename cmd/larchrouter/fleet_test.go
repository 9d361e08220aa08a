package main

import (
	"encoding/json"
	"strings"
	"testing"

	"larchrouter/internal/relay/rig"
)

// What operators see and say of a fleet, with two relays, one that has the name of another, and one that nobody lists.
func TestFleetCommands(t *testing.T) {
	addrs, err := rig.Addresses(4)
	if err != nil {
		t.Fatal(err)
	}
	names := []string{"ana", "bea"}
	a := newSite(t, rig.Bureau(), rig.Fleet("ana", addrs[0], names, addrs))
	b := newSite(t, rig.Bureau(), rig.Fleet("bea", addrs[1], names, addrs))
	namesake := newSite(t, rig.Bureau(), rig.Fleet("ana", addrs[2], names, addrs))
	stranger := newSite(t, rig.Bureau(), rig.Fleet("eva", addrs[3], append([]string{"eva"}, names...), append([]string{addrs[3]}, addrs...)))
	there := func(s *site) string {
		f, err := s.control.Fleet(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		all := ""
		for _, r := range f.Relays {
			if r.There {
				all += r.Name + " "
			}
		}
		return all
	}
	until(t, "the two hear each other", func() bool { return there(a) == "ana bea " && there(b) == "ana bea " })
	l := a.load()
	a.hand(l, "m1", "payment", "pay")
	a.is(l, "m1", "delivered")
	for _, c := range []struct {
		at   *site
		args string
		code int
		says string
		json string
	}{
		{a, "fleet status", 0, "ana: 2 of 2 relays are there", `"relays"`},
		{a, "fleet limits", 0, "found out", `"granted"`},
		{a, "fleet versions", 0, "current", `"versions"`},
		{a, "fleet status", 0, "heeded by all that are there within 1.0s", ""},
		{a, "fleet verdicts", 0, "SUBJECT", `"words"`},
		{a, "drain pay-1 --fleet --dry-run", 0, "0 messages wait", `"grace_ms"`},
		{a, "drain pay-1 --fleet --wait", 0, "endpoint:pay-1: drained for the fleet", ""},
		{b, "partners", 0, "for the fleet", ""},
		{b, "fleet verdicts", 0, "2 of 2", `"heeded"`},
		{b, "drain pay-1 --fleet", 0, "already drained for the fleet", ""},
		{b, "drain pay-2 --fleet", 5, "the last open endpoint", ""},
		{b, "drain relay --fleet", 5, "leave out fleet", ""},
		{b, "undrain pay-1", 0, "still drained for the fleet", ""},
		{b, "undrain pay-1 --fleet", 0, "undrained for the fleet", ""},
		{b, "undrain pay-1 --fleet", 0, "not drained for the fleet", ""},
		{a, "fleet gone bea", 5, "is heard: stop it first", ""},
		{a, "fleet gone ana", 5, "is this relay", ""},
		{a, "fleet gone eva", 5, "not in the fleet block", ""},
		// The namesake is alone: nobody takes its notes, and what it says is heard by nobody.
		{namesake, "fleet status", 0, "ana: 1 of 2 relays are there", ""},
		{namesake, "drain courier-1 --fleet --allow-last", 0, "not yet by bea", ""},
		{stranger, "fleet status", 0, "eva: 1 of 3 relays are there", ""},
		{stranger, "drain courier-1 --fleet --allow-last", 0, "not yet by ana, bea", ""},
		{b, "fleet verdicts", 0, "endpoint:pay-1", ""},
	} {
		args := append(strings.Fields(c.args), "--config", c.at.file)
		out, errs, code := call(t, args...)
		if code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%q: code %d, want %d and %q: %s%s", c.args, code, c.code, c.says, out, errs)
		}
		if c.json == "" {
			continue
		}
		if out, errs, code = call(t, append(args, "--json")...); code != 0 || !json.Valid([]byte(out)) || !strings.Contains(out, c.json) {
			t.Errorf("%q --json: code %d: %s%s", c.args, code, out, errs)
		}
	}
	for _, s := range []*site{a, b} {
		if f, err := s.control.Fleet(t.Context()); err != nil || len(f.Words) != 1 || f.Parts != 2 {
			t.Errorf("what a namesake and a stranger said is held: %+v, %v", f, err)
		}
	}
	b.kill()
	until(t, "bea is not there", func() bool { return there(a) == "ana " })
	for _, c := range []struct{ args, says string }{
		{"fleet gone bea", "gone:bea"}, {"fleet status", "said to be gone for good"}, {"fleet back bea", "gone:bea  "},
	} {
		if out, errs, code := call(t, append(strings.Fields(c.args), "--config", a.file)...); code != 0 || !strings.Contains(out, c.says) {
			t.Errorf("%q: code %d: %s%s", c.args, code, out, errs)
		}
	}
	if out, errs, code := call(t, "drain", "pay-1", "--fleet", "--config", newSite(t, rig.Bureau(), "").file); code != 5 || !strings.Contains(errs, "of no fleet") {
		t.Errorf("without a fleet: code %d: %s%s", code, out, errs)
	}
}
