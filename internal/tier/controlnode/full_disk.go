package controlnode

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/feed"
)

// fullDiskRetryInterval is the time between attempts to write to a full disk.
const fullDiskRetryInterval = 200 * time.Millisecond

// errDiskFull reports that this node's disk is full.
var errDiskFull = errors.New("this core node's disk is full: ask another one, and give this one room")

// retrySyncUntilSpace syncs the changes of a batch for which the disk was too full: it retries until there is space.
// Nothing from the batch leaves the node before the sync, so to the other nodes this one looks frozen: they continue
// without it, and it catches up once it can write again. Meanwhile requests are rejected and messages from other nodes
// are dropped.
func (s *Server) retrySyncUntilSpace(rows []sqlitelog.Write, full error) error {
	s.log.Error("the disk is full: the node is suspended until space is available", "err", full)
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
				s.log.Info("disk space is available again; the node resumes")
			}
			return err
		}
	}
}

// handleWhileDiskFull rejects a request. Only new seeds are accepted, as nothing on the disk depends on them.
func (s *Server) handleWhileDiskFull(q queuedRequest) {
	if seeds, ok := q.request.(*setSeedsRequest); ok {
		seeds.handle(s)
		q.synced <- true
		return
	}
	q.reject()
}

// rejectIfDiskFull answers a call to the operator API with 503 if the disk is full, and reports whether it did. It sets
// no Retry-After, as the caller should ask another node.
func (s *Server) rejectIfDiskFull(w http.ResponseWriter) bool {
	if !s.diskFull.Load() {
		return false
	}
	writeResponse(w, &feed.OperatorResponse{Status: http.StatusServiceUnavailable, Text: errDiskFull.Error()})
	return true
}
