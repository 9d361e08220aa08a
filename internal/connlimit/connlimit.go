// Package connlimit bounds the connections of an http.Server. Once there are as many as permitted, one that is idle, or has sent no
// complete head of a request, gives way to a new one: connections that are merely open do not shut others out.
package connlimit

import (
	"net"
	"net/http"
	"sync"
)

// conn is a connection that is open.
type conn struct {
	serving bool   // a request, whose head is complete: it does not give way
	since   uint64 // number of the change to this state
}

// limiter is the state of a server's connections. It is safe for concurrent use.
type limiter struct {
	max int

	mu      sync.Mutex
	conns   map[net.Conn]*conn
	changes uint64 // of states so far
}

// Apply bounds the connections of a server that does not serve yet, by its ConnState. max is the number of connections, at most; 0 for
// no limit.
func Apply(server *http.Server, max int) {
	if max > 0 {
		server.ConnState = (&limiter{max: max, conns: map[net.Conn]*conn{}}).stateChanged
	}
}

// stateChanged is the server's ConnState.
func (l *limiter) stateChanged(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes++
	switch known := l.conns[c]; state {
	case http.StateNew:
		l.add(c)
	case http.StateActive, http.StateIdle:
		if known != nil {
			known.serving, known.since = state == http.StateActive, l.changes
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// add adds a new connection, for which another one gives way if there are too many. If none can, the new one is closed. mu must be held.
func (l *limiter) add(c net.Conn) {
	if len(l.conns) >= l.max {
		victim := l.nextToGiveWay()
		if victim == nil {
			c.Close()
			return
		}
		victim.Close()
		delete(l.conns, victim)
	}
	l.conns[c] = &conn{since: l.changes}
}

// nextToGiveWay returns the connection that has not been served for the longest time; nil if all are served. mu must be held.
func (l *limiter) nextToGiveWay() (victim net.Conn) {
	var first *conn
	for c, known := range l.conns {
		if !known.serving && (first == nil || known.since < first.since) {
			victim, first = c, known
		}
	}
	return victim
}
