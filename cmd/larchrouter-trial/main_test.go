package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/testbin"
)

func TestMain(m *testing.M) { testbin.Main(m) }

const small = `
relays = 3
partner "pay" {
  host "a" { rate = 50 }
  load "payment" {
    rate   = 40
    within = "500ms"
  }
}
phase "whole" {
  for = "500ms"
  expect { delivered = DELIVERED }
}
`

// The commands as users call them: what they print, and how they end.
func TestCommands(t *testing.T) {
	program, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	good, bad, report := filepath.Join(dir, "good.hcl"), filepath.Join(dir, "bad.hcl"), filepath.Join(dir, "report.html")
	os.WriteFile(good, []byte(strings.Replace(small, "DELIVERED", "0.1", 1)), 0o600)
	os.WriteFile(bad, []byte(strings.Replace(small, "DELIVERED", "7", 1)), 0o600)
	for _, c := range []struct {
		args string
		code int
		want string // in what is printed, or in the error
	}{
		{"list", 0, "cuts"},
		{"show cuts", 0, "partner \"pay\""},
		{"show nowhere", exitFile, "built in are: "},
		{"check " + good, 0, "is good: 3 relays, 1 phases, 500ms"},
		{"check " + bad, exitFile, "bad.hcl:12:24: delivered is 7, must be from 0 to 1"},
		{"run " + good + " --program " + dir, exitUsage, "cannot be run; give --program PATH"},
		{"run " + good + " --seeds 0 --program " + program, exitUsage, "--seeds is 0"},
		{"run " + good + " --nodes 65 --program " + program, exitFailed, "65 relays, must be from 1 to 64"},
		{"run " + good + " --seeds 2 --report " + report + " --program " + program + " --other " + program, 0, "every bound held"},
		{"run " + good + " --json --program " + program, 0, `"delivered in time"`},
	} {
		var out bytes.Buffer
		cmd := command(&out)
		cmd.SetArgs(strings.Fields(c.args))
		err := cmd.ExecuteContext(t.Context())
		code := 0
		if err != nil {
			with := coded{code: exitUsage}
			errors.As(err, &with)
			code = with.code
			out.WriteString(err.Error())
		}
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: code %d, want %d and %q:\n%s", c.args, code, c.code, c.want, out.String())
		}
	}
	for _, name := range []string{"report-1.html", "report-2.html"} {
		if data, err := os.ReadFile(filepath.Join(dir, name)); err != nil || strings.Count(string(data), "<svg") != 2 {
			t.Errorf("%s: %v, %d bytes", name, err, len(data))
		}
	}
}
