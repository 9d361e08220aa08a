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
	linkDelay = 2 * time.Millisecond
	thinLink  = 30_000_000 / 8 // bytes a second
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
type world struct {
	t        *testing.T
	f        *Follower
	mu       sync.Mutex
	h        history
	versions []int64
	routes   int
	seed     int
	nodes    map[string]*coreNode
	members  []string
	changed  chan struct{}
	sent     tally
	calls    int
	worst    error
}

// tally counts what went to the follower.
type tally struct{ polls, bytes, whole, patches, large, pieces int }

type coreNode struct {
	source
	name    string
	reach   string // up cut down frozen
	company string // up alone lies
	late    time.Duration
	garbles bool
	busy    bool
	thin    bool
	free    time.Time // when a thin node's link has sent all that was given to it
	members []string  // as it knew them when it was left alone
}

func newWorld(t *testing.T, names []string) *world {
	w := &world{t: t, nodes: map[string]*coreNode{}, changed: make(chan struct{}), routes: fewRoutes}
	for _, name := range names {
		w.nodes[name] = &coreNode{name: name, reach: "down", company: "up"}
	}
	return w
}

func address(name string) string { return name + ":7000" }

func settings(seeds []string) *process.Settings {
	s := &process.Settings{NodeName: "front-1", MachineClass: "front", Seeds: seeds}
	s.PortRange = []int{7000 - int(process.CorePort), 7100}
	return s
}

