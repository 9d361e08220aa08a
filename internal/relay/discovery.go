package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"larchrouter/choice"
)

// server is one entry of discovery's list.
type server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// list is an answer of discovery.
type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// host is what the relay needs to call an endpoint.
type host struct {
	id, addr   string
	dest, zone int
	perCall    int
	closed     atomic.Bool // drains or is gone: nothing new may go there
}

const (
	watchFor   = 5 * time.Second // a silent agent is noticed not long after
	watchSlack = time.Second
	firstPause = 50 * time.Millisecond
	longPause  = time.Second
)

// follow watches discovery until the context ends. The list counts as told
// while the next call comes within 200 ms of the last answer, so a watch is
// renewed at once; only failures are followed by a pause.
func (r *Relay) follow(ctx context.Context, version int64) {
	full := true // the known list may be old
	pause := firstPause
	for ctx.Err() == nil {
		l, err := r.ask(ctx, version, full)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Warn("discovery does not answer", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			pause = min(2*pause, longPause)
			continue
		}
		pause = firstPause
		// A version that runs backwards is that of another history: changes cannot be built on it.
		if full = !l.Full && l.Version < version; full {
			version = 0
			continue
		}
		version = l.Version
		if l.Full || len(l.Servers) > 0 {
			r.post(func() { r.listed(l) })
		}
	}
}

func (r *Relay) ask(ctx context.Context, version int64, full bool) (l list, err error) {
	url := "http://" + r.conf.Discovery + "/discovery/hosts"
	limit := watchSlack
	if !full {
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", url, version, watchFor.Milliseconds())
		limit += watchFor
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := r.platform.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %d", resp.StatusCode)
	}
	return l, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, 4<<20)).Decode(&l)
}

// listed takes in news of the list: at once for the calls that have not gone yet, and for the decisions.
func (r *Relay) listed(l list) {
	ev := choice.Listing{Whole: l.Full}
	old := r.hosts
	if l.Full {
		r.hosts = map[string]*host{}
	}
	for _, s := range l.Servers {
		h := choice.Host{Addr: s.ID, Dest: s.Cell, Kind: slices.Index(r.set.KindNames, s.Kind),
			Zone: r.zone(s.Zone), Rate: s.Weight}
		switch s.State {
		case "active":
			h.State = choice.Ready
		case "leaving":
			h.State = choice.Draining
		}
		ev.Hosts = append(ev.Hosts, h)
		if was := old[s.ID]; was != nil {
			was.closed.Store(h.State != choice.Ready)
		}
		if h.State == choice.Gone {
			delete(r.hosts, s.ID)
			continue
		}
		n := &host{id: s.ID, addr: s.Addr, dest: s.Cell, zone: h.Zone, perCall: 1}
		if was := old[s.ID]; was != nil && was.addr == n.addr && was.dest == n.dest {
			n = was // calls that are out hold on to it
		} else if was != nil {
			was.closed.Store(true)
		}
		if h.Kind >= 0 {
			n.perCall = r.set.Kinds[h.Kind].PerCall
		}
		n.closed.Store(h.State != choice.Ready)
		r.hosts[s.ID] = n
		r.dests[s.Cell] = true
	}
	if l.Full { // only now: one that stays must not look closed for a moment to a call about to go
		for id, h := range old {
			if r.hosts[id] != h {
				h.closed.Store(true)
			}
		}
	}
	r.events = append(r.events, ev)
}

// zone is the number of a zone; one that the settings do not name gets the next.
func (r *Relay) zone(name string) int {
	i := slices.Index(r.set.Zones, name)
	if i < 0 {
		i = len(r.set.Zones)
		r.set.Zones = append(r.set.Zones, name)
	}
	return i
}
