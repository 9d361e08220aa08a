package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
)

func (c *Client) suspected(store string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.suspect[store]
	return ok && time.Now().Before(until)
}

func (c *Client) heard(store string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch _, known := c.suspect[store]; {
	case !ok:
		if len(c.suspect) > 1000 {
			clear(c.suspect)
		}
		c.suspect[store] = time.Now().Add(suspectFor)
	case known:
		delete(c.suspect, store)
	}
}

// answer is what one store said.
type answer[R any] struct {
	store Store
	reply *R
	err   error
}

// ask makes a call to each of some stores at once, tries again what failed at once, and gives the answers as they
// come. The calls go on when the one who asked has left; they end within limit.
func ask[R any](c *Client, stores []Store, limit time.Duration, call func(Store) (m rpc.Method, body any), status func(*R) int) <-chan answer[R] {
	out := make(chan answer[R], len(stores))
	askInto(c, out, stores, limit, call, status)
	return out
}

// askInto is ask with a channel that has room for the answers.
func askInto[R any](c *Client, out chan<- answer[R], stores []Store, limit time.Duration, call func(Store) (m rpc.Method, body any), status func(*R) int) {
	for _, s := range stores {
		if !c.call(s.ID) {
			out <- answer[R]{store: s, err: errors.Mark(errors.New("too much is under way"), ErrUnavailable)}
			continue
		}
		go func() {
			defer c.called(s.ID)
			ctx, stop := context.WithTimeout(c.ctx, limit)
			defer stop()
			m, body := call(s)
			for pause := tryPause; ; pause *= 2 {
				r := new(R)
				err := c.calls.Call(ctx, s.Addr, m, body, r)
				if err == nil {
					c.heard(s.ID, true)
					out <- answer[R]{store: s, reply: r, err: statusError(status(r))}
					return
				}
				if ctx.Err() != nil || errors.Is(err, rpc.ErrRemote) {
					c.heard(s.ID, false)
					out <- answer[R]{store: s, err: err}
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

// storesOf lists the copies in all groups once.
func storesOf(groups []ReplicaSet) []Store {
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

// prefer orders stores by how soon they should answer: those in the own zone first, those that said nothing last.
func (c *Client) prefer(stores []Store) []Store {
	rank := func(s Store) int {
		n := 0
		if s.Zone != c.zone {
			n = 1
		}
		if c.suspected(s.ID) {
			n += 2
		}
		return n
	}
	out := slices.Clone(stores)
	slices.SortStableFunc(out, func(a, b Store) int { return rank(a) - rank(b) })
	return out
}

// newer waits a little for a placement after a generation.
func (c *Client) newer(ctx context.Context, gen int64) *Placement {
	for waited := time.Duration(0); ; waited += newerLook {
		if p := c.placement(); p != nil && p.Generation > gen {
			return p
		}
		if waited >= newerWait || !c.sleep(ctx, newerLook) {
			return nil
		}
	}
}

func unsure(err error, what string) error {
	if err == nil {
		err = errors.New("no answer")
	}
	return errors.Mark(errors.Wrapf(err, "%s: try again once the stores answer", what), ErrUnavailable)
}

// worse prefers what decides how to go on: an old placement before all.
func worse(a, b error) error {
	if a == nil || errors.Is(b, ErrOldPlacement) {
		return b
	}
	return a
}
