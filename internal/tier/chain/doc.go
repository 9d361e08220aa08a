// Package chain implements one member's part of chain replication of a small key-value state. Entries enter at the head; each
// member writes them to disk before it forwards them to its successor; the tail commits, and the commit index travels back to
// the head with the acknowledgements. Learners, which are members outside the chain, receive committed entries from the tail
// and join the chain of a later view once they have caught up. Package view decides the views.
//
// # Contract
//
// An entry is committed in an epoch once every member of its chain has it on disk. Committed entries are never replaced or
// reordered, not even across views, as long as each view is decided by package view. Indexes are assigned by the head without
// gaps. Of the committed entries of a key only the last is kept (log compaction), so that the entries after an index form an
// incremental update and, for index 0, a snapshot.
//
// A member is active in an epoch once it has its predecessor's complete state in that epoch; the head is active at once,
// because its state is complete by the rules of package view. Until then, the member's uncommitted entries are of an earlier
// epoch and may differ from the predecessor's. They are replaced as a whole when the transfer is complete: the state changes
// atomically, and an interrupted transfer leaves it unchanged.
//
// # Streams
//
// A member sends entries to its successor, and a tail to each learner, as a stream of updates. Large values are sent in
// chunks; a window bounds the bytes in flight. Messages may be lost, duplicated, delayed and reordered: the receiver accepts
// an update only if it is the next in the stream, and its acknowledgement contains its position, from which the sender
// continues. Either side may restart, and another sender may continue in the middle of an entry; the checksum of the entry
// detects a mismatch.
//
// # Responsibilities of the caller
//
// The package has no clock, socket or file; it does no locking, and a Chain is not safe for concurrent use. The caller
//
//   - calls Adopt with each view that this member adopts, and neither passes it updates nor appends any more once the member's
//     acceptor has promised for the next epoch;
//   - after a call that changed State, writes it to disk before it sends anything that NextUpdate, NextLearnerUpdate,
//     CurrentAck or PredecessorAck returns, and then calls MarkDurable;
//   - sends updates until NextUpdate and NextLearnerUpdate return false, and sends an acknowledgement after each handled
//     update as well as periodically;
//   - passes with each acknowledgement the incarnation of its sender, a number that increases with each start of that process;
//   - calls Resend periodically, at an interval above the round-trip time;
//   - calls RemoveLearner for a learner that should not be updated any more.
package chain
