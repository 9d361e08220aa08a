package controlnode

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/starvation"
)

const (
	megabit             = 1e6 / 8 // bytes per second
	largeNameLength     = 4 << 10
	raceSlowdown        = 5
	largeRequestTimeout = 10 * time.Second

	// rejoinTimeout ends the wait for a node that does not rejoin at all. One that takes longer than catchUp fails as
	// well.
	rejoinTimeout = time.Minute
)

// longNamesConfig returns a configuration that is large because of long names rather than many routes, so that the test
// measures its transfer rather than its parsing.
func longNamesConfig(version, size int) string {
	var b strings.Builder
	long := strings.Repeat("x", largeNameLength)
	fmt.Fprintf(&b, `{"config_version":%d,"route_table":[`, version)
	for i := 0; b.Len() < size; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%d-%s","host_name":"h%d.example","path_prefix":"/a%d/","route_kind":"idempotent","deadline_ms":%d,"target_ms":100,"rank":0,"target_service":"s","max_attempts":2}`,
			i, long, i, i, 1000+version)
	}
	b.WriteString(`],"service_table":[{"name":"s","health_path":"/health","conn_limit":10,"protocol":"h1","tls_mode":false}]}`)
	return b.String()
}

// TestLargeStateCatchesUpOverSlowLinks checks that a wiped node, and one that missed a large change, are members again
// within catch_up_s over slow links, while the others continue. On the slower links the transfer of a change takes
// longer than the lag with which a member counts as caught up: a member that joined without the change blocked all
// writes, and views changed repeatedly.
//
// It does not run in parallel with other tests, since it limits the time and parsing needs CPU time. The state is a
// fifth under the race detector, which slows the processing of each byte down; the limit is the same.
func TestLargeStateCatchesUpOverSlowLinks(t *testing.T) {
	for name, links := range map[string]struct {
		size int
		rate float64 // of each node's link, each way
	}{
		"5 MB at 30 Mbit/s": {5 << 20, 30 * megabit},
		"1 MB at 6 Mbit/s":  {1 << 20, 6 * megabit},
	} {
		if raceDetector {
			links.size /= raceSlowdown
		}
		t.Run(name, func(t *testing.T) { testCatchUp(t, links.size, links.rate) })
	}
}

func testCatchUp(t *testing.T, size int, linkRate float64) {
	t.Helper()
	f := newFleet(t, 3, 3)
	f.http.Timeout = largeRequestTimeout
	large := func(nodes ...int) {
		t.Helper()
		on, _ := f.hist.newestAcknowledged()
		body := longNamesConfig(int(on)+1, size)
		f.until("a large configuration is acknowledged by one of "+fmt.Sprint(nodes), func() bool {
			for _, i := range nodes {
				if f.put(i, on, body) == http.StatusOK {
					return true
				}
			}
			return false
		})
	}
	wipe := func() {
		f.kill(2)
		f.wipe(2)
	}
	missChange := func() {
		f.kill(2)
		large(0, 1)
	}
	large(f.all()...)
	f.requireRejoinInTime(fmt.Sprintf("after a disk loss, %d KB of state", size>>10), linkRate, wipe)
	f.requireRejoinInTime(fmt.Sprintf("after a missed change, %d KB of state", size>>10), linkRate, missChange)
}

// maxRejoinAttempts is the maximum number of attempts; one is repeated only if the processes were starved of CPU time.
const maxRejoinAttempts = 3

// requireRejoinInTime calls takeDown, which stops the third node, starts the node again over slow links, and requires
// that it is a member again within catch_up_s. An attempt that took longer while a thread of the nodes, or of this
// process, which relays their links, measurably waited for a CPU is inconclusive and is repeated.
func (f *fleet) requireRejoinInTime(what string, linkRate float64, takeDown func()) {
	f.t.Helper()
	for attempt := 1; ; attempt++ {
		takeDown()
		f.setLinkRate(linkRate)
		f.start(2, false)
		processes := f.pids()
		watch := starvation.Start(func() []int { return processes })
		took := f.within(rejoinTimeout, "the node is in the same chain as all others again: "+what, f.allMembers)
		waited := watch.Stop()
		f.t.Logf("%s: a member again after %v, limit %v; a thread waited at most %v for a CPU in %v",
			what, took, catchUp, waited, starvation.Interval)
		f.setLinkRate(0)
		f.requireCaughtUp(2)
		switch {
		case took <= catchUp:
			return
		case waited < starvation.Limit || attempt == maxRejoinAttempts:
			f.t.Fatalf("%s: a member again after %v, limit %v, in attempt %d", what, took, catchUp, attempt)
		}
	}
}

// pids returns the process IDs of the running nodes and of this process.
func (f *fleet) pids() []int {
	all := []int{os.Getpid()}
	for _, node := range f.nodes {
		if node != nil {
			all = append(all, node.cmd.Process.Pid)
		}
	}
	return all
}

// setLinkRate limits the bytes per second of each node's link in each direction; 0 means no limit.
func (f *fleet) setLinkRate(rate float64) {
	for i := range f.n {
		f.out[i].SetRate(rate)
		f.in[i].SetRate(rate)
	}
}
