package relay

import (
	"context"
	"errors"
)

// Serving returns nil once the loop has run a function, and an error if the relay is stopping.
func (r *Relay) Serving(ctx context.Context) error {
	stopped, err := onLoop(ctx, r, func() bool { return r.stopped })
	if err == nil && stopped {
		err = errors.New("the relay is stopping")
	}
	return err
}

// Quiesce sends clients away until Resume. Pending messages are delivered, and the process goes on.
func (r *Relay) Quiesce() { r.doors.Close() }

// Resume admits clients again.
func (r *Relay) Resume() { r.doors.Open() }
