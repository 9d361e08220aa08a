// Package relay is the real relay round package choice: it keeps the time, the
// sockets and the durable record, and decides nothing about hosts, time-outs
// or further tries.
//
// One goroutine, the loop, owns the Chooser and all state. Everything else
// posts functions to it; it runs those that have come in as one batch, lets
// the Chooser decide once, writes the journal, and carries the actions out.
package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/discoverypoll"
	"larchrouter/internal/relay/engine"
	"larchrouter/internal/relay/front/admin"
	"larchrouter/internal/relay/front/httpapi"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/settings"
)

const (
	batchMost  = 256 // of what came in, other than messages, between two Steps
	intakeMost = 64  // messages between two Steps: what is out and under way does not wait behind a flood
	intakeRoom = 512 // messages that wait to be looked at; more are refused at once
	maxOwed    = 8192
	keptBack   = 16 // descriptors for all but clients and hosts; conf.Sockets is at least 64
	// The ids of messages that are over are remembered for so long, across restarts: a client may repeat one.
	pastMost  = 4096
	pastBytes = 1 << 20
	pastAge   = 15 * time.Minute
	// forgetUnwell is when an outage last heard of is over for a restarted relay.
	forgetUnwell = 5 * time.Minute
)

// message is one that this relay owes its end.
type message struct {
	*journal.Entry
	class int
	due   time.Duration
	call  *call     // out now
	fresh []*intake // its client still waits for an answer; more than one if it sent it twice
	twice bool      // its client sent it on a second connection
	over  bool
	bytes int64 // of its body, while it is held
	// Where attempts are kept: number in the order of those held.
	number uint64
	ran    bool // an attempt may have run; the entry says so only once that is recorded
}

func (m *message) answer(a answer) {
	for _, in := range m.fresh {
		in.reply <- a
	}
	m.fresh = nil
}

// Relay is one relay. Fields below the channels belong to the loop.
type Relay struct {
	conf     Config
	set      settings.Settings
	began    time.Time
	server   *http.Server
	listener *httpapi.Listener
	conns    *httpcall.Pool
	life     context.Context // of discovery and notices
	end      context.CancelFunc
	agent    atomic.Pointer[agent]
	calls    context.Context
	endCalls context.CancelCauseFunc
	inbox    chan func()
	intakes  chan *intake
	notices  outbox
	bodies   int64         // bytes that bodies may hold; those being read as many again
	reading  atomic.Int64  // bytes of those
	busy     atomic.Uint64 // messages refused as it was too late to look at them
	quit     chan struct{} // closed to end the loop
	once     sync.Once
	over     chan struct{} // closed when it has ended, and answers nobody any more
	ending   atomic.Bool   // Terminate was called
	last     time.Duration // for answers that are decided to be written at the end
	doors    *httpapi.Doors
	heir     atomic.Pointer[heir] // who has taken this relay's place; stored by the loop
	orphan   atomic.Bool
	classes  atomic.Pointer[classes] // stored by the loop, read by clients' requests

	chooser   *engine.Core
	peers     *gossip.Conn // nil without other relays to hear from
	journal   *journal.Journal
	held      map[string]*message
	past      recent
	found     found
	abroad    map[string]int // messages with a call out in the process whose place this one has taken, and its number there
	hosts     map[string]*host
	bytes     int64                   // of the bodies held
	version   int64                   // of discovery's list
	dests     map[int]time.Duration   // when a host was last listed there
	waits     map[int]*httpcall.Waits // of destinations whose hosts wait together
	events    []choice.Event
	fresh     []*message
	records   []journal.Record
	untold    []notice         // go out once they are recorded
	alone     *alone           // nil under a platform
	company   *company         // nil for a relay of no fleet, and under a platform
	concluded []*journal.Entry // ends to be kept once they are recorded
	wake      *time.Timer
	wakeAt    time.Duration
	woken     bool
	out       int               // calls
	owed      int               // notices
	orders    map[string]string // of those, by id: the key of the order that the message was in
	telling   map[string]int    // by that key, how many
	behind    []*call           // wait until the end before them in their order is heard
	stopped   bool              // no more decisions; outcomes are still recorded

	tracedAt   time.Duration
	unrecorded int // failures to record since the last line in the log
	complainAt time.Duration
}

