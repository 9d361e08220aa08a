// Package cloudapi has stand-ins for the platform (Platform), which lists the hosts and takes the calls of singleton roles
// (duties, on the wire), and for an operator (Operator), who sends configurations to the tier. They are written from the
// protocol, for tests and the demo.
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

	// For the calls of duties.
	FenceChecks bool                                   // a call with a lower token than one before for its duty and subject is refused
	DutyRate    float64                                // calls a second that it accepts; 0 for unlimited
	After       func(d time.Duration) <-chan time.Time // nil for time.After

	// For scaling. StartHost starts a host of a service in a zone; it may add the host, but not call the platform's
	// address. If it is nil, orders are recorded and have no effect.
	StartHost func(service, zone string) (*modelhost.Host, error)
	Scaling   map[string]ScaleBounds // by service; unlimited for others
	BootTime  time.Duration          // after which a host that was ordered serves
	DrainTime time.Duration          // after which a host that drains by an order is removed
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

	closing  chan struct{}  // closed by Close
	handlers sync.WaitGroup // that run
	settling sync.Mutex     // held while hosts are started and removed by orders; locked before mu

	mu        sync.Mutex
	snapshots []snapshot                 // by time; the last one is current
	hosts     map[string]*modelhost.Host // by id
	rate      rateLimit                  // of the list
	calls     int                        // accepted
	rejected  int
	down      bool
	closed    bool

	duties           []DutyCall // by decision
	dutiesHeld       int
	dutiesChanged    chan struct{} // closed when duties or dutiesHeld changes
	dutyRate         rateLimit
	dutyFault        DutyFault
	dutyFaultChanged chan struct{}         // closed when dutyFault changes
	fences           map[dutySubject]int64 // highest token

	boots    []boot                   // by order
	removals []removal                // by order
	paying   map[string]payment       // by host id
	paid     map[string]time.Duration // by service, of hosts that are paid no more
	startErr error
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
	if o.After == nil {
		o.After = time.After
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{opts: o, addr: listener.Addr().String(), snapshots: []snapshot{{}}, hosts: map[string]*modelhost.Host{},
		rate: newRateLimit(o.Rate, o.Now()), closing: make(chan struct{}),
		dutiesChanged: make(chan struct{}), dutyRate: newRateLimit(o.DutyRate, o.Now()), dutyFaultChanged: make(chan struct{}),
		fences: map[dutySubject]int64{}, paying: map[string]payment{}, paid: map[string]time.Duration{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.instances)
	mux.HandleFunc("POST /usage", p.serveDuty(UsageDuty))
	mux.HandleFunc("POST /scale", p.serveDuty(ScaleDuty))
	p.server = &http.Server{Handler: p.untilClosed(mux)}
	p.served.Go(func() { _ = p.server.Serve(listener) })
	return p, nil
}

// Addr returns the address that it listens on.
func (p *Platform) Addr() string { return p.addr }

// untilClosed returns a handler whose calls Close waits for.
func (p *Platform) untilClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		closed := p.closed
		if !closed {
			p.handlers.Add(1)
		}
		p.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler) // has the server close the connection
		}
		defer p.handlers.Done()
		next.ServeHTTP(w, r)
	})
}

// Close stops the platform and all hosts that were added. It may be called again.
func (p *Platform) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.closing)
	}
	p.mu.Unlock()
	_ = p.server.Close()
	p.served.Wait()
	p.handlers.Wait()
	p.mu.Lock()
	hosts := p.hosts
	p.hosts = map[string]*modelhost.Host{}
	for id := range hosts {
		p.stopPaying(id)
	}
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
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	p.add(h, now, now)
}

// add lists a host that was started, and takes ownership of it. The caller has locked mu.
func (p *Platform) add(h *modelhost.Host, listed, paidSince time.Time) {
	o := h.Options()
	e := Entry{Service: o.Service, Addr: o.Addr, Zone: o.Zone, Version: "v1", Capacity: o.Capacity, Phase: "ready", ID: o.ID}
	if o.Model != "" {
		e.Stage, e.ModelList = "both", modelhost.ModelList(o.Model, o.Version)
	}
	p.hosts[o.ID] = h
	if old, ok := p.paying[o.ID]; !ok || paidSince.Before(old.since) {
		p.paying[o.ID] = payment{o.Service, paidSince}
	}
	p.put(e, listed)
}

// Put lists an entry, and replaces the entry with its id if there is one.
func (p *Platform) Put(e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(e, p.opts.Now())
}

// put is Put at a time. The caller has locked mu.
func (p *Platform) put(e Entry, at time.Time) {
	p.update(e.ID, at, func(entries []Entry, i int, found bool) []Entry {
		if found {
			entries[i] = e
			return entries
		}
		return slices.Insert(entries, i, e)
	})
}

// Drain lists a host as draining, and drains it.
func (p *Platform) Drain(id string) {
	p.mu.Lock()
	p.drain(id)
	p.mu.Unlock()
	if h := p.Host(id); h != nil {
		h.Drain()
	}
}

// drain lists a host as draining. The caller has locked mu.
func (p *Platform) drain(id string) {
	p.update(id, p.opts.Now(), func(entries []Entry, i int, found bool) []Entry {
		if found {
			entries[i].Phase = "draining"
		}
		return entries
	})
}

// Remove takes a host off the list, and closes it.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	p.update(id, p.opts.Now(), func(entries []Entry, i int, found bool) []Entry {
		if found {
			return slices.Delete(entries, i, i+1)
		}
		return entries
	})
	p.mu.Unlock()
	p.Crash(id)
}

// Crash closes a host, which stays on the list.
func (p *Platform) Crash(id string) {
	p.mu.Lock()
	h := p.hosts[id]
	delete(p.hosts, id)
	p.stopPaying(id)
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

// update appends a snapshot at a time, or at that of the current one if it is later. change gets a copy of the current
// entries, the index of an id in them, and whether it is there, and returns the new entries. The caller has locked mu.
func (p *Platform) update(id string, at time.Time, change func(entries []Entry, i int, found bool) []Entry) {
	current := p.snapshots[len(p.snapshots)-1]
	if at.Before(current.at) {
		at = current.at
	}
	entries := slices.Clone(current.entries)
	i, found := slices.BinarySearchFunc(entries, id, func(e Entry, id string) int { return strings.Compare(e.ID, id) })
	p.snapshots = append(p.snapshots, snapshot{at, change(entries, i, found)})
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
	p.settling.Lock()
	p.settle()
	p.settling.Unlock()
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
