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

// Parameters of the test of the cost of bringing a member and a follower up to date after many large changes. The test
// measures the CPU time of real processes, which does not depend on other load of the machine, and converts it to a
// tenth of a core and a link of 30 Mbit/s.
const (
	changeCount     = 300
	changeSize      = 1 << 20      // bytes of each change
	cpuShare        = 0.1          // of a core
	cpuTestLinkRate = 30 * megabit // bytes per second
	maxFolderSize   = 16 << 20     // bytes of a node's data folder, including its write-ahead log
)

// randomConfig returns a configuration of at least the given size with routes of a usual length. Two versions have little
// in common, so that deltas between them save little.
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

// cpuTimeOf returns the CPU time that a process has used so far, as the scheduler accounts it for its threads.
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

// folderSize returns the size of all files in a folder in bytes.
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

// timeAtCPUShare returns the time in which a process with cpuShare of a core gets the given CPU time.
func timeAtCPUShare(used time.Duration) time.Duration { return time.Duration(float64(used) / cpuShare) }

// putLargeConfigs puts n large configurations and waits for the acknowledgement of each.
func (f *fleet) putLargeConfigs(n, size int, nodes ...int) {
	f.t.Helper()
	for range n {
		on, _ := f.hist.newestAcknowledged()
		body := randomConfig(on+1, size)
		i := 0
		f.until("a large configuration is acknowledged", func() bool {
			i++
			return f.put(nodes[i%len(nodes)], on, body) == http.StatusOK
		})
	}
}

// TestCatchUpAfterManyLargeChangesFitsCPUShare checks that a member that missed 300 changes of 1 MB, and a follower
// that starts, catch up within catch_up_s with a tenth of a core, including the transfer time on the link. The member
// must not become the head before, and no disk may grow with the number of changes.
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
	t.Logf("%d changes of %d KB: %v of CPU time each at node 0",
		changes, changeSize>>10, (f.nodes[0].cpuTime(t)-before)/time.Duration(changes))
	f.setLinkRate(cpuTestLinkRate)
	cpuBefore := map[int]time.Duration{0: f.nodes[0].cpuTime(t), 1: f.nodes[1].cpuTime(t)}
	tail := f.tail()
	f.start(2, false)
	took := f.within(catchUp, "the node is in the same chain as all others again", func() bool {
		s := f.status(2)
		if s != nil && s.Head == s.Node && !f.isMember(2) {
			t.Error("the node is the head before it has all committed entries")
		}
		return f.allMembers()
	})
	const onLink = changeSize * time.Second / cpuTestLinkRate
	f.requireFitsCPUShare("the returning member", f.nodes[2].cpuTime(t), onLink, took)
	f.requireFitsCPUShare("the sending tail", f.nodes[tail].cpuTime(t)-cpuBefore[tail], onLink, took)
	f.setLinkRate(0)
	f.requireFollowerFitsCPUShare(onLink)
	for i := range 3 {
		if size := folderSize(t, f.dirs[i]); size > maxFolderSize {
			t.Errorf("node %d has %d KB on disk, limit %d KB", i, size>>10, int64(maxFolderSize)>>10)
		} else {
			t.Logf("node %d has %d KB on disk", i, size>>10)
		}
	}
	f.requireCaughtUp(f.tail()) // other nodes redirect readers of a large configuration to the tail
}

// requireFitsCPUShare fails if the time for the CPU time at cpuShare, plus the time on the link, exceeds catch_up_s.
func (f *fleet) requireFitsCPUShare(who string, used, onLink, took time.Duration) {
	f.t.Helper()
	f.t.Logf("%s: %v of CPU time, %v at %v of a core, %v on the link, took %v on this machine", who, used.Round(time.Millisecond),
		timeAtCPUShare(used).Round(10*time.Millisecond), cpuShare, onLink.Round(time.Millisecond), took.Round(time.Millisecond))
	if need := timeAtCPUShare(used) + onLink; need > catchUp && !raceDetector {
		f.t.Errorf("%s needs %v, limit %v", who, need, catchUp)
	}
}

// requireFollowerFitsCPUShare measures a follower in its own process, from its start until it uses the newest version.
func (f *fleet) requireFollowerFitsCPUShare(onLink time.Duration) {
	f.t.Helper()
	began := time.Now()
	follower := startFollowerChild(f.t, f.settings(0, false))
	newest, _ := f.hist.newestAcknowledged()
	activeLine := fmt.Sprintf("%s%d\n", activeVersionPrefix, newest)
	f.until("the follower uses the newest version", func() bool { return strings.Contains(follower.output.String(), activeLine) })
	f.requireFitsCPUShare("a starting follower", follower.cpuTime(f.t), onLink, time.Since(began))
	used := follower.cpuTime(f.t)
	const more = 5
	f.putLargeConfigs(more, changeSize, f.all()...)
	newest, _ = f.hist.newestAcknowledged()
	activeLine = fmt.Sprintf("%s%d\n", activeVersionPrefix, newest)
	f.until("the follower uses the newest version", func() bool { return strings.Contains(follower.output.String(), activeLine) })
	f.t.Logf("a running follower: %v of CPU time for each change",
		((follower.cpuTime(f.t) - used) / more).Round(time.Millisecond))
}
