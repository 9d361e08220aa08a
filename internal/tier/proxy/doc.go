// Package proxy is the reverse proxy of the serving tier (the data plane): it accepts requests of clients, forwards each to
// a host, with retries where that is safe, and streams the response back. It has the sockets, clocks and goroutines;
// decisions are made by pure packages: routing (route), admission (queue) and balancer (host). Package upstream makes the
// calls to hosts.
//
// # Contract
//
// A request that is not idempotent runs at most once, at one host. A client gets the complete response of a host that ran its
// request, or an error of the proxy that says what is known, or the end of the connection; a response that broke off never
// looks complete. 402, 408, 421, 429 and 503 state that the request has not run and will not. A request is answered by its
// deadline, streams too. What the exchanges with hosts prove is listed in docs/design/014-host-exchanges.md.
//
// # The way of a request
//
//  1. Accept. Server.Serve accepts a connection and starts client.serve, which serves the requests on it in their order.
//  2. Read. client.awaitRequest waits for the first byte; client.readRequest reads the head (client.peekHead, parseHead) and
//     the body (client.readBody), or rejects the request (client.reject). client.watch then watches for a disconnect.
//  3. Route. request.handle picks the route of the configuration and parses the tier's headers (request.parseHeaders), which
//     sets the deadline. balancer.PickTarget picks the service. request.serveBuffered or request.serveStream goes on.
//  4. Open the turn. On a retained route request.openTurn reserves tokens of the program's budget in the Ledger and gets the
//     history of the turn, which goes ahead of the request's body.
//  5. Admission. forwarder.forward makes attempts one after the other. For each, forwarder.acquire takes a slot by
//     dispatcher.acquire, which queues the call if no host has a slot.
//  6. Pick a host. dispatcher.tryAcquire asks balancer.Balancer.Pick; queued calls are granted by dispatcher.grantAll.
//  7. Exchange. forwarder.send makes the call (upstream.Call.Do). forwarder.handleResult decides by its outcome: pass on the
//     response, retry on another host, or answer with an error (forwarder.respondFailure).
//  8. Stream. request.relayStream passes on events as they come (request.copyEvents) and counts tokens (eventstream.Parser).
//     request.serveBuffered buffers up to maxHeldResponse, so that a response that breaks off can be replaced by a retry,
//     and relays a longer response as it comes (request.relayLong).
//     At the end request.attemptSucceeded or request.attemptFailed releases the slot with the outcome (dispatcher.release).
//  9. Record. request.closeTurn writes the turn to the Ledger before the last chunk of its stream is passed on;
//     request.settleTurn commits the tokens of a turn that is not recorded.
//  10. End. request.writeFinal completes the response, or client.abort closes the connection on one that is not complete.
//     client.serve waits for the next request, or ends the connection.
//
// # Ownership and concurrency
//
// A client connection has one goroutine, client.serve, which owns the client, its requests, forwarders and attempts. While a
// request is served, a second goroutine, started by client.watch, is the only reader of the connection; it hands the reader
// back through client.watchDone. On a disconnect it calls request.cancel, which closes request.cancelled and
// cancels the call in flight and the opening of a turn. Fields of client and request below a mutex are shared by the two.
//
// The dispatcher is shared by all requests. Its mutex guards the balancer, the queues and the endpoints; it is never held
// while waiting for a host. A latencyTables has a mutex of its own, and each Oracle is wrapped by lockedOracle. A slot is
// owned by the attempt that got it and released exactly once.
//
// Server.followTables applies new tables and closes expired connections. Server.Drain is the graceful shutdown; Server.Close
// ends all connections and waits for all goroutines.
package proxy
