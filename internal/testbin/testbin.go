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
var Path = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "larchrouter")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "larchrouter")
	out, err := exec.Command("go", "build", "-o", path, "larchrouter/cmd/larchrouter").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// Main runs a package's tests (a *testing.M, or what checks more after it), and removes the program after them.
func Main(m interface{ Run() int }) {
	code := m.Run()
	if path, err := Path(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}
