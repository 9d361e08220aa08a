// Package controlnode implements a core node, a node of the control plane. It combines the consensus on views (package
// view) with chain replication of the control state (package chain), and serves operators and followers. The head of
// the chain also has two singleton roles: it plans the placement of stores and polls the platform's list of hosts.
// The design is explained in docs/design/016-control-state.md, the terms in docs/GLOSSARY.md.
//
// A view is the configuration of one epoch: the voters, which decide the next view, and the chain, a sequence of some of
// them from the head to the tail. The head decides orders and appends entries; an entry is committed once the tail has it
// on disk. The tail answers reads, and sends committed entries to the members outside the chain, called learners.
//
// # Node and Server
//
// Node is the state machine: its inputs are time, messages and requests, its output is a Ready. It does no I/O, starts
// no goroutines and reads no clock, so tests can run it in virtual time. Server drives one Node: it owns the disk, the
// sockets, the feed for followers and the operator API.
//
// # Contract of a Node's caller
//
// Call Tick several times per Timings.HeartbeatInterval, and Receive with each message from another node. Times must
// not decrease. For each Ready, in this order:
//
//  1. If MustSync, write Durable to the disk and sync it. A caller may merge the Readies of several events and sync
//     once, as long as nothing from any of them leaves the node before that sync. If the sync fails, the node must
//     stop: promises made in memory may not be on disk.
//  2. Send the Messages, in order. They may be lost, delayed or duplicated; the node resends the essential ones.
//  3. Report each Completion to the caller that waits for its request ID.
//
// What a caller reads from the Node (View, Chain, Hosts) may include changes that are not on disk yet. It may leave the
// process only after the next sync.
//
// Each start with the same disk has a higher NodeSettings.Incarnation, which is on disk before the first message is
// sent. A node that starts with an empty disk is a new member with a new ID.
//
// # What must be synced before each answer
//
//   - promise, accepted and acknowledgements of chain updates: after the sync of the state that they report;
//   - 200 for a write: after every member of the chain has synced it in this epoch;
//   - any other answer to an order, including rejections: after a confirmation round that started after the order
//     arrived, and after the newest index that the decision depends on is committed;
//   - a read at the tail: after a confirmation round that started after the read arrived;
//   - a poll by a follower: after a confirmation round sent after the poll arrived (Node.ConfirmedSince).
//
// A node that cannot meet these conditions in time answers 503, never a rejection.
//
// # Ownership and concurrency
//
// One goroutine, Server.eventLoop, owns the Node and the fields of Server that are marked so. All other goroutines
// (HTTP and RPC handlers, pollPlatform) pass it a loopRequest and wait. It handles events in batches of at most
// maxBatch, messages from other nodes first, and after each batch calls in this order: syncChanges, deliver (messages,
// completions, then the callers of runOnLoop), wakeConfirmedPolls, publishChanges. There are two ways to reach the loop:
//
//   - runOnLoop(request) returns once the batch in which the request was handled is on disk. It is for reads, and for
//     changes that complete immediately.
//   - submit(ctx, request) returns the Completion of a nodeRequest, which may take several batches, or none if
//     requestTimeout has passed.
//
// Server.mu guards changed, feedServer.mu guards transfers; neither is held while waiting for the loop. The goroutines
// of sendToPeer, one for each address, only send what the loop has queued.
//
// # The path of a PUT
//
//  1. Server.putConfig reads the HTTP request, and retries put until there is a reply (retryUntilTimeout).
//  2. Server.put asks the loop which node is the head (headStatusQuery). It forwards the request to the head's
//     handlePut, which fails immediately if that node is no longer the head; a large body is redirected instead.
//  3. At the head, decideAtHead submits a decideAtHeadRequest. submission.handle, on the loop, gives it a request ID in
//     pendingRequests and calls decideAtHeadRequest.start, which decides the order (orders.Decide) based on all entries
//     of this head, committed or not.
//  4. If the order is accepted, appendEntries calls Node.Write for each entry: chain.Append, MustSync, and a
//     pendingWrite with the request ID. Otherwise Node.Confirm adds a waiter for the next confirmation round.
//  5. syncChanges syncs the batch. deliver sends the msgChainUpdate that Node.replicate has added.
//  6. Each member of the chain syncs the entries (handleChainUpdate) and forwards them to its successor; the tail
//     commits them, and msgChainAck carries the commit index back along the chain (handleChainAck).
//  7. At the head, completeCommittedWrites (or completeWaiters) adds a Completion; deliver looks up the request ID in
//     pendingRequests and wakes submit; decideAtHead returns the decision, and writeReply sends the answer.
//
// Short names in this package: m is a message or a member, l a member of the chain, p a peer or a proposal, v a view or
// a voter, e an entry, an echo or an envelope.
package controlnode
