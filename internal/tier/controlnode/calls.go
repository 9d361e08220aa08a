package controlnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// sendToPeer passes a message to the goroutine that carries those to one address, in order. One that is slow loses messages,
// which are sent again.
func (c *Server) sendToPeer(e Envelope) {
	ch := c.senders[e.To]
	if ch == nil {
		ch = make(chan Message, 64)
		c.senders[e.To] = ch
		to := c.clients.To(e.To)
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

func (c *Server) handlers() map[rpc.Method]rpc.Handler {
	return map[rpc.Method]rpc.Handler{
		feed.PeerCall: func(_ context.Context, body []byte) (any, error) {
			var m Message
			if err := rpc.Decode(body, &m); err != nil {
				return nil, err
			}
			select {
			case c.peerMessages <- m:
			case <-c.ctx.Done():
			}
			return nil, nil
		},
		feed.FollowCall:   c.handleFollow,
		feed.ChangesCall:  typedHandler(c.handleChanges),
		feed.ChunkCall:    typedHandler(c.handleChunk),
		feed.PutCall:      typedHandler(c.handlePut),
		feed.ReadCall:     typedHandler(c.handleRead),
		feed.RegisterCall: typedHandler(c.handleRegister),
		feed.RetireCall:   typedHandler(c.handleRetire),
		feed.PhaseCall:    typedHandler(c.handlePhase),
		feed.StatusCall:   typedHandler(func(context.Context, *feed.Empty) (*Status, error) { return c.status(), nil }),
	}
}

// typedHandler makes a handler of a function of a request.
func typedHandler[Q, A any](f func(context.Context, *Q) (*A, error)) rpc.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		q := new(Q)
		if err := rpc.Decode(body, q); err != nil {
			return nil, errors.Wrap(err, "the two sides differ in version")
		}
		return f(ctx, q)
	}
}

// forward passes a call on to the node that can answer it. One hop: a node that cannot either says so.
func forward[Q, A any](ctx context.Context, c *Server, to string, m rpc.Method, q *Q) (*A, error) {
	if to == "" || to == c.self.Addr {
		return nil, errNoHead
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a := new(A)
	return a, c.clients.To(to).Call(ctx, m, q, a)
}

var errNoHead = errors.New("no node can take this now: the view changes; try again")
