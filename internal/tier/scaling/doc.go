// Package scaling plans how many hosts of a service run in a zone, from the calls in flight at them. It is pure: time and
// demand in, the number to order out.
//
// # Hysteresis
//
// A number is raised as soon as the demand asks for more, since new hosts take their time to start. It is lowered to the
// highest number that the demand asked for during Params.DownDelay, and not before the planner has seen the demand for that
// long. So between two changes in opposite directions at least DownDelay passes, and a demand that swings faster than that
// keeps the number at its peak.
package scaling
