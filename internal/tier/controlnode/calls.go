package controlnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// send passes a message to the goroutine that carries those to one address, in order. One that is slow loses messages,
// which are sent again.
func (c *Core) send(e Envelope) {
	ch := c.senders[e.To]
	if ch == nil {
		ch = make(chan Message, 64)
		c.senders[e.To] = ch
		to := c.calls.To(e.To)
		c.wg.Go(func() {
			for {
				select {
				case m := <-ch:
					one, done := context.WithTimeout(c.ctx, 800*time.Millisecond)
					_ = to.Notify(one, feed.PeerCall, &m)
					done()
				case <-c.ctx.Done():
					return
				}
			}
		})
	}
	select {
	case ch <- e.Message:
	default:
	}
}

func (c *Core) handlers() map[rpc.Method]rpc.Handler {
	return map[rpc.Method]rpc.Handler{
		feed.PeerCall: func(_ context.Context, body []byte) (any, error) {
			var m Message
			if err := rpc.Decode(body, &m); err != nil {
				return nil, err
			}
			select {
			case c.peers <- m:
			case <-c.ctx.Done():
			}
			return nil, nil
		},
		feed.FollowCall:   c.follow,
		feed.ChangesCall:  answer(c.changes),
		feed.ChunkCall:    answer(c.piece),
		feed.PutCall:      answer(c.putHere),
		feed.ReadCall:     answer(c.readHere),
		feed.RegisterCall: answer(c.register),
		feed.RetireCall:   answer(c.retireHere),
		feed.PhaseCall:    answer(c.phaseHere),
		feed.StatusCall:   answer(func(context.Context, *feed.Empty) (*Status, error) { return c.status(), nil }),
	}
}

// answer makes a handler of a function of a request.
func answer[Q, A any](f func(context.Context, *Q) (*A, error)) rpc.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		q := new(Q)
		if err := rpc.Decode(body, q); err != nil {
			return nil, errors.Wrap(err, "the two sides differ in version")
		}
		return f(ctx, q)
	}
}

// forward passes a call on to the node that can answer it. One hop: a node that cannot either says so.
func forward[Q, A any](ctx context.Context, c *Core, to string, m rpc.Method, q *Q) (*A, error) {
	if to == "" || to == c.self.Addr {
		return nil, errNoHead
	}
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	a := new(A)
	return a, c.calls.To(to).Call(ctx, m, q, a)
}

var errNoHead = errors.New("no node can take this now: the view changes; try again")
