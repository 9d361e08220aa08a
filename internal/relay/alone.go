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

// Alone is what a relay without a platform is told. The names of partners stand for the numbers of
// destinations.
type Alone struct {
	Version    string
	Partners   []Partner
	EndsKeep   int
	EndsAge    time.Duration
	StopWithin time.Duration
	Fleet      []string // the names of its relays, by number; nil for none
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

// alone is the state of a relay without a platform.
type alone struct {
	Alone
	dir     atomic.Pointer[directory]
	book    *drain.Book
	ends    *outcome.Store
	count   counters
	order   []*message     // held, as taken on; those over are dropped now and then
	number  uint64         // of the last message in order
	left    *adminapi.Left // of the relay's drain, once it is over
	version int64          // of the list
	view    atomic.Pointer[cachedView]
	looking chan struct{} // who asks the loop for a view
}

func newAlone(conf Alone) *alone {
	a := &alone{Alone: conf, book: drain.NewBook(), ends: outcome.New(conf.EndsKeep, conf.EndsAge),
		looking: make(chan struct{}, 1)}
	a.dir.Store(newDirectory(conf.Partners))
	return a
}

// begin takes up what the journal has of drains, and the operator's list. It precedes restore.
func (r *Relay) begin() error {
	a, now := r.alone, time.Now()
	for id, rec := range r.journal.Drains {
		t, err := drain.ParseTarget(id)
		if err != nil {
			slog.Error("a drain in the journal cannot be read", "target", id, "err", err)
			continue
		}
		a.book.Restore(drain.Mark{Target: t, Since: time.UnixMilli(rec.At), By: rec.Status,
			Within: time.Duration(rec.Wait) * time.Millisecond}, now)
		slog.Info("still drained", "target", id, "since", time.UnixMilli(rec.At), "by", rec.Status)
	}
	if err := r.meetFleet(); err != nil {
		return err
	}
	r.relist()
	return nil
}

// relist tells gates and decisions the list of partners, with the drains in force.
func (r *Relay) relist() {
	a := r.alone
	a.version++
	l := list{Version: a.version, Full: true}
	members := map[string][]string{}
	for _, p := range a.dir.Load().all {
		for _, e := range p.Endpoints {
			members[p.Name] = append(members[p.Name], e.ID)
		}
	}
	a.book.Members(members)
	for _, p := range a.dir.Load().all {
		for _, e := range p.Endpoints {
			s := server{ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: p.Kind, Cell: p.Number, State: "active", Weight: 1}
			if !a.book.Open(e.ID) {
				s.State = "leaving"
			}
			l.Servers = append(l.Servers, s)
		}
	}
	r.listed(l)
}

// Reload replaces the list of partners. Messages held for a partner that is not on it any more, or that no
// longer takes their class, end at once, those that are out when their call has ended: as refused if they
// never ran or may be repeated, else as failed. It returns when that is done.
func (r *Relay) Reload(partners []Partner) {
	done := make(chan struct{})
	r.post(func() {
		defer close(done)
		r.alone.dir.Store(newDirectory(partners))
		r.chooser.SetLimits(Limits(partners))
		if r.company != nil {
			r.act()
		}
		r.relist()
		ended := 0
		for _, m := range r.alone.order {
			if !m.over && m.call == nil && r.unwanted(m) != "" {
				r.expel(m)
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

// unwanted tells why nobody takes a message any more; empty if somebody does.
func (r *Relay) unwanted(m *message) string {
	p := r.alone.dir.Load().byNumber[m.Dest]
	switch {
	case p == nil:
		return "its partner was taken out of the operator's file"
	case !slices.Contains(p.Classes, m.Class):
		return "its partner no longer takes its class"
	}
	return ""
}

// expel ends a message that nobody takes any more.
func (r *Relay) expel(m *message) {
	r.events = append(r.events, choice.Withdrawn{ID: m.ID})
	r.conclude(m, r.lawful(m), 0, r.unwanted(m))
}

// lawful is the status of a message that ends undelivered outside the decisions, by the rule on effects.
func (r *Relay) lawful(m *message) string {
	k := r.set.Classes[m.class]
	if !m.Ran && !m.ran || k.Effect == choice.Safe || k.Effect == choice.Keyed && !k.SameZone {
		return deferred
	}
	return undeliverable
}

const delivered = "delivered"

// conclude ends a message of a relay alone, and keeps its end.
func (r *Relay) conclude(m *message, status string, again int64, why string) {
	a, now := r.alone, time.Now()
	// The entry is the journal's: what it says of the end is there once the record is written.
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: status, Again: again, At: now.UnixMilli(), Why: why,
		Sum: m.Entry.Checksum()})
	switch status {
	case delivered:
		a.count.delivered(now)
	case deferred:
		a.count.refused(now)
	default:
		a.count.failed(now)
	}
	r.drop(m)
	r.concluded = append(r.concluded, m.Entry)
}

// keepEnds takes ends that are recorded into the store, and records which it let go.
func (r *Relay) keepEnds() {
	if r.alone == nil {
		return
	}
	now := time.Now()
	for _, e := range r.concluded {
		r.letGo(r.alone.ends.Add(e, now))
	}
	r.concluded = r.concluded[:0]
}

func (r *Relay) letGo(ids []string) {
	for _, id := range ids {
		r.record(journal.Record{Op: journal.OpForget, ID: id})
		r.past.remove(id)
	}
}

// restoreEnd takes up the end of a message that an earlier process recorded.
func (r *Relay) restoreEnd(e *journal.Entry) {
	if e.EndAt == 0 { // recorded under a platform
		e.EndAt = time.Now().UnixMilli()
	}
	r.past.add(e)
	r.letGo(r.alone.ends.Add(e, time.Now()))
}

// named puts the partner's name into a line of the decisions, which know it by number.
func (r *Relay) named(text string) string {
	rest, ok := strings.CutPrefix(text, "destination ")
	if r.alone == nil || !ok {
		return text
	}
	number, rest, _ := strings.Cut(rest, " ")
	n, _ := strconv.Atoi(number)
	if p := r.alone.dir.Load().byNumber[n]; p != nil {
		return "partner " + p.Name + " " + rest
	}
	return text
}

// trackDrain looks whether a drain of the relay is over, and names what it left.
func (r *Relay) trackDrain() {
	a := r.alone
	if a == nil || !a.book.Tick(len(r.held)+r.out, time.Now()) {
		return
	}
	a.left = r.whatIsLeft()
	slog.Info("the drain of the relay is over", "left", a.left.Messages, "calls_out", a.left.Calls, "partners", a.left.Partners,
		"ids", a.left.IDs)
}

// whatIsLeft counts what is held by partner, and names the oldest.
func (r *Relay) whatIsLeft() *adminapi.Left {
	l := &adminapi.Left{Calls: r.out, Partners: map[string]int{}}
	for _, m := range r.alone.order {
		if m.over {
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

// enlist puts a message that is held into the order in which lists show them.
func (r *Relay) enlist(m *message) {
	a := r.alone
	if a == nil {
		return
	}
	a.number++
	m.number = a.number
	if len(a.order) >= 1024 && len(a.order) > 2*len(r.held) {
		a.order = slices.DeleteFunc(a.order, func(o *message) bool { return o.over })
	}
	a.order = append(a.order, m)
}

// change carries out what the book decides: it records it, closes the gates, and only then returns.
func (r *Relay) change(do func() (drain.Change, error)) (drain.Change, error) {
	b := r.alone.book
	before := b.Snapshot()
	c, err := do()
	if err != nil {
		return c, err
	}
	var recs []journal.Record
	for _, m := range c.Set {
		recs = append(recs, journal.Record{Op: journal.OpDrain, ID: m.Target.String(), Ran: true, At: m.Since.UnixMilli(),
			Status: m.By, Wait: m.Within.Milliseconds()})
	}
	for _, t := range c.Unset {
		recs = append(recs, journal.Record{Op: journal.OpDrain, ID: t.String()})
	}
	if len(recs) > 0 {
		if err := r.journal.Append(recs...); err != nil {
			b.Revert(before)
			return drain.Change{}, err
		}
		slog.Info("drains changed", "result", string(c.Result), "set", len(c.Set), "unset", len(c.Unset), "target", recs[0].ID)
		r.relist()
	}
	if r.alone.book.TakesOn() {
		r.alone.left = nil
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
	r.end()
	r.listener.Close()
	r.journal.Close()
}

// settle waits for the end of a stop, and ends the relay.
func (r *Relay) settle(at time.Time) {
	sending := min(time.Second, time.Until(at)/4) // from then on no more calls go out
	for over := false; !over; {
		done := make(chan bool, 1)
		r.post(func() {
			_, at = r.alone.book.Phase() // a second stop may have brought it forward
			r.stopped = r.stopped || time.Until(at) < sending
			over := r.out == 0 && (r.stopped || len(r.held) == 0) || !time.Now().Before(at)
			if over {
				l := r.whatIsLeft()
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
	ring   [61]second
}

type second struct {
	at                      int64 // Unix time
	taken, delivered, ended int
}

func (c *counters) at(now time.Time) *second {
	e := &c.ring[now.Unix()%int64(len(c.ring))]
	if e.at != now.Unix() {
		*e = second{at: now.Unix()}
	}
	return e
}

func (c *counters) turned()                 { c.totals.turned++ }
func (c *counters) taken(now time.Time)     { c.totals.taken++; c.at(now).taken++ }
func (c *counters) delivered(now time.Time) { c.totals.delivered++; c.at(now).delivered++ }
func (c *counters) refused(now time.Time)   { c.totals.refused++; c.at(now).ended++ }
func (c *counters) failed(now time.Time)    { c.totals.failed++; c.at(now).ended++ }
