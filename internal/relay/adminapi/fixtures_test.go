package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/fixture"
)

// Values with all fields set, each to a value of its own.
var (
	frozenLeft   = Left{Messages: 1, Partners: map[string]int{"acme": 2}, IDs: []string{"m3"}, Calls: 4}
	frozenStatus = Status{API: 1, Version: "v2", PID: 3, NowMs: 4, UpMs: 5, Listen: "127.0.0.1:6", State: "state-7", Phase: "draining", UntilMs: 8,
		Left: &frozenLeft, Held: 9, HeldMost: 10, Out: 11, Slots: 12, OldestMs: 13, Ends: 14, EndsMost: 15, DiskBytes: 16,
		Journal: Journal{Segments: 17, MostBytes: 18, Durability: "power", Trouble: "trouble-19"},
		Totals:  Totals{Taken: 20, Turned: 21, Delivered: 22, Refused: 23, Failed: 24, Calls: 25},
		Series:  []Second{{Taken: 26, Delivered: 27, Ended: 28}}, Drains: []Drained{{Target: "relay", SinceMs: 29, By: "op-30"}},
		Unhealthy: 31, Endpoints: 32}
	frozenPartners = []Partner{{Name: "acme", Kind: "bank", Classes: []string{"payment"}, Waiting: 1, Out: 2, PauseMs: 3, Drained: true, Endpoints: []Endpoint{{
		ID: "acme-1", Address: "127.0.0.1:4", Zone: "north", State: "drained", By: "partner", Health: "suspect", Why: "why-5", ForMs: 6, WaitMs: 7,
		PauseMs: 8, TrialMs: 9, Out: 10, LatencyMs: 11.5, Rate: 12.5, Limit: 13.5}}}}
	frozenMessage = Message{ID: "m1", Class: "payment", Partner: "acme", State: "failed", Key: "key-2", Bytes: 3, TakenMs: 4, DueMs: 5, EndedMs: 6, AgainMs: 7,
		Why: "why-8", NextMs: 9, Ran: true, Tries: 10, Attempts: []Attempt{{Endpoint: "acme-1", AtMs: 11, TookMs: 12, Outcome: "reset", Ran: true}}}
	frozenLog   = []LogLine{{N: 1, AtMs: 2, Level: "WARN", Text: "text-3"}}
	frozenFleet = Fleet{Name: "r1", Parts: 2, Over: 3.5, LostAfterMs: 4,
		Relays: []FleetRelay{{Name: "r2", Address: "127.0.0.1:5", Self: true, There: true, HeardMs: 6, MetMs: 7, Agrees: true, Gone: true, OtherList: true}},
		Limits: []FleetLimit{{Partner: "acme", Steward: "r3", LeftMs: 8, Own: 9.5, Granted: 10.5, Asks: 11, Rate: 12.5, Burst: 13.5, AtOnce: 14, Over: 15.5,
			Routes: []FleetRoute{{Route: "route-16", State: "cold", ForMs: 17, Rate: 18.5, Used: 19.5, Out: 20}}}},
		Words:    []FleetWord{{Subject: "partner:acme", Holds: true, Count: 21, By: "op-22", Origin: "r4", AtMs: 23, Heeded: []string{"r5"}, Missing: []string{"r6"}}},
		Sights:   []FleetSight{{Subject: "endpoint:acme-1", Out: true, Relay: "r7", ForMs: 24, SaidMs: 25}},
		Versions: []FleetVersion{{Relay: "r8", Kind: "partners", Version: 26, State: "behind", ForMs: 27, HeardMs: 28, BehindMs: 29, Newest: 30}},
		HeedMs:   31, HeedLossyMs: 32}
	frozenDrain       = DrainRequest{Target: "endpoint:acme-1", By: "op-1", WithinMs: 2, AllowLast: true, DryRun: true, Fleet: true}
	frozenDrainAnswer = DrainAnswer{Target: "partner:acme", Result: "drained", Closes: []string{"acme-1"}, Last: true, Waiting: 1, Out: 2, GraceMs: 3, UntilMs: 4,
		Unhealthy: true, Fleet: &frozenFleet}
	frozenStop       = StopRequest{By: "op-1", WithinMs: 2, DryRun: true}
	frozenStopAnswer = StopAnswer{Result: "stopping", UntilMs: 1, Left: frozenLeft}
	frozenGone       = GoneRequest{Relay: "r1", Back: true, By: "op-2"}
	frozenPage       = Page{Messages: []Message{frozenMessage}, Next: "cursor-1"}
	frozenQuery      = Query{Partner: "acme", Class: "payment", State: "failed", Ended: true, Older: 1500 * time.Millisecond, Newest: true, Limit: 7, Cursor: "cursor-8",
		IDPrefix: "m9"}
	frozenOverview = Overview{Status: frozenStatus, Partners: frozenPartners, Log: frozenLog}
	frozenError    = map[string]*Error{"error": {Code: "not_found", Text: "text-1"}}
)

