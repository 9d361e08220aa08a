package feed

import (
	"context"

	"larchrouter/internal/rpc"
)

// Caller makes remote calls to core nodes by address. A call returns no later than its context ends.
type Caller interface {
	Call(ctx context.Context, to string, m rpc.Method, body, response any) error
}

// rpcCaller is a Caller over rpc.Clients, which keeps one client for each address.
type rpcCaller struct{ *rpc.Clients }

var _ Caller = rpcCaller{}

func (c rpcCaller) Call(ctx context.Context, to string, m rpc.Method, body, response any) error {
	return c.To(to).Call(ctx, m, body, response)
}
