package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

// isSuspect reports whether a store failed to respond within suspectDuration.
func (c *Client) isSuspect(store string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.suspects[store]
	return ok && time.Now().Before(until)
}

// setReachable records whether a store responded to a call.
func (c *Client) setReachable(store string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch _, known := c.suspects[store]; {
	case !ok:
		if len(c.suspects) > maxSuspects {
			clear(c.suspects)
		}
		c.suspects[store] = time.Now().Add(suspectDuration)
	case known:
		delete(c.suspects, store)
	}
}

// replicaResponse is the outcome of a call to one store: its reply, or the error of the call or of the reply's status.
type replicaResponse[R any] struct {
	store Store
	reply *R
	err   error
}

// broadcast makes a call to each of some stores concurrently and returns a channel that delivers one response for each
// store, in the order of arrival. The calls are independent of the caller's context; each ends within limit.
func broadcast[R any](c *Client, stores []Store, limit time.Duration, call func(Store) (m rpc.Method, body any),
	status func(*R) int) <-chan replicaResponse[R] {
	out := make(chan replicaResponse[R], len(stores))
	broadcastInto(c, out, stores, limit, call, status)
	return out
}

// broadcastInto is broadcast with a channel of the caller, whose buffer must have room for one response of each store.
func broadcastInto[R any](c *Client, out chan<- replicaResponse[R], stores []Store, limit time.Duration,
	call func(Store) (m rpc.Method, body any), status func(*R) int) {
	for _, s := range stores {
		if !c.beginCall(s.ID) {
			out <- replicaResponse[R]{store: s, err: errors.Mark(errors.New("too many calls are in flight"), ErrUnavailable)}
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
				c.sleep(ctx, pause) // the connection was refused or reset: the store may be restarting
			}
		}()
	}
}

// sleep waits for d and reports whether it did so before ctx ended.
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

// distinctStores returns the stores of all replica sets without duplicates.
func distinctStores(groups []ReplicaSet) []Store {
	if len(groups) == 1 {
		return groups[0]
	}
	var all []Store
	for _, g := range groups {
		for _, s := range g {
			if !ContainsStore(all, s.ID) {
				all = append(all, s)
			}
		}
	}
	return all
}

// byPreference returns the stores in the order in which they should be read: the client's own zone first, suspects last.
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

// awaitNewerPlacement waits up to newerPlacementTimeout for a placement above a generation; it returns nil if none came.
func (c *Client) awaitNewerPlacement(ctx context.Context, generation int64) *Placement {
	for waited := time.Duration(0); ; waited += newerPlacementPoll {
		if p := c.placement(); p != nil && p.Generation > generation {
			return p
		}
		if waited >= newerPlacementTimeout || !c.sleep(ctx, newerPlacementPoll) {
			return nil
		}
	}
}

// unavailable marks an error as ErrUnavailable; what names the operation that failed.
func unavailable(err error, what string) error {
	if err == nil {
		err = errors.New("no answer")
	}
	return errors.Mark(errors.Wrapf(err, "%s: try again once the stores answer", what), ErrUnavailable)
}

// dominantError returns the error that decides how an operation goes on: ErrOldPlacement before any other, else the first.
func dominantError(first, next error) error {
	if first == nil || errors.Is(next, ErrOldPlacement) {
		return next
	}
	return first
}
