package proxy

import (
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// A new configuration that drops a route, or moves it to another service, does not affect requests in flight.
func TestConfigurationChangeKeepsRequests(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool {
		if strings.HasPrefix(c.req.URL.Path, "/stream/") {
			c.raw(streamHead(c) + chunk(event(1, "x")))
			<-release
			c.raw(chunk(event(2, "y")) + lastChunk)
			return true
		}
		<-release
		c.respond(200, "", c.id())
		return true
	})
	f := newFront(t, h)
	var under []*conn
	for _, path := range []string{"/order/x", "/tool/x", "/stream/x"} {
		c := f.dial()
		c.send(requestText("POST", path, "a", timeLeft, "x"))
		under = append(under, c)
	}
	eventually(t, "calls", func() bool { return h.calls.Load() == 3 })
	for _, change := range []func(c *routing.Config){
		func(c *routing.Config) {
			c.Limits.HeaderTimeout, c.Limits.IdleTimeout, c.Limits.MaxBody = time.Millisecond, time.Millisecond, 1
			c.Version++
		},
	} {
		withConfig(f, change)
	}
	empty, err := routing.Parse([]byte(`{"config_version":9,"route_table":[],"service_table":[],"limits":{"max_header_bytes":6000,"max_body_bytes":100000,"header_timeout_ms":1,"idle_timeout_ms":1}}`))
	if err != nil {
		t.Fatal(err)
	}
	f.source.set(func(tb *feed.Tables) { tb.Config = empty })
	want(t, "status of a route that was dropped", f.do("POST", "/order/x", "b", timeLeft, "x").status, 404)
	close(release)
	for _, c := range under {
		a := c.read()
		want(t, "status of one in flight", a.status, 200)
		want(t, "its error", a.err, nil)
	}
}
