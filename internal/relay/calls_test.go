package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

func TestMessagesShareACall(t *testing.T) {
	bodies := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + "\n" + string(b)
		w.Header().Set("Retry-After", "0.5")
		io.WriteString(w, "a ok\r\nb error\r\nc later\r\nd gone\r\ne exhausted\r\nf ok\r\n")
	}))
	defer s.Close()
	r := &Relay{pool: httpcall.NewPool(time.Second, time.Minute, 64)}
	r.startedAt, r.inbox = time.Now(), make(chan func(), 1)
	r.callsContext = context.Background()
	c := &call{host: &host{Host: httpcall.Host{Addr: s.Listener.Addr().String()}}}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		c.members = append(c.members, &message{Entry: &journal.Entry{ID: id, Key: strings.Repeat("k", len(c.members)), Body: []byte("\r\n" + id)},
			deadline: time.Hour, ended: true})
		c.sends = append(c.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
	}
	r.startCall(c)
	want(t, "start of the request", strings.HasPrefix(wait(t, bodies, "call"), "/receive-many\na - 3\r\n\r\na\r\nb k 3\r\n"), true)
	wait(t, r.inbox, "result")()
	var got []choice.Outcome
	for _, e := range r.events {
		got = append(got, e.(choice.Result).Outcome)
		want(t, "wait", e.(choice.Result).Wait, 500*time.Millisecond)
	}
	if !slices.Equal(got, []choice.Outcome{choice.Served, choice.Error, choice.Refused, choice.NotSent, choice.NotSent, choice.Served}) {
		t.Fatalf("outcomes %v", got)
	}
	want(t, "end of the fourth", r.events[3].(choice.Result).Done, true)
	want(t, "end of the fifth", r.events[4].(choice.Result).Done, false)
}

// The message with the latest deadline begins a shared call, so that the first member is the last to expire. A member whose
// deadline passes before the call has its connection is not sent, and does not count as one that may have run.
func TestDeadlineDuringSharedCall(t *testing.T) {
	bodies := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- string(b)
		<-req.Context().Done()
	}))
	defer s.Close()
	r := &Relay{pool: httpcall.NewPool(time.Second, time.Minute, 64), startedAt: time.Now(), inbox: make(chan func(), 10)}
	ctx, end := context.WithCancel(t.Context())
	r.callsContext = ctx
	c := &call{host: &host{Host: httpcall.Host{Addr: s.Listener.Addr().String()}}}
	for id, due := range map[string]time.Duration{"a": 2 * time.Hour, "b": time.Hour, "c": 4 * time.Hour, "d": 3 * time.Hour} {
		c.members = append(c.members, &message{Entry: &journal.Entry{ID: id}, deadline: due})
		c.sends = append(c.sends, choice.Send{ID: id, Timeout: due})
	}
	r.startCall(c)
	want(t, "request", wait(t, bodies, "call"), "c - 0\r\n\r\nd - 0\r\n\r\na - 0\r\n\r\nb - 0\r\n\r\n")
	for i, m := range c.members {
		want(t, "send of its message", c.sends[i].ID, m.ID)
	}

	waits := httpcall.NewCall(&c.host.Host, time.Hour, make([]httpcall.Message, 4)...)
	r.expireMember(waits, c, 3, time.Hour)
	want(t, "outcome before the first byte", r.events[0].(choice.Result).Outcome, choice.NotSent)
	want(t, "possibly run", c.members[3].mayHaveRun, false)
	r.expireMember(waits, c, 3, time.Hour) // it is in no call any more
	want(t, "outcomes", len(r.events), 1)
	end()
	wait(t, r.inbox, "end of the call")
}

// A body over 64 KiB, which a host need not accept, is avoided: sends that do not fit one call go in another.
func TestLargeMessagesDoNotShareACall(t *testing.T) {
	r := &Relay{pool: httpcall.NewPool(time.Second, time.Minute, 64)}
	r.startedAt, r.inbox, r.callsContext = time.Now(), make(chan func(), 10), context.Background()
	r.journal = newJournal(t)
	h := &host{id: "s-1", Host: httpcall.Host{Addr: "127.0.0.1:1"}, dest: 7, perCall: 5}
	r.hosts, r.pending = map[string]*host{"s-1": h}, map[string]*message{}
	var sends []choice.Send
	for i, size := range []int{maxBody, maxBody / 2, 10} {
		id := fmt.Sprint("m", i)
		e := &journal.Entry{ID: id, Class: "payment", Dest: 7, Body: make([]byte, size)}
		if err := r.journal.Append(journal.Record{Op: journal.OpTaken, Entry: e}); err != nil {
			t.Fatal(err)
		}
		r.pending[id] = &message{Entry: e, deadline: time.Hour}
		sends = append(sends, choice.Send{ID: id, Host: "s-1", Timeout: time.Minute})
	}
	r.commit(sends)
	want(t, "calls", r.callsInFlight, 2)
	want(t, "messages in the second", len(r.pending["m1"].call.members), 2)
}

