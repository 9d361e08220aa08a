package relay

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/drain"
	"larchrouter/internal/relay/journal"
)

// What operators ask of a relay alone. The loop answers each question in bounded pieces: a view of all
// endpoints at most once in viewAge however many ask, a list in scans of scanMost messages. It never waits
// for who asked, as every answer goes into a channel with room for it.

const (
	maxViewAge   = 100 * time.Millisecond
	maxScanned   = 256 // messages looked at in one go: some 10 us
	maxDescribed = 32  // messages made into answers in one go
)

// onLoop has the loop run f, and returns what it gave. Where the context or the relay ends first, f may
// still run: what it gave is dropped.
func onLoop[T any](ctx context.Context, r *Relay, f func() T) (T, error) {
	var none T
	got := make(chan T, 1)
	select {
	case r.inbox <- func() { got <- f() }:
	case <-r.quit:
		return none, adminapi.Errorf(adminapi.Stopped, "the relay has ended")
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case v := <-got:
		return v, nil
	case <-r.quit:
		return none, adminapi.Errorf(adminapi.Stopped, "the relay has ended")
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// cachedView is what the loop last showed of itself.
type cachedView struct {
	at       time.Time
	status   adminapi.Status
	partners []adminapi.Partner
}

// currentView returns a view that is not older than viewAge.
func (r *Relay) currentView(ctx context.Context) (*cachedView, error) {
	fresh := func() *cachedView {
		if v := r.standalone.view.Load(); v != nil && time.Since(v.at) < maxViewAge {
			return v
		}
		return nil
	}
	if v := fresh(); v != nil {
		return v, nil
	}
	select { // one asks the loop, the others wait for what it got
	case r.standalone.viewLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-r.standalone.viewLock }()
	if v := fresh(); v != nil {
		return v, nil
	}
	return onLoop(ctx, r, func() *cachedView {
		v := r.buildView()
		r.standalone.view.Store(v)
		return v
	})
}

// journalView tells how the durable record is.
func (r *Relay) journalView() adminapi.Journal {
	v := adminapi.Journal{Segments: r.journal.Segments(), MostBytes: r.journal.Budget(), Durability: "process"}
	if r.config.Power {
		v.Durability = "power"
	}
	switch {
	case r.journal.Broken != nil:
		v.Trouble = r.journal.Broken.Error()
	case r.journal.Full():
		v.Trouble = "the disk is full: what is held is recorded from spare room"
	}
	return v
}

// buildView makes a view, in the loop.
func (r *Relay) buildView() *cachedView {
	a, now := r.standalone, time.Now()
	t := a.counters.totals
	phase, until := a.drains.Phase()
	s := adminapi.Status{API: adminapi.Version, Version: a.Version, PID: os.Getpid(), NowMs: now.UnixMilli(),
		UpMs: r.now().Milliseconds(), Listen: r.Addr(), State: r.config.State, Phase: string(phase), Held: len(r.pending),
		HeldMost: r.settings.MaxHeld, Out: r.callsInFlight, Slots: r.settings.Workers, Ends: a.ends.Len(), EndsMost: a.MaxEnds,
		DiskBytes: r.journal.Size(), Journal: r.journalView(), Totals: adminapi.Totals{Taken: t.taken, Turned: t.turned + r.rejectedBusy.Load(), Delivered: t.delivered,
			Refused: t.refused, Failed: t.failed, Calls: t.calls}, Series: a.counters.series(now), Drains: []adminapi.Drained{}, Left: a.remaining}
	if !until.IsZero() {
		s.UntilMs = until.UnixMilli()
	}
	for _, m := range a.drains.Entries() {
		s.Drains = append(s.Drains, adminapi.Drained{Target: m.Target.String(), SinceMs: m.Since.UnixMilli(), By: m.RequestedBy})
	}
	for _, m := range a.pendingInOrder {
		if !m.ended {
			s.OldestMs = max(0, now.UnixMilli()-m.TakenAt)
			break
		}
	}
	v := &cachedView{at: now}
	views := r.chooser.Views()
	for _, p := range a.directory.Load().all {
		dest := views[p.Number]
		cp := adminapi.Partner{Name: p.Name, Kind: p.Kind, Classes: p.Classes, Waiting: dest.Waiting, Out: dest.Out,
			PauseMs: dest.Pause.Milliseconds(), Drained: len(a.drains.WouldClose(drain.Target{Scope: drain.Partner, Name: p.Name})) == 0}
		for _, e := range p.Endpoints {
			ce := adminapi.Endpoint{ID: e.ID, Address: e.Address, Zone: e.Zone, State: "open", Health: "healthy"}
			var by []string
			for _, m := range a.drains.ClosedBy(e.ID) {
				by = append(by, string(m.Target.Scope)+" by "+m.RequestedBy)
			}
			if len(by) > 0 {
				ce.State, ce.By = "drained", strings.Join(by, ", ")
			}
			for _, h := range dest.Hosts {
				if h.Addr == e.ID {
					ce.Health, ce.Why, ce.ForMs, ce.WaitMs = h.Health, h.Why, h.For.Milliseconds(), h.Wait.Milliseconds()
					ce.PauseMs, ce.TrialMs, ce.Out = h.Pause.Milliseconds(), h.Trial.Milliseconds(), h.Out
					ce.LatencyMs, ce.Rate, ce.Limit = float64(h.Latency.Microseconds())/1000, h.Rate, h.Limit
				}
			}
			if s.Endpoints++; ce.Health != "healthy" {
				s.Unhealthy++
			}
			cp.Endpoints = append(cp.Endpoints, ce)
		}
		v.partners = append(v.partners, cp)
	}
	v.status = s
	return v
}

// series are the last whole seconds of a minute, oldest first.
func (c *counters) series(now time.Time) []adminapi.Second {
	all := make([]adminapi.Second, 0, len(c.ring)-1)
	for s := now.Unix() - int64(len(c.ring)) + 1; s < now.Unix(); s++ {
		one := adminapi.Second{}
		if e := c.ring[s%int64(len(c.ring))]; e.at == s {
			one = adminapi.Second{Taken: e.accepted, Delivered: e.delivered, Ended: e.ended}
		}
		all = append(all, one)
	}
	return all
}

// Status implements control.Backend.
func (r *Relay) Status(ctx context.Context) (adminapi.Status, error) {
	v, err := r.currentView(ctx)
	if err != nil {
		return adminapi.Status{}, err
	}
	return v.status, nil
}

// Partners implements control.Backend.
func (r *Relay) Partners(ctx context.Context) ([]adminapi.Partner, error) {
	v, err := r.currentView(ctx)
	if err != nil {
		return nil, err
	}
	return v.partners, nil
}

var stateNames = map[string]string{delivered: adminapi.Delivered, deferred: adminapi.Refused, undeliverable: adminapi.Fails}

// describeMessage describes one, in the loop.
func (r *Relay) describeMessage(e *journal.Entry, m *message, whole bool) adminapi.Message {
	c := adminapi.Message{ID: e.ID, Class: e.Class, Partner: e.Partner, Key: e.Key, Bytes: e.Bytes, TakenMs: e.TakenAt, DueMs: e.Due,
		Ran: e.Ran, Tries: e.Tries, State: stateNames[e.Status], EndedMs: e.EndAt, AgainMs: e.Again, Why: e.Why}
	if m != nil {
		c.State = adminapi.Waiting
		if m.call != nil {
			c.State = adminapi.Out
		}
	}
	if c.State == adminapi.Waiting {
		c.Why, c.NextMs = r.waitReason(m)
	}
	if !whole {
		return c
	}
	for i, a := range e.Log {
		ca := adminapi.Attempt{Endpoint: a.Host, AtMs: a.At, TookMs: a.Took, Outcome: a.Outcome, Ran: a.Ran}
		if ca.Outcome == "" && m != nil && m.call != nil && i == len(e.Log)-1 {
			ca.Outcome, ca.TookMs = "out", time.Now().UnixMilli()-a.At
		} else if ca.Outcome == "" {
			ca.Outcome, ca.Ran = "not recorded: the relay ended under it", true
		}
		c.Attempts = append(c.Attempts, ca)
	}
	return c
}

// waitReason tells why a message is not out, and when that changes by itself, in Unix milliseconds.
func (r *Relay) waitReason(m *message) (why string, next int64) {
	p := r.standalone.directory.Load().byNumber[m.Dest]
	v, ok := r.chooser.Waits(m.ID)
	if !ok || p == nil {
		return "", 0
	}
	if v.Again > 0 {
		next = time.Now().Add(v.Again).UnixMilli()
	}
	if why = v.Why; v.Host != "" {
		why = v.Host + " " + why
	}
	var drained []string
	for _, e := range p.Endpoints {
		if !r.standalone.drains.Open(e.ID) {
			drained = append(drained, e.ID)
		}
	}
	if len(drained) > 0 {
		why += "; drained: " + strings.Join(drained, ", ")
	}
	return why, next
}

// findMessage describes a message by its id, in the loop; nil if nothing is known of it.
func (r *Relay) findMessage(id string) *adminapi.Message {
	m, e := r.pending[id], r.standalone.ends.Get(id)
	if m != nil {
		e = m.Entry
	}
	for _, o := range r.unstoredEnds { // not recorded yet
		if e == nil && o.ID == id {
			e = o
		}
	}
	if e == nil {
		return nil
	}
	c := r.describeMessage(e, m, true)
	return &c
}

// Message implements control.Backend.
func (r *Relay) Message(ctx context.Context, id string) (adminapi.Message, error) {
	m, err := onLoop(ctx, r, func() *adminapi.Message { return r.findMessage(id) })
	if err != nil {
		return adminapi.Message{}, err
	}
	if m == nil {
		return adminapi.Message{}, adminapi.Errorf(adminapi.NotFound, "message %q: never taken on, or its end is no longer remembered", id)
	}
	return *m, nil
}

// Messages implements control.Backend. The cursor is the number of the last message seen, after a letter
// for the list that it belongs to.
func (r *Relay) Messages(ctx context.Context, q adminapi.Query) (adminapi.Page, error) {
	page := adminapi.Page{Messages: []adminapi.Message{}}
	if q.Limit == 0 {
		q.Limit = adminapi.PageDefault
	}
	if q.Limit < 0 || q.Limit > adminapi.PageMost {
		return page, adminapi.Errorf(adminapi.Invalid, "limit is %d, must be from 1 to %d", q.Limit, adminapi.PageMost)
	}
	if q.State != "" && !slices.Contains(adminapi.States, q.State) {
		return page, adminapi.Errorf(adminapi.Invalid, "state is %q, must be one of %s", q.State, strings.Join(adminapi.States, ", "))
	}
	ended := q.Ended || q.State != "" && q.State != adminapi.Waiting && q.State != adminapi.Out
	letter := map[bool]string{true: "e", false: "h"}[ended]
	if !ended && q.Newest {
		letter = "n"
	}
	var from uint64
	if q.Cursor != "" {
		n, err := strconv.ParseUint(strings.TrimPrefix(q.Cursor, letter), 10, 64)
		if err != nil || !strings.HasPrefix(q.Cursor, letter) || n == 0 {
			return page, adminapi.Errorf(adminapi.Invalid, "cursor %q is not of this list", q.Cursor)
		}
		from = n
	}
	scan := r.scanPending
	if ended {
		scan = r.scanEnds
	}
	type part struct {
		found []adminapi.Message
		from  uint64
	}
	for {
		// Each part is the loop's own until it is handed over: a request that ends early shares nothing with it.
		most, at := min(maxDescribed, q.Limit-len(page.Messages)), from
		p, err := onLoop(ctx, r, func() (p part) { p.found, p.from = scan(q, at, most); return p })
		if err != nil {
			return page, err
		}
		page.Messages, from = append(page.Messages, p.found...), p.from
		if from == 0 || len(page.Messages) >= q.Limit {
			break
		}
	}
	if from > 0 {
		page.Next = letter + strconv.FormatUint(from, 10)
	}
	return page, nil
}

// matchesQuery tells whether a message is asked for; since is when it was taken on or ended.
func matchesQuery(q adminapi.Query, e *journal.Entry, state string, since int64) bool {
	return (q.Partner == "" || e.Partner == q.Partner) && (q.Class == "" || e.Class == q.Class) &&
		(q.State == "" || state == q.State) && strings.HasPrefix(e.ID, q.IDPrefix) &&
		(q.Older <= 0 || time.Now().UnixMilli()-since > q.Older.Milliseconds())
}

// scanPending looks at some messages held after the one with a number, or before it, and returns those that are
// wanted, and the number to go on from; 0 at the end.
func (r *Relay) scanPending(q adminapi.Query, from uint64, most int) (found []adminapi.Message, next uint64) {
	all := r.standalone.pendingInOrder
	step, i := 1, sort.Search(len(all), func(i int) bool { return all[i].sequence > from })
	if q.Newest {
		step, i = -1, len(all)-1
		if from > 0 {
			i = sort.Search(len(all), func(i int) bool { return all[i].sequence >= from }) - 1
		}
	}
	for n := 0; i >= 0 && i < len(all); i += step {
		if n++; n > maxScanned || len(found) >= most {
			return found, from
		}
		m := all[i]
		from = m.sequence
		if m.ended {
			continue
		}
		state := adminapi.Waiting
		if m.call != nil {
			state = adminapi.Out
		}
		if matchesQuery(q, m.Entry, state, m.TakenAt) {
			found = append(found, r.describeMessage(m.Entry, m, false))
		}
	}
	return found, 0
}

// scanEnds does the same with the ends that are remembered, newest first.
func (r *Relay) scanEnds(q adminapi.Query, from uint64, most int) (found []adminapi.Message, next uint64) {
	next = r.standalone.ends.Scan(from, maxScanned, func(e *journal.Entry) bool {
		if matchesQuery(q, e, stateNames[e.Status], e.EndAt) {
			found = append(found, r.describeMessage(e, nil, false))
		}
		return len(found) < most
	})
	return found, next
}

// command makes a change in the loop; errors of the book become answers.
func command[T any](ctx context.Context, r *Relay, f func() (T, error)) (T, error) {
	type outcome struct {
		got T
		err error
	}
	o, asked := onLoop(ctx, r, func() (o outcome) {
		o.got, o.err = f()
		r.standalone.view.Store(nil)
		return o
	})
	err := o.err
	switch {
	case asked != nil:
		return o.got, asked
	case err == nil:
		return o.got, nil
	case errors.As(err, new(*adminapi.Error)):
		return o.got, err
	case errors.Is(err, drain.ErrUnknownTarget):
		return o.got, adminapi.Errorf(adminapi.NotFound, "%v", err)
	case errors.Is(err, drain.ErrLastEndpoint), errors.Is(err, drain.ErrStopping), errors.Is(err, drain.ErrTooMany):
		return o.got, adminapi.Errorf(adminapi.Conflict, "%v", err)
	case errors.Is(err, drain.ErrInvalidTimeout):
		return o.got, adminapi.Errorf(adminapi.Invalid, "%v", err)
	}
	return o.got, adminapi.Errorf(adminapi.Failed, "not recorded, so nothing was changed: %v", err)
}

// drainEffect are what a change of a target means now, in the loop.
func (r *Relay) drainEffect(t drain.Target) adminapi.DrainAnswer {
	b := r.standalone.drains
	a := adminapi.DrainAnswer{Target: t.String(), Closes: b.WouldClose(t), GraceMs: drain.Grace.Milliseconds()}
	if t.Scope == drain.Relay {
		a.Waiting, a.Out = len(r.pending)-r.callsInFlight, r.callsInFlight
		a.Waiting = max(0, a.Waiting)
		if phase, until := b.Phase(); phase != drain.Serving {
			a.UntilMs = until.UnixMilli()
		}
		return a
	}
	a.Last = t.Scope == drain.Endpoint && b.IsLastOpen(t.Name)
	views := r.chooser.Views()
	for _, p := range r.standalone.directory.Load().all {
		for _, e := range p.Endpoints {
			if t.Scope == drain.Partner && p.Name != t.Name || t.Scope == drain.Endpoint && e.ID != t.Name {
				continue
			}
			a.Waiting = views[p.Number].Waiting
			for _, h := range views[p.Number].Hosts {
				if h.Addr == e.ID {
					a.Out += h.Out
					a.Unhealthy = a.Unhealthy || h.Health != "healthy"
				}
			}
		}
	}
	return a
}

const maxRequesterBytes = 100 // bytes of who asked

// parseTarget reads a request for a change.
func parseTarget(q adminapi.DrainRequest) (drain.Target, error) {
	t, err := drain.ParseTarget(q.Target)
	if err != nil {
		return t, adminapi.Errorf(adminapi.Invalid, "%v", err)
	}
	if len(q.By) > maxRequesterBytes {
		return t, adminapi.Errorf(adminapi.Invalid, "by has %d bytes, %d at most", len(q.By), maxRequesterBytes)
	}
	return t, nil
}

// Drain implements control.Backend. When it returns, the drain is recorded and the gates are closed.
func (r *Relay) Drain(ctx context.Context, q adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
	t, err := parseTarget(q)
	if err != nil {
		return adminapi.DrainAnswer{}, err
	}
	within := time.Duration(q.WithinMs) * time.Millisecond
	return command(ctx, r, func() (adminapi.DrainAnswer, error) {
		if q.Fleet {
			return r.drainFleet(t, q, true)
		}
		a, b := r.drainEffect(t), r.standalone.drains
		before := b.Snapshot()
		var c drain.Change
		var err error
		if q.DryRun {
			_, err = b.Drain(t, q.By, within, true, time.Now())
		} else {
			c, err = r.applyDrainChange(func() (drain.Change, error) { return b.Drain(t, q.By, within, q.AllowLast, time.Now()) })
		}
		a.Result = string(c.Result)
		if _, until := b.Phase(); t.Scope == drain.Relay && !until.IsZero() {
			a.UntilMs = until.UnixMilli()
		}
		if q.DryRun {
			b.Revert(before)
		}
		return a, err
	})
}

// Undrain implements control.Backend.
func (r *Relay) Undrain(ctx context.Context, q adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
	t, err := parseTarget(q)
	if err != nil {
		return adminapi.DrainAnswer{}, err
	}
	return command(ctx, r, func() (adminapi.DrainAnswer, error) {
		if q.Fleet {
			return r.drainFleet(t, q, false)
		}
		a, b := r.drainEffect(t), r.standalone.drains
		a.UntilMs = 0
		if q.DryRun {
			before := b.Snapshot()
			_, err := b.Undrain(t, time.Now())
			b.Revert(before)
			return a, err
		}
		c, err := r.applyDrainChange(func() (drain.Change, error) { return b.Undrain(t, time.Now()) })
		a.Result = string(c.Result)
		return a, err
	})
}

// Stop implements control.Backend. It returns once the stop has begun; the relay ends by itself.
func (r *Relay) Stop(ctx context.Context, q adminapi.StopRequest) (adminapi.StopAnswer, error) {
	within := time.Duration(q.WithinMs) * time.Millisecond
	if within == 0 {
		within = r.standalone.StopTimeout
	}
	return command(ctx, r, func() (a adminapi.StopAnswer, err error) {
		b := r.standalone.drains
		before := b.Snapshot()
		c, err := b.Stop(within, time.Now())
		_, at := b.Phase()
		a.UntilMs, a.Left = at.UnixMilli(), *r.remainingMessages()
		if q.DryRun {
			b.Revert(before)
			return a, err
		}
		if a.Result = string(c.Result); c.Result == drain.ResultStopping {
			slog.Info("stopping", "by", q.By, "until", at, "held", a.Left.Messages)
			go r.awaitStop(at)
		}
		return a, err
	})
}

// serveMessage tells a client how its message is, or how it ended.
func (r *Relay) serveMessage(w http.ResponseWriter, req *http.Request) {
	m, err := r.Message(req.Context(), req.PathValue("id"))
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusServiceUnavailable
		if adminapi.IsCode(err, adminapi.NotFound) {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
		return
	}
	json.NewEncoder(w).Encode(m)
}

// expireEnds has the loop forget ends that are too old.
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

var outcomeNames = map[choice.Outcome]string{choice.Served: "delivered", choice.Error: "error", choice.Refused: "refused",
	choice.Timeout: "timed out", choice.NoConnection: "no connection", choice.Reset: "reset", choice.Cancelled: "called off",
	choice.NotSent: "not sent", choice.Spoilt: "spoilt answer"}

// parseStandaloneRequest reads what a client of a relay alone says further: the partner's name, and perhaps a deadline.
func (r *Relay) parseStandaloneRequest(req *http.Request, e *journal.Entry, class int, came time.Duration) (*admission, int, error) {
	k, dir := r.classes.Load().all[class], r.standalone.directory.Load()
	bad := func(status int, text string) (*admission, int, error) { return nil, status, errors.New(text) }
	p := dir.byName[req.Header.Get("X-Partner")]
	if n, ok := parseDestination(req.Header.Get("X-Addressing")); p == nil && ok && req.Header.Get("X-Partner") == "" {
		p = dir.byNumber[n]
	}
	switch {
	case p == nil:
		return bad(http.StatusNotFound, "X-Partner is missing, or no partner of the operator's file")
	case !slices.Contains(p.Classes, k.Name):
		return bad(http.StatusBadRequest, "partner "+p.Name+" takes no messages of class "+k.Name)
	}
	ms := k.Deadline.Milliseconds()
	if text := req.Header.Get("X-Deadline-Ms"); text != "" {
		var err error
		if ms, err = strconv.ParseInt(text, 10, 64); err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return bad(http.StatusBadRequest, "X-Deadline-Ms is malformed")
		}
	}
	// They are kept for long: not with all of the head that they came in.
	e.ID, e.Key, e.Class = strings.Clone(e.ID), strings.Clone(e.Key), k.Name
	e.Dest, e.Partner, e.TakenAt, e.Bytes = p.Number, p.Name, time.Now().UnixMilli(), int(req.ContentLength)
	return r.newAdmission(req, e, class, came, ms)
}
