// Package orders decides operators' orders: putting or reading a configuration, retiring a store, and asking for the
// phase of that retirement. It also decides the orders by which core nodes record the state of singleton tasks, which are
// recurring calls to the platform that only the lease holder may make.
//
// # Contract
//
// Decide is a pure function of the control state and an order. The state is the entries of the replication chain as
// one member has them: at the head including uncommitted entries, at the tail committed entries only. The package
// uses no clock, socket or goroutine, and keeps no state between calls.
//
// # Obligations of the caller
//
// A decision must not be reported to the operator immediately:
//
//   - Accept: append the entries of Decision.Append to the chain in that order, and report once the last of them is
//     committed in the epoch in which it was appended.
//   - Every other kind, at the head: report once the entry at Decision.DependsOn is committed and a quorum has confirmed
//     the epoch in a round that began after the decision.
//   - At the tail: confirm the epoch first, then decide on the committed entries.
//
// If that does not happen before the time-out, the outcome is unknown to the operator, who retries the same order.
// Design note 012 argues that no applied configuration is rejected and that no rejected one is applied.
//
// # Applied history
//
// Each accepted configuration writes a Record before its ConfigEntry. Records are stored in a ring of pages (Page). A
// record is valid only if it is reachable from the current configuration by following BaseVersion: a record whose
// configuration was never committed is unreachable. LegacyHistory has the digests that the format without records kept.
package orders
