package controlnode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// fillDisk makes a node's writes fail with a full disk until freeSpace is called.
func fillDisk(t *testing.T, core *Server) (freeSpace func()) {
	t.Helper()
	var full, filled atomic.Bool
	full.Store(true)
	synced := core.onLoop(func() {
		core.syncRows = func(ctx context.Context, rows []sqlitelog.Write) error {
			if full.Load() {
				return errors.Mark(errors.New("no space left"), sqlitelog.ErrFull)
			}
			return core.db.Commit(ctx, rows)
		}
		filled.Store(true)
	})
	// Where the batch of this request has rows to sync, they do not fit on the disk any more: the request is then reported as not
	// synced, though it has run.
	if !synced && !(filled.Load() && core.ctx.Err() == nil) {
		t.Fatal("the node has stopped")
	}
	return func() { full.Store(false) }
}

// A disk may be filled in a batch that has rows to sync: the node is suspended at once and resumes once there is space.
func TestDiskIsFilledInBatchWithWrites(t *testing.T) {
	core := startSingleNode(t)
	completed := make(chan Completion, 1)
	begun, proceed := make(chan struct{}), make(chan struct{})
	core.requests <- onLoopRequest(func() { close(begun); <-proceed })
	<-begun
	core.requests <- onLoopRequest(func() {
		core.mergeReady(core.node.Write(core.now(), core.newRequestID(t.Context(), completed), "key", []byte("value")))
	})
	go func() { // once the write and the request of fillDisk are queued
		for len(core.requests) < 2 {
			core.sleep(tickInterval / 50)
		}
		close(proceed)
	}()
	freeSpace := fillDisk(t, core)
	for !core.diskFull.Load() {
		core.sleep(tickInterval)
	}
	freeSpace()
	if completion := <-completed; completion.Outcome != Committed {
		t.Errorf("the write completed as %+v", completion)
	}
}

// A node whose disk is full keeps running, reports the full disk, completes nothing, and resumes once there is space.
func TestNodeWithFullDiskResumesOnceSpaceIsFree(t *testing.T) {
	core := startSingleNode(t)
	freeSpace := fillDisk(t, core)
	completed := make(chan Completion, 1)
	core.requests <- onLoopRequest(func() {
		core.mergeReady(core.node.Write(core.now(), core.newRequestID(t.Context(), completed), "key", []byte("value")))
	})
	for !core.diskFull.Load() {
		core.sleep(tickInterval)
	}
	if core.onLoop(func() {}) {
		t.Error("a read is answered while the disk is full")
	}
	if core.isHead.Load() {
		t.Error("the node keeps the roles of the head while the disk is full")
	}
	answer := httptest.NewRecorder()
	core.operatorAPI().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, configPath, nil))
	if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), "disk is full") {
		t.Errorf("status %d: %s", answer.Code, answer.Body)
	}
	settings := *core.settings
	settings.Seeds = []string{core.settings.Seeds[0], "127.0.0.99:4"}
	core.UpdateSeeds(&settings)
	if len(completed) > 0 {
		t.Error("a write that is not on disk was completed")
	}
	freeSpace()
	if completion := <-completed; completion.Outcome != Committed {
		t.Errorf("the write completed as %+v", completion)
	}
	seeds := 0
	if !core.onLoop(func() { seeds = len(core.node.settings.Seeds) }) || seeds != 2 {
		t.Errorf("%d seeds after new settings arrived while the disk was full, want 2", seeds)
	}
}

// The other nodes continue without a node whose disk is full (the head, the tail or a learner), and the node catches
// up once there is space.
func TestClusterProgressesWithoutNodeWithFullDisk(t *testing.T) {
	for _, node := range []int{0, 2, 3} {
		c := newCluster(t, 4)
		if status := c.put(1, 0, 0, 1, 2, 3); status != http.StatusOK {
			t.Fatal(status)
		}
		freeSpace := fillDisk(t, c.cores[node])
		others := slices.DeleteFunc([]int{0, 1, 2, 3}, func(i int) bool { return i == node })
		for version := 2; version <= 4; version++ {
			if status := c.put(version, version-1, others...); status != http.StatusOK {
				t.Fatalf("the disk of node %d is full: put of version %d: status %d", node, version, status)
			}
		}
		freeSpace()
		c.until("the node has caught up", func() bool {
			status, body := c.send(node, http.MethodGet, "/api/status", "", nil)
			return status == http.StatusOK && strings.Contains(body, `"config_version":4`) &&
				(strings.Contains(body, `"role":"member"`) || strings.Contains(body, `"role":"learner"`))
		})
	}
}
