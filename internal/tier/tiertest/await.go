package tiertest

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/controlnode"
)

// pollInterval is the time between two evaluations of a condition that is awaited.
const pollInterval = 15 * time.Millisecond

// Await polls until a condition is met or the context ends. The error names the condition.
func Await(ctx context.Context, condition string, met func(context.Context) bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !met(ctx) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waited for: %s", condition)
		}
	}
	return nil
}

// AwaitStatus waits until the status of some running core node is current and meets a condition. The error has the last
// status.
func (t *Tier) AwaitStatus(ctx context.Context, condition string, met func(s *controlnode.Status) bool) error {
	var last *controlnode.Status
	err := Await(ctx, condition, func(ctx context.Context) bool {
		for _, m := range t.Class(Core) {
			if !m.Running() {
				continue
			}
			if status, err := m.Status(ctx); err == nil {
				if last = status; status.Fresh && met(status) {
					return true
				}
			}
		}
		return false
	})
	return errors.Wrapf(err, "the last status is %+v", last)
}

// AwaitReplicas waits until every core node has all that is committed, in one view whose chain has as many members as it should: the
// others are learners.
func (t *Tier) AwaitReplicas(ctx context.Context) error {
	cores := t.Class(Core)
	members := min(len(cores), controlnode.ChainLength(machineLosses))
	return Await(ctx, "all core nodes have a replica", func(ctx context.Context) bool {
		epochs := map[int64]bool{}
		for _, m := range cores {
			status, err := m.Status(ctx)
			if err != nil || !status.Fresh || len(status.Chain) != members {
				return false
			}
			if status.Role != controlnode.RoleMember && status.Role != controlnode.RoleLearner {
				return false
			}
			epochs[status.Epoch] = true
		}
		return len(epochs) == 1
	})
}

// AwaitReady waits until fronts are ready.
func (t *Tier) AwaitReady(ctx context.Context, fronts ...*Machine) error {
	for _, m := range fronts {
		if err := Await(ctx, m.Name+" is ready", m.Ready); err != nil {
			return err
		}
	}
	return nil
}