// frozenForms are all requests and answers. Each is kept with all fields set and, as NAME/zero, with none (see emptyForm).
var frozenForms = []struct {
	name  string
	value any
}{
	{"status", frozenStatus}, {"partners", frozenPartners}, {"overview", frozenOverview}, {"messages", frozenPage}, {"message", frozenMessage},
	{"log", frozenLog}, {"fleet", frozenFleet}, {"drain request", frozenDrain}, {"drain answer", frozenDrainAnswer}, {"stop request", frozenStop},
	{"stop answer", frozenStopAnswer}, {"gone request", frozenGone}, {"error", frozenError},
}

// emptyForm has no field set, but lists have one element and pointers lead somewhere: which fields are left out where they are
// zero shows for all types.
func emptyForm(of reflect.Type) reflect.Value {
	v := reflect.New(of).Elem()
	switch of.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(of.Elem()))
		v.Elem().Set(emptyForm(of.Elem()))
	case reflect.Slice:
		v.Set(reflect.Append(v, emptyForm(of.Elem())))
	case reflect.Struct:
		for i := range of.NumField() {
			v.Field(i).Set(emptyForm(of.Field(i).Type))
		}
	}
	return v
}

func encodedForm(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func oldForms(t *testing.T) map[string]string {
	t.Helper()
	var present []fixture.Line
	for _, f := range frozenForms {
		present = append(present, fixture.Line{Name: f.name, Text: encodedForm(t, f.value)},
			fixture.Line{Name: f.name + "/zero", Text: encodedForm(t, emptyForm(reflect.TypeOf(f.value)).Interface())})
	}
	old := fixture.Lines(t, "testdata/api-v1.txt", present)
	if len(old) != len(present) {
		t.Errorf("%d forms in the file, %d in the test", len(old), len(present))
	}
	for _, p := range present {
		if old[p.Name] != p.Text {
			t.Errorf("%s: encoded as\n%s, want\n%s", p.Name, p.Text, old[p.Name])
		}
	}
	return old
}

// jsonTypes are the names of the package's structs that have JSON names.
func jsonTypes(t *testing.T) (names []string) {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok && slices.ContainsFunc(s.Fields.List, func(f *ast.Field) bool {
				return f.Tag != nil && strings.Contains(f.Tag.Value, `json:`)
			}) {
				names = append(names, spec.Name.Name)
			}
			return true
		})
	}
	return names
}

// structsIn are the names of the structs that a type is made of.
func structsIn(of reflect.Type, names map[string]bool) {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		structsIn(of.Elem(), names)
	case reflect.Struct:
		names[of.Name()] = true
		for i := range of.NumField() {
			structsIn(of.Field(i).Type, names)
		}
	}
}

// Guards against a change of the JSON that programs of other builds and operators' scripts exchange with a relay.
func TestFormsAreAsFrozen(t *testing.T) {
	old := oldForms(t)
	covered := map[string]bool{}
	var all []any
	for _, f := range frozenForms {
		got := reflect.New(reflect.TypeOf(f.value))
		dec := json.NewDecoder(strings.NewReader(old[f.name]))
		dec.DisallowUnknownFields()
		if err := dec.Decode(got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), f.value) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", f.name, got.Elem(), err, f.value)
		}
		structsIn(reflect.TypeOf(f.value), covered)
		all = append(all, f.value)
	}
	all = append(all, frozenQuery, Error{Status: 1}) // the status is not in the JSON, but in HTTP's head
	if unset := fixture.Unset(all...); len(unset) > 0 {
		t.Errorf("no form sets %v", unset)
	}
	types := jsonTypes(t)
	if len(types) < 25 {
		t.Errorf("only %d types with JSON names were found", len(types))
	}
	for _, name := range types {
		if !covered[name] {
			t.Errorf("type %s has JSON names but is in no form", name)
		}
	}
}

