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

// hostEntry is one entry of discovery's list.
type hostEntry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// hostList is an answer of discovery. Full reports that it is the complete list, not an update.
type hostList struct {
	Version int64       `json:"version"`
	Full    bool        `json:"full"`
	Servers []hostEntry `json:"servers"`
}

// host is what the relay needs to call an endpoint. It belongs to the loop.
type host struct {
	httpcall.Host
	listed     hostEntry // as discovery last listed it
	id         string
	dest, zone int
	perCall    int
}

// agent is the platform's agent: discovery, and the receiver of notices. It is immutable.
type agent struct {
	addrs  []string // where it may be; the first is in use
	ctx    context.Context
	cancel context.CancelFunc
	client *http.Client
}

const (
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = time.Second
	destinationExpiry = time.Minute // a destination without hosts for so long is unknown again
	goneHostExpiry    = time.Minute // an outage of a host that is gone is dropped then
	maxListSize       = 4 << 20
	maxResponseHeader = 32 << 10 // of an answer
)

// Rediscover has the agent reached at other addresses from now on. Requests in flight to the old address are cancelled;
// their notices go to the new one.
func (r *Relay) Rediscover(addrs []string) { r.agent.Swap(r.newAgent(addrs)).close() }

// newAgent returns an agent that ends with the background context.
func (r *Relay) newAgent(addrs []string) *agent {
	a := &agent{addrs: addrs, client: &http.Client{Transport: &http.Transport{DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeader, MaxConnsPerHost: 4, IdleConnTimeout: 5 * discoverypoll.WatchTimeout}}}
	a.ctx, a.cancel = context.WithCancel(r.background)
	return a
}

// close cancels the agent's requests. It accepts nil.
func (a *agent) close() {
	if a != nil {
		a.cancel()
		a.client.CloseIdleConnections()
	}
}

// tryNextAddress turns to the next address if a connection could not be made. It guards against an environment that still
// names an old address after a restart. A time-out proves nothing: discovery may be down.
func (r *Relay) tryNextAddress(a *agent, err error) {
	if op := (*net.OpError)(nil); len(a.addrs) > 1 && errors.As(err, &op) && op.Op == "dial" {
		next := r.newAgent(append(slices.Clone(a.addrs[1:]), a.addrs[0]))
		if r.agent.CompareAndSwap(a, next) {
			slog.Info("turning to another address of discovery", "addr", next.addrs[0])
			a.close()
		} else {
			next.close()
		}
	}
}

// errRejected reports that discovery rejected a request.
var errRejected = errors.New("turned away")

// followDiscovery keeps up with discovery's list until the context ends.
func (r *Relay) followDiscovery(ctx context.Context, at discoverypoll.Settings) {
	current := r.agent.Load()
	follower := discoverypoll.New(at, r.now())
	warning := rate.Sometimes{Interval: time.Second}
	for ctx.Err() == nil {
		if now := r.agent.Load(); now != current {
			current = now
			follower.SourceChanged(r.now())
		}
		question := follower.Next()
		if pause := question.At - r.now(); pause > 0 {
			select {
			case <-current.ctx.Done():
				continue // it was replaced
			case <-time.After(pause):
			}
		}
		began := time.Now()
		list, err := r.queryDiscovery(current, question)
		traceDiscovery(question, list, time.Since(began), err)
		switch {
		case current.ctx.Err() != nil:
		case err != nil:
			warning.Do(func() { slog.Warn("discovery does not answer", "err", err) })
			follower.Failed(r.now(), question, errors.Is(err, errRejected))
			r.tryNextAddress(current, err)
		case follower.Answered(r.now(), question, list.Version, list.Full):
			r.post(func() { r.listVersion = list.Version })
			if list.Full || len(list.Servers) > 0 {
				r.post(func() { r.applyHostList(list) })
			}
		}
	}
}

// queryDiscovery sends one request to discovery.
func (r *Relay) queryDiscovery(current *agent, question discoverypoll.Request) (list hostList, err error) {
	url := "http://" + current.addrs[0] + "/discovery/hosts"
	if !question.FullList {
		url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", url, question.Since, discoverypoll.WatchTimeout.Milliseconds())
	}
	ctx, cancel := context.WithTimeout(current.ctx, question.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := current.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("%w: status %d", errRejected, resp.StatusCode)
	}
	return list, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxListSize)).Decode(&list)
}

