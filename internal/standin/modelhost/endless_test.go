package modelhost

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// awaitBytes expects that a host goes on to send, and returns the beginning of what came.
func awaitBytes(t *testing.T, c *caller) string {
	t.Helper()
	const much = 512 << 10
	b := make([]byte, much)
	if n, err := io.ReadFull(c.reader, b); err != nil {
		t.Errorf("it ends after %d bytes: %v", n, err)
	}
	return string(b)
}

func TestEndlessForms(t *testing.T) {
	for _, form := range Forms {
		for _, model := range []string{"", "m"} {
			for _, status := range []int{200, 500, 503} {
				t.Run(fmt.Sprintf("%s, %d, model %q", form, status, model), func(t *testing.T) {
					h := start(t, Options{Model: model})
					h.SetFault(Fault{Kind: Endless, Form: form, Status: status})
					c := dial(t, h)
					c.send("POST /x/", "a", "")
					text := awaitBytes(t, c)
					if first := fmt.Sprintf("HTTP/1.1 %d", status); form != EndlessInterim && !strings.HasPrefix(text, first) {
						t.Errorf("it begins with %.40q", text)
					}
					if proof := strings.Contains(text, "X-Not-Executed"); form != EndlessInterim && proof != (status == 503) {
						t.Errorf("it says that the request was not executed: %v", proof)
					}
				})
			}
		}
	}
}

// An endless answer begins with proper events, may go over to another form, and ends once the fault changes.
func TestEndlessAfterProperEvents(t *testing.T) {
	h := start(t, Options{Model: "m"})
	h.SetFault(Fault{Kind: Endless, Form: EndlessEvents, Then: EndlessComments, After: 2})
	c := dial(t, h)
	c.send("POST /x/", "a", "")
	response := c.head()
	text := make([]byte, 256<<10)
	if _, err := io.ReadFull(response.Body, text); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"id: 1\ndata: a says 1\n\n", "id: 3\ndata: a says 3\n\n", ": still here\n\n: still here\n\n"} {
		if !strings.Contains(string(text), part) {
			t.Errorf("it has no %q", part)
		}
	}
	h.SetFault(Fault{})
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Error("it looks complete")
	}
}

// With a pause it sends one event at a time.
func TestEndlessWithPause(t *testing.T) {
	h := start(t, Options{Model: "m"})
	h.SetFault(Fault{Kind: Endless, Form: EndlessEvents, Pause: time.Hour})
	c := dial(t, h)
	c.send("POST /x/", "a", "")
	event := make([]byte, len("id: 1\ndata: a says 1\n\n"))
	if _, err := io.ReadFull(c.head().Body, event); err != nil || string(event) != "id: 1\ndata: a says 1\n\n" {
		t.Errorf("it sends %q, %v", event, err)
	}
}
