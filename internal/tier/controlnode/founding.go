package controlnode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/founding"
)

// ErrFounder is returned by Server.Run if this node has become a founder of the core: it must be opened again, with that identity.
var ErrFounder = errors.New("this node founds the core after all: open it again")

const (
	foundingInterval = 250 * time.Millisecond // between two rounds of questions to the other seeds
	foundingTimeout  = 400 * time.Millisecond // of one round
	witnessLifetime  = 2 * time.Second        // of what a store has said
)

// foundingState is what a node without a view knows of the founding of the core.
type foundingState struct {
	mayFound bool // the node is to become a founder; owned by the event loop

	mu        sync.Mutex
	witnesses map[string]heardWitness // by ID
}

// heardWitness is a witness and when it was heard.
type heardWitness struct {
	founding.Witness
	at time.Time
}

// recentWitnesses returns the witnesses that were heard within witnessLifetime, and forgets the others.
func (f *foundingState) recentWitnesses() (witnesses []founding.Witness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.witnesses, func(_ string, w heardWitness) bool { return time.Since(w.at) > witnessLifetime })
	for _, w := range f.witnesses {
		witnesses = append(witnesses, w.Witness)
	}
	return witnesses
}

// handleFirstStart records that a store remembers the first start.
func (s *Server) handleFirstStart(_ context.Context, w *founding.Witness) (*feed.Empty, error) {
	s.founding.mu.Lock()
	defer s.founding.mu.Unlock()
	if s.founding.witnesses == nil {
		s.founding.witnesses = map[string]heardWitness{}
	}
	s.founding.witnesses[w.ID] = heardWitness{*w, time.Now()}
	return &feed.Empty{}, nil
}

// foundingQuery reads how far this node is from its founding.
type foundingQuery struct{ report founding.Report }

func (q *foundingQuery) handle(s *Server) {
	q.report = founding.Report{Phase: s.node.FoundingPhase(), Seeds: slices.Clone(s.node.settings.Seeds)}
}

// handleFounding serves the report of this node to a seed without a view.
func (s *Server) handleFounding(context.Context, *feed.Empty) (*founding.Report, error) {
	query := &foundingQuery{}
	if !s.runOnLoop(query) {
		return nil, errStopping
	}
	return &query.report, nil
}

// awaitFounding asks the other seeds, while this node is a seed without a view, whether the core was ever founded, and has this node
// become a founder if it was not. Any other node joins the core, once that is founded.
func (s *Server) awaitFounding() {
	query := &foundingQuery{}
	var logged founding.Reason
	for s.runOnLoop(query) && query.report.Phase == founding.Empty {
		decision, reason := founding.Decide(s.foundingSettings(), s.askSeeds(), s.founding.recentWitnesses())
		switch {
		case decision == founding.Join, reason == founding.NotASeed:
			return
		case decision == founding.Take:
			s.runOnLoop(mayFoundRequest{})
		case reason != "" && reason != logged:
			logged = reason
			s.log.Warn("this seed has no view, and may not found the core", "reason", reason)
		}
		s.sleep(foundingInterval)
	}
}

// foundingSettings returns the settings that the decision of a seed depends on.
func (s *Server) foundingSettings() founding.Settings {
	tolerance := s.settings.Tolerance
	return founding.Settings{
		Self:           s.self.Addr,
		Seeds:          s.settings.SeedPeerAddrs(),
		FaultTolerance: s.settings.FaultTolerance(),
		WholeZones:     tolerance.Zones > 0 || tolerance.Regions > 0,
	}
}

// askSeeds returns the reports of the other seeds that answer, by their addresses.
func (s *Server) askSeeds() map[string]founding.Report {
	ctx, cancel := context.WithTimeout(s.ctx, foundingTimeout)
	defer cancel()
	var mu sync.Mutex
	var questions sync.WaitGroup
	reports := map[string]founding.Report{}
	for _, addr := range s.settings.SeedPeerAddrs() {
		if addr == s.self.Addr {
			continue
		}
		questions.Go(func() {
			var report founding.Report
			if err := s.clients.To(addr).Call(ctx, feed.FoundingCall, &feed.Empty{}, &report); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[addr] = report
		})
	}
	questions.Wait()
	return reports
}

// mayFoundRequest makes a node without a view a founder of the core.
type mayFoundRequest struct{}

func (mayFoundRequest) handle(s *Server) {
	s.founding.mayFound = s.node.FoundingPhase() == founding.Empty
}

// becomeFounder stores, if the node is to become a founder, the state of a seed that bootstraps the cluster in place of the identity
// with which this node would join. It returns ErrFounder once that is on disk.
func (s *Server) becomeFounder() error {
	if !s.founding.mayFound {
		return nil
	}
	s.founding.mayFound = false
	id, state := s.founderState()
	// The seed may have had this identity before it lost its disk: messages of that time must look old.
	incarnation := indexKey(max(s.incarnation, time.Now().UnixMilli()))
	rows := append((&savedState{}).changedRows(state),
		sqlitelog.Write{Table: "vote", Key: selfKey, Value: []byte(id)},
		sqlitelog.Write{Table: "vote", Key: incarnationKey, Value: incarnation},
		sqlitelog.Write{Table: "vote", Key: verifiedKey, Value: incarnation})
	switch err := s.syncRows(s.ctx, rows); {
	case s.ctx.Err() != nil, errors.Is(err, sqlitelog.ErrFull):
		return nil // the next round of questions tries again
	case err != nil:
		return errors.Wrap(err, "store the founding of the core")
	}
	s.log.Warn("the core was never founded: this seed founds it", "id", id)
	return ErrFounder
}
