package loadbench

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"time"

	"larchrouter/internal/standin"
)

// Proxy runs the plain reverse proxy that relays are compared with, if the environment variable LOADBENCH_PROXY has its address.
// It returns nil at once if not, and the error if the proxy fails.
func Proxy() error {
	addr := os.Getenv("LOADBENCH_PROXY")
	if addr == "" {
		return nil
	}
	var list []standin.Server
	if err := json.Unmarshal([]byte(os.Getenv("LOADBENCH_TARGETS")), &list); err != nil {
		return fmt.Errorf("LOADBENCH_TARGETS: %w", err)
	}
	targets := map[string]*url.URL{}
	for _, s := range list {
		targets[fmt.Sprint("dest=", s.Cell)] = &url.URL{Scheme: "http", Host: s.Addr, Path: "/receive"}
	}
	proxy := &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL = targets[strings.TrimSpace(r.In.Header.Get("X-Addressing"))]
		}}
	return http.ListenAndServe(addr, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/up" {
			return
		}
		proxy.ServeHTTP(w, req)
	}))
}