// New replays the journal and listens; Serve does the rest.
func New(conf Config) (*Relay, error) {
	set := conf.Settings
	set.Life = rand.Uint32()
	r := &Relay{conf: conf, set: set, began: time.Now(), held: map[string]*message{}, abroad: map[string]int{}, hosts: map[string]*host{},
		dests: map[int]time.Duration{}, orders: map[string]string{}, telling: map[string]int{}, waits: map[int]*httpcall.Waits{}, inbox: make(chan func(), batchMost), intakes: make(chan *intake, intakeRoom), notices: newOutbox(),
		quit: make(chan struct{}), over: make(chan struct{}), last: answerLast, wake: time.NewTimer(time.Hour), bodies: bodyBytes(conf.MemoryMB)}
	r.past.most = pastMost
	if conf.Alone != nil {
		r.alone = newAlone(*conf.Alone)
		r.past.most = max(r.past.most, conf.Alone.EndsKeep)
	}
	rest := set.IdleConn - min(500*time.Millisecond, set.IdleConn/4) // hosts end idle ones; what crosses that is lost
	// Descriptors: half for clients, a few for journal, discovery and the runtime, the rest for hosts.
	back := keptBack
	if conf.Admin != "" {
		back += admin.MostCalls
	}
	r.conns = httpcall.NewPool(set.DialTimeout, rest, conf.Sockets/2-back)
	r.life, r.end = context.WithCancel(context.Background())
	if r.alone == nil {
		r.Rediscover(conf.Discovery)
	}
	r.calls, r.endCalls = context.WithCancelCause(context.Background())
	r.classes.Store(newClasses(set.Classes))
	var err error
	if r.chooser, err = engine.New(set, conf.Seed); err != nil {
		return nil, err
	}
	if r.journal, err = journal.Open(conf.State, journal.Options{Budget: int64(conf.DiskMB * 1e6), Power: conf.Power, Files: conf.Files,
		Retention: journal.Retention{MaxIDs: r.past.most, MaxBytes: pastBytes, MaxAgeMs: pastAge.Milliseconds()}}); err != nil {
		return nil, err
	}
	switch {
	case conf.Heir != nil && conf.Heir.State.List != nil:
		var l list
		if err := json.Unmarshal(conf.Heir.State.List, &l); err != nil {
			return nil, fmt.Errorf("the earlier process's list of hosts: %w", err)
		}
		r.version = l.Version
		r.listed(l)
	case conf.Known.Full || len(conf.Known.Servers) > 0:
		r.version = conf.Known.Version
		r.listed(conf.Known)
	}
	if r.alone != nil {
		if err := r.begin(); err != nil {
			r.journal.Close()
			return nil, err
		}
	}
	if conf.Heir != nil {
		r.inherit(conf.Heir.State)
		r.listener = httpapi.Adopt(conf.Heir.Listener, conf.Sockets/2)
	} else if r.listener, err = httpapi.Listen(conf.Listen, conf.Sockets/2); err != nil {
		r.journal.Close()
		return nil, err
	}
	r.restore()
	r.server = &http.Server{ReadTimeout: requestIn, WriteTimeout: answerIn, IdleTimeout: idleIn, MaxHeaderBytes: 16 << 10,
		ConnContext: httpapi.WithClient, ConnState: httpapi.ClientState}
	r.doors = httpapi.NewDoors(r.listener, stopKeeping)
	r.server.Handler = r.doors.Behind(r.handler())
	return r, nil
}

// bodyBytes is what the bodies held may take of the memory. The journal's files count as memory as well.
func bodyBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return 1 << 30
	}
	return int64(memoryMB / 8 * (1 << 20))
}

// Addr is where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Serve runs the relay until it is ended.
func (r *Relay) Serve() {
	if r.alone == nil {
		go r.follow(r.life, discoverypoll.Settings{Index: r.set.Index, FleetSize: r.set.Fleet, Seed: r.conf.Seed, Version: r.version, Listed: len(r.hosts) > 0})
		go r.tell(r.life)
	}
	if r.chooser.UsesGrants() && r.conf.PeerListen != "" {
		go r.joinFleet(r.life)
	}
	go r.server.Serve(r.listener)
	r.loop()
	r.end()
	close(r.over)
	r.clientsLeave(r.last)
	r.server.Close()
	r.endCalls(errStopping)
	r.conns.CloseIdle()
	r.journal.Close()
	if h := r.heir.Load(); h != nil {
		h.leave()
	}
}

