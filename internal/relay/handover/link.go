package handover

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Link is an owner's way to its heir. Its methods are safe for concurrent use.
type Link struct {
	conn *net.UnixConn
	wakeup chan struct{} // one waits here when there is something to write
	closed chan struct{} // closed when the heir has gone
	mu   sync.Mutex
	queue []Outcome
	unwritten int // in the list, or being written
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, wakeup: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Notify has the heir told an outcome. It never waits.
func (l *Link) Notify(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, o)
	l.unwritten++
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// Flushed tells whether all outcomes are with the heir.
func (l *Link) Flushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwritten == 0
}

// writeLoop writes outcomes as they come, until the heir has gone.
func (l *Link) writeLoop() {
	out := json.NewEncoder(l.conn)
	for {
		select {
		case <-l.wakeup:
		case <-l.closed:
			return
		}
		l.mu.Lock()
		list := l.queue
		l.queue = nil
		l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, o := range list {
			if out.Encode(o) != nil {
				l.conn.Close() // what is not told counts as after a crash
				return
			}
		}
		l.mu.Lock()
		l.unwritten -= len(list)
		l.mu.Unlock()
	}
}

// Close breaks off with the heir; what it was not told counts as after a crash.
func (l *Link) Close() { l.conn.Close() }

func (l *Link) stop() { close(l.closed) }
