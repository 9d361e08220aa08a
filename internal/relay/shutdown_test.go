package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/relay/journal"
)

// ending starts a relay whose loop the test can block.
func ending(t *testing.T, change ...func(*Relay)) (r *Relay, calls chan *seen, ended chan struct{}) {
	t.Helper()
	calls = make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r, err = New(conf); err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(r)
	}
	ended = make(chan struct{})
	go func() { r.Serve(); close(ended) }()
	t.Cleanup(func() { r.stop(); <-ended })
	return r, calls, ended
}

// pendingIn returns the ids of the pending messages in the journal of a state folder.
func pendingIn(t *testing.T, dir string) (ids string) {
	t.Helper()
	j, err := journal.Open(dir, journal.Options{Budget: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	for _, e := range j.InOrder() {
		ids += e.ID + " "
	}
	return ids
}

// The loop has admitted a message and ended before its handler reads the response: both are ready at once, and the response
// counts. If the handler picked by chance, a client told to come again would repeat what the next process delivers.
func TestAdmissionAsLoopEnds(t *testing.T) {
	r := &Relay{loopDone: make(chan struct{})}
	close(r.loopDone)
	for range 64 { // picked by chance, one of them would be wrong
		in := &admission{reply: make(chan response, 1)}
		in.reply <- response{status: http.StatusAccepted}
		want(t, "answer", r.awaitResponse(in).status, http.StatusAccepted)
	}
}

// slow blocks the first status that a handler writes.
type slow struct {
	http.Handler
	written, free chan struct{}
}

type slowWriter struct {
	http.ResponseWriter
	slow
}

func (s slow) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.Handler.ServeHTTP(slowWriter{w, s}, req)
}

func (w slowWriter) WriteHeader(status int) {
	close(w.written)
	<-w.free
	w.ResponseWriter.WriteHeader(status)
}

// The process ends between the decision on a response and its write. If the client of an admitted message were cut off, it
// would submit the message again and have it delivered twice. The response is blocked until all else has ended.
func TestResponseIsWrittenAsRelayEnds(t *testing.T) {
	for name, end := range map[string]func(*Relay){"ended": (*Relay).stop, "terminated": func(r *Relay) { go r.Terminate() }} {
		t.Run(name, func(t *testing.T) {
			written, free := make(chan struct{}), make(chan struct{})
			r, calls, ended := ending(t, func(r *Relay) {
				r.finalAnswerWait = 30 * time.Second
				r.server.Handler = slow{r.server.Handler, written, free}
			})
			conn := dial(t, r.Addr())
			conn.Write([]byte(request("m1", "Content-Length: 1\r\n", "x")))
			wait(t, written, "answer")
			wait(t, calls, "call").answer <- 200
			end(r)
			for !r.doors.Closed() { // then it waits for its clients only
				select {
				case <-ended:
					t.Fatal("the relay ended with an answer unwritten")
				case <-time.After(time.Millisecond):
				}
			}
			close(free)
			status, _, _ := answered(t, conn)
			want(t, "status", status, http.StatusAccepted)
			wait(t, ended, "end")
		})
	}
}

// A message that waits for the loop as it ends is rejected, and recorded nowhere.
func TestUnprocessedAdmissionAsLoopEnds(t *testing.T) {
	r, _, ended := ending(t)
	conn := dial(t, r.Addr())
	release := hold(t, r)
	conn.Write([]byte(request("m1", "Content-Length: 1\r\n", "x")))
	for len(r.admissions) == 0 {
		time.Sleep(time.Millisecond)
	}
	in := <-r.admissions // the loop does not get it
	r.stop()
	release()
	status, header, _ := answered(t, conn)
	want(t, "status", status, http.StatusServiceUnavailable)
	want(t, "Retry-After", header.Get("Retry-After"), "1.000")
	wait(t, ended, "end")
	want(t, "answers of the loop", len(in.reply), 0)
	want(t, "pending messages", pendingIn(t, r.config.State), "")
}

// A request arrives in pieces while clients are sent away: its head begins before its connection is checked for being idle,
// and ends after. A connection on which a request has been read in part, which net/http takes for idle, is not closed.
func TestStartedRequestIsAnsweredWhileClientsDrain(t *testing.T) {
	r, calls, _ := ending(t)
	kept, idle, fresh := dial(t, r.Addr()), dial(t, r.Addr()), dial(t, r.Addr())
	up := "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, c := range []interface{ Write([]byte) (int, error) }{kept, idle} {
		c.Write([]byte(up))
	}
	answered(t, kept)
	answered(t, idle)
	waitBegun(t, r, 0) // both are between two requests
	head, rest, _ := strings.Cut(request("m1", "Content-Length: 1\r\n", "x"), "X-Class")
	for _, piece := range []string{"PO", head[2:]} { // less than net/http looks for, then a part of the head
		kept.Write([]byte(piece))
		waitBegun(t, r, 1)
		r.doors.Shut()
	}
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, %v on an idle connection, want its end", n, err)
	}
	kept.Write([]byte("X-Class" + rest))
	status, _, closed := answered(t, kept)
	want(t, "status", status, http.StatusAccepted)
	want(t, "closed", closed, true)
	wait(t, calls, "call").answer <- 200
	fresh.Write([]byte(request("m2", "Content-Length: 1\r\n", "x"))) // it had not sent a request
	status, _, closed = answered(t, fresh)
	want(t, "status", status, http.StatusAccepted)
	want(t, "closed", closed, true)
	wait(t, calls, "call").answer <- 200
}

