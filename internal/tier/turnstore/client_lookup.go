package turnstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// previousTurnLookup collects what replicas respond about the previous turn of an opening.
type previousTurnLookup struct {
	absence   *quorum // replicas that authoritatively do not have the turn
	known     []Store // replicas that have the turn
	lacking   []Store // replicas that lack the turn or a part of its chain, and need a repair
	responded []string
	history   []byte        // as far as it was received
	partial   bool          // history is the part of it after the turn missing
	complete  bool          // history is all of it
	missing   string        // last turn of the chain that history does not include
	remaining time.Duration // for which the store of history retains the turn at least
}

// add takes the response of a store.
func (l *previousTurnLookup) add(s Store, r *openReply) {
	l.responded = append(l.responded, s.ID)
	switch {
	case r.Found:
		l.known = append(l.known, s)
		l.absence.record(s.ID, false)
		if r.HasHistory && !l.complete {
			l.history, l.missing, l.complete, l.partial = r.History, r.Missing, r.Missing == "", true
			l.remaining = time.Duration(r.RemainingMs) * time.Millisecond
		}
		if r.HasHistory && r.Missing != "" {
			l.lacking = append(l.lacking, s)
		}
	default:
		l.absence.record(s.ID, r.Authoritative)
		if r.Authoritative {
			l.lacking = append(l.lacking, s)
		}
	}
}

// findTurn asks all stores for a turn of any program. It returns the turn's program and the first store that has it.
func (c *Client) findTurn(ctx context.Context, p *Placement, id string) (program string, known []Store, err error) {
	stores := p.Stores()
	responses := broadcast(c, stores, c.callTimeout, func(s Store) (rpc.Method, any) {
		return MethodFindTurn, &findTurnCall{To: RequestHeader{s.ID, p.Generation}, Turn: id}
	}, func(r *findTurnReply) int { return r.Status })
	// A stored turn is on more than FaultTolerance stores of each list: if all others of a list deny it, it does not exist.
	lists := []ReplicaSet{p.Old}
	if len(p.New) > 0 {
		lists = append(lists, p.New)
	}
	absence := newQuorum(lists, func(list ReplicaSet) int { return max(1, len(list)-p.FaultTolerance) })
	var failure error
	for range stores {
		select {
		case response := <-responses:
			switch {
			case response.err != nil:
				failure = dominantError(failure, response.err)
				absence.record(response.store.ID, false)
			case response.reply.Found:
				return response.reply.Key, []Store{response.store}, nil
			default:
				absence.record(response.store.ID, response.reply.Authoritative)
			}
		case <-ctx.Done():
			return "", nil, ctx.Err()
		}
		if reached, _ := absence.state(); reached {
			return "", nil, errors.Mark(errors.Newf("no store has the turn %q", id), ErrNoTurn)
		}
	}
	if failure == nil {
		failure = errors.New("some stores have not completed their sweep")
	}
	return "", nil, unavailable(failure, "look for the previous turn")
}
