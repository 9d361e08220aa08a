package controlnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/fixture"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/rpc/rpctest"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/founding"
	"larchrouter/internal/tier/hosthealth"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/usage"
	"larchrouter/internal/tier/view"
)

const (
	sideRequest = "request"
	sideReply   = "reply"
	sideStored  = "stored" // the value of an entry of the control state or of a row on disk; its method is 0
)

// big exceeds 32 bits, so that the tests detect a field that is made narrower.
const big = 1 << 40

// encodedValue is the body of a frame or a stored value: the number of its method, a descriptive name, its side, and
// the decoded value.
type encodedValue struct {
	method rpc.Method
	name   string
	side   string
	value  any // pointer to a struct
}

func (e encodedValue) key() string { return fmt.Sprintf("%d %s %s", e.method, e.name, e.side) }

// messageKinds are the names of the kinds of messages between core nodes, by the numbers that are on the wire.
var messageKinds = []string{"heartbeat", "prepare", "promise", "accept", "accepted", "decide", "update", "ack", "confirm", "confirmed", "host list", "learn", "learned"}

// allEncoded returns a value of each kind that core nodes exchange with each other, with followers and with stores, and
// of each kind that core nodes store. Numbers are literals since they are on the wire.
func allEncoded() []encodedValue {
	host := discovery.Host{ID: "host", Service: "service", Addr: "addr", Zone: "zone", Capacity: big + 31, Phase: "phase", WarmupMs: big + 32, Models: []string{"model-1", "model-2"}}
	list := discovery.List{Term: big + 33, Number: big + 34, Hosts: []discovery.Host{host}}
	other := discovery.Host{ID: "host-2", Service: "service-2", Addr: "addr-2", Zone: "zone-2", Capacity: big + 41, Phase: "phase-2", WarmupMs: big + 42, Models: []string{"model-3"}}
	delta := discovery.Delta{FromTerm: big + 43, FromNumber: big + 44, Term: big + 45, Number: big + 46, Changed: []discovery.Host{other}, Removed: []string{"removed-1", "removed-2"}}
	entry := chain.Entry{Index: big + 51, Key: "entry-key", Value: []byte("entry-value")}
	store := turnstore.Store{ID: "store-id", Name: "store-name", Addr: "store-addr", Zone: "store-zone"}
	all := []encodedValue{
		{2, "follow", sideRequest, &feed.FollowRequest{Name: "name", Class: "class", AppliedIndex: big + 1, ActiveVersion: big + 2, HostListTerm: big + 3, HostListNumber: big + 4, WaitMs: big + 5}},
		{2, "follow", sideReply, &feed.FollowResponse{Confirmed: true, Index: big + 1, Entries: []chain.Entry{entry}, Hosts: []discovery.List{list}, Delta: []discovery.Delta{delta}, CoreAddrs: []string{"core-1", "core-2"}}},
		{3, "put", sideRequest, &feed.PutConfigRequest{IfMatch: big + 1, Body: []byte("body"), Forwarded: true}},
		{3, "put", sideReply, &feed.OperatorResponse{Status: big + 1, Text: "text", Body: []byte("body"), Location: "location"}},
		{4, "read", sideRequest, &feed.OperatorRequest{Name: "name", Forwarded: true}},
		{4, "read", sideReply, &feed.OperatorResponse{Status: big + 1, Text: "text", Body: []byte("body"), Location: "location"}},
		{5, "register", sideRequest, &feed.Registration{Store: store, Generation: big + 1, SweptGeneration: big + 2, Full: true, Forwarded: true}},
		{5, "register", sideReply, &feed.Empty{Unused: true}},
		{6, "retire", sideRequest, &feed.OperatorRequest{Name: "name", Forwarded: true}},
		{6, "retire", sideReply, &feed.OperatorResponse{Status: big + 1, Text: "text", Body: []byte("body"), Location: "location"}},
		{7, "phase", sideRequest, &feed.OperatorRequest{Name: "name", Forwarded: true}},
		{7, "phase", sideReply, &feed.OperatorResponse{Status: big + 1, Text: "text", Body: []byte("body"), Location: "location"}},
		{8, "status", sideRequest, &feed.Empty{Unused: true}},
		{8, "status", sideReply, fullStatus()},
		{9, "changes", sideRequest, &feed.ChangesRequest{Name: "name", Class: "class", AppliedIndex: big + 1, ReceivedIndex: big + 2, ActiveVersion: big + 3, HostListTerm: big + 4, HostListNumber: big + 5, WaitMs: big + 6,
			BaseValues: []feed.BaseValue{{Key: "held-key", Digest: []byte("held-digest")}}}},
		{9, "changes", sideReply, &feed.ChangesResponse{Confirmed: true, Index: big + 1, Entries: []chain.Entry{entry}, Patches: []feed.Patch{{Index: big + 2, Key: "patch-key", Delta: []byte("patch-delta")}},
			LargeValues: []feed.ValueRef{{Index: big + 3, Key: "large-key", Size: big + 4, Digest: []byte("large-digest")}},
			Hosts:       []discovery.List{list}, Delta: []discovery.Delta{delta}, CoreAddrs: []string{"core-1", "core-2"}}},
		{10, "piece", sideRequest, &feed.ChunkRequest{Name: "name", Digest: []byte("digest"), Offset: big + 1, Length: big + 2}},
		{10, "piece", sideReply, &feed.Chunk{Status: big + 1, Digest: []byte("digest"), Offset: big + 2, Data: []byte("bytes"), Final: true}},

		{11, "health", sideRequest, &feed.HealthReport{Name: "name", Observations: []hosthealth.Observation{{Host: "host-1", Failures: big + 1, Successes: big + 2}, {Host: "host-2", Failures: big + 3, Successes: big + 4}}, Forwarded: true}},
		{11, "health", sideReply, &feed.Empty{Unused: true}},
		{12, "usage", sideRequest, &feed.UsageReport{Name: "name", Incarnation: big + 1, Windows: []usage.Window{{Number: big + 2, Counts: []usage.TenantCount{{Tenant: "tenant-1", Count: big + 3}, {Tenant: "tenant-2", Count: big + 4}}}},
			Loads: []usage.ServiceLoad{{Service: "service", Zone: "zone", BusyMs: big + 5}}, Forwarded: true}},
		{12, "usage", sideReply, &feed.UsageReceipt{Collector: "collector", HeadAddr: "addr", TrueTimeMs: big + 1}},
		{13, "lease release", sideRequest, &feed.LeaseRelease{Epoch: big + 1, WaitMicros: big + 2}},
		{13, "lease release", sideReply, &feed.Empty{Unused: true}},
		{14, "clock", sideRequest, &feed.Empty{Unused: true}},
		{14, "clock", sideReply, &feed.ClockReading{UnixMicros: big + 1}},
		{15, "duties", sideRequest, &feed.OperatorRequest{Name: "name", Forwarded: true}},
		{15, "duties", sideReply, fullTaskStatus()},
		{16, "stop", sideRequest, &feed.StopStoreRequest{ID: "store-id", Forwarded: true}},
		{16, "stop", sideReply, &feed.StopStoreResponse{MayStop: true, Placed: true}},
		{17, "founding", sideRequest, &feed.Empty{Unused: true}},
		{17, "founding", sideReply, &founding.Report{Phase: big, Seeds: []string{"10.1.0.2:2", "10.1.0.3:2"}}},
		{18, "first start", sideRequest, &founding.Witness{ID: "store-id", Seeds: []string{"10.1.0.2:2", "10.1.0.3:2"}}},
		{18, "first start", sideReply, &feed.Empty{Unused: true}},

		{0, "configuration", sideStored, &feed.ConfigEntry{Version: big + 1, Body: []byte("body"), RecentDigests: [][]byte{[]byte("digest-1"), []byte("digest-2")}}},
		{0, "placement", sideStored, &turnstore.Placement{Generation: big + 1, ReplicationFactor: big + 2, DurableReplicas: big + 3, FaultTolerance: big + 4, Old: []turnstore.Store{store},
			New: []turnstore.Store{{ID: "store-id-2", Name: "store-name-2", Addr: "store-addr-2", Zone: "store-zone-2"}}, SweptIDs: []string{"done-1", "done-2"}}},
		{0, "store count", sideStored, &feed.StoreCountEntry{Initial: big + 1}},
		{0, "retirement", sideStored, &feed.RetireEntry{ID: "store-id"}},
		{0, "page of orders", sideStored, &orders.Page{Records: []orders.Record{{Sequence: big + 1, Version: big + 2, BaseVersion: big + 3, Digest: []byte("digest-1")},
			{Sequence: big + 4, Version: big + 5, BaseVersion: big + 6, Digest: []byte("digest-2")}}}},
		{0, "earlier orders", sideStored, &orders.LegacyHistory{Version: big + 1, Digests: [][]byte{[]byte("digest-1"), []byte("digest-2")}, Complete: true}},
		{0, "token base", sideStored, &orders.FencingTokenBaseEntry{Base: big + 1}},
		{0, "usage", sideStored, &orders.UsageEntry{Window: big + 1, Body: []byte("body")}},
		{0, "entry", sideStored, &entry},
		{0, "acceptor", sideStored, &view.Acceptor{View: fullView("a", 100), Promised: view.Ballot{Number: big + 1, Proposer: "promised"}, AcceptedBallot: view.Ballot{Number: big + 2, Proposer: "accepted"}, Accepted: fullView("b", 200)}},
		{0, "meta", sideStored, &chainMeta{ActivatedEpoch: big + 1, LastIndex: big + 2, Commit: big + 3}},
	}
	for number, kind := range messageKinds {
		all = append(all, encodedValue{1, "peer, " + kind, sideRequest, &Message{
			Kind: number, From: view.Member{ID: "from-id", Name: "from-name", Addr: "from-addr"}, Incarnation: big + 1, Epoch: big + 2, Promised: true, Leaving: true, ConfirmationRound: big + 3,
			Echoes: []Echo{{ID: "echo-1", Incarnation: big + 4, ConfirmationRound: big + 5}, {ID: "echo-2", Incarnation: big + 6, ConfirmationRound: big + 7}},
			Ballot: view.Ballot{Number: big + 8, Proposer: "ballot-by"}, AcceptedBallot: view.Ballot{Number: big + 9, Proposer: "accepted-by"}, View: fullView("m", 100), ActivatedEpoch: big + 10,
			Update: chain.Update{Epoch: big + 11, Base: big + 12, After: chain.Position{LastIndex: big + 13, PartialIndex: big + 14, PartialBytes: big + 15},
				Fragments: []chain.Fragment{{Index: big + 16, Key: "fragment-key", ValueSize: big + 17, Checksum: big + 18, Offset: big + 19, Data: []byte("data")}},
				Complete:  true, Through: big + 20, Commit: big + 21},
			Ack:   chain.Ack{Epoch: big + 22, LastIndex: big + 23, Commit: big + 24, CommitIsCurrent: true, Active: true, Received: chain.Position{LastIndex: big + 25, PartialIndex: big + 26, PartialBytes: big + 27}},
			Hosts: []discovery.List{list}, Delta: []discovery.Delta{delta}, HostListTerm: big + 61, HostListNumber: big + 62,
			Handover: []placement.Observations{{Generation: big + 63, GenerationAge: big + 64, Unresponsive: []placement.UnresponsiveStore{{ID: "silent-1", Elapsed: big + 65}, {ID: "silent-2", Elapsed: big + 66}}}},
		}})
	}
	return all
}

