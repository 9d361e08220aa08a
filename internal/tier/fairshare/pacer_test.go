package fairshare

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testLink = 10 << 20 // bytes a second
	testTime = 4 * time.Second
)

// takeAll takes as much as a response gets until a time, and returns the bytes.
func takeAll(p *Pacer, until time.Time) (taken int64) {
	r := p.Open()
	defer r.Close()
	for time.Now().Before(until) {
		r.Wait(32<<10, until, nil)
		taken += 32 << 10
	}
	return taken
}

func idleProcessor() time.Duration { return 0 }

// Responses that never end share the link evenly, and take no more than it carries.
func TestLinkIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{LinkBytesPerSecond: testLink, Cores: 1, ProcessorTime: idleProcessor})
		const responses = 20
		var all sync.WaitGroup
		var taken [responses]int64
		until := time.Now().Add(testTime)
		for i := range responses {
			all.Go(func() { taken[i] = takeAll(p, until) })
		}
		all.Wait()
		sum, fair := int64(0), int64(testLink*testTime.Seconds())/responses
		for i, n := range taken {
			sum += n
			if n < fair/2 || n > 2*fair {
				t.Errorf("response %d took %d bytes, a fair part is %d", i, n, fair)
			}
		}
		if most := int64(testLink*testTime.Seconds()) + responses*2*MaxSlice; sum > most {
			t.Errorf("together they took %d bytes, must be %d at most", sum, most)
		}
	})
}

// A response that takes less than its part does not wait, however many others send without end.
func TestSlowResponseDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{LinkBytesPerSecond: testLink, Cores: 1, ProcessorTime: idleProcessor})
		until := time.Now().Add(testTime)
		var others sync.WaitGroup
		for range 20 {
			others.Go(func() { takeAll(p, until) })
		}
		slow := p.Open()
		defer slow.Close()
		for time.Now().Before(until) {
			began := time.Now()
			slow.Wait(1<<10, until, nil)
			if waited := time.Since(began); waited > 0 {
				t.Fatalf("it waited for %v", waited)
			}
			time.Sleep(10 * time.Millisecond)
		}
		others.Wait()
		if slow.TookAll() {
			t.Error("it counts as one that took all that it may")
		}
	})
}

// A response that is alone gets the whole link while the processor is idle, and less while it is busy.
func TestRateFollowsProcessor(t *testing.T) {
	for name, c := range map[string]struct {
		cores       float64 // that the process uses
		least, most float64 // parts of the link
	}{
		"idle": {0, 0.95, 1.1},
		"busy": {1, 0, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				p := New(Options{LinkBytesPerSecond: testLink, Cores: 1, ProcessorTime: func() time.Duration {
					return time.Duration(c.cores * float64(time.Since(began)))
				}})
				part := float64(takeAll(p, began.Add(testTime))) / (testLink * testTime.Seconds())
				if part < c.least || part > c.most {
					t.Errorf("it took %.2f of the link, must be %.2f to %.2f", part, c.least, c.most)
				}
			})
		})
	}
}

// While there are no other requests a response may use all of the processor that is granted, beside others half of it.
func TestAloneMayUseWholeProcessor(t *testing.T) {
	const coresOfLink = 0.8 // that the process uses at the rate of the link
	for name, c := range map[string]struct {
		others      int
		least, most float64 // parts of the link
	}{"alone": {0, 0.95, 1.1}, "beside others": {1, 0.45, 0.85}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var taken atomic.Int64
				began := time.Now()
				p := New(Options{LinkBytesPerSecond: testLink, Cores: 1, Requests: func() (int, int64) { return 1 + c.others, 0 },
					ProcessorTime: func() time.Duration {
						return time.Duration(coresOfLink * float64(taken.Load()) / testLink * float64(time.Second))
					}})
				r := p.Open()
				defer r.Close()
				for until := began.Add(testTime); time.Now().Before(until); taken.Add(32 << 10) {
					r.Wait(32<<10, until, nil)
				}
				part := float64(taken.Load()) / (testLink * testTime.Seconds())
				if part < c.least || part > c.most {
					t.Errorf("it took %.2f of the link, must be %.2f to %.2f", part, c.least, c.most)
				}
			})
		})
	}
}

// A wait ends with the request, and with its deadline.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{LinkBytesPerSecond: 1 << 10, Cores: 1, ProcessorTime: idleProcessor})
		r := p.Open()
		defer r.Close()
		began, cancelled := time.Now(), make(chan struct{})
		r.Wait(4*MaxSlice, began.Add(time.Second), cancelled)
		if took := time.Since(began); took > time.Second {
			t.Errorf("it waited for %v past its deadline", took)
		}
		if !r.TookAll() {
			t.Error("it does not count as one that took all that it may")
		}
		var ended atomic.Bool
		go func() { r.Wait(MaxSlice, began.Add(time.Hour), cancelled); ended.Store(true) }()
		synctest.Wait()
		close(cancelled)
		synctest.Wait()
		if !ended.Load() {
			t.Error("it waits on though the request was cancelled")
		}
	})
}
