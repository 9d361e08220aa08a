package scenario

import (
	"time"
)

// Command is what an operator says for the whole fleet.
type Command string

// The sayings. Drains and their ends have a target, the others a relay.
const (
	CommandDrain   Command = "drain"
	CommandUndrain Command = "undrain"
	CommandRemove  Command = "gone" // a relay, for good
	CommandRestore Command = "back" // it is not gone any more
)

// Say has an operator say something at a relay.
type Say struct {
	What   Command
	Target string // of a drain: partner:NAME or endpoint:PARTNER-HOST
	Of     int    // the relay that is gone
	Relay  int    // at which it is said
	At     time.Duration
	Within time.Duration // a relay that some chain of links joins to that one goes by it
}

// Resize has the fleet become larger or smaller, as operators are told to: those that leave end first, the others get files with
// the new list and are restarted one after another, and those that are new start last.
type Resize struct {
	To       int
	Interval time.Duration // from one restart to the next
}
