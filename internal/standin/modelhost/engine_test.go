package modelhost

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bound ends what hangs; no test comes near it.
const bound = 20 * time.Second

func start(t *testing.T, o Options) *Host {
	t.Helper()
	h, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// caller is a connection to a host.
type caller struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func dial(t *testing.T, h *Host) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(bound))
	return &caller{c, t, bufio.NewReader(c)}
}

// ask sends a request: "GET /path", an attempt's id, and headers.
func (c *caller) ask(what, id, body string, headers ...string) {
	c.t.Helper()
	if id != "" {
		headers = append(headers, "X-Attempt-Id: "+id)
	}
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n%s\r\n\r\n%s", what, len(body), strings.Join(append(headers, "Te: x"), "\r\n"), body)
	if err != nil {
		c.t.Fatal(err)
	}
}

// head reads the head of an answer.
func (c *caller) head() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

func (c *caller) answer() (*http.Response, string) {
	c.t.Helper()
	resp := c.head()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(b)
}

func wait(t *testing.T, l *Ledger, what string, ok func(runs []Run) bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), bound)
	defer stop()
	if err := l.Wait(ctx, ok); err != nil {
		t.Fatalf("%s: %v; runs %+v", what, err, l.Runs())
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

// eventually polls.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come true", what)
		}
	}
}

func TestToolCall(t *testing.T) {
	h := start(t, Options{ID: "i-1", Service: "lookup", TellsLoad: true, Capacity: 3, Size: 800})
	c := dial(t, h)
	seals := map[string]bool{}
	for _, id := range []string{"a", "b"} {
		c.ask("POST /x/1?q=2", id, "input", "X-Target-Instance: i-1")
		resp, body := c.answer()
		want(t, "status", resp.StatusCode, 200)
		want(t, "id", resp.Header.Get("X-Attempt-Id"), id)
		want(t, "load", resp.Header.Get("X-Host-Load"), "1,0,3")
		want(t, "body", body, string(Body(id, 800)))
		want(t, "length", len(body), 800)
		seals[resp.Header.Get("X-Host-Seal")] = true
		runs := h.Ledger().Of(id)
		want(t, "runs", len(runs), 1)
		r := runs[0]
		want(t, "run", fmt.Sprint(r.Host, r.Service, r.Method, r.URI, string(r.Body), r.End), fmt.Sprint("i-1", "lookup", "POST", "/x/1?q=2", "input", Whole))
	}
	if len(seals) != 2 || seals[""] {
		t.Fatal("seals", seals)
	}
	want(t, "connections", h.Conns(), 1)
}

func TestStream(t *testing.T) {
	h := start(t, Options{ID: "i-1", Model: "m", Version: 3, EventTokens: 2})
	c := dial(t, h)
	for _, q := range []struct {
		usage  string
		events int
	}{{"100,7", 4}, {"100,8", 4}, {"100,0", 1}, {"", 1}} {
		c.ask("POST /t/", "a"+q.usage, "hello", "X-Token-Usage: "+q.usage)
		resp, body := c.answer()
		id := resp.Header.Get("X-Attempt-Id")
		want(t, "type", resp.Header.Get("Content-Type"), "text/event-stream")
		want(t, "coding", strings.Join(resp.TransferEncoding, ","), "chunked")
		want(t, "versions", resp.Header.Get("Versions"), "3")
		text := ""
		var events []string
		for i := 1; i <= q.events; i++ {
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", i, Event(id, i))
			events = append(events, Event(id, i))
		}
		want(t, "stream", body, text)
		if r := h.Ledger().Of(id)[0]; !slices.Equal(r.Events, events) || r.End != Whole {
			t.Fatalf("%+v", r)
		}
	}
}

func TestStreamOfSetLength(t *testing.T) {
	h := start(t, Options{Model: "m", Events: 3})
	c := dial(t, h)
	for usage, events := range map[string]int{"1,100": 3, "1,2": 2, "": 3} {
		c.ask("POST /t/", "a"+usage, "", "X-Token-Usage: "+usage)
		_, body := c.answer()
		want(t, "events for "+usage, strings.Count(body, "data:"), events)
	}
}

