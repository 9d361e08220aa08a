package feed

import (
	"context"
	"io"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
)

const (
	linkDelay     = 2 * time.Millisecond
	slowLinkBytes = 30_000_000 / 8 // bytes a second
)

// scriptedCluster is a set of scripted core nodes and one real follower, each of whose published tables is checked. A
// script is a text timeline: each line has a time in ms, a cell for the commits, one for each core node, and one for the
// follower. A cell is a comma-separated list, "." if it is empty.
//
//	commits   few some large huge  a version with this many routes; few! ... with nothing in common with the previous one
//	          edit xN          the same routes with the next version; N of them, 10 ms apart
//	          placement        a placement
//	a node    up               its responses are confirmed, it has all committed entries
//	          cut down frozen  calls get no response; are refused; wait until it resumes
//	          minority         it responds without a majority, and keeps the entries and members that it had
//	          falseconfirm     as minority, but its responses claim to be confirmed
//	          lowbandwidth     its link has 30 Mbit/s
//	          slow             each response takes 300 ms more; fast ends that
//	          evicted          its cached values are dropped
//	          corrupts         each delta that it sends has a wrong byte; intact ends that
//	          compresses       it sends values compressed, as the present release does
//	          busy             it serves no chunks, since it is at its limit of transfers; idle ends that
//	          joins leaves     it becomes a member; it is removed
//	follower  v3               it must have applied the third version by now; v0: none
//	          seeds=a+b        SIGHUP with these seeds
type scriptedCluster struct {
	t          *testing.T
	follower   *Follower
	mu         sync.Mutex
	log        commitLog
	versions   []int64
	routeCount int
	bodySeed   int
	nodes      map[string]*scriptedCore
	members    []string
	changed    chan struct{}
	traffic    trafficCounts
	calls      int
	violation  error
}

// trafficCounts counts what was sent to the follower.
type trafficCounts struct{ polls, bytes, full, patches, refs, chunks int }

type scriptedCore struct {
	fakeSource
	name           string
	reachability   string // one of up, cut, down, frozen
	quorum         string // one of up, minority, falseconfirm
	delay          time.Duration
	corruptsDeltas bool
	busy           bool
	slowLink       bool
	linkFreeAt     time.Time // when a slow link has sent all its queued bytes
	members        []string  // as of the time when it was partitioned
}

func newScriptedCluster(t *testing.T, names []string) *scriptedCluster {
	cluster := &scriptedCluster{t: t, nodes: map[string]*scriptedCore{}, changed: make(chan struct{}), routeCount: fewRoutes}
	for _, name := range names {
		cluster.nodes[name] = &scriptedCore{name: name, reachability: "down", quorum: "up"}
	}
	return cluster
}

func addressOf(name string) string { return name + ":7000" }

func settingsFor(seeds []string) *process.Settings {
	s := &process.Settings{NodeName: "front-1", MachineClass: "front", Seeds: seeds}
	s.PortRange = []int{7000 - int(process.CorePort), 7100}
	return s
}

