package reference

import "larchrouter/choice"

// The types are those of package choice: both implementations take the same events and give the same actions.

type (
	// Effect is choice.Effect.
	Effect = choice.Effect
	// Class is choice.Class.
	Class = choice.Class
	// Kind is choice.Kind.
	Kind = choice.Kind
	// Rules is choice.Rules.
	Rules = choice.Rules
	// Settings is choice.Settings.
	Settings = choice.Settings
	// Outcome is choice.Outcome.
	Outcome = choice.Outcome
	// Event is choice.Event.
	Event = choice.Event
	// Arrival is choice.Arrival.
	Arrival = choice.Arrival
	// Result is choice.Result.
	Result = choice.Result
	// Withdrawn is choice.Withdrawn.
	Withdrawn = choice.Withdrawn
	// State is choice.State.
	State = choice.State
	// Host is choice.Host.
	Host = choice.Host
	// Listing is choice.Listing.
	Listing = choice.Listing
	// Woken is choice.Woken.
	Woken = choice.Woken
	// Action is choice.Action.
	Action = choice.Action
	// Send is choice.Send.
	Send = choice.Send
	// Refuse is choice.Refuse.
	Refuse = choice.Refuse
	// Fail is choice.Fail.
	Fail = choice.Fail
	// Cancel is choice.Cancel.
	Cancel = choice.Cancel
	// Wake is choice.Wake.
	Wake = choice.Wake
	// Subscribe is choice.Subscribe.
	Subscribe = choice.Subscribe
	// Health is choice.Health.
	Health = choice.Health
	// Log is choice.Log.
	Log = choice.Log
	// Restored is choice.Restored.
	Restored = choice.Restored
	// Unwell is choice.Unwell.
	Unwell = choice.Unwell
)

// The values of Effect, Outcome and State.
const (
	Safe         = choice.Safe
	Keyed        = choice.Keyed
	Unsafe       = choice.Unsafe
	Served       = choice.Served
	Error        = choice.Error
	Refused      = choice.Refused
	Timeout      = choice.Timeout
	NoConnection = choice.NoConnection
	Reset        = choice.Reset
	Cancelled    = choice.Cancelled
	NotSent      = choice.NotSent
	Spoilt       = choice.Spoilt
	Gone         = choice.Gone
	Ready        = choice.Ready
	Draining     = choice.Draining
)
