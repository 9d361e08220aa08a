package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

func (c *Client) isSuspect(store string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.suspects[store]
	return ok && time.Now().Before(until)
}

func (c *Client) setReachable(store string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch _, known := c.suspects[store]; {
	case !ok:
		if len(c.suspects) > 1000 {
			clear(c.suspects)
		}
		c.suspects[store] = time.Now().Add(suspectDuration)
	case known:
		delete(c.suspects, store)
	}
}

// replicaResponse is what one store said.
type replicaResponse[R any] struct {
	store Store
	reply *R
	err   error
}

// broadcast makes a call to each of some stores at once, tries again what failed at once, and gives the answers as they
// come. The calls go on when the one who asked has left; they end within limit.
func broadcast[R any](c *Client, stores []Store, limit time.Duration, call func(Store) (m rpc.Method, body any), status func(*R) int) <-chan replicaResponse[R] {
	out := make(chan replicaResponse[R], len(stores))
	broadcastInto(c, out, stores, limit, call, status)
	return out
}

// broadcastInto is ask with a channel that has room for the answers.
func broadcastInto[R any](c *Client, out chan<- replicaResponse[R], stores []Store, limit time.Duration, call func(Store) (m rpc.Method, body any), status func(*R) int) {
	for _, s := range stores {
		if !c.beginCall(s.ID) {
			out <- replicaResponse[R]{store: s, err: errors.Mark(errors.New("too much is under way"), ErrUnavailable)}
			continue
		}
		go func() {
			defer c.endCall(s.ID)
			ctx, stop := context.WithTimeout(c.ctx, limit)
			defer stop()
			m, body := call(s)
			for pause := retryBackoff; ; pause *= 2 {
				r := new(R)
				err := c.transport.Call(ctx, s.Addr, m, body, r)
				if err == nil {
					c.setReachable(s.ID, true)
					out <- replicaResponse[R]{store: s, reply: r, err: statusError(status(r))}
					return
				}
				if ctx.Err() != nil || errors.Is(err, rpc.ErrRemote) {
					c.setReachable(s.ID, false)
					out <- replicaResponse[R]{store: s, err: err}
					return
				}
				c.sleep(ctx, pause) // refused or reset: it may have come back
			}
		}()
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// distinctStores lists the copies in all groups once.
func distinctStores(groups []ReplicaSet) []Store {
	if len(groups) == 1 {
		return groups[0]
	}
	var all []Store
	for _, g := range groups {
		for _, s := range g {
			if !slices.ContainsFunc(all, func(o Store) bool { return o.ID == s.ID }) {
				all = append(all, s)
			}
		}
	}
	return all
}

// byPreference orders stores by how soon they should answer: those in the own zone first, those that said nothing last.
func (c *Client) byPreference(stores []Store) []Store {
	rank := func(s Store) int {
		n := 0
		if s.Zone != c.zone {
			n = 1
		}
		if c.isSuspect(s.ID) {
			n += 2
		}
		return n
	}
	out := slices.Clone(stores)
	slices.SortStableFunc(out, func(a, b Store) int { return rank(a) - rank(b) })
	return out
}

// awaitNewerPlacement waits a little for a placement after a generation.
func (c *Client) awaitNewerPlacement(ctx context.Context, gen int64) *Placement {
	for waited := time.Duration(0); ; waited += newerPlacementPoll {
		if p := c.placement(); p != nil && p.Generation > gen {
			return p
		}
		if waited >= newerPlacementTimeout || !c.sleep(ctx, newerPlacementPoll) {
			return nil
		}
	}
}

func unavailable(err error, what string) error {
	if err == nil {
		err = errors.New("no answer")
	}
	return errors.Mark(errors.Wrapf(err, "%s: try again once the stores answer", what), ErrUnavailable)
}

// dominantError prefers what decides how to go on: an old placement before all.
func dominantError(a, b error) error {
	if a == nil || errors.Is(b, ErrOldPlacement) {
		return b
	}
	return a
}
