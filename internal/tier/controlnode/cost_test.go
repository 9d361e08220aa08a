package controlnode

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// What it costs to bring a member, and a follower, up to date after many large changes: processor time of real processes,
// which does not depend on what else the machine does, at a tenth of a core and a link of 30 Mbit/s.
const (
	changeCount     = 300
	changeSize      = 1 << 20      // bytes of each
	cpuShare        = 0.1          // of a core
	cpuTestLinkRate = 30 * megabit // bytes a second
	maxFolderSize   = 16 << 20     // bytes of a node's data folder, with its log
)

// randomConfig is a configuration of a size with routes of common length, of which two versions have little in common.
func randomConfig(version int64, size int) string {
	r := rand.New(rand.NewPCG(uint64(version), 0))
	var b strings.Builder
	fmt.Fprintf(&b, `{"config_version":%d,"service_table":[{"name":"s"}],"route_table":[`, version)
	for i := 0; b.Len() < size; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%d","host_name":"h%x.example","path_prefix":"/p%d/%x/","route_kind":"idempotent","deadline_ms":%d,"target_service":"s"}`,
			i, r.Uint64(), i, r.Uint64(), 1000+r.IntN(4000))
	}
	b.WriteString(`]}`)
	return b.String()
}

// cpuTimeOf is what a process has used so far, from the scheduler's own account of its threads.
func cpuTimeOf(t *testing.T, pid int) (used time.Duration) {
	t.Helper()
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no threads of process %d: %v", pid, err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		ran, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		used += time.Duration(ran)
	}
	return used
}

func (c *childProcess) cpuTime(t *testing.T) time.Duration {
	t.Helper()
	return cpuTimeOf(t, c.cmd.Process.Pid)
}

// folderSize is that of all files in a folder, in bytes.
func folderSize(t *testing.T, dir string) (size int64) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}

// timeAtCPUShare is how long processor time lasts at the share of a core.
func timeAtCPUShare(used time.Duration) time.Duration { return time.Duration(float64(used) / cpuShare) }

// putLargeConfigs has so many large configurations acknowledged.
func (f *fleet) putLargeConfigs(n, size int, nodes ...int) {
	f.t.Helper()
	for range n {
		on, _ := f.hist.newest()
		body := randomConfig(on+1, size)
		i := 0
		f.until("a large configuration is acknowledged", func() bool {
			i++
			return f.put(nodes[i%len(nodes)], on, body) == http.StatusOK
		})
	}
}

// TestCatchUpAfterManyLargeChangesFitsCPUShare: a member that was away for 300 changes of 1 MB, and a follower that
// starts, need so little processor time that a tenth of a core has them up to date within catch_up_s, the time on the
// link included; the member does not lead before, and no disk grows with the number of changes.
func TestCatchUpAfterManyLargeChangesFitsCPUShare(t *testing.T) {
	changes := changeCount
	if raceDetector {
		changes /= 10 * raceSlowdown
	}
	f := newFleet(t, 3, 3)
	f.http.Timeout = largeRequestTimeout
	f.putLargeConfigs(1, changeSize, f.all()...)
	f.kill(2)
	before := f.nodes[0].cpuTime(t)
	f.putLargeConfigs(changes, changeSize, 0, 1)
	t.Logf("%d changes of %d KB: %v of processor time each at node 0",
		changes, changeSize>>10, (f.nodes[0].cpuTime(t)-before)/time.Duration(changes))
	f.setLinkRate(cpuTestLinkRate)
	cpuBefore := map[int]time.Duration{0: f.nodes[0].cpuTime(t), 1: f.nodes[1].cpuTime(t)}
	tail := f.tail()
	f.start(2, false)
	took := f.within(catchUp, "the node is a member of one chain with all others again", func() bool {
		s := f.status(2)
		if s != nil && s.Head == s.Node && !f.isMember(2) {
			t.Error("it leads before it has all that was committed")
		}
		return f.allMembers()
	})
	const onLink = changeSize * time.Second / cpuTestLinkRate
	f.requireFitsCPUShare("the member that returns", f.nodes[2].cpuTime(t), onLink, took)
	f.requireFitsCPUShare("the tail that sends", f.nodes[tail].cpuTime(t)-cpuBefore[tail], onLink, took)
	f.setLinkRate(0)
	f.requireFollowerFitsCPUShare(onLink)
	for i := range 3 {
		if size := folderSize(t, f.dirs[i]); size > maxFolderSize {
			t.Errorf("node %d has %d KB on disk, limit %d KB", i, size>>10, int64(maxFolderSize)>>10)
		} else {
			t.Logf("node %d has %d KB on disk", i, size>>10)
		}
	}
	f.requireCaughtUp(f.tail()) // others send a reader of so much to it
}

// requireFitsCPUShare fails where processor time at the share of a core, with the time on the link, is more than catch_up_s.
func (f *fleet) requireFitsCPUShare(who string, used, onLink, took time.Duration) {
	f.t.Helper()
	f.t.Logf("%s: %v of processor time, %v at %v of a core, %v on the link, %v here", who, used.Round(time.Millisecond),
		timeAtCPUShare(used).Round(10*time.Millisecond), cpuShare, onLink.Round(time.Millisecond), took.Round(time.Millisecond))
	if need := timeAtCPUShare(used) + onLink; need > catchUp && !raceDetector {
		f.t.Errorf("%s needs %v, limit %v", who, need, catchUp)
	}
}

// requireFollowerFitsCPUShare measures a follower as a process of its own, from its start until it acts on the newest version.
func (f *fleet) requireFollowerFitsCPUShare(onLink time.Duration) {
	f.t.Helper()
	began := time.Now()
	follower := startFollowerChild(f.t, f.settings(0, false))
	newest, _ := f.hist.newest()
	acts := fmt.Sprintf("%s%d\n", activeVersionPrefix, newest)
	f.until("the follower acts on the newest version", func() bool { return strings.Contains(follower.output.String(), acts) })
	f.requireFitsCPUShare("a follower that starts", follower.cpuTime(f.t), onLink, time.Since(began))
	used := follower.cpuTime(f.t)
	const more = 5
	f.putLargeConfigs(more, changeSize, f.all()...)
	newest, _ = f.hist.newest()
	acts = fmt.Sprintf("%s%d\n", activeVersionPrefix, newest)
	f.until("the follower acts on the newest version", func() bool { return strings.Contains(follower.output.String(), acts) })
	f.t.Logf("a follower that is awake: %v of processor time for each change",
		((follower.cpuTime(f.t) - used) / more).Round(time.Millisecond))
}