// Call implements Caller.
func (w *world) Call(ctx context.Context, to string, m rpc.Method, body, answer any) error {
	n := w.nodes[strings.TrimSuffix(to, ":7000")]
	w.mu.Lock()
	w.calls++
	w.mu.Unlock()
	pause(ctx, linkDelay)
	for ctx.Err() == nil {
		w.mu.Lock()
		reach, changed := "down", w.changed
		if n != nil {
			reach = n.reach
		}
		if reach == "up" {
			given := w.handle(n, m, body)
			late := n.late + n.send(len(given))
			w.mu.Unlock()
			if given != nil {
				pause(ctx, late+linkDelay)
				return w.deliver(ctx, n, given, answer)
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
func (n *coreNode) send(size int) time.Duration {
	if !n.thin {
		return 0
	}
	now := time.Now()
	if n.free.Before(now) {
		n.free = now
	}
	n.free = n.free.Add(time.Duration(size) * time.Second / thinLink)
	return n.free.Sub(now)
}

// deliver brings an answer, if its node is not cut off or down meanwhile.
func (w *world) deliver(ctx context.Context, n *coreNode, given []byte, answer any) error {
	w.mu.Lock()
	reach := n.reach
	w.mu.Unlock()
	if reach == "cut" {
		<-ctx.Done()
	}
	if ctx.Err() != nil || reach == "down" {
		return rpc.ErrLost
	}
	w.mu.Lock()
	w.sent.bytes += len(given)
	w.mu.Unlock()
	return rpc.Decode(given, answer)
}

// handle gives a node's answer, nil for a poll that waits on.
func (w *world) handle(n *coreNode, m rpc.Method, body any) []byte {
	if m == ChunkCall {
		w.sent.pieces++
		n.values.Update(w.h.committed(n.commit))
		if n.busy {
			return rpc.Encode(&Chunk{Status: ChunkBusy})
		}
		return rpc.Encode(n.values.Chunk(body.(*ChunkRequest)))
	}
	q := body.(*ChangesRequest)
	fresh := n.company == "lies" || n.company == "up" && n.commit >= q.ReceivedIndex
	if news := fresh && n.commit > q.ReceivedIndex; !news && q.WaitMs > 0 {
		wait := time.Duration(q.WaitMs) * time.Millisecond
		q.WaitMs = 0
		time.AfterFunc(wait, w.wake)
		return nil
	}
	if !fresh {
		return rpc.Encode(&ChangesResponse{Index: n.commit, CoreAddrs: n.cores(w)})
	}
	a := n.answer(&w.h, q, true)
	a.CoreAddrs = n.cores(w)
	w.sent.polls++
	w.sent.whole, w.sent.patches, w.sent.large = w.sent.whole+len(a.Entries), w.sent.patches+len(a.Patches), w.sent.large+len(a.LargeValues)
	for _, p := range a.Patches {
		if n.garbles {
			p.Delta[len(p.Delta)-1] ^= 1
		}
	}
	return rpc.Encode(a)
}

func (n *coreNode) cores(w *world) (cores []string) {
	members := w.members
	if n.company != "up" {
		members = n.members
	}
	for _, name := range members {
		cores = append(cores, address(name))
	}
	return cores
}

func (w *world) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeHeld()
}

func (w *world) wakeHeld() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// commit plays one cell of the column of commits.
func (w *world) commit(cell string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if strings.HasSuffix(cell, "!") {
		w.seed++
	}
	switch strings.TrimSuffix(cell, "!") {
	case "few":
		w.routes = fewRoutes
	case "some":
		w.routes = someRoutes
	case "large":
		w.routes = largeRoutes
	case "huge":
		w.routes = hugeRoutes
	}
	if cell == "place" {
		w.h.placement()
	} else {
		w.h.config(w.routes, w.seed)
		w.versions = append(w.versions, w.h.version)
	}
	w.spread()
}

// spread gives all nodes in touch what is committed.
func (w *world) spread() {
	for _, n := range w.nodes {
		if n.company == "up" && n.reach != "frozen" {
			n.commit = int64(len(w.h.all))
		}
	}
	w.wakeHeld()
}

func (w *world) do(n *coreNode, cell string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch cell {
	case "up":
		n.reach, n.company = "up", "up"
	case "cut", "down", "frozen":
		n.reach = cell
	case "alone", "lies":
		n.reach, n.company, n.members = "up", cell, slices.Clone(w.members)
	case "slow":
		n.late = 300 * time.Millisecond
	case "quick":
		n.late = 0
	case "lost":
		n.values = ValueCache{}
	case "thin":
		n.thin = true
	case "busy":
		n.busy = true
	case "serves":
		n.busy = false
	case "garbles":
		n.garbles = true
	case "honest":
		n.garbles = false
	case "joins":
		w.members = append(w.members, n.name)
	case "leaves":
		w.members = slices.DeleteFunc(w.members, func(name string) bool { return name == n.name })
	default:
		w.t.Errorf("no such cell: %q", cell)
	}
	w.spread()
}

// ask plays one cell of the follower's column.
func (w *world) ask(at, cell string) {
	if seeds, ok := strings.CutPrefix(cell, "seeds="); ok {
		w.f.UpdateSeeds(settings(strings.Split(seeds, "+")))
		return
	}
	want, err := strconv.Atoi(strings.TrimPrefix(cell, "v"))
	if err != nil {
		w.t.Fatalf("no such cell: %q", cell)
	}
	got := 0
	if c := w.f.Tables().Config; c != nil {
		got = slices.Index(w.versions, c.Version) + 1
	}
	if got != want {
		w.t.Errorf("at %s ms it acts on version %d, wanted %d", at, got, want)
	}
}

// watch judges all changes of the follower's tables.
func (w *world) watch(ctx context.Context) {
	old := &Tables{}
	for {
		changed := w.f.Changed()
		next := w.f.Tables()
		w.mu.Lock()
		if err := w.h.judge(old, next); err != nil && w.worst == nil {
			w.worst = err
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
func play(t *testing.T, seeds, timeline string, check func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var rows [][]string
		for line := range strings.Lines(strings.TrimSpace(timeline)) {
			rows = append(rows, strings.Fields(line))
		}
		names := rows[0][2 : len(rows[0])-1]
		w := newWorld(t, names)
		w.f = newFollower(settings(strings.Split(seeds, "+")), w, process.NewLogger(io.Discard))
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		begin := time.Now()
		for i, row := range rows[1:] {
			if len(row) != len(names)+3 {
				t.Fatalf("line %q", row)
			}
			at, err := strconv.ParseFloat(row[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(math.Round(at*1e6)) - time.Since(begin))
			w.row(row, names)
			if i == 0 {
				wg.Go(func() { w.f.Run(ctx) })
				wg.Go(func() { w.watch(ctx) })
			}
		}
		synctest.Wait()
		if check != nil {
			check(w)
		}
		stop()
		wg.Wait()
		if w.worst != nil {
			t.Error(w.worst)
		}
	})
}

func (w *world) row(row, names []string) {
	for _, members := range []bool{true, false} { // what a node knows when it is left alone is as of the same moment
		for i, name := range names {
			for cell := range strings.SplitSeq(row[i+2], ",") {
				if cell != "." && (cell == "joins" || cell == "leaves") == members {
					w.do(w.nodes[name], cell)
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
			w.ask(row[0], cell)
		}
	}
}
