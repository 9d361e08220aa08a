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
	come chan struct{} // one waits here when there is something to write
	gone chan struct{} // closed when the heir has gone
	mu   sync.Mutex
	list []Outcome
	left int // in the list, or being written
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, come: make(chan struct{}, 1), gone: make(chan struct{})}
}

// Tell has the heir told an outcome. It never waits.
func (l *Link) Tell(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, o)
	l.left++
	select {
	case l.come <- struct{}{}:
	default:
	}
}

// Told tells whether all outcomes are with the heir.
func (l *Link) Told() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left == 0
}

// write writes outcomes as they come, until the heir has gone.
func (l *Link) write() {
	out := json.NewEncoder(l.conn)
	for {
		select {
		case <-l.come:
		case <-l.gone:
			return
		}
		l.mu.Lock()
		list := l.list
		l.list = nil
		l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(tellIn))
		for _, o := range list {
			if out.Encode(o) != nil {
				l.conn.Close() // what is not told counts as after a crash
				return
			}
		}
		l.mu.Lock()
		l.left -= len(list)
		l.mu.Unlock()
	}
}

// Close breaks off with the heir; what it was not told counts as after a crash.
func (l *Link) Close() { l.conn.Close() }

func (l *Link) close() { close(l.gone) }
