// Package routing is the operator's configuration: read by paths, validated whole, and turned into an immutable
// routing table with longest-prefix match.
package routing

import "time"

// The kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Route is one route.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Kind          string
	Deadline      time.Duration
	LatencyTarget time.Duration // an answer within it earns its full worth
	GapTarget     time.Duration
	Priority      int
	Targets       []Target // at least one; shares add up to more than 0
	MaxAttempts   int
	Retained      bool
	Retain        time.Duration
	Affinity      bool
	Resumable     bool
}

// Service is one service. The engine's figures are 0 where it is no model service.
type Service struct {
	Name        string
	HealthPath  string
	ConnLimit   int
	Capacity    int
	CacheTokens int
	EventTokens int
	Models      []string
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeader     int
	MaxBody       int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version, checked.
type Config struct {
	Version  int64
	Raw      []byte // as the operator sent it
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	byHost   map[string][]int // places in Routes, longest prefix first
}
