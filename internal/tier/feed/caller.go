package feed

import (
	"context"

	"larchrouter/internal/rpc"
)

// Caller makes calls to core nodes by address. A call ends at the latest when its context does.
type Caller interface {
	Call(ctx context.Context, to string, m rpc.Method, body, response any) error
}

// rpcCaller makes the calls over connections that are kept for each address.
type rpcCaller struct{ *rpc.Clients }

var _ Caller = rpcCaller{}

func (c rpcCaller) Call(ctx context.Context, to string, m rpc.Method, body, response any) error {
	return c.To(to).Call(ctx, m, body, response)
}
