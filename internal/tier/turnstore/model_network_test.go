package turnstore_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/turnstore"
)

// message identifies messages of one kind.
type message struct {
	from, to string
	method   rpc.Method
}

// delay returns the delay of a message. It is drawn by the kind and the number of the message, so that a scenario does not depend
// on the scheduling of goroutines.
func (sim *simulation) delay(from, to string, m rpc.Method) time.Duration {
	if sim.uniformDelays {
		return time.Millisecond
	}
	key := message{from, to, m}
	sim.mu.Lock()
	sim.counts[key]++
	n := sim.counts[key]
	sim.mu.Unlock()
	h := xxhash.Sum64String(from)*31 + xxhash.Sum64String(to)
	rng := rand.NewPCG(sim.seed^uint64(m)<<40, h^n*0x9e3779b97f4a7c15)
	span := func(d time.Duration) time.Duration { return time.Duration(rng.Uint64() % uint64(d)) }
	switch k := rng.Uint64() % 100; {
	case k < 80:
		return 200*time.Microsecond + span(2*time.Millisecond)
	case k < 96:
		return 2*time.Millisecond + span(20*time.Millisecond)
	}
	return 20*time.Millisecond + span(280*time.Millisecond)
}

// partition blocks the path from one node to another.
func (sim *simulation) partition(from, to string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if k := [2]string{from, to}; sim.partitions[k] == nil {
		sim.partitions[k] = make(chan struct{})
	}
}

func (sim *simulation) heal(from, to string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	k := [2]string{from, to}
	if c := sim.partitions[k]; c != nil {
		close(c)
		delete(sim.partitions, k)
	}
}

// awaitPath waits until a path is not partitioned. It reports false if the message is lost, after messageLifetime.
func (sim *simulation) awaitPath(from, to string) bool {
	lost := time.NewTimer(messageLifetime)
	defer lost.Stop()
	for {
		sim.mu.Lock()
		c := sim.partitions[[2]string{from, to}]
		sim.mu.Unlock()
		if c == nil {
			return true
		}
		select {
		case <-c:
		case <-lost.C:
			return false
		}
	}
}

// node is the common part of stores and fronts.
type node struct {
	sim      *simulation
	name     string
	zone     string
	frozen   atomic.Pointer[chan struct{}]       // closed at the thaw; nil: not frozen
	received atomic.Pointer[turnstore.Placement] // newest placement
	changed  atomic.Pointer[chan struct{}]       // closed with the next placement
}

// awaitThaw waits while the node is frozen, until the scenario ends.
func (n *node) awaitThaw() {
	for c := n.frozen.Load(); c != nil; c = n.frozen.Load() {
		select {
		case <-*c:
		case <-n.sim.done: // what froze the node has ended, and thaws it no more
			return
		}
	}
}

func (n *node) freeze() {
	c := make(chan struct{})
	if n.frozen.CompareAndSwap(nil, &c) {
		n.sim.note(n.name, "frozen")
	}
}

func (n *node) thaw() {
	if c := n.frozen.Swap(nil); c != nil {
		n.sim.note(n.name, "thawed")
		close(*c)
	}
}

// receivePlacement takes a placement, unless it is not newer than the current one.
func (n *node) receivePlacement(p *turnstore.Placement) {
	for {
		current := n.received.Load()
		if current != nil && (current.Generation > p.Generation || current.Generation == p.Generation && len(p.New) > 0) {
			return
		}
		if n.received.CompareAndSwap(current, p) {
			c := make(chan struct{})
			if old := n.changed.Swap(&c); old != nil {
				close(*old)
			}
			return
		}
	}
}

func (n *node) placement() *turnstore.Placement { return n.received.Load() }

// endpoint is the transport of one process.
type endpoint struct {
	n         *node
	ctx       context.Context // of the process
	repairing func() bool     // whether it handles a repair notice; nil: never
}

