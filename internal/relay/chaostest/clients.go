package chaostest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/relay/scenario"
)

const (
	answerTimeout = 400 * time.Millisecond // of a client's request (PROTOCOL, "Clients to relays")
	maxInFlight   = 256                    // messages of one relay's clients
	bodyLength    = 200
)

// clients submit messages at times drawn from the seed, independently of earlier responses.
type clients struct {
	plan     scenario.Plan
	fleet    *fleet
	recorder *recorder
	wg       sync.WaitGroup
}

// rate returns the messages per second that one relay gets of a load.
func rate(l scenario.Load, relay, relays int) float64 {
	hot := min(l.HotRelays, relays)
	each := l.Rate / (float64(relays-hot) + float64(hot)*l.HotFactor)
	if relay >= relays-hot {
		return each * l.HotFactor
	}
	return each
}

// run submits messages until the plan's span is over or the context ends.
func (c *clients) run(ctx context.Context) {
	for relay := range c.fleet.all {
		open := make(chan struct{}, maxInFlight)
		for dest, p := range c.plan.Scenario.Partners {
			for n, l := range p.Loads {
				c.wg.Go(func() { c.runLoad(ctx, relay, dest, n, l, open) })
			}
		}
	}
	c.wg.Wait()
}

func (c *clients) runLoad(ctx context.Context, relay, dest, load int, l scenario.Load, open chan struct{}) {
	draw := rand.New(rand.NewPCG(c.plan.Seed, uint64(relay)<<32|uint64(dest)<<16|uint64(load)))
	mean := float64(time.Second) / rate(l, relay, c.plan.Relays)
	for at, i := time.Duration(0), 0; ; i++ {
		at += time.Duration(draw.ExpFloat64() * mean)
		if at >= c.plan.Span() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(at - c.recorder.now()):
		}
		select {
		case open <- struct{}{}:
		default:
			c.recorder.update(func(b *EventLog) { b.Shed++ })
			continue
		}
		m := &Message{ID: fmt.Sprintf("%02d-%d-%d-%06d", relay, dest, load, i),
			Relay: relay, Dest: dest, Class: l.Class, Timeout: l.Timeout}
		c.wg.Go(func() {
			c.submit(ctx, m)
			<-open
		})
	}
}

// submit submits a message and records the response.
func (c *clients) submit(ctx context.Context, m *Message) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	p := c.fleet.all[m.Relay]
	body := strings.NewReader(strings.Repeat("x", bodyLength))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.listen+"/api", body)
	if err != nil {
		c.recorder.addError(err.Error())
		return
	}
	req.Header.Set("X-Request-Id", m.ID)
	req.Header.Set("X-Class", m.Class)
	req.Header.Set("Idempotency-Key", m.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(m.Timeout.Milliseconds()))
	if s := c.plan.Scenario; s.Appliances {
		req.Header.Set("X-Partner", s.Partners[m.Dest].Name)
	} else {
		req.Header.Set("X-Addressing", fmt.Sprintf("dest=%d", m.Dest))
	}
	m.Sent = c.recorder.now()
	c.recorder.update(func(b *EventLog) { b.Messages[m.ID] = m }) // first: its notice may arrive before the response
	resp, err := p.client.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		drainBody(resp.Body)
	}
	now := c.recorder.now()
	c.recorder.update(func(*EventLog) { m.Status, m.Answered = status, now })
}