// applyHostList applies an update of the list: at once to calls that have not begun, and to the engine with the next step.
func (r *Relay) applyHostList(list hostList) {
	ev := choice.Listing{Whole: list.Full}
	old := r.hosts
	if list.Full {
		r.hosts = map[string]*host{}
	}
	for _, entry := range list.Servers {
		ev.Hosts = append(ev.Hosts, r.applyHostEntry(entry, old[entry.ID]))
	}
	if list.Full { // only now, since a host that stays must not appear closed to a call about to begin
		for id, target := range old {
			if r.hosts[id] != target {
				r.setHostClosed(target, true)
			}
		}
	}
	r.events = append(r.events, ev)
	r.expireGone()
}

// applyHostEntry applies one entry of discovery's list to the hosts, and returns it in the engine's form. Was is the host
// that had the id so far; nil for none.
func (r *Relay) applyHostEntry(entry hostEntry, was *host) choice.Host {
	listed := choice.Host{Addr: entry.ID, Dest: entry.Cell, Kind: slices.Index(r.settings.KindNames, entry.Kind),
		Zone: r.zoneNumber(entry.Zone), Rate: entry.Weight}
	switch entry.State {
	case "active":
		listed.State = choice.Ready
	case "leaving":
		listed.State = choice.Draining
	}
	if was != nil {
		r.setHostClosed(was, listed.State != choice.Ready)
	}
	if listed.State == choice.Gone {
		delete(r.hosts, entry.ID)
		return listed
	}
	current := &host{id: entry.ID, Host: httpcall.Host{Addr: entry.Addr}, dest: entry.Cell, zone: listed.Zone, perCall: 1}
	if was != nil && was.Addr == current.Addr && was.dest == current.dest {
		current = was // calls in flight refer to it
	} else if was != nil {
		r.setHostClosed(was, true)
	}
	apart := false
	if listed.Kind >= 0 {
		current.perCall, apart = r.settings.Kinds[listed.Kind].PerCall, r.settings.Kinds[listed.Kind].Apart
	}
	if current != was && !apart {
		current.Waits = r.sharedWaitsOf(entry.Cell)
	}
	current.listed = entry
	current.SetClosed(listed.State != choice.Ready)
	r.hosts[entry.ID] = current
	r.destinationSeen[entry.Cell] = r.now()
	return listed
}

// sharedWaitsOf returns the waits that the hosts of a destination share, unless they are routes apart.
func (r *Relay) sharedWaitsOf(dest int) *httpcall.Waits {
	w := r.sharedWaits[dest]
	if w == nil {
		w = new(httpcall.Waits)
		r.sharedWaits[dest] = w
	}
	return w
}

// setHostClosed sets whether new calls may go to a host. A closed host keeps no idle connections.
func (r *Relay) setHostClosed(h *host, closed bool) {
	if h.SetClosed(closed); closed {
		r.pool.Shut(&h.Host)
	}
}

// knownDestination reports whether a destination has hosts, or had some not long ago.
func (r *Relay) knownDestination(dest int) bool { _, ok := r.destinationSeen[dest]; return ok }

// expireGone drops what belongs to hosts and destinations that are gone, since ids are not reused.
func (r *Relay) expireGone() {
	now, wall := r.now(), time.Now().UnixMilli()
	for _, target := range r.hosts {
		r.destinationSeen[target.dest] = now
	}
	for dest, at := range r.destinationSeen {
		if now-at > destinationExpiry {
			delete(r.destinationSeen, dest)
			delete(r.sharedWaits, dest)
		}
	}
	for id, record := range r.journal.Unhealthy {
		if r.hosts[id] == nil && time.Duration(wall-record.At)*time.Millisecond > goneHostExpiry {
			r.record(journal.Record{Op: journal.OpHealth, ID: id})
		}
	}
}

// zoneNumber returns the number of a zone. A zone that the settings do not name has the same number at any time, also
// after a restart, since the journal stores numbers.
func (r *Relay) zoneNumber(name string) int {
	if i := slices.Index(r.settings.Zones, name); i >= 0 {
		return i
	}
	return len(r.settings.Zones) + int(crc32.ChecksumIEEE([]byte(name)))
}
