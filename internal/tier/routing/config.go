package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets of the route
}

// Route is one element of route_table.
type Route struct {
	Name          string
	Host          string        // without port, in lower case
	Prefix        string        // of the path; starts and ends with a slash
	Kind          string        // Idempotent, NonIdempotent or Streaming
	Deadline      time.Duration // above 0
	LatencyTarget time.Duration // a response within it has full value; the deadline if it is not set
	GapTarget     time.Duration // for the pauses between events of a stream, 0 for none
	Priority      int           // 0 or above
	Targets       []Target      // at least one; the weights add up to more than 0
	MaxAttempts   int           // 1 or above
	Retained      bool          // turns are recorded in the stores
	Retain        time.Duration // how long the record of a turn is kept
	Affinity      bool          // requests of a program prefer the same host
	Resumable     bool
	Public        bool // requests need no key
}

// Service is one element of service_table. Capacity, CacheTokens, EventTokens and Models are zero unless it is a model
// service.
type Service struct {
	Name        string
	HealthPath  string // of the service's health checks: checked for its form, otherwise not used by the tier
	ConnLimit   int    // connections to a host from all fronts; 0 selects the default
	Capacity    int
	CacheTokens int // of a host's prefix cache
	EventTokens int // tokens of one event of a stream
	Models      []string
	Scaling     Scaling
}

// Scaling bounds how many hosts of a service may be ordered in each zone. It is zero for a service whose hosts the tier does not
// order.
type Scaling struct {
	Min, Max int           // hosts in a zone; Max is above 0
	BootTime time.Duration // until an ordered host serves
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration, validated by Parse. It is immutable.
type Config struct {
	Version  int64
	Raw      []byte // as the operator sent it; the feed's follower sets it to nil
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	Tenants  []Tenant
	byKey    map[string]int   // by key: position in Tenants; nil without tenant_table
	byHost   map[string][]int // by host: positions in Routes, the longest prefix first
}

// sortRoutes sorts the routes of each host by falling length of their prefixes.
func (c *Config) sortRoutes() {
	for _, positions := range c.byHost {
		slices.SortStableFunc(positions, func(a, b int) int {
			return cmp.Compare(len(c.Routes[b].Prefix), len(c.Routes[a].Prefix))
		})
	}
}

// Follows returns an error marked with ErrInvalid unless the configuration's version is above the current one.
func (c *Config) Follows(current int64) error {
	if c.Version <= current {
		return invalidField("config_version", c.Version, "give a version above %d, the current one", current)
	}
	return nil
}

// Route returns the route of a request: of the routes of its host, the one with the longest prefix of the path; nil if there
// is none. The host's port and case and the path's query are ignored.
func (c *Config) Route(host, path string) *Route {
	positions, ok := c.byHost[host]
	if !ok {
		positions = c.byHost[hostname(host)]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, i := range positions {
		if strings.HasPrefix(path, c.Routes[i].Prefix) {
			return &c.Routes[i]
		}
	}
	return nil
}

// hostname returns a host without its port, in lower case.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
