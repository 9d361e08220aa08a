package feed

import (
	"context"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
)

const (
	linkDelay     = 2 * time.Millisecond
	slowLinkBytes = 30_000_000 / 8 // bytes a second
)

// world is core nodes as scripts, one real follower, and a judge of all its tables. A timeline is text: a line is a time
// in ms, then a cell for the commits, for each core node, and for the follower; "." is nothing, commas join several.
//
//	commits   few some large huge  a version of so many routes; few! ... with nothing in common with the one before
//	          edit xN          the version before with another number; N of them, 10 ms apart
//	          place            a placement
//	a node    up               it answers, has a majority and all that is committed
//	          cut down frozen  calls are not answered; are refused; wait until it thaws
//	          alone            it answers, hears no majority, gets no commits, and tells of the members that it knew
//	          lies             as alone, but calls itself fresh, as one that was frozen does
//	          thin             its link carries 30 Mbit/s
//	          slow             each answer takes 300 ms more; quick: no more
//	          lost             it has forgotten all values but the committed ones
//	          garbles          each delta that it gives has a wrong byte; honest: no more
//	          busy             it gives no pieces, others have its transfers; serves: it does
//	          joins leaves     the list of core nodes
//	follower  v3               it acts on the third version by now; v0: on none
//	          seeds=a+b        SIGHUP with these seeds
type scriptedCluster struct {
	t          *testing.T
	follower   *Follower
	mu         sync.Mutex
	log        commitLog
	versions   []int64
	routeCount int
	bodySeed   int
	nodes      map[string]*coreNode
	members    []string
	changed    chan struct{}
	traffic    trafficCounts
	calls      int
	violation  error
}

// tally counts what went to the follower.
type trafficCounts struct{ polls, bytes, full, patches, refs, chunks int }

type coreNode struct {
	fakeSource
	name           string
	reachability   string // up cut down frozen
	quorum         string // up alone lies
	delay          time.Duration
	corruptsDeltas bool
	busy           bool
	slowLink       bool
	linkFreeAt     time.Time // when a thin node's link has sent all that was given to it
	members        []string  // as it knew them when it was left alone
}

func newScriptedCluster(t *testing.T, names []string) *scriptedCluster {
	w := &scriptedCluster{t: t, nodes: map[string]*coreNode{}, changed: make(chan struct{}), routeCount: fewRoutes}
	for _, name := range names {
		w.nodes[name] = &coreNode{name: name, reachability: "down", quorum: "up"}
	}
	return w
}

func addressOf(name string) string { return name + ":7000" }

func settingsFor(seeds []string) *process.Settings {
	s := &process.Settings{NodeName: "front-1", MachineClass: "front", Seeds: seeds}
	s.PortRange = []int{7000 - int(process.CorePort), 7100}
	return s
}

