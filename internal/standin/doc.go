// Package standin has stand-ins for the partners that a relay sends to, written from the protocol: hosts
// that serve, refuse, fail, stall, hang and go down as they are told, and a ledger that counts the effects
// of every message. They serve tests, the demo and benchmarks, never the relay.
package standin
