package chaostest

import (
	"context"
	"fmt"
	"path/filepath"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/scenario"
)

func (p *process) controlSocket() string { return filepath.Join(p.stateDir(), "control.sock") }

func (p *process) dialControl() *adminapi.Client { return adminapi.Dial(p.controlSocket()) }

// runCommand sends an operator's command to a relay, or to the next one that answers, and records the acknowledgement.
func (t *trial) runCommand(ctx context.Context, do scenario.Said) {
	var err error
	for range t.fleet.all {
		p := t.fleet.all[do.Relay]
		p.mu.Lock()
		runs := p.ready && !p.stopped
		p.mu.Unlock()
		if runs {
			if err = p.sendCommand(ctx, do); err == nil {
				now := t.recorder.now()
				t.recorder.update(func(b *EventLog) { b.Commands = append(b.Commands, AcknowledgedCommand{Said: do, At: now}) })
				return
			}
		}
		do.Relay = (do.Relay + 1) % len(t.fleet.all)
	}
	if ctx.Err() == nil {
		t.recorder.addError(fmt.Sprintf("no relay took in %s %s: %v", do.What, do.Target, err))
	}
}

// sendCommand sends a command over the relay's control socket.
func (p *process) sendCommand(ctx context.Context, do scenario.Said) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	c := p.dialControl()
	defer c.Close()
	q := adminapi.DrainRequest{Target: do.Target, By: "operator", Fleet: true, AllowLast: true}
	switch do.What {
	case scenario.CommandDrain:
		_, err = c.Drain(ctx, q)
	case scenario.CommandUndrain:
		_, err = c.Undrain(ctx, q)
	default:
		_, err = c.Gone(ctx, adminapi.GoneRequest{Relay: relayName(do.Of), Back: do.What == scenario.CommandRestore, By: "operator"})
	}
	return err
}
