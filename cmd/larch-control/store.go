package main

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/lifecycle"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/founding"
	"larchrouter/internal/tier/turnstore"
)

// storeCommand runs a store.
type storeCommand struct{}

// The times of registrations. The owner of the placement role does not rely on a store before its second registration.
const (
	registerTick             = 100 * time.Millisecond // between two checks whether a registration is due
	registerInterval         = 400 * time.Millisecond
	registerIntervalUnplaced = 90 * time.Millisecond // less than a tick: at each of them
	registerTimeout          = 800 * time.Millisecond
)

// peerConnsPart divides max_fds: that many connections of other processes are taken, at most.
const peerConnsPart = 2

// diskShare is the part of disk_mb that the data file takes, at most.
const diskShare = 0.9

func (storeCommand) Run() error {
	os.Exit(lifecycle.Run(lifecycle.Role{Name: "larch-control store", Require: requireStoreSettings, Run: runStore}))
	return nil
}

func requireStoreSettings(s *process.Settings) error {
	return process.RequireSetting("data_dir", s.DataDir, "give a store a folder")
}

// openedStore is a store whose data folder is open.
type openedStore struct {
	*turnstore.Server
	db         *sqlitelog.DB
	firstStart *founding.FirstStart
}

// openStore opens the data folder of a store, waiting while its predecessor has it open or its disk is full.
func openStore(ctx context.Context, node lifecycle.Node, options turnstore.ServerOptions) (store openedStore, err error) {
	err = lifecycle.Await(ctx, node.Log, func() error {
		limit := int64(node.Settings.Limits.DiskMB*diskShare) << 20
		if store.db, err = sqlitelog.Open(node.Settings.DataDir, "store.db", limit, turnstore.StoreTables...); err != nil {
			return err
		}
		options.DB = store.db
		if store.Server, err = turnstore.NewServer(options); err == nil {
			store.firstStart, err = openFirstStart(ctx, node.Settings, store.db, store.Server)
		}
		if err != nil {
			return errors.CombineErrors(err, store.db.Close())
		}
		return nil
	})
	return store, err
}

// runStore runs a store until the context ends or its disk fails.
func runStore(ctx context.Context, node lifecycle.Node) (err error) {
	s, log := node.Settings, node.Log
	calls := &rpc.Clients{}
	follower := feed.NewFollower(s, calls, log)
	store, err := openStore(ctx, node, turnstore.ServerOptions{Placement: follower.Placement, Changed: follower.Changed,
		Calls: calls, Log: log, CacheBytes: s.CacheMemory(turnstore.ServerCacheBytes)})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, store.db.Close()) }()
	self := turnstore.Store{ID: store.ID(), Name: s.NodeName, Addr: s.PeerAddr(s.IP, process.StorePort), Zone: s.Zone}
	listeners, err := lifecycle.Listen(ctx, log, self.Addr)
	if err != nil {
		return err
	}
	go process.WatchSettings(ctx, log, s, follower.UpdateSeeds)
	server := rpc.NewServer(store.Handlers())
	server.Memory, server.BodyCost = s.RequestMemory(process.SmallRequest), turnstore.CopiesOfCall
	server.MaxConns = s.Limits.MaxFDs / peerConnsPart
	running, stop := context.WithCancel(context.WithoutCancel(ctx)) // a store that was told to stop goes on serving for a while
	defer stop()
	registering, stopRegistering := context.WithCancel(running)
	defer stopRegistering()
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(listeners[0]) })
	wg.Go(func() { follower.Run(running) })
	wg.Go(func() { store.Run(running) })
	wg.Go(func() { announceFirstStart(running, store.firstStart, follower, calls, log) })
	wg.Go(func() { register(registering, follower, calls, store.Server, self) })
	leaver := &leaver{core: follower, calls: calls, id: self.ID, log: log, unplaced: stopRegistering}
	permitted := leaver.awaitPermission(running, ctx.Done(), stopTimeout(s.TimingBound("grace_period_s", defaultGracePeriod)))
	select {
	case <-permitted:
	case <-store.db.Failed():
		err = errors.Wrap(store.db.Err(), "the disk does not take writes: look at the data folder")
	}
	stop()
	<-permitted
	server.Close()
	calls.Close()
	wg.Wait()
	return err
}

// register registers the store at the core periodically, and at the next tick after its registration has changed, such as
// at the end of a sweep, until the context ends.
func register(ctx context.Context, follower *feed.Follower, calls *rpc.Clients, store *turnstore.Server, self turnstore.Store) {
	tick := time.NewTicker(registerTick)
	defer tick.Stop()
	var acknowledged feed.Registration
	var answeredAt time.Time
	for {
		current := feed.Registration{Store: self, SweptGeneration: store.SweptGeneration(),
			Generation: store.AdoptedGeneration(), Full: store.Full()}
		interval := registerIntervalUnplaced
		if p := follower.Placement(); p != nil {
			current.Generation = max(current.Generation, p.Generation)
			if turnstore.ContainsStore(p.Stores(), self.ID) {
				interval = registerInterval
			}
		}
		if current != acknowledged || time.Since(answeredAt) > interval {
			callCtx, stop := context.WithTimeout(ctx, registerTimeout)
			err := calls.To(follower.Core()).Call(callCtx, feed.RegisterCall, &current, nil)
			stop()
			if answeredAt = time.Now(); err == nil {
				acknowledged = current
			} else {
				acknowledged = feed.Registration{}
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
