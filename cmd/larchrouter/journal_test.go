package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/relay/journal"
)

// The journal commands read a folder without a relay, tell what each message is owed, and name what is damaged.
func TestJournalCommands(t *testing.T) {
	dir := t.TempDir()
	j, err := journal.Open(dir, journal.Options{Budget: 3e6, Retention: journal.Retention{MaxIDs: 10, MaxBytes: 1 << 20, MaxAgeMs: 1e6}})
	if err != nil {
		t.Fatal(err)
	}
	message := func(id string) journal.Record {
		return journal.Record{Op: journal.OpTaken, Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Partner: "pay", Due: 1e12, Body: []byte("x")}}
	}
	for _, r := range []journal.Record{message("fresh"), message("out"), message("ran"), message("over"), message("told"),
		{Op: journal.OpTry, ID: "out"}, {Op: journal.OpTry, ID: "ran"}, {Op: journal.OpOutcome, ID: "ran", Ran: true},
		{Op: journal.OpEnd, ID: "over", At: 5}, {Op: journal.OpNotice, ID: "told", Status: "deferred"}} {
		if err := j.Append(r); err != nil {
			t.Fatal(err)
		}
	}
	j.Close()
	before := contents(t, dir)
	out, errs, code := call(t, "journal", "inspect", "--messages", dir)
	for _, want := range []string{"4 messages, 1 ids", "fresh", "not tried yet", "an attempt was out", "an attempt may have run", "a notice: deferred", "no damage"} {
		if !strings.Contains(out, want) || code != 0 {
			t.Errorf("inspect says\n%s%s(code %d), want %q in it", out, errs, code, want)
		}
	}
	if _, _, code := call(t, "journal", "verify", dir); code != 0 {
		t.Errorf("verify of a good folder ends with %d", code)
	}
	out, _, _ = call(t, "journal", "inspect", "--json", dir)
	var v struct {
		Messages []struct{ ID, Owed string }
		Damage   []any
	}
	if err := json.Unmarshal([]byte(out), &v); err != nil || len(v.Messages) != 4 || v.Messages[0].ID != "fresh" {
		t.Errorf("JSON: %v in\n%s", err, out)
	}
	if after := contents(t, dir); after != before {
		t.Error("the folder was changed")
	}

	path := filepath.Join(dir, "journal-00000001")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[strings.Index(string(data), "fresh")] ^= 1
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	out, errs, code = call(t, "journal", "verify", dir)
	if code != exitFailed || !strings.Contains(out, "records 1 to 1 are missing") || !strings.Contains(errs, "is damaged") {
		t.Errorf("verify of a damaged folder says\n%s%s(code %d)", out, errs, code)
	}
	for _, no := range []string{filepath.Join(dir, "missing"), path} {
		if _, errs, code := call(t, "journal", "inspect", no); code != exitFailed || strings.Count(errs, "\n") != 1 {
			t.Errorf("inspect %s: %q, code %d", no, errs, code)
		}
	}
}

func contents(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, e := range entries {
		data, _ := os.ReadFile(filepath.Join(dir, e.Name()))
		all = append(all, fmt.Sprintf("%s %x", e.Name(), data))
	}
	return strings.Join(all, "\n")
}
