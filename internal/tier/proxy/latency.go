package proxy

import (
	"sync"
	"time"

	"larchrouter/internal/tier/balancer"
)

// latencyTables has the latency tables of a destination, one for each deadline of its routes.
type latencyTables struct {
	mu         sync.Mutex
	byDeadline map[time.Duration]balancer.Oracle
}

// oracle returns the latency table for calls to an endpoint with a deadline.
func (d *dispatcher) oracle(endpoint *endpoint, deadline time.Duration) balancer.Oracle {
	endpoint.latencies.mu.Lock()
	defer endpoint.latencies.mu.Unlock()
	table := endpoint.latencies.byDeadline[deadline]
	if table == nil {
		table = &lockedOracle{oracle: d.newOracle(deadline)}
		endpoint.latencies.byDeadline[deadline] = table
	}
	return table
}

// lockedOracle makes an Oracle safe for concurrent use.
type lockedOracle struct {
	mu     sync.Mutex
	oracle balancer.Oracle
}

func (l *lockedOracle) Timeout(left, lastTry time.Duration, canRestart bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.oracle.Timeout(left, lastTry, canRestart)
}

func (l *lockedOracle) Served(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oracle.Served(took)
}

func (l *lockedOracle) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oracle.Cut()
}
