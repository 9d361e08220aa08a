// Package feed implements the change feed, which replicates the committed control state from core nodes to fronts and
// stores, the followers. The state consists of key-value pairs (the configuration and the placement), which log entries
// with rising indexes update, and of the list of hosts from service discovery.
//
// # Follower
//
// A Follower long-polls one core node, its source (ChangesCall). It publishes the received state as immutable Tables,
// which are replaced atomically; Changed notifies of a new version. Three types use no clock, socket or goroutine:
// replica (the follower's copy of the state), download (a large value in progress) and sources (the known core nodes, in
// an order that differs between followers).
//
//   - Hedged poll: if the source's response is late or not confirmed, the other core nodes are polled as well, at
//     intervals. The first confirmed response is applied, and its core node becomes the source.
//   - Failover and failback: after a poll without any confirmed response the follower advances to the next core node.
//     It periodically polls the first core node of its order and returns to it, so that followers stay balanced.
//   - Large values are downloaded in chunks (ChunkCall) in addition to the polls, from any core node that has them.
//
// # Guarantees of the replica
//
//   - Only confirmed responses change the tables. A response is confirmed if a majority has confirmed the source's
//     epoch after the poll arrived. From other responses only the core addresses are used.
//   - Tables.Index, and the index of each value, never go down, whichever source responds.
//   - Tables.Index is i only if every entry up to i, or a newer entry of its key, is applied.
//   - A value is applied only if its bytes are those that were committed: deltas and downloads are verified by digest.
//   - Every change that was acknowledged before Tables.ConfirmedAt is in the tables. ConfirmedAt is the time at which a
//     poll was sent, not when its response arrived. It does not advance while this program cannot parse the newest
//     configuration.
//
// # Server
//
// Package controlnode implements the server. It uses ValueCache, which decides whether an entry is sent in full, as a
// delta or by reference, and TransferLimiter, which bounds the number of concurrent downloads.
//
// # Concurrency
//
// Follower and ValueCache are safe for concurrent use; TransferLimiter is not. Follower.Run must be called once; it
// returns when its context ends and all goroutines that it started have ended. Follower.replicaMu guards the replica and
// the number of fetchers, Follower.mu the sources and the channel of Changed; mu may be locked while replicaMu is held,
// never the other way round.
package feed
