package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	one := "TestOne | go test ./a -seed 3 | answers cross | 7\n"
	three := one + "TestTwo | go test ./b | as above | 7\n\n TestThree|go test ./c|x|8\n"
	for _, c := range []struct {
		name, text, wrong string // wrong is part of the error, empty for none
		entries           int
	}{
		{"empty", "\n", "", 0},
		{"one", one, "", 1},
		{"three", three, "", 3},
		{"three and one of hostile clients", three + "TestHostileFour | go test ./d | x | 8\n", "", 4},
		{"four", three + "TestFour | go test ./d | x | 8\n", "3 at most", 0},
		{"the earlier form", "TestOne | answers cross | 7\n", "write it as", 0},
		{"no issue", "TestOne | go test ./a | answers cross\n", "write it as", 0},
		{"empty issue", "TestOne | go test ./a | answers cross |\n", "write it as", 0},
		{"empty command", "TestOne | | answers cross | 7\n", "write it as", 0},
		{"nothing seen", "TestOne | go test ./a | | 7\n", "write it as", 0},
		{"a field too many", "TestOne | go test ./a | x | 7 | 8\n", "write it as", 0},
		{"not a test", "testOne | go test ./a | x | 7\n", "write it as", 0},
		{"a pattern", "Test.* | go test ./a | x | 7\n", "write it as", 0},
		{"all tests", "Test | go test ./a | x | 7\n", "write it as", 0},
		{"a subtest", "TestOne/a | go test ./a | x | 7\n", "write it as", 0},
		{"twice", one + one, "twice", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := parse(c.text)
			if (err != nil) != (c.wrong != "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
				t.Fatalf("error is %v, want one with %q", err, c.wrong)
			}
			if len(list) != c.entries {
				t.Errorf("%d entries, want %d", len(list), c.entries)
			}
		})
	}
}

func TestPatternIsExact(t *testing.T) {
	skip := regexp.MustCompile(pattern([]known{{test: "TestOne"}, {test: "TestTwo"}}))
	for name, want := range map[string]bool{"TestOne": true, "TestTwo": true, "TestOneMore": false, "ATestOne": false, "TestThree": false} {
		if got := skip.MatchString(name); got != want {
			t.Errorf("%s is passed over: %v, want %v", name, got, want)
		}
	}
}

// In a module of its own: a test that is there, one that is not, and one whose name two packages have.
func TestRunLooksForTheTests(t *testing.T) {
	t.Chdir(t.TempDir())
	write(t, "go.mod", "module example.org/m\n\ngo 1.26\n")
	write(t, "a/a_test.go", "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal() }\nfunc TestBoth(t *testing.T) {}\n")
	write(t, "b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestRedder(t *testing.T) {}\nfunc TestBoth(t *testing.T) {}\n")
	for _, c := range []struct{ name, text, skip, wrong string }{
		{"none", "", "", ""},
		{"there", "TestRed | go test ./a | x | 7\n", "^(TestRed)$", ""},
		{"gone", "TestRed | go test ./a | x | 7\nTestGone | go test ./a | x | 7\n", "", "no TestGone"},
		{"in two packages", "TestBoth | go test ./a | x | 7\n", "", "2 tests named TestBoth"},
	} {
		t.Run(c.name, func(t *testing.T) {
			write(t, "KNOWN-RED.txt", c.text)
			skip, err := run("KNOWN-RED.txt")
			if (err != nil) != (c.wrong != "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
				t.Fatalf("error is %v, want one with %q", err, c.wrong)
			}
			if skip != c.skip {
				t.Errorf("pattern is %q, want %q", skip, c.skip)
			}
		})
	}
	t.Run("go test passes over it", func(t *testing.T) {
		if out, err := exec.Command("go", "test", "./a").CombinedOutput(); err == nil {
			t.Errorf("TestRed does not fail: %s", out)
		}
		if out, err := exec.Command("go", "test", "-skip", pattern([]known{{test: "TestRed"}}), "./...").CombinedOutput(); err != nil {
			t.Errorf("%v: %s", err, out)
		}
	})
	t.Run("no file", func(t *testing.T) {
		if skip, err := run("missing.txt"); skip != "" || err != nil {
			t.Errorf("got %q and %v, want nothing", skip, err)
		}
	})
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
