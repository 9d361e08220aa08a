package routing

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// ErrInvalid marks the errors of an invalid configuration (errors.Is). The message has the field's path, its value and
// the remedy.
var ErrInvalid = errors.New("configuration is invalid")

const (
	maxDepth      = 64                        // of nested objects and arrays; a configuration has five
	maxDuration   = 10 * 365 * 24 * time.Hour // the sum of a few durations can't overflow
	maxInt        = 1 << 40
	maxErrorValue = 80 // bytes of a value in an error message
)

// defaultLimits are the limits of a configuration without them.
var defaultLimits = Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// invalidField returns an error for a field; the remedy is a format with args.
func invalidField(path string, value any, remedy string, args ...any) error {
	text := fmt.Sprint(value)
	if len(text) > maxErrorValue {
		text = text[:maxErrorValue-len("...")] + "..."
	}
	return errors.Mark(errors.Newf("%s is %s: "+remedy, append([]any{path, text}, args...)...), ErrInvalid)
}

// Parse parses and validates a configuration. An error is marked with ErrInvalid and describes the first invalid field. The
// configuration refers to raw, which must not be changed afterwards. Whether its version may replace the current one is
// checked by Follows.
func Parse(raw []byte) (*Config, error) {
	if exceedsDepth(raw) {
		return nil, invalidField("configuration", "nested too deep", "nest objects and arrays at most %d deep", maxDepth)
	}
	if !gjson.ValidBytes(raw) {
		return nil, invalidField("configuration", fmt.Sprintf("no JSON (%d bytes)", len(raw)),
			"send one whole JSON object with nothing behind it")
	}
	var fault error
	document := node{Result: gjson.ParseBytes(raw), err: &fault}
	if !document.IsObject() {
		return nil, invalidField("configuration", document.Raw, "send one JSON object")
	}
	document.fields = readFields(document.Result, nil)
	config := &Config{Raw: raw, Version: document.versionField("config_version"),
		Services: map[string]Service{}, byHost: map[string][]int{}}
	for service := range document.objects("service_table", true) {
		config.addService(service)
	}
	positions := map[routeKey]int{}
	for route := range document.objects("route_table", true) {
		config.addRoute(route, positions)
	}
	config.Limits = parseLimits(document)
	config.parseTenants(document)
	if fault != nil {
		return nil, fault
	}
	config.sortRoutes()
	return config, nil
}

func parseLimits(document node) Limits {
	limits := defaultLimits
	if n, ok := document.objectField("limits"); ok {
		limits.MaxHeader = n.intField("max_header_bytes", 1, limits.MaxHeader)
		limits.MaxBody = n.intField("max_body_bytes", 1, limits.MaxBody)
		limits.HeaderTimeout = n.durationField("header_timeout_ms", time.Millisecond, false, limits.HeaderTimeout)
		limits.IdleTimeout = n.durationField("idle_timeout_ms", time.Millisecond, false, limits.IdleTimeout)
	}
	return limits
}

// exceedsDepth reports whether objects and arrays are nested deeper than maxDepth. It is checked first, since the check of
// the JSON syntax is recursive.
func exceedsDepth(raw []byte) bool {
	depth, quoted := 0, false
	for i := 0; i < len(raw); i++ {
		switch b := raw[i]; {
		case quoted && b == '\\':
			i++
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '{' || b == '[':
			if depth++; depth > maxDepth {
				return true
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return false
}
