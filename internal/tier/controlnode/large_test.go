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
	megabit             = 1e6 / 8 // bytes a second
	largeNameLength     = 4 << 10
	raceSlowdown        = 5
	largeRequestTimeout = 10 * time.Second

	// rejoinTimeout ends a return that does not come about at all. Those that take longer than the contract says fail as well.
	rejoinTimeout = time.Minute
)

// longNamesConfig is a configuration of a version that is large by the length of its names rather than by its routes: what is
// measured is how it travels, not how it is parsed.
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

// TestLargeStateCatchesUpOverSlowLinks: a wiped node, and one that missed a large change, are members again within the
// contract's time while all links are thin; the others go on meanwhile. On the thinner links a change takes longer than
// what a member may lack to count as caught up: one that joined without it held up all writes, and views changed in turns.
//
// It runs alone, since the limit is of time and parsing takes the processor. Under the race detector, which makes each byte
// dear, the state is a fifth; the limit stays.
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
		on, _ := f.hist.newest()
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
	wiped := func() {
		f.kill(2)
		f.wipe(2)
	}
	away := func() {
		f.kill(2)
		large(0, 1)
	}
	large(f.all()...)
	f.requireRejoinInTime(fmt.Sprintf("its disk was lost, %d KB of state", size>>10), linkRate, wiped)
	f.requireRejoinInTime(fmt.Sprintf("it was long away, %d KB of state", size>>10), linkRate, away)
}

// maxRejoinAttempts is how often a return is played where the machine kept the processes back.
const maxRejoinAttempts = 3

// requireRejoinInTime has the third node go and come back over thin links: it is a member again within the contract's time. A return that
// took longer while a thread of the nodes or of this process, which carries their links, measurably waited for a
// processor says nothing, and is played again.
func (f *fleet) requireRejoinInTime(what string, linkRate float64, goes func()) {
	f.t.Helper()
	for play := 1; ; play++ {
		goes()
		f.setLinkRate(linkRate)
		f.start(2, false)
		processes := f.pids()
		watch := starvation.Start(func() []int { return processes })
		took := f.within(rejoinTimeout, "the node is a member of one chain with all others again: "+what, f.allMembers)
		waited := watch.Stop()
		f.t.Logf("%s: a member again after %v, limit %v; a thread waited %v at most for a processor in %v",
			what, took, catchUp, waited, starvation.Interval)
		f.setLinkRate(0)
		f.requireCaughtUp(2)
		switch {
		case took <= catchUp:
			return
		case waited < starvation.Limit || play == maxRejoinAttempts:
			f.t.Fatalf("%s: a member again after %v, limit %v, in play %d", what, took, catchUp, play)
		}
	}
}

// pids are those of the nodes that run, and this one.
func (f *fleet) pids() []int {
	all := []int{os.Getpid()}
	for _, node := range f.nodes {
		if node != nil {
			all = append(all, node.cmd.Process.Pid)
		}
	}
	return all
}

// setLinkRate bounds the bytes a second of each node's link, each way; 0 is no bound.
func (f *fleet) setLinkRate(rate float64) {
	for i := range f.n {
		f.out[i].SetRate(rate)
		f.in[i].SetRate(rate)
	}
}
