package routing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// ErrInvalid marks a configuration that must not come into force; the message names the field's path, its value and
// the remedy.
var ErrInvalid = errors.New("configuration is invalid")

const (
	mostDepth    = 64                        // of nested objects and arrays; a configuration has five
	mostDuration = 10 * 365 * 24 * time.Hour // sums of a few of them stay far from an overflow
	mostWhole    = 1 << 40
	mostShares   = 1 << 30 // of one route, together
	fraction     = 1000    // a share with a fraction counts in thousandths, as do the others of its route
)

// The limits of a configuration that states none.
var defaultLimits = Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func invalid(path string, value any, remedy string, args ...any) error {
	text := fmt.Sprint(value)
	if len(text) > 80 {
		text = text[:77] + "..."
	}
	return errors.Mark(errors.Newf("%s is %s: "+remedy, append([]any{path, text}, args...)...), ErrInvalid)
}

// Parse reads and checks a whole configuration. It keeps raw, which must not be changed any more. Whether the version
// is above the current one is for Follows to say.
func Parse(raw []byte) (*Config, error) {
	if deep(raw) {
		return nil, invalid("configuration", "nested too deep", "nest objects and arrays at most %d deep", mostDepth)
	}
	if !gjson.ValidBytes(raw) {
		return nil, invalid("configuration", fmt.Sprintf("no JSON (%d bytes)", len(raw)), "send one whole JSON object with nothing behind it")
	}
	var first error
	doc := node{Result: gjson.ParseBytes(raw), err: &first}
	if !doc.IsObject() {
		return nil, invalid("configuration", doc.Raw, "send one JSON object")
	}
	doc.fields = fieldsOf(doc.Result, nil)
	c := &Config{Raw: raw, Version: doc.version("config_version"), Services: map[string]Service{}, byHost: map[string][]int{}}
	for s := range doc.list("service_table", true) {
		c.addService(s)
	}
	places := map[prefix]int{}
	for r := range doc.list("route_table", true) {
		c.addRoute(r, places)
	}
	c.Limits = defaultLimits
	if l, ok := doc.object("limits"); ok {
		c.Limits.MaxHeader = l.whole("max_header_bytes", 1, c.Limits.MaxHeader)
		c.Limits.MaxBody = l.whole("max_body_bytes", 1, c.Limits.MaxBody)
		c.Limits.HeaderTimeout = l.duration("header_timeout_ms", time.Millisecond, false, c.Limits.HeaderTimeout)
		c.Limits.IdleTimeout = l.duration("idle_timeout_ms", time.Millisecond, false, c.Limits.IdleTimeout)
	}
	if first != nil {
		return nil, first
	}
	for _, places := range c.byHost {
		slices.SortStableFunc(places, func(a, b int) int { return cmp.Compare(len(c.Routes[b].Prefix), len(c.Routes[a].Prefix)) })
	}
	return c, nil
}

func (c *Config) addService(n node) {
	s := Service{Name: n.text("name", ""), HealthPath: n.text("health_path", "/health"), ConnLimit: n.whole("conn_limit", 0, 0)}
	if s.Name == "" {
		n.fail("name", `""`, "name the service")
	}
	if !strings.HasPrefix(s.HealthPath, "/") {
		n.fail("health_path", strconv.Quote(s.HealthPath), "give a path that starts with a slash")
	}
	if _, twice := c.Services[s.Name]; twice {
		n.fail("name", strconv.Quote(s.Name), "name each service once")
	}
	if b, ok := n.object("backend"); ok {
		s.Capacity = b.whole("capacity", 0, 0)
		s.CacheTokens = b.whole("cache_tokens", 0, 0)
		s.EventTokens = b.whole("event_tokens", 0, 0)
		for m := range b.list("model_list", false) {
			s.Models = append(s.Models, m.text("name", ""))
		}
	}
	c.Services[s.Name] = s
}

// prefix is what no two routes have in common.
type prefix struct{ host, path string }