var errReset = errors.Mark(errors.New("connection reset"), rpc.ErrLost)

// callResult is the encoded reply of a call, or its error.
type callResult struct {
	body []byte
	err  error
}

func (p endpoint) Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error {
	raw := rpc.Encode(body)
	results := make(chan callResult, 1)
	p.n.sim.wg.Go(func() {
		reply, err := p.n.sim.deliver(p, addr, m, raw)
		results <- callResult{reply, err}
	})
	select {
	case result := <-results:
		if result.err != nil || answer == nil {
			return result.err
		}
		return rpc.Decode(result.body, answer)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), rpc.ErrLost)
	}
}

func (p endpoint) Notify(_ context.Context, addr string, m rpc.Method, body any) error {
	raw := rpc.Encode(body)
	p.n.sim.wg.Go(func() { _, _ = p.n.sim.deliver(p, addr, m, raw) })
	return nil
}

// deliver carries a call to a store and its reply back. It goes on after its caller has timed out.
func (sim *simulation) deliver(p endpoint, addr string, m rpc.Method, raw []byte) ([]byte, error) {
	p.n.awaitThaw()
	if p.ctx.Err() != nil {
		return nil, errReset
	}
	to := sim.storeAt(addr)
	if to == nil {
		return nil, errors.Mark(errors.New("no route"), rpc.ErrUnsent)
	}
	time.Sleep(sim.delay(p.n.name, to.name, m))
	if !sim.awaitPath(p.n.name, to.name) {
		return nil, errReset
	}
	to.awaitThaw()
	running := to.incarnation.Load()
	if running == nil {
		return nil, errors.Mark(errors.New("connection refused"), rpc.ErrUnsent)
	}
	handler := running.handlers[m]
	if sim.noDigest && m == turnstore.MethodDigest {
		return nil, errors.Mark(errors.New("disabled"), rpc.ErrRemote)
	}
	if m == turnstore.MethodRepair {
		sim.checkRepair(to, running, raw)
	}
	reply, err := handler(running.ctx, sim.injectIntoCall(p, m, raw))
	to.awaitThaw()
	if running.ctx.Err() != nil {
		return nil, errReset
	}
	if err != nil {
		return nil, errors.Mark(err, rpc.ErrRemote)
	}
	out := rpc.Encode(sim.injectIntoReply(p, reply))
	time.Sleep(sim.delay(to.name, p.n.name, m))
	if !sim.awaitPath(to.name, p.n.name) {
		return nil, errReset
	}
	p.n.awaitThaw()
	return out, nil
}

func (sim *simulation) storeAt(addr string) *machine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, s := range sim.stores {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// injectIntoCall plants faults into a call.
func (sim *simulation) injectIntoCall(p endpoint, m rpc.Method, raw []byte) []byte {
	front := strings.HasPrefix(p.n.name, "f")
	switch {
	case sim.fault == noRetainMargin && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.Turn.RetainSeconds = max(1, c.Turn.RetainSeconds-int(turnstore.RetainMargin/time.Second))
		return rpc.Encode(&c)
	case sim.fault == noGenerationFence && front && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case sim.fault == noGenerationFence && front && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case sim.fault == noReservation && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.MaxTokens = 0
		return rpc.Encode(&c)
	}
	return raw
}

// injectIntoReply plants faults into a reply.
func (sim *simulation) injectIntoReply(p endpoint, reply any) any {
	switch r := reply.(type) {
	case *turnstore.OpenReply:
		if sim.fault == partialHistory {
			r.Missing = ""
		}
	case *turnstore.HistoryReply:
		if sim.fault == partialHistory {
			r.Missing = ""
		}
	case *turnstore.StatesReply:
		if sim.fault == sweepWithoutLedgers || sim.fault == repairWithoutLedger && p.repairing != nil && p.repairing() {
			for i := range r.States {
				r.States[i].Ledger = nil
			}
		}
	}
	return reply
}