// boolMessages distinguish the booleans of a struct, all of which are true in allEncoded.
var boolMessages = []encodedValue{
	{1, "peer, sealed", sideRequest, &Message{Promised: true}},
	{1, "peer, leaving", sideRequest, &Message{Leaving: true}},
	{1, "peer, known", sideRequest, &Message{Ack: chain.Ack{CommitIsCurrent: true}}},
	{1, "peer, active", sideRequest, &Message{Ack: chain.Ack{Active: true}}},
	{5, "register, full", sideRequest, &feed.Registration{Full: true}},
	{5, "register, relayed", sideRequest, &feed.Registration{Forwarded: true}},
	{8, "status, sealed", sideReply, &Status{Promised: true}},
	{8, "status, fresh", sideReply, &Status{Fresh: true}},
	{8, "status, joint", sideReply, &Status{PlacementJoint: true}},
	{16, "stop, may", sideReply, &feed.StopStoreResponse{MayStop: true}},
	{16, "stop, placed", sideReply, &feed.StopStoreResponse{Placed: true}},
	{15, "duties, held", sideReply, &TaskStatus{Held: true}},
	{15, "duties, usage expected", sideReply, &TaskStatus{Usage: UsageTaskStatus{Expected: true}}},
	{15, "duties, scale expected", sideReply, &TaskStatus{Scale: ScaleTaskStatus{Expected: true}}},
	{15, "duties, late", sideReply, &TaskStatus{Usage: UsageTaskStatus{Unacknowledged: []WindowStatus{{Late: true}}}}},
}

