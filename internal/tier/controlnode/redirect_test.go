package controlnode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"
)

// configOfSize returns a configuration of at least the given number of bytes.
func configOfSize(version, size int) []byte {
	body := config(version)
	pad := max(1, size-len(body))
	return fmt.Appendf(body[:len(body)-1], `,"note":"%s"}`, bytes.Repeat([]byte("x"), pad))
}

// A large body is not forwarded, since it would have to cross a second link within the second that callers wait: the
// caller is redirected to the head. Small bodies are forwarded.
func TestLargeBodiesAreRedirectedToHead(t *testing.T) {
	c := newCluster(t, 3)
	if got := c.put(1, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	lastVersion := 1
	put := func(node int, body []byte) *http.Response {
		t.Helper()
		req, err := http.NewRequest(http.MethodPut, "http://"+c.control(node)+"/api/config", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("If-Match", strconv.Itoa(lastVersion))
		resp, err := c.http.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	redirected := 0
	for node := range 3 {
		resp := put(node, configOfSize(lastVersion+1, maxForwardedBody+1))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("node %d: %d", node, resp.StatusCode)
		}
		if resp.Request.URL.Host != c.control(node) {
			redirected++
		}
		lastVersion++
	}
	if redirected != 2 {
		t.Errorf("%d of 3 nodes redirected a large body, want the two that are not the head", redirected)
	}
	for node := range 3 {
		c.until("a large configuration is read", func() bool {
			status, body := c.send(node, http.MethodGet, "/api/config", "", nil)
			var got struct {
				Version int `json:"config_version"`
			}
			return status == http.StatusOK && json.Unmarshal([]byte(body), &got) == nil && got.Version == lastVersion
		})
	}
	if resp := put(1, config(lastVersion+1)); resp.StatusCode != http.StatusOK || resp.Request.URL.Host != c.control(1) {
		t.Errorf("a small body: %d from %s", resp.StatusCode, resp.Request.URL.Host)
	}
}
