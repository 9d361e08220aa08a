// Package turnstore is the replicated store of turns and of token budgets. Fronts run a Client, store processes run a
// Server; the control plane provides both with a Placement.
//
// # Data
//
// A program is a sequence of turns that share a budget of tokens. For each program its replicas store the ledger (package
// budget), with one entry a turn, and the turns that completed, each as the increment that it adds to the history of the
// turn before. A turn is immutable once it is closed, and its ID is unique; ledgers are joined. Replicas therefore
// converge in whatever order they receive writes, and nothing needs a leader or a version.
//
// # Placement and quorums
//
// A program has ReplicationFactor replicas, selected by rendezvous hashing of its key over the names of the stores, in
// as many zones as there are. With a fault tolerance of f, the factor is 2f+1.
//
//   - Open needs, for the reservation, the responses of a majority: any two majorities intersect, so that of two
//     reservations at least one is decided with knowledge of the other. Past half of the budget a majority is read again.
//   - Close needs the acknowledgements of a majority, and of DurableReplicas at least. A turn that was acknowledged is
//     at more than f replicas, so that one of them survives any f losses.
//   - ErrNoTurn needs all but f of the stores to deny the turn. A store may deny only if it is authoritative: it is in the
//     old list, or its sweep of the generation is complete.
//   - While a placement is joint (Placement.New is not empty), each of these needs its quorum by the old list and by the
//     new one.
//
// A store acts under the newest generation that it has received and rejects calls under an older one; it checks this again
// after the sync of a write, since a sweep may have run meanwhile. A sweep is complete once the store has pulled all
// that it must have from all but f stores of the old list, each of which persisted the generation first: what was
// acknowledged under an older generation is among it, and nothing more can be acknowledged there. A store counts for
// what is on its disk only. docs/design/015-stores-under-losses.md has the proofs, docs/design/011-tier.md the budget's.
//
// # Replication
//
// Writes go to all replicas. A replica that missed some is repaired in three ways: a client that notices it while it
// reads a history sends a notice (read repair, MethodRepair); each store compares digests with a random peer every few
// seconds (anti-entropy); and a change of the placement begins with a sweep of all stores of the new list. Digests are of
// buckets of keys, then of keys, page by page; ledgers and turns are fetched only where they differ. Turns that have
// expired are remembered by a digest for a while, so that a peer whose clock is behind does not bring them back.
//
// # Durability
//
// A server acknowledges a write once its disk has synced it. Writes of concurrent calls share a group commit
// (package sqlitelog). The in-memory index is ahead of the disk while a write is pending; entries whose write failed
// stay recorded and are written again, and no sweep is complete before they are.
//
// # Ownership and concurrency
//
// Client and Server are safe for concurrent use. Server.mu guards the index; it is not held while a call waits for the
// disk or for a peer. Types that are documented as pure do no I/O, take the time as an argument, and are guarded by
// their owner. Byte slices of Turn, Record and OpenedTurn are shared with caches: neither side modifies them. A
// Placement is immutable once it is shared.
//
// # Duties of the caller
//
// A front must
//
//   - call Open before it runs a turn, with an ID that no other turn ever has, and not run it after an error;
//   - call Close with the complete turn and send the end of the turn to its client only after Close returned nil;
//   - call Settle instead, with what was used, where an opened turn is not closed;
//   - call Shutdown before it ends, so that settlements in the background reach the stores.
//
// A store process must
//
//   - open the database with StoreTables, register Handlers, and call Run;
//   - register ID, AdoptedGeneration, SweptGeneration and Full with the control plane, and end when the database has failed.
package turnstore
