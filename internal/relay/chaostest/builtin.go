package chaostest

import (
	"embed"
	"path"
	"strings"
)

//go:embed scenarios/*.hcl
var scenarios embed.FS

// BuiltIn are the names of the scenarios that come with the program.
func BuiltIn() (names []string) {
	all, _ := scenarios.ReadDir("scenarios") // in the order of their names
	for _, e := range all {
		names = append(names, strings.TrimSuffix(e.Name(), ".hcl"))
	}
	return names
}

// Scenario is the text of a built-in scenario.
func Scenario(name string) ([]byte, error) {
	return scenarios.ReadFile(path.Join("scenarios", name+".hcl"))
}