func fullView(name string, n int64) view.View {
	return view.View{Epoch: big + n, Voters: []view.Member{{ID: name + "-id-1", Name: name + "-name-1", Addr: name + "-addr-1"}, {ID: name + "-id-2", Name: name + "-name-2", Addr: name + "-addr-2"}},
		Chain: []view.ChainMember{{ID: name + "-link-1", JoinedEpoch: big + n + 1}, {ID: name + "-link-2", JoinedEpoch: big + n + 2}}}
}

func fullStatus() *Status {
	return &Status{Node: "node", Epoch: big + 1, Head: "head", Tail: "tail", Chain: []string{"chain-1", "chain-2"}, Voters: []Voter{{ID: "voter-id", Name: "voter-name", Addr: "voter-addr", SinceLastMessageMs: big + 2}},
		Promised: true, Fresh: true, LastIndex: big + 3, Commit: big + 4, ConfigVersion: big + 5, Hosts: big + 6, PlacementGeneration: big + 7, PlacementJoint: true,
		Stores: []turnstore.Store{{ID: "store-id", Name: "store-name", Addr: "store-addr", Zone: "store-zone"}}, FullStores: []string{"full-1", "full-2"},
		UnresponsiveStores: []UnresponsiveStore{{ID: "silent-id", Name: "silent-name", Addr: "silent-addr", SinceRegistrationMs: big + 8}}, StoresRequired: big + 9,
		Followers: []FollowerStatus{{Name: "follower-name", Class: "follower-class", ActiveVersion: big + 10, AppliedIndex: big + 11, SinceLastPollMs: big + 12}}, Role: "role",
		Transfers: []Transfer{{To: "to", LastIndex: big + 13, Target: big + 14, Bytes: big + 15}}}
}

