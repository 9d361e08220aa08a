package modelhost

import (
	"context"
	"errors"
	"strings"
	"testing"
)

func TestRunLog(t *testing.T) {
	l := new(RunLog)
	h, g := start(t, Options{ID: "h", Model: "m", Events: 2, RunLog: l}), start(t, Options{ID: "g", Model: "m", Events: 1, RunLog: l})
	inputs := map[string]string{"a": "one ", "b": "two", "c": "three", "d": "four", "e": "five"}
	ask := func(h *Host, id, previous, history string) {
		c := dial(t, h)
		c.send("POST /t/", id, history+inputs[id], "Previous: "+previous)
		c.answer()
	}
	histories := func() string {
		return strings.Join(l.HistoryMismatches(func(id string) []byte { return []byte(inputs[id]) }), "; ")
	}
	ask(h, "a", "", "")
	ask(g, "b", "a", "one a says 1\na says 2\n")
	ask(h, "c", "b", "one a says 1\na says 2\ntwob says 1\n")
	want(t, "histories", histories(), "")
	ask(h, "d", "b", "one a says 1\ntwob says 1\n")
	ask(h, "e", "x", "")
	want(t, "histories", histories(), `d got "one a says 1\ntwob says 1\nfour", want "one a says 1\na says 2\ntwob says 1\nfour"; e continues x, which was not completed`)

	want(t, "duplicate runs", len(l.DuplicateRuns(func(Run) bool { return false })), 0)
	ask(g, "a", "", "")
	ask(g, "c", "b", "one a says 1\na says 2\ntwob says 1\n")
	want(t, "duplicate runs", strings.Join(l.DuplicateRuns(func(r Run) bool { return r.Attempt == "c" }), " "), "a")
}

func TestWaitEndsWithContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	l := new(RunLog)
	go func() { done <- l.Wait(ctx, func(r []Run) bool { return len(r) > 0 }) }()
	stop()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}
