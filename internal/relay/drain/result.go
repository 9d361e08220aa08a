package drain

import (
	"errors"
	"fmt"
	"time"
)

// Grace is the time from the acknowledgement of a drain after which no new call goes to the endpoint, as the rule on
// drains has it. The relay itself closes the endpoint before it acknowledges.
const Grace = 250 * time.Millisecond

// Bounds and default of the time-out of a drain of the relay, and bounds of that of a stop.
const (
	MinTimeout     = time.Second
	DefaultTimeout = 30 * time.Second
	MaxTimeout     = 24 * time.Hour
	maxEntries     = 10000 // bounds what operators may drain one by one, and with it what is recorded
)

// Errors of the commands of a StateTable. ErrUnknownTarget and ErrLastEndpoint are wrapped with the target.
var (
	ErrUnknownTarget  = errors.New("not in the operator's file")
	ErrLastEndpoint   = errors.New("the last open endpoint of its partner; drain the partner, or allow it")
	ErrStopping       = errors.New("the relay is stopping, which cannot be undone")
	ErrTooMany        = fmt.Errorf("more than %d drains", maxEntries)
	ErrInvalidTimeout = fmt.Errorf("the time allowed must be from %v to %v", MinTimeout, MaxTimeout)
)

// Entry is one drain in force.
type Entry struct {
	Target      Target
	Since       time.Time
	RequestedBy string        // the operator, by the name given with the command
	Timeout     time.Duration // of a drain of the relay; zero for other targets
}

// Phase is the state of the relay as a whole.
type Phase string

// The phases of the relay.
const (
	Serving  Phase = "serving"
	Draining Phase = "draining" // admits nothing, delivers what is pending
	Drained  Phase = "drained"  // nothing is pending, or the time-out is over: the relay may be stopped
	Stopping Phase = "stopping"
)

// Result is the effect of a command, in the words of the admin API.
type Result string

// The results. A command that changed nothing is not an error.
const (
	ResultDrained         Result = "drained"         // the target is closed
	ResultAlreadyDrained  Result = "already drained" // the first entry stays, with its time
	ResultShortened       Result = "bound shortened" // the relay's drain got an earlier deadline
	ResultUndrained       Result = "undrained"       // the target is open again
	ResultNotDrained      Result = "not drained"     // there was no entry
	ResultPartnerDrained  Result = "still drained"   // its own entry is removed, that of its partner closes it
	ResultFleetDrained    Result = "still drained for the fleet"
	ResultStopping        Result = "stopping"         // replaces a drain of the relay
	ResultAlreadyStopping Result = "already stopping" // the earlier deadline stays
)

// Change is what a command asks the relay to record and carry out. Set and Removed are recorded before the command is
// acknowledged; endpoints are then closed or opened by StateTable.Open.
type Change struct {
	Result  Result
	Set     []Entry
	Removed []Target
}
