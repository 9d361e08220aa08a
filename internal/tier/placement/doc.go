// Package placement decides which stores hold the replicas of programs' turns: it plans the next turnstore.Placement as
// stores register, fail, lose their disks and are retired. Only the head of the replication chain plans; the epoch of its
// view fences off earlier heads.
//
// # Contract
//
// A placement is stable, with one list of stores, or joint, with an old and a new list. A change starts with a joint placement
// of the next generation. Each store of the new list then sweeps: it pulls what it lacks from the stores of the old list. Once
// enough of them have completed their sweep, the change ends, in the same generation, with a stable placement on the new list.
// Plan proposes at most one such step. As long as at most FaultTolerance machines are lost at a time, a majority of the
// replicas of each program keeps running, and no acknowledged write is lost (design note 015). Live stores that are not in the
// placement are candidates.
//
// Safety depends on sweeps alone. Time-outs only decide when a store is replaced: a false time-out costs an unnecessary change.
//
// Stores register with the head periodically (heartbeats). A single registration proves nothing, as it may have been delayed
// while its store was replaced; a second one confirms the store. A store that was not confirmed for Timings.SuspectTimeout is
// suspect, which postpones changes that can wait; after FailureTimeout it has failed, and a candidate may replace it; after
// RemovalTimeout it is removed, as long as enough stores remain.
//
// A new head has received no registrations yet. It inherits the Observations that the previous head published, and uses them
// only after Timings.TakeoverGrace: by then every running store has registered with the new head.
//
// A store that is told to stop does not know whether its machine starts again. It goes on serving until RequestStop permits it
// to stop. While the placement has more stores than the deployment (NominalStores), one of them may be the successor of the one
// that stops, which leaves the placement first. Otherwise it stays in the placement, as one of the tolerated losses.
//
// # Obligations of the caller
//
// The package has no clock, socket or file. It does no locking: a caller that shares the maps of an Input must guard them.
// Times are durations since an arbitrary start, on one monotonic clock of the head. The caller must
//
//   - pass each registration to Register, with one map for as long as it is head without interruption, and with a new map
//     when it becomes head again;
//   - call Plan periodically with the newest placement that it has written, committed or not, and write the result to the
//     control state before it calls Plan again;
//   - record retirements, in Input.Retired and on disk, only if CanRetire permits it, and, before the next placement, those of
//     the stores that SuccessorsOfRetiringStores returns;
//   - write the number of InitialStores to the control state, before any other change, once there is a placement and no such
//     number, and pass Input.NominalStores;
//   - pass each request of a store that was told to stop to RequestStop, and the decision back; a store for which it decided
//     StopUnplaced must not register any more;
//   - publish Input.Observe to the other core nodes, and pass the last observations received as Input.Inherited when it
//     becomes head;
//   - record each placement change in Departures;
//   - set TookOverAt to the present and discard Inherited after a pause of its own process, as it received nothing meanwhile.
package placement
