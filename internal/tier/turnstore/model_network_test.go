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

type message struct {
	from, to string
	m        rpc.Method
}

// delay of a message: by what it is, so that a course plays the same however goroutines are scheduled.
func (w *simulation) delay(from, to string, m rpc.Method) time.Duration {
	if w.uniformDelays {
		return time.Millisecond
	}
	key := message{from, to, m}
	w.mu.Lock()
	w.counts[key]++
	n := w.counts[key]
	w.mu.Unlock()
	h := xxhash.Sum64String(from)*31 + xxhash.Sum64String(to)
	rng := rand.NewPCG(w.seed^uint64(m)<<40, h^n*0x9e3779b97f4a7c15)
	span := func(d time.Duration) time.Duration { return time.Duration(rng.Uint64() % uint64(d)) }
	switch k := rng.Uint64() % 100; {
	case k < 80:
		return 200*time.Microsecond + span(2*time.Millisecond)
	case k < 96:
		return 2*time.Millisecond + span(20*time.Millisecond)
	}
	return 20*time.Millisecond + span(280*time.Millisecond)
}

func (w *simulation) partition(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k := [2]string{from, to}; w.partitions[k] == nil {
		w.partitions[k] = make(chan struct{})
	}
}

func (w *simulation) heal(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := [2]string{from, to}
	if c := w.partitions[k]; c != nil {
		close(c)
		delete(w.partitions, k)
	}
}

// awaitPath waits until a path is there; what waits for too long is lost.
func (w *simulation) awaitPath(from, to string) bool {
	give := time.NewTimer(messageLifetime)
	defer give.Stop()
	for {
		w.mu.Lock()
		c := w.partitions[[2]string{from, to}]
		w.mu.Unlock()
		if c == nil {
			return true
		}
		select {
		case <-c:
		case <-give.C:
			return false
		}
	}
}

// node is what machines and fronts have in common.
type node struct {
	w        *simulation
	name     string
	zone     string
	frozen   atomic.Pointer[chan struct{}]
	received atomic.Pointer[turnstore.Placement]
	changed  atomic.Pointer[chan struct{}]
}

// awaitThaw waits while the machine is frozen.
func (n *node) awaitThaw() {
	for c := n.frozen.Load(); c != nil; c = n.frozen.Load() {
		<-*c
	}
}

func (n *node) freeze() {
	c := make(chan struct{})
	if n.frozen.CompareAndSwap(nil, &c) {
		n.w.note(n.name, "frozen")
	}
}

func (n *node) thaw() {
	if c := n.frozen.Swap(nil); c != nil {
		n.w.note(n.name, "thawed")
		close(*c)
	}
}

func (n *node) receivePlacement(p *turnstore.Placement) {
	for {
		was := n.received.Load()
		if was != nil && (was.Generation > p.Generation || was.Generation == p.Generation && len(p.New) > 0) {
			return
		}
		if n.received.CompareAndSwap(was, p) {
			c := make(chan struct{})
			if old := n.changed.Swap(&c); old != nil {
				close(*old)
			}
			return
		}
	}
}

func (n *node) placement() *turnstore.Placement { return n.received.Load() }

// endpoint is a process' side of the network.
type endpoint struct {
	n         *node
	ctx       context.Context // of the process
	repairing func() bool     // nil for none
}

var errReset = errors.Mark(errors.New("connection reset"), rpc.ErrLost)

type callResult struct {
	body []byte
	err  error
}

func (p endpoint) Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error {
	raw := rpc.Encode(body)
	ch := make(chan callResult, 1)
	p.n.w.wg.Go(func() {
		b, err := p.n.w.deliver(p, addr, m, raw)
		ch <- callResult{b, err}
	})
	select {
	case h := <-ch:
		if h.err != nil || answer == nil {
			return h.err
		}
		return rpc.Decode(h.body, answer)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), rpc.ErrLost)
	}
}

func (p endpoint) Notify(_ context.Context, addr string, m rpc.Method, body any) error {
	raw := rpc.Encode(body)
	p.n.w.wg.Go(func() { _, _ = p.n.w.deliver(p, addr, m, raw) })
	return nil
}

// deliver takes a call to a store and its answer back. A call goes on when its caller has given up.
func (w *simulation) deliver(p endpoint, addr string, m rpc.Method, raw []byte) ([]byte, error) {
	p.n.awaitThaw()
	if p.ctx.Err() != nil {
		return nil, errReset
	}
	to := w.storeAt(addr)
	if to == nil {
		return nil, errors.Mark(errors.New("no route"), rpc.ErrUnsent)
	}
	time.Sleep(w.delay(p.n.name, to.name, m))
	if !w.awaitPath(p.n.name, to.name) {
		return nil, errReset
	}
	to.awaitThaw()
	life := to.incarnation.Load()
	if life == nil {
		return nil, errors.Mark(errors.New("connection refused"), rpc.ErrUnsent)
	}
	h := life.handlers[m]
	if w.noDigest && m == turnstore.MethodDigest {
		return nil, errors.Mark(errors.New("left out"), rpc.ErrRemote)
	}
	if m == turnstore.MethodRepair {
		w.checkRepair(to, life, raw)
	}
	answer, err := h(life.ctx, w.injectIntoCall(p, m, raw))
	to.awaitThaw()
	if life.ctx.Err() != nil {
		return nil, errReset
	}
	if err != nil {
		return nil, errors.Mark(err, rpc.ErrRemote)
	}
	out := rpc.Encode(w.injectIntoReply(p, to, answer))
	time.Sleep(w.delay(to.name, p.n.name, m))
	if !w.awaitPath(to.name, p.n.name) {
		return nil, errReset
	}
	p.n.awaitThaw()
	return out, nil
}

func (w *simulation) storeAt(addr string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stores {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// injectIntoCall plants faults in what is asked.
func (w *simulation) injectIntoCall(p endpoint, m rpc.Method, raw []byte) []byte {
	front := strings.HasPrefix(p.n.name, "f")
	switch {
	case w.fault == noRetainMargin && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.Turn.RetainSeconds = max(1, c.Turn.RetainSeconds-int(turnstore.KeepMargin/time.Second))
		return rpc.Encode(&c)
	case w.fault == noGenerationFence && front && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case w.fault == noGenerationFence && front && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case w.fault == noReservation && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.MaxTokens = 0
		return rpc.Encode(&c)
	}
	return raw
}

// injectIntoReply plants faults in what is answered.
func (w *simulation) injectIntoReply(p endpoint, to *machine, answer any) any {
	switch r := answer.(type) {
	case *turnstore.OpenReply:
		if w.fault == partialHistory {
			r.Missing = ""
		}
	case *turnstore.PastReply:
		if w.fault == partialHistory {
			r.Missing = ""
		}
	case *turnstore.StatesReply:
		if w.fault == sweepWithoutLedgers || w.fault == repairWithoutLedger && p.repairing != nil && p.repairing() {
			for i := range r.States {
				r.States[i].Ledger = nil
			}
		}
	}
	return answer
}
