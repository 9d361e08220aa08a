package controlnode

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"larchrouter/internal/fixture"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/view"
)

// storedFolder is the data folder of a core node as an earlier release wrote it. Like all fixtures it is never
// rewritten, see package fixture.
var storedFolder = filepath.Join("testdata", "core-node-v1")

// storedMembers are the three core nodes of the fixture. The first is the one with the folder, the head of the chain.
// The third has lost its disk once and has returned under another ID. Nothing listens on these addresses.
var storedMembers = []view.Member{
	{ID: "seed-127.0.10.1:21002", Name: "core-0", Addr: "127.0.10.1:21002"},
	{ID: "seed-127.0.10.2:21002", Name: "core-1", Addr: "127.0.10.2:21002"},
	{ID: "second-identity", Name: "core-2", Addr: "127.0.10.3:21002"},
}

// storedBody returns the configuration of a version.
func storedBody(version int64) []byte { return fmt.Appendf(nil, `{"config_version":%d}`, version) }

// storedPlacement returns the placement of the fixture.
func storedPlacement() *turnstore.Placement {
	store := func(n int) turnstore.Store {
		return turnstore.Store{ID: fmt.Sprintf("store-id-%d", n), Name: fmt.Sprintf("store-%d", n), Addr: fmt.Sprintf("127.0.20.%d:21003", n), Zone: fmt.Sprintf("zone-%d", n%2)}
	}
	return &turnstore.Placement{Generation: 7, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: []turnstore.Store{store(1), store(2), store(3), store(4)},
		New: []turnstore.Store{store(2), store(3), store(4), store(5)}, SweptIDs: []string{"store-id-2", "store-id-5"}}
}

// network is a core node with its disk, and two nodes in memory with which it exchanges messages in virtual time.
type network struct {
	t           *testing.T
	core        *Server
	peers       map[string]*Node // by address
	partitioned map[string]bool  // addresses of partitioned nodes
	now         time.Duration
	sent        []Envelope
}

// openNetwork opens the core node with the given data folder. The nodes in memory start with the state that peers returns.
func openNetwork(t *testing.T, dir string, peers func(core *Server) Durable) *network {
	t.Helper()
	core := openCore(t, dir)
	n := &network{t: t, core: core, peers: map[string]*Node{}, partitioned: map[string]bool{}}
	for _, m := range storedMembers[1:] {
		n.start(m, peers(core))
	}
	return n
}

