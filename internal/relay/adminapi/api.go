// Package adminapi is the local control API of a relay: HTTP with JSON on a Unix socket, for the command
// line, the console and tests. Paths begin with the version of the API. The relay implements Backend; the
// server bounds what clients can cost it, and the client is the only other end that the project has.
//
// Times are Unix milliseconds and lengths of time milliseconds, in fields whose names end in Ms or MS.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Version of the API: it is the first part of every path. It changes when something is taken away or
// means something else, not when something is added.
const Version = 1

// Backend is the relay as the server needs it. No method may block for long, whoever calls it and however
// often; each ends with its context.
type Backend interface {
	Status(context.Context) (Status, error)
	Partners(context.Context) ([]Partner, error)
	Messages(context.Context, Query) (Page, error)
	Message(ctx context.Context, id string) (Message, error)
	Drain(context.Context, DrainRequest) (DrainAnswer, error)
	Undrain(context.Context, DrainRequest) (DrainAnswer, error)
	Stop(context.Context, StopRequest) (StopAnswer, error)
	Fleet(context.Context) (Fleet, error)
	Gone(context.Context, GoneRequest) (Fleet, error)
}

// Error is an answer that says no. Code is for programs, Text for people.
type Error struct {
	Status int    `json:"-"`
	Code   string `json:"code"`
	Text   string `json:"text"`
}

// Error gives the text, without status and code.
func (e *Error) Error() string { return e.Text }

// The codes of an Error.
const (
	NotFound = "not_found" // no such message, partner or endpoint
	Invalid  = "invalid"   // the request cannot be read, or asks for what is out of bounds
	Conflict = "conflict"  // not as things stand, such as the last endpoint of a partner
	Busy     = "busy"      // too many requests; try again
	Failed   = "failed"    // it was to be done and could not be, such as on a full disk
	Stopped  = "stopped"   // the relay is ending
)

// Errorf makes an Error.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// IsCode tells whether an error is an Error of a code.
func IsCode(err error, code string) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// Status is the relay as a whole.
type Status struct {
	API       int       `json:"api"`
	Version   string    `json:"version"`
	PID       int       `json:"pid"`
	NowMs     int64     `json:"now_ms"`
	UpMs      int64     `json:"up_ms"`
	Listen    string    `json:"listen"`
	State     string    `json:"state"`
	Phase     string    `json:"phase"`              // serving, draining, drained, stopping
	UntilMs   int64     `json:"until_ms,omitempty"` // the phase ends by then
	Left      *Left     `json:"left,omitempty"`     // what a drain that is over left
	Held      int       `json:"held"`
	HeldMost  int       `json:"held_most"`
	Out       int       `json:"out"` // calls
	Slots     int       `json:"slots"`
	OldestMs  int64     `json:"oldest_ms"` // how long the oldest message has been held
	Ends      int       `json:"ends"`      // remembered
	EndsMost  int       `json:"ends_most"`
	DiskBytes int64     `json:"disk_bytes"`
	Journal   Journal   `json:"journal"`
	Totals    Totals    `json:"totals"`
	Series    []Second  `json:"series"` // the last whole seconds, oldest first
	Drains    []Drained `json:"drains"`
	Unhealthy int       `json:"unhealthy"` // endpoints not healthy, as the module sees it
	Endpoints int       `json:"endpoints"`
}

// Journal is the durable record.
type Journal struct {
	Segments   int    `json:"segments"`
	MostBytes  int64  `json:"most_bytes"`
	Durability string `json:"durability"`        // process or power
	Trouble    string `json:"trouble,omitempty"` // why nothing new is taken on
}

// Totals count messages since the process began.
type Totals struct {
	Taken     uint64 `json:"taken"`
	Turned    uint64 `json:"turned"` // away at the door
	Delivered uint64 `json:"delivered"`
	Refused   uint64 `json:"refused"` // after they were taken on: they never ran
	Failed    uint64 `json:"failed"`
	Calls     uint64 `json:"calls"`
}

// Second is what happened in one second.
type Second struct {
	Taken     int `json:"taken"`
	Delivered int `json:"delivered"`
	Ended     int `json:"ended"` // refused or failed
}

// Left is what a drain or a stop leaves for later: so many messages, and some of them.
type Left struct {
	Messages int            `json:"messages"`
	Partners map[string]int `json:"partners,omitempty"`
	IDs      []string       `json:"ids,omitempty"` // the oldest ten at most
	Calls    int            `json:"calls"`         // out
}

// Drained is a drain in force.
type Drained struct {
	Target  string `json:"target"` // relay, partner:NAME or endpoint:NAME
	SinceMs int64  `json:"since_ms"`
	By      string `json:"by"`
}

