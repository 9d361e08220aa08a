// Package tiertest is a test bench for the serving tier, for integration and fault-injection tests. It runs a whole tier
// as processes on one machine, with stand-ins for clients, model hosts, the platform and the operator around it, and
// checks what those observed against the rules of the tier.
//
// A test starts a Tier, adds hosts, sends a configuration, runs Programs through a Client, and injects faults through the
// methods of Machine. The stand-ins record what they observe in the tier's EventLog and in the RunLog of the hosts. At the
// end, EventLog.History joins the two logs and Check returns every Violation. The checks see nothing of the tier's inside,
// so they hold for every implementation of the protocol, also for a tier of two versions (Options.OtherPrograms).
//
// The caller owns a Tier and must Close it, which kills its processes and frees its addresses. It must have waited for the
// end of all programs and runs before it asks for the History. All types but History are safe for concurrent use where
// their comment says so.
package tiertest