// Call implements Caller.
func (w *scriptedCluster) Call(ctx context.Context, to string, m rpc.Method, body, answer any) error {
	node := w.nodes[strings.TrimSuffix(to, ":7000")]
	w.mu.Lock()
	w.calls++
	w.mu.Unlock()
	sleep(ctx, linkDelay)
	for ctx.Err() == nil {
		w.mu.Lock()
		reach, changed := "down", w.changed
		if node != nil {
			reach = node.reachability
		}
		if reach == "up" {
			encoded := w.handle(node, m, body)
			delay := node.delay + node.transmit(len(encoded))
			w.mu.Unlock()
			if encoded != nil {
				sleep(ctx, delay+linkDelay)
				return w.deliver(ctx, node, encoded, answer)
			}
		} else {
			w.mu.Unlock()
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

// send gives how long bytes take over a node's link, behind those that wait in it.
func (n *coreNode) transmit(size int) time.Duration {
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

// deliver brings an answer, if its node is not cut off or down meanwhile.
func (w *scriptedCluster) deliver(ctx context.Context, n *coreNode, encoded []byte, answer any) error {
	w.mu.Lock()
	reach := n.reachability
	w.mu.Unlock()
	if reach == "cut" {
		<-ctx.Done()
	}
	if ctx.Err() != nil || reach == "down" {
		return rpc.ErrLost
	}
	w.mu.Lock()
	w.traffic.bytes += len(encoded)
	w.mu.Unlock()
	return rpc.Decode(encoded, answer)
}

// handle gives a node's answer, nil for a poll that waits on.
func (w *scriptedCluster) handle(n *coreNode, m rpc.Method, body any) []byte {
	if m == ChunkCall {
		w.traffic.chunks++
		n.values.Update(w.log.latest(n.commitIndex))
		if n.busy {
			return rpc.Encode(&Chunk{Status: ChunkBusy})
		}
		return rpc.Encode(n.values.Chunk(body.(*ChunkRequest)))
	}
	request := body.(*ChangesRequest)
	confirmed := n.quorum == "lies" || n.quorum == "up" && n.commitIndex >= request.ReceivedIndex
	if hasUpdate := confirmed && n.commitIndex > request.ReceivedIndex; !hasUpdate && request.WaitMs > 0 {
		wait := time.Duration(request.WaitMs) * time.Millisecond
		request.WaitMs = 0
		time.AfterFunc(wait, w.wake)
		return nil
	}
	if !confirmed {
		return rpc.Encode(&ChangesResponse{Index: n.commitIndex, CoreAddrs: n.coreAddrs(w)})
	}
	response := n.respond(&w.log, request, true)
	response.CoreAddrs = n.coreAddrs(w)
	w.traffic.polls++
	w.traffic.full, w.traffic.patches, w.traffic.refs = w.traffic.full+len(response.Entries), w.traffic.patches+len(response.Patches), w.traffic.refs+len(response.LargeValues)
	for _, p := range response.Patches {
		if n.corruptsDeltas {
			p.Delta[len(p.Delta)-1] ^= 1
		}
	}
	return rpc.Encode(response)
}

func (n *coreNode) coreAddrs(w *scriptedCluster) (cores []string) {
	members := w.members
	if n.quorum != "up" {
		members = n.members
	}
	for _, name := range members {
		cores = append(cores, addressOf(name))
	}
	return cores
}

func (w *scriptedCluster) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeLocked()
}

func (w *scriptedCluster) wakeLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// commit plays one cell of the column of commits.
func (w *scriptedCluster) commit(cell string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if strings.HasSuffix(cell, "!") {
		w.bodySeed++
	}
	switch strings.TrimSuffix(cell, "!") {
	case "few":
		w.routeCount = fewRoutes
	case "some":
		w.routeCount = someRoutes
	case "large":
		w.routeCount = largeRoutes
	case "huge":
		w.routeCount = hugeRoutes
	}
	if cell == "place" {
		w.log.commitPlacement()
	} else {
		w.log.commitConfig(w.routeCount, w.bodySeed)
		w.versions = append(w.versions, w.log.version)
	}
	w.propagate()
}

// spread gives all nodes in touch what is committed.
func (w *scriptedCluster) propagate() {
	for _, n := range w.nodes {
		if n.quorum == "up" && n.reachability != "frozen" {
			n.commitIndex = int64(len(w.log.entries))
		}
	}
	w.wakeLocked()
}

func (w *scriptedCluster) setNode(n *coreNode, cell string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch cell {
	case "up":
		n.reachability, n.quorum = "up", "up"
	case "cut", "down", "frozen":
		n.reachability = cell
	case "alone", "lies":
		n.reachability, n.quorum, n.members = "up", cell, slices.Clone(w.members)
	case "slow":
		n.delay = 300 * time.Millisecond
	case "quick":
		n.delay = 0
	case "lost":
		n.values = ValueCache{}
	case "thin":
		n.slowLink = true
	case "busy":
		n.busy = true
	case "serves":
		n.busy = false
	case "garbles":
		n.corruptsDeltas = true
	case "honest":
		n.corruptsDeltas = false
	case "joins":
		w.members = append(w.members, n.name)
	case "leaves":
		w.members = slices.DeleteFunc(w.members, func(name string) bool { return name == n.name })
	default:
		w.t.Errorf("no such cell: %q", cell)
	}
	w.propagate()
}

// ask plays one cell of the follower's column.
func (w *scriptedCluster) checkFollower(at, cell string) {
	if seeds, ok := strings.CutPrefix(cell, "seeds="); ok {
		w.follower.UpdateSeeds(settingsFor(strings.Split(seeds, "+")))
		return
	}
	want, err := strconv.Atoi(strings.TrimPrefix(cell, "v"))
	if err != nil {
		w.t.Fatalf("no such cell: %q", cell)
	}
	got := 0
	if c := w.follower.Tables().Config; c != nil {
		got = slices.Index(w.versions, c.Version) + 1
	}
	if got != want {
		w.t.Errorf("at %s ms it acts on version %d, wanted %d", at, got, want)
	}
}

// watch judges all changes of the follower's tables.
func (w *scriptedCluster) watch(ctx context.Context) {
	old := &Tables{}
	for {
		changed := w.follower.Changed()
		next := w.follower.Tables()
		w.mu.Lock()
		if err := w.log.check(old, next); err != nil && w.violation == nil {
			w.violation = err
		}
		w.mu.Unlock()
		old = next
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// play plays a timeline with a follower that begins at the seeds, and lets check look at the world after it. The
// members at the start are those nodes that the first line has up, cut or frozen.
func playTimeline(t *testing.T, seeds, timeline string, check func(cluster *scriptedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var rows [][]string
		for line := range strings.Lines(strings.TrimSpace(timeline)) {
			rows = append(rows, strings.Fields(line))
		}
		names := rows[0][2 : len(rows[0])-1]
		cluster := newScriptedCluster(t, names)
		cluster.follower = newFollower(settingsFor(strings.Split(seeds, "+")), cluster, process.NewRing(io.Discard))
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
			cluster.playRow(row, names)
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

func (w *scriptedCluster) playRow(row, names []string) {
	for _, members := range []bool{true, false} { // what a node knows when it is left alone is as of the same moment
		for i, name := range names {
			for cell := range strings.SplitSeq(row[i+2], ",") {
				if cell != "." && (cell == "joins" || cell == "leaves") == members {
					w.setNode(w.nodes[name], cell)
				}
			}
		}
	}
	for cell := range strings.SplitSeq(row[1], ",") {
		if n, err := strconv.Atoi(strings.TrimPrefix(cell, "x")); err == nil {
			for range n {
				w.commit("edit")
				time.Sleep(10 * time.Millisecond)
			}
		} else if cell != "." {
			w.commit(cell)
		}
	}
	synctest.Wait()
	if last := row[len(row)-1]; last != "." {
		for cell := range strings.SplitSeq(last, ",") {
			w.checkFollower(row[0], cell)
		}
	}
}