func (c *Config) addRoute(n node, places map[prefix]int) {
	r := Route{
		Name: n.text("name", ""), Host: hostname(n.text("host_name", "")), Prefix: n.text("path_prefix", ""),
		Kind: n.text("route_kind", NonIdempotent), Deadline: n.duration("deadline_ms", time.Millisecond, false, 0),
		GapTarget: n.duration("gap_aim_ms", time.Millisecond, true, 0), Priority: n.whole("rank", 0, 0),
		MaxAttempts: n.whole("max_attempts", 1, 1), Retained: n.flag("retained"), Retain: n.duration("retain_s", time.Second, true, 0),
		Affinity: n.flag("affinity"), Resumable: n.flag("resumable"), Targets: c.targets(n),
	}
	r.LatencyTarget = n.duration("target_ms", time.Millisecond, false, r.Deadline)
	switch {
	case r.Host == "":
		n.fail("host_name", `""`, "name the host that clients ask for")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		n.fail("path_prefix", strconv.Quote(r.Prefix), "start and end it with a slash")
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming:
		n.fail("route_kind", strconv.Quote(r.Kind), "give %s, %s or %s", Idempotent, NonIdempotent, Streaming)
	case r.Deadline == 0:
		n.fail("deadline_ms", "absent", "give more than 0")
	}
	if i, twice := places[prefix{r.Host, r.Prefix}]; twice {
		n.fail("path_prefix", strconv.Quote(r.Prefix), "route_table.%d has it for the same host: keep one of the two", i)
	}
	places[prefix{r.Host, r.Prefix}] = len(c.Routes)
	c.byHost[r.Host] = append(c.byHost[r.Host], len(c.Routes))
	c.Routes = append(c.Routes, r)
}

// targets of a route: all its services are known and their shares add up to more than 0.
func (c *Config) targets(n node) []Target {
	known := func(t node) string {
		name := t.text("target_service", "")
		s, ok := c.Services[name]
		if !ok {
			t.fail("target_service", strconv.Quote(name), "name a service of service_table")
		}
		return s.Name
	}
	single, weighted := n.has("target_service"), n.has("weighted_targets")
	if single && weighted {
		n.fail("weighted_targets", "there beside target_service", "give one of the two")
		return nil
	}
	if !weighted {
		return []Target{{Service: known(n), Weight: 1}}
	}
	var targets []Target
	var shares []float64
	sum, unit := 0.0, 1.0
	for t := range n.list("weighted_targets", true) {
		share := t.number("share", 0, mostShares, 0)
		if share != math.Trunc(share) {
			unit = fraction
		}
		sum += share
		targets, shares = append(targets, Target{Service: known(t)}), append(shares, share)
	}
	all := 0
	for i, share := range shares {
		targets[i].Weight = int(math.Round(share * unit))
		all += targets[i].Weight
	}
	if all == 0 || sum > mostShares {
		n.fail("weighted_targets", fmt.Sprintf("a list whose shares add up to %v", sum), "give shares that add up to more than 0 and at most %d", mostShares)
	}
	return targets
}

// Follows tells whether the configuration may come after the current version.
func (c *Config) Follows(current int64) error {
	if c.Version <= current {
		return invalid("config_version", c.Version, "give a version above %d, the current one", current)
	}
	return nil
}

// Route picks the route of a request: of those of the host, the one with the longest prefix that begins the path; nil
// if there is none. Neither the host's port and case nor the path's query matter.
func (c *Config) Route(host, path string) *Route {
	places, ok := c.byHost[host]
	if !ok {
		places = c.byHost[hostname(host)]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, i := range places {
		if strings.HasPrefix(path, c.Routes[i].Prefix) {
			return &c.Routes[i]
		}
	}
	return nil
}

// hostname is a host without port, in lower case.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// deep tells whether JSON nests deeper than is read; the check of its grammar recurses.
func deep(raw []byte) bool {
	depth, quoted := 0, false
	for i := 0; i < len(raw); i++ {
		switch b := raw[i]; {
		case quoted && b == '\\':
			i++
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '{' || b == '[':
			if depth++; depth > mostDepth {
				return true
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return false
}