// waitBegun waits until requests have begun on so many connections.
func waitBegun(t *testing.T, r *Relay, n int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); r.listener.Begun() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("requests have begun on %d connections, want %d", r.listener.Begun(), n)
		}
	}
}

// A relay that terminates answers clients as long as it runs: a request that comes late on a connection accepted late is
// read. A second signal does not end it sooner or twice.
func TestClientsAreAnsweredUntilExit(t *testing.T) {
	r, calls, ended := ending(t)
	hand(t, r.Addr(), "m0", "payment")
	out := wait(t, calls, "call") // keeps the relay from ending
	http.DefaultClient.CloseIdleConnections()
	begin := time.Now()
	go r.Terminate()
	for !r.doors.Closed() {
		time.Sleep(time.Millisecond)
	}
	r.Terminate() // returns at once; the first call continues
	for i, id := range []string{"m1", "m2"} {
		if i == 1 {
			time.Sleep(time.Until(begin.Add(exitIdleAfter + 200*time.Millisecond))) // earlier versions accepted nobody by then
		}
		conn := dial(t, r.Addr())
		conn.Write([]byte(request(id, "Content-Length: 1\r\n", "x")))
		status, _, closed := answered(t, conn)
		want(t, "status of "+id, status, http.StatusAccepted)
		want(t, "closed", closed, true)
		wait(t, calls, "call").answer <- 200
	}
	out.answer <- 200
	wait(t, ended, "end")
	want(t, "pending messages", pendingIn(t, r.config.State), "")
}

// An id that is removed and added again is remembered as long as any other: its earlier slot, whose turn comes first, does
// not remove it.
func TestRemovedIDIsRememberedAgain(t *testing.T) {
	s := endedMessages{capacity: 3}
	for i, id := range []string{"a", "b", "c"} {
		s.put(id, uint32(i))
	}
	s.remove("a")
	s.put("a", 9) // takes the oldest slot, its own
	s.remove("b")
	s.put("b", 8)
	s.put("d", 7)
	var all string
	s.each(func(id string, sum uint32) { all += fmt.Sprint(id, sum, " ") })
	want(t, "remembered", all, "a9 b8 d7 ")
	s.remove("b")
	s.put("b", 6)
	want(t, "an id after its new slot", s.has("b") && s.has("d"), true)
	s.put("e", 5) // in the slot that b had before
	want(t, "b at the turn of its earlier slot", s.has("b"), true)
}

// Of 500 pending messages that a restart finds, half of them untried, each untried one gets its call, also while new ones
// arrive, and those that cannot are counted by reason. That holds for one process and for several that share the messages.
func TestUntriedMessagesAreAttemptedAfterRestart(t *testing.T) {
	for _, processes := range []int{1, 5} {
		calls := make(chan string, 20_000)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			calls <- req.Header.Get("X-Request-Id")
		}))
		t.Cleanup(s.CloseClientConnections)
		p := newPlatform(t, at("s-1", s.Listener.Addr().String(), "taller"))
		p.notices = make(chan notice, 2000)
		for n := range processes {
			r := startRelay(t, p, func(c *Config) {
				c.Settings.MaxHeld = 1000
				j, err := journal.Open(c.State, journal.Options{Budget: 3e6})
				if err != nil {
					t.Fatal(err)
				}
				defer j.Close()
				due, now := time.Now().Add(time.Minute).UnixMilli(), time.Now().UnixMilli()
				for i := range 500 {
					e := &journal.Entry{ID: fmt.Sprintf("m%d-%d", n, i), Class: effectClasses[i%3], Key: "k", Dest: 7, Due: due}
					if i%50 == 49 {
						e.Due = now - 1 // its deadline passed before the restart
					}
					recs := []journal.Record{{Op: journal.OpTaken, Entry: e}}
					if i%2 == 0 {
						recs = append(recs, journal.Record{Op: journal.OpTry, ID: e.ID, At: now, Wait: 100})
					}
					if err := j.Append(recs...); err != nil {
						t.Fatal(err)
					}
				}
			})
			for {
				state := make(chan [3]int, 1)
				r.post(func() {
					state <- [3]int{len(r.untried.pending), r.untried.attempted, r.untried.endedByReason["its time was up"]}
				})
				now := wait(t, state, "state")
				if now[0] == 0 {
					want(t, "tried", now[1], 240)
					want(t, "out of time", now[2], 10)
					break
				}
				hand(t, r.Addr(), fmt.Sprintf("fresh%d-%d", n, now[1]), "payment")
			}
		}
		owed := map[string]bool{}
		for n := range processes {
			for i := 1; i < 500; i += 2 {
				if i%50 != 49 {
					owed[fmt.Sprintf("m%d-%d", n, i)] = true
				}
			}
		}
		for len(owed) > 0 {
			delete(owed, wait(t, calls, "call of a message that was found untried"))
		}
	}
}
