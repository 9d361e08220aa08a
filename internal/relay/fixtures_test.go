package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fixture"
	"larchrouter/internal/relay/drain"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/override"
	"larchrouter/internal/relay/quota"
)

// frozenTime is in the year 2100: pending messages have not expired, and ended ones are not too old, whenever the test runs.
const frozenTime = 4102444800000

var (
	frozenPartner = Partner{Name: "acme", Number: 7, Kind: "bank", Classes: []string{"payment"},
		Endpoints: []Endpoint{{ID: "acme-1", Address: "127.0.0.1:1", Zone: "north"}, {ID: "acme-2", Address: "127.0.0.1:2", Zone: "south"}},
		Limit:     &quota.Limit{Rate: 3.5, Burst: 4.5, MaxConcurrent: 5}}
	frozenClass = choice.Class{Name: "payment", Aim: time.Second, Deadline: 2 * time.Second, Worth: 3.5, LateShare: 0.25, Effect: choice.Unsafe,
		SameZone: true, Window: 4 * time.Second, Ordered: true}
	frozenKind  = choice.Kind{Apart: true, PerCall: 6}
	frozenRules = choice.Rules{AnswerGrace: time.Millisecond, DrainGrace: 2 * time.Millisecond, OverloadFactor: 3.5, Fall: 4 * time.Second,
		ColdFrom: 0.5, Cold: 6 * time.Second, OrderSettle: 7 * time.Second}
	frozenWords = []override.Override{
		{Subject: "endpoint:acme-2", Active: true, Counter: 4, Origin: "r2", Author: "op-a", AtMs: frozenTime + 1},
		{Subject: "gone:r3", Active: true, Counter: 5, Origin: "r3", Author: "op-b", AtMs: frozenTime + 2},
		{Subject: "partner:other", Counter: 6, Origin: "r1", Author: "op-c", AtMs: frozenTime + 3}}
)

// frozenConfig configures a standalone relay, the first of a fleet of three.
func frozenConfig(t *testing.T, state string) Config {
	t.Helper()
	conf, err := readTestConfig(t, testConfig(t, newPlatform(t)), state)
	if err != nil {
		t.Fatal(err)
	}
	conf.Known = hostList{}
	conf.Standalone = &Standalone{Version: "build-1", Partners: []Partner{frozenPartner}, MaxEnds: 10, EndsExpiry: time.Hour, StopTimeout: time.Second,
		Fleet: []string{"r1", "r2", "r3"}}
	conf.Peers = []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"}
	set := &conf.Settings
	set.Index, set.Fleet, set.Weights = 0, 3, []int{1, 2, 3}
	set.Classes, set.Kinds, set.KindNames = []choice.Class{frozenClass}, []choice.Kind{frozenKind}, []string{"bank"}
	set.Rules, set.Zones, set.ZoneFee = frozenRules, []string{"north", "south"}, []float64{0, 0.125}
	set.Limits = Limits(conf.Standalone.Partners)
	return conf
}

// newRelay returns a relay that is not served: the test acts as its loop.
func newRelay(t *testing.T, conf Config) *Relay {
	t.Helper()
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Abandon)
	return r
}

