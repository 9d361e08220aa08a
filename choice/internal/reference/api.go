package reference

import "larchrouter/choice"

type (
	Effect    = choice.Effect
	Class     = choice.Class
	Kind      = choice.Kind
	Rules     = choice.Rules
	Settings  = choice.Settings
	Outcome   = choice.Outcome
	Event     = choice.Event
	Arrival   = choice.Arrival
	Result    = choice.Result
	Withdrawn = choice.Withdrawn
	State     = choice.State
	Host      = choice.Host
	Listing   = choice.Listing
	Woken     = choice.Woken
	Action    = choice.Action
	Send      = choice.Send
	Refuse    = choice.Refuse
	Fail      = choice.Fail
	Cancel    = choice.Cancel
	Wake      = choice.Wake
	Subscribe = choice.Subscribe
	Health    = choice.Health
	Log       = choice.Log
	Restored  = choice.Restored
	Unwell    = choice.Unwell
)

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
