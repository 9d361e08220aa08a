package controlnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// Bounds of the sending of messages to one peer.
const (
	maxQueuedMessages = 64                     // per address
	notifyTimeout     = 800 * time.Millisecond // for sending one message
)

// sendToPeer queues a message for the goroutine that sends to one address, in order. If the queue is full, the message is
// dropped; the node resends the essential ones. It runs on the event loop.
func (s *Server) sendToPeer(e Envelope) {
	queue := s.senders[e.To]
	if queue == nil {
		queue = make(chan Message, maxQueuedMessages)
		s.senders[e.To] = queue
		client := s.clients.To(e.To)
		s.wg.Go(func() {
			for {
				select {
				case m := <-queue:
					ctx, cancel := context.WithTimeout(s.ctx, notifyTimeout)
					_ = client.Notify(ctx, feed.PeerCall, &m)
					cancel()
				case <-s.ctx.Done():
					return
				}
			}
		})
	}
	select {
	case queue <- e.Message:
	default:
	}
}

// handlers returns the handlers of the RPC calls from other nodes and from followers.
func (s *Server) handlers() map[rpc.Method]rpc.Handler {
	return map[rpc.Method]rpc.Handler{
		feed.PeerCall:         s.handlePeerMessage,
		feed.FollowCall:       s.handleFollow,
		feed.ChangesCall:      typedHandler(s.handleChanges),
		feed.ChunkCall:        typedHandler(s.handleChunk),
		feed.PutConfigCall:    typedHandler(s.handlePut),
		feed.ReadConfigCall:   typedHandler(s.handleRead),
		feed.RegisterCall:     typedHandler(s.handleRegister),
		feed.HealthCall:       typedHandler(s.handleHealth),
		feed.UsageCall:        typedHandler(s.handleUsage),
		feed.LeaseReleaseCall: typedHandler(s.handleRelease),
		feed.ClockCall:        typedHandler(s.handleClock),
		feed.TaskStatusCall:   typedHandler(s.handleTaskStatus),
		feed.StopStoreCall:    typedHandler(s.handleStopStore),
		feed.RetireStoreCall:  typedHandler(s.handleRetire),
		feed.StorePhaseCall:   typedHandler(s.handlePhase),
		feed.FoundingCall:     typedHandler(s.handleFounding),
		feed.FirstStartCall:   typedHandler(s.handleFirstStart),
		feed.StatusCall:       typedHandler(func(context.Context, *feed.Empty) (*Status, error) { return s.status(), nil }),
	}
}

// handlePeerMessage queues a message from another node for the event loop. There is no answer.
func (s *Server) handlePeerMessage(_ context.Context, body []byte) (any, error) {
	var m Message
	if err := rpc.Decode(body, &m); err != nil {
		return nil, err
	}
	if m.From.Addr != "" {
		s.clients.To(m.From.Addr).NoteReachable()
	}
	select {
	case s.peerMessages <- m:
	case <-s.ctx.Done():
	}
	return nil, nil
}

// typedHandler returns the handler for a call with a typed request and response.
func typedHandler[Request, Response any](f func(context.Context, *Request) (*Response, error)) rpc.Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		request := new(Request)
		if err := rpc.Decode(body, request); err != nil {
			return nil, errors.Wrap(err, "the two sides differ in version")
		}
		return f(ctx, request)
	}
}

// errNoHead reports that no node that can handle the request is known.
var errNoHead = errors.New("no node can take this now: the view changes; try again")

// errStopping reports that this node is shutting down.
var errStopping = errors.New("this node stops: ask another")

// forward passes a call to the node that can answer it. The caller marks the request as forwarded, so that it is
// forwarded at most once.
func forward[Request, Response any](
	ctx context.Context, s *Server, to string, method rpc.Method, request *Request,
) (*Response, error) {
	if to == "" || to == s.self.Addr {
		return nil, errNoHead
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response := new(Response)
	return response, s.clients.To(to).Call(ctx, method, request, response)
}