// openCore opens the core node with the given data folder.
func openCore(t *testing.T, dir string) *Server {
	t.Helper()
	c := &cluster{t: t, basePort: 21000, n: 3, dirs: []string{dir}}
	core, err := Open(c.settings(0, true), process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// start starts a node in memory, which replaces the one at its address.
func (n *network) start(self view.Member, d Durable) {
	seeds := []string{storedMembers[0].Addr, storedMembers[1].Addr}
	n.peers[self.Addr] = NewNode(NodeSettings{Self: self, Incarnation: 1, Seeds: seeds, FaultTolerance: 1, Timings: DefaultTimings()}, d, n.now)
}

func (n *network) close() {
	n.t.Helper()
	n.core.stop()
	n.core.clients.Close()
	if err := n.core.db.Close(); err != nil {
		n.t.Fatal(err)
	}
}

// handleReady performs what a step of the core node requests, as its event loop does.
func (n *network) handleReady(o Ready) []Completion {
	n.t.Helper()
	n.core.mergeReady(o)
	if err := n.core.syncChanges(); err != nil {
		n.t.Fatal(err)
	}
	o, n.core.ready = n.core.ready, Ready{}
	n.sent = append(n.sent, o.Messages...)
	return o.Completed
}

// until advances the time and delivers messages until a condition is met.
func (n *network) until(what string, met func() bool) {
	n.t.Helper()
	for end := n.now + time.Minute; !met(); {
		if n.now += tickInterval; n.now > end {
			n.t.Fatalf("not within a minute of virtual time: %s (%+v)", what, n.core.node.Durable())
		}
		n.handleReady(n.core.node.Tick(n.now))
		for _, m := range storedMembers[1:] {
			n.sent = append(n.sent, n.peers[m.Addr].Tick(n.now).Messages...)
		}
		for len(n.sent) > 0 {
			e := n.sent[0]
			n.sent = n.sent[1:]
			if n.partitioned[e.To] || n.partitioned[e.From.Addr] {
				continue
			}
			if e.To == n.core.self.Addr {
				n.handleReady(n.core.node.Receive(n.now, e.Message))
			} else if p := n.peers[e.To]; p != nil {
				n.sent = append(n.sent, p.Receive(n.now, e.Message).Messages...)
			}
		}
	}
}

// allCaughtUp reports whether all three nodes are in the chain and all entries are committed.
func (n *network) allCaughtUp() bool {
	s := n.core.node.Chain().State()
	return n.core.node.IsConfirmedHead() && len(n.core.node.View().Chain) == 3 && s.Commit == s.LastIndex
}

// decideOrder decides an order at the head and appends the resulting entries.
func (n *network) decideOrder(o orders.Order) orders.Decision {
	n.t.Helper()
	d, err := orders.Decide(n.core.node.Chain().State().Entries, 1, o)
	if err != nil {
		n.t.Fatal(err)
	}
	n.handleReady(n.core.appendEntries(1, d.Append))
	return d
}

func (n *network) write(key string, value []byte) {
	n.handleReady(n.core.node.Write(n.now, 1, key, value))
}

func putOrderOf(version int64) orders.PutConfig {
	body := storedBody(version)
	return orders.PutConfig{IfMatch: version - 1, Version: version, Digest: orders.Digest(body), Body: body}
}

// writeStoredFolder creates the fixture by running a core node, so that it contains each kind of row and entry. These
// include the format before records of orders, which is still read but no longer written.
func writeStoredFolder(t *testing.T, dir string) {
	t.Helper()
	initialState := func(core *Server) Durable {
		return Durable{Acceptor: core.node.acceptor, State: *core.node.chain.State()}
	}
	openNetwork(t, dir, initialState).close()
	openNetwork(t, dir, initialState).close()
	n := openNetwork(t, dir, initialState)
	last := storedMembers[2]
	n.start(view.Member{ID: "seed-" + last.Addr, Name: last.Name, Addr: last.Addr}, initialState(n.core))
	n.until("the chain is complete", n.allCaughtUp)
	before := &feed.ConfigEntry{Version: 3, Body: storedBody(3), RecentDigests: [][]byte{orders.Digest(storedBody(2)), orders.Digest(storedBody(3))}}
	n.write(feed.ConfigKey, rpc.Encode(before))
	n.write(feed.RetirePrefix+"store-0", rpc.Encode(&feed.RetireEntry{ID: "store-id-0"}))
	n.write("deleted", nil)
	n.until("the entries in the earlier format are committed", n.allCaughtUp)
	for version := int64(4); version <= 21; version++ {
		if d := n.decideOrder(putOrderOf(version)); d.Kind != orders.Accept {
			t.Fatalf("version %d: %+v", version, d)
		}
	}
	n.write(feed.PlacementKey, rpc.Encode(storedPlacement()))
	if d := n.decideOrder(orders.RetireStore{Name: "store-5"}); d.Kind != orders.Accept {
		t.Fatalf("%+v", d)
	}
	n.until("all entries are committed", n.allCaughtUp)
	n.partitioned[last.Addr] = true
	n.until("the third node is removed from the chain", func() bool { return len(n.core.node.View().Chain) == 2 })
	n.partitioned[last.Addr] = false
	n.start(last, Durable{})
	n.until("the third node has returned under another ID", func() bool { return n.allCaughtUp() && n.core.node.acceptor.View.IsVoter(last.ID) })

	// Entries that are not committed, and a vote for a view that is not decided.
	if d := n.decideOrder(putOrderOf(22)); d.Kind != orders.Accept {
		t.Fatalf("%+v", d)
	}
	n.sent = nil
	next := n.core.node.View()
	next.Epoch++
	receiveFrom := func(from view.Member, m Message) {
		m.From, m.Incarnation, m.Epoch = from, 1, next.Epoch
		n.handleReady(n.core.node.Receive(n.now, m))
	}
	one := view.Ballot{Number: 101, Proposer: storedMembers[1].ID}
	receiveFrom(storedMembers[1], Message{Kind: msgPrepare, Ballot: one})
	receiveFrom(storedMembers[1], Message{Kind: msgAccept, Ballot: one, View: next})
	receiveFrom(storedMembers[2], Message{Kind: msgPrepare, Ballot: view.Ballot{Number: 102, Proposer: storedMembers[2].ID}})
	n.close()
}

// storedEntry is an entry of the fixture with its decoded value.
type storedEntry struct {
	index int64
	key   string
	value any // pointer to a struct; nil for an empty value
}

// mustDecodeHex returns the bytes of hexadecimal digits.
func mustDecodeHex(digits string) []byte {
	b, err := hex.DecodeString(digits)
	if err != nil {
		panic(err)
	}
	return b
}

// storedDigests are the digests of the configurations from version 2 on: the first 16 bytes of their SHA-256.
var storedDigests = [][]byte{
	mustDecodeHex("4957b1f8d5447d850c8afaa60a823b24"), // of version 2
	mustDecodeHex("870f92d43c9a4ee13f1f43be7034b95d"), // of version 3
	mustDecodeHex("52aa7f45a6319e707d35d8aa51cf8bc7"), // of version 4
	mustDecodeHex("1e2a37840b16f141ee937d459f02d6e5"), // of version 5
	mustDecodeHex("85b3f6cc623204849a3469ab53364cc5"), // of version 6
	mustDecodeHex("bbbde6e76df0044ea2b4f825e2c39b09"), // of version 7
	mustDecodeHex("6a9708ee7e3959e77dfc0c5124bddb32"), // of version 8
	mustDecodeHex("bfe67268f8d2b884301885463e82dc07"), // of version 9
	mustDecodeHex("fc66a5036c58364d6842cdfeb73646ab"), // of version 10
	mustDecodeHex("c5176da9d1a2787785f17a4d396a1c57"), // of version 11
	mustDecodeHex("c1fe6a5a60ae178915404e664745d09b"), // of version 12
	mustDecodeHex("5bd97e87245d377e418006fa2a12c8a2"), // of version 13
	mustDecodeHex("6400b3152294afcccfca0a38196874d5"), // of version 14
	mustDecodeHex("307af2cd4af79983d6e4a6d3dfac304d"), // of version 15
	mustDecodeHex("ba5f9381339bebe4d632d1b4b21b91c3"), // of version 16
	mustDecodeHex("acabac1e7670c389121931fad2384ec0"), // of version 17
	mustDecodeHex("d6137bdd96ae981c1293e022e22589cd"), // of version 18
	mustDecodeHex("acdb581f8802c538e9b892e690c78507"), // of version 19
	mustDecodeHex("c7d374b56189c93578c493cf8a7249e4"), // of version 20
	mustDecodeHex("afe37d8ab625efd04076c31e24808dd4"), // of version 21
	mustDecodeHex("ac3fefe52d16f53343f950019876e749"), // of version 22
	mustDecodeHex("f189ee79d7788445e6aa5809949ac99e"), // of version 23
}

// storedRecords returns the records of a range of versions; record 1 is that of version 4.
func storedRecords(from, to int64) (all []orders.Record) {
	for v := from; v <= to; v++ {
		all = append(all, orders.Record{Sequence: v - 3, Version: v, BaseVersion: v - 1, Digest: storedDigests[v-2]})
	}
	return all
}

// storedEntries returns the entries of the fixture.
func storedEntries() []storedEntry {
	config := func(version int64) *feed.ConfigEntry {
		return &feed.ConfigEntry{Version: version, Body: storedBody(version), RecentDigests: [][]byte{storedDigests[version-2]}}
	}
	return []storedEntry{
		{2, "retire/store-0", &feed.RetireEntry{ID: "store-id-0"}},
		{3, "deleted", nil},
		{4, "order/earlier", &orders.LegacyHistory{Version: 3, Digests: storedDigests[:2], Complete: true}},
		{33, "order/0", &orders.Page{Records: storedRecords(4, 18)}},
		{39, "order/1", &orders.Page{Records: storedRecords(19, 21)}},
		{40, "config", config(21)},
		{41, "placement", storedPlacement()},
		{42, "retire/store-5/store-id-5", &feed.RetireEntry{ID: "store-id-5"}},
		{43, "order/1", &orders.Page{Records: storedRecords(19, 22)}}, // this entry and the next are not committed
		{44, "config", config(22)},
	}
}

// storedAcceptor returns the acceptor state of the fixture.
func storedAcceptor() view.Acceptor {
	inView := func(epoch int64) view.View {
		founder := func(addr string) view.Member { return view.Member{ID: "seed-" + addr, Addr: addr} }
		return view.View{Epoch: epoch,
			Voters: []view.Member{founder("127.0.10.1:21002"), founder("127.0.10.2:21002"), {ID: "second-identity", Name: "core-2", Addr: "127.0.10.3:21002"}},
			Chain:  []view.ChainMember{{ID: "seed-127.0.10.1:21002", JoinedEpoch: 1}, {ID: "seed-127.0.10.2:21002", JoinedEpoch: 1}, {ID: "second-identity", JoinedEpoch: 3}}}
	}
	return view.Acceptor{View: inView(3), Promised: view.Ballot{Number: 102, Proposer: "second-identity"},
		AcceptedBallot: view.Ballot{Number: 101, Proposer: "seed-127.0.10.2:21002"}, Accepted: inView(4)}
}

// requireEntries compares entries and their values, both decoded and encoded.
func requireEntries(t *testing.T, what string, got []chain.Entry, want []storedEntry) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: %d entries, want %d", what, len(got), len(want))
		return
	}
	for i, w := range want {
		g := got[i]
		if g.Index != w.index || g.Key != w.key {
			t.Errorf("%s: index %d has key %q, want index %d with key %q", what, g.Index, g.Key, w.index, w.key)
			continue
		}
		if w.value == nil {
			if len(g.Value) != 0 {
				t.Errorf("%s: entry %d is %x, want an empty value", what, g.Index, g.Value)
			}
			continue
		}
		value := reflect.New(reflect.TypeOf(w.value).Elem()).Interface()
		if err := rpc.Decode(g.Value, value); err != nil || !reflect.DeepEqual(value, w.value) {
			t.Errorf("%s: entry %d (%s) is %+v (%v), want %+v", what, g.Index, g.Key, value, err, w.value)
		}
		if now := rpc.Encode(w.value); !bytes.Equal(now, g.Value) {
			t.Errorf("%s: entry %d (%s) is encoded as %x, the fixture is %x", what, g.Index, g.Key, now, g.Value)
		}
	}
}