// writeFrozenState has a relay record drains, overrides, and messages as it admits and ends them.
func writeFrozenState(t *testing.T, dir string) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	r, err := New(frozenConfig(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Abandon()
	for _, target := range []string{"endpoint:acme-1", "relay"} {
		parsed, err := drain.ParseTarget(target)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.applyDrainChange(func() (drain.Change, error) {
			return r.standalone.drains.Drain(parsed, "op of "+target, 30*time.Second, true, time.UnixMilli(frozenTime))
		}); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.recordOverrides(frozenWords); err != nil {
		t.Fatal(err)
	}
	entry := func(id string) *journal.Entry {
		return &journal.Entry{ID: id, Class: "payment", Dest: 7, Key: "key of " + id, Effect: 1 + int(choice.Unsafe), Due: frozenTime + 60000,
			Body: []byte("body of " + id), Partner: "acme", TakenAt: frozenTime, Bytes: 10}
	}
	if err := r.journal.Append(
		journal.Record{Op: journal.OpTaken, Entry: entry("held")},
		journal.Record{Op: journal.OpTry, ID: "held", At: frozenTime + 1, Wait: 300, Zone: 1, Host: "acme-1"},
		journal.Record{Op: journal.OpOutcome, ID: "held", Wait: 12, Why: "refused"},
		journal.Record{Op: journal.OpTaken, Entry: entry("refused")},
		journal.Record{Op: journal.OpNotice, ID: "refused", Status: deferred, Again: frozenTime + 2, At: frozenTime + 3, Why: "its time was up"},
		journal.Record{Op: journal.OpTaken, Entry: entry("failed")},
		journal.Record{Op: journal.OpNotice, ID: "failed", Status: undeliverable, At: frozenTime + 4, Why: "it may have run"},
		journal.Record{Op: journal.OpTaken, Entry: entry("delivered")},
		journal.Record{Op: journal.OpNotice, ID: "delivered", Status: delivered, At: frozenTime + 5},
		journal.Record{Op: journal.OpTaken, Entry: entry("over")},
		journal.Record{Op: journal.OpEnd, ID: "over", At: frozenTime + 6},
		journal.Record{Op: journal.OpHealth, ID: "acme-2", Ran: true, Base: 2.5, At: frozenTime + 7},
	); err != nil {
		t.Fatal(err)
	}
}

// frozenState returns the path of the fixture.
func frozenState(t *testing.T) string {
	dir := filepath.Join("testdata", "state-format-2")
	if fixture.Missing(t, dir) {
		writeFrozenState(t, dir)
	}
	return dir
}

// Records mean the same to the next build: drains, overrides, messages and ends.
func TestStateFolderMatchesFrozenFixture(t *testing.T) {
	dir, present := frozenState(t), t.TempDir()
	writeFrozenState(t, present)
	if got, want := fixture.Folder(t, present), fixture.Folder(t, dir); !reflect.DeepEqual(got, want) {
		t.Errorf("the present code writes\n%q, want\n%q", got, want)
	}
}

// A standalone relay takes over everything in a state folder.
func TestTakesOverFrozenFolder(t *testing.T) {
	r := newRelay(t, frozenConfig(t, fixture.Copy(t, frozenState(t))))
	var marks []string
	for _, m := range r.standalone.drains.Entries() {
		marks = append(marks, fmt.Sprint(m.Target, " by ", m.RequestedBy, " at ", m.Since.UnixMilli(), " within ", m.Timeout))
	}
	want(t, "drains", fmt.Sprint(marks), "[endpoint:acme-1 by op of endpoint:acme-1 at 4102444800000 within 0s relay by op of relay at 4102444800000 within 30s]")
	phase, _ := r.standalone.drains.Phase()
	want(t, "phase", string(phase), "draining")
	want(t, "endpoint drained by the fleet is open", r.standalone.drains.Open("acme-2"), false)
	if words := r.cluster.gossiper.Store().All(); !reflect.DeepEqual(words, frozenWords) {
		t.Errorf("words %+v, want %+v", words, frozenWords)
	}
	want(t, "relays that are gone", fmt.Sprint(r.cluster.gone), "[2]")
	want(t, "pending messages", len(r.pending), 1)
	e := *r.pending["held"].Entry
	want(t, "pending message", fmt.Sprintln(e.ID, e.Class, e.Dest, e.Key, e.Effect, e.Due, string(e.Body), e.Partner, e.TakenAt, e.Bytes, e.Tries, e.Wait, e.Ran, e.Out, e.Log),
		"held payment 7 key of held 3 4102444860000 body of held acme 4102444800000 10 1 300 false false [{acme-1 4102444800001 12 refused false}]\n")
	for id, text := range map[string]string{"refused": "deferred 4102444800002 4102444800003 its time was up", "failed": "undeliverable 0 4102444800004 it may have run",
		"delivered": "delivered 0 4102444800005 "} {
		e := r.standalone.ends.Get(id)
		if e == nil {
			t.Fatalf("the end of %s is not kept", id)
		}
		want(t, "end of "+id, fmt.Sprint(e.Status, " ", e.Again, e.EndAt, " ", e.Why), text)
	}
	ended := r.journal.CompletedIDs()
	want(t, "ids that have ended", fmt.Sprint(len(ended), " ", ended[0].ID, " ", ended[0].At), "1 over 4102444800006")
	want(t, "base of an endpoint in an outage", r.journal.Unhealthy["acme-2"].Base, 2.5)
}

// A relay under a platform owes notices for what a standalone one stores as ends.
func TestPlatformRelayTakesOverFrozenFolder(t *testing.T) {
	conf := frozenConfig(t, fixture.Copy(t, frozenState(t)))
	conf.Standalone = nil
	r := newRelay(t, conf)
	want(t, "pending messages", len(r.pending), 1)
	if owed := []notice{{ID: "refused", Status: "deferred", Again: frozenTime + 2}, {ID: "failed", Status: "undeliverable"}}; !reflect.DeepEqual(r.unsentNotices, owed) {
		t.Errorf("notices owed %+v, want %+v", r.unsentNotices, owed)
	}
}

// Relays of different builds with the same files have the same digests. These are of JSON with the names of Go fields.
func TestDigestsMatchFrozenValues(t *testing.T) {
	var present []fixture.Line
	for _, d := range []struct {
		name  string
		value any
	}{{"partners", []Partner{frozenPartner}}, {"class", frozenClass}, {"kind", frozenKind}, {"rules", frozenRules}} {
		data, err := json.Marshal(d.value)
		if err != nil {
			t.Fatal(err)
		}
		present = append(present, fixture.Line{Name: d.name, Text: string(data)})
	}
	old := fixture.Lines(t, "testdata/digested-v1.txt", present)
	want(t, "lines in the file", len(old), len(present))
	for _, p := range present {
		if old[p.Name] != p.Text {
			t.Errorf("%s: digested as\n%s, want\n%s", p.Name, p.Text, old[p.Name])
		}
	}
	if unset := fixture.Unset(frozenPartner, frozenClass, frozenKind, frozenRules); len(unset) > 0 {
		t.Errorf("no value sets %v", unset)
	}
	acts := newRelay(t, frozenConfig(t, t.TempDir())).cluster.gossiper.ActiveVersions(0)
	wanted := []override.ActiveVersion{{Kind: 1, Version: 3837147583}, {Kind: 2, Version: 3183409465}, {Kind: 3, Version: 3447108203}, {Kind: 4, Version: 1943657945}}
	if !reflect.DeepEqual(acts, wanted) {
		t.Errorf("the relay says that it acts on %+v, want %+v", acts, wanted)
	}
}

// The messages between a relay and its platform, and the list of hosts in a handover, do not change.
func TestPlatformMessagesMatchFrozenFixtures(t *testing.T) {
	l := hostList{Version: 1, Full: true, Servers: []hostEntry{{ID: "s-2", Addr: "127.0.0.1:3", Zone: "north", Kind: "bank", Cell: 4, State: "active", Weight: 5.5}}}
	notices := []notice{{ID: "m1", Status: "deferred", Again: 2}, {ID: "m3", Status: "undeliverable"}}
	posted := make(chan string, 1)
	agentServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		posted <- req.Method + " " + req.RequestURI + " " + string(body)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer agentServer.Close()
	a := &agent{addrs: []string{agentServer.Listener.Addr().String()}, ctx: t.Context(), client: agentServer.Client()}
	if status, err := postNoticeBatch(a, notices); status != http.StatusNoContent || err != nil {
		t.Fatal(status, err)
	}
	listText, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	present := []fixture.Line{{Name: "list", Text: string(listText)}, {Name: "notices", Text: fmt.Sprintf("%q", wait(t, posted, "notice"))}}
	old := fixture.Lines(t, "testdata/platform-v1.txt", present)
	want(t, "lines in the file", len(old), len(present))
	for _, p := range present {
		want(t, p.Name, p.Text, old[p.Name])
	}
	var got hostList
	dec := json.NewDecoder(strings.NewReader(old["list"]))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&got); err != nil || !reflect.DeepEqual(got, l) {
		t.Errorf("the list is decoded as %+v, %v, want %+v", got, err, l)
	}
	if unset := fixture.Unset(l, notices); len(unset) > 0 {
		t.Errorf("no form sets %v", unset)
	}
}

// Every key of the platform's configuration is still read: a key that is not leaves its field at 0.
func TestConfigMatchesFrozenFile(t *testing.T) {
	text := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","admin":"127.0.0.1:3","seed":"4a",
		"limits":{"cores":5.5,"memory_mb":6.5,"sockets":64,"disk_mb":8.5},"peer_listen":"127.0.0.1:9","peers":["127.0.0.1:10","127.0.0.1:11"],
		"known":{"version":12,"full":true,"servers":[{"id":"s-13"}]},"settings":` + testSettings + `}`
	conf, err := readTestConfig(t, []byte(text), "state-14")
	if err != nil {
		t.Fatal(err)
	}
	conf.file = nil
	frozen := Config{Listen: "127.0.0.1:1", Discovery: []string{"127.0.0.1:2"}, Admin: "127.0.0.1:3", Seed: 0x4a, Cores: 5.5, MemoryMB: 6.5, Sockets: 64, DiskMB: 8.5,
		PeerListen: "127.0.0.1:9", Peers: []string{"127.0.0.1:10", "127.0.0.1:11"}, State: "state-14", Settings: conf.Settings, // see package settings
		Known: hostList{Version: 12, Full: true, Servers: []hostEntry{{ID: "s-13"}}}}
	if !reflect.DeepEqual(conf, frozen) {
		t.Errorf("read as\n%+v, want\n%+v", conf, frozen)
	}
	env := map[string]string{"BALANCER_CONFIG": filepath.Join(t.TempDir(), "config"), "BALANCER_LISTEN": "127.0.0.1:15", "BALANCER_DISCOVERY": "127.0.0.1:16",
		"BALANCER_ADMIN": "127.0.0.1:17", "BALANCER_STATE": "state-18"}
	if err := os.WriteFile(env["BALANCER_CONFIG"], []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conf, err = ReadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	want(t, "values of the variables", fmt.Sprint(conf.Listen, conf.Discovery, conf.Admin, conf.State), "127.0.0.1:15[127.0.0.1:16 127.0.0.1:2]127.0.0.1:17state-18")
}

// Names and numbers that are stored, or sent to others, do not change.
func TestNamesMatchFrozenTexts(t *testing.T) {
	want(t, "statuses", strings.Join([]string{undeliverable, deferred, delivered}, " "), "undeliverable deferred delivered")
	want(t, "subject of a relay that is gone", goneSubject("r1"), "gone:r1")
	want(t, "effects", fmt.Sprint(int(choice.Safe), int(choice.Keyed), int(choice.Unsafe)), "0 1 2")
	names := [...]string{"delivered", "error", "refused", "timed out", "no connection", "reset", "called off", "not sent", "spoilt answer"}
	want(t, "number of outcomes", len(outcomeNames), len(names))
	for number, name := range names {
		want(t, fmt.Sprint("outcome ", number), outcomeNames[choice.Outcome(number)], name)
	}
}
