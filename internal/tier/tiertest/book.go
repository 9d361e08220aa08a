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
	Turns         = "streaming"
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
	RetainS     float64 `json:"retain_s,omitempty"`
	Affinity    bool    `json:"affinity"`
	GapAimMs    int64   `json:"gap_aim_ms,omitempty"`
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

// route is the one of a path, nil for none.
func (c *Config) route(path string) (found *Route) {
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
	Base    int64 // the version on which it builds
	Body    []byte
	Sent    time.Time
	Acked   time.Time // zero as long as it is not
	Refused bool      // for good
	Invalid bool
}

// Event is one event of a stream as a client got it.
type Event struct {
	ID   int
	Data string
}

// Try is one request with an id of its own, as the client that made it saw it.
type Try struct {
	Attempt, Program, Session, Previous string
	Method, Path, Kind                  string
	Input                               []byte
	Budget, Most                        int // tokens: of the program, and of this turn
	Front                               string
	Life                                int // of the front
	Sent, Ended                         time.Time
	Status                              int // 0 for no answer
	Whole                               bool
	ID, Seal                            string // headers of the answer
	Body                                []byte // as far as it came
	Events                              []Event
	Err                                 string
}

// End is how a program ended.
type End int

// The ends of a program.
const (
	Whole  End = iota
	Spent      // its budget was
	Failed     // a turn or a call was not answered
)

// Ending is a program that has ended.
type Ending struct {
	Program string
	End     End
	Loops   bool // without an end of its own
	Why     string
}

// Evidence is all that those round a tier saw, for the checks.
type Evidence struct {
	Tries       []Try
	Runs        []modelhost.Run
	Orders      []Order
	Endings     []Ending
	Read        []byte // the configuration as it was read back at the end; nil where that was not done
	EventTokens int
	ToolSize    int
	Retain      time.Duration
}

// Book is where clients and the operator write what they see. It is safe for concurrent use; its zero value is ready.
type Book struct {
	mu      sync.Mutex
	tries   []Try
	orders  []Order
	endings []Ending
}

func (b *Book) add(t Try) { b.mu.Lock(); defer b.mu.Unlock(); b.tries = append(b.tries, t) }

func (b *Book) end(e Ending) { b.mu.Lock(); defer b.mu.Unlock(); b.endings = append(b.endings, e) }

func (b *Book) sent(o Order) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.Sent = time.Now()
	b.orders = append(b.orders, o)
	return len(b.orders) - 1
}

func (b *Book) answered(n int, acknowledged, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.orders[n].Refused = refused; acknowledged {
		b.orders[n].Acked = time.Now()
	}
}

// Newest is the version that was acknowledged last, 0 for none.
func (b *Book) Newest() (version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.orders {
		if !o.Acked.IsZero() {
			version = max(version, o.Version)
		}
	}
	return version
}

// Evidence is a copy of what was written down, with the runs of a ledger. Nothing may be under way any more.
func (b *Book) Evidence(l *modelhost.RunLog) *Evidence {
	runs := l.Runs()
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Evidence{Tries: slices.Clone(b.tries), Runs: runs, Orders: slices.Clone(b.orders), Endings: slices.Clone(b.endings),
		EventTokens: EventTokens, ToolSize: ToolSize, Retain: Retain}
}

// Tries are those that were written down so far.
func (b *Book) Tries() []Try { b.mu.Lock(); defer b.mu.Unlock(); return slices.Clone(b.tries) }
