// Package scaling plans how many hosts of a service are to run in a zone, from their calls in flight. It is pure: it takes the time
// and the demand, and returns the number to order.
//
// # Hysteresis
//
// Scaling up is immediate, since new hosts take time to start. Scaling down goes to the highest number that the demand needed
// during Params.DownDelay, and not before the planner has observed the demand for that long. So at least DownDelay passes between
// two changes in opposite directions, and a demand that oscillates faster than that keeps the number at its peak.
package scaling
