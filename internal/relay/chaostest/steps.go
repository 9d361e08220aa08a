package chaostest

import (
	"context"
	"sync"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// runSteps executes the plan's steps at their times.
func (t *trial) runSteps(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, step := range t.plan.Steps {
		if !ctxtime.Sleep(ctx, step.At-t.recorder.now()) {
			return
		}
		switch action := step.Action.(type) {
		case scenario.Network:
			action.Since = t.recorder.now()
			t.links.network.Store(&action)
		case scenario.Stopped:
			t.fleet.enqueue(action.Relay, func(p *process) error { p.setPaused(action.Paused); return nil })
		case scenario.Killed:
			t.fleet.enqueue(action.Relay, func(p *process) error { p.terminate(action.Graceful); return nil })
		case scenario.Started:
			t.fleet.enqueue(action.Relay, func(p *process) error {
				if action.EmptyDisk && p.cmd == nil {
					if err := p.emptyDisk(); err != nil {
						return err
					}
				}
				return p.start(ctx)
			})
		case scenario.Relisted:
			t.fleet.enqueue(action.Relay, func(p *process) error { return p.writeOperatorFile(action.Size) })
		case scenario.AgentSilent:
			t.agents[action.Relay].SetSilent(action.Silent)
		case scenario.Said:
			wg.Go(func() { t.runCommand(ctx, action) })
		case scenario.HostSet:
			if err := t.setHost(action); err != nil {
				t.recorder.addError(err.Error())
			}
		}
	}
}

// setHost changes a host's behaviour.
func (t *trial) setHost(action scenario.HostSet) error {
	h := t.hosts[action.Partner][action.Host]
	h.ScaleRate(action.Factor)
	latency := t.plan.Scenario.Partners[action.Partner].Hosts[action.Host].Latency
	h.Set(standin.Behaviour{Latency: latency, Hang: action.Hang, Refuse: action.Wait > 0, RetryAfter: action.Wait})
	if action.Down {
		h.Down()
		return nil
	}
	return h.Up()
}
