package main

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

type storeCommand struct{}

const registerTime = 800 * time.Millisecond

func (storeCommand) Run() error {
	s, ring, err := start()
	if err != nil {
		return err
	}
	if err := process.RequireSetting("data_dir", s.DataDir, "give a store a folder"); err != nil {
		return err
	}
	log := slog.New(ring)
	calls := &rpc.Clients{}
	follower := feed.NewFollower(s, calls, log)
	return untilTold(ring, log, follower.UpdateSeeds, func(ctx context.Context) error { return runStore(ctx, s, log, follower, calls) })
}

func runStore(ctx context.Context, s *process.Settings, log *slog.Logger, follower *feed.Follower, calls *rpc.Clients) (err error) {
	db, err := sqlitelog.Open(s.DataDir, "store.db", int64(s.Limits.DiskMB*0.9)<<20, turnstore.StoreTables...)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, db.Close()) }()
	store, err := turnstore.NewServer(turnstore.ServerOptions{DB: db, Placement: follower.Placement, Changed: follower.Changed, Calls: calls, Log: log})
	if err != nil {
		return err
	}
	self := turnstore.Store{ID: store.ID(), Name: s.NodeName, Addr: s.PeerAddr(s.IP, process.StorePort), Zone: s.Zone}
	l, err := net.Listen("tcp4", self.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes: free the port or change port_range")
	}
	server := rpc.NewServer(store.Handlers())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(l) })
	wg.Go(func() { follower.Run(ctx) })
	wg.Go(func() { store.Run(ctx) })
	wg.Go(func() { register(ctx, follower, calls, store, self) })
	select {
	case <-ctx.Done():
	case <-db.Failed():
		err = errors.Wrap(db.Err(), "the disk does not take writes: look at the data folder")
	}
	stop()
	server.Close()
	calls.Close()
	wg.Wait()
	return err
}

// register tells the core of this store, again and again, and at once when a sweep has ended.
func register(ctx context.Context, follower *feed.Follower, calls *rpc.Clients, store *turnstore.Server, self turnstore.Store) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var told feed.Registration
	var at time.Time
	for {
		now := feed.Registration{Store: self, SweptGeneration: store.SweptGeneration(), Generation: store.AdoptedGeneration(), Full: store.Full()}
		every := registerUnplaced
		if p := follower.Placement(); p != nil {
			now.Generation = max(now.Generation, p.Generation)
			if slices.ContainsFunc(p.Stores(), func(o turnstore.Store) bool { return o.ID == self.ID }) {
				every = registerEvery
			}
		}
		if now != told || time.Since(at) > every {
			one, done := context.WithTimeout(ctx, registerTime)
			err := calls.To(follower.Core()).Call(one, feed.RegisterCall, &now, nil)
			done()
			if at = time.Now(); err == nil {
				told = now
			} else {
				told = feed.Registration{}
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Pauses between registrations. One proves nothing to the holder of the duty before another follows.
const (
	registerEvery    = 400 * time.Millisecond
	registerUnplaced = 90 * time.Millisecond // at each tick
)
