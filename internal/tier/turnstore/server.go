package turnstore

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
)

// ServerCacheBytes is the size in bytes of the cache of histories of a store whose options do not name one.
const ServerCacheBytes = 24 << 20

// StoreTables are the tables with which a store's database must be opened.
var StoreTables = []string{tableEntries, tableTurns, tableBodies, FactsTable}

// FactsTable is the table of single values. Others may keep theirs in it, under keys of their own.
const FactsTable = "facts"

const (
	tableEntries = "entries"
	tableTurns   = "turns"
	tableBodies  = "bodies"
	factAdopted  = "adopted"
	factSwept    = "swept"

	maxQueuedRepairs    = 256
	expireInterval      = 2 * time.Second
	maxExpiredPerCommit = 200     // turns and ledger entries deleted in one transaction, about
	maxExpireRounds     = 50      // transactions at a time, so that other periodic work goes on
	maxRewriteEntries   = 1000    // entries rewritten in one transaction
	maxReadBytes        = 1 << 20 // of bodies read under one lock of the file, about
)

// ServerOptions are the dependencies of a server.
type ServerOptions struct {
	DB        *sqlitelog.DB          // opened with StoreTables; its identity is the store's
	Placement func() *Placement      // the placement in force as far as this node knows; nil before it was received
	Changed   func() <-chan struct{} // closed with the next change of the placement; nil: the placement is polled
	Calls     *rpc.Clients           // to the other stores
	Now       func() time.Time       // monotonic clock; nil: time.Now
	Log       *slog.Logger           // nil: nothing is logged

	CacheBytes int64 // of the cache of histories; 0 for ServerCacheBytes
}

// Server is one store: a replica of many programs. It acknowledges only what its disk has synced. It is safe for
// concurrent use; mu is not held while a call waits for the disk or for a peer.
type Server struct {
	ServerOptions
	disk        disk
	peers       transport
	id          string
	cache       *incrementCache
	repairs     chan string // keys of programs to repair
	faultLogged atomic.Bool // the current fault of the disk is in the log
	sweepMu     sync.Mutex  // one sweep at a time; before mu
	progress    sweepProgress
	full        atomic.Bool // capacity.full, for readers without mu

	mu                  sync.Mutex
	index               *index
	unsynced            *unsyncedEntries
	capacity            capacity
	adoptedGeneration   int64 // newest generation that it acted under; calls under an older one are rejected
	persistedGeneration int64 // adoptedGeneration on disk, which may be behind; never below a generation that a sweep relied on
	sweptGeneration     int64 // newest generation whose sweep is complete, on disk
}

// NewServer loads the state on disk and returns a server. The caller must register Handlers and call Run.
func NewServer(c ServerOptions) (*Server, error) {
	return newServer(c, sqliteDisk{c.DB}, rpcTransport{c.Calls})
}

func newServer(c ServerOptions, d disk, peers transport) (*Server, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{ServerOptions: c, disk: d, peers: peers, cache: newIncrementCache(int(cmp.Or(c.CacheBytes, ServerCacheBytes))),
		repairs: make(chan string, maxQueuedRepairs), index: newIndex(), unsynced: newUnsyncedEntries()}
	s.id, _ = d.Identity()
	now := c.Now()
	s.index.expiredRotatedAt = now
	if err := s.loadLedgers(now); err != nil {
		return nil, errors.Wrap(err, "ledgers on disk")
	}
	if err := s.loadTurns(now); err != nil {
		return nil, errors.Wrap(err, "turns on disk")
	}
	if err := s.loadFacts(); err != nil {
		return nil, errors.Wrap(err, "facts on disk")
	}
	s.adoptedGeneration = s.persistedGeneration
	return s, nil
}

// ID returns the identity under which the store is placed.
func (s *Server) ID() string { return s.id }

// SweptGeneration returns the newest generation whose sweep is complete: the store has all that it must have under it.
func (s *Server) SweptGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sweptGeneration
}

// AdoptedGeneration returns the newest generation that the store acted under: it rejects calls under an older one.
func (s *Server) AdoptedGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.adoptedGeneration, s.sweptGeneration)
}

// Counts returns the number of programs and of turns in the store.
func (s *Server) Counts() (programs, turns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.index.programs {
		programs += len(m)
	}
	return programs, len(s.index.turns)
}

// Run does the store's periodic work until ctx ends: expiry, checks of capacity, rewrites of failed entries, sweeps and
// anti-entropy.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.runExpiry(ctx) })
	wg.Go(func() { s.runAntiEntropy(ctx) })
	wg.Wait()
}

func (s *Server) runExpiry(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for range maxExpireRounds {
			if !s.expire(ctx) {
				break
			}
		}
		s.checkCapacity(ctx)
		for more := true; more; {
			var err error
			more, err = s.rewriteFailedEntries(ctx)
			s.noteWriteError(err)
		}
	}
}
