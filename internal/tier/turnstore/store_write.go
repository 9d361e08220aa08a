package turnstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

func entryWrite(program string, e budget.Entry) sqlitelog.Write {
	return sqlitelog.Write{Table: tableEntries, Key: rowKey(program, e.Turn), Value: rpc.Encode(&entryRow{Tokens: e.Tokens, Settled: e.Settled})}
}

// wait returns after the sync, also where the caller has left meanwhile: the write is made all the same, and the index has to
// know of it.
func (s *Server) wait(ctx context.Context, p pending) int {
	return s.writeStatus(ctx, p.Wait(context.WithoutCancel(ctx)))
}

// writeStatus is what a caller is told of how a write ended.
func (s *Server) writeStatus(ctx context.Context, err error) int {
	switch {
	case err == nil:
		s.troubled.Store(false)
		return statusOK
	case errors.Is(err, sqlitelog.ErrFull):
		s.noteWrite(err)
		return statusFull
	case errors.Is(err, sqlitelog.ErrBusy):
		s.trouble("write", err)
		return statusBusy
	default:
		if ctx.Err() == nil {
			s.trouble("write", err)
		}
		return statusFailed
	}
}

// trouble tells of a disk that failed, once.
func (s *Server) trouble(what string, err error) {
	if !s.troubled.Swap(true) {
		s.Log.Error("the disk failed", "operation", what, "err", err)
	}
}

func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

func turnWrites(t *Record) []sqlitelog.Write {
	key := rowKey(t.Key, t.ID)
	return []sqlitelog.Write{
		{Table: tableTurns, Key: key, Value: rpc.Encode(&indexRow{Previous: t.Previous, Root: t.Root, Retain: t.RetainSeconds})},
		{Table: tableBodies, Key: key, Value: nonNil(t.Increment)},
	}
}
