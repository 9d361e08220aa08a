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

// Server is an endpoint as discovery lists it.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// listVersion is the version of a list that does not change.
const listVersion = 1

// Platform is a stand-in for the platform's agent on a relay's machine: discovery, and the taker of notices.
// Its methods are safe for concurrent use.
type Platform struct {
	server *http.Server
	addr   string

	servers []Server // they stay as they are

	mu      sync.Mutex
	notices map[string]int // by status
	told    func(id, status string)
	silent  chan struct{} // closed when it answers again; nil while it answers
}

// NewPlatform starts one on a loopback port of its own.
func NewPlatform(servers []Server) (*Platform, error) { return NewAgent(servers, nil) }

// NewAgent starts one that also hands each notice on, unless told is nil.
func NewAgent(servers []Server, told func(id, status string)) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{told: told, addr: l.Addr().String(), servers: servers, notices: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.hosts)
	mux.HandleFunc("POST /status", p.status)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(l)
	return p, nil
}

// Addr is where it listens.
func (p *Platform) Addr() string { return p.addr }

// Close ends it.
func (p *Platform) Close() { p.server.Close() }

// Silence has it answer no question about discovery, or go on; what was asked meanwhile is answered then. Notices are
// taken throughout.
func (p *Platform) Silence(on bool) {
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

// answers waits while it is silent, and tells whether the question still waits.
func (p *Platform) answers(req *http.Request) bool {
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

// Notices counts what relays told, by status.
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
	if !p.answers(req) {
		return
	}
	if since >= listVersion { // there is no news
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
		if p.told != nil {
			p.told(n.ID, n.Status)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