func TestWeightsThatChangeAmidAStream(t *testing.T) {
	h := start(t, Options{Model: "m", Version: 1, Events: 3})
	h.Set(Fault{Kind: Silence, After: 1})
	c := dial(t, h)
	c.ask("POST /t/", "a", "")
	wait(t, h.Ledger(), "the first event", func(r []Run) bool { return len(r) == 1 && len(r[0].Events) == 1 })
	h.SetVersion(2)
	h.Set(Fault{})
	_, body := c.answer()
	want(t, "stream", body, "id: 1\ndata: a says 1\n\nversions:2\nid: 2\ndata: a says 2\n\nid: 3\ndata: a says 3\n\n")
	c.ask("POST /t/", "b", "", "Expect-Version: 1")
	resp, _ := c.answer()
	want(t, "status for the old weights", resp.StatusCode, 421)
}

func TestWhatIsNotRun(t *testing.T) {
	h := start(t, Options{ID: "i-1", Model: "m", Version: 1, CacheTokens: 1000})
	c := dial(t, h)
	for _, q := range []struct {
		id, header string
		status     int
	}{{"", "Te: y", 400}, {"a", "X-Target-Instance: i-2", 421}, {"b", "Expect-Version: 2", 421}, {"c", "X-Token-Usage: 900,101", 503}} {
		c.ask("POST /t/", q.id, "body", q.header)
		resp, _ := c.answer()
		want(t, "status", resp.StatusCode, q.status)
		want(t, "id", resp.Header.Get("X-Attempt-Id"), q.id)
		if resp.Header.Get("X-Not-Executed") == "" || resp.Header.Get("X-Host-Seal") != "" {
			t.Fatal(resp.Header)
		}
	}
	h.Set(Fault{Kind: Full, Times: 1})
	c.ask("POST /t/", "d", "")
	resp, _ := c.answer()
	want(t, "status when full", resp.StatusCode, 503)
	want(t, "runs", len(h.Ledger().Runs()), 0)
	want(t, "refused", h.Refused(), 5)
	c.ask("POST /t/", "e", "", "Expect-Version: 1", "X-Target-Instance: i-1", "X-Token-Usage: 900,100")
	resp, _ = c.answer()
	want(t, "status after that", resp.StatusCode, 200)
}

func TestHealthAndReport(t *testing.T) {
	h := start(t, Options{ID: "i-1", Model: "m", Version: 4, Capacity: 1, Queue: 0, CacheTokens: 500, HealthPath: "/up"})
	c := dial(t, h)
	c.ask("GET /up", "", "")
	resp, _ := c.answer()
	want(t, "status", resp.StatusCode, 200)
	want(t, "instance", resp.Header.Get("X-Instance-Id"), "i-1")

	h.Set(Fault{Kind: Silence})
	busy := dial(t, h)
	busy.ask("POST /t/", "a", "", "X-Token-Usage: 100,50")
	wait(t, h.Ledger(), "the run", func(r []Run) bool { return len(r) == 1 })
	c.ask("GET /up", "", "")
	resp, _ = c.answer()
	want(t, "status without a slot", resp.StatusCode, 503)
	c.ask("GET /api/report", "", "")
	_, body := c.answer()
	var got map[string]any
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	want(t, "report", fmt.Sprint(got), "map[active:1 cache_capacity:500 cache_used:150 call_seq:0 model_list:[map[adapter_list:[] config_version:4 name:m]] "+
		"open_handles:0 pipeline_stage:both queued:0 utilization:false]")
	h.Drain()
	h.Set(Fault{})
	resp, _ = busy.answer()
	want(t, "the end of its connection is told", resp.Close, true)
	if _, err := busy.in.ReadByte(); err != io.EOF {
		t.Fatal("and does not come:", err)
	}
	c.ask("GET /up", "", "")
	resp, _ = c.answer()
	want(t, "status when leaving", resp.StatusCode, 503)
}

func TestSlotsAndQueue(t *testing.T) {
	h := start(t, Options{Capacity: 1, Queue: 2})
	h.Set(Fault{Kind: Silence})
	conns := map[string]*caller{}
	ask := func(id string, running, waiting int, headers ...string) {
		c := dial(t, h)
		conns[id] = c
		c.ask("POST /x/", id, "", headers...)
		eventually(t, "place of "+id, func() bool { r, w := h.Busy(); return r == running && w == waiting })
	}
	ask("a", 1, 0)
	ask("b", 1, 1)
	ask("c", 1, 2, "Priority: 1") // ahead of b
	full := dial(t, h)
	full.ask("POST /x/", "d", "")
	resp, _ := full.answer()
	want(t, "status of one more", resp.StatusCode, 503)
	want(t, "said", resp.Header.Get("X-Not-Executed"), "1")
	h.Set(Fault{})
	for _, id := range []string{"a", "b", "c"} {
		resp, _ := conns[id].answer()
		want(t, "status of "+id, resp.StatusCode, 200)
	}
	var order []string
	for _, r := range h.Ledger().Runs() {
		order = append(order, r.Attempt)
	}
	want(t, "order", strings.Join(order, ""), "acb")
	r, w := h.Busy()
	want(t, "busy", r+w, 0)
}