// frozenCalls are the methods of a Client with the requests that they make, and the form of the answer.
var frozenCalls = []struct {
	method  string
	request string // method and URI
	body    string // name of its form
	answer  string
	call    func(context.Context, *Client) (any, error)
	want    any
}{
	{"Status", "GET /v1/status", "", "status", func(ctx context.Context, c *Client) (any, error) { return c.Status(ctx) }, frozenStatus},
	{"Partners", "GET /v1/partners", "", "partners", func(ctx context.Context, c *Client) (any, error) { return c.Partners(ctx) }, frozenPartners},
	{"Overview", "GET /v1/overview?after=0", "", "overview", func(ctx context.Context, c *Client) (any, error) { return c.Overview(ctx, 0) }, frozenOverview},
	{"Messages", "GET /v1/messages?class=payment&cursor=cursor-8&ended=true&id=m9&limit=7&newest=true&older_ms=1500&partner=acme&state=failed", "", "messages",
		func(ctx context.Context, c *Client) (any, error) { return c.Messages(ctx, frozenQuery) }, frozenPage},
	{"Message", "GET /v1/message?id=m1", "", "message", func(ctx context.Context, c *Client) (any, error) { return c.Message(ctx, "m1") }, frozenMessage},
	{"Log", "GET /v1/log?after=0", "", "log", func(ctx context.Context, c *Client) (any, error) { return c.Log(ctx, 0) }, frozenLog},
	{"Fleet", "GET /v1/fleet", "", "fleet", func(ctx context.Context, c *Client) (any, error) { return c.Fleet(ctx) }, frozenFleet},
	{"Drain", "POST /v1/drain", "drain request", "drain answer", func(ctx context.Context, c *Client) (any, error) { return c.Drain(ctx, frozenDrain) }, frozenDrainAnswer},
	{"Undrain", "POST /v1/undrain", "drain request", "drain answer", func(ctx context.Context, c *Client) (any, error) { return c.Undrain(ctx, frozenDrain) }, frozenDrainAnswer},
	{"Stop", "POST /v1/stop", "stop request", "stop answer", func(ctx context.Context, c *Client) (any, error) { return c.Stop(ctx, frozenStop) }, frozenStopAnswer},
	{"Gone", "POST /v1/fleet/gone", "gone request", "fleet", func(ctx context.Context, c *Client) (any, error) { return c.Gone(ctx, frozenGone) }, frozenFleet},
}

// frozenBackend answers with the frozen values, and keeps what it was asked last.
type frozenBackend struct{ asked chan any }

func (b frozenBackend) ask(method string, q any) { b.asked <- []any{method, q} }

func (b frozenBackend) Status(context.Context) (Status, error) {
	return frozenStatus, nil
}
func (b frozenBackend) Partners(context.Context) ([]Partner, error) {
	return frozenPartners, nil
}
func (b frozenBackend) Messages(_ context.Context, q Query) (Page, error) {
	b.ask("Messages", q)
	return frozenPage, nil
}
func (b frozenBackend) Message(_ context.Context, id string) (Message, error) {
	b.ask("Message", id)
	return frozenMessage, nil
}
func (b frozenBackend) Drain(_ context.Context, q DrainRequest) (DrainAnswer, error) {
	b.ask("Drain", q)
	return frozenDrainAnswer, nil
}
func (b frozenBackend) Undrain(_ context.Context, q DrainRequest) (DrainAnswer, error) {
	b.ask("Undrain", q)
	return frozenDrainAnswer, nil
}
func (b frozenBackend) Stop(_ context.Context, q StopRequest) (StopAnswer, error) {
	b.ask("Stop", q)
	return frozenStopAnswer, nil
}
func (b frozenBackend) Fleet(context.Context) (Fleet, error) {
	return frozenFleet, nil
}
func (b frozenBackend) Gone(_ context.Context, q GoneRequest) (Fleet, error) {
	b.ask("Gone", q)
	return frozenFleet, nil
}

