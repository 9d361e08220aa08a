package demo

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"larchrouter/internal/relay/rig"
	"larchrouter/internal/standin"
)

const (
	faultInterval = 4 * time.Second
	faultDuration = 3 * time.Second
)

// faults are the faults that injectFaults uses in turn. inject gets the host's normal behaviour.
var faults = []struct {
	name   string // completes the sentence "the partner ..."
	inject func(host *standin.Host, normal standin.Behaviour)
}{
	{"refuses, and tells how long to wait", func(host *standin.Host, b standin.Behaviour) {
		b.Refuse, b.RetryAfter = true, 800*time.Millisecond
		host.Set(b)
	}},
	{"stalls", func(host *standin.Host, b standin.Behaviour) { b.Latency = 900 * time.Millisecond; host.Set(b) }},
	{"is down", func(host *standin.Host, _ standin.Behaviour) { host.Down() }},
	{"fails after it has applied", func(host *standin.Host, b standin.Behaviour) { b.Fail = true; host.Set(b) }},
	{"hangs", func(host *standin.Host, b standin.Behaviour) { b.Hang = true; host.Set(b) }},
}

// normalBehaviour returns the behaviour without faults of each stand-in, by endpoint.
func normalBehaviour(s *rig.Site) map[string]standin.Behaviour {
	normal := map[string]standin.Behaviour{}
	for _, p := range s.Partners {
		for id := range s.Hosts {
			if strings.HasPrefix(id, p.Name+"-") {
				normal[id] = p.Behaviour
			}
		}
	}
	return normal
}

// injectFaults injects the faults in turn, each into all endpoints of a partner that is drawn, until the
// context ends. When it returns, no fault is left.
func injectFaults(ctx context.Context, s *rig.Site, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	normal := normalBehaviour(s)
	pause := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	for n := 0; pause(faultInterval - faultDuration); n++ {
		p := s.Partners[rnd.IntN(len(s.Partners))]
		fault := faults[n%len(faults)]
		slog.Warn("the stand-in partner "+fault.name, "partner", p.Name)
		for i := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			fault.inject(s.Hosts[id], normal[id])
		}
		running := pause(faultDuration)
		for i := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			s.Hosts[id].Set(normal[id])
			if err := s.Hosts[id].Up(); err != nil {
				slog.Error("the stand-in does not come back", "endpoint", id, "err", err)
			}
		}
		slog.Info("the stand-in partner is well again", "partner", p.Name)
		if !running {
			return
		}
	}
}