// clientsLeave sends all clients away, those included that have not asked for anything yet, and waits for so long at
// the most until each that has asked has its answer.
func (r *Relay) clientsLeave(most time.Duration) {
	r.doors.Shut()
	for end := time.Now().Add(most); ; time.Sleep(leaveLook) {
		if r.listener.SendAway(true); r.listener.Len() == 0 || !time.Now().Before(end) {
			return
		}
	}
}

// The times of an orderly stop, from SIGTERM. New connections come for 0.4 s
// more, SIGKILL after 3.7 s.
const (
	stopKeeping = 500 * time.Millisecond  // then connections end between requests
	stopTaking  = 800 * time.Millisecond  // a relay that holds nothing, and has no clients, ends from here on
	stopSending = 2600 * time.Millisecond // then no more calls go out, and no message is taken on
	stopAll     = 3300 * time.Millisecond // then calls still out are left to the journal
	answerLast  = 250 * time.Millisecond  // for answers that are decided to be written
)

// Terminate stops the platform's relay in order: it takes on and delivers while clients still
// come, lets calls out finish, and leaves the rest to the journal. Clients are accepted, and answered, to the end: one
// whose request nobody reads has lost it.
func (r *Relay) Terminate() {
	if r.ending.Swap(true) {
		return // a second signal changes nothing
	}
	begin := time.Now()
	time.Sleep(stopKeeping)
	for idle := false; !idle && time.Since(begin) < stopAll; time.Sleep(leaveLook) {
		r.doors.Shut() // again and again: an answer that was under way keeps its connection
		sending := time.Since(begin) < stopSending
		alone := time.Since(begin) >= stopTaking && r.listener.Len() == 0
		idle, _ = inLoop(r.life, r, func() bool {
			r.stopped = r.stopped || !sending
			return r.out == 0 && (r.stopped || alone && (r.heir.Load() != nil || len(r.held)+r.owed == 0))
		})
	}
	// No more is taken on, and who was taken on hears so, before the loop ends.
	inLoop(r.life, r, func() bool { r.stopped = true; return true })
	r.clientsLeave(r.last)
	r.stop()
}

// stop ends the relay as it is; the journal has the rest.
func (r *Relay) stop() { r.once.Do(func() { close(r.quit) }) }

func (r *Relay) now() time.Duration { return time.Since(r.began) }

// post hands the loop something to do.
func (r *Relay) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.quit:
	}
}

// atOnce is always ready.
var atOnce = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func (r *Relay) loop() {
	if r.alone != nil {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		go r.everySecond(tick.C)
	}
	for {
		r.step()
		r.trackDrain()
		// Where one processor is all there is, clients and loop could hand it to each other for ever: the runtime
		// looks at sockets, and at those woken by them, only when nothing else can run. Yielding puts the loop
		// behind the calls whose answers have come.
		runtime.Gosched()
		var again <-chan struct{}
		if len(r.events) > 0 { // the step left some; nothing else may come in for long
			again = atOnce
		}
		select {
		case f := <-r.inbox:
			f()
		case in := <-r.intakes:
			r.take(in)
		case <-r.wake.C:
			r.woken = true
		case <-again:
		case <-r.quit:
			r.unsendAll()
			r.flush()
			return
		}
		r.gather()
	}
}

// gather takes in what else has come, up to a bound for each kind.
func (r *Relay) gather() {
	for range batchMost {
		select {
		case f := <-r.inbox:
			f()
			continue
		default:
		}
		break
	}
	for range intakeMost {
		select {
		case in := <-r.intakes:
			r.take(in)
			continue
		default:
		}
		break
	}
}

