package tiertest

import (
	"slices"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// The kinds of routes, as configurations have them.
const (
	Streaming     = "streaming"
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
)

// Hostname is that of all routes.
const Hostname = "tier.example"

// Config is a configuration as the operator writes it.
type Config struct {
	Version  int64     `json:"config_version"`
	Routes   []Route   `json:"route_table"`
	Services []Service `json:"service_table"`
	Limits   Limits    `json:"limits"`
}

// Route is one of its routes.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host_name"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"route_kind"`
	DeadlineMs  int64   `json:"deadline_ms"`
	TargetMs    int64   `json:"target_ms"`
	Service     string  `json:"target_service"`
	MaxAttempts int     `json:"max_attempts"`
	Retained    bool    `json:"retained"`
	RetentionS  float64 `json:"retain_s,omitempty"`
	Affinity    bool    `json:"affinity"`
	GapTargetMs int64   `json:"gap_aim_ms,omitempty"`
}

// Service is one of its services; Backend is that of a model service.
type Service struct {
	Name       string   `json:"name"`
	HealthPath string   `json:"health_path"`
	ConnLimit  int      `json:"conn_limit"`
	Protocol   string   `json:"protocol"`
	TLS        bool     `json:"tls_mode"`
	Backend    *Backend `json:"backend,omitempty"`
}

// Backend is what a configuration tells of model hosts.
type Backend struct {
	Capacity    int     `json:"capacity"`
	CacheTokens int     `json:"cache_tokens"`
	EventTokens int     `json:"event_tokens"`
	Models      []Model `json:"model_list"`
}

// Model is one that hosts hold.
type Model struct {
	Name string `json:"name"`
}

// Limits bound clients.
type Limits struct {
	MaxHeader int   `json:"max_header_bytes"`
	MaxBody   int   `json:"max_body_bytes"`
	HeaderMs  int64 `json:"header_timeout_ms"`
	IdleMs    int64 `json:"idle_timeout_ms"`
}

// routeFor is the one of a path, nil for none.
func (c *Config) routeFor(path string) (found *Route) {
	for i := range c.Routes {
		if r := &c.Routes[i]; strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found
}

// Order is a configuration as it was sent.
type Order struct {
	Config
	BaseVersion  int64 // the version on which it builds
	Body         []byte
	Sent         time.Time
	Acknowledged time.Time // zero as long as it is not
	Rejected     bool      // for good
	Invalid      bool
}

// Event is one event of a stream as a client got it.
type Event struct {
	ID   int
	Data string
}

// Attempt is one request with an id of its own, as the client that made it saw it.
type Attempt struct {
	ID, Program, Session, Previous string
	Method, Path, Kind             string
	Input                          []byte
	Budget, MaxTokens              int // tokens: of the program, and of this turn
	Front                          string
	Incarnation                    int // of the front
	Sent, Ended                    time.Time
	Status                         int // 0 for no answer
	Complete                       bool
	ResponseID, Seal               string // headers of the answer
	Body                           []byte // as far as it came
	Events                         []Event
	Err                            string
}

// Outcome is how a program ended.
type Outcome int

// The ends of a program.
const (
	Completed       Outcome = iota
	BudgetExhausted         // its budget was
	Failed                  // a turn or a call was not answered
)

// Result is a program that has ended.
type Result struct {
	Program string
	Outcome Outcome
	Endless bool // without an end of its own
	Reason  string
}

// History is all that those round a tier saw, for the checks.
type History struct {
	Attempts          []Attempt
	Runs              []modelhost.Run
	Orders            []Order
	Results           []Result
	ReadBack          []byte // the configuration as it was read back at the end; nil where that was not done
	EventTokens       int
	ToolResponseBytes int
	Retention         time.Duration
}

// EventLog is where clients and the operator write what they see. It is safe for concurrent use; its zero value is ready.
type EventLog struct {
	mu       sync.Mutex
	attempts []Attempt
	orders   []Order
	results  []Result
}

func (b *EventLog) addAttempt(t Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, t)
}

func (b *EventLog) addResult(e Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, e)
}

func (b *EventLog) orderSent(o Order) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.Sent = time.Now()
	b.orders = append(b.orders, o)
	return len(b.orders) - 1
}

func (b *EventLog) orderAnswered(n int, acknowledged, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.orders[n].Rejected = refused; acknowledged {
		b.orders[n].Acknowledged = time.Now()
	}
}

// NewestAcknowledged is the version that was acknowledged last, 0 for none.
func (b *EventLog) NewestAcknowledged() (version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.orders {
		if !o.Acknowledged.IsZero() {
			version = max(version, o.Version)
		}
	}
	return version
}

// History is a copy of what was written down, with the runs of a ledger. Nothing may be under way any more.
func (b *EventLog) History(l *modelhost.RunLog) *History {
	runs := l.Runs()
	b.mu.Lock()
	defer b.mu.Unlock()
	return &History{Attempts: slices.Clone(b.attempts), Runs: runs, Orders: slices.Clone(b.orders), Results: slices.Clone(b.results),
		EventTokens: EventTokens, ToolResponseBytes: ToolResponseBytes, Retention: Retention}
}

// Attempts are those that were written down so far.
func (b *EventLog) Attempts() []Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.attempts)
}
