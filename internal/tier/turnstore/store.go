package turnstore

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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

	storePieces = 24 << 20
	expireEvery = 2 * time.Second
	expireMost  = 200     // turns dropped with one transaction
	rewriteMost = 1000    // entries written again with one transaction
	readBytes   = 1 << 20 // bodies read at once, about
)

// ServerOptions is what a store is made of.
type ServerOptions struct {
	DB        *sqlitelog.DB          // opened with StoreTables; its identity is the store's
	Placement func() *Placement      // in force as far as this node knows; nil before it was heard of
	Changed   func() <-chan struct{} // closed with the next change of the placement; nil: it is looked at often
	Calls     *rpc.Clients           // to the other stores
	Now       func() time.Time       // the steady clock; nil: time.Now
	Log       *slog.Logger           // nil: nothing is logged
}

// Server is the server side: one node's copies. Its answers are what its disk has synced.
type Server struct {
	ServerOptions
	disk     disk
	peers    network
	id       string
	pieces   *pieces
	repair   chan string
	troubled atomic.Bool
	sweeping sync.Mutex  // one sweep at a time
	rounds   sweepRounds // under sweeping
	full     atomic.Bool // as room says, for those who do not hold the mutex

	mu       sync.Mutex
	index    *index
	unsynced *unsynced
	room     room
	adopted  int64 // the newest placement that it went by
	kept     int64 // adopted, on disk
	swept    int64
}

// NewServer reads what the file has.
func NewServer(c ServerOptions) (*Server, error) {
	return newStore(c, file{c.DB}, connections{c.Calls})
}

func newStore(c ServerOptions, d disk, peers network) (*Server, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{ServerOptions: c, disk: d, peers: peers, pieces: newPieces(storePieces), repair: make(chan string, 256), index: newIndex(),
		unsynced: newUnsynced()}
	s.id, _ = d.Identity()
	now := c.Now()
	s.index.turned = now
	if err := s.readLedgers(now); err != nil {
		return nil, errors.Wrap(err, "ledgers on disk")
	}
	if err := s.readTurns(now); err != nil {
		return nil, errors.Wrap(err, "turns on disk")
	}
	if err := s.readFacts(); err != nil {
		return nil, errors.Wrap(err, "facts on disk")
	}
	s.adopted = s.kept
	return s, nil
}

// ID is the identity under which the store is placed.
func (s *Server) ID() string { return s.id }

// SweptGeneration is the newest placement under which the store has all that it should hold.
func (s *Server) SweptGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.swept
}

// AdoptedGeneration is the newest gen that the store goes by: it refuses what comes under an older one.
func (s *Server) AdoptedGeneration() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.adopted, s.swept)
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
		tick := time.NewTicker(expireEvery)
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
			s.lookForRoom(ctx)
			for more := true; more; {
				var err error
				more, err = s.rewriteEntries(ctx)
				s.noteWrite(err)
			}
		}
	})
	wg.Go(func() { s.keepWhole(ctx) })
	wg.Wait()
}