// restore takes up what the journal holds.
func (r *Relay) restore() {
	wall := time.Now().UnixMilli()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, e := range r.journal.CompletedIDs() {
		r.past.put(e.ID, e.Sum)
	}
	r.damage()
	for _, e := range r.journal.InOrder() {
		id := e.ID
		if e.Status != "" && r.alone != nil {
			r.restoreEnd(e)
			continue
		}
		if e.Status == delivered { // kept by a relay without a platform: nothing is owed
			r.record(journal.Record{Op: journal.OpEnd, ID: id})
			continue
		}
		if e.Status != "" {
			r.past.add(e)
			r.owe(notice{e.ID, e.Status, e.Again}, e.Order)
			continue
		}
		if _, out := r.abroad[id]; e.Out && !out {
			// The process died before the outcome was recorded: it may have run.
			r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: true})
		}
		class, ok := r.classAs(e)
		if !ok {
			status := undeliverable
			if r.alone != nil && !e.Ran && !e.Out {
				status = deferred
			}
			r.give(&message{Entry: e}, notice{e.ID, status, 0}, "its class was taken out of the operator's file")
			continue
		}
		m := &message{Entry: e, class: class, due: r.now() + ms(e.Due-wall)}
		if r.alone != nil && r.unwanted(m) != "" {
			m.ran = e.Out
			r.conclude(m, r.lawful(m), 0, r.unwanted(m))
			continue
		}
		r.hold(m)
		if _, out := r.abroad[id]; out {
			r.expect(m)
			continue
		}
		if e.Tries == 0 {
			r.found.add(id)
		}
		r.takeUp(m, e.Out)
	}
	for id, s := range r.journal.Unhealthy {
		if time.Duration(wall-s.At)*time.Millisecond < forgetUnwell {
			r.events = append(r.events, choice.Unwell{Host: id, Base: s.Base})
		} else {
			r.record(journal.Record{Op: journal.OpHealth, ID: id})
		}
	}
	slog.Info("journal replayed", "held", len(r.held), "owed", r.owed)
}

// damage says what of the journal could not be read, and which messages it may concern.
func (r *Relay) damage() {
	rep := r.journal.Report()
	for _, d := range rep.Damage {
		slog.Error("the journal is damaged", "where", d.String(), "kept", d.Saved)
	}
	if rep.LegacyUnread > 0 {
		slog.Warn("the end of the earlier journal could not be read", "bytes", rep.LegacyUnread)
	}
	if len(rep.Lost) > 0 {
		slog.Error("messages are lost with it; only their ids are known", "count", len(rep.Lost), "ids", rep.Lost[:min(20, len(rep.Lost))])
	}
	if len(rep.Suspects) > 0 {
		slog.Error("messages whose attempts may be missing from it; they count as possibly run", "count", len(rep.Suspects),
			"ids", rep.Suspects[:min(20, len(rep.Suspects))])
	}
}

func (r *Relay) record(rec journal.Record) {
	if rec.Op == journal.OpEnd {
		rec.At = time.Now().UnixMilli()
	}
	r.records = append(r.records, rec)
}

// owe has a notice told once what it says is recorded. Order is the key of the order that its message was in.
func (r *Relay) owe(n notice, order string) {
	r.owed++
	r.untold = append(r.untold, n)
	if order != "" {
		r.orders[n.ID] = order
		r.telling[order]++
	}
}

// give ends a message undelivered. Why is for people.
func (r *Relay) give(m *message, n notice, why string) {
	r.found.end(m.ID, why)
	traceEnd(m, n.Status, why)
	if r.alone != nil {
		r.conclude(m, n.Status, n.Again, why)
		return
	}
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: n.Status, Again: n.Again})
	r.owe(n, m.Order)
	r.drop(m)
}

func (r *Relay) hold(m *message) {
	m.bytes = int64(len(m.Body))
	r.bytes += m.bytes
	r.held[m.ID] = m
	r.enlist(m)
}

func (r *Relay) free(m *message) {
	m.over = true
	delete(r.held, m.ID)
	r.bytes -= m.bytes
	m.bytes = 0
}

// drop forgets a message that has ended.
func (r *Relay) drop(m *message) {
	r.free(m)
	r.past.add(m.Entry)
}

// flush records what has ended. What cannot be written now is kept, and no notice
// goes out before it is: a client told to come again, and a restart that takes the
// message up again, would deliver it twice.
func (r *Relay) flush() {
	if r.heir.Load() != nil {
		r.records, r.untold = nil, nil // the heir knows, or learns it as this process did
		return
	}
	if len(r.records) > 0 {
		if err := r.journal.Append(r.records...); err != nil {
			r.complain("not recorded", err)
			time.AfterFunc(longPause, func() { r.post(func() {}) })
			return
		}
		r.records = r.records[:0]
	}
	r.keepEnds()
	r.notices.put(r.untold...)
	r.untold = r.untold[:0]
}

