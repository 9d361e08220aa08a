package relay

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/drain"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/outcome"
	"larchrouter/internal/relay/quota"
)

// Standalone configures a relay without a platform. Partners take the place of numbered destinations; their ends are stored
// and can be queried, and operators drain and stop the relay.
type Standalone struct {
	Version     string
	Partners    []Partner
	MaxEnds     int
	EndsExpiry  time.Duration
	StopTimeout time.Duration
	Fleet       []string // names of its relays, by number; nil without a fleet
}

// Partner is a destination with a name. The names of its fields, and of those of Endpoint, are part of the fleet's version
// digest (digestOf).
type Partner struct {
	Name      string
	Number    int
	Kind      string
	Classes   []string // accepted
	Endpoints []Endpoint
	Limit     *quota.Limit // of all relays together; nil if it is to be estimated
}

// Endpoint is a host of a partner.
type Endpoint struct{ ID, Address, Zone string }

// directory is the list of partners. It is immutable; requests read it while the loop replaces it.
type directory struct {
	all      []Partner
	byName   map[string]*Partner
	byNumber map[int]*Partner
}

func newDirectory(all []Partner) *directory {
	d := &directory{all: all, byName: map[string]*Partner{}, byNumber: map[int]*Partner{}}
	for i := range all {
		d.byName[all[i].Name], d.byNumber[all[i].Number] = &all[i], &all[i]
	}
	return d
}

// standalone is the state of a relay without a platform. It belongs to the loop, except for the directory, the view and
// viewLock.
type standalone struct {
	Standalone
	directory      atomic.Pointer[directory]
	drains         *drain.StateTable
	ends           *outcome.Store
	counters       counters
	pendingInOrder []*message     // includes some that have ended
	lastSequence   uint64         // of the last message in pendingInOrder
	remaining      *adminapi.Left // of the relay's drain, once it has ended
	listVersion    int64          // of the list
	view           atomic.Pointer[cachedView]
	viewLock       chan struct{} // held by the request that asks the loop for a view
}

func newStandalone(conf Standalone) *standalone {
	a := &standalone{Standalone: conf, drains: drain.NewStateTable(), ends: outcome.New(conf.MaxEnds, conf.EndsExpiry),
		viewLock: make(chan struct{}, 1)}
	a.directory.Store(newDirectory(conf.Partners))
	return a
}

// restoreDrains takes over the drains in the journal and applies the operator's list. It precedes restore.
func (r *Relay) restoreDrains() error {
	state, now := r.standalone, time.Now()
	for id, rec := range r.journal.Drains {
		target, err := drain.ParseTarget(id)
		if err != nil {
			slog.Error("a drain in the journal cannot be read", "target", id, "err", err)
			continue
		}
		state.drains.Restore(drain.Entry{Target: target, Since: time.UnixMilli(rec.At), RequestedBy: rec.Status,
			Timeout: time.Duration(rec.Wait) * time.Millisecond}, now)
		slog.Info("still drained", "target", id, "since", time.UnixMilli(rec.At), "by", rec.Status)
	}
	if err := r.restoreOverrides(); err != nil {
		return err
	}
	r.applyPartnerList()
	return nil
}

// applyPartnerList applies the list of partners and the drains in force to the hosts and to the engine.
func (r *Relay) applyPartnerList() {
	state := r.standalone
	state.listVersion++
	list := hostList{Version: state.listVersion, Full: true}
	members := map[string][]string{}
	for _, partner := range state.directory.Load().all {
		for _, endpoint := range partner.Endpoints {
			members[partner.Name] = append(members[partner.Name], endpoint.ID)
		}
	}
	state.drains.SetPartners(members)
	for _, partner := range state.directory.Load().all {
		for _, endpoint := range partner.Endpoints {
			listed := hostEntry{ID: endpoint.ID, Addr: endpoint.Address, Zone: endpoint.Zone, Kind: partner.Kind,
				Cell: partner.Number, State: "active", Weight: 1}
			if !state.drains.Open(endpoint.ID) {
				listed.State = "leaving"
			}
			list.Servers = append(list.Servers, listed)
		}
	}
	r.applyHostList(list)
}

// Reload replaces the list of partners. Pending messages of a partner that is no longer listed, or no longer accepts their
// class, end at once; those in flight end when their call has ended. They end as refused if they never ran or may be
// repeated, else as failed. Reload returns when that is done.
func (r *Relay) Reload(partners []Partner) {
	done := make(chan struct{})
	r.post(func() {
		defer close(done)
		r.standalone.directory.Store(newDirectory(partners))
		r.chooser.SetLimits(Limits(partners))
		if r.cluster != nil {
			r.publishVersions()
		}
		r.applyPartnerList()
		ended := 0
		for _, msg := range r.standalone.pendingInOrder {
			if !msg.ended && msg.call == nil && r.rejectReason(msg) != "" {
				r.endRejected(msg)
				ended++
			}
		}
		if ended > 0 {
			slog.Warn("messages ended, as the operator's file no longer has a partner for them", "count", ended)
		}
	})
	select {
	case <-done:
	case <-r.quit:
	}
}

