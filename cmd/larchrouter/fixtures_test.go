package main

import (
	"bytes"
	"strings"
	"testing"

	"larchrouter/internal/fixture"
	"larchrouter/internal/relay/journal"
)

// What "journal inspect --json" and "journal verify --json" print, for operators' scripts. Fields of a damage have the names
// that they have in Go.
func TestJournalViewIsAsFrozen(t *testing.T) {
	v := journalView{State: "/state", InUse: true, Bytes: 1, Segments: []segmentView{{Name: "journal-00000002", Bytes: 3, Records: 4, First: 5, Last: 6}},
		Messages: []messageView{{ID: "m7", Partner: "acme", Class: "payment", Bytes: 8, DueMs: 9, Tries: 10, Owed: "owed-11"}}, Ended: 12,
		Drains: []string{"partner:p13"}, Unwell: []string{"e14"},
		Damage:   []journal.Damage{{File: "journal-00000015", From: 16, To: 17, First: 18, Last: 19, Saved: "journal-damaged-00000015-16"}},
		Suspects: []string{"m20"}, Lost: []string{"m21"}, Torn: 22, Unread: 23, Foreign: []string{"lock"}}
	if unset := fixture.Unset(v); len(unset) > 0 {
		t.Errorf("not set: %v", unset)
	}
	var present []fixture.Line
	for _, l := range []struct {
		name string
		view journalView
	}{{"all fields", v}, {"no field", journalView{}}} {
		var out bytes.Buffer
		if err := (&app{out: &out, json: true}).print(l.view, nil); err != nil {
			t.Fatal(err)
		}
		present = append(present, fixture.Line{Name: l.name, Text: strings.ReplaceAll(strings.TrimSuffix(out.String(), "\n"), "\n", `\n`)})
	}
	old := fixture.Lines(t, "testdata/journal-view.txt", present)
	if len(old) != len(present) {
		t.Errorf("%d views in the file, %d in the test", len(old), len(present))
	}
	for _, p := range present {
		if old[p.Name] != p.Text {
			t.Errorf("%s: printed as\n%s, want\n%s", p.Name, p.Text, old[p.Name])
		}
	}
}
