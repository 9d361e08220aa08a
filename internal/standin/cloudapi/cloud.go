// Package cloudapi has stand-ins for the platform's service discovery, which lists the hosts, and for an operator, who
// sends configurations. They are written from the protocol and serve tests and the demo.
package cloudapi

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// Options of a platform.
type Options struct {
	PageSize int           // entries on a page; 0 for all
	Rate     float64       // calls a second that it takes; 0 for any number
	Lag      time.Duration // that the list runs behind
	Now      func() time.Time
}

// Entry is a host as it is listed.
type Entry struct {
	Service   string `json:"target_service"`
	Addr      string `json:"address"`
	Zone      string `json:"zone_name"`
	Version   string `json:"config_version"`
	Capacity  int    `json:"capacity"`
	Phase     string `json:"phase"`
	WarmupMs  int    `json:"cold_left_ms"`
	Stage     string `json:"pipeline_stage,omitempty"`
	ModelList []any  `json:"model_list,omitempty"`
	ID        string `json:"host_id"`
}

// Platform lists hosts. Its methods are safe for concurrent use.
type Platform struct {
	opts   Options
	server *http.Server
	addr   string
	served sync.WaitGroup

	mu        sync.Mutex
	snapshots []snapshot // by time; the last is how things are
	hosts     map[string]*modelhost.Host
	tokens    float64
	tokensAt  time.Time // of tokens
	calls     int
	rejected  int
	down      bool
}

type snapshot struct {
	at      time.Time
	entries []Entry // by id
}

// New starts a platform that lists nothing yet.
func New(o Options) (*Platform, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{opts: o, addr: l.Addr().String(), snapshots: []snapshot{{}}, hosts: map[string]*modelhost.Host{}, tokens: max(1, o.Rate), tokensAt: o.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.instances)
	p.server = &http.Server{Handler: mux}
	p.served.Go(func() { _ = p.server.Serve(l) })
	return p, nil
}

// Addr is where it listens.
func (p *Platform) Addr() string { return p.addr }

// Close ends the platform and all hosts that were added.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.served.Wait()
	p.mu.Lock()
	hosts := p.hosts
	p.hosts = map[string]*modelhost.Host{}
	p.mu.Unlock()
	for _, h := range hosts {
		h.Close()
	}
}

// Calls counts those that it took, and those that it refused over the rate.
func (p *Platform) Calls() (taken, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.rejected
}

// SetDown has it answer 500 to all, or not any more.
func (p *Platform) SetDown(down bool) { p.mu.Lock(); defer p.mu.Unlock(); p.down = down }

// Add lists a host that was started.
func (p *Platform) Add(h *modelhost.Host) {
	o := h.Options()
	e := Entry{Service: o.Service, Addr: o.Addr, Zone: o.Zone, Version: "v1", Capacity: o.Capacity, Phase: "ready", ID: o.ID}
	if o.Model != "" {
		e.Stage, e.ModelList = "both", modelhost.ModelList(o.Model, o.Version)
	}
	p.mu.Lock()
	p.hosts[o.ID] = h
	p.mu.Unlock()
	p.Put(e)
}

// Put lists an entry, in place of the one with its id.
func (p *Platform) Put(e Entry) {
	p.update(e.ID, func(all []Entry, i int, there bool) []Entry {
		if there {
			all[i] = e
			return all
		}
		return slices.Insert(all, i, e)
	})
}

// Drain lists a host as draining, and has it leave.
func (p *Platform) Drain(id string) {
	p.update(id, func(all []Entry, i int, there bool) []Entry {
		if there {
			all[i].Phase = "draining"
		}
		return all
	})
	if h := p.Host(id); h != nil {
		h.Drain()
	}
}

// Remove takes a host off the list, and ends it.
func (p *Platform) Remove(id string) {
	p.update(id, func(all []Entry, i int, there bool) []Entry {
		if there {
			return slices.Delete(all, i, i+1)
		}
		return all
	})
	p.Crash(id)
}

// Crash ends a host, which stays on the list.
func (p *Platform) Crash(id string) {
	p.mu.Lock()
	h := p.hosts[id]
	delete(p.hosts, id)
	p.mu.Unlock()
	if h != nil {
		h.Close()
	}
}

// Host is one that was added and has not ended; nil if there is none.
func (p *Platform) Host(id string) *modelhost.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[id]
}

func (p *Platform) update(id string, how func(all []Entry, i int, there bool) []Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := slices.Clone(p.snapshots[len(p.snapshots)-1].entries)
	i, there := slices.BinarySearchFunc(all, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
	p.snapshots = append(p.snapshots, snapshot{p.opts.Now(), how(all, i, there)})
}

// visibleEntries is the list as it was a lag ago. The lock is held.
func (p *Platform) visibleEntries() []Entry {
	until := p.opts.Now().Add(-p.opts.Lag)
	for len(p.snapshots) > 1 && !p.snapshots[1].at.After(until) {
		p.snapshots = p.snapshots[1:]
	}
	return p.snapshots[0].entries
}

// allowCall tells whether a call is allowCall the rate. The lock is held.
func (p *Platform) allowCall() bool {
	if p.opts.Rate <= 0 {
		return true
	}
	now := p.opts.Now()
	p.tokens, p.tokensAt = min(max(1, p.opts.Rate), p.tokens+p.opts.Rate*now.Sub(p.tokensAt).Seconds()), now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	zone, after := r.FormValue("zone_name"), r.FormValue("page_token")
	p.mu.Lock()
	within, down, all := p.allowCall(), p.down, p.visibleEntries()
	if within {
		p.calls++
	} else {
		p.rejected++
	}
	p.mu.Unlock()
	switch {
	case !within:
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return
	case down:
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	answer := struct {
		List []Entry `json:"instance_list"`
		Next *string `json:"next_token"`
	}{List: []Entry{}}
	for _, e := range all {
		if zone != "" && e.Zone != zone || after != "" && "p-"+e.ID <= after {
			continue
		}
		if p.opts.PageSize > 0 && len(answer.List) == p.opts.PageSize {
			next := "p-" + answer.List[p.opts.PageSize-1].ID
			answer.Next = &next
			break
		}
		answer.List = append(answer.List, e)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