// step lets the Chooser decide on what has come in, and carries its actions out.
func (r *Relay) step() {
	if r.heir.Load() != nil {
		r.events, r.fresh = nil, nil
		r.flush()
		return
	}
	if r.stopped {
		r.events = nil
		for _, m := range r.fresh {
			r.refuse(m, comeBack, "stopping")
		}
		r.fresh = nil
		r.flush()
		return
	}
	if r.woken {
		r.events = append(r.events, choice.Woken{})
	}
	if len(r.events) == 0 {
		r.flush()
		return
	}
	events, now := r.events, r.now()
	r.events = nil
	if r.woken {
		r.woken, r.wakeAt = false, 0
	}
	var sends []choice.Send
	for _, a := range r.chooser.Step(now, events) {
		switch a := a.(type) {
		case choice.Send:
			sends = append(sends, a)
		case choice.Refuse:
			r.final(a.ID, deferred, min(a.After, r.set.MaxRetryAfter), a.Why)
		case choice.Fail:
			r.final(a.ID, undeliverable, 0, a.Why)
		case choice.Cancel:
			if m := r.held[a.ID]; m != nil && m.call != nil {
				m.call.cancel(httpcall.ErrCalledOff)
			}
		case choice.Wake:
			r.arm(now, a.After)
		case choice.Health:
			r.record(journal.Record{Op: journal.OpHealth, ID: a.Host, Ran: a.Unwell, Base: a.Base, At: time.Now().UnixMilli()})
			r.tellSight(a.Host, a.Unwell)
		case choice.Tell:
			r.tellPeer(a)
		case choice.Log:
			slog.Info(r.named(a.Text))
		}
	}
	r.traceFleet(now)
	r.commit(sends)
}

// commit records what a Step has decided: what has ended, what is taken on, what goes out. Only then clients and
// the platform are told, and calls begin. All of it is one write; if that fails, each part is recorded for
// itself, so that what there is no room for holds up nothing else.
func (r *Relay) commit(sends []choice.Send) {
	calls, unsent := r.group(sends)
	ended := len(r.records)
	for _, m := range r.fresh {
		if !m.over {
			r.record(journal.Record{Op: journal.OpTaken, Entry: m.Entry})
		}
	}
	for _, c := range calls {
		r.records = append(r.records, r.tries(c)...)
	}
	var err error
	if len(r.records) > 0 {
		err = r.journal.Append(r.records...)
	}
	if err == nil {
		r.records = r.records[:0]
	} else {
		r.records = r.records[:ended]
	}
	r.flush()
	for _, m := range r.fresh {
		if m.over || err != nil && !r.takenOn(m) {
			continue
		}
		m.answer(answer{status: http.StatusAccepted})
		if r.alone != nil {
			r.alone.count.taken(time.Now())
		}
	}
	clear(r.fresh)
	r.fresh = r.fresh[:0]
	if err != nil {
		calls, unsent = r.group(sends) // some may not be held any more
	}
	for _, s := range unsent {
		r.notSent(s)
	}
	for _, c := range calls {
		switch {
		case err != nil && !r.tried(c):
		case r.mustWait(c):
			r.behind = append(r.behind, c)
		default:
			r.start(c)
		}
	}
}

// takenOn records a message for itself, or refuses it.
func (r *Relay) takenOn(m *message) bool {
	err := r.journal.Append(journal.Record{Op: journal.OpTaken, Entry: m.Entry})
	if err != nil {
		r.complain("message not taken on", err)
		r.events = append(r.events, choice.Withdrawn{ID: m.ID})
		r.refuse(m, comeBack, "no room on the disk")
	}
	return err == nil
}

// tried records the attempts of a call for themselves, or calls them off. An attempt that a restart would not
// know of must not go out, nor one whose record would come before an outcome that could not be written yet.
func (r *Relay) tried(c *call) bool {
	err := journal.ErrUnwritten
	if len(r.records) == 0 {
		err = r.journal.Append(r.tries(c)...)
	}
	if err != nil {
		r.complain("attempts not sent", err)
		for _, s := range c.sends {
			r.notSent(s)
		}
	}
	return err == nil
}

func (r *Relay) notSent(s choice.Send) {
	r.events = append(r.events, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.NotSent})
}

// arm sets the timer for the earliest wake-up asked for. One that fell due, but whose tick
// the loop has not read yet, no longer counts: the Chooser has asked anew, will not ask
// again before that, and without the guard sleeps until something else comes in.
func (r *Relay) arm(now, after time.Duration) {
	if at := now + after; r.wakeAt <= now || at < r.wakeAt {
		r.wakeAt = at
		r.wake.Reset(after) // drops an unread tick
	}
}

