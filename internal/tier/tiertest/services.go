package tiertest

import (
	"time"

	"larchrouter/internal/standin/modelhost"
)

// The services and routes of a test tier.
const (
	ModelName         = "m"
	EventTokens       = 2                // in each event of a stream
	ToolResponseBytes = 200              // at least
	Retention         = 60 * time.Second // of completed turns

	TurnPath  = "/turn/"
	DraftPath = "/draft/" // of turns that are not retained, and may be resumed
	ReadPath  = "/read/"  // an idempotent tool
	WritePath = "/write/" // a tool that is not idempotent
	AddedPath = "/added/" // of the route that only some configurations have

	DraftService  = "draft"  // a model service
	ReviewService = "review" // another model service
	ToolService   = "look"
)

const (
	hostsPerService = 2
	hostCapacity    = 16 // requests at a time
	hostQueueLimit  = 32
	hostConnLimit   = 256
	hostCacheTokens = 1 << 18
)

// NewConfig returns a configuration that routes turns to a model service. With added, it has one more route, to tools.
func NewConfig(version int64, turnService string, added bool) Config {
	toolRoute := func(name, prefix, kind string) Route {
		return Route{Name: name, Host: Hostname, Prefix: prefix, Kind: kind, DeadlineMs: 4000, TargetMs: 1000,
			Service: ToolService, MaxAttempts: 2}
	}
	service := func(name string, backend *Backend) Service {
		return Service{Name: name, HealthPath: "/health", ConnLimit: hostConnLimit, Protocol: "h1", Backend: backend}
	}
	c := Config{Version: version, Limits: Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderMs: 3000, IdleMs: 15000}}
	c.Routes = []Route{
		{Name: "turns", Host: Hostname, Prefix: TurnPath, Kind: Streaming, DeadlineMs: 8000, TargetMs: 2000,
			Service: turnService, MaxAttempts: 2, Retained: true, RetentionS: Retention.Seconds(), Affinity: true, GapTargetMs: 500},
		{Name: "drafts", Host: Hostname, Prefix: DraftPath, Kind: Streaming, DeadlineMs: 8000, TargetMs: 2000,
			Service: turnService, MaxAttempts: 2, Resumable: true, Affinity: true, GapTargetMs: 500},
		toolRoute("reads", ReadPath, Idempotent),
		toolRoute("writes", WritePath, NonIdempotent),
	}
	if added {
		c.Routes = append(c.Routes, toolRoute("added", AddedPath, Idempotent))
	}
	for _, name := range []string{DraftService, ReviewService} {
		backend := &Backend{Capacity: hostCapacity, CacheTokens: hostCacheTokens, EventTokens: EventTokens,
			Models: []Model{{ModelName}}}
		c.Services = append(c.Services, service(name, backend))
	}
	c.Services = append(c.Services, service(ToolService, nil))
	return c
}

// AddHosts starts two hosts for each service and returns all hosts. eventInterval is the time between the events of a
// stream; a call of a tool takes twice as long.
func (t *Tier) AddHosts(eventInterval time.Duration) (hosts []*modelhost.Host, err error) {
	for _, service := range []string{DraftService, ReviewService, ToolService} {
		for range hostsPerService {
			o := modelhost.Options{Service: service, Capacity: hostCapacity, QueueLimit: hostQueueLimit, ConnLimit: hostConnLimit,
				CallDuration: 2 * eventInterval, ResponseBytes: ToolResponseBytes}
			if service != ToolService {
				o.Model, o.Version, o.EventTokens, o.CacheTokens = ModelName, 1, EventTokens, hostCacheTokens
				o.FirstEventDelay, o.EventInterval = eventInterval, eventInterval
			}
			host, err := t.AddHost(o)
			if err != nil {
				return hosts, err
			}
			hosts = append(hosts, host)
		}
	}
	return hosts, nil
}
