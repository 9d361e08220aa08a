// Package testbin builds the program for tests that run it as a process.
package testbin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Path is the program, built once for the tests of a package.
var Path = sync.OnceValues(func() (string, error) { return build() })

// Planted is the program with the faults of internal/relay/faultinject in it, to be switched in by LARCHROUTER_PLANT.
var Planted = sync.OnceValues(func() (string, error) { return build("-tags", "planted") })

var (
	mu   sync.Mutex
	dirs []string // of the programs that were built
)

func build(flags ...string) (string, error) {
	dir, err := os.MkdirTemp("", "larchrouter")
	if err != nil {
		return "", err
	}
	mu.Lock()
	dirs = append(dirs, dir)
	mu.Unlock()
	path := filepath.Join(dir, "larchrouter")
	out, err := exec.Command("go", append(append([]string{"build"}, flags...), "-o", path, "larchrouter/cmd/larchrouter")...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
}

// Main runs a package's tests (a *testing.M, or what checks more after it), and removes the programs after them.
func Main(m interface{ Run() int }) {
	code := m.Run()
	for _, dir := range dirs {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}
