package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is an endpoint in the list of discovery.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// listVersion is the version of the list, which does not change.
const listVersion = 1

// Platform is a stand-in for the platform's agent on a relay's machine: it serves discovery and receives notices of messages' ends.
// Its methods are safe for concurrent use.
type Platform struct {
	server *http.Server
	addr   string

	servers []Server // immutable

	mu       sync.Mutex
	notices  map[string]int          // by status
	onNotice func(id, status string) // nil for none
	silent   chan struct{}           // closed when discovery responds again; nil while it responds
}

// NewPlatform starts a platform on a free loopback port.
func NewPlatform(servers []Server) (*Platform, error) { return NewPlatformWithNotices(servers, nil) }

// NewPlatformWithNotices starts a platform that calls a function with each notice, unless the function is nil.
func NewPlatformWithNotices(servers []Server, onNotice func(id, status string)) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{onNotice: onNotice, addr: l.Addr().String(), servers: servers, notices: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.hosts)
	mux.HandleFunc("POST /status", p.status)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(l)
	return p, nil
}

// Addr returns the address of the platform.
func (p *Platform) Addr() string { return p.addr }

// Close ends the platform.
func (p *Platform) Close() { p.server.Close() }

// SetSilent has discovery stop to respond, or respond again, also to the requests that wait. Notices are received all the time.
func (p *Platform) SetSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.silent == nil:
		p.silent = make(chan struct{})
	case !on && p.silent != nil:
		close(p.silent)
		p.silent = nil
	}
}

// waitWhileSilent waits until discovery responds. It returns false if the request was cancelled first.
func (p *Platform) waitWhileSilent(req *http.Request) bool {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent == nil {
		return true
	}
	select {
	case <-silent:
		return true
	case <-req.Context().Done():
		return false
	}
}

// Notices returns the number of notices by status.
func (p *Platform) Notices() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]int{}
	for k, n := range p.notices {
		all[k] = n
	}
	return all
}

func (p *Platform) hosts(w http.ResponseWriter, req *http.Request) {
	since, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	if !p.waitWhileSilent(req) {
		return
	}
	if since >= listVersion { // the caller has the list
		select {
		case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
		case <-req.Context().Done():
		}
	}
	answer := struct {
		Version int64    `json:"version"`
		Full    bool     `json:"full"`
		Servers []Server `json:"servers"`
	}{listVersion, since < listVersion, nil}
	if answer.Full {
		answer.Servers = p.servers
	}
	json.NewEncoder(w).Encode(answer)
}

func (p *Platform) status(w http.ResponseWriter, req *http.Request) {
	var all []struct{ ID, Status string }
	for lines := bufio.NewScanner(req.Body); lines.Scan(); {
		var n struct{ ID, Status string }
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.ID == "" {
			http.Error(w, fmt.Sprintf("a notice cannot be read: %v", err), http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	p.mu.Lock()
	for _, n := range all {
		p.notices[n.Status]++
	}
	p.mu.Unlock()
	for _, n := range all {
		if p.onNotice != nil {
			p.onNotice(n.ID, n.Status)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
