// Package fleetlimit lets the relays of a fleet share what a destination accepts. Each destination has a
// coordinator among the relays. A relay that could send calls requests grants from it; the coordinator knows all
// calls of the fleet and their outcomes, and grants one by one what the routes have room for, the most valuable
// calls first. So eighty relays that see little each keep under a limit as one would that sees everything.
//
// The coordinator is the first relay by rendezvous hashing (Thaler and Ravishankar 1998) of those that answer.
// What a coordinator learns is gossiped with its grants, so that another one that takes its place continues from
// there. A relay whose requests are answered by nobody grants to itself its share of the last known rate.
//
// The package is a pure state machine: it reads no clock, opens no socket and starts no goroutine. The same
// events give the same actions. The caller owns a Limiter, calls Step from one goroutine at a time, carries out
// the returned actions (send a message, wake up, log), passes the grants to the Chooser, and delivers each
// message with the number of the relay that sent it. Messages may be lost, duplicated, delayed and reordered.
package fleetlimit