// requireDecided checks the decision on an order in the state of the given entries.
func requireDecided(t *testing.T, entries []chain.Entry, o orders.Order, want orders.Kind) {
	t.Helper()
	if d, err := orders.Decide(entries, 1, o); err != nil || d.Kind != want {
		t.Errorf("%+v is decided as %+v (%v), want %v", o, d, err, want)
	}
}

// A data folder of an earlier release is read completely, row by row, and the node continues from it.
func TestDataFolderOfEarlierReleaseIsRead(t *testing.T) {
	if fixture.Missing(t, storedFolder) {
		writeStoredFolder(t, storedFolder)
	}
	dir := filepath.Join(t.TempDir(), "core")
	if err := os.CopyFS(dir, os.DirFS(storedFolder)); err != nil {
		t.Fatal(err)
	}
	peers := func(core *Server) Durable { // the peers have the committed entries of the fixture
		state := *core.node.chain.State()
		state.Entries, state.LastIndex = core.node.chain.Committed(0), state.Commit
		return Durable{Acceptor: view.Acceptor{View: core.node.View()}, State: state}
	}
	n := openNetwork(t, dir, peers)
	if id, fresh := n.core.db.Identity(); id != "277d5f06a3340b8f56797461e73ebd0a" || fresh {
		t.Errorf("the file's identity is %s, fresh %v", id, fresh)
	}
	if n.core.self != storedMembers[0] || n.core.incarnation != 4 {
		t.Errorf("the node is %+v in incarnation %d, want %+v in incarnation 4", n.core.self, n.core.incarnation, storedMembers[0])
	}
	rows := map[string]bool{}
	if err := n.core.db.Range("vote", nil, nil, func(k, _ []byte) error { rows[string(k)] = true; return nil }); err != nil {
		t.Fatal(err)
	}
	if want := map[string]bool{"self": true, "life": true, "acceptor": true, "meta": true}; !reflect.DeepEqual(rows, want) {
		t.Errorf("the table vote has the rows %v, want %v", rows, want)
	}
	d := n.core.node.Durable()
	if !reflect.DeepEqual(d.Acceptor, storedAcceptor()) {
		t.Errorf("the acceptor state is %+v, want %+v", d.Acceptor, storedAcceptor())
	}
	if got, want := [3]int64{d.State.ActivatedEpoch, d.State.LastIndex, d.State.Commit}, [3]int64{3, 44, 42}; got != want {
		t.Errorf("activated epoch, last index, commit are %v, want %v", got, want)
	}
	requireEntries(t, "opened first", d.State.Entries, storedEntries())
	committed := n.core.node.Chain().Committed(0)
	requireDecided(t, committed, orders.ReadConfig{}, orders.Found)
	requireDecided(t, committed, putOrderOf(3), orders.AlreadyApplied)
	requireDecided(t, committed, putOrderOf(4), orders.AlreadyApplied)
	requireDecided(t, committed, putOrderOf(21), orders.AlreadyApplied)
	requireDecided(t, committed, putOrderOf(22), orders.Accept) // on disk but not committed
	requireDecided(t, d.State.Entries, putOrderOf(22), orders.AlreadyApplied)
	requireDecided(t, committed, orders.StorePhase{Name: "store-0"}, orders.Complete)
	requireDecided(t, committed, orders.StorePhase{Name: "store-1"}, orders.Serving)
	requireDecided(t, committed, orders.RetireStore{Name: "store-5"}, orders.InProgress)

	n.until("the accepted view or a later one is decided and all entries are committed", n.allCaughtUp)
	epoch := n.core.node.View().Epoch
	if epoch <= d.Acceptor.View.Epoch {
		t.Errorf("epoch %d, want one above epoch %d", epoch, d.Acceptor.View.Epoch)
	}
	if d := n.decideOrder(putOrderOf(23)); d.Kind != orders.Accept {
		t.Errorf("a new configuration: %+v", d)
	}
	n.until("the new configuration is committed", n.allCaughtUp)
	n.close()

	n = openNetwork(t, dir, peers)
	defer n.close()
	d = n.core.node.Durable()
	lastIndex := storedEntries()[len(storedEntries())-1].index
	if d.Acceptor.View.Epoch != epoch || d.State.LastIndex != lastIndex+2 || n.core.incarnation != 5 {
		t.Errorf("opened again in incarnation %d: epoch %d, index %d; want 5, %d, %d", n.core.incarnation, d.Acceptor.View.Epoch, d.State.LastIndex, epoch, lastIndex+2)
	}
	requireDecided(t, d.State.Entries, putOrderOf(4), orders.AlreadyApplied)
	requireDecided(t, d.State.Entries, putOrderOf(23), orders.AlreadyApplied)
	requireDecided(t, d.State.Entries, orders.StorePhase{Name: "store-0"}, orders.Complete)
	var kept []storedEntry
	for _, e := range storedEntries() {
		if e.index != 39 && e.index != 40 { // compacted, since entries 43 and 44 with the same keys are committed
			kept = append(kept, e)
		}
	}
	config := &feed.ConfigEntry{Version: 23, Body: storedBody(23), RecentDigests: [][]byte{storedDigests[21]}}
	kept = append(kept, storedEntry{lastIndex + 1, "order/1", &orders.Page{Records: storedRecords(19, 23)}}, storedEntry{lastIndex + 2, "config", config})
	requireEntries(t, "opened again", d.State.Entries, kept)
}
