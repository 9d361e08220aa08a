package choice_test

import (
	"fmt"
	"testing"
	"time"

	"larchrouter/choice"
)

// BenchmarkStep measures a Step that accepts a message, sends it and applies its Result, with a given number
// of other messages queued for destinations without a host.
func BenchmarkStep(b *testing.B) {
	for _, pending := range []int{100, 10_000, 100_000} {
		for _, dests := range []int{32, 5000} {
			b.Run(fmt.Sprintf("held=%d/dests=%d", pending, dests), func(b *testing.B) {
				cfg := worldSettings()
				cfg.Workers, cfg.Listed, cfg.Fleet = 64, false, 1
				chooser, err := choice.New(cfg, 1)
				if err != nil {
					b.Fatal(err)
				}
				listing := choice.Listing{Whole: true}
				for dest := range dests {
					listing.Hosts = append(listing.Hosts, listedHost(dest))
				}
				events := []choice.Event{listing}
				for i := range pending { // for destinations without a host
					events = append(events, choice.Arrival{ID: fmt.Sprint("held", i), Class: i % 3,
						Dest: dests + i%(dests/2), Left: 24 * time.Hour})
				}
				now := time.Hour
				chooser.Step(now, events)
				events = events[:0]
				b.ReportAllocs()
				for message := 0; b.Loop(); message++ {
					now += time.Millisecond
					events = append(events, choice.Arrival{ID: fmt.Sprint("m", message), Class: message % 3,
						Dest: message % dests, Left: 8 * time.Second})
					actions := chooser.Step(now, events)
					events = events[:0]
					for _, action := range actions {
						if send, ok := action.(choice.Send); ok {
							events = append(events, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.Served,
								Took: 30 * time.Millisecond, Done: true})
						}
					}
				}
			})
		}
	}
}