// Call implements Caller.
func (c *scriptedCluster) Call(ctx context.Context, to string, m rpc.Method, body, response any) error {
	node := c.nodes[strings.TrimSuffix(to, ":7000")]
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	ctxtime.Sleep(ctx, linkDelay)
	for ctx.Err() == nil {
		c.mu.Lock()
		reach, changed := "down", c.changed
		if node != nil {
			reach = node.reachability
		}
		if reach == "up" {
			encoded := c.handle(node, m, body)
			delay := node.delay + node.transmit(len(encoded))
			c.mu.Unlock()
			if encoded != nil {
				ctxtime.Sleep(ctx, delay+linkDelay)
				return c.deliver(ctx, node, encoded, response)
			}
		} else {
			c.mu.Unlock()
		}
		if reach == "down" {
			return rpc.ErrUnsent
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return rpc.ErrLost
}

// transmit queues bytes on a node's link and returns how long they take, including those queued before.
func (n *scriptedCore) transmit(size int) time.Duration {
	if !n.slowLink {
		return 0
	}
	now := time.Now()
	if n.linkFreeAt.Before(now) {
		n.linkFreeAt = now
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(size) * time.Second / slowLinkBytes)
	return n.linkFreeAt.Sub(now)
}

// deliver delivers a response, unless its node was partitioned or stopped meanwhile.
func (c *scriptedCluster) deliver(ctx context.Context, node *scriptedCore, encoded []byte, response any) error {
	c.mu.Lock()
	reach := node.reachability
	c.mu.Unlock()
	if reach == "cut" {
		<-ctx.Done()
	}
	if ctx.Err() != nil || reach == "down" {
		return rpc.ErrLost
	}
	c.mu.Lock()
	c.traffic.bytes += len(encoded)
	c.mu.Unlock()
	return rpc.Decode(encoded, response)
}

// handle returns a node's response, nil for a poll that has to wait.
func (c *scriptedCluster) handle(node *scriptedCore, m rpc.Method, body any) []byte {
	if m == ChunkCall {
		c.traffic.chunks++
		node.values.Update(c.log.latest(node.commitIndex))
		if node.busy {
			return rpc.Encode(&Chunk{Status: ChunkBusy})
		}
		return rpc.Encode(node.values.Chunk(body.(*ChunkRequest)))
	}
	request := body.(*ChangesRequest)
	confirmed := node.quorum == "falseconfirm" || node.quorum == "up" && node.commitIndex >= request.ReceivedIndex
	if hasUpdate := confirmed && node.commitIndex > request.ReceivedIndex; !hasUpdate && request.WaitMs > 0 {
		wait := time.Duration(request.WaitMs) * time.Millisecond
		request.WaitMs = 0
		time.AfterFunc(wait, c.wake)
		return nil
	}
	if !confirmed {
		return rpc.Encode(&ChangesResponse{Index: node.commitIndex, CoreAddrs: node.coreAddrs(c)})
	}
	response := node.respond(&c.log, request, true)
	response.CoreAddrs = node.coreAddrs(c)
	c.traffic.polls++
	c.traffic.full += len(response.Entries)
	c.traffic.patches += len(response.Patches)
	c.traffic.refs += len(response.LargeValues)
	for _, p := range response.Patches {
		if node.corruptsDeltas {
			p.Delta[len(p.Delta)-1] ^= 1
		}
	}
	return rpc.Encode(response)
}

// coreAddrs returns the addresses of the members that a node knows.
func (n *scriptedCore) coreAddrs(cluster *scriptedCluster) (cores []string) {
	members := cluster.members
	if n.quorum != "up" {
		members = n.members
	}
	for _, name := range members {
		cores = append(cores, addressOf(name))
	}
	return cores
}

func (c *scriptedCluster) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeLocked()
}

// wakeLocked wakes waiting calls. The caller holds the lock.
func (c *scriptedCluster) wakeLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// commit executes one item of the column of commits.
func (c *scriptedCluster) commit(cell string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.HasSuffix(cell, "!") {
		c.bodySeed++
	}
	switch strings.TrimSuffix(cell, "!") {
	case "few":
		c.routeCount = fewRoutes
	case "some":
		c.routeCount = someRoutes
	case "large":
		c.routeCount = largeRoutes
	case "huge":
		c.routeCount = hugeRoutes
	}
	if cell == "placement" {
		c.log.commitPlacement()
	} else {
		c.log.commitConfig(c.routeCount, c.bodySeed)
		c.versions = append(c.versions, c.log.version)
	}
	c.propagate()
}

// propagate replicates all committed entries to the nodes that have a majority.
func (c *scriptedCluster) propagate() {
	for _, n := range c.nodes {
		if n.quorum == "up" && n.reachability != "frozen" {
			n.commitIndex = int64(len(c.log.entries))
		}
	}
	c.wakeLocked()
}

// setNode executes one item of a node's column.
func (c *scriptedCluster) setNode(node *scriptedCore, cell string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch cell {
	case "up":
		node.reachability, node.quorum = "up", "up"
	case "cut", "down", "frozen":
		node.reachability = cell
	case "minority", "falseconfirm":
		node.reachability, node.quorum, node.members = "up", cell, slices.Clone(c.members)
	case "slow":
		node.delay = 300 * time.Millisecond
	case "fast":
		node.delay = 0
	case "evicted":
		node.values = ValueCache{}
	case "lowbandwidth":
		node.slowLink = true
	case "busy":
		node.busy = true
	case "idle":
		node.busy = false
	case "compresses":
		node.compresses = true
	case "corrupts":
		node.corruptsDeltas = true
	case "intact":
		node.corruptsDeltas = false
	case "joins":
		c.members = append(c.members, node.name)
	case "leaves":
		c.members = slices.DeleteFunc(c.members, func(name string) bool { return name == node.name })
	default:
		c.t.Errorf("unknown cell: %q", cell)
	}
	c.propagate()
}

// checkFollower executes one item of the follower's column.
func (c *scriptedCluster) checkFollower(at, cell string) {
	if seeds, ok := strings.CutPrefix(cell, "seeds="); ok {
		c.follower.UpdateSeeds(settingsFor(strings.Split(seeds, "+")))
		return
	}
	want, err := strconv.Atoi(strings.TrimPrefix(cell, "v"))
	if err != nil {
		c.t.Fatalf("unknown cell: %q", cell)
	}
	got := 0
	if config := c.follower.Tables().Config; config != nil {
		got = slices.Index(c.versions, config.Version) + 1
	}
	if got != want {
		c.t.Errorf("at %s ms the follower has applied version %d, want %d", at, got, want)
	}
}

// watch checks all changes of the follower's tables.
func (c *scriptedCluster) watch(ctx context.Context) {
	old := &Tables{}
	for {
		changed := c.follower.Changed()
		next := c.follower.Tables()
		c.mu.Lock()
		if err := c.log.check(old, next); err != nil && c.violation == nil {
			c.violation = err
		}
		c.mu.Unlock()
		old = next
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// runTimeline executes a timeline with a follower that starts with the seeds, and calls check after it. The follower
// starts after the first line.
func runTimeline(t *testing.T, seeds, timeline string, check func(cluster *scriptedCluster)) {
	t.Helper()
	runTimelineWithLog(t, seeds, timeline, process.NewLogger(io.Discard), check)
}

// runTimelineWithLog is runTimeline with the follower's log.
func runTimelineWithLog(t *testing.T, seeds, timeline string, log *slog.Logger, check func(cluster *scriptedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var rows [][]string
		for line := range strings.Lines(strings.TrimSpace(timeline)) {
			rows = append(rows, strings.Fields(line))
		}
		names := rows[0][2 : len(rows[0])-1]
		cluster := newScriptedCluster(t, names)
		cluster.follower = newFollower(settingsFor(strings.Split(seeds, "+")), cluster, log)
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := time.Now()
		for i, row := range rows[1:] {
			if len(row) != len(names)+3 {
				t.Fatalf("line %q", row)
			}
			at, err := strconv.ParseFloat(row[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(math.Round(at*1e6)) - time.Since(start))
			cluster.runRow(row, names)
			if i == 0 {
				wg.Go(func() { cluster.follower.Run(ctx) })
				wg.Go(func() { cluster.watch(ctx) })
			}
		}
		synctest.Wait()
		if check != nil {
			check(cluster)
		}
		stop()
		wg.Wait()
		if cluster.violation != nil {
			t.Error(cluster.violation)
		}
	})
}

// runRow executes one line, in this order: membership, other node states, commits, checks.
func (c *scriptedCluster) runRow(row, names []string) {
	// Membership first: a node that loses its majority in this line knows the members of this line.
	for _, members := range []bool{true, false} {
		for i, name := range names {
			for cell := range strings.SplitSeq(row[i+2], ",") {
				if cell != "." && (cell == "joins" || cell == "leaves") == members {
					c.setNode(c.nodes[name], cell)
				}
			}
		}
	}
	for cell := range strings.SplitSeq(row[1], ",") {
		if n, err := strconv.Atoi(strings.TrimPrefix(cell, "x")); err == nil {
			for range n {
				c.commit("edit")
				time.Sleep(10 * time.Millisecond)
			}
		} else if cell != "." {
			c.commit(cell)
		}
	}
	synctest.Wait()
	if last := row[len(row)-1]; last != "." {
		for cell := range strings.SplitSeq(last, ",") {
			c.checkFollower(row[0], cell)
		}
	}
}
