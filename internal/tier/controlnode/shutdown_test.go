package controlnode

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/process"
)

// A node that is stopped while it decides an order, here without a majority, still answers the order.
func TestStopAnswersOrdersInFlight(t *testing.T) {
	c := &cluster{t: t, basePort: findFreeBasePort(t), n: 3, dirs: []string{t.TempDir()}}
	core, err := Open(c.settings(0, true), process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := core.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	defer running.Wait()
	defer stop()
	core.onLoop(func() {})
	transport := &http.Transport{ExpectContinueTimeout: time.Minute}
	defer transport.CloseIdleConnections()
	trace := &httptrace.ClientTrace{Got100Continue: stop} // the server sends it once the handler reads the body
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace),
		http.MethodPut, "http://"+c.control(0)+configPath, bytes.NewReader(config(1)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("If-Match", "0")
	request.Header.Set("Expect", "100-continue")
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatalf("an order in flight at the shutdown gets no response: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
}
