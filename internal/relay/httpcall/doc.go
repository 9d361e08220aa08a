// Package httpcall is the transport of a relay: it sends attempts to hosts by HTTP/1.1 and reports what each
// attempt proved about each of its messages. It takes no decisions: the caller chooses the host and the
// time-out, and decides whether to retry.
//
// # Outcomes
//
// Exchange makes one Call and returns an End for each message, in the order of Call.Messages. The outcomes
// differ in what they prove:
//
//   - NotSent and NoConnection: the message did not run. Its request was not written completely, or the host
//     answered that it did not run it.
//   - Refused: the host rejected the message without running it.
//   - Served: the host ran the message.
//   - Error, Timeout, Cancelled, Reset and Spoilt: nothing; the message may have run.
//
// # Ownership
//
// A Pool owns the connections. One that is in use belongs to the call that took it from the pool, until put or
// Close. A Host belongs to the caller and must outlive its calls; before Pool.Shut the caller sets it closed,
// since a connection that is returned later is kept otherwise.
//
// # Concurrency
//
// Pool, Host and Waits are safe for concurrent use. A Call is used by one Exchange at a time; Call.Leave may
// run at the same time.
package httpcall
