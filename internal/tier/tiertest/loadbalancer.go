package tiertest

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LoadBalancer stands in for the platform's address of clients: it asks each front whether it is ready, and passes clients on to
// those that are.
type LoadBalancer struct {
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu           sync.Mutex
	fronts       []*Machine
	failedChecks []int
}

const unhealthyThreshold = 2 // answers in a row that take a front out

func newLoadBalancer(t *Tier, every time.Duration) *LoadBalancer {
	if every <= 0 {
		every = time.Second
	}
	e := &LoadBalancer{fronts: t.Class(Front)}
	e.failedChecks = make([]int, len(e.fronts))
	for i := range e.failedChecks {
		e.failedChecks[i] = unhealthyThreshold
	}
	var ctx context.Context
	ctx, e.stop = context.WithCancel(context.Background())
	for i, m := range e.fronts {
		e.wg.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				ready := m.Ready(ctx)
				e.mu.Lock()
				if e.failedChecks[i]++; ready {
					e.failedChecks[i] = 0
				}
				e.mu.Unlock()
				select {
				case <-tick.C:
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return e
}

func (e *LoadBalancer) close() {
	e.stop()
	e.wg.Wait()
}

// Pick gives the front to which a new connection of a client goes; with avoid, another one than the client had, as a
// retry reaches.
func (e *LoadBalancer) Pick(client string, avoid *Machine) (*Machine, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var in []*Machine
	for i, m := range e.fronts {
		if e.failedChecks[i] < unhealthyThreshold {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(e.fronts) {
		in = e.fronts
	}
	if len(in) == 0 {
		return nil, errors.New("the tier has no front: start it with one")
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(client))
	at := int(h.Sum32()>>1) % len(in)
	if in[at] == avoid {
		at = (at + 1) % len(in)
	}
	return in[at], nil
}
