package routing

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	maxShares  = 1 << 30 // of one route, in total
	shareScale = 1000    // if a share of a route has a fraction, its weights are in thousandths
)

// addService parses one element of service_table.
func (c *Config) addService(n node) {
	service := Service{
		Name:       n.stringField("name", ""),
		HealthPath: n.stringField("health_path", "/health"),
		ConnLimit:  n.intField("conn_limit", 0, 0),
	}
	if service.Name == "" {
		n.fail("name", `""`, "name the service")
	}
	if !strings.HasPrefix(service.HealthPath, "/") {
		n.fail("health_path", strconv.Quote(service.HealthPath), "give a path that starts with a slash")
	}
	if _, duplicate := c.Services[service.Name]; duplicate {
		n.fail("name", strconv.Quote(service.Name), "name each service once")
	}
	if backend, ok := n.objectField("backend"); ok {
		service.Capacity = backend.intField("capacity", 0, 0)
		service.CacheTokens = backend.intField("cache_tokens", 0, 0)
		service.EventTokens = backend.intField("event_tokens", 0, 0)
		for model := range backend.objects("model_list", false) {
			service.Models = append(service.Models, model.stringField("name", ""))
		}
	}
	if scaling, ok := n.objectField("scaling"); ok {
		service.Scaling = parseScaling(scaling)
	}
	c.Services[service.Name] = service
}

func parseScaling(n node) Scaling {
	scaling := Scaling{
		Min:      n.intField("min_count", 0, 0),
		Max:      n.intField("max_count", 1, 0),
		BootTime: n.durationField("boot_time_s", time.Second, true, 0),
	}
	if scaling.Max < scaling.Min {
		n.fail("max_count", scaling.Max, "give %d, min_count, or more", scaling.Min)
	}
	return scaling
}

// routeKey identifies a route: no two routes have the same host and prefix.
type routeKey struct{ host, path string }

// addRoute parses one element of route_table. Positions has the positions of the routes before it.
func (c *Config) addRoute(n node, positions map[routeKey]int) {
	route := Route{ // in the order in which faults are reported
		Name:        n.stringField("name", ""),
		Host:        hostname(n.stringField("host_name", "")),
		Prefix:      n.stringField("path_prefix", ""),
		Kind:        n.stringField("route_kind", NonIdempotent),
		Deadline:    n.durationField("deadline_ms", time.Millisecond, false, 0),
		GapTarget:   n.durationField("gap_aim_ms", time.Millisecond, true, 0),
		Priority:    n.intField("rank", 0, 0),
		MaxAttempts: n.intField("max_attempts", 1, 1),
		Retained:    n.boolField("retained"),
		Retain:      n.durationField("retain_s", time.Second, true, 0),
		Affinity:    n.boolField("affinity"),
		Resumable:   n.boolField("resumable"),
		Public:      n.boolField("public"),
		Targets:     c.parseTargets(n),
	}
	route.LatencyTarget = n.durationField("target_ms", time.Millisecond, false, route.Deadline)
	checkRoute(n, route)
	key := routeKey{route.Host, route.Prefix}
	if i, duplicate := positions[key]; duplicate {
		n.fail("path_prefix", strconv.Quote(route.Prefix), "route_table.%d has it for the same host: keep one of the two", i)
	}
	positions[key] = len(c.Routes)
	c.byHost[route.Host] = append(c.byHost[route.Host], len(c.Routes))
	c.Routes = append(c.Routes, route)
}

func checkRoute(n node, route Route) {
	switch {
	case route.Host == "":
		n.fail("host_name", `""`, "name the host that clients ask for")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		n.fail("path_prefix", strconv.Quote(route.Prefix), "start and end it with a slash")
	case route.Kind != Idempotent && route.Kind != NonIdempotent && route.Kind != Streaming:
		n.fail("route_kind", strconv.Quote(route.Kind), "give %s, %s or %s", Idempotent, NonIdempotent, Streaming)
	case route.Deadline == 0:
		n.fail("deadline_ms", "absent", "give more than 0")
	}
}

// parseTargets parses the targets of a route: a single one, or a list with shares.
func (c *Config) parseTargets(n node) []Target {
	single, weighted := n.isSet("target_service"), n.isSet("weighted_targets")
	if single && weighted {
		n.fail("weighted_targets", "there beside target_service", "give one of the two")
		return nil
	}
	if !weighted {
		return []Target{{Service: c.targetService(n), Weight: 1}}
	}
	return c.weightedTargets(n)
}

// targetService returns the name of a target's service, which must be in service_table.
func (c *Config) targetService(n node) string {
	name := n.stringField("target_service", "")
	service, ok := c.Services[name]
	if !ok {
		n.fail("target_service", strconv.Quote(name), "name a service of service_table")
	}
	return service.Name
}

// weightedTargets parses the targets with shares. If any share has a fraction, all are scaled to integer weights.
func (c *Config) weightedTargets(n node) []Target {
	var targets []Target
	var shares []float64
	sum, scale := 0.0, 1.0
	for target := range n.objects("weighted_targets", true) {
		share := target.numberField("share", 0, maxShares, 0)
		if share != math.Trunc(share) {
			scale = shareScale
		}
		sum += share
		targets, shares = append(targets, Target{Service: c.targetService(target)}), append(shares, share)
	}
	total := 0
	for i, share := range shares {
		targets[i].Weight = int(math.Round(share * scale))
		total += targets[i].Weight
	}
	if total == 0 || sum > maxShares {
		n.fail("weighted_targets", fmt.Sprintf("a list whose shares add up to %v", sum),
			"give shares that add up to more than 0 and at most %d", maxShares)
	}
	return targets
}