// rejectReason returns why no partner accepts a message any more; empty if one does.
func (r *Relay) rejectReason(m *message) string {
	p := r.standalone.directory.Load().byNumber[m.Dest]
	switch {
	case p == nil:
		return "its partner was taken out of the operator's file"
	case !slices.Contains(p.Classes, m.Class):
		return "its partner no longer takes its class"
	}
	return ""
}

// endRejected ends a message that no partner accepts any more.
func (r *Relay) endRejected(m *message) {
	r.events = append(r.events, choice.Withdrawn{ID: m.ID})
	r.conclude(m, r.undeliveredStatus(m), 0, r.rejectReason(m))
}

// undeliveredStatus returns the status of a message that ends undelivered without a decision of the engine, by the rule on
// effects.
func (r *Relay) undeliveredStatus(m *message) string {
	k := r.settings.Classes[m.class]
	if !m.Ran && !m.mayHaveRun || k.Effect == choice.Safe || k.Effect == choice.Keyed && !k.SameZone {
		return deferred
	}
	return undeliverable
}

const delivered = "delivered"

// conclude ends a message of a standalone relay and queues its end for the store.
func (r *Relay) conclude(msg *message, status string, again int64, why string) {
	state, now := r.standalone, time.Now()
	// The journal sets the end in the entry, which it owns, when it writes the record.
	r.record(journal.Record{Op: journal.OpNotice, ID: msg.ID, Status: status, Again: again, At: now.UnixMilli(), Why: why,
		Sum: msg.Entry.Checksum()})
	switch status {
	case delivered:
		state.counters.countDelivered(now)
	case deferred:
		state.counters.countRefused(now)
	default:
		state.counters.countFailed(now)
	}
	r.finish(msg)
	r.unstoredEnds = append(r.unstoredEnds, msg.Entry)
}

// storeEnds adds recorded ends to the store, and records which ones the store dropped.
func (r *Relay) storeEnds() {
	if r.standalone == nil {
		return
	}
	now := time.Now()
	for _, e := range r.unstoredEnds {
		r.forgetEnds(r.standalone.ends.Add(e, now))
	}
	r.unstoredEnds = r.unstoredEnds[:0]
}

// forgetEnds records that ends have been dropped from the store.
func (r *Relay) forgetEnds(ids []string) {
	for _, id := range ids {
		r.record(journal.Record{Op: journal.OpForget, ID: id})
		r.ended.remove(id)
	}
}

// expireEnds has the loop drop ends that are too old, at each tick.
func (r *Relay) expireEnds(tick <-chan time.Time) {
	for {
		select {
		case <-tick:
			r.post(func() { r.forgetEnds(r.standalone.ends.Expire(time.Now())) })
		case <-r.quit:
			return
		}
	}
}

// restoreEnd takes over the end of a message that an earlier process recorded.
func (r *Relay) restoreEnd(e *journal.Entry) {
	if e.EndAt == 0 { // recorded under a platform
		e.EndAt = time.Now().UnixMilli()
	}
	r.ended.add(e)
	r.forgetEnds(r.standalone.ends.Add(e, time.Now()))
}

// withPartnerName replaces the destination's number in a log line of the engine by the partner's name.
func (r *Relay) withPartnerName(text string) string {
	rest, ok := strings.CutPrefix(text, "destination ")
	if r.standalone == nil || !ok {
		return text
	}
	number, rest, _ := strings.Cut(rest, " ")
	n, _ := strconv.Atoi(number)
	if p := r.standalone.directory.Load().byNumber[n]; p != nil {
		return "partner " + p.Name + " " + rest
	}
	return text
}

// appendInOrder adds a pending message to the list in order of admission, and drops ended ones from it now and then.
func (r *Relay) appendInOrder(m *message) {
	a := r.standalone
	if a == nil {
		return
	}
	a.lastSequence++
	m.sequence = a.lastSequence
	if len(a.pendingInOrder) >= 1024 && len(a.pendingInOrder) > 2*len(r.pending) {
		a.pendingInOrder = slices.DeleteFunc(a.pendingInOrder, func(o *message) bool { return o.ended })
	}
	a.pendingInOrder = append(a.pendingInOrder, m)
}
