package modelhost

import (
	"fmt"
	"io"
	"testing"
)

func TestFaults(t *testing.T) {
	one := func(id int) string { return fmt.Sprintf("id: %d\ndata: a says %d\n\n", id, id) }
	for _, q := range []struct {
		name    string
		model   string
		fault   Fault
		status  int // 0 for no answer
		body    string
		err     error
		outcome Outcome
		next    bool // the connection serves the next request
	}{
		{"none", "m", Fault{}, 200, one(1) + one(2), nil, Completed, true},
		{"abort before the first event", "m", Fault{Kind: Abort}, 0, "", nil, Aborted, false},
		{"abort within the stream", "m", Fault{Kind: Abort, After: 1}, 200, one(1), io.ErrUnexpectedEOF, Aborted, false},
		{"abort before the end", "m", Fault{Kind: Abort, After: 2}, 200, one(1) + one(2), io.ErrUnexpectedEOF, Aborted, false},
		{"drop the connection", "m", Fault{Kind: DropConnection}, 0, "", nil, Aborted, false},
		{"internal error", "m", Fault{Kind: InternalError}, 500, "", nil, Failed, true},
		{"close the connection", "m", Fault{Kind: CloseConnection}, 200, one(1) + one(2), nil, Completed, false},
		{"tool: abort", "", Fault{Kind: Abort, After: 4}, 200, "done", io.ErrUnexpectedEOF, Aborted, false},
		{"tool: abort before the last byte", "", Fault{Kind: Abort, After: 99}, 200, "done for a", io.ErrUnexpectedEOF, Aborted, false},
		{"tool: drop the connection", "", Fault{Kind: DropConnection}, 0, "", nil, Aborted, false},
		{"tool: internal error", "", Fault{Kind: InternalError}, 500, "", nil, Failed, true},
		{"tool: close the connection", "", Fault{Kind: CloseConnection}, 200, "done for a\n", nil, Completed, false},
	} {
		t.Run(q.name, func(t *testing.T) {
			h := start(t, Options{Model: q.model, Events: 2})
			q.fault.Times = 1
			h.SetFault(q.fault)
			c := dial(t, h)
			c.send("POST /x/", "a", "")
			if q.status == 0 {
				if _, err := c.reader.ReadByte(); err != io.EOF {
					t.Fatal("an answer was received:", err)
				}
			} else {
				resp := c.head()
				want(t, "status", resp.StatusCode, q.status)
				want(t, "id", resp.Header.Get("X-Attempt-Id"), "a")
				b, err := io.ReadAll(resp.Body)
				want(t, "body", string(b), q.body)
				want(t, "error", err, q.err)
			}
			want(t, "outcome", h.RunLog().ForAttempt("a")[0].Outcome, q.outcome)
			if q.next {
				c.send("POST /x/", "b", "")
				resp, _ := c.answer()
				want(t, "status of the next", resp.StatusCode, 200)
			} else if _, err := c.reader.ReadByte(); err != io.EOF {
				t.Fatal("the connection stays open:", err)
			}
			next := dial(t, h) // the fault affects one request
			next.send("POST /x/", "c", "")
			resp, _ := next.answer()
			want(t, "status on another connection", resp.StatusCode, 200)
		})
	}
}

func TestUnsolicitedBytes(t *testing.T) {
	for _, model := range []string{"", "m"} {
		h := start(t, Options{Model: model, Events: 1})
		h.SetFault(Fault{Kind: Garbage, Times: 1})
		c := dial(t, h)
		c.send("POST /x/", "a", "")
		b, _ := io.ReadAll(c.reader)
		want(t, "garbage", string(b), garbage)

		h.SetFault(Fault{Kind: TrailingBytes, Times: 1})
		c = dial(t, h)
		c.send("POST /x/", "b", "")
		c.answer()
		extra := make([]byte, len(garbage))
		if _, err := io.ReadFull(c.reader, extra); err != nil || string(extra) != garbage {
			t.Fatal(string(extra), err)
		}

		h.SetFault(Fault{Kind: DuplicateResponse, Times: 1})
		c = dial(t, h)
		c.send("POST /x/", "c", "")
		resp, first := c.answer()
		want(t, "id", resp.Header.Get("X-Attempt-Id"), "c")
		c.send("POST /x/", "d", "")
		resp, again := c.answer()
		want(t, "id of the duplicate answer", resp.Header.Get("X-Attempt-Id"), "c")
		want(t, "its body", again, first)
		resp, _ = c.answer()
		want(t, "id of the answer", resp.Header.Get("X-Attempt-Id"), "d")
		if duplicates := h.RunLog().DuplicateRuns(func(Run) bool { return false }); len(duplicates) > 0 {
			t.Fatal("duplicate runs:", duplicates)
		}
	}
}
