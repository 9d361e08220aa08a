// Package httpapi holds the listener for the clients that submit messages to a relay by HTTP: it bounds their
// connections and drains them. The handlers of the requests are in package relay.
//
// Listener wraps the server's TCP listener. Doors drain its connections on the operators' request and at the end of
// the process. Both are safe for concurrent use.
package httpapi