// A new host does not get the connections of a gone one at its address, and connections of gone hosts are closed.
func TestConnectionsCloseWithTheirHost(t *testing.T) {
	ended := make(chan bool, 10)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			ended <- true
		}
	}
	s.Start()
	defer s.Close()
	addr := s.Listener.Addr().String()
	r := &Relay{pool: httpcall.NewPool(time.Second, time.Minute, 64), hosts: map[string]*host{}, destinationSeen: map[int]time.Duration{},
		sharedWaits: map[int]*httpcall.Waits{},
		journal:     &journal.Journal{}}
	for version, id := range []string{"s-1", "s-2"} {
		r.applyHostList(hostList{int64(version), true, []hostEntry{at(id, addr, "taller")}})
		got, _, _ := r.pool.Exchange(t.Context(), httpcall.NewCall(&r.hosts[id].Host, 20*time.Second, httpcall.Message{ID: "m1"}))
		want(t, "outcome", got[0].Outcome, choice.Served)
		want(t, "connections open", r.pool.Open(), 1)
	}
	wait(t, ended, "close of the gone one's connection")
	r.applyHostList(hostList{3, false, []hostEntry{{ID: "s-2", Addr: addr, Cell: 7, State: "leaving"}}})
	wait(t, ended, "close of the leaving one's connection")
	want(t, "connections open", r.pool.Open(), 0)
}

// A keyed message that may have run is retried while its key is remembered, by the journal's record of its first such
// attempt; others are retried at any time.
func TestRetriesEndWithKeyWindow(t *testing.T) {
	r := &Relay{}
	r.classes.Store(newClasses([]choice.Class{{Name: "safe", Window: time.Second}, {Name: "keyed", Effect: choice.Keyed, Window: 6 * time.Second}}))
	ran := time.Now().Add(-2 * time.Second)
	for class, c := range []struct{ ran, bound bool }{{true, false}, {true, true}, {false, false}} {
		at := r.keyExpiry(&message{Entry: &journal.Entry{Ran: c.ran, RanAt: ran.UnixMilli()}, class: min(class, 1)})
		want(t, "bound", !at.IsZero(), c.bound)
		if left := time.Until(at); c.bound && (left > 4*time.Second || left < 3*time.Second) {
			t.Fatalf("%v are left of 6 s, 2 s after the first attempt", left)
		}
	}
}

// An answer may arrive when the message's deadline has passed already, as its client may have sent it earlier, or after the
// deadline of another message of its call. It delivers, and a notice is sent as well: one of the two counts.
func TestAnswerAtDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		left    time.Duration
		overdue bool
		notices int
	}{"in time": {time.Hour, false, 0}, "late, perhaps": {clientTimeout / 2, false, 1}, "after another's deadline": {time.Hour, true, 1}} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, at("s-1", "127.0.0.1:1", "taller"))
			r := startRelay(t, p, nil)
			noticeCount := make(chan int, 1)
			r.post(func() {
				m := &message{Entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}, class: 2, deadline: r.now() + c.left}
				r.addPending(m)
				r.record(journal.Record{Op: journal.OpTaken, Entry: m.Entry})
				m.call = &call{host: r.hosts["s-1"], members: []*message{m}, overdue: c.overdue}
				r.attemptEnded(m.call, m, httpcall.End{Outcome: choice.Served}, time.Second, 0)
				noticeCount <- r.pendingNotices
			})
			want(t, "notices", wait(t, noticeCount, "count"), c.notices)
			if c.notices > 0 {
				want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
			}
			over := make(chan bool, 1)
			r.post(func() { over <- r.pending["m1"] == nil && r.ended.has("m1") })
			want(t, "over", wait(t, over, "end"), true)
		})
	}
}
