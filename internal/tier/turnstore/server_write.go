package turnstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// awaitSync waits for a write and returns the status of its outcome. It does not end with ctx: the write is made in any
// case, and the index must reflect it.
func (s *Server) awaitSync(ctx context.Context, p pendingWrite) int {
	return s.writeStatus(ctx, p.Wait(context.WithoutCancel(ctx)))
}

// writeStatus returns the status that a caller receives for the outcome of a write, and logs a fault of the disk.
func (s *Server) writeStatus(ctx context.Context, err error) int {
	switch {
	case err == nil:
		s.faultLogged.Store(false)
		return statusOK
	case errors.Is(err, sqlitelog.ErrFull):
		s.noteWriteError(err)
		return statusFull
	case errors.Is(err, sqlitelog.ErrBusy):
		s.logFault("write", err)
		return statusBusy
	default:
		if ctx.Err() == nil {
			s.logFault("write", err)
		}
		return statusFailed
	}
}

// logFault logs a fault of the disk, once until a write succeeds.
func (s *Server) logFault(what string, err error) {
	if !s.faultLogged.Swap(true) {
		s.Log.Error("the disk failed", "operation", what, "err", err)
	}
}
