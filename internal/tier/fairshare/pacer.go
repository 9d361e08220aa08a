package fairshare

import (
	"runtime"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options configures a Pacer.
type Options struct {
	LinkBytesPerSecond float64 // of the node; 0 for DefaultLink
	Cores              float64 // of processor time that the node is granted; 0 for all of the machine's

	// Requests returns how many requests are served now, long responses among them, and how many have begun so far. Default: there are
	// always others.
	Requests func() (serving int, begun int64)

	// ProcessorTime returns the processor time that the process has used. Default: what the system reports.
	ProcessorTime func() time.Duration
}

const (
	// DefaultLink is the rate of a link of which nothing is known, in bytes a second: 10 Gbit/s.
	DefaultLink = 10e9 / 8

	// MaxSlice is the largest number of bytes that Wait takes at a time.
	MaxSlice = 64 << 10

	// minWait is the shortest wait: timers are late by up to a millisecond, which a response must not lose each time.
	minWait = 5 * time.Millisecond
)

// Pacer paces the long responses of a process. It is safe for concurrent use.
type Pacer struct {
	options Options

	mu         sync.Mutex
	rate       float64 // bytes a second, of all responses together
	open       map[*Response]bool
	timer      *time.Timer // of the next adjustment; nil while no response is open
	adjustedAt time.Time
	used       time.Duration // processor time at adjustedAt
	begun      int64         // requests that had begun at adjustedAt
}

// New returns a pacer without responses.
func New(options Options) *Pacer {
	if options.LinkBytesPerSecond <= 0 {
		options.LinkBytesPerSecond = DefaultLink
	}
	if options.Cores <= 0 {
		options.Cores = float64(runtime.GOMAXPROCS(0))
	}
	if options.ProcessorTime == nil {
		options.ProcessorTime = processorTime
	}
	return &Pacer{options: options, rate: options.LinkBytesPerSecond, open: map[*Response]bool{}}
}

// Response is a long response. Its methods, but for what the pacer does, belong to one goroutine.
type Response struct {
	pacer   *Pacer
	limiter *rate.Limiter
	opened  time.Time
	waited  time.Duration // in all
	hungry  bool          // it waited since the last adjustment; guarded by pacer.mu
}

// Open adds a response. The caller closes it.
func (p *Pacer) Open() *Response {
	now := time.Now()
	r := &Response{pacer: p, opened: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.limiter = rate.NewLimiter(rate.Limit(p.rate/float64(1+p.hungryCount())), MaxSlice)
	if p.open[r] = true; p.timer == nil {
		p.adjustedAt, p.used = now, p.options.ProcessorTime()
		p.timer = time.AfterFunc(adjustInterval, p.adjust)
	}
	return r
}

// Close removes the response.
func (r *Response) Close() {
	r.pacer.mu.Lock()
	defer r.pacer.mu.Unlock()
	delete(r.pacer.open, r)
}

// Wait waits until the response may go on after it has taken so many bytes, or until cancelled is closed. It does not wait past the
// deadline.
func (r *Response) Wait(bytes int, deadline time.Time, cancelled <-chan struct{}) {
	for ; bytes > 0; bytes -= MaxSlice {
		now := time.Now()
		delay := r.limiter.ReserveN(now, min(bytes, MaxSlice)).DelayFrom(now)
		if delay < minWait {
			continue // to be waited for with what follows
		}
		r.pacer.setHungry(r)
		timer := time.NewTimer(min(delay, deadline.Sub(now)))
		select {
		case <-timer.C:
		case <-cancelled:
			timer.Stop()
			return
		}
		r.waited += time.Since(now)
	}
}

// TookAll reports whether the response has waited for most of its time: its host sent all that the response's part of the link and of
// the processor permits, and more.
func (r *Response) TookAll() bool { return 2*r.waited > time.Since(r.opened) }

func (p *Pacer) setHungry(r *Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.hungry {
		r.hungry = true
		p.divide(time.Now())
	}
}

// hungryCount returns the number of responses that are hungry. mu must be held.
func (p *Pacer) hungryCount() (count int) {
	for r := range p.open {
		if r.hungry {
			count++
		}
	}
	return count
}

// divide gives each response its part of the rate. mu must be held.
func (p *Pacer) divide(now time.Time) {
	part := rate.Limit(p.rate / float64(max(1, p.hungryCount())))
	for r := range p.open {
		r.limiter.SetLimitAt(now, part)
	}
}

// mostCores returns the cores that the process may use before long responses are slowed down: all that it is granted while there are no
// other requests, nor were since the last call. mu must be held.
func (p *Pacer) mostCores() float64 {
	if p.options.Requests == nil {
		return ProcessorShare * p.options.Cores
	}
	serving, begun := p.options.Requests()
	others := serving > len(p.open) || begun > p.begun
	if p.begun = begun; others {
		return ProcessorShare * p.options.Cores
	}
	return p.options.Cores
}

// adjust adjusts the rate to the processor time that was used, every adjustInterval while responses are open.
func (p *Pacer) adjust() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) == 0 {
		p.timer = nil
		return
	}
	now, used := time.Now(), p.options.ProcessorTime()
	if passed := now.Sub(p.adjustedAt); passed > 0 {
		p.rate = nextRate(p.rate, p.options.LinkBytesPerSecond, (used-p.used).Seconds()/passed.Seconds(), p.mostCores())
	}
	p.adjustedAt, p.used = now, used
	p.divide(now)
	for r := range p.open {
		r.hungry = r.limiter.TokensAt(now) < 0
	}
	p.timer.Reset(adjustInterval)
}

// Usage is what long responses take.
type Usage struct {
	Open           int     `json:"open"`
	Hungry         int     `json:"hungry"`           // of them, that had to wait
	BytesPerSecond float64 `json:"bytes_per_second"` // that all of them may take together
}

// Usage returns what long responses take now.
func (p *Pacer) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Open: len(p.open), Hungry: p.hungryCount(), BytesPerSecond: p.rate}
}