// complain logs that something could not be recorded, at most once a second: there may be thousands.
func (r *Relay) complain(what string, err error) {
	r.unrecorded++
	if now := r.now(); now >= r.complainAt {
		slog.Error(what, "err", err, "times", r.unrecorded)
		r.unrecorded, r.complainAt = 0, now+time.Second
	}
}

// refuse ends a message that was never taken on.
func (r *Relay) refuse(m *message, after time.Duration, text string) {
	if r.alone != nil {
		r.alone.count.turned()
	}
	traceEnd(m, "turned away", text)
	r.free(m)
	m.answer(answer{status: http.StatusServiceUnavailable, after: after, text: text})
}

// final ends a message that the Chooser has given up, at once.
func (r *Relay) final(id, status string, after time.Duration, why choice.Reason) {
	switch m := r.held[id]; {
	case m == nil:
	case m.fresh != nil:
		r.refuse(m, after, "refused: "+why.String())
	default:
		r.give(m, notice{id, status, after.Milliseconds()}, why.String())
	}
}

// group makes calls of the sends of one Step, and tells which cannot go: their host has gone or closed.
func (r *Relay) group(sends []choice.Send) (calls []*call, unsent []choice.Send) {
	open := map[string]*call{}
	for _, s := range sends {
		m, h := r.held[s.ID], r.hosts[s.Host]
		if m == nil || h == nil || h.dest != m.Dest || h.Closed() {
			unsent = append(unsent, s)
			continue
		}
		c, size := open[s.Host], 0
		if h.perCall > 1 {
			size = len(frameOf(m))
		}
		if c == nil || len(c.members) >= h.perCall || c.size+size > maxBody { // no body may be longer
			c = &call{host: h}
			open[s.Host] = c
			calls = append(calls, c)
		}
		c.size += size
		c.members, c.sends = append(c.members, m), append(c.sends, s)
	}
	return calls, unsent
}

// tries are the records of a call's attempts.
func (r *Relay) tries(c *call) (recs []journal.Record) {
	wall := time.Now().UnixMilli()
	for i, m := range c.members {
		rec := journal.Record{Op: journal.OpTry, ID: m.ID, At: wall, Wait: c.sends[i].Timeout.Milliseconds(), Zone: c.host.zone}
		if r.alone != nil {
			rec.Host = c.host.id
		}
		recs = append(recs, rec)
	}
	return recs
}

// mayHaveRun tells whether an attempt that ended so may have taken effect.
func mayHaveRun(o choice.Outcome) bool {
	return o != choice.Refused && o != choice.NoConnection && o != choice.NotSent
}

// ended takes in what became of one message's attempt.
func (r *Relay) ended(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	if m.call != c {
		return // its own time was up before the call's
	}
	m.call = nil
	traceAttempt(c, m, e, took, wait)
	if r.heir.Load() != nil {
		r.tellHeir(c, m, e, took, wait)
		return
	}
	expelled := r.alone != nil && r.unwanted(m) != ""
	r.events = append(r.events, choice.Result{ID: m.ID, Host: c.host.id, Outcome: e.Outcome, Took: took, Wait: wait,
		Done: e.Done || e.Outcome == choice.Served || expelled})
	if m.over {
		return
	}
	ran := mayHaveRun(e.Outcome)
	m.ran = m.ran || ran
	out := journal.Record{Op: journal.OpOutcome, ID: m.ID, Ran: ran}
	if r.alone != nil {
		out.Why, out.Wait = outcomeNames[e.Outcome], took.Milliseconds()
	}
	switch over := e.Done || e.Outcome == choice.Served; {
	case r.alone == nil && e.Outcome == choice.Served && r.doubtful(c, m):
		r.give(m, notice{m.ID, undeliverable, 0}, "delivered, perhaps after its time")
	case r.alone == nil && over:
		traceEnd(m, delivered, "")
		r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
		r.drop(m)
	case !over && !expelled:
		r.record(out)
	default:
		r.record(out)
		switch {
		case e.Outcome == choice.Served:
			r.conclude(m, delivered, 0, "")
		case e.Done:
			r.conclude(m, r.lawful(m), 0, "its partner holds it to be over")
		default:
			r.conclude(m, r.lawful(m), 0, r.unwanted(m))
		}
	}
}
