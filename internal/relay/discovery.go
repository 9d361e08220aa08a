package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"larchrouter/choice"
	"larchrouter/internal/relay/discoverypoll"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
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
	httpcall.Host
	listed     server // as discovery last had it
	id         string
	dest, zone int
	perCall    int
}

// agent is the platform's agent: discovery, and the taker of notices.
type agent struct {
	addrs  []string // where it may be; the first is in use
	life   context.Context
	leave  context.CancelFunc
	client *http.Client
}

const (
	firstPause  = 50 * time.Millisecond
	longPause   = time.Second
	forgetDest  = time.Minute // one without hosts for so long is unknown again
	forgetGone  = time.Minute // an outage of a host that left is over by then
	maxListSize = 4 << 20
	maxHead     = 32 << 10 // of an answer
)

// Rediscover has the agent looked for at other addresses from now on. Watches and
// notices on their way to the old one are broken off; the notices go to the new one.
func (r *Relay) Rediscover(addrs []string) { r.agent.Swap(r.newAgent(addrs)).drop() }

func (r *Relay) newAgent(addrs []string) *agent {
	a := &agent{addrs: addrs, client: &http.Client{Transport: &http.Transport{DisableCompression: true,
		MaxResponseHeaderBytes: maxHead, MaxConnsPerHost: 4, IdleConnTimeout: 5 * discoverypoll.WatchTimeout}}}
	a.life, a.leave = context.WithCancel(r.life)
	return a
}

func (a *agent) drop() {
	if a != nil {
		a.leave()
		a.client.CloseIdleConnections()
	}
}

// unreachable turns to the next address if a connection could not be made. It guards against an
// environment that still names an old one after a restart. Silence proves nothing: discovery may be down.
func (r *Relay) unreachable(a *agent, err error) {
	if op := (*net.OpError)(nil); len(a.addrs) > 1 && errors.As(err, &op) && op.Op == "dial" {
		next := r.newAgent(append(slices.Clone(a.addrs[1:]), a.addrs[0]))
		if r.agent.CompareAndSwap(a, next) {
			slog.Info("turning to another address of discovery", "addr", next.addrs[0])
			a.drop()
		} else {
			next.drop()
		}
	}
}

// errAway is discovery turning a question away.
var errAway = errors.New("turned away")

// follow follows discovery's list until the context ends.
func (r *Relay) follow(ctx context.Context, at discoverypoll.Settings) {
	a := r.agent.Load()
	f := discoverypoll.New(at, r.now())
	silence := rate.Sometimes{Interval: time.Second} // a silent agent is asked several times in one
	for ctx.Err() == nil {
		if now := r.agent.Load(); now != a {
			a = now
			f.SourceChanged(r.now())
		}
		q := f.Next()
		if pause := q.At - r.now(); pause > 0 {
			select {
			case <-a.life.Done():
				continue // another took its place
			case <-time.After(pause):
			}
		}
		began := time.Now()
		l, err := r.ask(a, q)
		traceAsked(q, l, time.Since(began), err)
		switch {
		case a.life.Err() != nil:
		case err != nil:
			silence.Do(func() { slog.Warn("discovery does not answer", "err", err) })
			f.Failed(r.now(), q, errors.Is(err, errAway))
			r.unreachable(a, err)
		case f.Answered(r.now(), q, l.Version, l.Full):
			r.post(func() { r.version = l.Version })
			if l.Full || len(l.Servers) > 0 {
				r.post(func() { r.listed(l) })
			}
		}
	}
}

func (r *Relay) ask(a *agent, q discoverypoll.Request) (l list, err error) {
	url := "http://" + a.addrs[0] + "/discovery/hosts"
	if !q.FullList {
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", url, q.Since, discoverypoll.WatchTimeout.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(a.life, q.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("%w: status %d", errAway, resp.StatusCode)
	}
	return l, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxListSize)).Decode(&l)
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
		was := old[s.ID]
		if was != nil {
			r.gate(was, h.State != choice.Ready)
		}
		if h.State == choice.Gone {
			delete(r.hosts, s.ID)
			continue
		}
		n := &host{id: s.ID, Host: httpcall.Host{Addr: s.Addr}, dest: s.Cell, zone: h.Zone, perCall: 1}
		if was != nil && was.Addr == n.Addr && was.dest == n.dest {
			n = was // calls that are out hold on to it
		} else if was != nil {
			r.gate(was, true)
		}
		apart := false
		if h.Kind >= 0 {
			n.perCall, apart = r.set.Kinds[h.Kind].PerCall, r.set.Kinds[h.Kind].Apart
		}
		if n != was && !apart {
			n.Waits = r.waitsOf(s.Cell)
		}
		n.listed = s
		n.SetClosed(h.State != choice.Ready)
		r.hosts[s.ID] = n
		r.dests[s.Cell] = r.now()
	}
	if l.Full { // only now: one that stays must not look closed for a moment to a call about to go
		for id, h := range old {
			if r.hosts[id] != h {
				r.gate(h, true)
			}
		}
	}
	r.events = append(r.events, ev)
	r.forget()
}

// waitsOf are the waits that the hosts of a destination share, unless they are routes apart.
func (r *Relay) waitsOf(dest int) *httpcall.Waits {
	w := r.waits[dest]
	if w == nil {
		w = new(httpcall.Waits)
		r.waits[dest] = w
	}
	return w
}

// gate tells whether new calls may go to a host. One that gets none keeps no idle connections.
func (r *Relay) gate(h *host, closed bool) {
	if h.SetClosed(closed); closed {
		r.conns.Shut(&h.Host)
	}
}

// knows tells whether a destination has hosts, or had some not long ago.
func (r *Relay) knows(dest int) bool { _, ok := r.dests[dest]; return ok }

// forget sheds what hangs on hosts that are gone for good: ids are ever new.
func (r *Relay) forget() {
	now, wall := r.now(), time.Now().UnixMilli()
	for _, h := range r.hosts {
		r.dests[h.dest] = now
	}
	for d, at := range r.dests {
		if now-at > forgetDest {
			delete(r.dests, d)
			delete(r.waits, d)
		}
	}
	for id, s := range r.journal.Unhealthy {
		if r.hosts[id] == nil && time.Duration(wall-s.At)*time.Millisecond > forgetGone {
			r.record(journal.Record{Op: journal.OpHealth, ID: id})
		}
	}
}

// zone is the number of a zone. One that the settings do not name has the same number at any time, also
// after a restart: the journal holds numbers.
func (r *Relay) zone(name string) int {
	if i := slices.Index(r.set.Zones, name); i >= 0 {
		return i
	}
	return len(r.set.Zones) + int(crc32.ChecksumIEEE([]byte(name)))
}
