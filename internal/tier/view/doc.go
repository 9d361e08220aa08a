// Package view implements reconfiguration of a replicated chain: it decides which core nodes vote and which of them form
// the chain, one View for each epoch. The view of epoch e+1 is decided by one instance of single-decree Paxos among the
// voters of epoch e, as in Vertical Paxos. Package chain replicates the state along the chain of a view.
//
// # Contract
//
// At most one view is decided in an epoch. The head of every decided view has every entry that was committed in any earlier
// epoch, provided that an entry counts as committed only once all chain members of its epoch have it on disk, and that a
// member whose acceptor has promised (Acceptor.HasPromised) stores no further entry of its view's epoch. A view differs from
// the one before by at most one voter added and at most one removed. Members of the chain are voters.
//
// Safety does not depend on time or on what a proposer believes about its peers: Conditions only affect which of the safe
// views is proposed.
//
// # Responsibilities of the caller
//
// The package has no clock, socket or file; it does no locking, and values are not safe for concurrent use. The caller
//
//   - keeps the Acceptor on disk and syncs each change before it sends the response that the change allows: a promise after
//     Prepare, an acceptance after Accept;
//   - as proposer, never uses a Ballot twice, also across restarts. A ballot above Acceptor.Promised is new, since a proposer
//     promises its own ballot first;
//   - passes promises and acceptances to the proposal of their epoch and ballot only, and those of voters of the current view
//     only;
//   - considers a view decided once a majority of the current voters (View.Majority) has accepted it under one ballot, and
//     then distributes it; each node adopts it with Acceptor.Adopt.
//
// Member.ID identifies a disk, not a machine: it is generated when a node starts with an empty disk. A machine that lost its
// disk returns as a new member, so that it counts neither as a replica nor as a voter in place of the old one.
package view
