package turnstore

import (
	"context"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
)

// disk is where a store keeps its rows: a file of sqlitelog's.
type disk interface {
	Identity() (id string, fresh bool)
	Get(table string, key []byte) ([]byte, error)
	GetMany(table string, keys [][]byte, most int) ([][]byte, error)
	Range(table string, from, to []byte, f func(key, value []byte) error) error
	Submit(writes []sqlitelog.Write) pending
	Commit(ctx context.Context, writes []sqlitelog.Write) error
	Room() (left, most int64, err error) // 0, 0: without a limit
}

// pending is a write that was taken and may not be synced yet.
type pending interface {
	Wait(ctx context.Context) error
}

type file struct{ *sqlitelog.DB }

func (f file) Submit(writes []sqlitelog.Write) pending { return f.DB.Submit(writes) }

// network carries calls to stores.
type network interface {
	Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error
	Notify(ctx context.Context, addr string, m rpc.Method, body any) error
}

type connections struct{ *rpc.Clients }

func (c connections) Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error {
	return c.To(addr).Call(ctx, m, body, answer)
}

func (c connections) Notify(ctx context.Context, addr string, m rpc.Method, body any) error {
	return c.To(addr).Notify(ctx, m, body)
}
