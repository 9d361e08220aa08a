package turnstore

import (
	"context"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
)

// disk is the durable storage of a store. Its methods are those of sqlitelog.DB, where their contracts are documented.
type disk interface {
	Identity() (id string, fresh bool)
	Get(table string, key []byte) ([]byte, error)
	GetMany(table string, keys [][]byte, most int) ([][]byte, error)
	Range(table string, from, to []byte, f func(key, value []byte) error) error
	Submit(writes []sqlitelog.Write) pendingWrite
	Commit(ctx context.Context, writes []sqlitelog.Write) error
	Capacity() (left, most int64, err error)
}

// pendingWrite is a write that was submitted and may not be synced yet.
type pendingWrite interface {
	// Wait returns once the write is synced or has failed.
	Wait(ctx context.Context) error
}

type sqliteDisk struct{ *sqlitelog.DB }

func (f sqliteDisk) Submit(writes []sqlitelog.Write) pendingWrite { return f.DB.Submit(writes) }

// transport carries calls and notices to stores.
type transport interface {
	Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error
	Notify(ctx context.Context, addr string, m rpc.Method, body any) error
}

type rpcTransport struct{ *rpc.Clients }

func (c rpcTransport) Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error {
	return c.To(addr).Call(ctx, m, body, answer)
}

func (c rpcTransport) Notify(ctx context.Context, addr string, m rpc.Method, body any) error {
	return c.To(addr).Notify(ctx, m, body)
}
