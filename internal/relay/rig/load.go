package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxInFlight is the maximum number of submissions of a Load without a response.
const maxInFlight = 256

// Message is a message that a Load submits.
type Message struct{ ID, Class, Partner string }

// Load submits messages as clients do, and records the relay's responses. It is safe for concurrent use, except
// for changes of its exported fields.
type Load struct {
	Addr     string
	Partners []Partner
	Prefix   string        // of the messages' ids
	BodySize int           // of a message, in bytes; 0 for 200
	Deadline time.Duration // of a message; 0 to submit it without one

	rand   *rand.Rand
	client *http.Client

	mu       sync.Mutex
	drawn    int
	accepted []Message
	rejected int
	errors   []error
	latency  []time.Duration // of the answers 202
}

// NewLoad returns a load for the relay at an address. It draws messages from the seed.
func NewLoad(addr string, partners []Partner, seed uint64) *Load {
	dial := &net.Dialer{Timeout: 5 * time.Second}
	return &Load{Addr: addr, Partners: partners, Prefix: "m", rand: rand.New(rand.NewPCG(seed, 0)),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dial.DialContext,
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 2 * time.Second}}}
}

// Close closes idle connections.
func (l *Load) Close() { l.client.CloseIdleConnections() }

// classShares are the cumulated shares of the classes in the bureau's messages.
var classShares = []struct {
	class string
	upTo  float64
}{{"job-order", 0.49}, {"status-update", 0.75}, {"payment", 1}}

// nextMessage draws the next message.
func (l *Load) nextMessage() Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drawn++
	m := Message{ID: fmt.Sprintf("%s%d", l.Prefix, l.drawn)}
	x := l.rand.Float64()
	for _, s := range classShares {
		if m.Class = s.class; x < s.upTo {
			break
		}
	}
	var candidates []string
	for _, p := range l.Partners {
		if slices.Contains(p.Classes, m.Class) {
			candidates = append(candidates, p.Name)
		}
	}
	if len(candidates) == 0 {
		m.Class, candidates = l.Partners[0].Classes[0], []string{l.Partners[0].Name}
	}
	m.Partner = candidates[l.rand.IntN(len(candidates))]
	return m
}

// Submit submits one message and returns the status of the response.
func (l *Load) Submit(ctx context.Context, m Message) (int, error) {
	size := l.BodySize
	if size == 0 {
		size = 200
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/api", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-Id", m.ID)
	req.Header.Set("X-Class", m.Class)
	req.Header.Set("X-Partner", m.Partner)
	if m.Class == "job-order" {
		req.Header.Set("Idempotency-Key", "key-"+m.ID)
	}
	if l.Deadline > 0 {
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(l.Deadline.Milliseconds()))
	}
	begin := time.Now()
	resp, err := l.client.Do(req)
	took := time.Since(begin)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.errors = append(l.errors, err)
		return 0, err
	case resp.StatusCode == http.StatusAccepted:
		l.accepted = append(l.accepted, m)
		l.latency = append(l.latency, took)
	default:
		l.rejected++
	}
	return resp.StatusCode, nil
}

// Run submits drawn messages at a rate per second until the context ends, and waits for the responses.
func (l *Load) Run(ctx context.Context, rate float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxInFlight)
	begin := time.Now()
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		m := l.nextMessage()
		wg.Go(func() {
			// Not cancelled with the load: without the response it would be unknown whether the message was
			// accepted.
			l.Submit(context.WithoutCancel(ctx), m)
			<-slots
		})
	}
}

// Accepted returns the messages that the relay has accepted.
func (l *Load) Accepted() []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.accepted)
}

// Rejected returns the number of messages that the relay has rejected.
func (l *Load) Rejected() int { l.mu.Lock(); defer l.mu.Unlock(); return l.rejected }

// Errors returns the errors of submissions that got no response.
func (l *Load) Errors() []error { l.mu.Lock(); defer l.mu.Unlock(); return slices.Clone(l.errors) }

// Latencies returns the latencies of the responses with status 202, without the first since ones.
func (l *Load) Latencies(since int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.latency[min(since, len(l.latency)):])
}

// Latency returns quantiles of the latencies of the responses with status 202, without the first since ones,
// and their number.
func (l *Load) Latency(since int, quantiles ...float64) ([]time.Duration, int) {
	latencies := l.Latencies(since)
	slices.Sort(latencies)
	var values []time.Duration
	for _, q := range quantiles {
		value := time.Duration(0)
		if len(latencies) > 0 {
			value = latencies[min(len(latencies)-1, int(q*float64(len(latencies))))]
		}
		values = append(values, value)
	}
	return values, len(latencies)
}
