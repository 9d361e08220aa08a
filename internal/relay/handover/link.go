package handover

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Link carries outcomes from an owner to its successor. Its methods are safe for concurrent use.
type Link struct {
	conn      *net.UnixConn
	wakeup    chan struct{} // holds a value while the queue may have something to write
	closed    chan struct{} // closed once the successor has closed its connection
	mu        sync.Mutex    // guards queue and unwritten
	queue     []Outcome
	unwritten int // in the queue, or being written
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, wakeup: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Notify queues an outcome for the successor. It never blocks.
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

// Flushed reports whether all queued outcomes have been written.
func (l *Link) Flushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwritten == 0
}

// writeLoop writes outcomes until the successor has closed its connection.
func (l *Link) writeLoop() {
	encoder := json.NewEncoder(l.conn)
	for {
		select {
		case <-l.wakeup:
		case <-l.closed:
			return
		}
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, o := range batch {
			if encoder.Encode(o) != nil {
				l.conn.Close() // what was not sent counts as after a crash
				return
			}
		}
		l.mu.Lock()
		l.unwritten -= len(batch)
		l.mu.Unlock()
	}
}

// Close closes the connection; outcomes that were not sent count as after a crash.
func (l *Link) Close() { l.conn.Close() }

// stop ends writeLoop.
func (l *Link) stop() { close(l.closed) }
