// Package chain implements one member's part of chain replication of a small key-value state. Entries enter at the head; each
// member has them on disk before it passes them on to its successor; the tail commits, and the commit index travels back to
// the head with the acknowledgements. Learners, members outside the chain, receive from the tail what is committed and join
// the chain of a later view once they have caught up. Package view decides the views.
//
// # Contract
//
// An entry is committed in an epoch once every member of its chain has it on disk. Committed entries are never replaced or
// reordered, also across views, as long as each view is decided by package view. Indexes are assigned by the head without
// gaps. Of the committed entries of a key only the last is kept (log compaction), so that the entries after an index are
// both an increment and, for index 0, a snapshot.
//
// A member is active in an epoch once it has its predecessor's complete state there; the head is active at once, because its
// state is complete by the rules of package view. Until then, what it has not committed is of an earlier epoch and may differ
// from the predecessor's. It is replaced as a whole when the transfer is complete: the state changes atomically, and a
// transfer that breaks off leaves it as it was.
//
// # Streams
//
// A member sends entries to its successor, and a tail to each learner, as a stream of updates. Large values are sent in
// chunks; a window bounds the bytes in flight. Messages may be lost, duplicated, delayed and reordered: the receiver takes
// an update only if it is the next of the stream, and its acknowledgement names its position, from which the sender
// continues. Either side may restart, and another sender may continue in the middle of an entry, which its checksum guards.
//
// # Duties of the caller
//
// The package has no clock, socket or file; it does no locking, and a Chain is not safe for concurrent use. The caller
//
//   - calls Adopt with each view that this member takes up, and no longer passes it updates, nor appends, once the member's
//     acceptor has promised for the next epoch;
//   - has State on disk, after a call that changed it, before it sends anything that NextUpdate, NextLearnerUpdate,
//     CurrentAck or PredecessorAck returns, and calls MarkDurable then;
//   - sends updates until NextUpdate and NextLearnerUpdate return false, and an acknowledgement after each update that was
//     handled, as well as periodically;
//   - passes with each acknowledgement the incarnation of its sender, a number that rises with each start of that process;
//   - calls Resend periodically, at an interval above the round-trip time;
//   - calls RemoveLearner for a learner that is not to be updated any more.
package chain
