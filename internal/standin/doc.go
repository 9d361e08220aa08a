// Package standin has stand-ins for the hosts of the partners that a relay sends to and for the platform's agent on its machine, written
// from the protocol. A host serves, refuses, fails, stalls, hangs or goes down as it is set to, and a Ledger counts the effects of each
// message. They are for tests, the demo and benchmarks, never for the relay.
package standin
