// Package drain decides what a relay may still send and accept while an operator drains an endpoint, a partner or the
// whole relay, when such a drain has ended, and how it is undone.
//
// # Contract
//
// Two kinds of drain are kept apart. An entry for an endpoint or a partner closes it: no new call goes there, calls in
// flight finish, and messages that wait for it keep waiting, each until its own deadline. A drain of the relay stops the
// admission of messages: what is pending is still delivered, and the drain ends when nothing is pending or its time-out
// is over. A stop is a drain of the relay that ends the process; it cannot be undone and is never recorded.
//
// Entries of the fleet close endpoints in addition to the relay's own entries; they are set and removed elsewhere
// (SetFleetEntries).
//
// # Ownership and concurrency
//
// The package does no I/O and reads no clock: time and the number of pending messages are arguments. A StateTable
// belongs to one goroutine, in the relay to its event loop.
//
// # Duties of the caller
//
// A command returns a Change. The caller records Set and Removed durably before it acknowledges the command, and takes
// the command back with Revert and a Snapshot from before it if they cannot be recorded. After each Change it closes or
// opens the endpoints by StateTable.Open. At start it restores the recorded entries.
package drain