func TestTimesUp(t *testing.T) {
	for _, model := range []string{"", "m"} {
		h := start(t, Options{Capacity: 1, Queue: 1, Model: model, Events: 2})
		h.Set(Fault{Kind: Silence})
		c, d := dial(t, h), dial(t, h)
		c.ask("POST /x/", "a", "", "X-Time-Left-Ms: 60000")
		wait(t, h.Ledger(), "the run", func(r []Run) bool { return len(r) == 1 })
		d.ask("POST /x/", "b", "", "X-Time-Left-Ms: 1")
		resp, _ := d.answer()
		want(t, "status in the queue", resp.StatusCode, 503)
		want(t, "said", resp.Header.Get("X-Not-Executed"), "1")
		c.Close()
		wait(t, h.Ledger(), "the end of a", func(r []Run) bool { return r[0].End == Dropped })
		d.ask("POST /x/", "c", "", "X-Time-Left-Ms: 1")
		resp, _ = d.answer()
		want(t, "status at work", resp.StatusCode, 504)
		want(t, "said", resp.Header.Get("X-Not-Executed"), "")
		want(t, "end", h.Ledger().Of("c")[0].End, Failed)
		if model != "" {
			h.Set(Fault{Kind: Silence, After: 1})
			d.ask("POST /x/", "e", "", "X-Time-Left-Ms: 100")
			if _, err := io.ReadAll(d.head().Body); err != io.ErrUnexpectedEOF { //nolint:errorlint // as it comes from the reader
				t.Fatal("a stream at its deadline:", err)
			}
			want(t, "end", h.Ledger().Of("e")[0].End, Cut)
		}
	}
}

func TestCallersThatLeave(t *testing.T) {
	h := start(t, Options{Capacity: 1, Queue: 1, Model: "m", Events: 5, CacheTokens: 100})
	h.Set(Fault{Kind: Silence, After: 2})
	c, d := dial(t, h), dial(t, h)
	c.ask("POST /t/", "a", "", "X-Token-Usage: 10,10")
	d.ask("POST /t/", "b", "", "X-Token-Usage: 10,10")
	eventually(t, "one at work, one waiting", func() bool { r, w := h.Busy(); return r == 1 && w == 1 })
	waits, works := c, d
	if h.Ledger().Runs()[0].Attempt == "a" {
		waits, works = d, c
	}
	waits.Close()
	eventually(t, "the place in the queue is free", func() bool { _, w := h.Busy(); return w == 0 })
	works.Close()
	wait(t, h.Ledger(), "the end", func(r []Run) bool { return r[0].End == Dropped })
	eventually(t, "the slot is free", func() bool { r, _ := h.Busy(); return r == 0 })
	want(t, "runs", len(h.Ledger().Runs()), 1)
	h.mu.Lock()
	want(t, "memory held", h.cache.held, 0)
	h.mu.Unlock()
}

