// Package placement decides which stores hold the replicas of programs' turns: it plans the next turnstore.Placement as
// stores register, fail, lose their disks and are retired. Planning is a singleton role of the chain's head, fenced by the
// epoch of its view.
//
// # Contract
//
// A placement is stable, with one list of stores, or joint, with an old and a new list. A change goes from a stable placement
// to a joint one of the next generation, and ends, in the same generation, with the new list once enough of its stores have
// completed their sweep. Plan proposes at most one such step. With at most FaultTolerance machines lost at a time, these steps
// keep a majority of the replicas of each program running, and no acknowledged write is lost (design note 015).
//
// Safety of the data rests on sweeps alone. Time-outs decide when a store is replaced: a wrong one costs an unneeded change.
//
// Stores register with the head periodically. One registration proves nothing, as it may have been delayed while its store
// was replaced; a store is confirmed by a second one. A store that is not confirmed for Timings.SuspectTimeout is a suspect,
// and changes that can wait do so; after FailureTimeout it has failed, and a candidate may replace it; after RemovalTimeout
// it is removed, as long as enough stores remain.
//
// A new head knows nothing of earlier registrations. It inherits the Observations that the head before it published, and uses
// them only once it has listened for Timings.TakeoverGrace: a store that runs has registered with it by then.
//
// # Duties of the caller
//
// The package has no clock, socket or file; it does no locking, and a caller that shares the maps of an Input guards them.
// Times are durations since an arbitrary start, by one monotonic clock of the head. The caller
//
//   - passes each registration to Register, with the same map for as long as it is head without interruption, and a new one
//     after it became head;
//   - calls Plan periodically with the newest placement that it has written, committed or not, and writes the result to the
//     control state before it calls Plan again;
//   - records retirements, in Input.Retired and on disk, only if CanRetire permits it, and those that SuccessorsOfRetiringStores
//     returns before the next placement;
//   - publishes Input.Observe to the other core nodes, and passes the last one received as Input.Inherited when it becomes
//     head;
//   - records each placement change in Departures;
//   - after a pause of its own process sets TookOverAt to the present and discards Inherited: it did not listen meanwhile.
package placement
