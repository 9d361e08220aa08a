package main

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/archive"
	"larchrouter/internal/datalogger"
	"larchrouter/internal/station"
	"larchrouter/internal/synop"
	"larchrouter/internal/teletype"
)

type storeCommand struct{}

const registerTime = 800 * time.Millisecond

func (storeCommand) Run() error {
	s, log, err := start()
	if err != nil {
		return err
	}
	if err := station.Need("data_dir", s.DataDir, "give a store a folder"); err != nil {
		return err
	}
	calls := &teletype.Clients{}
	feed := synop.NewFollower(s, calls, log)
	return untilTold(log, feed.Reseed, func(ctx context.Context) error { return runStore(ctx, s, log, feed, calls) })
}

func runStore(ctx context.Context, s *station.Settings, log *station.Ring, feed *synop.Follower, calls *teletype.Clients) (err error) {
	db, err := datalogger.Open(s.DataDir, "store.db", int64(s.Limits.DiskMB*0.9)<<20, archive.StoreTables...)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, db.Close()) }()
	store, err := archive.NewStore(archive.StoreConfig{DB: db, Placement: feed.Placement, Changed: feed.Changed, Calls: calls, Log: log})
	if err != nil {
		return err
	}
	self := archive.Store{ID: store.ID(), Name: s.NodeName, Addr: s.Peer(s.IP, station.StorePort), Zone: s.Zone}
	l, err := net.Listen("tcp4", self.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes: free the port or change port_range")
	}
	server := teletype.NewServer(store.Handlers())
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(l) })
	wg.Go(func() { feed.Run(ctx) })
	wg.Go(func() { store.Run(ctx) })
	wg.Go(func() { register(ctx, feed, calls, store, self) })
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
func register(ctx context.Context, feed *synop.Follower, calls *teletype.Clients, store *archive.NodeStore, self archive.Store) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var told synop.Registration
	var at time.Time
	for {
		now := synop.Registration{Store: self, Swept: store.Swept()}
		if p := feed.Placement(); p != nil {
			now.Gen = p.Gen
		}
		if now != told || time.Since(at) > registerEvery {
			one, done := context.WithTimeout(ctx, registerTime)
			err := calls.To(feed.Core()).Call(one, synop.RegisterCall, &now, nil)
			done()
			if at = time.Now(); err == nil {
				told = now
			} else {
				told = synop.Registration{}
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

const registerEvery = 400 * time.Millisecond
