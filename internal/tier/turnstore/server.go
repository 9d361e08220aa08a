package turnstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
)

// StoreTables are the tables that a store's file is opened with.
var StoreTables = []string{tableEntries, tableTurns, tableBodies, tableFacts}

const (
	tableEntries = "entries"
	tableTurns   = "turns"
	tableBodies  = "bodies"
	tableFacts   = "facts"
	factAdopted  = "adopted"
	factSwept    = "swept"

	serverCacheBytes = 24 << 20
	expireInterval = 2 * time.Second
	maxExpiredPerCommit  = 200     // turns dropped with one transaction
	maxRewriteEntries = 1000    // entries written again with one transaction
	maxReadBytes   = 1 << 20 // bodies read at once, about
)

// ServerOptions is what a store is made of.
type ServerOptions struct {
	DB        *sqlitelog.DB          // opened with StoreTables; its identity is the store's
	Placement func() *Placement      // in force as far as this node knows; nil before it was heard of
	Changed   func() <-chan struct{} // closed with the next change of the placement; nil: it is looked at often
	Calls     *rpc.Clients           // to the other stores
	Now       func() time.Time       // the steady clock; nil: time.Now
	Log       *process.Ring
}

// Server is the server side: one node's copies. Its answers are what its disk has synced.
type Server struct {
	ServerOptions
	disk     disk
	peers    transport
	id       string
	cache   *incrementCache
	repairs   chan string
	faultLogged atomic.Bool
	sweepMu sync.Mutex  // one sweep at a time
	progress   sweepProgress // under sweeping
	full     atomic.Bool // as room says, for those who do not hold the mutex

	mu       sync.Mutex
	index    *index
	unsynced *unsyncedEntries
	capacity     capacity
	adoptedGeneration  int64 // the newest placement that it went by
	persistedGeneration     int64 // adopted, on disk
	sweptGeneration    int64
}

// NewServer reads what the file has.
func NewServer(c ServerOptions) (*Server, error) {
	return newServer(c, sqliteDisk{c.DB}, rpcTransport{c.Calls})
}

func newServer(c ServerOptions, d disk, peers transport) (*Server, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	s := &Server{ServerOptions: c, disk: d, peers: peers, cache: newIncrementCache(serverCacheBytes), repairs: make(chan string, 256), index: newIndex(),
		unsynced: newUnsyncedEntries()}
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

// ID is the identity under which the store is placed.
func (s *Server) ID() string { return s.id }

// SweptGeneration is the newest placement under which the store has all that it should hold.
func (s *Server) SweptGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sweptGeneration
}

// AdoptedGeneration is the newest gen that the store goes by: it refuses what comes under an older one.
func (s *Server) AdoptedGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.adoptedGeneration, s.sweptGeneration)
}

// Counts tells how many programs and turns the store has.
func (s *Server) Counts() (programs, turns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.index.programs {
		programs += len(m)
	}
	return programs, len(s.index.turns)
}

// Run expires, sweeps and repairs until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(expireInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			for range 50 {
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
	})
	wg.Go(func() { s.runAntiEntropy(ctx) })
	wg.Wait()
}