func fullTaskStatus() *TaskStatus {
	outcomes := func(n int64) PlatformCallCounts {
		return PlatformCallCounts{Accepted: n, Refused: n + 1, Busy: n + 2, Invalid: n + 3, NotSent: n + 4, Unknown: n + 5}
	}
	call := func(name string, n int64) []PlatformCallStatus {
		return []PlatformCallStatus{{Time: name + "-time", AgeMs: n, Path: name + "-path", Token: n + 1, Outcome: name + "-outcome", Body: name + "-body"}}
	}
	return &TaskStatus{Node: "node", Head: "head", Epoch: big + 1, Held: true, Holder: "holder", Token: big + 2, LeftMs: big + 3, WaitMs: big + 4, Cause: "cause", StepAgeMs: big + 5, ClockOffsetMs: big + 6,
		Usage: UsageTaskStatus{Expected: true, Unacknowledged: []WindowStatus{{Window: big + 7, EndedMs: big + 8, Late: true}}, LastRecorded: big + 9, LastAcknowledged: big + 10,
			Outcomes: outcomes(big + 20), Calls: call("usage", big+30)},
		Scale: ScaleTaskStatus{Expected: true, RecentFronts: big + 40, KnownFronts: big + 41, Subjects: []ScaleSubjectStatus{{Service: "service", Zone: "zone", InForce: big + 42, Listed: big + 43, Min: big + 44, Max: big + 45, Concurrency: 1.5}},
			Outcomes: outcomes(big + 50), Calls: call("scale", big+60)},
		Outcomes: outcomes(big + 70)}
}

// The encoding of each message and stored value must stay that of the fixtures, for compatibility with earlier releases.
// Avro encodes fields in their order and without names, so that only this test detects a field that was moved, added,
// dropped or given another type.
func TestFramesKeepTheirBytes(t *testing.T) {
	path := filepath.Join("testdata", "frames.txt")
	var full, single []any
	for _, e := range allEncoded() {
		rpctest.RequireAllSet(t, e.key(), e.value, ".Kind") // kinds of a Message start with 0
		full = append(full, e.value)
	}
	for _, e := range boolMessages {
		single = append(single, e.value)
	}
	rpctest.RequireBoolsDistinguished(t, full, single)
	fixtures := rpctest.Open(t, path)
	for _, e := range slices.Concat(allEncoded(), boolMessages) {
		fixtures.Compare(t, e.key(), e.value)
	}
	fixtures.RequireAllCompared(t)
}

// openSingleCore opens the only core node of a cluster, which decides by itself, and waits until it is the head. It
// serves no port.
func openSingleCore(t *testing.T) *Server {
	t.Helper()
	text := fmt.Sprintf("node_name: core-1\nip_addr: 127.0.0.1\nzone_name: z\nregion_name: r\nzones: {z: r}\nbind_addrs: {control_addr: '127.0.0.1:20000'}\n"+
		"port_range: [20001, 20010]\nseed_nodes: ['127.0.0.1:20000']\nbootstrap: true\ndata_dir: '%s'\nlimits: {memory_mb: 64, max_fds: 256, disk_mb: 64}\n", t.TempDir())
	s, err := process.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c, err := Open(s, process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	c.wg.Go(func() { _ = c.eventLoop() })
	t.Cleanup(func() {
		c.stop()
		c.clients.Close()
		c.wg.Wait()
		_ = c.db.Close()
	})
	for end := time.Now().Add(5 * time.Second); !c.isHead.Load(); c.sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the only core node is not the head after 5 s")
		}
	}
	return c
}

