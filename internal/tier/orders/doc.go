// Package orders decides operators' orders: putting or reading a configuration, retiring a store, and asking for the
// phase of that retirement.
//
// # Contract
//
// Decide is a pure function of the control state and an order. The state is the entries of the replication chain as
// one member has them: at the head uncommitted entries included, at the tail committed entries only. The package
// uses no clock, socket or goroutine, and keeps nothing between two calls.
//
// # Duties of the caller
//
// A decision must not be reported to the operator at once:
//
//   - Accept: append Decision.Append in its order to the chain, and report once the last of these entries is committed
//     in the epoch in which it was appended.
//   - Every other kind, at the head: report once the entry at Decision.DependsOn is committed and a majority has
//     confirmed the epoch in a round that began after the decision.
//   - At the tail: confirm the epoch first, then decide by the committed entries.
//
// If that does not happen in time, the outcome is unknown to the operator, who sends the same order again. Design note
// 012 has the argument why no applied configuration is rejected and no rejected one is applied.
//
// # Applied history
//
// Each accepted configuration writes a Record before its ConfigEntry. Records are stored on a ring of pages (Page). A
// record counts only if it is reachable from the current configuration by BaseVersion: one whose configuration was
// never committed is unreachable. LegacyHistory has the digests that the format without records kept.
package orders
