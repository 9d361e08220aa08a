package modelhost

import (
	"cmp"
	"net/http"
	"time"
)

// Options of a host.
type Options struct {
	ID          string // of this incarnation
	Service     string
	Zone        string
	Addr        string        // to listen on; "" for any free port
	Capacity    int           // requests at a time; 0 for one
	QueueLimit  int           // requests that may wait for a slot
	ConnLimit   int           // connections from all callers; 0 for unlimited
	HealthPath  string        // "" for /health
	ReportsLoad bool          // answers have X-Host-Load
	IdleTimeout time.Duration // after which an idle connection is closed; 0 for never
	RunLog      *RunLog       // nil for a log of its own

	// For tools.
	CallDuration  time.Duration
	ResponseBytes int // at least

	// For models.
	Model           string        // "" for a tool
	Version         int           // of the weights
	Events          int           // of a stream; 0 for as many as the request allows
	EventTokens     int           // in each event; 0 for one
	CacheTokens     int           // memory for requests and cached prefixes; 0 for unlimited
	FirstEventDelay time.Duration // without prefill
	PrefillPerToken time.Duration // for each token of the prompt that is not cached
	EventInterval   time.Duration // between events
}

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults. With all but Overloaded the request is executed.
const (
	NoFault           FaultKind = iota
	Abort                       // the answer is broken off after Fault.After events, or bytes of a tool's answer
	Stall                       // nothing is sent after Fault.After events until the fault is changed; then the answer continues
	DropConnection              // the connection is closed without an answer
	InternalError               // status 500
	Garbage                     // bytes that are no answer, then a close
	TrailingBytes               // bytes after the complete answer
	DuplicateResponse           // the complete answer, and again where the next one on the connection is due
	CloseConnection             // the complete answer with Connection: close
	Overloaded                  // rejected as if the host were full
	Endless                     // an answer that never ends, of the form Fault.Form
	LargeEvents                 // no fault: Fault.After events with data of Fault.EventBytes bytes
)

// Fault is a fault of the requests of a host.
type Fault struct {
	Kind  FaultKind
	After int // events, or bytes of a tool's answer
	Times int // requests that it affects; 0 for all until it is changed

	EventBytes int // of LargeEvents

	// Of Endless.
	Form   Form
	Then   Form          // that follows the beginning of Form; "" for none
	Status int           // of the answer; 0 for 200. With 421, 429 and 503 the request is rejected, not executed
	Pause  time.Duration // between two lines, events or chunks; 0 for as many as the caller takes
}

// status returns the status of an endless answer.
func (f *Fault) status() int { return cmp.Or(f.Status, http.StatusOK) }

// rejects reports whether an endless answer rejects the request.
func (f *Fault) rejects() bool {
	switch f.status() {
	case http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return f.Kind == Endless
	}
	return false
}
