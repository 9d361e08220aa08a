package tiertest

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LoadBalancer stands in for the platform's load balancer in front of the tier. It checks the health of each front
// periodically and sends clients to the healthy ones. It is safe for concurrent use.
type LoadBalancer struct {
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu           sync.Mutex
	fronts       []*Machine
	failedChecks []int // in a row, by index of the front
}

const (
	unhealthyThreshold         = 2 // failed checks in a row after which a front counts as unhealthy
	defaultHealthCheckInterval = time.Second
)

// newLoadBalancer starts a load balancer; all fronts are unhealthy until their first check.
func newLoadBalancer(t *Tier, interval time.Duration) *LoadBalancer {
	if interval <= 0 {
		interval = defaultHealthCheckInterval
	}
	b := &LoadBalancer{fronts: t.Class(Front)}
	b.failedChecks = make([]int, len(b.fronts))
	for i := range b.failedChecks {
		b.failedChecks[i] = unhealthyThreshold
	}
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	for i := range b.fronts {
		b.wg.Go(func() { b.checkHealth(ctx, i, interval) })
	}
	return b
}

// checkHealth checks the health of a front until the context ends.
func (b *LoadBalancer) checkHealth(ctx context.Context, i int, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		ready := b.fronts[i].Ready(ctx)
		b.mu.Lock()
		if b.failedChecks[i]++; ready {
			b.failedChecks[i] = 0
		}
		b.mu.Unlock()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// close stops the health checks and waits for them.
func (b *LoadBalancer) close() {
	b.stop()
	b.wg.Wait()
}

// Pick returns the front for a new connection of a client, by a hash of the client's name. A retry passes the front of
// the attempt before as avoid and gets another one if there is one. If less than half of the fronts are healthy, all count
// as healthy.
func (b *LoadBalancer) Pick(client string, avoid *Machine) (*Machine, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy []*Machine
	for i, front := range b.fronts {
		if b.failedChecks[i] < unhealthyThreshold {
			healthy = append(healthy, front)
		}
	}
	if 2*len(healthy) < len(b.fronts) {
		healthy = b.fronts
	}
	if len(healthy) == 0 {
		return nil, errors.New("the tier has no front: start it with one")
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(client))
	i := int(hash.Sum32()>>1) % len(healthy)
	if healthy[i] == avoid {
		i = (i + 1) % len(healthy)
	}
	return healthy[i], nil
}