// Partner is one partner with its endpoints.
type Partner struct {
	Name      string     `json:"name"`
	Kind      string     `json:"kind"`
	Classes   []string   `json:"classes"`
	Waiting   int        `json:"waiting"` // messages that are not out
	Out       int        `json:"out"`     // calls
	PauseMs   int64      `json:"pause_ms,omitempty"`
	Drained   bool       `json:"drained"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one endpoint as the module sees it.
type Endpoint struct {
	ID        string  `json:"id"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	State     string  `json:"state"`         // open, drained
	By        string  `json:"by,omitempty"`  // what drained it: endpoint, partner or both
	Health    string  `json:"health"`        // healthy, suspect, recovering
	Why       string  `json:"why,omitempty"` // it is not healthy
	ForMs     int64   `json:"for_ms,omitempty"`
	WaitMs    int64   `json:"wait_ms,omitempty"`  // left of a wait that it told
	PauseMs   int64   `json:"pause_ms,omitempty"` // left of the relay's own pause
	TrialMs   int64   `json:"trial_ms,omitempty"` // until the next trial of a suspect
	Out       int     `json:"out"`
	LatencyMs float64 `json:"latency_ms"`
	Rate      float64 `json:"rate"`            // messages served a second
	Limit     float64 `json:"limit,omitempty"` // calls a second that the relay allows itself
}

// Overview is what a console shows, in one answer.
type Overview struct {
	Status   Status    `json:"status"`
	Partners []Partner `json:"partners"`
	Log      []LogLine `json:"log"`
}

// The states of a message.
const (
	Waiting   = "waiting"
	Out       = "out"
	Delivered = "delivered"
	Refused   = "refused" // it never ran, or may be repeated: handing it in again does no harm
	Fails     = "failed"  // nothing is promised: it may have run
)

// States are all of them.
var States = []string{Waiting, Out, Delivered, Refused, Fails}

// Message is one message, held or ended.
type Message struct {
	ID       string    `json:"id"`
	Class    string    `json:"class"`
	Partner  string    `json:"partner"`
	State    string    `json:"state"`
	Key      string    `json:"key,omitempty"`
	Bytes    int       `json:"bytes"`
	TakenMs  int64     `json:"taken_ms"`
	DueMs    int64     `json:"due_ms"`
	EndedMs  int64     `json:"ended_ms,omitempty"`
	AgainMs  int64     `json:"again_ms,omitempty"` // advice when to hand it in again
	Why      string    `json:"why,omitempty"`      // it ended undelivered, or waits
	NextMs   int64     `json:"next_ms,omitempty"`  // when that changes by itself, at the soonest
	Ran      bool      `json:"may_have_run"`
	Tries    int       `json:"tries"`
	Attempts []Attempt `json:"attempts,omitempty"` // not in lists
}

// Attempt is one try of a message.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	AtMs     int64  `json:"at_ms"`
	TookMs   int64  `json:"took_ms,omitempty"`
	Outcome  string `json:"outcome"` // out while it is
	Ran      bool   `json:"may_have_run"`
}

// The bounds of a Page.
const (
	PageDefault = 50
	PageMost    = 500
)

// Query asks for messages. Zero values do not restrict. With a state of those ended, or Ended, the ends
// that are remembered are listed, newest first; else what is held, oldest first.
type Query struct {
	Partner  string
	Class    string
	State    string
	Ended    bool
	Older    time.Duration // held, or ended, for longer than this
	Newest   bool          // of what is held, the newest first
	Limit    int           // PageDefault if 0, PageMost at most
	Cursor   string        // of the page before
	IDPrefix string
}

// Page is a part of a list.
type Page struct {
	Messages []Message `json:"messages"`
	Next     string    `json:"next,omitempty"` // cursor of the next page; empty if there is none
}

// DrainRequest drains or undrains something.
type DrainRequest struct {
	Target    string `json:"target"` // relay, partner:NAME or endpoint:NAME
	By        string `json:"by"`
	WithinMs  int64  `json:"within_ms,omitempty"`  // of the relay's drain
	AllowLast bool   `json:"allow_last,omitempty"` // also the last open endpoint of a partner
	DryRun    bool   `json:"dry_run,omitempty"`    // say what it would do, and do nothing
	Fleet     bool   `json:"fleet,omitempty"`      // at all relays of the fleet
}

// DrainAnswer tells what was done, or would be, with its consequences in numbers.
type DrainAnswer struct {
	Target    string   `json:"target"`
	Result    string   `json:"result,omitempty"` // empty for a dry run
	Closes    []string `json:"closes,omitempty"` // endpoints that are open, and would be closed
	Last      bool     `json:"last,omitempty"`   // the endpoint is its partner's last open one
	Waiting   int      `json:"waiting"`          // messages for the partner, or all
	Out       int      `json:"out"`              // calls out there
	GraceMs   int64    `json:"grace_ms"`         // nothing new goes there after this
	UntilMs   int64    `json:"until_ms,omitempty"`
	Unhealthy bool     `json:"unhealthy,omitempty"` // of an undrain: it comes back as one that was out
	Fleet     *Fleet   `json:"fleet,omitempty"`     // of one for the fleet: who has heeded it, and who has not
}

// StopRequest asks for an orderly stop.
type StopRequest struct {
	By       string `json:"by"`
	WithinMs int64  `json:"within_ms,omitempty"` // 0 for what the operator's file says
	DryRun   bool   `json:"dry_run,omitempty"`
}

