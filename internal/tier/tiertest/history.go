package tiertest

import (
	"time"

	"larchrouter/internal/standin/modelhost"
)

// Order is a configuration that the operator sent, and what became of it.
type Order struct {
	Config
	BaseVersion  int64  // the version that it replaces
	Body         []byte // as sent
	Sent         time.Time
	Acknowledged time.Time // zero until it is
	Rejected     bool      // by a final answer
	Invalid      bool      // must be rejected
}

// Event is one event of a stream as a client received it.
type Event struct {
	ID   int // from 1
	Data string
}

// Attempt is one attempt of a client's request, as the client observed it.
type Attempt struct {
	ID           string // unique; sent as X-Attempt-Id
	Program      string
	Session      string
	Previous     string // attempt id of the turn that this turn continues, "" for none
	Method, Path string
	Kind         string // of its route
	Resumable    bool   // its route may resume streams, so that it may run more than once
	Key          string // sent as Api-Key, "" for none
	ClaimedName  string // sent as X-Tenant, "" for none: hosts get the name of the key's tenant instead
	Input        []byte // body of the request
	Budget       int    // tokens, of the program
	MaxTokens    int    // tokens that this turn may generate at most
	Front        string // name of the machine that it was sent to
	Incarnation  int    // of the front's process
	Sent, Ended  time.Time
	Deadline     time.Time // by X-Time-Left-Ms
	Status       int       // 0 for no answer
	Complete     bool      // the answer's body was read to its end
	ResponseID   string    // X-Attempt-Id of the answer
	Seal         string    // X-Host-Seal of the answer: set by hosts alone
	Body         []byte    // as far as it was received
	Events       []Event
	Err          string
}

// Termination is a SIGTERM of a front.
type Termination struct {
	Front       string // name of the machine
	Incarnation int    // of the front's process
	At          time.Time
}

// Outcome is how a program ended.
type Outcome int

// The outcomes of a program.
const (
	Completed Outcome = iota
	BudgetExhausted
	Failed // a turn or a call was not answered
)

// Result is the end of a program.
type Result struct {
	Program string
	Outcome Outcome
	Endless bool // the program ends by its budget alone
	Reason  string
}

// History is everything that was observed around a tier: the input of Check.
type History struct {
	Attempts          []Attempt
	Runs              []modelhost.Run // requests that hosts began to execute
	Orders            []Order
	Results           []Result
	Terminations      []Termination
	GracePeriod       time.Duration // between SIGTERM and SIGKILL
	ReadBack          []byte        // the configuration as read back at the end; nil if it was not read
	EventTokens       int           // tokens in an event
	ToolResponseBytes int
	Retention         time.Duration // for which a completed turn can be continued
	RevocationBound   time.Duration // after which a key that was taken away runs nothing; 0 for no such bound
}
