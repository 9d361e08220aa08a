package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/founding"
	"larchrouter/internal/tier/turnstore"
)

const (
	firstStartInterval = 500 * time.Millisecond // between two messages of a store that has seen no founded core
	firstStartTimeout  = 400 * time.Millisecond // of a message
)

// openFirstStart returns what a store remembers of the first start.
func openFirstStart(ctx context.Context, s *process.Settings, db *sqlitelog.DB, store *turnstore.Server) (*founding.FirstStart, error) {
	isFirst := s.Bootstrap && store.AdoptedGeneration() == 0
	return founding.OpenFirstStart(ctx, db, turnstore.FactsTable, store.ID(), isFirst, s.SeedPeerAddrs())
}

// announceFirstStart tells the seeds what the store remembers of the first start, until it has its placement from a founded core.
func announceFirstStart(ctx context.Context, first *founding.FirstStart, follower *feed.Follower, calls *rpc.Clients, log *slog.Logger) {
	tick := time.NewTicker(firstStartInterval)
	defer tick.Stop()
	for {
		changed := follower.Changed()
		if follower.Placement() != nil {
			err := first.SeeCore(ctx)
			if err == nil {
				return
			}
			log.Debug("cannot record that the core is founded", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			continue
		case <-tick.C:
		}
		if w, ok := first.Witness(); ok && follower.Placement() == nil {
			announceTo(ctx, calls, w)
		}
	}
}

// announceTo sends a witness to all of its seeds.
func announceTo(ctx context.Context, calls *rpc.Clients, w founding.Witness) {
	ctx, cancel := context.WithTimeout(ctx, firstStartTimeout)
	defer cancel()
	var messages sync.WaitGroup
	for _, addr := range w.Seeds {
		messages.Go(func() { _ = calls.To(addr).Call(ctx, feed.FirstStartCall, &w, nil) })
	}
	messages.Wait()
}
