package modelhost

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestToolCall(t *testing.T) {
	h := start(t, Options{ID: "i-1", Service: "lookup", ReportsLoad: true, Capacity: 3, ResponseBytes: 800})
	c := dial(t, h)
	seals := map[string]bool{}
	for _, id := range []string{"a", "b"} {
		c.send("POST /x/1?q=2", id, "input", "X-Target-Instance: i-1")
		resp, body := c.answer()
		want(t, "status", resp.StatusCode, 200)
		want(t, "id", resp.Header.Get("X-Attempt-Id"), id)
		want(t, "load", resp.Header.Get("X-Host-Load"), "1,0,3")
		want(t, "body", body, string(ToolBody(id, 800)))
		want(t, "length", len(body), 800)
		seals[resp.Header.Get("X-Host-Seal")] = true
		runs := h.RunLog().ForAttempt(id)
		want(t, "runs", len(runs), 1)
		r := runs[0]
		want(t, "run", fmt.Sprint(r.Host, r.Service, r.Method, r.URI, string(r.Body), r.Outcome), fmt.Sprint("i-1", "lookup", "POST", "/x/1?q=2", "input", Completed))
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
		c.send("POST /t/", "a"+q.usage, "hello", "X-Token-Usage: "+q.usage)
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
		if r := h.RunLog().ForAttempt(id)[0]; !slices.Equal(r.Events, events) || r.Outcome != Completed {
			t.Fatalf("%+v", r)
		}
	}
}

func TestStreamOfFixedLength(t *testing.T) {
	h := start(t, Options{Model: "m", Events: 3})
	c := dial(t, h)
	for usage, events := range map[string]int{"1,100": 3, "1,2": 2, "": 3} {
		c.send("POST /t/", "a"+usage, "", "X-Token-Usage: "+usage)
		_, body := c.answer()
		want(t, "events for "+usage, strings.Count(body, "data:"), events)
	}
}

func TestVersionChangesDuringStream(t *testing.T) {
	h := start(t, Options{Model: "m", Version: 1, Events: 3})
	h.SetFault(Fault{Kind: Stall, After: 1})
	c := dial(t, h)
	c.send("POST /t/", "a", "")
	wait(t, h.RunLog(), "the first event", func(r []Run) bool { return len(r) == 1 && len(r[0].Events) == 1 })
	h.SetVersion(2)
	h.SetFault(Fault{})
	_, body := c.answer()
	want(t, "stream", body, "id: 1\ndata: a says 1\n\nversions:2\nid: 2\ndata: a says 2\n\nid: 3\ndata: a says 3\n\n")
	c.send("POST /t/", "b", "", "Expect-Version: 1")
	resp, _ := c.answer()
	want(t, "status for the old version", resp.StatusCode, 421)
}

func TestRequestsThatAreNotExecuted(t *testing.T) {
	h := start(t, Options{ID: "i-1", Model: "m", Version: 1, CacheTokens: 1000})
	c := dial(t, h)
	for _, q := range []struct {
		id, header string
		status     int
	}{{"", "Te: y", 400}, {"a", "X-Target-Instance: i-2", 421}, {"b", "Expect-Version: 2", 421}, {"c", "X-Token-Usage: 900,101", 503}} {
		c.send("POST /t/", q.id, "body", q.header)
		resp, _ := c.answer()
		want(t, "status", resp.StatusCode, q.status)
		want(t, "id", resp.Header.Get("X-Attempt-Id"), q.id)
		if resp.Header.Get("X-Not-Executed") == "" || resp.Header.Get("X-Host-Seal") != "" {
			t.Fatal(resp.Header)
		}
	}
	h.SetFault(Fault{Kind: Overloaded, Times: 1})
	c.send("POST /t/", "d", "")
	resp, _ := c.answer()
	want(t, "status when full", resp.StatusCode, 503)
	want(t, "runs", len(h.RunLog().Runs()), 0)
	want(t, "rejected", h.Rejected(), 5)
	c.send("POST /t/", "e", "", "Expect-Version: 1", "X-Target-Instance: i-1", "X-Token-Usage: 900,100")
	resp, _ = c.answer()
	want(t, "status after that", resp.StatusCode, 200)
}