func TestFaults(t *testing.T) {
	one := func(id int) string { return fmt.Sprintf("id: %d\ndata: a says %d\n\n", id, id) }
	for _, q := range []struct {
		name   string
		model  string
		fault  Fault
		status int // 0 for no answer
		body   string
		err    error
		end    End
		next   bool // the connection serves the next request
	}{
		{"none", "m", Fault{}, 200, one(1) + one(2), nil, Whole, true},
		{"break ahead of the first event", "m", Fault{Kind: Break}, 0, "", nil, Cut, false},
		{"break amid", "m", Fault{Kind: Break, After: 1}, 200, one(1), io.ErrUnexpectedEOF, Cut, false},
		{"break ahead of the end", "m", Fault{Kind: Break, After: 2}, 200, one(1) + one(2), io.ErrUnexpectedEOF, Cut, false},
		{"lost", "m", Fault{Kind: Lose}, 0, "", nil, Cut, false},
		{"failed", "m", Fault{Kind: Fail}, 500, "", nil, Failed, true},
		{"leaves", "m", Fault{Kind: Leave}, 200, one(1) + one(2), nil, Whole, false},
		{"a tool breaks", "", Fault{Kind: Break, After: 4}, 200, "done", io.ErrUnexpectedEOF, Cut, false},
		{"a tool breaks at the end", "", Fault{Kind: Break, After: 99}, 200, "done for a", io.ErrUnexpectedEOF, Cut, false},
		{"a tool loses", "", Fault{Kind: Lose}, 0, "", nil, Cut, false},
		{"a tool fails", "", Fault{Kind: Fail}, 500, "", nil, Failed, true},
		{"a tool leaves", "", Fault{Kind: Leave}, 200, "done for a\n", nil, Whole, false},
	} {
		t.Run(q.name, func(t *testing.T) {
			h := start(t, Options{Model: q.model, Events: 2})
			q.fault.Times = 1
			h.Set(q.fault)
			c := dial(t, h)
			c.ask("POST /x/", "a", "")
			if q.status == 0 {
				if _, err := c.in.ReadByte(); err != io.EOF {
					t.Fatal("something came:", err)
				}
			} else {
				resp := c.head()
				want(t, "status", resp.StatusCode, q.status)
				want(t, "id", resp.Header.Get("X-Attempt-Id"), "a")
				b, err := io.ReadAll(resp.Body)
				want(t, "body", string(b), q.body)
				want(t, "error", err, q.err)
			}
			want(t, "end", h.Ledger().Of("a")[0].End, q.end)
			if q.next {
				c.ask("POST /x/", "b", "")
				resp, _ := c.answer()
				want(t, "status of the next", resp.StatusCode, 200)
			} else if _, err := c.in.ReadByte(); err != io.EOF {
				t.Fatal("the connection stays:", err)
			}
			next := dial(t, h) // the fault was for one request
			next.ask("POST /x/", "c", "")
			resp, _ := next.answer()
			want(t, "status on another connection", resp.StatusCode, 200)
		})
	}
}

func TestBytesThatBelongToNoRequest(t *testing.T) {
	for _, model := range []string{"", "m"} {
		h := start(t, Options{Model: model, Events: 1})
		h.Set(Fault{Kind: Noise, Times: 1})
		c := dial(t, h)
		c.ask("POST /x/", "a", "")
		b, _ := io.ReadAll(c.in)
		want(t, "noise", string(b), noise)

		h.Set(Fault{Kind: Extra, Times: 1})
		c = dial(t, h)
		c.ask("POST /x/", "b", "")
		c.answer()
		extra := make([]byte, len(noise))
		if _, err := io.ReadFull(c.in, extra); err != nil || string(extra) != noise {
			t.Fatal(string(extra), err)
		}

		h.Set(Fault{Kind: Surplus, Times: 1})
		c = dial(t, h)
		c.ask("POST /x/", "c", "")
		resp, first := c.answer()
		want(t, "id", resp.Header.Get("X-Attempt-Id"), "c")
		c.ask("POST /x/", "d", "")
		resp, again := c.answer()
		want(t, "id of the surplus answer", resp.Header.Get("X-Attempt-Id"), "c")
		want(t, "its body", again, first)
		resp, _ = c.answer()
		want(t, "id of the answer", resp.Header.Get("X-Attempt-Id"), "d")
		if twice := h.Ledger().Twice(func(Run) bool { return false }); len(twice) > 0 {
			t.Fatal("ran twice:", twice)
		}
	}
}

func TestConnections(t *testing.T) {
	h := start(t, Options{ConnLimit: 2, Idle: 200 * time.Millisecond})
	busy := dial(t, h)
	h.Set(Fault{Kind: Silence, Times: 1})
	busy.ask("POST /x/", "a", "")
	wait(t, h.Ledger(), "the run", func(r []Run) bool { return len(r) == 1 })
	idle := dial(t, h)
	idle.ask("POST /x/", "b", "")
	idle.answer()
	over, err := net.Dial("tcp4", h.Addr())
	if err == nil { // else it was reset at once
		_ = over.SetDeadline(time.Now().Add(bound))
		_, err = over.Read(make([]byte, 1))
		over.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatal("a connection over the limit:", err)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Fatal("an idle connection:", err)
	}
	h.Set(Fault{})
	if resp, _ := busy.answer(); resp.StatusCode != 200 {
		t.Fatal("a busy one:", resp.Status)
	}
	told := start(t, Options{Idle: 7 * time.Second})
	c := dial(t, told)
	c.ask("POST /x/", "a", "")
	resp, _ := c.answer()
	want(t, "Keep-Alive", resp.Header.Get("Keep-Alive"), "timeout=7")
}

