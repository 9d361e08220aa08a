package tiertest

import (
	"slices"
	"strings"
)

// The kinds of routes, as configurations name them.
const (
	Streaming     = "streaming"
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
)

// Hostname is the host name of all routes.
const Hostname = "tier.example"

// Config is a configuration in the operator's format. The tags are the names of the wire format.
type Config struct {
	Version  int64     `json:"config_version"`
	Routes   []Route   `json:"route_table"`
	Services []Service `json:"service_table"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenant_table,omitempty"` // none: requests need no key
}

// Tenant is an entry of a configuration's tenant table.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	Rank int      `json:"rank"`
}

// Route is an entry of a configuration's route table.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host_name"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"route_kind"`
	DeadlineMs  int64   `json:"deadline_ms"`
	TargetMs    int64   `json:"target_ms"` // latency target
	Service     string  `json:"target_service"`
	MaxAttempts int     `json:"max_attempts"`
	Retained    bool    `json:"retained"` // turns can be continued
	Resumable   bool    `json:"resumable,omitempty"`
	RetentionS  float64 `json:"retain_s,omitempty"`
	Affinity    bool    `json:"affinity"`
	GapTargetMs int64   `json:"gap_aim_ms,omitempty"` // between the events of a stream
	Public      bool    `json:"public,omitempty"`     // requests need no key
}

// Service is an entry of a configuration's service table.
type Service struct {
	Name       string   `json:"name"`
	HealthPath string   `json:"health_path"`
	ConnLimit  int      `json:"conn_limit"`
	Protocol   string   `json:"protocol"`
	TLS        bool     `json:"tls_mode"`
	Backend    *Backend `json:"backend,omitempty"` // of a model service; nil for tools
}

// Backend describes the hosts of a model service.
type Backend struct {
	Capacity    int     `json:"capacity"` // requests at a time
	CacheTokens int     `json:"cache_tokens"`
	EventTokens int     `json:"event_tokens"` // in each event of a stream
	Models      []Model `json:"model_list"`
}

// Model is a model that the hosts of a service serve.
type Model struct {
	Name string `json:"name"`
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeader int   `json:"max_header_bytes"`
	MaxBody   int   `json:"max_body_bytes"`
	HeaderMs  int64 `json:"header_timeout_ms"`
	IdleMs    int64 `json:"idle_timeout_ms"`
}

// routeFor returns the route with the longest prefix of a path, nil if there is none.
func (c *Config) routeFor(path string) (found *Route) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if strings.HasPrefix(path, route.Prefix) && (found == nil || len(route.Prefix) > len(found.Prefix)) {
			found = route
		}
	}
	return found
}

// holderOf returns the name of the tenant that holds a key, "" if none does.
func (c *Config) holderOf(key string) string {
	for i := range c.Tenants {
		if slices.Contains(c.Tenants[i].Keys, key) {
			return c.Tenants[i].Name
		}
	}
	return ""
}

// admits reports whether a request with a key may run by a route.
func (c *Config) admits(route *Route, key string) bool {
	return len(c.Tenants) == 0 || route.Public || c.holderOf(key) != ""
}
