package relay

import (
	"context"
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

// A relay alone has no platform: its partners come from the operator's file, the ends of messages are kept
// and can be asked for, and operators drain and stop it. Everything here belongs to the loop but the
// directory, which intake reads.

// Standalone is what a relay without a platform is told. The names of partners stand for the numbers of
// destinations.
type Standalone struct {
	Version     string
	Partners    []Partner
	MaxEnds     int
	EndsExpiry  time.Duration
	StopTimeout time.Duration
	Fleet       []string // the names of its relays, by number; nil for none
}

// Partner is a destination with a name.
type Partner struct {
	Name      string
	Number    int
	Kind      string
	Classes   []string // that it takes
	Endpoints []Endpoint
	Limit     *quota.Limit // of all relays together; nil where it is to be found out
}

// Endpoint is a host of a partner.
type Endpoint struct{ ID, Address, Zone string }

// directory is the list of partners. It is never changed, only replaced.
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

// standalone is the state of a relay without a platform.
type standalone struct {
	Standalone
	directory      atomic.Pointer[directory]
	drains         *drain.StateTable
	ends           *outcome.Store
	counters       counters
	pendingInOrder []*message     // held, as taken on; those over are dropped now and then
	lastSequence   uint64         // of the last message in order
	remaining      *adminapi.Left // of the relay's drain, once it is over
	listVersion    int64          // of the list
	view           atomic.Pointer[cachedView]
	viewLock       chan struct{} // who asks the loop for a view
}

func newStandalone(conf Standalone) *standalone {
	a := &standalone{Standalone: conf, drains: drain.NewStateTable(), ends: outcome.New(conf.MaxEnds, conf.EndsExpiry),
		viewLock: make(chan struct{}, 1)}
	a.directory.Store(newDirectory(conf.Partners))
	return a
}

// restoreDrains takes up what the journal has of drains, and the operator's list. It precedes restore.
func (r *Relay) restoreDrains() error {
	a, now := r.standalone, time.Now()
	for id, rec := range r.journal.Drains {
		t, err := drain.ParseTarget(id)
		if err != nil {
			slog.Error("a drain in the journal cannot be read", "target", id, "err", err)
			continue
		}
		a.drains.Restore(drain.Entry{Target: t, Since: time.UnixMilli(rec.At), RequestedBy: rec.Status,
			Timeout: time.Duration(rec.Wait) * time.Millisecond}, now)
		slog.Info("still drained", "target", id, "since", time.UnixMilli(rec.At), "by", rec.Status)
	}
	if err := r.restoreOverrides(); err != nil {
		return err
	}
	r.applyPartnerList()
	return nil
}

// applyPartnerList tells gates and decisions the list of partners, with the drains in force.
func (r *Relay) applyPartnerList() {
	a := r.standalone
	a.listVersion++
	l := hostList{Version: a.listVersion, Full: true}
	members := map[string][]string{}
	for _, p := range a.directory.Load().all {
		for _, e := range p.Endpoints {
			members[p.Name] = append(members[p.Name], e.ID)
		}
	}
	a.drains.SetPartners(members)
	for _, p := range a.directory.Load().all {
		for _, e := range p.Endpoints {
			s := hostEntry{ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: p.Kind, Cell: p.Number, State: "active", Weight: 1}
			if !a.drains.Open(e.ID) {
				s.State = "leaving"
			}
			l.Servers = append(l.Servers, s)
		}
	}
	r.applyHostList(l)
}

// Reload replaces the list of partners. Messages held for a partner that is not on it any more, or that no
// longer takes their class, end at once, those that are out when their call has ended: as refused if they
// never ran or may be repeated, else as failed. It returns when that is done.
func (r *Relay) Reload(partners []Partner) {
	done := make(chan struct{})
	r.post(func() {
		defer close(done)
		r.standalone.directory.Store(newDirectory(partners))
		r.chooser.Tell(Limits(partners))
		if r.cluster != nil {
			r.publishVersions()
		}
		r.applyPartnerList()
		ended := 0
		for _, m := range r.standalone.pendingInOrder {
			if !m.ended && m.call == nil && r.rejectReason(m) != "" {
				r.endRejected(m)
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

// rejectReason tells why nobody takes a message any more; empty if somebody does.
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

// endRejected ends a message that nobody takes any more.
func (r *Relay) endRejected(m *message) {
	r.events = append(r.events, choice.Withdrawn{ID: m.ID})
	r.conclude(m, r.undeliveredStatus(m), 0, r.rejectReason(m))
}

// undeliveredStatus is the status of a message that ends undelivered outside the decisions, by the rule on effects.
func (r *Relay) undeliveredStatus(m *message) string {
	k := r.settings.Classes[m.class]
	if !m.Ran && !m.mayHaveRun || k.Effect == choice.Safe || k.Effect == choice.Keyed && !k.SameZone {
		return deferred
	}
	return undeliverable
}

const delivered = "delivered"

// conclude ends a message of a relay alone, and keeps its end.
func (r *Relay) conclude(m *message, status string, again int64, why string) {
	a, now := r.standalone, time.Now()
	// The entry is the journal's: what it says of the end is there once the record is written.
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: status, Again: again, At: now.UnixMilli(), Why: why,
		Sum: m.Entry.Checksum()})
	switch status {
	case delivered:
		a.counters.countDelivered(now)
	case deferred:
		a.counters.countRefused(now)
	default:
		a.counters.countFailed(now)
	}
	r.finish(m)
	r.unstoredEnds = append(r.unstoredEnds, m.Entry)
}

// storeEnds takes ends that are recorded into the store, and records which it let go.
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

func (r *Relay) forgetEnds(ids []string) {
	for _, id := range ids {
		r.record(journal.Record{Op: journal.OpForget, ID: id})
		r.ended.remove(id)
	}
}

// restoreEnd takes up the end of a message that an earlier process recorded.
func (r *Relay) restoreEnd(e *journal.Entry) {
	if e.EndAt == 0 { // recorded under a platform
		e.EndAt = time.Now().UnixMilli()
	}
	r.ended.add(e)
	r.forgetEnds(r.standalone.ends.Add(e, time.Now()))
}

// withPartnerName puts the partner's name into a line of the decisions, which know it by number.
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

// checkDrain looks whether a drain of the relay is over, and names what it left.
func (r *Relay) checkDrain() {
	a := r.standalone
	if a == nil || !a.drains.Tick(len(r.pending)+r.callsInFlight, time.Now()) {
		return
	}
	a.remaining = r.remainingMessages()
	slog.Info("the drain of the relay is over", "left", a.remaining.Messages, "calls_out", a.remaining.Calls, "partners", a.remaining.Partners,
		"ids", a.remaining.IDs)
}

// remainingMessages counts what is held by partner, and names the oldest.
func (r *Relay) remainingMessages() *adminapi.Left {
	l := &adminapi.Left{Calls: r.callsInFlight, Partners: map[string]int{}}
	for _, m := range r.standalone.pendingInOrder {
		if m.ended {
			continue
		}
		l.Messages++
		l.Partners[m.Partner]++
		if len(l.IDs) < 10 {
			l.IDs = append(l.IDs, m.ID)
		}
	}
	return l
}

// appendInOrder puts a message that is held into the order in which lists show them.
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

// applyDrainChange carries out what the book decides: it records it, closes the gates, and only then returns.
func (r *Relay) applyDrainChange(do func() (drain.Change, error)) (drain.Change, error) {
	b := r.standalone.drains
	before := b.Snapshot()
	c, err := do()
	if err != nil {
		return c, err
	}
	var recs []journal.Record
	for _, m := range c.Set {
		recs = append(recs, journal.Record{Op: journal.OpDrain, ID: m.Target.String(), Ran: true, At: m.Since.UnixMilli(),
			Status: m.RequestedBy, Wait: m.Timeout.Milliseconds()})
	}
	for _, t := range c.Removed {
		recs = append(recs, journal.Record{Op: journal.OpDrain, ID: t.String()})
	}
	if len(recs) > 0 {
		if err := r.journal.Append(recs...); err != nil {
			b.Revert(before)
			return drain.Change{}, err
		}
		slog.Info("drains changed", "result", string(c.Result), "set", len(c.Set), "unset", len(c.Removed), "target", recs[0].ID)
		r.applyPartnerList()
	}
	if r.standalone.drains.AcceptsMessages() {
		r.standalone.remaining = nil
	}
	return c, nil
}

// Shutdown begins an orderly stop, as Stop does, within what the operator's file says. Done by a signal.
func (r *Relay) Shutdown(by string) {
	r.Stop(context.Background(), adminapi.StopRequest{By: by}) // it fails only when the relay has ended
}

// Abandon lets go of a relay that was never served.
func (r *Relay) Abandon() {
	r.stop()
	r.cancelBackground()
	r.listener.Close()
	r.journal.Close()
}

// awaitStop waits for the end of a stop, and ends the relay.
func (r *Relay) awaitStop(at time.Time) {
	sending := min(time.Second, time.Until(at)/4) // from then on no more calls go out
	for over := false; !over; {
		done := make(chan bool, 1)
		r.post(func() {
			_, at = r.standalone.drains.Phase() // a second stop may have brought it forward
			r.stopped = r.stopped || time.Until(at) < sending
			over := r.callsInFlight == 0 && (r.stopped || len(r.pending) == 0) || !time.Now().Before(at)
			if over {
				l := r.remainingMessages()
				slog.Info("stopping; what is left is taken up by the next start", "left", l.Messages, "calls_out", l.Calls,
					"partners", l.Partners, "ids", l.IDs)
			}
			done <- over
		})
		select {
		case over = <-done:
		case <-r.quit:
			return
		}
		if !over {
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.stop()
}

// counters count messages in all, and by the second for the last minute.
type counters struct {
	totals struct{ taken, turned, delivered, refused, failed, calls uint64 }
	ring   [61]secondCounts
}

type secondCounts struct {
	at                         int64 // Unix time
	accepted, delivered, ended int
}

func (c *counters) bucket(now time.Time) *secondCounts {
	e := &c.ring[now.Unix()%int64(len(c.ring))]
	if e.at != now.Unix() {
		*e = secondCounts{at: now.Unix()}
	}
	return e
}

func (c *counters) countRejected()               { c.totals.turned++ }
func (c *counters) countAccepted(now time.Time)  { c.totals.taken++; c.bucket(now).accepted++ }
func (c *counters) countDelivered(now time.Time) { c.totals.delivered++; c.bucket(now).delivered++ }
func (c *counters) countRefused(now time.Time)   { c.totals.refused++; c.bucket(now).ended++ }
func (c *counters) countFailed(now time.Time)    { c.totals.failed++; c.bucket(now).ended++ }