// unixClient is a plain client of HTTP on a socket.
func unixClient(t *testing.T, path string) *http.Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// The present server answers the frozen requests with the frozen bytes.
func TestServerAnswersFrozenRequests(t *testing.T) {
	old, path := oldForms(t), filepath.Join(t.TempDir(), "s")
	tail := NewTail(slog.DiscardHandler)
	tail.buffer.add(frozenLog[0])
	backend := frozenBackend{make(chan any, 1)}
	s, err := Listen(path, backend, tail)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	client := unixClient(t, path)
	asks := map[string]any{"Messages": frozenQuery, "Message": "m1", "Drain": frozenDrain, "Undrain": frozenDrain, "Stop": frozenStop, "Gone": frozenGone}
	for _, c := range frozenCalls {
		method, uri, _ := strings.Cut(c.request, " ")
		req, err := http.NewRequest(method, "http://relay"+uri, strings.NewReader(old[c.body]))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || string(body) != old[c.answer]+"\n" {
			t.Errorf("%s: status %d, %v\n%s, want\n%s", c.request, resp.StatusCode, err, body, old[c.answer])
		}
		if q, is := asks[c.method]; is {
			if got := <-backend.asked; !reflect.DeepEqual(got, []any{c.method, q}) {
				t.Errorf("%s: the relay was asked %+v, want %+v", c.request, got, q)
			}
		}
	}
}

// The present client makes the frozen requests, and reads the frozen answers.
func TestClientMakesFrozenRequests(t *testing.T) {
	old, path := oldForms(t), filepath.Join(t.TempDir(), "s")
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	var answer string
	var request, body string
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		data, _ := io.ReadAll(req.Body)
		request, body = req.Method+" "+req.RequestURI, string(data)
		if strings.HasPrefix(answer, `{"error"`) {
			w.WriteHeader(404)
		}
		io.WriteString(w, answer+"\n")
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	client := Dial(path)
	t.Cleanup(client.Close)
	for _, c := range frozenCalls {
		answer = old[c.answer]
		got, err := c.call(t.Context(), client)
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s gives %+v, %v, want %+v", c.method, got, err, c.want)
		}
		if request != c.request || body != old[c.body] {
			t.Errorf("%s asks %s with %s, want %s with %s", c.method, request, body, c.request, old[c.body])
		}
		answer = old["error"]
		if _, err := c.call(t.Context(), client); !reflect.DeepEqual(err, &Error{Status: 404, Code: "not_found", Text: "text-1"}) {
			t.Errorf("%s: the frozen error is read as %#v", c.method, err)
		}
	}
}

// Guards against a call that no fixture covers.
func TestAllCallsAreFrozen(t *testing.T) {
	covered := map[string]bool{"Close": true, "Path": true} // which ask nothing
	for _, c := range frozenCalls {
		covered[c.method] = true
	}
	for _, of := range []reflect.Type{reflect.TypeFor[*Client](), reflect.TypeFor[Backend]()} {
		for i := range of.NumMethod() {
			if name := of.Method(i).Name; !covered[name] {
				t.Errorf("no frozen request for %v.%s", of, name)
			}
		}
	}
}

// Codes of errors with the status of HTTP that goes with them, and the names of states.
func TestNamesAreAsFrozen(t *testing.T) {
	for code, want := range map[string]struct {
		text   string
		status int
	}{NotFound: {"not_found", 404}, Invalid: {"invalid", 400}, Conflict: {"conflict", 409}, Busy: {"busy", 429}, Failed: {"failed", 500}, Stopped: {"stopped", 503}} {
		if code != want.text || statusByCode[code] != want.status {
			t.Errorf("code %q has status %d, want %q with %d", code, statusByCode[code], want.text, want.status)
		}
		data := mustMarshal(map[string]*Error{"error": toError(Errorf(code, "t"))})
		if !bytes.Equal(data, []byte(`{"error":{"code":"`+want.text+`","text":"t"}}`)) {
			t.Errorf("code %q is answered as %s", code, data)
		}
	}
	if len(statusByCode) != 6 {
		t.Errorf("%d codes, 6 are in this test", len(statusByCode))
	}
	if want := []string{"waiting", "out", "delivered", "refused", "failed"}; !slices.Equal(States, want) {
		t.Errorf("states %q, want %q", States, want)
	}
	if want := []string{"partner", "class", "state", "ended", "older_ms", "newest", "limit", "cursor", "id"}; !slices.Equal(queryNames, want) {
		t.Errorf("parameters of a query %q, want %q", queryNames, want)
	}
	if Version != 1 {
		t.Errorf("version %d, want 1", Version)
	}
}
