package chaostest

import (
	"context"
	"sync"

	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// runSteps executes the plan's steps at their times.
func (t *trial) runSteps(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range t.plan.Steps {
		if !sleep(ctx, s.At-t.recorder.now()) {
			return
		}
		switch do := s.Action.(type) {
		case scenario.Network:
			do.Since = t.recorder.now()
			t.links.network.Store(&do)
		case scenario.Stopped:
			t.fleet.enqueue(do.Relay, func(p *process) error { p.setPaused(do.Paused); return nil })
		case scenario.Killed:
			t.fleet.enqueue(do.Relay, func(p *process) error { p.terminate(do.Graceful); return nil })
		case scenario.Started:
			t.fleet.enqueue(do.Relay, func(p *process) error {
				if do.EmptyDisk && p.cmd == nil {
					if err := p.emptyDisk(); err != nil {
						return err
					}
				}
				return p.start(ctx)
			})
		case scenario.Relisted:
			t.fleet.enqueue(do.Relay, func(p *process) error { return p.writeOperatorFile(do.Size) })
		case scenario.AgentSilent:
			t.agents[do.Relay].Silence(do.Silent)
		case scenario.Said:
			wg.Go(func() { t.runCommand(ctx, do) })
		case scenario.HostSet:
			if err := t.setHost(do); err != nil {
				t.recorder.addError(err.Error())
			}
		}
	}
}

// setHost changes a host's behaviour.
func (t *trial) setHost(do scenario.HostSet) error {
	h := t.hosts[do.Partner][do.Host]
	h.Scale(do.Factor)
	latency := t.plan.Scenario.Partners[do.Partner].Hosts[do.Host].Latency
	h.Set(standin.Behaviour{Latency: latency, Hang: do.Hang, Refuse: do.Wait > 0, Wait: do.Wait})
	if do.Down {
		h.Down()
		return nil
	}
	return h.Up()
}
