package chaostest

import (
	"embed"
	"path"
	"strings"
)

//go:embed scenarios/*.hcl
var scenarios embed.FS

// BuiltIn returns the names of the built-in scenarios, sorted.
func BuiltIn() (names []string) {
	all, _ := scenarios.ReadDir("scenarios") // in the order of their names
	for _, e := range all {
		names = append(names, strings.TrimSuffix(e.Name(), ".hcl"))
	}
	return names
}

// Scenario returns the text of a built-in scenario.
func Scenario(name string) ([]byte, error) {
	return scenarios.ReadFile(path.Join("scenarios", name+".hcl"))
}
