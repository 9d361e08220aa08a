package controlnode

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/process"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
)

// fullDiskRetryInterval is the time between two attempts to write to a full disk.
const fullDiskRetryInterval = 200 * time.Millisecond

// errDiskFull reports that this node's disk is full.
var errDiskFull = errors.New("this core node's disk is full: ask another one, and give this one room")

// OpenAwaitingSpace is Open for a disk that may be full: it waits until there is room for what a start writes, or the context ends.
func OpenAwaitingSpace(ctx context.Context, s *process.Settings, log *slog.Logger) (*Server, error) {
	return openAwaitingSpace(ctx, log, func() (*Server, error) { return Open(s, log) })
}

func openAwaitingSpace(ctx context.Context, log *slog.Logger, open func() (*Server, error)) (*Server, error) {
	for attempt := 0; ; attempt++ {
		server, err := open()
		if !errors.Is(err, sqlitelog.ErrFull) {
			return server, err
		}
		if attempt == 0 {
			log.Error("the disk is full: the node starts once there is room", "err", err)
		}
		if !ctxtime.Sleep(ctx, fullDiskRetryInterval) {
			return nil, err
		}
	}
}

// retrySyncUntilSpace syncs what a batch has changed after the disk was too full for it: it tries until there is room. Nothing of the batch
// has left the node, and nothing does before the sync, so that to others the node is one that stands still: they go on without it, and it
// is brought up to date once it can write again. Requests are rejected meanwhile, and messages of other nodes are dropped.
func (s *Server) retrySyncUntilSpace(rows []sqlitelog.Write, full error) error {
	s.log.Error("the disk is full: this node takes no part until there is room", "err", full)
	s.diskFull.Store(true)
	defer s.diskFull.Store(false)
	s.isHead.Store(false) // the platform is not polled meanwhile
	s.reportSynced(false)
	retry := time.NewTicker(fullDiskRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-s.peerMessages:
		case q := <-s.requests:
			s.handleWhileDiskFull(q)
		case <-retry.C:
			err := s.syncRows(s.ctx, rows)
			if errors.Is(err, sqlitelog.ErrFull) {
				continue
			}
			if err == nil {
				s.log.Info("there is room on the disk again")
			}
			return err
		}
	}
}

// handleWhileDiskFull rejects a request, but for new settings, which nothing on the disk depends on.
func (s *Server) handleWhileDiskFull(q queuedRequest) {
	if seeds, ok := q.request.(*setSeedsRequest); ok {
		seeds.handle(s)
		q.synced <- true
		return
	}
	q.reject()
}

// rejectIfDiskFull answers a call of the operator API where the disk is full, and reports whether it did. There is no Retry-After: the
// caller is to ask another node.
func (s *Server) rejectIfDiskFull(w http.ResponseWriter) bool {
	if !s.diskFull.Load() {
		return false
	}
	writeResponse(w, &feed.Reply{Status: http.StatusServiceUnavailable, Text: errDiskFull.Error()})
	return true
}