// StopAnswer tells what is left to do.
type StopAnswer struct {
	Result  string `json:"result,omitempty"`
	UntilMs int64  `json:"until_ms"`
	Left    Left   `json:"left"`
}

// Fleet is the fleet as one relay sees it, and the limits that it has a part of.
type Fleet struct {
	Name        string         `json:"name,omitempty"` // this relay's; empty for one of no fleet
	Parts       int            `json:"parts"`          // into which limits are divided
	Over        float64        `json:"over,omitempty"` // all sides of a cut together may grant so many times a limit that was found out
	LostAfterMs int64          `json:"lost_after_ms"`  // a relay that no chain of links joins to this one is known to be lost after this
	Relays      []FleetRelay   `json:"relays"`
	Limits      []FleetLimit   `json:"limits"`
	Words       []FleetWord    `json:"words"`
	Sights      []FleetSight   `json:"sights"`
	Versions    []FleetVersion `json:"versions"`
	HeedMs      int64          `json:"heed_ms"`       // what is said for all is heeded within this by all that are there
	HeedLossyMs int64          `json:"heed_lossy_ms"` // and where three notes in ten are lost
}

// FleetRelay is one relay of the fleet.
type FleetRelay struct {
	Name      string `json:"name"`
	Address   string `json:"address"`
	Self      bool   `json:"self,omitempty"`
	There     bool   `json:"there"`                // some chain of links joins it to this relay
	HeardMs   int64  `json:"heard_ms"`             // since it was heard of, by whatever way; -1 for never
	MetMs     int64  `json:"met_ms"`               // since a note of its own came; -1 for never
	Agrees    bool   `json:"agrees"`               // it holds the same words
	Gone      bool   `json:"gone,omitempty"`       // for good, by an operator's word
	OtherList bool   `json:"other_list,omitempty"` // its file has other relays
}

// FleetLimit is a partner's limit. Shares are of the whole of it.
type FleetLimit struct {
	Partner string       `json:"partner"`
	Steward string       `json:"steward,omitempty"` // to whom this relay's part is pledged
	LeftMs  int64        `json:"left_ms,omitempty"` // until that lapses, unless it is renewed
	Own     float64      `json:"own"`               // this relay's part
	Granted float64      `json:"granted"`           // what this relay may grant, as steward
	Asks    int          `json:"asks"`              // relays that wait for leave of this one
	Rate    float64      `json:"rate,omitempty"`    // told, calls a second
	Burst   float64      `json:"burst,omitempty"`
	AtOnce  int          `json:"at_once,omitempty"`
	Over    float64      `json:"over"` // all sides of a cut together may grant so many times the limit
	Routes  []FleetRoute `json:"routes"`
}

// FleetRoute is what a steward has found out of a route.
type FleetRoute struct {
	Route string  `json:"route"`
	State string  `json:"state"` // open, down or cold
	ForMs int64   `json:"for_ms"`
	Rate  float64 `json:"rate"` // calls a second that may be granted here
	Used  float64 `json:"used"`
	Out   int     `json:"out"`
}

// FleetWord is what an operator said for the whole fleet.
type FleetWord struct {
	Subject string   `json:"subject"` // partner:NAME, endpoint:NAME or gone:RELAY
	Holds   bool     `json:"holds"`   // false: it was taken back
	Count   uint64   `json:"count"`
	By      string   `json:"by"`
	Origin  string   `json:"origin"` // the relay at which it was said
	AtMs    int64    `json:"at_ms"`
	Heeded  []string `json:"heeded"`  // relays that are known to have recorded it and to go by it
	Missing []string `json:"missing"` // the others
}

// FleetSight is how one relay saw an endpoint at first hand: it binds no other.
type FleetSight struct {
	Subject string `json:"subject"`
	Out     bool   `json:"out"` // false: it was, and is well again
	Relay   string `json:"relay"`
	ForMs   int64  `json:"for_ms"`
	SaidMs  int64  `json:"said_ms"` // since that relay said so last
}

// FleetVersion is what one relay acts on: those that are behind come first.
type FleetVersion struct {
	Relay    string `json:"relay"`
	Kind     string `json:"kind"`    // partners, fleet, rules or build
	Version  uint32 `json:"version"` // a digest
	State    string `json:"state"`   // current, behind or unknown
	ForMs    int64  `json:"for_ms"`  // it has been known to act on it
	HeardMs  int64  `json:"heard_ms"`
	BehindMs int64  `json:"behind_ms,omitempty"` // since a newer version appeared
	Newest   int    `json:"newest"`              // relays that act on the newest one
}

// GoneRequest says that a relay is gone for good, or back.
type GoneRequest struct {
	Relay string `json:"relay"`
	Back  bool   `json:"back,omitempty"`
	By    string `json:"by"`
}

// LogLine is a line of the relay's log.
type LogLine struct {
	N     uint64 `json:"n"` // its number
	AtMs  int64  `json:"at_ms"`
	Level string `json:"level"`
	Text  string `json:"text"`
}
