// Package relay accepts messages from clients over HTTP and delivers them to the endpoints of their destinations. It
// keeps the clock, the sockets and the durable record around package choice, which decides about hosts, time-outs and
// retries.
//
// # Contract
//
//   - A client is answered 202 only after its message is in the journal. From then on the relay owes the message an end:
//     delivery, or a notice (under a platform) or a stored end (standalone) that says why it was not delivered.
//   - A call to a host begins only after its attempt is in the journal, so that a restart knows which messages may have
//     run.
//   - A notice is posted only after the end that it reports is in the journal, and is repeated until it is acknowledged.
//
// # The event loop
//
// One goroutine, the loop (Relay.Serve, loop.go), owns the engine, the journal and all fields of Relay below the
// channels. Everything else posts functions to it. The loop takes in what has arrived as one batch, lets the engine
// decide once (Relay.step), and commits the decisions (Relay.commit) in this order:
//
//  1. one journal write with the ends, the admitted messages and the attempts;
//  2. the ends are stored and the notices queued;
//  3. the clients of admitted messages are answered;
//  4. calls that cannot go are reported to the engine as not sent, the others begin.
//
// If the one write fails, every part is recorded by itself; what cannot be recorded is rejected or not sent.
//
// # Other goroutines
//
// Each client request has its goroutine in net/http, which reads the request and then waits for the loop's response
// (admission.go). Each call to a host has a goroutine that posts the outcome to the loop (calls.go). One goroutine
// follows discovery, one posts notices, one receives messages from other relays; each ends with the background context.
// They share with the loop only channels, atomics and values that are replaced and never changed (classes, directory,
// cachedView).
//
// # Modes
//
// Under a platform, hosts come from discovery and ends are reported by notices. Standalone (Config.Standalone), partners
// come from the operator's file, ends are stored and can be queried, operators drain and stop the relay through the admin
// API (admin.go), and the relay may be one of a fleet (cluster.go).
//
// # Replacing a process
//
// A relay hands over to a successor, or takes over from a predecessor, as package handover describes (succession.go and
// predecessor.go). Exactly one process writes the journal at any time.
//
// # Duties of the caller
//
// After New, call either Serve, which blocks until the relay has ended, or Abandon. Terminate (platform) and Shutdown
// (standalone) end a relay that serves.
package relay
