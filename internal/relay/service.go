package relay

import (
	"context"
	"errors"
)

// What the platform asks of a running relay at the second address.

// Serving returns nil once the loop has shown that it decides.
func (r *Relay) Serving(ctx context.Context) error {
	stopped, err := onLoop(ctx, r, func() bool { return r.stopped })
	if err == nil && stopped {
		err = errors.New("the relay is stopping")
	}
	return err
}

// Quiesce sends clients away until Resume. What is held is delivered, and the process goes on.
func (r *Relay) Quiesce() { r.doors.Close() }

// Resume lets clients in again.
func (r *Relay) Resume() { r.doors.Open() }
