package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"larchrouter/internal/fixture"
)

// frozenState has a value of its own for every field.
func frozenState() State {
	return State{InFlight: []InFlight{{ID: "m1", Call: 0}, {ID: "m2", Call: 3}}, RetryAfter: map[string]int64{"h1": 250}, Ended: []Ended{{ID: "p1", Sum: 0xfffffffe}},
		HostList: json.RawMessage(`{"version":7,"full":true,"servers":null}`)}
}

// frozenMessages are what the two processes say to each other in JSON, one message to a line.
var frozenMessages = []struct {
	name  string
	value any
}{
	{"state", takeoverResponse{State: frozenState()}},
	{"state of a relay that holds nothing", takeoverResponse{}},
	{"refusal", takeoverResponse{Error: "the disk is full"}},
	{"outcome", Outcome{ID: "m1", Host: "h1", Outcome: 5, Elapsed: 1234567 * time.Microsecond, RetryAfter: 250 * time.Millisecond, Done: true}},
	{"outcome without what may be left out", Outcome{ID: "m2", Host: "h2"}},
}

// old reads the fixtures, and what precedes the JSON as a raw text: the request of an heir, its word that it serves.
func frozenTexts(t *testing.T) map[string]string {
	t.Helper()
	present := []fixture.Line{{Name: "request", Text: fmt.Sprintf("%q", "POST /takeover HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n")},
		{Name: "listener", Text: `"L"`}, {Name: "ready", Text: `"ready\n"`}}
	for _, m := range frozenMessages {
		data, err := json.Marshal(m.value)
		if err != nil {
			t.Fatal(err)
		}
		present = append(present, fixture.Line{Name: m.name, Text: string(data)})
	}
	old := fixture.Lines(t, "testdata/messages-v1.txt", present)
	if len(old) != len(present) {
		t.Errorf("%d messages in the file, %d in the test", len(old), len(present))
	}
	for _, p := range present {
		if old[p.Name] != p.Text {
			t.Errorf("%s: encoded as %s, want %s", p.Name, p.Text, old[p.Name])
		}
	}
	return old
}

// Guards against a change of what a process and its successor, which may be of different builds, say to each other.
func TestMessagesMatchFrozenFixtures(t *testing.T) {
	old := frozenTexts(t)
	var all []any
	for _, m := range frozenMessages {
		all = append(all, m.value)
		got := reflect.New(reflect.TypeOf(m.value))
		if err := json.Unmarshal([]byte(old[m.name]), got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), m.value) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", m.name, got.Elem(), err, m.value)
		}
	}
	if unset := fixture.Unset(all...); len(unset) > 0 {
		t.Errorf("no message sets %v", unset)
	}
}

// unquoted is a raw text of the fixtures.
func unquoted(t *testing.T, s string) (text string) {
	t.Helper()
	if err := json.Unmarshal([]byte(s), &text); err != nil {
		t.Fatal(err)
	}
	return text
}

// An heir of an earlier build, which says the frozen bytes, is handed the relay over by the present owner.
func TestOwnerHandsOverToFrozenSuccessor(t *testing.T) {
	old, dir := frozenTexts(t), t.TempDir()
	o := newOwner(t, dir)
	o.state = frozenState()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(dir, "handover"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(conn, unquoted(t, old["request"]))
	first, rights := make([]byte, 1), make([]byte, 100)
	n, rn, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil || string(first[:n]) != unquoted(t, old["listener"]) {
		t.Fatalf("the first byte is %q, %v", first[:n], err)
	}
	l, err := parseListener(rights[:rn])
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	in := bufio.NewReader(conn)
	line := func(what, want string) {
		t.Helper()
		if got, err := in.ReadString('\n'); err != nil || got != want+"\n" {
			t.Fatalf("%s is %q, %v, want %q", what, got, err, want)
		}
	}
	line("the state", old["state"])
	io.WriteString(conn, unquoted(t, old["ready"]))
	receive(t, o.serves, "word that the heir serves")
	line("an outcome from before", `{"i":"early","h":"","o":0,"t":0}`)
	receive(t, o.link, "link").Notify(frozenMessages[3].value.(Outcome))
	line("an outcome", old["outcome"])
	conn.Close()
	receive(t, o.orphaned, "word that the heir has gone")
}

// An owner of an earlier build, which says the frozen bytes, hands the relay over to the present heir.
func TestSuccessorTakesOverFromFrozenOwner(t *testing.T) {
	old := frozenTexts(t)
	for name, refuses := range map[string]bool{"hands over": false, "refuses": true} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "handover"), Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			defer socket.Close()
			clients, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer clients.Close()
			request, ready := unquoted(t, old["request"]), unquoted(t, old["ready"])
			said := make(chan string, 1) // by the heir
			go func() {
				conn, err := socket.AcceptUnix()
				if err != nil {
					said <- err.Error()
					return
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				first := make([]byte, len(request))
				io.ReadFull(conn, first)
				if refuses {
					io.WriteString(conn, old["refusal"]+"\n")
					said <- string(first)
					return
				}
				sendListener(conn, clients.(*net.TCPListener))
				io.WriteString(conn, old["state"]+"\n")
				second := make([]byte, len(ready))
				io.ReadFull(conn, second)
				io.WriteString(conn, old["outcome"]+"\n"+old["outcome without what may be left out"]+"\n")
				said <- string(first) + string(second)
			}()
			h, err := Request(testContext(t), dir)
			if refuses {
				if h != nil || !reflect.DeepEqual(err, &RefusedError{"the disk is full"}) {
					t.Errorf("%v, %v, want the refusal", h, err)
				}
				if s := receive(t, said, "request"); s != request {
					t.Errorf("the heir said %q", s)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer h.Listener.Close()
			if !reflect.DeepEqual(h.State, frozenState()) {
				t.Errorf("state %+v, want %+v", h.State, frozenState())
			}
			var outcomes []Outcome
			c, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			h.ReceiveOutcomes(c, func(o Outcome) { outcomes = append(outcomes, o) })
			if want := []Outcome{frozenMessages[3].value.(Outcome), frozenMessages[4].value.(Outcome)}; !reflect.DeepEqual(outcomes, want) {
				t.Errorf("outcomes %+v, want %+v", outcomes, want)
			}
			if s := receive(t, said, "what the heir said"); s != request+ready {
				t.Errorf("the heir said %q", s)
			}
		})
	}
}
