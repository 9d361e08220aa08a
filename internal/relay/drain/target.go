package drain

import (
	"fmt"
	"strings"
)

// Scope is the kind of a target.
type Scope string

// The scopes.
const (
	Endpoint Scope = "endpoint"
	Partner  Scope = "partner"
	Relay    Scope = "relay"
)

// Target identifies what is drained. Name is empty for the relay.
type Target struct {
	Scope Scope
	Name  string
}

// String returns "relay", or scope and name, such as "partner:bank". It is the form that operators write, the journal
// stores and ParseTarget reads.
func (t Target) String() string {
	if t.Scope == Relay {
		return string(Relay)
	}
	return string(t.Scope) + ":" + t.Name
}

// ParseTarget is the inverse of Target.String.
func ParseTarget(s string) (Target, error) {
	scope, name, named := strings.Cut(s, ":")
	switch t := (Target{Scope(scope), name}); {
	case s == string(Relay):
		return t, nil
	case named && name != "" && (t.Scope == Endpoint || t.Scope == Partner):
		return t, nil
	}
	return Target{}, fmt.Errorf("%q is no target: relay, partner:NAME and endpoint:NAME are", s)
}
