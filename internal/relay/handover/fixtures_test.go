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

// frozenState sets every field.
func frozenState() State {
	return State{
		InFlight:   []InFlight{{ID: "m1", Call: 0}, {ID: "m2", Call: 3}},
		RetryAfter: map[string]int64{"h1": 250},
		Ended:      []Ended{{ID: "p1", Sum: 0xfffffffe}},
		HostList:   json.RawMessage(`{"version":7,"full":true,"servers":null}`),
	}
}

// frozenMessages are the JSON messages between the two processes, one a line.
var frozenMessages = []struct {
	name  string
	value any
}{
	{"state", takeoverResponse{State: frozenState()}},
	{"state of a relay that holds nothing", takeoverResponse{}},
	{"refusal", takeoverResponse{Error: "the disk is full"}},
	{"outcome", Outcome{ID: "m1", Host: "h1", Outcome: 5,
		Elapsed: 1234567 * time.Microsecond, RetryAfter: 250 * time.Millisecond, Done: true}},
	{"outcome without what may be left out", Outcome{ID: "m2", Host: "h2"}},
}

// frozenTexts returns the fixtures by name, after comparing them with what is encoded now. Those that are not JSON are
// quoted: the request of a successor, the listener byte and the line that reports that the successor serves.
func frozenTexts(t *testing.T) map[string]string {
	t.Helper()
	present := []fixture.Line{
		{Name: "request", Text: fmt.Sprintf("%q", "POST /takeover HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n")},
		{Name: "listener", Text: `"L"`}, {Name: "ready", Text: `"ready\n"`},
	}
	for _, m := range frozenMessages {
		data, err := json.Marshal(m.value)
		if err != nil {
			t.Fatal(err)
		}
		present = append(present, fixture.Line{Name: m.name, Text: string(data)})
	}
	frozen := fixture.Lines(t, "testdata/messages-v1.txt", present)
	if len(frozen) != len(present) {
		t.Errorf("%d messages in the file, %d in the test", len(frozen), len(present))
	}
	for _, p := range present {
		if frozen[p.Name] != p.Text {
			t.Errorf("%s: encoded as %s, want %s", p.Name, p.Text, frozen[p.Name])
		}
	}
	return frozen
}

// The messages between a process and its successor, which may be of different builds, do not change.
func TestMessagesMatchFrozenFixtures(t *testing.T) {
	frozen := frozenTexts(t)
	var all []any
	for _, m := range frozenMessages {
		all = append(all, m.value)
		got := reflect.New(reflect.TypeOf(m.value))
		err := json.Unmarshal([]byte(frozen[m.name]), got.Interface())
		if err != nil || !reflect.DeepEqual(got.Elem().Interface(), m.value) {
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

// The present owner hands over to a successor of an earlier build, which sends the frozen bytes.
func TestOwnerHandsOverToFrozenSuccessor(t *testing.T) {
	frozen, dir := frozenTexts(t), t.TempDir()
	o := newOwner(t, dir)
	o.state = frozenState()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(dir, "handover"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(conn, unquoted(t, frozen["request"]))
	first, rights := make([]byte, 1), make([]byte, 100)
	n, rightsLen, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil || string(first[:n]) != unquoted(t, frozen["listener"]) {
		t.Fatalf("the first byte is %q, %v", first[:n], err)
	}
	l, err := parseListener(rights[:rightsLen])
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
	line("the state", frozen["state"])
	io.WriteString(conn, unquoted(t, frozen["ready"]))
	receive(t, o.serves, "call of SuccessorServing")
	line("an outcome from before", `{"i":"early","h":"","o":0,"t":0}`)
	receive(t, o.link, "link").Notify(frozenMessages[3].value.(Outcome))
	line("an outcome", frozen["outcome"])
	conn.Close()
	receive(t, o.lost, "call of SuccessorLost")
}

// The present successor takes over from an owner of an earlier build, which sends the frozen bytes.
func TestSuccessorTakesOverFromFrozenOwner(t *testing.T) {
	frozen := frozenTexts(t)
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
			request, ready := unquoted(t, frozen["request"]), unquoted(t, frozen["ready"])
			received := make(chan string, 1) // from the successor
			go func() {
				conn, err := socket.AcceptUnix()
				if err != nil {
					received <- err.Error()
					return
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				first := make([]byte, len(request))
				io.ReadFull(conn, first)
				if refuses {
					io.WriteString(conn, frozen["refusal"]+"\n")
					received <- string(first)
					return
				}
				sendListener(conn, clients.(*net.TCPListener))
				io.WriteString(conn, frozen["state"]+"\n")
				second := make([]byte, len(ready))
				io.ReadFull(conn, second)
				io.WriteString(conn, frozen["outcome"]+"\n"+frozen["outcome without what may be left out"]+"\n")
				received <- string(first) + string(second)
			}()
			successor, err := Request(testContext(t), dir)
			if refuses {
				if successor != nil || !reflect.DeepEqual(err, &RefusedError{"the disk is full"}) {
					t.Errorf("%v, %v, want the refusal", successor, err)
				}
				if s := receive(t, received, "request"); s != request {
					t.Errorf("the successor sent %q", s)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer successor.Listener.Close()
			if !reflect.DeepEqual(successor.State, frozenState()) {
				t.Errorf("state %+v, want %+v", successor.State, frozenState())
			}
			var outcomes []Outcome
			receiveContext, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			successor.ReceiveOutcomes(receiveContext, func(o Outcome) { outcomes = append(outcomes, o) })
			want := []Outcome{frozenMessages[3].value.(Outcome), frozenMessages[4].value.(Outcome)}
			if !reflect.DeepEqual(outcomes, want) {
				t.Errorf("outcomes %+v, want %+v", outcomes, want)
			}
			if s := receive(t, received, "successor's messages"); s != request+ready {
				t.Errorf("the successor sent %q", s)
			}
		})
	}
}