// Each method that a core node serves has fixtures, whose types are those of its request and its reply.
func TestEachMethodHasFixtures(t *testing.T) {
	find := func(method rpc.Method, side string) any {
		for _, e := range allEncoded() {
			if e.method == method && e.side == side {
				return e.value
			}
		}
		t.Errorf("method %d has no %s among the fixtures", method, side)
		return nil
	}
	const peerMessage = 1 // has no reply
	c := openSingleCore(t)
	handlers := c.handlers()
	for method, handle := range handlers {
		if method == peerMessage {
			continue
		}
		call, want := find(method, sideRequest), find(method, sideReply)
		if call == nil || want == nil {
			continue
		}
		got, err := handle(t.Context(), rpc.Encode(call))
		if err != nil {
			t.Errorf("method %d: %v", method, err)
		} else if reflect.TypeOf(got) != reflect.TypeOf(want) {
			t.Errorf("method %d replies with %T, the fixture is a %T", method, got, want)
		}
	}
	c.stop()
	c.wg.Wait() // so that the peer message is not handled
	if got, err := handlers[peerMessage](t.Context(), rpc.Encode(find(peerMessage, sideRequest))); got != nil || err != nil {
		t.Errorf("a peer message returns %v, %v", got, err)
	}
	for _, e := range allEncoded() {
		if e.method != 0 && handlers[e.method] == nil {
			t.Errorf("no handler serves %s", e.key())
		}
	}
}

// The numbers of methods, message kinds and chunk statuses are on the wire.
func TestWireNumbersAreUnchanged(t *testing.T) {
	methods := []rpc.Method{feed.PeerCall, feed.FollowCall, feed.PutConfigCall, feed.ReadConfigCall, feed.RegisterCall, feed.RetireStoreCall, feed.StorePhaseCall, feed.StatusCall, feed.ChangesCall, feed.ChunkCall,
		feed.HealthCall, feed.UsageCall, feed.LeaseReleaseCall, feed.ClockCall, feed.TaskStatusCall, feed.StopStoreCall, feed.FoundingCall, feed.FirstStartCall}
	if want := []rpc.Method{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18}; !reflect.DeepEqual(methods, want) {
		t.Errorf("methods are %v, want %v", methods, want)
	}
	kinds := []int{msgHeartbeat, msgPrepare, msgPromise, msgAccept, msgAccepted, msgDecide, msgChainUpdate, msgChainAck, msgConfirm, msgConfirmed, msgHostList, msgLearnerUpdate, msgLearnerAck}
	if want := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}; !reflect.DeepEqual(kinds, want) {
		t.Errorf("message kinds are %v, want %v", kinds, want)
	}
	statuses := []int{feed.ChunkServed, feed.ChunkUnknown, feed.ChunkBusy}
	if want := []int{0, 1, 2}; !reflect.DeepEqual(statuses, want) {
		t.Errorf("chunk statuses are %v, want %v", statuses, want)
	}
}

// Operators and larch-control get the status of a core node as JSON, whose keys must not change.
func TestStatusKeepsItsJSON(t *testing.T) {
	path := filepath.Join("testdata", "status.json")
	now, err := json.MarshalIndent(fullStatus(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	now = append(now, '\n')
	if fixture.Missing(t, path) {
		fixture.File(t, path, now)
	}
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(now, old) {
		t.Errorf("the status is\n%s\nthe fixture is\n%s", now, old)
	}
	var got Status
	if err := json.Unmarshal(old, &got); err != nil || !reflect.DeepEqual(&got, fullStatus()) {
		t.Errorf("the fixture of the status is decoded as %+v (%v)", got, err)
	}
}

// Operators and larch-control get the outcome of an order as JSON, whose keys must not change.
func TestRepliesKeepTheirJSON(t *testing.T) {
	for _, one := range []struct {
		reply feed.OperatorResponse
		want  string
	}{
		{feed.OperatorResponse{Status: 409, Text: "a reason"}, `{"message":"a reason"}`},
		{*replyFor(orders.Decision{Kind: orders.Serving}), `{"phase":"serving"}`},
		{*replyFor(orders.Decision{Kind: orders.Complete}), `{"phase":"complete"}`},
	} {
		w := httptest.NewRecorder()
		writeReply(w, &one.reply)
		if got := w.Body.String(); got != one.want || w.Code != one.reply.Status {
			t.Errorf("response %d %s, want %s", w.Code, got, one.want)
		}
	}
}
