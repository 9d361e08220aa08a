// Package choice is the decision module of an outbound gateway. It decides which message a relay sends next
// and to which endpoint, how long an attempt may take, whether a message is retried and after which backoff,
// how fast a destination is called (rate limits, slow start after an outage), which messages are rejected
// under overload, and when a message gets its final answer.
//
// # Contract
//
// A relay embeds one Chooser and drives it by Step, which takes the current time and all events since the
// last call and returns the actions that the relay must carry out. The package opens no connection, starts no
// goroutine and reads no clock. A Chooser is not safe for concurrent use: Step and the methods that read its
// state (Views, Waits) are called from one goroutine.
//
// # Inputs
//
// Events: Arrival and Restored submit messages, Result ends an attempt, Withdrawn cancels a message, Listing
// updates the endpoint list, Retuned changes settings, Unwell and Told carry over health and waits that
// another process of the relay has learnt, Granted permits a call where a fleet-wide rate limit is
// coordinated, Woken answers a Wake. Events of one Step are applied in their order, before any decision is
// made.
//
// Times are durations since an epoch that the relay chooses. A time that is earlier than that of the last
// Step counts as equal to it.
//
// # Outputs
//
// Actions: Send starts an attempt, Cancel aborts one, Refuse and Fail are final answers, Wake and Subscribe
// ask for later events, Health, Want and Spent are records for others, Log is a line for the operators. They
// are carried out in their order. Each message that was submitted gets exactly one final answer, by Refuse,
// by Fail or by a Result with Done, unless it is withdrawn; none is answered twice.
//
// # Duties of the caller
//
//   - Every Send ends in exactly one Result, also after a Cancel; one that was not made ends as NotSent.
//   - After a Wake, Step is called with Woken once the time has passed, also if nothing else has happened.
//   - Attempts end by their time-out, which is never after the deadline of their message.
//   - The slices of Settings are kept and must not be modified; the slice of actions belongs to the caller.
//
// # Determinism
//
// The same settings, seed, times and events give the same actions in the same order. Randomness (backoffs,
// preferences between equal endpoints) comes only from the seed, and floating point results depend on the
// order of operations: a change of either changes decisions. Tests compare the module, action for action,
// with the plain implementation in choice/internal/reference.
//
// # Cost
//
// A Step costs O(events + actions + calls in flight), times the logarithm of the number of pending messages.
// docs/design/002-backlog.md describes the data structures.
package choice
