package chaostest

import (
	"context"
	"sync"
	"time"
)

// fleet runs tasks on relays: one after another for each relay, in parallel for different ones.
type fleet struct {
	all      []*process
	tasks    []chan func() // by relay, in order
	wg       sync.WaitGroup
	recorder *recorder
}

func newFleet(all []*process, books *recorder) *fleet {
	f := &fleet{all: all, recorder: books}
	for range all {
		c := make(chan func(), 1024)
		f.tasks = append(f.tasks, c)
		f.wg.Go(func() {
			for do := range c {
				do()
			}
		})
	}
	return f
}

// enqueue runs a task on a relay after those that were enqueued before. Its error is recorded.
func (f *fleet) enqueue(relay int, task func(p *process) error) {
	f.tasks[relay] <- func() {
		if err := task(f.all[relay]); err != nil {
			f.recorder.addError(err.Error())
		}
	}
}

// start starts the first n relays and returns when they serve.
func (f *fleet) start(ctx context.Context, n int) error {
	errs := make(chan error, n)
	for i := range n {
		f.enqueue(i, func(p *process) error { errs <- p.start(ctx); return nil })
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// close terminates all relays and returns the CPU time that they used.
func (f *fleet) close() (used time.Duration) {
	for i := range f.all {
		f.enqueue(i, func(p *process) error { p.setPaused(false); p.terminate(false); return nil })
		close(f.tasks[i])
	}
	f.wg.Wait()
	for _, p := range f.all {
		used += p.cpuTime
		p.client.CloseIdleConnections()
	}
	return used
}
