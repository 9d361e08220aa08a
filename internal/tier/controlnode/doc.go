// Package controlnode is a node of the control plane. It joins the agreement on views (package view) with the
// replication chain of the control state (package chain), serves operators and followers, and has two singleton roles:
// it plans the placement of stores and polls the platform's list of hosts. The reasons are in
// docs/design/016-control-state.md, the terms in docs/GLOSSARY.md.
//
// # Node and Server
//
// Node is the state machine: time, messages and requests in, a Ready out. It does no I/O, starts no goroutine and reads
// no clock, so that tests play it in virtual time. Server drives one Node: it owns the disk, the sockets, the feed for
// followers and the operator API.
//
// # Duties of a Node's caller
//
// Tick is called several times in Timings.HeartbeatInterval, Receive with each message of another node. Times do not go
// back. For each Ready, in this order:
//
//  1. If MustSync, write Durable to the disk and sync it. A caller may merge the Readies of several events and sync
//     once, as long as nothing of any of them leaves the node before that sync. If the sync fails the node has to stop:
//     what it has promised in memory may not be on disk.
//  2. Send the Messages, in order. They may be lost, delayed or duplicated; the node resends what matters.
//  3. Report what is Completed to whoever waits for the request ID.
//
// What a caller reads from the Node (View, Chain, Hosts) may include changes that are not on disk yet. It may leave the
// process only after the next sync.
//
// A start with the same disk has a higher NodeSettings.Incarnation, which is on disk before the first message is sent.
// An empty disk is another member, with another ID.
//
// # What is synced before what is answered
//
//   - promise, accepted, acknowledgements of chain updates: after the sync of what they report;
//   - 200 for a write: after every member of the chain has synced it in this epoch;
//   - any other answer to an order, rejections included: after a confirmation round that started after the order came,
//     and the commit of the newest index that the decision depends on;
//   - a read at the tail: after a confirmation round that started after the read came;
//   - a poll of a follower: after a confirmation round sent after the poll came (Node.ConfirmedSince).
//
// A node that cannot get there in time answers 503, never a rejection.
//
// # Ownership and concurrency
//
// One goroutine, Server.eventLoop, owns the Node and the fields of Server that are marked so. All other goroutines
// (HTTP and RPC handlers, pollPlatform) hand it a loopRequest and wait. It takes events in batches of at most maxBatch,
// messages of other nodes first, and after each batch does in this order: syncChanges, deliver (messages, completions,
// then the callers of runOnLoop), wakeConfirmedPolls, publishChanges. There are two ways to the loop:
//
//   - runOnLoop(request) returns once the batch in which the request was handled is on disk. It is for reads, and for
//     changes that complete at once.
//   - submit(ctx, request) returns the Completion of a nodeRequest, which may take several batches, or nothing once
//     requestTimeout is over.
//
// Server.mu guards changed, feedServer.mu guards transfers; neither is held while the loop is waited for. Goroutines of
// sendToPeer, one for each address, only send what the loop has queued.
//
// # The path of a PUT
//
//  1. Server.putConfig reads the HTTP request, and repeats put until there is a reply (retryUntilTimeout).
//  2. Server.put asks the loop which node is head (headStatusQuery). It forwards the request to the head's handlePut,
//     which fails at once if that node is not the head any more; a large body is redirected instead.
//  3. At the head, decideAtHead submits a decideAtHeadRequest. submission.handle, on the loop, gives it a request ID in
//     pendingRequests and calls decideAtHeadRequest.start, which decides the order in the entries of this head
//     (orders.Decide), committed or not.
//  4. If the order is accepted, appendEntries calls Node.Write for each entry: chain.Append, MustSync, and a
//     pendingWrite with the request ID. Otherwise Node.Confirm adds a waiter for the next confirmation round.
//  5. syncChanges syncs the batch. deliver sends the msgChainUpdate that Node.replicate has added.
//  6. Each member of the chain syncs the entries (handleChainUpdate) and passes them on; the tail commits, and
//     msgChainAck brings the commit index back along the chain (handleChainAck).
//  7. At the head completeCommittedWrites (or completeWaiters) adds a Completion; deliver looks up the request ID in
//     pendingRequests and wakes submit; decideAtHead returns the decision, and writeReply answers.
//
// Names in short scopes: m is a message, p a peer or a proposal, v a view, e an entry or an echo.
package controlnode
