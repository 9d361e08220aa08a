package controlnode

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/sqlitelog"
)

// quietPeriod is how long a test waits to see that nothing is reported.
const quietPeriod = 100 * time.Millisecond

// startSingleNode starts a cluster of one node: its writes are committed once the node itself has synced them.
func startSingleNode(t *testing.T) *Server {
	t.Helper()
	base := findFreeBasePort(t)
	ip := fmt.Sprintf("127.0.%d.1", 10+base%200)
	text := fmt.Sprintf("node_name: core-0\nip_addr: %s\nzone_name: z\nregion_name: r\nzones: {z: r}\nbind_addrs: {control_addr: '%s:%d'}\nport_range: [%d, %d]\n"+
		"seed_nodes: ['%s:%d']\nbootstrap: true\ndata_dir: '%s'\nlimits: {memory_mb: 64, max_fds: 256, disk_mb: 64}\nfault_tolerance: {machine_losses: 0}\n",
		ip, ip, base, base+1, base+10, ip, base, t.TempDir())
	settings, err := process.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	core, err := Open(settings, process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := core.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { cancel(); running.Wait() })
	for isHead := false; !isHead; {
		if !core.onLoop(func() { isHead = core.node.IsActiveHead() }) {
			t.Fatal("the node has stopped")
		}
	}
	return core
}

// A read that sees a write from the same batch of the event loop is answered only once the write is on disk: otherwise a
// power loss could undo a write whose effect was already reported.
func TestReadsAreReportedAfterSync(t *testing.T) {
	core := startSingleNode(t)
	entered, release := make(chan struct{}), make(chan struct{})
	syncing, synced := make(chan struct{}), make(chan struct{})
	core.requests <- onLoopRequest(func() {
		core.syncRows = func(ctx context.Context, rows []sqlitelog.Write) error {
			core.syncRows = core.db.Commit
			close(syncing)
			<-synced
			return core.db.Commit(ctx, rows)
		}
		close(entered)
		<-release
	})
	<-entered
	core.requests <- onLoopRequest(func() { core.mergeReady(core.node.Write(core.now(), 0, "key", []byte("value"))) })
	read := make(chan int)
	go func() {
		entries := 0
		core.onLoop(func() { entries = len(core.node.Chain().Committed(0)) })
		read <- entries
	}()
	for len(core.requests) < 2 { // the write, and the read behind it
		runtime.Gosched()
	}
	close(release)
	<-syncing
	select {
	case n := <-read:
		t.Errorf("%d entries were reported before they were on disk", n)
		close(synced)
		return
	case <-time.After(quietPeriod):
	}
	close(synced)
	if n := <-read; n != 1 {
		t.Errorf("%d entries were read after the sync, want 1", n)
	}
}

// Callers that call again as soon as they are answered do not keep the event loop from sending.
func TestBatchIsBounded(t *testing.T) {
	c := &Server{ctx: t.Context(), requests: make(chan queuedRequest, 1), peerMessages: make(chan Message, 1)}
	taken := 0
	var call func()
	call = func() {
		if taken++; taken < 2*maxBatch {
			c.requests <- onLoopRequest(call)
		}
	}
	c.requests <- onLoopRequest(call)
	if !c.handleBatch(nil) || taken != maxBatch {
		t.Errorf("a batch handled %d events, want %d", taken, maxBatch)
	}
}