func TestHealthAndReport(t *testing.T) {
	h := start(t, Options{ID: "i-1", Model: "m", Version: 4, Capacity: 1, QueueLimit: 0, CacheTokens: 500, HealthPath: "/up"})
	c := dial(t, h)
	c.send("GET /up", "", "")
	resp, _ := c.answer()
	want(t, "status", resp.StatusCode, 200)
	want(t, "instance", resp.Header.Get("X-Instance-Id"), "i-1")

	h.SetFault(Fault{Kind: Stall})
	busy := dial(t, h)
	busy.send("POST /t/", "a", "", "X-Token-Usage: 100,50")
	wait(t, h.RunLog(), "the run", func(r []Run) bool { return len(r) == 1 })
	c.send("GET /up", "", "")
	resp, _ = c.answer()
	want(t, "status without a slot", resp.StatusCode, 503)
	c.send("GET /api/report", "", "")
	_, body := c.answer()
	var got map[string]any
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	want(t, "report", fmt.Sprint(got), "map[active:1 cache_capacity:500 cache_used:150 call_seq:0 model_list:[map[adapter_list:[] config_version:4 name:m]] "+
		"open_handles:0 pipeline_stage:both queued:0 utilization:false]")
	h.Drain()
	h.SetFault(Fault{})
	resp, _ = busy.answer()
	want(t, "the answer closes the connection", resp.Close, true)
	if _, err := busy.reader.ReadByte(); err != io.EOF {
		t.Fatal("the connection stays open:", err)
	}
	c.send("GET /up", "", "")
	resp, _ = c.answer()
	want(t, "status when draining", resp.StatusCode, 503)
}

func TestSlotsAndQueue(t *testing.T) {
	h := start(t, Options{Capacity: 1, QueueLimit: 2})
	h.SetFault(Fault{Kind: Stall})
	conns := map[string]*caller{}
	ask := func(id string, running, waiting int, headers ...string) {
		c := dial(t, h)
		conns[id] = c
		c.send("POST /x/", id, "", headers...)
		eventually(t, "load with "+id, func() bool { r, w := h.Load(); return r == running && w == waiting })
	}
	ask("a", 1, 0)
	ask("b", 1, 1)
	ask("c", 1, 2, "Priority: 1") // ahead of b
	full := dial(t, h)
	full.send("POST /x/", "d", "")
	resp, _ := full.answer()
	want(t, "status of one more", resp.StatusCode, 503)
	want(t, "X-Not-Executed", resp.Header.Get("X-Not-Executed"), "1")
	h.SetFault(Fault{})
	for _, id := range []string{"a", "b", "c"} {
		resp, _ := conns[id].answer()
		want(t, "status of "+id, resp.StatusCode, 200)
	}
	var order []string
	for _, r := range h.RunLog().Runs() {
		order = append(order, r.Attempt)
	}
	want(t, "order", strings.Join(order, ""), "acb")
	r, w := h.Load()
	want(t, "load", r+w, 0)
}

func TestDeadlines(t *testing.T) {
	for _, model := range []string{"", "m"} {
		h := start(t, Options{Capacity: 1, QueueLimit: 1, Model: model, Events: 2})
		h.SetFault(Fault{Kind: Stall})
		c, d := dial(t, h), dial(t, h)
		c.send("POST /x/", "a", "", "X-Time-Left-Ms: 60000")
		wait(t, h.RunLog(), "the run", func(r []Run) bool { return len(r) == 1 })
		d.send("POST /x/", "b", "", "X-Time-Left-Ms: 1")
		resp, _ := d.answer()
		want(t, "status in the queue", resp.StatusCode, 503)
		want(t, "X-Not-Executed", resp.Header.Get("X-Not-Executed"), "1")
		c.Close()
		wait(t, h.RunLog(), "the end of a", func(r []Run) bool { return r[0].Outcome == Canceled })
		d.send("POST /x/", "c", "", "X-Time-Left-Ms: 1")
		resp, _ = d.answer()
		want(t, "status while running", resp.StatusCode, 504)
		want(t, "X-Not-Executed", resp.Header.Get("X-Not-Executed"), "")
		want(t, "outcome", h.RunLog().ForAttempt("c")[0].Outcome, Failed)
		if model != "" {
			h.SetFault(Fault{Kind: Stall, After: 1})
			d.send("POST /x/", "e", "", "X-Time-Left-Ms: 100")
			if _, err := io.ReadAll(d.head().Body); err != io.ErrUnexpectedEOF { //nolint:errorlint // as it comes from the reader
				t.Fatal("a stream at its deadline:", err)
			}
			want(t, "outcome", h.RunLog().ForAttempt("e")[0].Outcome, Aborted)
		}
	}
}

