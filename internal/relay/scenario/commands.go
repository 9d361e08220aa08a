package scenario

import "time"

// Command is an operator's command for the whole fleet.
type Command string

// The commands. CommandDrain and CommandUndrain have a target, the others a relay.
const (
	CommandDrain   Command = "drain"
	CommandUndrain Command = "undrain"
	CommandRemove  Command = "gone" // a relay leaves the fleet permanently
	CommandRestore Command = "back" // a removed relay is in the fleet again
)

// Say is a command that an operator gives at a relay. Report pages print its name and fields: they are part of the output.
type Say struct {
	What   Command
	Target string        // of a drain: partner:NAME or endpoint:PARTNER-HOST
	Of     int           // index of the relay that is removed or restored
	Relay  int           // index of the relay that gets the command
	At     time.Duration // from the beginning of the phase
	Within time.Duration // within it, relays connected to that one by a path of links act on the command
}

// Resize changes the fleet's size as the operator's instructions have it: relays that leave are terminated first, the others get
// files with the new list and are restarted one after another, and new relays start last.
type Resize struct {
	To       int           // relays
	Interval time.Duration // from one restart to the next
}
