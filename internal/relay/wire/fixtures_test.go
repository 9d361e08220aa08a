package wire

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
)

// The lines that a simulator of another version writes are understood.
func TestInputIsAsFrozen(t *testing.T) {
	hosts := []choice.Host{
		{Addr: "h1", Dest: 2, Kind: 3, Zone: 4, Rate: 5.5, State: choice.Ready},
		{Addr: "h2", Dest: 6, State: choice.Gone},
		{Addr: "h3", Dest: 7, State: choice.Draining},
	}
	input := "HOST\thost=h1\tcell=2\tkind=3\track-zone=4\tsize=5.5\tcondition=1\n" +
		"HOST\thost=h2\tcell=6\tcondition=0\nHOST\thost=h3\tcell=7\tcondition=2\n"
	s := &session{input: bufio.NewReader(strings.NewReader(input)), fields: map[string]string{}, catalogs: map[int][]choice.Host{}}
	catalog, err := parseLine(1, "CATALOG\tsheet=8\trecords=3", map[string]string{})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.catalog(catalog); err != nil || !reflect.DeepEqual(s.catalogs[8], hosts) {
		t.Errorf("CATALOG is read as %+v, %v, want %+v", s.catalogs[8], err, hosts)
	}
	in := &instance{timerTag: 9}
	for text, want := range map[string]choice.Event{
		"ACCEPT\top-id=m1\tpriority=2\tfar-end=3\tleft=4.5\tsubject=k6": choice.Arrival{
			ID: "m1", Class: 2, Dest: 3, Left: 4500 * time.Millisecond, Key: "k6"},
		"ATTEMPT_END\top-id=m1\thost=h2\ttry=3\thow=turned_away\tcost-time=0.25\tover=1\tremark-ms=5\t" +
			"feedback=6.5,7": choice.Result{
			ID: "m1", Host: "h2",
			Attempt: 3, Outcome: choice.Refused, Took: 250 * time.Millisecond, Wait: 5 * time.Millisecond, Done: true, Report: []float64{6.5, 7}},
		"UPDATE\tscope=0\tsheet=8":        choice.Listing{Hosts: hosts},
		"UPDATE\tscope=1\tsheet=8":        choice.Listing{Whole: true, Hosts: hosts},
		"UPDATE\tscope=2\tsheet=8":        choice.Listing{Whole: true, Hosts: hosts},
		"UPDATE\tscope=3":                 choice.Listing{Failed: true},
		"CLIENT_GONE\top-id=m1":           choice.Withdrawn{ID: "m1"},
		"FIRED\ttag=9":                    choice.Woken{},
		"FIRED\ttag=8":                    nil,
		"PROBE_DONE\thost=h1\thow=served": nil,
		"FIRST_BYTE\top-id=m1":            nil,
		"FROM_PEER\tauthor=3\tbytes=AQL/": choice.Heard{From: 3, Note: []byte{1, 2, 255}},
	} {
		l, err := parseLine(1, text, map[string]string{})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := s.translate(l, in); err != nil || l.err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q is read as %+v, %v, %v, want %+v", text, got, err, l.err, want)
		}
	}
	frozen := map[string]choice.Outcome{"served": 0, "server_error": 1, "turned_away": 2, "no_answer": 3, "no_connection": 4,
		"connection_lost": 5, "called_off": 6, "not_sent": 7}
	if !reflect.DeepEqual(outcomeNames, frozen) {
		t.Errorf("outcomes %v, want %v", outcomeNames, frozen)
	}
}

// The lines that a simulator of another version reads are written byte for byte.
func TestOutputIsAsFrozen(t *testing.T) {
	var out bytes.Buffer
	s := &session{output: bufio.NewWriter(&out)}
	in := &instance{name: "r", timerTag: 6}
	for _, tc := range []struct {
		action choice.Action
		want   string
	}{
		{choice.Send{ID: "m1", Host: "h2", Timeout: 3500 * time.Millisecond}, "PLACE\trelay-id=r\top-id=m1\thost=h2\tmax-wait=3.5\n"},
		{choice.Refuse{ID: "m1", After: 250 * time.Millisecond}, "DENY\trelay-id=r\top-id=m1\tnot-before-for=0.25\n"},
		{choice.Fail{ID: "m1"}, "SURRENDER\trelay-id=r\top-id=m1\n"},
		{choice.Cancel{ID: "m1", Attempt: 4}, "REVOKE\trelay-id=r\top-id=m1\ttry=4\n"},
		{choice.Wake{After: 5 * time.Second}, "ARM\trelay-id=r\twait=5\ttag=7\n"},
		{choice.Subscribe{}, "OBSERVE\trelay-id=r\twant=1\n"},
		{choice.Tell{To: 8, Note: []byte{1, 2, 255}}, "SAY\trelay-id=r\taddressee=8\tbytes=AQL/\n"},
		{choice.Log{Text: "text"}, "EMIT\trelay-id=r\tnote-text=text\n"},
		{choice.Health{Host: "h2", Unwell: true, Base: 9}, ""}, // for a standalone relay only
	} {
		out.Reset()
		s.printAction(in, tc.action)
		s.output.Flush()
		if out.String() != tc.want {
			t.Errorf("%+v is written as %q, want %q", tc.action, out.String(), tc.want)
		}
	}
}
