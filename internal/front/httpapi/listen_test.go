package httpapi

import (
	"testing"
	"time"
)

// Guards against closing a connection whose request is not answered yet.
func TestSpareConnection(t *testing.T) {
	now := time.Now()
	conn := func(age time.Duration, asked, open bool) *client {
		return &client{at: now.Add(-age), asked: asked, open: open}
	}
	silent, idle, older, busy, young := conn(time.Second, false, false), conn(time.Second, true, false),
		conn(2*time.Second, true, false), conn(time.Minute, true, true), conn(time.Millisecond, false, false)
	newest := conn(0, false, false)
	s := &Listener{all: map[*client]bool{silent: true, idle: true, older: true, busy: true, young: true, newest: true}}
	for _, next := range []*client{silent, older, idle, young, newest} {
		if got := s.spare(newest); got != next {
			t.Fatalf("closed is %+v, want %+v", got, next)
		}
		delete(s.all, next)
	}
}