func TestAnAddressIsUsedAgain(t *testing.T) {
	old := start(t, Options{ID: "i-1", Service: "one", Model: "m", Events: 2})
	old.Set(Fault{Kind: Silence, After: 1})
	c := dial(t, old)
	c.ask("POST /t/", "a", "")
	resp := c.head()
	old.Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Fatal("a stream of a host that has ended looks complete")
	}
	want(t, "end", old.Ledger().Of("a")[0].End, Cut)
	next := start(t, Options{ID: "i-2", Service: "two", Addr: old.Addr()})
	c = dial(t, next)
	c.ask("POST /t/", "b", "", "X-Target-Instance: i-1")
	resp, _ = c.answer()
	want(t, "status", resp.StatusCode, 421)
}

func TestPartsOfPrompts(t *testing.T) {
	h := start(t, Options{Model: "m", CacheTokens: 100, Events: 1})
	c := dial(t, h)
	for i, q := range []struct {
		prefix, usage string
		read          int
	}{
		{"a:40,b:10", "50,0", 50},
		{"a:40,b:10", "50,0", 0},
		{"a:40,c:5", "45,0", 5},
		{"b:10", "10,0", 10},       // b alone is another part
		{"x:50", "50,0", 50},       // the oldest give way: a, b with it
		{"a:40,c:5", "45,0", 45},   // a is gone, and c counts only behind it
		{"", "30,0", 30},           // says nothing of its parts
		{"nonsense", "20,0", 20},   // as does this
		{"d:20,nonsense", "1", 20}, // and this says one
	} {
		id := fmt.Sprint("a", i)
		c.ask("POST /t/", id, "", "X-Prompt-Prefix: "+q.prefix, "X-Token-Usage: "+q.usage)
		c.answer()
		want(t, "read for "+q.prefix, h.Ledger().Of(id)[0].Read, q.read)
	}
}

func TestLedger(t *testing.T) {
	l := new(Ledger)
	h, g := start(t, Options{ID: "h", Model: "m", Events: 2, Ledger: l}), start(t, Options{ID: "g", Model: "m", Events: 1, Ledger: l})
	inputs := map[string]string{"a": "one ", "b": "two", "c": "three", "d": "four", "e": "five"}
	ask := func(h *Host, id, previous, history string) {
		c := dial(t, h)
		c.ask("POST /t/", id, history+inputs[id], "Previous: "+previous)
		c.answer()
	}
	histories := func() string {
		return strings.Join(l.Histories(func(id string) []byte { return []byte(inputs[id]) }), "; ")
	}
	ask(h, "a", "", "")
	ask(g, "b", "a", "one a says 1\na says 2\n")
	ask(h, "c", "b", "one a says 1\na says 2\ntwob says 1\n")
	want(t, "histories", histories(), "")
	ask(h, "d", "b", "one a says 1\ntwob says 1\n")
	ask(h, "e", "x", "")
	want(t, "histories", histories(), `d got "one a says 1\ntwob says 1\nfour", want "one a says 1\na says 2\ntwob says 1\nfour"; e continues x, which did not run whole`)

	want(t, "twice", len(l.Twice(func(Run) bool { return false })), 0)
	ask(g, "a", "", "")
	ask(g, "c", "b", "one a says 1\na says 2\ntwob says 1\n")
	want(t, "twice", strings.Join(l.Twice(func(r Run) bool { return r.Attempt == "c" }), " "), "a")
}

func TestWaitIsBounded(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	l := new(Ledger)
	go func() { done <- l.Wait(ctx, func(r []Run) bool { return len(r) > 0 }) }()
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

func TestTheTimeOfWork(t *testing.T) {
	const ms = time.Millisecond
	model := start(t, Options{Model: "m", Events: 3, First: 20 * ms, PerToken: ms, Step: 10 * ms})
	tool := start(t, Options{Work: 30 * ms})
	for _, q := range []struct {
		h     *Host
		least time.Duration
	}{{model, 20*ms + 10*ms + 2*10*ms}, {tool, 30 * ms}} {
		c := dial(t, q.h)
		begin := time.Now()
		c.ask("POST /x/", "a", "", "X-Token-Usage: 10,100")
		c.answer()
		if took := time.Since(begin); took < q.least {
			t.Errorf("took %v, want %v at least", took, q.least)
		}
	}
}
