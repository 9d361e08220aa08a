// Package cloudapi has stand-ins for the platform's service discovery (Platform), which lists the hosts, and for an
// operator (Operator), who sends configurations to the tier. They are written from the protocol, for tests and the demo.
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
	PageSize int              // entries on a page; 0 for all
	Rate     float64          // calls a second that it accepts; 0 for unlimited
	Lag      time.Duration    // after which a change is listed
	Now      func() time.Time // nil for time.Now
}

// Entry is a host as it is listed. The tags are the names of the wire format.
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

// Platform lists hosts, and owns those that were added. Its methods are safe for concurrent use.
type Platform struct {
	opts   Options
	server *http.Server
	addr   string
	served sync.WaitGroup

	mu        sync.Mutex
	snapshots []snapshot                 // by time; the last one is current
	hosts     map[string]*modelhost.Host // by id
	rate      rateLimit
	calls     int // accepted
	rejected  int
	down      bool
}

// snapshot is the list from a time on.
type snapshot struct {
	at      time.Time
	entries []Entry // by id; not changed any more
}

// New starts a platform with an empty list. The caller closes it.
func New(o Options) (*Platform, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{opts: o, addr: listener.Addr().String(), snapshots: []snapshot{{}}, hosts: map[string]*modelhost.Host{},
		rate: newRateLimit(o.Rate, o.Now())}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.instances)
	p.server = &http.Server{Handler: mux}
	p.served.Go(func() { _ = p.server.Serve(listener) })
	return p, nil
}

// Addr returns the address that it listens on.
func (p *Platform) Addr() string { return p.addr }

// Close stops the platform and all hosts that were added.
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

// Calls returns the number of calls that it accepted, and that it rejected because of the rate.
func (p *Platform) Calls() (accepted, rejected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.rejected
}

// SetDown sets whether it answers all calls with status 500.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Add lists a host that was started, and takes ownership of it.
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

// Put lists an entry, and replaces the entry with its id if there is one.
func (p *Platform) Put(e Entry) {
	p.update(e.ID, func(entries []Entry, i int, found bool) []Entry {
		if found {
			entries[i] = e
			return entries
		}
		return slices.Insert(entries, i, e)
	})
}

// Drain lists a host as draining, and drains it.
func (p *Platform) Drain(id string) {
	p.update(id, func(entries []Entry, i int, found bool) []Entry {
		if found {
			entries[i].Phase = "draining"
		}
		return entries
	})
	if h := p.Host(id); h != nil {
		h.Drain()
	}
}

// Remove takes a host off the list, and closes it.
func (p *Platform) Remove(id string) {
	p.update(id, func(entries []Entry, i int, found bool) []Entry {
		if found {
			return slices.Delete(entries, i, i+1)
		}
		return entries
	})
	p.Crash(id)
}

// Crash closes a host, which stays on the list.
func (p *Platform) Crash(id string) {
	p.mu.Lock()
	h := p.hosts[id]
	delete(p.hosts, id)
	p.mu.Unlock()
	if h != nil {
		h.Close()
	}
}

// Host returns a host that was added and not closed, nil if there is none with the id.
func (p *Platform) Host(id string) *modelhost.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[id]
}

// update appends a snapshot. change gets a copy of the current entries, the index of an id in them, and whether it is
// there, and returns the new entries.
func (p *Platform) update(id string, change func(entries []Entry, i int, found bool) []Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := slices.Clone(p.snapshots[len(p.snapshots)-1].entries)
	i, found := slices.BinarySearchFunc(entries, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
	p.snapshots = append(p.snapshots, snapshot{p.opts.Now(), change(entries, i, found)})
}

// visibleEntries returns the list as it was Options.Lag ago, and drops older snapshots. The caller has locked mu.
func (p *Platform) visibleEntries() []Entry {
	until := p.opts.Now().Add(-p.opts.Lag)
	for len(p.snapshots) > 1 && !p.snapshots[1].at.After(until) {
		p.snapshots = p.snapshots[1:]
	}
	return p.snapshots[0].entries
}

// instances serves one page of the list. The token of a page is "p-" and the last id of the page before.
func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	zone, after := r.FormValue("zone_name"), r.FormValue("page_token")
	p.mu.Lock()
	allowed, down, entries := p.rate.allow(p.opts.Now()), p.down, p.visibleEntries()
	if allowed {
		p.calls++
	} else {
		p.rejected++
	}
	p.mu.Unlock()
	switch {
	case !allowed:
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return
	case down:
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	page := struct {
		List []Entry `json:"instance_list"`
		Next *string `json:"next_token"`
	}{List: []Entry{}}
	for _, e := range entries {
		if zone != "" && e.Zone != zone || after != "" && "p-"+e.ID <= after {
			continue
		}
		if p.opts.PageSize > 0 && len(page.List) == p.opts.PageSize {
			next := "p-" + page.List[p.opts.PageSize-1].ID
			page.Next = &next
			break
		}
		page.List = append(page.List, e)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