func TestClientDisconnects(t *testing.T) {
	h := start(t, Options{Capacity: 1, QueueLimit: 1, Model: "m", Events: 5, CacheTokens: 100})
	h.SetFault(Fault{Kind: Stall, After: 2})
	c, d := dial(t, h), dial(t, h)
	c.send("POST /t/", "a", "", "X-Token-Usage: 10,10")
	d.send("POST /t/", "b", "", "X-Token-Usage: 10,10")
	eventually(t, "one running, one waiting", func() bool { r, w := h.Load(); return r == 1 && w == 1 })
	waiting, running := c, d
	if h.RunLog().Runs()[0].Attempt == "a" {
		waiting, running = d, c
	}
	waiting.Close()
	eventually(t, "the queue is empty", func() bool { _, w := h.Load(); return w == 0 })
	running.Close()
	wait(t, h.RunLog(), "the end", func(r []Run) bool { return r[0].Outcome == Canceled })
	eventually(t, "the slot is free", func() bool { r, _ := h.Load(); return r == 0 })
	want(t, "runs", len(h.RunLog().Runs()), 1)
	h.mu.Lock()
	want(t, "reserved memory", h.cache.reserved, 0)
	h.mu.Unlock()
}

func TestConnectionLimitAndIdleTimeout(t *testing.T) {
	h := start(t, Options{ConnLimit: 2, IdleTimeout: 200 * time.Millisecond})
	busy := dial(t, h)
	h.SetFault(Fault{Kind: Stall, Times: 1})
	busy.send("POST /x/", "a", "")
	wait(t, h.RunLog(), "the run", func(r []Run) bool { return len(r) == 1 })
	idle := dial(t, h)
	idle.send("POST /x/", "b", "")
	idle.answer()
	over, err := net.Dial("tcp4", h.Addr())
	if err == nil { // else it was reset at once
		_ = over.SetDeadline(time.Now().Add(timeout))
		_, err = over.Read(make([]byte, 1))
		over.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatal("a connection over the limit:", err)
	}
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Fatal("an idle connection:", err)
	}
	h.SetFault(Fault{})
	if resp, _ := busy.answer(); resp.StatusCode != 200 {
		t.Fatal("a busy one:", resp.Status)
	}
	reports := start(t, Options{IdleTimeout: 7 * time.Second})
	c := dial(t, reports)
	c.send("POST /x/", "a", "")
	resp, _ := c.answer()
	want(t, "Keep-Alive", resp.Header.Get("Keep-Alive"), "timeout=7")
}

func TestAddressIsReused(t *testing.T) {
	old := start(t, Options{ID: "i-1", Service: "one", Model: "m", Events: 2})
	old.SetFault(Fault{Kind: Stall, After: 1})
	c := dial(t, old)
	c.send("POST /t/", "a", "")
	resp := c.head()
	old.Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Fatal("a stream of a host that has ended looks complete")
	}
	want(t, "outcome", old.RunLog().ForAttempt("a")[0].Outcome, Aborted)
	next := start(t, Options{ID: "i-2", Service: "two", Addr: old.Addr()})
	c = dial(t, next)
	c.send("POST /t/", "b", "", "X-Target-Instance: i-1")
	resp, _ = c.answer()
	want(t, "status", resp.StatusCode, 421)
}

func TestExecutionTimes(t *testing.T) {
	const ms = time.Millisecond
	model := start(t, Options{Model: "m", Events: 3, FirstEventDelay: 20 * ms, PrefillPerToken: ms, EventInterval: 10 * ms})
	tool := start(t, Options{CallDuration: 30 * ms})
	for _, q := range []struct {
		h     *Host
		least time.Duration
	}{{model, 20*ms + 10*ms + 2*10*ms}, {tool, 30 * ms}} {
		c := dial(t, q.h)
		begin := time.Now()
		c.send("POST /x/", "a", "", "X-Token-Usage: 10,100")
		c.answer()
		if took := time.Since(begin); took < q.least {
			t.Errorf("took %v, want %v at least", took, q.least)
		}
	}
}
