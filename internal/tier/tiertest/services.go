package tiertest

import (
	"time"

	"larchrouter/internal/standin/modelhost"
)

// The services and routes of stand-in tiers.
const (
	ModelName         = "m"
	EventTokens       = 2
	ToolResponseBytes = 200
	Retention         = 60 * time.Second

	TurnPath  = "/turn/"
	ReadPath  = "/read/"  // an idempotent tool
	WritePath = "/write/" // one that must not run twice
	AddedPath = "/added/" // of the route that some configurations have

	DraftService  = "draft"  // a model service
	ReviewService = "review" // another one
	ToolService   = "look"   // a service of tools
)

// NewConfig is a configuration whose turns go to a model service; added gives it one more route for tools.
func NewConfig(version int64, turns string, added bool) Config {
	tool := func(name, prefix, kind string) Route {
		return Route{Name: name, Host: Hostname, Prefix: prefix, Kind: kind, DeadlineMs: 4000, TargetMs: 1000, Service: ToolService, MaxAttempts: 2}
	}
	c := Config{Version: version, Limits: Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderMs: 3000, IdleMs: 15000}}
	c.Routes = []Route{
		{Name: "turns", Host: Hostname, Prefix: TurnPath, Kind: Streaming, DeadlineMs: 8000, TargetMs: 2000, Service: turns, MaxAttempts: 2, Retained: true, RetentionS: Retention.Seconds(), Affinity: true, GapTargetMs: 500},
		tool("reads", ReadPath, Idempotent), tool("writes", WritePath, NonIdempotent),
	}
	if added {
		c.Routes = append(c.Routes, tool("added", AddedPath, Idempotent))
	}
	for _, name := range []string{DraftService, ReviewService} {
		c.Services = append(c.Services, Service{Name: name, HealthPath: "/health", ConnLimit: 256, Protocol: "h1",
			Backend: &Backend{Capacity: 16, CacheTokens: 1 << 18, EventTokens: EventTokens, Models: []Model{{ModelName}}}})
	}
	c.Services = append(c.Services, Service{Name: ToolService, HealthPath: "/health", ConnLimit: 256, Protocol: "h1"})
	return c
}

// AddHosts starts two hosts for each service. step lies between the events of a stream.
func (t *Tier) AddHosts(step time.Duration) (all []*modelhost.Host, err error) {
	for _, service := range []string{DraftService, ReviewService, ToolService} {
		for range 2 {
			o := modelhost.Options{Service: service, Capacity: 16, QueueLimit: 32, ConnLimit: 256, CallDuration: 2 * step, ResponseBytes: ToolResponseBytes}
			if service != ToolService {
				o.Model, o.Version, o.EventTokens, o.CacheTokens, o.FirstEventDelay, o.EventInterval = ModelName, 1, EventTokens, 1<<18, step, step
			}
			h, err := t.AddHost(o)
			if err != nil {
				return all, err
			}
			all = append(all, h)
		}
	}
	return all, nil
}
