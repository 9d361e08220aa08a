package handover

import (
	"encoding/json"
	"time"
)

// State is what an owner knows in addition to its journal.
type State struct {
	InFlight   []InFlight       `json:"out,omitempty"`
	RetryAfter map[string]int64 `json:"waits,omitempty"` // milliseconds until a host takes calls again, by host
	Ended      []Ended          `json:"past,omitempty"`  // oldest first
	HostList   json.RawMessage  `json:"list,omitempty"`  // in discovery's form
}

// InFlight is a message with a call in flight. Messages of one call have the same call number.
type InFlight struct {
	ID   string `json:"i"`
	Call int    `json:"c"`
}

// Ended is a message that has ended. Its id is kept since a client may repeat the message.
type Ended struct {
	ID  string `json:"i"`
	Sum uint32 `json:"s"` // checksum of the journal entry
}

// Outcome is how the attempt of a message that was in flight has ended.
type Outcome struct {
	ID         string        `json:"i"`
	Host       string        `json:"h"`
	Outcome    int           `json:"o"` // a choice.Outcome
	Elapsed    time.Duration `json:"t"`
	RetryAfter time.Duration `json:"w,omitempty"` // as the host asked; zero if it did not
	Done       bool          `json:"d,omitempty"` // the host reported that the message needs no further attempt
}

// takeoverResponse is the owner's answer to a takeover request. Error is empty unless the owner refuses.
type takeoverResponse struct {
	Error string `json:"error,omitempty"`
	State State  `json:"state"`
}
