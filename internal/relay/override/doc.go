// Package override spreads operators' overrides to all relays of a fleet: that an endpoint or a partner is
// drained at every relay, or that a relay is removed for good. Overrides and their revocations are ordered by a
// rule, in whatever way and however often they arrive, so all relays that some chain of links joins converge to
// the same state.
//
// A Store holds the overrides; a Gossiper decides which messages to send to which relay. Both are pure state
// machines without clock, socket and goroutine. The caller passes each message to Gossiper.Receive, makes the
// returned overrides durable and carries them out, and then passes them to Gossiper.Apply: only then do they
// count, and only then do other relays learn that they are applied here. It calls Gossiper.Due at the time that
// the last call returned, and after every change, and sends the messages. A Gossiper is used by one goroutine at
// a time.
//
// Overrides are last-writer-wins registers (Shapiro and others 2011) ordered by Lamport clocks (1978), spread by
// pushing and anti-entropy (Demers and others 1987) with digests by bucket. No wall clock orders anything. The
// same messages carry heartbeats, observations of endpoints, and the versions that relays act on.
package override
