package controlnode

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"larchrouter/internal/membudget"
	"larchrouter/internal/process"
)

// A body over the limit is answered with 413 and the limit.
func TestOversizedBodiesAreRejected(t *testing.T) {
	s := &Server{settings: &process.Settings{}, memory: membudget.New(membudget.Options{})}
	for name, test := range map[string]struct {
		method, path string
		body         *bytes.Reader
		length       int64
		status       int
		text         string
	}{
		"a configuration over the limit": {http.MethodPut, configPath, bytes.NewReader(make([]byte, maxConfigBody+1)), maxConfigBody + 1,
			http.StatusRequestEntityTooLarge, fmt.Sprint(maxConfigBody)},
		"an order over the limit": {http.MethodPost, "/api/retire/store-1", bytes.NewReader(make([]byte, maxOrderBody+1)), maxOrderBody + 1,
			http.StatusRequestEntityTooLarge, fmt.Sprint(maxOrderBody)},
	} {
		request := httptest.NewRequest(test.method, test.path, test.body)
		request.ContentLength = test.length
		answer := httptest.NewRecorder()
		s.operatorAPI().ServeHTTP(answer, request)
		if answer.Code != test.status || !strings.Contains(answer.Body.String(), test.text) || answer.Header().Get("Retry-After") != "" {
			t.Errorf("%s: %d %s", name, answer.Code, answer.Body)
		}
	}
}

// An order that no head can decide is answered with the cause, which is also logged.
func TestUndecidedOrderNamesItsCause(t *testing.T) {
	c := newCluster(t, 3)
	if status := c.put(1, 0, 0, 1, 2); status != http.StatusOK {
		t.Fatal(status)
	}
	c.stop(1)
	c.stop(2)
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPut, configPath, bytes.NewReader(config(2)))
	request.Header.Set("If-Match", "1")
	c.cores[0].operatorAPI().ServeHTTP(answer, request)
	if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") != retryAfterUndecided {
		t.Errorf("%d, Retry-After %q: %s", answer.Code, answer.Header().Get("Retry-After"), answer.Body)
	}
	if !strings.Contains(answer.Body.String(), "no majority") && !strings.Contains(answer.Body.String(), "last:") {
		t.Errorf("the response has no cause: %s", answer.Body)
	}
	if text := c.logs.String(); !strings.Contains(text, "order undecided") || !strings.Contains(text, "PUT /api/config") {
		t.Errorf("the undecided order is not in the log: %s", text)
	}
}
