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
func (t *trial) runCommand(ctx context.Context, command scenario.Said) {
	var err error
	for range t.fleet.all {
		p := t.fleet.all[command.Relay]
		p.mu.Lock()
		runs := p.ready && !p.stopped
		p.mu.Unlock()
		if runs {
			if err = p.sendCommand(ctx, command); err == nil {
				now := t.recorder.now()
				t.recorder.update(func(b *EventLog) { b.Commands = append(b.Commands, AcknowledgedCommand{Said: command, At: now}) })
				return
			}
		}
		command.Relay = (command.Relay + 1) % len(t.fleet.all)
	}
	if ctx.Err() == nil {
		t.recorder.addError(fmt.Sprintf("no relay took in %s %s: %v", command.What, command.Target, err))
	}
}

// sendCommand sends a command over the relay's control socket.
func (p *process) sendCommand(ctx context.Context, command scenario.Said) (err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	c := p.dialControl()
	defer c.Close()
	q := adminapi.DrainRequest{Target: command.Target, By: "operator", Fleet: true, AllowLast: true}
	switch command.What {
	case scenario.CommandDrain:
		_, err = c.Drain(ctx, q)
	case scenario.CommandUndrain:
		_, err = c.Undrain(ctx, q)
	default:
		restore := command.What == scenario.CommandRestore
		_, err = c.Gone(ctx, adminapi.GoneRequest{Relay: relayName(command.Of), Back: restore, By: "operator"})
	}
	return err
}
